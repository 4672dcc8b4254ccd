"""Reading of callers' requests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from functools import lru_cache

from aiohttp import web

from ...interfaces import Catalogue
from ...kernel import Clock
from ...kernel.errors import (
    BodyTruncatedError,
    DeadlineExceededError,
    InvalidRequestError,
    MissingKeyError,
)
from ...messages import Body, Request
from ...messages.request import BytesBody, Headers
from ...messages.upstream import (
    DEADLINE_MS_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
    TOKEN_HEADER,
)

_INLINE_BYTES = 65_536
_MAX_DEADLINE_MS = 600_000
_MAX_KEY_CHARACTERS = 1024
_METHODS = frozenset({"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"})
# Headers of the caller's connection.
_NOT_FORWARDED = frozenset(
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
_OWN_PREFIX = b"fescueward-"
# Also the most characters of an id that an answer repeats.
MAX_ID_CHARACTERS = 200


async def read_request(
    http: web.BaseRequest, request_id: str, catalogue: Catalogue, clock: Clock
) -> Request:
    """Returns a caller's request; a large body is read as it is consumed.

    Args:
        http: What the caller sent.
        request_id: Id of the request.
        catalogue: Entries of the services.
        clock: Clock of the deadline.

    Raises:
        RefusalError: The request is malformed or names no service of the catalogue.
    """
    if http.method not in _METHODS:
        raise InvalidRequestError(f"method {http.method!r} is not one of {sorted(_METHODS)}")
    service, path = _split(http)
    entry = catalogue.entry(service).entry
    own, headers = _headers(http)
    key = own.get(KEY_HEADER.lower(), "")
    if not key:
        raise MissingKeyError(f"the request to {service!r} has no {KEY_HEADER} header")
    if len(key) > _MAX_KEY_CHARACTERS:
        raise InvalidRequestError(f"the key exceeds {_MAX_KEY_CHARACTERS} characters")
    _check_id(request_id)
    deadline_ms = _deadline_ms(own, entry.limits.deadline_ms)
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
        token=own.get(TOKEN_HEADER.lower()),
    )


class _HttpBody:
    """The body of a caller's request, read as it is consumed."""

    def __init__(self, http: web.BaseRequest) -> None:
        self.length = http.content_length
        self.started = False
        self._http = http

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        self.started = True
        received = 0
        await _send_continue(self._http)
        try:
            async for chunk in self._http.content.iter_any():
                received += len(chunk)
                yield chunk
        except Exception as error:  # aiohttp raises several unrelated types
            raise BodyTruncatedError(f"the caller's body broke: {error!r}") from error
        if self.length is not None and received != self.length:
            raise BodyTruncatedError(f"{received} of {self.length} bytes arrived")

    async def close(self) -> None:
        """Does nothing; aiohttp ends the connection."""


async def _body(http: web.BaseRequest, timeout_s: float) -> Body:
    if not http.can_read_body:
        return BytesBody(b"")
    length = http.content_length
    if length is None or length > _INLINE_BYTES:
        return _HttpBody(http)
    try:
        async with asyncio.timeout(timeout_s):
            await _send_continue(http)
            return BytesBody(await http.content.readexactly(length))
    except TimeoutError:
        raise DeadlineExceededError("the deadline passed before the body arrived") from None
    except Exception as error:  # aiohttp raises several unrelated types
        raise InvalidRequestError(f"the body broke: {error!r}") from error


async def _send_continue(http: web.BaseRequest) -> None:
    expected = http.headers.get("Expect")
    if expected is not None and expected.lower() == "100-continue":
        await http.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        # The interim response is no part of the response.
        http.writer.output_size = 0  # type: ignore[attr-defined]


def _split(http: web.BaseRequest) -> tuple[str, str]:
    """Returns the service and the path below it, as the caller wrote it."""
    raw = http.raw_path
    if not raw.startswith("/"):
        # A request line may carry a whole URL.
        raw = http.path_qs
    if not raw.isascii():
        raise InvalidRequestError("the path has characters that are not percent-encoded")
    service, separator, rest = raw[1:].partition("/")
    if "?" in service:
        service, _, query = raw[1:].partition("?")
        return service, f"/?{query}"
    return service, separator + rest or "/"


def _headers(http: web.BaseRequest) -> tuple[dict[str, str], Headers]:
    """Returns the headers for this agent by lower-case name, and those to pass on."""
    own: dict[str, str] = {}
    passed: list[tuple[str, str]] = []
    connection = http.headers.get("Connection")
    dropped = _NOT_FORWARDED
    if connection is not None and connection.lower() not in ("keep-alive", "close"):
        named = (name.strip().lower().encode() for name in connection.split(","))
        dropped = dropped | frozenset(named)
    try:
        for name, value in http.raw_headers:
            lower, text, is_own = _name(name)
            if is_own:
                label = lower.decode()
                if label in own:
                    raise InvalidRequestError(f"the header {label} is given twice")
                own[label] = value.decode()
            elif lower not in dropped:
                passed.append((text, value.decode()))
    except UnicodeDecodeError as error:
        raise InvalidRequestError(f"a header is not valid UTF-8: {error}") from error
    return own, tuple(passed)


@lru_cache(maxsize=1024)
def _name(name: bytes) -> tuple[bytes, str, bool]:
    """Returns a header name in lower case and as text, and whether it is for this agent."""
    lower = name.lower()
    return lower, name.decode(), lower.startswith(_OWN_PREFIX)


def _check_id(request_id: str) -> None:
    if len(request_id) > MAX_ID_CHARACTERS or not request_id.isascii():
        raise InvalidRequestError(f"{REQUEST_ID_HEADER} is too long or not ASCII")


def _deadline_ms(own: dict[str, str], default: int) -> int:
    text = own.get(DEADLINE_MS_HEADER.lower())
    if text is None:
        return default
    if not (text.isascii() and text.isdecimal() and len(text) < 10) or not (
        1 <= int(text) <= _MAX_DEADLINE_MS
    ):
        raise InvalidRequestError(
            f"{DEADLINE_MS_HEADER} is {text[:20]!r}; allowed: 1 to {_MAX_DEADLINE_MS}"
        )
    return int(text)
