"""Pace at which runs may begin on an upstream that limits its rate."""

from __future__ import annotations

# Runs that may begin at once after a pause, in seconds of the rate.
_BURST_S = 0.25
# Lowest rate in requests per second: an upstream that is sent nothing cannot raise its limit.
_MIN_PER_SECOND = 0.25


class StartPace:
    """A token bucket for the beginnings of runs.

    It answers an upstream in need, which names how many requests per second it takes from all
    agents together. All requests pass the agent beside it, so no other one has to know the limit.
    """

    def __init__(self) -> None:
        self._per_second: float | None = None
        self._tokens = 0.0
        self._counted_until = 0.0

    @property
    def per_second(self) -> float | None:
        """The limit in requests per second, or None without one."""
        return self._per_second

    def limit(self, per_second: float | None, now: float) -> None:
        """Sets or lifts the limit; a changed one does not bring a new burst."""
        if per_second is None:
            self._per_second = None
            return
        if self._per_second is None:
            self._tokens, self._counted_until = 1.0, now
        self._refill(now)
        self._per_second = max(per_second, _MIN_PER_SECOND)

    def wait_s(self, ahead: int, now: float) -> float:
        """Returns the time until a run may begin after `ahead` others, in seconds."""
        if self._per_second is None:
            return 0.0
        self._refill(now)
        return max((ahead + 1 - self._tokens) / self._per_second, 0.0)

    def take(self, now: float) -> None:
        """Counts a run that begins."""
        if self._per_second is not None:
            self._refill(now)
            self._tokens -= 1

    def _refill(self, now: float) -> None:
        if self._per_second is None:
            return
        earned = (now - self._counted_until) * self._per_second
        self._tokens = min(self._tokens + earned, max(self._per_second * _BURST_S, 1.0))
        self._counted_until = now
