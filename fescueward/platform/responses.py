"""Responses of the upstream: which can be passed on, and what they say of the upstream."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import aiohttp

from ..kernel.errors import AnswerLostError, OutcomeLostError
from ..messages import Request, Response
from ..messages.request import BytesBody
from ..messages.upstream import ReportedLoad
from .names import HOP_HEADERS, NOT_EXECUTED, RECEIPT, REQUEST_ID

# Longest cold time that an upstream can state, as in its heartbeats.
_MAX_COLD_MS = 3_600_000.0
_MAX_HANDOVER_TOKEN_LENGTH = 256
# Highest figure of a load; larger integers do not fit into the floats that are computed from them.
_MAX_LOAD_FIGURE = 1_000_000


def check_head(request: Request, http_response: aiohttp.ClientResponse) -> None:
    """Raises unless a response belongs to a request and can be forwarded."""
    headers = http_response.headers
    ids = headers.getall(REQUEST_ID, [])
    # The id comes first: a faulty upstream may write an earlier refusal once more on a kept
    # connection, where it says nothing about this request. Two ids stand in a head that was cut
    # off and continues with the head of another response.
    if ids != [request.id] and (request.repeatable or ids):
        raise OutcomeLostError(f"the response carries the ids {ids}")
    if is_refusal(http_response):
        return
    receipts = len(headers.getall(RECEIPT, []))
    if receipts > 1 or (not receipts and http_response.status < 300):
        raise AnswerLostError(f"the response has {receipts} signature headers")
    if "Content-Encoding" in headers:
        raise AnswerLostError("the response has a content encoding")
    if any(name != name.rstrip() for name in headers):
        # The parser accepts such a name, but a header of the framing would have no effect.
        raise AnswerLostError("the name of a header ends with a space")


def handover_token(values: Sequence[str]) -> str:
    """Returns the handover token of a response to a release, or an empty string for none.

    The token becomes a part of the group object, so bytes that are no text are not accepted.

    Raises:
        ValueError: The token cannot be used.
    """
    if not values:
        return ""
    if len(values) > 1:
        raise ValueError(f"the response has {len(values)} handover tokens")
    token = values[0]
    if not (token.isascii() and token.isprintable()) or len(token) > _MAX_HANDOVER_TOKEN_LENGTH:
        raise ValueError(f"the handover token is {token[:20]!a}")
    return token


def rate_limit(values: Iterable[str]) -> float | None:
    """Returns the lowest of the limits in a response, or None without one.

    Raises:
        ValueError: One of them is no rate.
    """
    rates = []
    for value in values:
        rate = float(value.replace(",", "."))
        if not math.isfinite(rate) or rate < 0:
            raise ValueError(f"the limit is {value[:20]!r}")
        rates.append(rate)
    return min(rates, default=None)


def reported_load(values: Sequence[str]) -> ReportedLoad | None:
    """Returns the load that a response reports, or None if it reports none.

    Raises:
        ValueError: The report cannot be read.
    """
    if not values:
        return None
    figures = [int(figure) for figure in values[0].split(",")]
    in_range = min(figures) >= 0 and max(figures) <= _MAX_LOAD_FIGURE
    if len(values) > 1 or len(figures) not in (3, 4) or not in_range or not figures[2]:
        raise ValueError(f"the load is {values[0][:40]!r}")
    slowness = figures[3] / 100 if len(figures) == 4 else None
    if slowness == 0:
        raise ValueError(f"the load is {values[0][:40]!r}")
    return ReportedLoad(figures[0], figures[1], figures[2], slowness)


def cold_s(values: Iterable[str]) -> float | None:
    """Returns the longest remaining cold time in a response in seconds, or None without one.

    Raises:
        ValueError: One of them is no time.
    """
    times = []
    for value in values:
        cold_ms = float(value)
        if not 0 <= cold_ms <= _MAX_COLD_MS:
            raise ValueError(f"the cold time is {value[:20]!r}")
        times.append(cold_ms / 1000)
    return max(times, default=None)


def is_refusal(http_response: aiohttp.ClientResponse) -> bool:
    """Returns whether the upstream states that it has not run the request."""
    return NOT_EXECUTED in http_response.headers or http_response.status == 421


def to_response(
    request: Request, http_response: aiohttp.ClientResponse, content: bytes
) -> Response:
    """Returns the response as it is passed on."""
    headers = tuple(
        (str(name), value)
        for name, value in http_response.headers.items()
        if name.lower() not in HOP_HEADERS
    )
    return Response(request.id, http_response.status, headers, BytesBody(content))
