"""Callers' connections."""

from __future__ import annotations

import asyncio

from aiohttp import web

from ...kernel import Event, Level, RefusalError
from ...kernel.errors import InternalError, InvalidRequestError
from .refusals import refusal_response

UNEXPECTED = Event(
    3602, "request_failed", Level.ERROR, "A request met an unexpected exception in the agent."
)
_MALFORMED = Event(3603, "http_malformed", Level.INFO, "A caller sent bytes that are no HTTP.")
# How long a refused caller that still sends its body is read from, so that it sees the refusal.
_LINGERING_S = 2.0


class CallerConnection(web.RequestHandler):
    """A caller's connection. Errors of HTTP itself are answered in JSON as all others."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the refusal of a request that could not be read or handled."""
        error: RefusalError
        if status >= 500:
            UNEXPECTED.emit(error=repr(exc))
            error = InternalError(f"unexpected {type(exc).__name__}")
        else:
            _MALFORMED.emit(error=repr(exc))
            error = InvalidRequestError(f"malformed HTTP: {message}")
        if request.writer.output_size > 0:
            raise ConnectionError("part of another response has been sent")
        return refusal_response(error, "", close=True)


class CallerServer(web.Server):
    """Makes a `CallerConnection` for each caller."""

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        return CallerConnection(
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            # Bodies go on as the caller encoded them.
            auto_decompress=False,
            lingering_time=_LINGERING_S,
        )
