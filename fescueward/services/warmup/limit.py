"""The most requests that an upstream may get in any second, and the rate below it.

Answers upstreams that crash when they get far more requests in a second than a cold one takes.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

# The rules count one second. Requests are sent up to this much later than they are counted.
WINDOW_S = 1.2
# Share of the configured rate that a cold upstream gets. The rest is for requests that take
# different times on their way.
_TARGET_SHARE = 0.9
# Time within which the rate rises from that of a cold upstream to `_RAMP_FACTOR` times it; it has
# no limit afterwards.
RAMP_S = 0.5
_RAMP_FACTOR = 16.0
# Shorter waits are errors of rounding; a timer for one would end before time has advanced.
_SHORTEST_WAIT_S = 1e-6
# Requests that may begin at once after a pause, in seconds of the rate.
_BURST_S = 0.15


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """What a cold upstream takes.

    Attributes:
        per_second: Rate of the configuration in requests per second, above 0.
        most: Most requests in any second.
    """

    per_second: float
    most: int

    @classmethod
    def of(cls, per_second: float, over: float, slack: float) -> ColdLimit:
        """Returns the limit of a rate that may be exceeded by a factor and a number."""
        most = per_second * over + slack
        return cls(per_second, max(math.floor(most if math.isfinite(most) else per_second), 1))

    @property
    def target_per_second(self) -> float:
        """Rate at which a cold upstream gets requests."""
        return self.per_second * _TARGET_SHARE

    def ramp_per_second(self, warm_s: float) -> float | None:
        """Returns the rate this long after the end of a cold time; None without a limit."""
        if warm_s >= RAMP_S:
            return None
        return float(self.target_per_second * _RAMP_FACTOR ** (max(warm_s, 0.0) / RAMP_S))


class RequestWindow:
    """Times of the requests of the last `WINDOW_S` seconds."""

    def __init__(self) -> None:
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Counts a request."""
        self._times.append(now)
        while self._times[0] <= now - WINDOW_S:
            self._times.popleft()

    def count(self, now: float, since: float = -math.inf) -> int:
        """Returns the number of requests of the window that are not older than `since`."""
        return len(self._recent(now, since))

    def wait_s(self, ahead: int, most: int, now: float, since: float = -math.inf) -> float:
        """Returns the time until a request after `ahead` others keeps the limit, in seconds.

        Args:
            ahead: Requests that begin before it.
            most: Most requests in a window.
            now: Current time in seconds.
            since: Time in seconds before which requests do not count.
        """
        times = self._recent(now, since)
        leaving = len(times) + ahead + 1 - most
        if leaving <= 0:
            return 0.0
        if leaving <= len(times):
            return _rounded(times[leaving - 1] + WINDOW_S - now)
        return WINDOW_S * (1 + (leaving - len(times) - 1) // most)

    def _recent(self, now: float, since: float) -> list[float]:
        oldest = max(now - WINDOW_S, since)
        return [time for time in self._times if time > oldest]


class RatePace:
    """A token bucket whose rate its user passes on each call, because it can rise steadily."""

    def __init__(self) -> None:
        self._tokens = 1.0
        self._counted_until = 0.0

    def reset(self, now: float) -> None:
        """Permits one request at once and the others at the rate."""
        self._tokens, self._counted_until = 1.0, now

    def wait_s(self, ahead: int, per_second: float, now: float) -> float:
        """Returns the time until a request may begin after `ahead` others, in seconds."""
        self._refill(per_second, now)
        return _rounded((ahead + 1 - self._tokens) / per_second)

    def take(self, per_second: float, now: float) -> None:
        """Counts a request that begins."""
        self._refill(per_second, now)
        self._tokens -= 1

    def _refill(self, per_second: float, now: float) -> None:
        earned = max(now - self._counted_until, 0.0) * per_second
        self._tokens = min(self._tokens + earned, max(per_second * _BURST_S, 1.0))
        self._counted_until = now


def _rounded(wait_s: float) -> float:
    return wait_s if wait_s > _SHORTEST_WAIT_S else 0.0
