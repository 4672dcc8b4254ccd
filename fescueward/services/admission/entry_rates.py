"""Rate limits of catalogue entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...kernel.errors import RateLimitedError
from ...messages import Entry

if TYPE_CHECKING:
    from aiolimiter import AsyncLimiter

# Burst of the rate limiter, in seconds of the permitted rate.
_RATE_BURST_S = 0.1


class EntryRates:
    """Limits the requests per second of each service as its entry says."""

    def __init__(self) -> None:
        self._limiters: dict[str, tuple[int, AsyncLimiter]] = {}

    async def take(self, entry: Entry) -> None:
        """Counts a request.

        Raises:
            RateLimitedError: The rate limit of the entry is reached.
        """
        rate = entry.limits.requests_per_second
        if not rate:
            return
        # Few services have a limit, and the library reads package metadata when it is imported.
        from aiolimiter import AsyncLimiter

        cached = self._limiters.get(entry.service)
        if cached is None or cached[0] != rate:
            burst = max(rate * _RATE_BURST_S, 1.0)
            cached = (rate, AsyncLimiter(burst, burst / rate))
            self._limiters[entry.service] = cached
        if not cached[1].has_capacity():
            raise RateLimitedError(
                f"{entry.service!r} is limited to {rate} requests/s on each server",
                retry_after_s=1.0,
            )
        await cached[1].acquire()
