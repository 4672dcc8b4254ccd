"""HTTP client sessions with a limit on the size of responses."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.streams import StreamReader

from .server_process import ServerProcesses, required_process

# Limit on the head of a response, including all preceding 1xx responses. A head may have lines of
# 64 KiB.
MAX_RESPONSE_HEAD_BYTES = 131_072
_MAX_LINE_BYTES = 65_536
# Servers send a few 1xx responses at most, and each is parsed like a whole response.
_MAX_INTERIM_RESPONSES = 16
# Allowance for the framing of a chunked body, and the size of the body that permits a further byte
# of it. Chunks of a few bytes take much longer to parse than to send.
_FRAMING_ALLOWANCE_BYTES = 16_384
_BODY_BYTES_PER_FRAMING_BYTE = 16
# More digits than any length that a parser accepts.
_MAX_LENGTH_DIGITS = 20
# Bytes that are parsed before the limits are checked again.
_PARSE_BYTES = 16_384
# Every 1xx response is followed by another one, except for 101, which ends HTTP on the connection
# and is never asked for.
_SWITCHING_PROTOCOLS = 101
_FIRST_STATUS, _LAST_STATUS = 100, 599
# Longest transfer of a body. An object of 1 MB takes 1.6 s on a link of 5 Mbit/s, and longer if
# the link is shared.
MAX_TRANSFER_S = 6.0


async def read_body(
    response: aiohttp.ClientResponse, timeout: asyncio.Timeout, pause_s: float
) -> bytes:
    """Reads a body, as long as its parts follow each other.

    A timeout for the whole response would end each transfer on a link that is too slow for it, and
    so would each attempt after it.

    Args:
        response: The response.
        timeout: The timeout of the call; it begins anew with each part.
        pause_s: Longest time without a part in seconds.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + MAX_TRANSFER_S
    parts = []
    async for part in response.content.iter_any():
        parts.append(part)
        timeout.reschedule(min(loop.time() + pause_s, end))
    return b"".join(parts)


class AnswerTooLargeError(aiohttp.ClientPayloadError):
    """A response exceeded its limit, so its connection was closed."""


class InvalidStatusError(aiohttp.ClientConnectionError):
    """The status of a response says that it is none, so its connection was closed."""


class ProcessChangedError(aiohttp.ClientConnectionError):
    """The connection reaches another process than the request is for; nothing was sent."""


class ProcessUnknownError(aiohttp.ClientConnectionError):
    """It is not known yet which process the connection reaches; nothing was sent."""


class ReceptionBudget:
    """Limit on the bytes of all responses that are being received.

    Above it a response is aborted, the largest of those that state no length, or else the largest:
    one without an end states none, and grows beyond all others.

    Args:
        max_bytes: Limit on the sum of all responses, in bytes.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._total_bytes = 0
        self._sizes: dict[BoundedConnection, int] = {}

    @property
    def total_bytes(self) -> int:
        """Bytes of all responses that are being received."""
        return self._total_bytes

    def update(self, connection: BoundedConnection, size: int) -> None:
        """Records the bytes that a connection has received of its response."""
        self._total_bytes += size - self._sizes.get(connection, 0)
        self._sizes[connection] = size
        while self._total_bytes > self._max_bytes:
            aborted = max(self._sizes, key=self._abort_order)
            self.release(aborted)
            aborted.abort_response(f"all responses exceed {self._max_bytes} bytes")

    def _abort_order(self, connection: BoundedConnection) -> tuple[bool, int]:
        return not connection.states_length, self._sizes[connection]

    def release(self, connection: BoundedConnection) -> None:
        """Records that a response has ended."""
        self._total_bytes -= self._sizes.pop(connection, 0)


class BoundedConnection(ResponseHandler):
    """A connection that is closed when a response exceeds its limit.

    aiohttp limits each line and the number of header lines, but neither the number of 1xx
    responses, nor the size of a body or its chunks, nor the data after a response.

    Only the server can end a body without a length, by closing the connection. aiohttp also takes
    a reset and a close on this side for its end.

    Args:
        loop: The event loop.
        max_response_bytes: Limit on one response with head and framing, in bytes.
        processes: Processes of the server, or None if they are not told apart.
        budget: Limit that the connection shares with others, or None.

    Attributes:
        states_length: Whether the response states the length of its body.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_response_bytes: int,
        processes: ServerProcesses | None = None,
        budget: ReceptionBudget | None = None,
    ) -> None:
        super().__init__(loop)
        self._processes = processes
        self._budget = budget
        self._body: StreamReader | None = None
        self._closed_by_server = False
        self._max_response_bytes = max_response_bytes
        self._received_bytes = 0
        self._interim_responses = 0
        self.states_length = False
        # Bytes received when the parser had begun the body, and those of the body among them.
        self._body_start: tuple[int, int] | None = None
        self._has_head = False

    def set_response_params(self, **params: Any) -> None:
        """Resets the counters for the next response."""
        self._received_bytes, self._has_head, self._body = 0, False, None
        self._interim_responses, self._body_start = 0, None
        self.states_length = False
        if self._processes is not None:
            self._processes.requested(self)
        super().set_response_params(**params)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Records the opening of the connection."""
        super().connection_made(transport)
        if self._processes is not None:
            self._processes.opened(self)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Records the arrival of a final head, after any 1xx responses."""
        message, self._body = data
        status = message.code
        if not _FIRST_STATUS <= status <= _LAST_STATUS or status == _SWITCHING_PROTOCOLS:
            self._abort(InvalidStatusError(f"the response has the status {status:03}"))
            return
        is_final = status >= 200
        self._has_head = self._has_head or is_final
        self._interim_responses += not is_final
        if self._processes is not None:
            self._processes.responded(self)
        super().feed_data(data, size)
        if is_final:
            self._check_length(message.headers.get("Content-Length", ""))

    def data_received(self, data: bytes) -> None:
        """Parses data in parts, until a limit is exceeded.

        aiohttp also calls this without data, to resume after a pause.
        """
        for start in range(0, max(len(data), 1), _PARSE_BYTES):
            if start and self.exception() is not None:
                return
            self._receive(data[start : start + _PARSE_BYTES])

    def _receive(self, data: bytes) -> None:
        if data and self._has_head and self._payload is not None and self._payload.is_eof():
            self.abort_response("data received after the end of the response")
            return
        self._received_bytes += len(data)
        if self._received_bytes > self._max_response_bytes:
            self.abort_response(f"the response exceeds {self._max_response_bytes} bytes")
            return
        failure, body = self.exception(), self._body
        is_open = body is not None and not body.is_eof()
        super().data_received(data)
        if is_open and body is not None and self.exception() is not failure:
            # A body that was cut off and filled up with the beginning of another response is
            # followed by the rest of it.
            error = aiohttp.ClientPayloadError("the bytes behind the body are no response")
            body.set_exception(error)
        if not self._has_head and self._received_bytes > MAX_RESPONSE_HEAD_BYTES:
            self.abort_response(
                f"the head of the response exceeds {MAX_RESPONSE_HEAD_BYTES} bytes"
            )
        elif self._interim_responses > _MAX_INTERIM_RESPONSES:
            self.abort_response(f"more than {_MAX_INTERIM_RESPONSES} responses with status 1xx")
        elif self._body is not None and not self._body.is_eof():
            self._check_framing(self._body)
        if self._budget is not None and self._body is not None and self._body.is_eof():
            self._budget.release(self)
        elif self._budget is not None and self.exception() is None:
            self._budget.update(self, self._received_bytes)

    def _check_length(self, stated: str) -> None:
        self.states_length = stated.isdecimal() and len(stated) <= _MAX_LENGTH_DIGITS
        if (
            self.states_length
            and self._body is not None
            and not self._body.is_eof()
            and int(stated) > self._max_response_bytes
        ):
            self.abort_response(f"the response exceeds {self._max_response_bytes} bytes")

    def _check_framing(self, body: StreamReader) -> None:
        if self._body_start is None:
            self._body_start = self._received_bytes, body.total_bytes
        received_bytes = self._received_bytes - self._body_start[0]
        body_bytes = body.total_bytes - self._body_start[1]
        allowed_bytes = _FRAMING_ALLOWANCE_BYTES + body_bytes // _BODY_BYTES_PER_FRAMING_BYTE
        if received_bytes - body_bytes > allowed_bytes:
            self.abort_response("the framing of the response is too large for its body")

    def eof_received(self) -> None:
        """Records that the server has closed the connection."""
        self._closed_by_server = True
        if self._processes is not None:
            self._processes.ended(self)
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails an unfinished body unless the server has closed the connection."""
        if self._processes is not None:
            self._processes.ended(self)
        if self._budget is not None:
            self._budget.release(self)
        if exc is not None or not self._closed_by_server:
            reason = "closed on this side" if exc is None else f"lost: {exc}"
            self._fail_body(aiohttp.ClientPayloadError(f"the connection was {reason}"))
        super().connection_lost(exc)

    def _fail_body(self, error: aiohttp.ClientError) -> None:
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(error)

    def abort_response(self, reason: str) -> None:
        """Closes the connection and fails the response that is being received."""
        self._abort(AnswerTooLargeError(reason))

    def _abort(self, error: aiohttp.ClientError) -> None:
        self._fail_body(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class _ProcessConnector(aiohttp.TCPConnector):
    """Opens connections whose processes are told apart.

    Args:
        processes: Processes of the server.
        **options: Options of `aiohttp.TCPConnector`.
    """

    def __init__(self, processes: ServerProcesses, **options: Any) -> None:
        super().__init__(**options)
        self._processes = processes

    async def connect(self, *args: Any, **options: Any) -> Connection:
        """Returns a connection to the required process.

        Raises:
            ProcessChangedError: The connection reaches a later process.
            ProcessUnknownError: Its process is not known yet.
        """
        required = required_process()
        while True:
            connection = await super().connect(*args, **options)
            if required is None:
                return connection
            assert isinstance(connection.protocol, BoundedConnection)
            process = self._processes.process_of(connection.protocol)
            if process == required:
                return connection
            if process is None:
                connection.release()
                raise ProcessUnknownError("the process of the connection is not known yet")
            if process > required:
                connection.release()
                raise ProcessChangedError(
                    f"the connection reaches process {process}, not {required}"
                )
            # It may reach the required process too, but that is not known.
            connection.close()


class BoundedResponse(aiohttp.ClientResponse):
    """A response that is read with back pressure.

    Its connection can be closed after it has returned to the pool.
    """

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Waits for the head; a response that has arrived whole releases its connection here."""
        self._bounded_protocol = connection.protocol
        return await super().start(connection)

    async def read(self) -> bytes:
        """Returns the whole body.

        The method of aiohttp takes off the limit of the buffer, so that one turn of the event loop
        reads whatever has arrived.
        """
        if self._body is None:
            parts, part = [], b""
            try:
                async for part in self.content.iter_any():
                    parts.append(part)
                self._body = b"".join(parts)
            except BaseException:
                self.close()
                raise
            finally:
                # The body refers to its error and thereby to this frame, which would keep the
                # parts until the next collection.
                parts, part = [], b""
        return await super().read()

    def abort(self) -> None:
        """Closes the connection, so that no later request gets what is left on it."""
        self.close()
        if self._bounded_protocol is not None:
            self._bounded_protocol.abort()


def bounded_session(
    max_response_bytes: int,
    *,
    connections: int = 0,
    keepalive_s: float | None = None,
    processes: ServerProcesses | None = None,
    budget: ReceptionBudget | None = None,
    **options: Any,
) -> aiohttp.ClientSession:
    """Opens a session that limits the size of responses and sends each request only once.

    Args:
        max_response_bytes: Limit on one response with head and framing, in bytes.
        connections: Maximum number of open connections; 0 means no limit.
        keepalive_s: Time for which an idle connection is kept open, in seconds; None closes each
            connection after its response.
        processes: Processes of the only server that the session is used for, or None if they are
            not told apart.
        budget: Limit that the session shares with others, for responses that are read whole.
        **options: Further options of `aiohttp.ClientSession`.
    """
    connector_options: dict[str, Any] = {"limit": connections}
    if keepalive_s is None:
        connector_options["force_close"] = True
    else:
        connector_options["keepalive_timeout"] = keepalive_s
    connector = (
        aiohttp.TCPConnector(**connector_options)
        if processes is None
        else _ProcessConnector(processes, **connector_options)
    )
    # The connector has no public API to set the class of its connections.
    connector._factory = partial(
        BoundedConnection,
        asyncio.get_running_loop(),
        max_response_bytes=max_response_bytes,
        processes=processes,
        budget=budget,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        # A small compressed body can decompress to any size.
        auto_decompress=False,
        # A cookie of one response must not be sent with another caller's request.
        cookie_jar=aiohttp.DummyCookieJar(),
        max_line_size=_MAX_LINE_BYTES,
        max_field_size=_MAX_LINE_BYTES,
        response_class=BoundedResponse,
        **options,
    )
    # aiohttp retries GET, PUT and DELETE by itself when a reused connection fails. Each send must
    # count against attempts and retry budget, and a retry of a conditional write that has taken
    # effect fails with a conflict.
    session._retry_connection = False
    return session
