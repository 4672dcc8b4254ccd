"""Key ranges that an upstream holds through the platform's grants."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace

from .records import Hold


@dataclass(frozen=True, slots=True)
class _GrantedRange:
    first: int
    last: int
    fence: int


class KeyHolds:
    """Key ranges held by one start of an upstream.

    Args:
        service: Service of the keys.
        instance: Start id of the upstream.
        machine: Machine of the upstream.
        ended: List to which ended holds are appended.
    """

    def __init__(self, service: str, instance: str, machine: str, ended: list[Hold]) -> None:
        self._service = service
        self._instance = instance
        self._machine = machine
        self._ended = ended
        self._fences: dict[tuple[int, int], int] = {}
        self._open: list[Hold] = []

    def grant(self, first: int, last: int, fence: int, hold_s: float) -> bool:
        """Applies a grant, which replaces or renews the holds of its keys.

        Args:
            first: Lowest key.
            last: Highest key, inclusive.
            fence: Epoch of the grant.
            hold_s: Duration of the grant from now on, in seconds.

        Returns:
            False if the grant is stale: an earlier grant of some of the keys had a higher epoch.
        """
        if any(
            fence < known_fence and first <= high and low <= last
            for (low, high), known_fence in self._fences.items()
        ):
            return False
        now = time.monotonic()
        self._fences[first, last] = fence
        self._expire(now)
        renewed = [
            hold
            for hold in self._open
            if (hold.first, hold.last, hold.fence) == (first, last, fence)
        ]
        if renewed:
            self._open.remove(renewed[0])
            self._open.append(replace(renewed[0], until=now + hold_s))
            return True
        self._end_range(first, last, now)
        self._open.append(
            Hold(
                service=self._service,
                instance=self._instance,
                machine=self._machine,
                first=first,
                last=last,
                fence=fence,
                since=now,
                until=now + hold_s,
            )
        )
        return True

    def release(self, first: int, last: int, fence: int) -> None:
        """Ends the holds of a key range that were granted with this epoch or a lower one.

        Args:
            first: Lowest key.
            last: Highest key, inclusive.
            fence: Highest epoch to release.
        """
        now = time.monotonic()
        self._expire(now)
        self._end_range(first, last, now, fence)

    def end_all(self) -> None:
        """Ends all holds, because the upstream stops."""
        now = time.monotonic()
        self._expire(now)
        self._end_range(0, 65_535, now)

    def fence_of(self, key: int) -> int | None:
        """Returns the epoch under which a key is held now, or None if it is not held."""
        now = time.monotonic()
        return next(
            (
                hold.fence
                for hold in self._open
                if hold.first <= key <= hold.last and now < hold.until
            ),
            None,
        )

    def open_holds(self) -> list[Hold]:
        """Returns the holds that have not ended."""
        self._expire(time.monotonic())
        return list(self._open)

    def _expire(self, now: float) -> None:
        self._ended += [hold for hold in self._open if hold.until <= now]
        self._open = [hold for hold in self._open if hold.until > now]

    def _end_range(self, first: int, last: int, now: float, fence: int | None = None) -> None:
        """Ends the holds of a key range up to an epoch, or with any epoch if `fence` is None.

        A hold that extends beyond the range is split, and its keys outside the range stay held.
        """
        remaining = []
        for hold in self._open:
            if (
                hold.last < first
                or last < hold.first
                or (fence is not None and hold.fence > fence)
            ):
                remaining.append(hold)
                continue
            low, high = max(first, hold.first), min(last, hold.last)
            self._ended.append(replace(hold, first=low, last=high, until=now))
            if hold.first < low:
                remaining.append(replace(hold, last=low - 1))
            if high < hold.last:
                remaining.append(replace(hold, first=high + 1))
        self._open = remaining
