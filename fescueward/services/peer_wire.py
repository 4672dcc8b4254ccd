"""Message reading and writing shared by both ends of a peer stream."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import socket
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import Any

from ..kernel import RefusalError, TaskOwner
from ..kernel.errors import (
    MalformedMessageError,
    NotOwnerError,
    TokenRequiredError,
    refusal_from_label,
)
from ..kernel.text import encodable_text
from ..messages import Request
from ..messages.frames import FrameDecoder, FrameEncoder
from ..messages.peer import PROTOCOL_VERSION, StreamOpen, StreamRefused
from ..messages.request import BytesBody
from .link.parts import MessageParts
from .link.window import SendWindow
from .streams import INLINE_BYTES

_READ_BYTES = 262_144
# Anyone who reaches the port can send a first message, which has a few hundred bytes.
_FIRST_READ_BYTES = 4_096
_MAX_FIRST_BYTES = 16_384
# Above this limit the connection of a slow reader is aborted; the peer dials again.
_MAX_WRITE_BUFFER_BYTES = 16 * 1024 * 1024
# Lets a slow receiver read the last responses of a stopping agent.
_FLUSH_TIMEOUT_S = 5.0
# A lost VM does not close its streams; TCP keepalive detects the loss after about a minute.
_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 30),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 10),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    # In milliseconds. Detects a connection that fails without a reset by unacknowledged bytes.
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1500),
)


class Wire:
    """Writes messages to one TCP connection.

    uvloop makes a system call for each write, so all messages sent in one iteration of the event
    loop are written together at its end.

    Args:
        writer: Writes to the connection.
        tasks: Owner of the task that sends long messages.
        outgoing: Limits what this agent has on its way in bodies and long messages.

    Attributes:
        parts: The long messages.
    """

    def __init__(
        self, writer: asyncio.StreamWriter, tasks: TaskOwner, outgoing: SendWindow
    ) -> None:
        self._writer = writer
        self.parts = MessageParts(tasks, outgoing, self._send_frame)
        self._encoder = FrameEncoder()
        self._frames: list[bytes] = []
        connection = writer.get_extra_info("socket")
        if connection is not None:
            for level, option, value in _SOCKET_OPTIONS:
                connection.setsockopt(level, option, value)

    def send(self, message: object) -> None:
        """Queues a message for writing; drops it once the connection is closing.

        Raises:
            MalformedMessageError: The message cannot be encoded or is too large.
        """
        transport = self._writer.transport
        if transport.is_closing():
            return
        unsent_bytes = transport.get_write_buffer_size() + self.parts.queued_bytes
        if unsent_bytes > _MAX_WRITE_BUFFER_BYTES:
            transport.abort()
            return
        if not self.parts.enqueue(message):
            self._send_frame(message)

    def _send_frame(self, message: object) -> None:
        if self._writer.transport.is_closing():
            return
        self._frames.append(self._encoder.encode(message))
        if len(self._frames) == 1:
            asyncio.get_running_loop().call_soon(self._flush)

    def close(self) -> None:
        """Closes the connection after writing the queued messages, except long ones."""
        self.parts.close()
        self._flush()
        self._writer.close()

    async def flush_and_close(self) -> None:
        """Closes the connection and waits up to a few seconds until its buffer is flushed."""
        self.close()
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(_FLUSH_TIMEOUT_S):
                await self._writer.wait_closed()

    def _flush(self) -> None:
        frames, self._frames = self._frames, []
        if frames and not self._writer.transport.is_closing():
            self._writer.writelines(frames)


async def read_messages(reader: asyncio.StreamReader, wire: Wire) -> AsyncIterator[Any]:
    """Yields the messages of a connection until it is closed; a long one once it is complete.

    Args:
        reader: Reads from the connection.
        wire: Writes to it.

    Raises:
        MalformedMessageError: The bytes do not decode to a message, or the first one, which proves
            the identity of the peer, is too large.
    """
    decoder = FrameDecoder()
    first_bytes = 0
    is_first = True
    while data := await reader.read(_FIRST_READ_BYTES if is_first else _READ_BYTES):
        for received in decoder.feed(data):
            is_first = False
            message = wire.parts.receive(received)
            if message is not None:
                yield message
        first_bytes += len(data)
        if is_first and first_bytes > _MAX_FIRST_BYTES:
            raise MalformedMessageError(f"no message within {_MAX_FIRST_BYTES} bytes")


def handshake_mac(secret: bytes, nonce: bytes, name: str, incarnation: int) -> bytes:
    """Returns the HMAC by which the dialling side proves that it has the peer secret."""
    signed_text = f"{PROTOCOL_VERSION}\n{incarnation}\n{name}".encode()
    return hmac.new(secret, nonce + signed_text, hashlib.sha256).digest()


def inline_data(body: Any) -> bytes | None:
    """Returns the bytes of a body that fits into its first message, or None if it is streamed."""
    if isinstance(body, BytesBody) and len(body.data) <= INLINE_BYTES:
        return body.data
    return None


def open_message(
    stream_number: int, request: Request, now: float, inline: bytes | None
) -> StreamOpen:
    """Returns the message that forwards a request.

    Args:
        stream_number: Number of the request stream.
        request: The request.
        now: Current time in seconds of CLOCK_BOOTTIME.
        inline: Body of the request, or None if it is streamed.
    """
    useful_ms = None
    if request.useful_until is not None:
        useful_ms = max(int((request.useful_until - now) * 1000), 0)
    return StreamOpen(
        stream=stream_number,
        request_id=request.id,
        service=request.service,
        key=request.key,
        method=request.method,
        path=request.path,
        headers=request.headers,
        remaining_ms=max(int((request.deadline - now) * 1000), 1),
        token=request.token,
        length=request.body.length,
        data=inline or b"",
        end=inline is not None,
        caller=request.caller,
        priority=request.priority,
        repeatable=request.repeatable,
        repeated=request.repeated,
        useful_ms=useful_ms,
        route=request.route,
        has_alternatives=request.has_alternatives,
        departed_start=request.departed_start,
        sent_ms=int(now * 1000),
        seeks_free_slot=request.seeks_free_slot,
        inner=request.inner,
        returning=request.returning,
    )


def refused_message(stream: int, error: RefusalError) -> StreamRefused:
    """Returns the message that sends a refusal to a peer."""
    retry_after_ms = None if error.retry_after_s is None else int(error.retry_after_s * 1000)
    return StreamRefused(
        stream=stream,
        label=error.label,
        message=encodable_text(error),
        owner_id=error.owner_id if isinstance(error, NotOwnerError) else None,
        token=error.token if isinstance(error, TokenRequiredError) else None,
        retry_after_ms=retry_after_ms,
        occupancy=error.occupancy,
    )


def refusal_from_message(message: StreamRefused) -> RefusalError:
    """Returns the error of a refusal that a peer sent."""
    error = refusal_from_label(
        message.label, message.message, owner_id=message.owner_id, token=message.token
    )
    if message.retry_after_ms is not None:
        error.retry_after_s = message.retry_after_ms / 1000
    error.occupancy = message.occupancy
    return error
