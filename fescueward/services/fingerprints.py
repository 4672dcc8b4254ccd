"""What makes two requests the same for the quarantine."""

from __future__ import annotations

from collections.abc import AsyncGenerator

import xxhash

from ..messages import Body, Request
from ..messages.request import BytesBody

# The fingerprint covers this much of the body, so that a long upload starts to run early.
HEAD_BYTES = 65_536


class HeadedBody:
    """A body whose beginning has been read."""

    def __init__(self, head: bytes, rest: AsyncGenerator[bytes, None], body: Body) -> None:
        self.head = head
        self.length = body.length
        self.started = True
        self._rest = rest
        self._body = body

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields the beginning and what follows."""
        yield self.head
        async for chunk in self._rest:
            yield chunk

    async def close(self) -> None:
        """Closes the body."""
        await self._rest.aclose()
        await self._body.close()


def fingerprint_of(request: Request) -> int:
    """Returns the hash of service, method, path, beginning and length of the body, and key.

    Where the caller is known, it stands in the place of the key, which a repetition may change.
    """
    body = request.body
    head = b""
    if isinstance(body, BytesBody):
        head = body.data[:HEAD_BYTES]
    elif isinstance(body, HeadedBody):
        head = body.head[:HEAD_BYTES]
    names = "\n".join(
        (
            request.service,
            request.method,
            str(body.length),
            request.path,
            f"caller {request.caller}" if request.caller else request.key,
        )
    )
    return xxhash.xxh64_intdigest(names.encode() + b"\n" + head) or 1
