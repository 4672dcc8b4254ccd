"""What both ends of a peer stream share: writing, reading and the messages of a request."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import socket
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import Any

from ..kernel import RefusalError
from ..kernel.errors import NotOwnerError, TokenRequiredError, refusal_from_label
from ..messages import Request
from ..messages.frames import FrameDecoder, FrameEncoder
from ..messages.peer import PROTOCOL_VERSION, StreamOpen, StreamRefused
from ..messages.request import BytesBody
from .streams import INLINE_BYTES

_READ_BYTES = 262_144
# A peer that takes nothing while this much waits for it is cut off; it dials again.
_WRITE_LIMIT_BYTES = 16 * 1024 * 1024
# The last responses of an agent that stops may still wait for a slow receiver.
_FLUSH_TIMEOUT_S = 5.0
# A VM that is lost sends no end of its streams; TCP finds it after about a minute.
_KEEPALIVE = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 30),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 10),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    # A connection that went silent without a reset is found by the bytes that stay unconfirmed.
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1500),
)


class Wire:
    """Writes messages to one TCP connection.

    uvloop makes a system call for each write, so the messages of one turn of the loop leave in
    one write at its end.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self._encoder = FrameEncoder()
        self._frames: list[bytes] = []
        connection = writer.get_extra_info("socket")
        if connection is not None:
            for level, option, value in _KEEPALIVE:
                connection.setsockopt(level, option, value)

    def send(self, message: object) -> None:
        """Sends a message without waiting; does nothing once the connection is closing.

        Raises:
            MalformedMessageError: The message cannot be encoded or is too large.
        """
        transport = self._writer.transport
        if transport.is_closing():
            return
        if transport.get_write_buffer_size() > _WRITE_LIMIT_BYTES:
            transport.abort()
            return
        self._frames.append(self._encoder.encode(message))
        if len(self._frames) == 1:
            asyncio.get_running_loop().call_soon(self._write)

    def close(self) -> None:
        """Closes the connection once what was sent has left."""
        self._write()
        self._writer.close()

    async def flush_and_close(self) -> None:
        """Closes the connection once what was sent has left, within a few seconds."""
        self.close()
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(_FLUSH_TIMEOUT_S):
                await self._writer.wait_closed()

    def _write(self) -> None:
        frames, self._frames = self._frames, []
        if frames and not self._writer.transport.is_closing():
            self._writer.writelines(frames)


async def read_messages(reader: asyncio.StreamReader) -> AsyncIterator[Any]:
    """Yields the messages of a connection until its end.

    Raises:
        MalformedMessageError: The bytes are no message.
    """
    decoder = FrameDecoder()
    while data := await reader.read(_READ_BYTES):
        for message in decoder.feed(data):
            yield message


def handshake_mac(secret: bytes, nonce: bytes, name: str, incarnation: int) -> bytes:
    """Returns the proof that the dialling side knows the peer secret."""
    text = f"{PROTOCOL_VERSION}\n{incarnation}\n{name}".encode()
    return hmac.new(secret, nonce + text, hashlib.sha256).digest()


def inline_data(body: Any) -> bytes | None:
    """Returns a body that travels inside its first message, or None."""
    if isinstance(body, BytesBody) and len(body.data) <= INLINE_BYTES:
        return body.data
    return None


def open_message(
    number: int, request: Request, remaining_s: float, inline: bytes | None
) -> StreamOpen:
    """Returns the message that forwards a request."""
    useful_ms = None
    if request.useful_until is not None:
        useful_s = remaining_s - (request.deadline - request.useful_until)
        useful_ms = max(int(useful_s * 1000), 0)
    return StreamOpen(
        stream=number,
        request_id=request.id,
        service=request.service,
        key=request.key,
        method=request.method,
        path=request.path,
        headers=request.headers,
        remaining_ms=max(int(remaining_s * 1000), 1),
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
    )


def refused_message(stream: int, error: RefusalError) -> StreamRefused:
    """Returns the message that reports a refusal."""
    retry_after_ms = None if error.retry_after_s is None else int(error.retry_after_s * 1000)
    return StreamRefused(
        stream=stream,
        label=error.label,
        message=str(error),
        owner_id=error.owner_id if isinstance(error, NotOwnerError) else None,
        token=error.token if isinstance(error, TokenRequiredError) else None,
        retry_after_ms=retry_after_ms,
        occupancy=error.occupancy,
    )


def refusal_of(message: StreamRefused) -> RefusalError:
    """Returns the refusal that a message reports."""
    error = refusal_from_label(
        message.label, message.message, owner_id=message.owner_id, token=message.token
    )
    if message.retry_after_ms is not None:
        error.retry_after_s = message.retry_after_ms / 1000
    error.occupancy = message.occupancy
    return error
