"""Keys that one start of an upstream holds, by the platform's grants."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace

from .records import Hold


@dataclass(frozen=True, slots=True)
class _Seen:
    first: int
    last: int
    fence: int


class KeyHolds:
    """Grants and releases of one start.

    Args:
        service: Service of the keys.
        instance: Id of the start.
        machine: Machine of the upstream.
        book: List that ended holds are appended to.
    """

    def __init__(self, service: str, instance: str, machine: str, book: list[Hold]) -> None:
        self._service = service
        self._instance = instance
        self._machine = machine
        self._book = book
        self._seen: dict[tuple[int, int], int] = {}
        self._open: list[Hold] = []

    def grant(self, first: int, last: int, fence: int, hold_s: float) -> bool:
        """Takes a grant that arrives now; returns whether no higher fence was seen before."""
        if any(
            fence < seen and first <= high and low <= last
            for (low, high), seen in self._seen.items()
        ):
            return False
        now = time.monotonic()
        self._seen[first, last] = fence
        self._expire(now)
        same = [h for h in self._open if (h.first, h.last, h.fence) == (first, last, fence)]
        if same:
            self._open.remove(same[0])
            self._open.append(replace(same[0], until=now + hold_s))
            return True
        self._cut(first, last, now)
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
        """Gives keys back that were granted with this fence or a lower one."""
        now = time.monotonic()
        self._expire(now)
        self._cut(first, last, now, fence)

    def end(self) -> None:
        """Ends all holds, as the upstream does."""
        now = time.monotonic()
        self._expire(now)
        self._cut(0, 65_535, now)

    def fence(self, key: int) -> int | None:
        """Returns the fence under which a key is held now, or None."""
        now = time.monotonic()
        return next(
            (h.fence for h in self._open if h.first <= key <= h.last and now < h.until), None
        )

    def open(self) -> list[Hold]:
        """Returns the holds that have not ended."""
        self._expire(time.monotonic())
        return list(self._open)

    def _expire(self, now: float) -> None:
        self._book += [hold for hold in self._open if hold.until <= now]
        self._open = [hold for hold in self._open if hold.until > now]

    def _cut(self, first: int, last: int, now: float, fence: int | None = None) -> None:
        """Ends what is held of a range, up to a fence; the parts outside of it go on."""
        kept = []
        for hold in self._open:
            if (
                hold.last < first
                or last < hold.first
                or (fence is not None and hold.fence > fence)
            ):
                kept.append(hold)
                continue
            low, high = max(first, hold.first), min(last, hold.last)
            self._book.append(replace(hold, first=low, last=high, until=now))
            if hold.first < low:
                kept.append(replace(hold, last=low - 1))
            if high < hold.last:
                kept.append(replace(hold, first=high + 1))
        self._open = kept
