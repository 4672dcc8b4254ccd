"""Requests of one HTTP connection, whose responses are written in their order."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

# `aiohttp.web` would also import applications, routes and files, which delays each start.
from aiohttp.http_writer import StreamWriter
from aiohttp.web_request import BaseRequest

from .http_inbound import InboundConnection

# Memory of one line of a parsed head, with its copies in the request that is passed on.
_LINE_BYTES = 1_024
# Longer bodies are written in parts of this size.
_PART_BYTES = 131_072


@dataclass(frozen=True, slots=True)
class PipelineLimits:
    """Limits on the requests that are handled before earlier ones of their connection.

    Attributes:
        requests: Requests of one connection that are handled at the same time.
        response_bytes: Bytes of finished responses of one connection that wait for earlier ones;
            above it, no further request of that connection is begun.
        total_requests: Requests of all connections that wait for an earlier response.
    """

    requests: int = 16
    response_bytes: int = 1 << 20
    total_requests: int = 1024


class OrderedWriter(StreamWriter):
    """Writes a response once all earlier responses of its connection are complete."""

    def __init__(
        self,
        protocol: InboundConnection,
        loop: asyncio.AbstractEventLoop,
        turn: asyncio.Future[None],
    ) -> None:
        super().__init__(protocol, loop)
        self._turn = turn

    async def write_headers(self, status_line: str, headers: Any) -> None:
        """Writes the head once the earlier responses are complete."""
        if not self._turn.done():
            await asyncio.shield(self._turn)
        await super().write_headers(status_line, headers)

    async def write_eof(self, chunk: bytes = b"") -> None:
        """Writes the end of a body; a long one in parts, because the transport copies them."""
        if len(chunk) > _PART_BYTES:
            for start in range(0, len(chunk), _PART_BYTES):
                await self.write(chunk[start : start + _PART_BYTES])
            chunk = b""
        await super().write_eof(chunk)


class PipelinedRequest(BaseRequest):
    """A request that may have been read before earlier ones of its connection were answered."""

    def __init__(self, *args: Any, turn: asyncio.Future[None]) -> None:
        super().__init__(*args)
        self._turn = turn
        self._response_bytes = 0

    @property
    def response_bytes(self) -> int:
        """Bytes that are held of the response."""
        return self._response_bytes

    def hold_response(self, size: int) -> None:
        """Records that `size` bytes are held of the response, until it has been sent."""
        self._response_bytes = size
        connection = self.protocol
        if isinstance(connection, InboundConnection):
            connection.held_changed()

    @property
    def pipelined(self) -> bool:
        """Whether the caller has sent requests on this connection before earlier responses."""
        connection = self.protocol
        assert isinstance(connection, InboundConnection)
        return connection.pipelined

    @property
    def has_turn(self) -> bool:
        """Whether all earlier requests of the connection have been answered."""
        return self._turn.done()

    async def wait_for_turn(self) -> None:
        """Waits until all earlier requests of the connection have been answered."""
        if not self._turn.done():
            await asyncio.shield(self._turn)


def head_bytes(message: Any) -> int:
    """Returns the estimated memory of a parsed head, which short lines enlarge, in bytes."""
    return _LINE_BYTES * len(getattr(message, "raw_headers", ()))


class Exchange:
    """A request in progress.

    Attributes:
        request: The request.
        turn: Done once all earlier responses are complete, so that this one may be written.
        ahead: Whether the request was begun while an earlier one was in progress.
        head_bytes: Memory of the head of the request.
        waiting_bytes: Size of the finished response while it waits for its turn.
        task: Runs the handler and writes the response.
    """

    def __init__(
        self, request: PipelinedRequest, turn: asyncio.Future[None], ahead: bool, head_bytes: int
    ) -> None:
        self.request = request
        self.turn = turn
        self.ahead = ahead
        self.head_bytes = head_bytes
        self.waiting_bytes = 0
        self.task: asyncio.Task[tuple[bool, bool]] | None = None
