"""Keys that one back end holds, after PROTOCOL.md."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class Hold:
    """A range of keys that was granted.

    Attributes:
        first: Lowest key.
        last: Highest key.
        fence: Epoch number.
        until: End by the clock of the back end, in seconds of the monotonic clock.
    """

    first: int
    last: int
    fence: int
    until: float


class Holds:
    """The holds of one start of a back end.

    Args:
        clock_factor: How much longer a hold lasts on the clock of the back end.
    """

    def __init__(self, clock_factor: float = 1.0) -> None:
        self._clock_factor = clock_factor
        self._holds: list[Hold] = []
        self._seen: list[Hold] = []

    def grant(self, first: int, last: int, fence: int, hold_s: float) -> bool:
        """Takes a grant that has arrived now; returns False for a higher epoch seen before."""
        if any(
            seen.first <= last and first <= seen.last and seen.fence > fence for seen in self._seen
        ):
            return False
        granted = Hold(first, last, fence, time.monotonic() + hold_s * self._clock_factor)
        self._seen.append(granted)
        self._holds = [*self._without(first, last, fence), granted]
        return True

    def release(self, first: int, last: int, fence: int) -> None:
        """Ends the holds of some keys up to an epoch."""
        self._holds = self._without(first, last, fence)

    def holds(self, key: int) -> bool:
        """Returns whether new work on a key may begin."""
        now = time.monotonic()
        return any(hold.first <= key <= hold.last and hold.until > now for hold in self._holds)

    def granted_until(self, key: int) -> float:
        """Returns until when a key was granted, whether it was released or not."""
        ends = [seen.until for seen in self._seen if seen.first <= key <= seen.last]
        return max(ends, default=0.0)

    def held_keys(self) -> list[tuple[int, int]]:
        """Returns the ranges that are held now."""
        now = time.monotonic()
        return sorted((hold.first, hold.last) for hold in self._holds if hold.until > now)

    def _without(self, first: int, last: int, fence: int) -> list[Hold]:
        kept = []
        for hold in self._holds:
            if hold.last < first or hold.first > last or hold.fence > fence:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(replace(hold, last=first - 1))
            if hold.last > last:
                kept.append(replace(hold, first=last + 1))
        return kept
