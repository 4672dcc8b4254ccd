"""Requests to the upstream stand-in: headers, query parameters and response bodies."""

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
CHUNK_BYTES = 64 * 1024
MIN_SLOW_CHUNKS = 10
Milliseconds = Annotated[int, Meta(ge=0, le=600_000)]
Count = Annotated[int, Meta(ge=0)]


class Refusal(enum.StrEnum):
    """Reasons to reject a request before it runs: values of the header `Fescueward-Refusal`."""

    GRANT = "grant"
    DEADLINE = "deadline"
    SHED = "shed"
    LEAVING = "leaving"
    MALFORMED = "malformed"


_REFUSAL_STATUS = {Refusal.GRANT: 403, Refusal.MALFORMED: 400}


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """Body of the response to a request without the query parameter `size`.

    Attributes:
        request_id: Id of the request.
        key: Key of the request, empty without one.
        epoch: Epoch under which it ran, or None.
        upstream: Name of the upstream.
        body_sha256: SHA-256 of the request body, in hexadecimal digits.
        body_bytes: Size of the request body in bytes.
    """

    request_id: str
    key: str
    epoch: int | None
    upstream: str
    body_sha256: str
    body_bytes: int


@dataclass(frozen=True, slots=True)
class Behaviour:
    """Query parameters of a request, documented in the module `fescueward.testing.upstream`."""

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
        request_id: Id of the request.
        key: Key of the request, empty without one.
        shard: Shard of the key, or None.
        epoch: Epoch of the shard's ownership, or None.
        deadline_ns: Deadline in CLOCK_BOOTTIME nanoseconds, or None.
        token: Idempotency token, or None.
        behaviour: Query parameters.
    """

    request_id: str
    key: str
    shard: Count | None
    epoch: Count | None
    deadline_ns: Count | None
    token: str | None
    behaviour: Behaviour


def parse_call(request: web.Request) -> Call:
    """Parses headers and query of a request.

    Raises:
        MalformedMessageError: A header or query parameter is malformed or out of range.
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


def body_chunks(request_id: str, size: int, *, slow: bool) -> tuple[bytes, ...]:
    """Returns the chunks of a response body.

    The body depends on the request id, so that a response to another request is detected.

    Args:
        request_id: Id of the request.
        size: Size of the body in bytes.
        slow: Whether to split the body into at least `MIN_SLOW_CHUNKS` chunks, if it is large
            enough.
    """
    if size == 0:
        return (b"",)
    chunk_bytes = min(CHUNK_BYTES, max(1, size // MIN_SLOW_CHUNKS) if slow else size)
    pattern = hashlib.sha256(request_id.encode()).hexdigest().encode()
    chunk = (pattern * (chunk_bytes // len(pattern) + 1))[:chunk_bytes]
    full_count, rest_bytes = divmod(size, chunk_bytes)
    return (chunk,) * full_count + ((chunk[:rest_bytes],) if rest_bytes else ())


def sha256_of(chunks: Iterable[bytes]) -> str:
    """Returns the SHA-256 of a body in hexadecimal digits."""
    digest = hashlib.sha256()
    for chunk in chunks:
        digest.update(chunk)
    return digest.hexdigest()


def refusal_response(refusal: Refusal, request_id: str, message: str) -> web.Response:
    """Returns the response to a request that is rejected before it runs.

    Args:
        refusal: Reason of the rejection.
        request_id: Id of the request.
        message: Text of the response body.
    """
    headers = {REFUSAL_HEADER: refusal, REQUEST_ID_HEADER: request_id}
    return web.Response(status=_REFUSAL_STATUS.get(refusal, 503), headers=headers, text=message)
