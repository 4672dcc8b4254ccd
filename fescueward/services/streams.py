"""Request and response bodies on a peer stream, with credit-based flow control."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing, suppress

from ..kernel.errors import BodyTruncatedError
from ..messages import Body
from ..messages.peer import StreamCredit, StreamData
from .link.window import OutgoingBody, SendWindow

# Credit that an agent grants at most for all bodies that it receives. Bytes on their way fill the
# link of the receiving machine, and every message to it waits behind them.
WINDOW_BYTES = 49_152
# With less credit a link idles until the sender knows of more.
_MIN_WINDOW_BYTES = 18_432
# Time for which a message may wait on the link of this VM behind parts of bodies.
_LINK_TIME_S = 0.04
# Bodies that are received at the same time; the others wait for credit.
_MAX_FLOWING_BODIES = 3
# Size of the parts of bodies. A part crosses the links of both VMs one after the other, so large
# parts leave slow links idle.
CHUNK_BYTES = 4_096
# A body up to this size is sent inside StreamOpen or StreamHead.
INLINE_BYTES = 16_384

# Earlier versions of the agent send parts of this size, and only with credit for a whole part.
_EARLIER_CHUNK_BYTES = 65_536
# Time without a part after which the sender is taken for an earlier version, and after which
# another body is received in place of this one.
_PART_TIMEOUT_S = 0.1
_STALLED_BODY_S = 0.5

# Fails a body whose receiver grants no credit for this long, which frees its upstream slot.
STALL_TIMEOUT_S = 30.0

Sender = Callable[[object], None]


class ReceiveWindows:
    """Shares the credit of one agent among the bodies that it is receiving.

    A few bodies are received at a time, in the order in which their reading began. If all shared
    the link, the bytes on their way would grow with their number, and all would be late together.

    Args:
        bytes_per_s: Speed of the link, or 0 if it is unknown.
    """

    def __init__(self, bytes_per_s: float = 0.0) -> None:
        self._window_bytes = WINDOW_BYTES
        if bytes_per_s:
            window_bytes = int(bytes_per_s * _LINK_TIME_S)
            self._window_bytes = min(max(window_bytes, _MIN_WINDOW_BYTES), WINDOW_BYTES)
        self._flowing: set[Channel] = set()
        self._waiting: deque[Channel] = deque()

    @property
    def window_bytes(self) -> int:
        """Credit of each body that is being received."""
        return self._window_bytes // min(max(len(self._flowing), 1), _MAX_FLOWING_BODIES)

    def open(self, channel: Channel) -> None:
        """Begins to receive a body as soon as there is credit for it."""
        self._waiting.append(channel)
        self._begin_next()

    def resume(self, channel: Channel) -> None:
        """Counts a body again of which a part has arrived after a pause."""
        self._flowing.add(channel)

    def pause(self, channel: Channel) -> None:
        """Gives the place of a body whose sender has stalled to another one."""
        self._flowing.discard(channel)
        self._begin_next()

    def close(self, channel: Channel) -> None:
        """Ends the reception of a body that has arrived or failed."""
        self._flowing.discard(channel)
        if channel in self._waiting:
            self._waiting.remove(channel)
        self._begin_next()

    def _begin_next(self) -> None:
        while self._waiting and len(self._flowing) < _MAX_FLOWING_BODIES:
            channel = self._waiting.popleft()
            self._flowing.add(channel)
            channel.begin_window()


class Channel:
    """One end of a request stream: buffers the incoming body and tracks the credit to send.

    A peer stream, which is one connection, carries many request streams by their numbers.

    Args:
        stream: Number of the request stream.
        send: Sends a message to the other end.
        windows: Shared with the other bodies that this agent receives, or None for a window of
            its own.
        outgoing: Shared with the other bodies that this agent sends, or None for a window of its
            own.

    Attributes:
        stream: Number of the request stream.
    """

    def __init__(
        self,
        stream: int,
        send: Sender,
        windows: ReceiveWindows | None = None,
        outgoing: SendWindow | None = None,
    ) -> None:
        self.stream = stream
        self._send = send
        self._outgoing = outgoing or SendWindow()
        self._outgoing_body: OutgoingBody | None = None
        self._windows = windows or ReceiveWindows()
        # Whether the body is being read, whether there is credit for it, and how much of it the
        # other end has left.
        self._reading = False
        self._window_open = False
        self._granted_bytes = 0
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._readable = asyncio.Event()
        self._ended = False
        self._failure: str | None = None
        self._credit_bytes = 0
        self._credit_available = asyncio.Event()

    def receive(self, data: bytes, end: bool) -> None:
        """Buffers a received part of the body; `end` marks the last one."""
        if data:
            self._chunks.append(data)
            self._buffered_bytes += len(data)
            if self._buffered_bytes > WINDOW_BYTES + INLINE_BYTES:
                self.fail("the sender exceeded its window")
                return
            self._granted_bytes -= len(data)
            if self._window_open:
                self._windows.resume(self)
        self._ended = self._ended or end
        if end:
            self.close_window()
        self._readable.set()

    def add_credit(self, size: int) -> None:
        """Adds `size` bytes to the credit for sending."""
        self._credit_bytes += size
        if self._outgoing_body is not None:
            self._outgoing_body.acknowledge(size)
        self._credit_available.set()

    def fail(self, reason: str) -> None:
        """Fails both directions: readers and senders raise `BodyTruncatedError`."""
        if self._failure is None:
            self._failure = reason
        self.close_window()
        if self._outgoing_body is not None:
            self._outgoing_body.end()
        self._readable.set()
        self._credit_available.set()

    def open_window(self) -> None:
        """Grants the other end credit for a body, and not before it is read.

        The body of a request that is refused unread can still be sent to another agent.
        """
        if self._reading or self._ended or self._failure is not None:
            return
        self._reading = True
        self._windows.open(self)

    def begin_window(self) -> None:
        """Grants the first credit, once `ReceiveWindows` has some for this body."""
        self._window_open = True
        self._granted_bytes = 0
        self._grant()
        # A reader that waits begins to watch for a sender of an earlier version.
        self._readable.set()

    def close_window(self) -> None:
        """Leaves the shared credit to other bodies."""
        if self._reading:
            self._reading = self._window_open = False
            self._windows.close(self)

    def _grant(self, min_window_bytes: int = 0) -> None:
        window_bytes = max(self._windows.window_bytes, min_window_bytes)
        credit_bytes = window_bytes - self._granted_bytes - self._buffered_bytes
        if self._window_open and credit_bytes > 0:
            self._granted_bytes += credit_bytes
            self._send(StreamCredit(self.stream, credit_bytes))

    async def read(self) -> bytes:
        """Returns the next part of the body, or empty bytes at its end.

        Raises:
            BodyTruncatedError: The stream ended before the body did.
        """
        while not self._chunks:
            if self._ended:
                return b""
            if self._failure is not None:
                raise BodyTruncatedError(self._failure)
            await self._wait_for_part()
        chunk = self._chunks.popleft()
        self._buffered_bytes -= len(chunk)
        self._grant()
        return chunk

    async def _wait_for_part(self) -> None:
        self._readable.clear()
        if self._window_open:
            if await self._is_readable_within(_PART_TIMEOUT_S):
                return
            self._grant(_EARLIER_CHUNK_BYTES)
            if await self._is_readable_within(_STALLED_BODY_S):
                return
            if self._window_open:
                self._windows.pause(self)
        await self._readable.wait()

    async def _is_readable_within(self, timeout_s: float) -> bool:
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._readable.wait()
        return self._readable.is_set()

    async def write_body(self, body: Body) -> None:
        """Sends a body as the other end grants credit.

        Raises:
            BodyTruncatedError: The stream ended, or the body is incomplete.
        """
        # Until the other end grants credit, the body is unread and can be sent elsewhere.
        await self._take_credit(0)
        outgoing_body = self._outgoing_body = self._outgoing.begin(body.length or 0)
        try:
            async with aclosing(body.chunks()) as chunks:
                async for chunk in chunks:
                    await self._write_chunk(chunk, outgoing_body)
            self._send(StreamData(self.stream, b"", end=True))
        finally:
            self._outgoing_body = None
            outgoing_body.end()

    async def _write_chunk(self, chunk: bytes, outgoing_body: OutgoingBody) -> None:
        start = 0
        while start < len(chunk):
            size = await self._take_credit(min(len(chunk) - start, CHUNK_BYTES))
            await outgoing_body.take(size)
            if self._failure is not None:
                raise BodyTruncatedError(self._failure)
            self._send(StreamData(self.stream, chunk[start : start + size]))
            start += size

    async def _take_credit(self, max_size: int) -> int:
        """Waits for credit and takes up to `max_size` bytes of it; returns how many."""
        while self._credit_bytes < 1:
            if self._failure is not None:
                raise BodyTruncatedError(self._failure)
            self._credit_available.clear()
            try:
                async with asyncio.timeout(STALL_TIMEOUT_S):
                    await self._credit_available.wait()
            except TimeoutError:
                raise BodyTruncatedError(
                    f"the receiver read nothing for {STALL_TIMEOUT_S} s"
                ) from None
        if self._failure is not None:
            raise BodyTruncatedError(self._failure)
        size = min(max_size, self._credit_bytes)
        self._credit_bytes -= size
        return size


class ChannelBody:
    """A body that is received on a channel.

    Attributes:
        length: Length in bytes, or None if the sender did not state it.
        started: Whether a byte has been read.
    """

    def __init__(
        self, channel: Channel, length: int | None, on_finish: Callable[[], None]
    ) -> None:
        self.length = length
        self.started = False
        self._channel = channel
        self._on_finish = on_finish

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields the parts; raises `BodyTruncatedError` if the body is incomplete."""
        self.started = True
        self._channel.open_window()
        received_bytes = 0
        try:
            while chunk := await self._channel.read():
                received_bytes += len(chunk)
                yield chunk
            if self.length is not None and received_bytes != self.length:
                raise BodyTruncatedError(f"received {received_bytes} of {self.length} bytes")
        finally:
            self._on_finish()

    async def close(self) -> None:
        """Closes the stream, also when the body was not read to its end."""
        self._on_finish()
