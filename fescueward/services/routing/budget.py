"""This agent's part of the retry budget that the whole fleet shares."""

from __future__ import annotations

from collections import deque

from ...kernel.bounds import Bounds

# Part of the budget that is used: windows of different agents do not begin together, and a member
# that was lost is counted as living for some seconds.
_USED_SHARE = 0.7


class RetryBudget:
    """Permits repeated sends of one service within a sliding window.

    Args:
        bounds: The bounds of the fleet.
    """

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._sent: deque[float] = deque()
        self._repeated: deque[float] = deque()

    def earn(self, now: float) -> None:
        """Counts a request of a caller."""
        self._sent.append(now)
        self._expire(now)

    def left(self, now: float, agents: int) -> float:
        """Returns how many repeated sends are permitted now.

        Args:
            now: Present time in seconds of CLOCK_BOOTTIME.
            agents: Number of agents that share the burst.
        """
        self._expire(now)
        burst = self._bounds.retry_burst / max(agents, 1)
        earned = self._bounds.retry_ratio * len(self._sent)
        return (earned + burst) * _USED_SHARE - len(self._repeated)

    def spend(self, now: float, agents: int) -> bool:
        """Takes one repeated send; tells whether it is permitted."""
        if self.left(now, agents) < 1:
            return False
        self._repeated.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self._bounds.retry_window_s
        for times in (self._sent, self._repeated):
            while times and times[0] < oldest:
                times.popleft()
