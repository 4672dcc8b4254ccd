"""HTTP connections of callers: protocol errors get the same JSON refusals as other errors."""

from __future__ import annotations

from aiohttp import web

from ...kernel import Event, Level, RefusalError
from ...kernel.caller_budget import CallerBudget
from ...kernel.errors import InternalError, InvalidRequestError
from ...kernel.http_pipeline import Handler, PipelinedConnection, PipelinedServer
from .refusals import refusal_response

REQUEST_FAILED = Event(
    3602, "request_failed", Level.ERROR, "A request raised an unexpected exception in the agent."
)
_MALFORMED = Event(3603, "http_malformed", Level.INFO, "A caller sent malformed HTTP.")
# A refused caller may still be sending its body; reading on lets it receive the refusal.
_LINGERING_TIMEOUT_S = 2.0
# Memory of an agent.
_MEMORY_BYTES = 256_000_000


class CallerConnection(PipelinedConnection):
    """A caller's connection, which responds to malformed HTTP with a refusal in JSON."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the refusal of a request that could not be parsed or handled.

        Raises:
            ConnectionError: Part of another response has been sent; the connection is closed.
        """
        error: RefusalError
        if status >= 500:
            REQUEST_FAILED.emit(error=repr(exc))
            error = InternalError(f"unexpected {type(exc).__name__}")
        else:
            _MALFORMED.emit(error=repr(exc))
            error = InvalidRequestError(f"malformed HTTP: {message}")
        if request.writer.output_size > 0:
            raise ConnectionError("an error occurred after part of a response was sent")
        return refusal_response(error, "", close=True)


class CallerServer(PipelinedServer):
    """Creates a `CallerConnection` for each accepted connection.

    Args:
        handler: Handles one request.
    """

    connection_class = CallerConnection

    def __init__(self, handler: Handler) -> None:
        super().__init__(
            handler,
            budget=CallerBudget(_MEMORY_BYTES),
            lingering_time=_LINGERING_TIMEOUT_S,
        )
