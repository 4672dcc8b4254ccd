"""Requests of callers and their responses as HTTP messages of the platform."""

from __future__ import annotations

import math

from aiohttp.web_protocol import RequestPayloadError
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response as HttpResponse

from ..kernel import Outcome, RefusalError
from ..kernel.body_budget import BodyHolding
from ..kernel.errors import BodyTooLargeError, InvalidRequestError
from ..kernel.http_pipeline import PipelinedRequest
from ..messages import Response
from ..messages.configuration import CallerLimits
from ..messages.group import LAST_KEY
from .names import HOP_HEADERS, KEY, OWN_HEADERS, REQUEST_ID, TIMEOUT_MS

# Statuses that a caller receives as 503: 421 and 429 refer an agent to another agent, and 422
# would present a quarantined request as malformed, which it is not.
_REPLACED_STATUSES = frozenset({421, 422, 429})
# Retry delay for callers if the refusal does not set one.
RETRY_AFTER_S = 0.1
# Python converts only numbers up to a length.
_MAX_KEY_DIGITS = 100


def parse_key(http: BaseRequest) -> str:
    """Returns the key of a request.

    Raises:
        InvalidRequestError: It is no key.
    """
    text = http.headers.get(KEY, "")
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_KEY_DIGITS
    if not is_number or int(text) > LAST_KEY:
        raise InvalidRequestError(f"the key {text[:20]!r} is not an integer from 0 to {LAST_KEY}")
    return str(int(text))


def caller_timeout_s(http: BaseRequest, default_s: float) -> float:
    """Returns the time that the caller waits, in seconds, or the default if it states none."""
    text = http.headers.get(TIMEOUT_MS, "")
    try:
        timeout_s = float(text) / 1000
    except ValueError:
        return default_s
    return max(timeout_s, 0.0) if math.isfinite(timeout_s) else default_s


def forwarded_headers(http: BaseRequest) -> tuple[tuple[str, str], ...]:
    """Returns the headers that are passed on to the upstream."""
    connection_names = {
        name.strip().lower()
        for value in http.headers.getall("Connection", ())
        for name in value.split(",")
    }
    excluded = HOP_HEADERS | OWN_HEADERS | connection_names | {REQUEST_ID.lower(), KEY.lower()}
    return tuple(
        (str(name), value) for name, value in http.headers.items() if name.lower() not in excluded
    )


def check_body_size(size: int, limits: CallerLimits) -> None:
    """Raises `BodyTooLargeError` if a body has more bytes than the limit."""
    if size > limits.body_bytes:
        raise BodyTooLargeError(f"the body exceeds {limits.body_bytes} bytes")


async def read_body(http: BaseRequest, limits: CallerLimits, holding: BodyHolding) -> bytes:
    """Returns the body of a request.

    Raises:
        BodyTooLargeError: It exceeds the limit.
        InvalidRequestError: Its framing is malformed or exceeds its limit.
        OverloadedError: It does not fit beside the other bodies.
    """
    # Parts of a few bytes would take far more memory as a list.
    body = bytearray()
    try:
        async for part in http.content.iter_any():
            size = len(body) + len(part)
            check_body_size(size, limits)
            holding.grow_to(size)
            body += part
    except RequestPayloadError as error:
        raise InvalidRequestError(f"the body is malformed: {error}") from error
    return bytes(body)


async def http_response(http: PipelinedRequest, response: Response) -> HttpResponse:
    """Receives the body of a response, which counts against the budget of its connection."""
    parts, part, size = [], b"", 0
    try:
        async for part in response.body.chunks():
            parts.append(part)
            size += len(part)
            http.hold_response(size)
        body = b"".join(parts)
    finally:
        # The frame of a cancelled request can stay until the next collection.
        parts, part = [], b""
    result = HttpResponse(status=response.status, body=body)
    result.headers.popall("Content-Type", None)
    for name, value in response.headers:
        result.headers.add(name, value)
    return result


def refusal_response(error: RefusalError) -> HttpResponse:
    """Returns the response of a refused request."""
    headers = {"Content-Type": "application/json"}
    status = error.http_status
    if error.outcome is Outcome.NOT_RUN and (status >= 500 or status in _REPLACED_STATUSES):
        # A caller has the address of this agent only, so it has to retry at this agent.
        status = 503
        retry_after_s = error.retry_after_s or RETRY_AFTER_S
        headers["Retry-After"] = f"{retry_after_s:.3f}"
    text = f'{{"error":"{error.label}","outcome":"{error.outcome}"}}'
    return HttpResponse(status=status, headers=headers, text=text)
