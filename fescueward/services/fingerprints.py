"""Fingerprints by which the quarantine identifies equal requests."""

from __future__ import annotations

from collections.abc import AsyncGenerator

import xxhash

from ..messages import Body, Request
from ..messages.request import BytesBody

# The fingerprint covers only this prefix of the body, so that the run of a long upload can start
# before all of it has arrived.
PREFIX_BYTES = 65_536


class PrefixedBody:
    """A streamed body whose prefix is already buffered."""

    def __init__(self, prefix: bytes, rest: AsyncGenerator[bytes, None], body: Body) -> None:
        self.prefix = prefix
        self.length = body.length
        self.started = True
        self._rest = rest
        self._body = body

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields the prefix and then the rest of the body."""
        yield self.prefix
        async for chunk in self._rest:
            yield chunk

    async def close(self) -> None:
        """Closes the rest of the stream and the original body."""
        await self._rest.aclose()
        await self._body.close()


def fingerprint_of(request: Request) -> int:
    """Returns the hash of service, method, path, key, and length and prefix of the body.

    If the caller is known, it is hashed in place of the key, which may differ in a retry.
    """
    body = request.body
    prefix = b""
    if isinstance(body, BytesBody):
        prefix = body.data[:PREFIX_BYTES]
    elif isinstance(body, PrefixedBody):
        prefix = body.prefix[:PREFIX_BYTES]
    fields = "\n".join(
        (
            request.service,
            request.method,
            str(body.length),
            request.path,
            f"caller {request.caller}" if request.caller else request.key,
        )
    )
    return xxhash.xxh64_intdigest(fields.encode() + b"\n" + prefix) or 1
