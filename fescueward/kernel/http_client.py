"""HTTP client sessions whose answers are bounded in size."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

# Bytes of an answer up to the end of its head, with all 1xx answers before it. A head may have
# lines of 64 KiB.
MAX_RESPONSE_HEAD_BYTES = 131_072
_LINE_BYTES = 65_536
# Status that ends HTTP on a connection, unlike the other 1xx, which another answer follows.
_SWITCHING_PROTOCOLS = 101


class AnswerTooLargeError(aiohttp.ClientPayloadError):
    """An answer exceeds its limit, so its connection was closed."""


class BoundedConnection(ResponseHandler):
    """A connection that closes itself when an answer exceeds its limit.

    aiohttp bounds each line and the number of header lines, but neither the number of 1xx answers,
    nor the size of a body, nor what follows an answer.

    Args:
        loop: The event loop.
        answer_bytes: Limit on one answer, with head and framing, in bytes.

    Attributes:
        broken: Whether the connection was reset.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, answer_bytes: int) -> None:
        super().__init__(loop)
        self.broken = False
        self._answer_bytes = answer_bytes
        self._received = 0
        self._has_head = False

    def set_response_params(self, **params: Any) -> None:
        """Begins the next answer."""
        self._received, self._has_head = 0, False
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Takes note of the head that ends the 1xx answers."""
        status = data[0].code
        self._has_head = self._has_head or status >= 200 or status == _SWITCHING_PROTOCOLS
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Counts what arrives; aiohttp also calls this without data, to go on after a pause."""
        if data and self._has_head and self._payload is not None and self._payload.is_eof():
            self._end("bytes follow the answer")
            return
        self._received += len(data)
        if self._received > self._answer_bytes:
            self._end(f"the answer exceeds {self._answer_bytes} bytes")
            return
        super().data_received(data)
        if not self._has_head and self._received > MAX_RESPONSE_HEAD_BYTES:
            self._end(f"the head of the answer exceeds {MAX_RESPONSE_HEAD_BYTES} bytes")

    def connection_lost(self, exc: BaseException | None) -> None:
        """Takes note of a reset, which aiohttp takes for the end of a body without a length."""
        self.broken = exc is not None
        super().connection_lost(exc)

    def _end(self, reason: str) -> None:
        error = AnswerTooLargeError(reason)
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


def bounded_session(
    answer_bytes: int, *, connections: int = 0, keepalive_s: float | None = None, **options: Any
) -> aiohttp.ClientSession:
    """Opens a session whose answers are bounded and whose requests are sent once.

    Args:
        answer_bytes: Limit on one answer, with head and framing, in bytes.
        connections: Most connections at a time; 0 for no limit.
        keepalive_s: Time that an idle connection is kept, in seconds; None closes each
            connection after its answer.
        **options: Further options of the session.
    """
    connector = aiohttp.TCPConnector(
        limit=connections,
        **({"force_close": True} if keepalive_s is None else {"keepalive_timeout": keepalive_s}),
    )
    # The connector has no public way to choose the class of its connections.
    connector._factory = partial(
        BoundedConnection, asyncio.get_running_loop(), answer_bytes=answer_bytes
    )
    session = aiohttp.ClientSession(
        connector=connector,
        # A small compressed body can be of any size.
        auto_decompress=False,
        # A cookie of one answer must not go out with another caller's request.
        cookie_jar=aiohttp.DummyCookieJar(),
        max_line_size=_LINE_BYTES,
        max_field_size=_LINE_BYTES,
        **options,
    )
    # aiohttp sends GET, PUT and DELETE again by itself when a reused connection breaks. Each send
    # counts against attempts and retry budget, and a conditional write that is repeated after it
    # took effect is answered as a conflict.
    session._retry_connection = False
    return session
