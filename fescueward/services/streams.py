"""Bodies that cross a peer stream, with credit-based flow control."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing

from ..kernel.errors import BodyTruncatedError
from ..messages import Body
from ..messages.peer import StreamCredit, StreamData

# The receiver of a body permits this much when it begins to read, and not before: a request that
# is refused before its body was read can be sent to another agent.
WINDOW_BYTES = 262_144
CHUNK_BYTES = 65_536
# A body up to this size travels inside StreamOpen or StreamHead.
INLINE_BYTES = 65_536

# A receiver that takes nothing for this long holds a slot of the upstream for nobody.
STALL_S = 30.0

Sender = Callable[[object], None]


class Channel:
    """One request stream at one of its ends: the body that arrives and the credit to send.

    Attributes:
        stream: Number of the stream.
    """

    def __init__(self, stream: int, send: Sender) -> None:
        self.stream = stream
        self._send = send
        self._chunks: deque[bytes] = deque()
        self._held = 0
        self._arrived = asyncio.Event()
        self._ended = False
        self._broken: str | None = None
        self._credit = 0
        self._credit_arrived = asyncio.Event()

    def receive(self, data: bytes, end: bool) -> None:
        """Takes a part of the body that arrived."""
        if data:
            self._chunks.append(data)
            self._held += len(data)
            if self._held > WINDOW_BYTES + INLINE_BYTES:
                self.fail("the sender exceeds its window")
                return
        self._ended = self._ended or end
        self._arrived.set()

    def add_credit(self, size: int) -> None:
        """Permits `size` more bytes to be sent."""
        self._credit += size
        self._credit_arrived.set()

    def fail(self, reason: str) -> None:
        """Breaks both directions; readers and senders raise `BodyTruncatedError`."""
        if self._broken is None:
            self._broken = reason
        self._arrived.set()
        self._credit_arrived.set()

    def open_window(self) -> None:
        """Permits the other end to send the first part of the body."""
        self._send(StreamCredit(self.stream, WINDOW_BYTES))

    async def read(self) -> bytes:
        """Returns the next part of the body, empty at its end.

        Raises:
            BodyTruncatedError: The stream ended before the body did.
        """
        while not self._chunks:
            if self._ended:
                return b""
            if self._broken is not None:
                raise BodyTruncatedError(self._broken)
            self._arrived.clear()
            await self._arrived.wait()
        chunk = self._chunks.popleft()
        self._held -= len(chunk)
        self._send(StreamCredit(self.stream, len(chunk)))
        return chunk

    async def write_body(self, body: Body) -> None:
        """Sends a body within the credit of the other end.

        Raises:
            BodyTruncatedError: The stream ended, or the body did not arrive whole.
        """
        # Until the other end reads, the body stays untouched and can be sent elsewhere.
        await self._take_credit(0)
        async with aclosing(body.chunks()) as chunks:
            async for chunk in chunks:
                for start in range(0, len(chunk), CHUNK_BYTES):
                    part = chunk[start : start + CHUNK_BYTES]
                    await self._take_credit(len(part))
                    self._send(StreamData(self.stream, part))
        self._send(StreamData(self.stream, b"", end=True))

    async def _take_credit(self, size: int) -> None:
        while self._credit < max(size, 1):
            if self._broken is not None:
                raise BodyTruncatedError(self._broken)
            self._credit_arrived.clear()
            try:
                async with asyncio.timeout(STALL_S):
                    await self._credit_arrived.wait()
            except TimeoutError:
                raise BodyTruncatedError(f"the receiver took nothing for {STALL_S} s") from None
        if self._broken is not None:
            raise BodyTruncatedError(self._broken)
        self._credit -= size


class ChannelBody:
    """A body that arrives on a channel.

    Attributes:
        length: Number of bytes if it was announced.
        started: Whether a byte has been read.
    """

    def __init__(self, channel: Channel, length: int | None, finish: Callable[[], None]) -> None:
        self.length = length
        self.started = False
        self._channel = channel
        self._finish = finish

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields the parts; raises `BodyTruncatedError` if the stream ends early."""
        self.started = True
        self._channel.open_window()
        received = 0
        try:
            while chunk := await self._channel.read():
                received += len(chunk)
                yield chunk
            if self.length is not None and received != self.length:
                raise BodyTruncatedError(f"{received} of {self.length} bytes arrived")
        finally:
            self._finish()

    async def close(self) -> None:
        """Ends the stream if the body was not read to its end."""
        self._finish()
