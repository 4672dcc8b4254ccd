"""Parsing and validation of callers' HTTP requests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from functools import lru_cache

from ...interfaces import Catalogue
from ...kernel import Clock
from ...kernel.errors import (
    BodyTruncatedError,
    DeadlineExceededError,
    InvalidRequestError,
    MissingKeyError,
)
from ...kernel.http_pipeline import PipelinedRequest
from ...messages import Body, Request
from ...messages.request import BytesBody, Headers
from ...messages.upstream import (
    DEADLINE_MS_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
    TOKEN_HEADER,
)

_MAX_BUFFERED_BODY_BYTES = 65_536
_MAX_DEADLINE_MS = 600_000
_MAX_KEY_CHARACTERS = 1024
_METHODS = frozenset({"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"})
# Headers that concern only the caller's connection, and those that the HTTP client sets
# itself for the forwarded request.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_AGENT_HEADER_PREFIX = b"fescueward-"
# Also the limit at which a refusal truncates the id that it repeats.
MAX_ID_CHARACTERS = 200


async def read_request(
    http: PipelinedRequest, request_id: str, catalogue: Catalogue, clock: Clock
) -> Request:
    """Returns the request that a caller sent; a large body is streamed as it is consumed.

    Args:
        http: The HTTP request.
        request_id: Id of the request.
        catalogue: Catalogue in which the service is looked up.
        clock: Clock by which the deadline is set.

    Raises:
        RefusalError: The request is malformed, names no service of the catalogue, or its body did
            not arrive before the deadline.
    """
    if http.method not in _METHODS:
        raise InvalidRequestError(f"method {http.method!r} is not one of {sorted(_METHODS)}")
    service, path = _split_path(http)
    entry = catalogue.entry(service).entry
    agent_headers, headers = _headers(http)
    key = agent_headers.get(KEY_HEADER.lower(), "")
    if not key:
        raise MissingKeyError(f"the request to {service!r} has no {KEY_HEADER} header")
    if len(key) > _MAX_KEY_CHARACTERS:
        raise InvalidRequestError(f"the key exceeds {_MAX_KEY_CHARACTERS} characters")
    _check_id(request_id)
    deadline_ms = _deadline_ms(agent_headers, entry.limits.deadline_ms)
    deadline = clock.now() + deadline_ms / 1000
    body = await _body(http, deadline_ms / 1000)
    return Request(
        id=request_id,
        service=service,
        key=key,
        method=http.method,
        path=path,
        headers=headers,
        body=body,
        deadline=deadline,
        token=agent_headers.get(TOKEN_HEADER.lower()),
    )


class _HttpBody:
    """The body of a caller's request, which is streamed as it is consumed."""

    def __init__(self, http: PipelinedRequest) -> None:
        self.length = http.content_length
        self.started = False
        self._http = http

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        self.started = True
        received_bytes = 0
        await _send_continue(self._http)
        try:
            async for chunk in self._http.content.iter_any():
                received_bytes += len(chunk)
                yield chunk
        except Exception as error:  # aiohttp raises several unrelated types
            raise BodyTruncatedError(f"reading the caller's body failed: {error!r}") from error
        if self.length is not None and received_bytes != self.length:
            raise BodyTruncatedError(f"received {received_bytes} of {self.length} bytes")

    async def close(self) -> None:
        """Does nothing: aiohttp closes the connection if the body was not read to its end."""


async def _body(http: PipelinedRequest, timeout_s: float) -> Body:
    if not http.can_read_body:
        return BytesBody(b"")
    length = http.content_length
    if length is None or length > _MAX_BUFFERED_BODY_BYTES:
        return _HttpBody(http)
    try:
        async with asyncio.timeout(timeout_s):
            await _send_continue(http)
            return BytesBody(await http.content.readexactly(length))
    except TimeoutError:
        raise DeadlineExceededError("the deadline passed before the body arrived") from None
    except Exception as error:  # aiohttp raises several unrelated types
        raise InvalidRequestError(f"reading the body failed: {error!r}") from error


async def _send_continue(http: PipelinedRequest) -> None:
    expected = http.headers.get("Expect")
    if expected is not None and expected.lower() == "100-continue":
        await http.wait_for_turn()
        await http.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        # aiohttp must not count the interim response as a part of the final one.
        http.writer.output_size = 0  # type: ignore[attr-defined]


def _split_path(http: PipelinedRequest) -> tuple[str, str]:
    """Returns the service and the path below it, in the caller's percent-encoding."""
    raw = http.raw_path
    if not raw.startswith("/"):
        # A request line may contain an absolute URL.
        raw = http.path_qs
    if not raw.isascii():
        raise InvalidRequestError("the path has non-ASCII characters that are not percent-encoded")
    service, separator, rest = raw[1:].partition("/")
    if "?" in service:
        service, _, query = raw[1:].partition("?")
        return service, f"/?{query}"
    return service, separator + rest or "/"


def _headers(http: PipelinedRequest) -> tuple[dict[str, str], Headers]:
    """Returns the headers for this agent by lower-case name, and the headers to forward."""
    agent_headers: dict[str, str] = {}
    forwarded: list[tuple[str, str]] = []
    connection = http.headers.get("Connection")
    dropped = _HOP_BY_HOP_HEADERS
    if connection is not None and connection.lower() not in ("keep-alive", "close"):
        connection_names = (name.strip().lower().encode() for name in connection.split(","))
        dropped = dropped | frozenset(connection_names)
    try:
        for name, value in http.raw_headers:
            lower_name, name_text, is_agent_header = _parse_name(name)
            if is_agent_header:
                label = lower_name.decode()
                if label in agent_headers:
                    raise InvalidRequestError(f"the header {label} is repeated")
                agent_headers[label] = value.decode()
            elif lower_name not in dropped:
                forwarded.append((name_text, value.decode()))
    except UnicodeDecodeError as error:
        raise InvalidRequestError(f"a header is not valid UTF-8: {error}") from error
    return agent_headers, tuple(forwarded)


@lru_cache(maxsize=1024)
def _parse_name(name: bytes) -> tuple[bytes, str, bool]:
    """Returns a header name in lower case, as text, and whether the header is for this agent."""
    lower_name = name.lower()
    return lower_name, name.decode(), lower_name.startswith(_AGENT_HEADER_PREFIX)


def _check_id(request_id: str) -> None:
    if len(request_id) > MAX_ID_CHARACTERS or not request_id.isascii():
        raise InvalidRequestError(f"{REQUEST_ID_HEADER} is too long or not ASCII")


def _deadline_ms(agent_headers: dict[str, str], default_ms: int) -> int:
    text = agent_headers.get(DEADLINE_MS_HEADER.lower())
    if text is None:
        return default_ms
    if not (text.isascii() and text.isdecimal() and len(text) < 10) or not (
        1 <= int(text) <= _MAX_DEADLINE_MS
    ):
        raise InvalidRequestError(
            f"{DEADLINE_MS_HEADER} is {text[:20]!r}; allowed: 1 to {_MAX_DEADLINE_MS}"
        )
    return int(text)
