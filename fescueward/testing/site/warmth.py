"""Cold times of an emulated upstream and the requests that arrive within them."""

from __future__ import annotations

import time


class ColdTime:
    """Counts the requests that an upstream gets while it is cold."""

    def __init__(self) -> None:
        self._until = 0.0
        self._arrivals: list[float] = []

    @property
    def left_s(self) -> float:
        """Remaining time for which the upstream is cold, in seconds."""
        return max(self._until - time.monotonic(), 0.0)

    @property
    def most_in_a_second(self) -> int:
        """Most requests that arrived within one second of cold time."""
        times = self._arrivals
        return max((sum(t <= at < t + 1.0 for at in times) for t in times), default=0)

    def begin(self, seconds: float) -> None:
        """Makes the upstream cold from now on."""
        self._until = time.monotonic() + seconds

    def count(self) -> None:
        """Counts a request that arrives now."""
        if self.left_s > 0:
            self._arrivals.append(time.monotonic())
