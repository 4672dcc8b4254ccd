"""Requests to the stand-in: headers, behaviour named by the query, and answers."""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec
from aiohttp import web
from msgspec import Meta

from ...kernel.errors import MalformedMessageError
from ...messages.upstream import (
    DEADLINE_HEADER,
    EPOCH_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
    SHARD_HEADER,
    TOKEN_HEADER,
)

REFUSAL_HEADER = "Fescueward-Refusal"
DIGEST_HEADER = "Digest-Sha256"
PIECE_BYTES = 64 * 1024
SLOW_PIECES = 10
Milliseconds = Annotated[int, Meta(ge=0, le=600_000)]
Count = Annotated[int, Meta(ge=0)]


class Refusal(enum.StrEnum):
    """Why a request is rejected before it runs: values of the header `Fescueward-Refusal`."""

    GRANT = "grant"
    DEADLINE = "deadline"
    SHED = "shed"
    LEAVING = "leaving"
    MALFORMED = "malformed"


_REFUSAL_STATUS = {Refusal.GRANT: 403, Refusal.MALFORMED: 400}


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """Body of the response to a request that names no size.

    Attributes:
        request_id: Id of the request.
        key: Its key.
        epoch: Epoch that it ran under, or None.
        upstream: Name of the upstream.
        body_sha256: SHA-256 of the request body, in hexadecimal digits.
        body_bytes: Size of the request body.
    """

    request_id: str
    key: str
    epoch: int | None
    upstream: str
    body_sha256: str
    body_bytes: int


@dataclass(frozen=True, slots=True)
class Behaviour:
    """What the query of a request asks for; see the module."""

    sleep_ms: Milliseconds | None = None
    size: Annotated[int, Meta(ge=0, le=1 << 32)] | None = None
    status: Annotated[int, Meta(ge=200, le=599)] = 200
    crash: bool = False
    truncate: bool = False
    slow_body: Milliseconds = 0


@dataclass(frozen=True, slots=True)
class Call:
    """Headers and behaviour of one request.

    Attributes:
        request_id: Its id.
        key: Its key.
        shard: Its shard, or None.
        epoch: Its epoch, or None.
        deadline_ns: Its deadline in CLOCK_BOOTTIME nanoseconds, or None.
        token: Idempotency token, or None.
        behaviour: What its query asks for.
    """

    request_id: str
    key: str
    shard: Count | None
    epoch: Count | None
    deadline_ns: Count | None
    token: str | None
    behaviour: Behaviour


def parse_call(request: web.Request) -> Call:
    """Reads headers and query of a request.

    Raises:
        MalformedMessageError: A number is missing its digits or out of range.
    """
    headers = request.headers
    values = {
        "request_id": headers[REQUEST_ID_HEADER],
        "key": headers.get(KEY_HEADER, ""),
        "shard": headers.get(SHARD_HEADER),
        "epoch": headers.get(EPOCH_HEADER),
        "deadline_ns": headers.get(DEADLINE_HEADER),
        "token": headers.get(TOKEN_HEADER),
        "behaviour": dict(request.query),
    }
    try:
        return msgspec.convert(values, Call, strict=False)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(f"bad request: {error}") from error


def body_pieces(request_id: str, size: int, *, slow: bool) -> tuple[bytes, ...]:
    """Returns a body that differs between requests, so that a mixed-up answer shows.

    Args:
        request_id: Id of the request.
        size: Size of the body in bytes.
        slow: Whether to make at least ten pieces.
    """
    if size == 0:
        return (b"",)
    piece_bytes = min(PIECE_BYTES, max(1, size // SLOW_PIECES) if slow else size)
    pattern = hashlib.sha256(request_id.encode()).hexdigest().encode()
    piece = (pattern * (piece_bytes // len(pattern) + 1))[:piece_bytes]
    whole, rest = divmod(size, piece_bytes)
    return (piece,) * whole + ((piece[:rest],) if rest else ())


def sha256_of(pieces: Iterable[bytes]) -> str:
    """Returns the SHA-256 of a body in hexadecimal digits."""
    digest = hashlib.sha256()
    for piece in pieces:
        digest.update(piece)
    return digest.hexdigest()


def refusal_response(refusal: Refusal, request_id: str, message: str) -> web.Response:
    """Returns the answer to a request that is rejected before it runs."""
    headers = {REFUSAL_HEADER: refusal, REQUEST_ID_HEADER: request_id}
    return web.Response(status=_REFUSAL_STATUS.get(refusal, 503), headers=headers, text=message)
