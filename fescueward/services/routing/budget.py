"""This agent's share of the fleet-wide retry budget."""

from __future__ import annotations

from collections import deque

from ...kernel.bounds import Bounds

# Share of the budget that is used. The rest is a margin: the windows of the agents do not start
# together, and a lost member is still counted for some seconds.
_USED_SHARE = 0.7


class RetryBudget:
    """Limits the retries of one service within a sliding window.

    Args:
        bounds: The bounds of the fleet.
    """

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._request_times: deque[float] = deque()
        self._retry_times: deque[float] = deque()

    def deposit(self, now: float) -> None:
        """Counts a request of a caller, which raises the balance."""
        self._request_times.append(now)
        self._expire(now)

    def balance(self, now: float, agents: int) -> float:
        """Returns the number of retries that are permitted now; below zero if overdrawn.

        Args:
            now: Current time in seconds of CLOCK_BOOTTIME.
            agents: Number of agents that share the burst.
        """
        self._expire(now)
        burst = self._bounds.retry_burst / max(agents, 1)
        earned = self._bounds.retry_ratio * len(self._request_times)
        return (earned + burst) * _USED_SHARE - len(self._retry_times)

    def try_withdraw(self, now: float, agents: int) -> bool:
        """Counts a retry if the balance permits one; returns whether it does."""
        if self.balance(now, agents) < 1:
            return False
        self._retry_times.append(now)
        return True

    def _expire(self, now: float) -> None:
        window_start = now - self._bounds.retry_window_s
        for times in (self._request_times, self._retry_times):
            while times and times[0] < window_start:
                times.popleft()
