"""Limits on what one HTTP connection may send, and on the work that its bytes cause at a time."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from .http_meter import Excess, InboundLimits, InboundMeter

# Work of one connection before the event loop serves others. A part can be as short as four bytes.
_TURN_BYTES = 262_144
_TURN_PARTS = 64
# A refused caller may still be sending; its bytes are read and discarded for this long and up to
# this size, because closing a connection with unread bytes can destroy the response.
_LINGER_S = 1.0
_MAX_DISCARDED_BYTES = 262_144
_HEAD_TOO_LARGE, _MALFORMED = 431, 400


class InboundConnection(RequestHandler):
    """A connection that bounds what its caller sends.

    The bytes of one read are parsed in parts. After a bounded number of them the event loop serves
    other connections first, and nothing more is read meanwhile.

    Args:
        manager: The server.
        inbound: Limits when the connection is opened.
        **options: Options of `aiohttp.web_protocol.RequestHandler`.

    Attributes:
        pipelined: Whether a request was begun before the response to an earlier one.
    """

    __slots__ = (
        "_continuation",
        "_discarded_bytes",
        "_evicted",
        "_head_since",
        "_idle_since",
        "_inbound",
        "_is_parsing",
        "_last_parsed_payload",
        "_meter",
        "_overdue",
        "_refused",
        "_transport_paused",
        "_unparsed",
        "_unparsed_start",
        "_unsent",
        "pipelined",
    )

    def __init__(self, manager: Any, inbound: InboundLimits, **options: Any) -> None:
        super().__init__(manager, **options)
        self.pipelined = False
        self._inbound = inbound
        self._evicted = False
        self._meter = InboundMeter()
        self._unparsed = b""
        self._unparsed_start = 0
        self._is_parsing = False
        self._continuation: asyncio.Handle | None = None
        self._transport_paused = False
        self._last_parsed_payload: Any = EMPTY_PAYLOAD
        # Whether the caller has exceeded a limit, so that nothing more is parsed.
        self._refused = False
        self._discarded_bytes = 0
        self._head_since: float | None = None
        self._idle_since = self._loop.time()
        self._overdue = False
        # Bytes that were not sent at the last check, and since when they are the same.
        self._unsent = (0, self._idle_since)

    @property
    def busy(self) -> bool:
        """Whether a request is in progress or a part of a response has not been sent."""
        return self.unsent_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the transport has not sent."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    @property
    def idle_since(self) -> float:
        """Time since which the connection has had no request, in seconds of the event loop."""
        return self._idle_since

    @property
    def inbound_bytes(self) -> int:
        """Memory of what was received and is held outside of bodies."""
        return len(self._unparsed) - self._unparsed_start + self._meter.held_bytes

    def held_changed(self) -> None:
        """Records what the connection holds."""

    def use_limits(self, inbound: InboundLimits) -> None:
        """Applies other limits from now on."""
        self._inbound = inbound

    def evict(self) -> None:
        """Resets the connection."""
        self._evicted = self._refused = True
        self._unparsed, self._unparsed_start = b"", 0
        # Many connections can be reset before the event loop reports the first of them as lost.
        self._parser = None
        self._messages.clear()
        if self.transport is not None:
            self.transport.abort()

    def check_times(self, now: float) -> None:
        """Closes the connection if its caller is too slow.

        A process that was paused finds every connection overdue before it reads what has arrived,
        so a connection is closed at the second check.

        Args:
            now: Time in seconds of the event loop.
        """
        unsent_bytes = self.unsent_bytes
        if unsent_bytes != self._unsent[0]:
            self._unsent = unsent_bytes, now
        limits = self._inbound
        was_overdue, self._overdue = self._overdue, False
        if unsent_bytes:
            self._overdue = now - self._unsent[1] > limits.stall_timeout_s
        elif not self.busy:
            since, timeout_s = self._idle_since, limits.idle_timeout_s
            if self._head_since is not None:
                since, timeout_s = self._head_since, limits.header_timeout_s
            self._overdue = now - since > timeout_s
        if was_overdue and self._overdue:
            self.evict()

    def data_received(self, data: bytes) -> None:
        """Parses what the caller has sent; aiohttp also calls this without data, to resume."""
        if self._refused:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > _MAX_DISCARDED_BYTES:
                self.evict()
            return
        if data and self._unparsed:
            self._unparsed = self._unparsed[self._unparsed_start :] + data
            self._unparsed_start = 0
        elif data:
            self._unparsed = data
        else:
            self._feed(b"")
        if not self._is_parsing and self._continuation is None:
            self._parse()

    def _continue(self) -> None:
        self._continuation = None
        if self.transport is not None:
            self._parse()

    def _parse(self) -> None:
        """Parses what has been received, up to a limit for one turn of the event loop."""
        self._is_parsing = True
        try:
            is_complete = self._parse_parts()
        finally:
            self._is_parsing = False
        if not is_complete:
            self._pause_transport_reading()
            self._continuation = self._loop.call_soon(self._continue)
        elif self._transport_paused and not (self._reading_paused or self._buffer_paused):
            self._resume_transport_reading()
        self.held_changed()

    def _parse_parts(self) -> bool:
        """Returns whether all was parsed that can be now."""
        turn_bytes = turn_parts = 0
        while self._unparsed_start < len(self._unparsed):
            if self._reading_paused or self._buffer_paused:
                return True
            if self._refused or self._force_close or self._discards_input():
                break
            if turn_bytes >= _TURN_BYTES or turn_parts >= _TURN_PARTS:
                return False
            data, start = self._unparsed, self._unparsed_start
            start += self._meter.empty_bytes(data, start)
            end = self._meter.part_end(data, start)
            part = data[start:end]
            if part:
                self._meter.count(part)
            excess = self._meter.head_excess(self._inbound)
            turn_bytes, turn_parts = turn_bytes + end - self._unparsed_start, turn_parts + 1
            self._unparsed_start = end
            if excess is None and part:
                self._feed(part)
                excess = self._meter.body_excess(self._inbound)
            if excess is not None:
                self._refuse(excess)
        self._unparsed, self._unparsed_start = b"", 0
        return True

    def _feed(self, part: bytes) -> None:
        parsed_before = self._request_count
        if self._upgraded:
            super().data_received(part)
            return
        super().data_received(part)
        if self._request_count != parsed_before and self._messages:
            message, payload = self._messages[-1]
            self._last_parsed_payload = payload
            if hasattr(message, "headers"):
                self._meter.message_parsed(message, payload)
            else:
                self._refused = True
        if self._meter.head_bytes and self._head_since is None:
            self._head_since = self._loop.time()
        elif not self._meter.head_bytes:
            self._head_since = None
        self._begin_requests()

    def _refuse(self, excess: Excess) -> None:
        self._refused = True
        if excess is Excess.FRAMING:
            error = RequestPayloadError(excess.value)
            self._last_parsed_payload.set_exception(error)
            return
        status = _HEAD_TOO_LARGE if excess is Excess.HEAD else _MALFORMED
        failure = HttpProcessingError(code=status, message=excess.value)
        self._messages.append((_ErrInfo(status, failure, excess.value), EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._begin_requests()

    async def _linger(self) -> None:
        """Waits until a refused caller has closed its connection, for a bounded time."""
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write_eof()
        super()._resume_transport_reading()
        # The end of the connection cancels the task that waits here.
        await asyncio.sleep(_LINGER_S)

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Returns the refusal of a malformed request, without a log line for each of them."""
        if status >= 500 or request.writer.output_size > 0:
            return super().handle_error(request, status, exc, message)
        response = Response(status=status, text=f"{status}: {message}")
        response.force_close()
        return response

    def _pause_transport_reading(self) -> None:
        self._transport_paused = True
        super()._pause_transport_reading()

    def _resume_transport_reading(self) -> None:
        if self._is_parsing or self._continuation is not None:
            return
        if self._unparsed_start < len(self._unparsed):
            self._continuation = self._loop.call_soon(self._continue)
            return
        self._transport_paused = False
        super()._resume_transport_reading()

    def _begin_requests(self) -> None:
        """Begins the requests that have been parsed."""

    def _discards_input(self) -> bool:
        """Returns whether what follows is not parsed, because the connection closes."""
        return False
