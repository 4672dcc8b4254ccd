"""Order in which a member releases ranges that have a successor."""

from __future__ import annotations

from collections.abc import Iterable

from ...messages.group import KeyRange
from .handover import RangeId, range_id
from .moves import BLOCK_KEYS

# Ranges of one member that may be without an owner that serves them at a time. More than the usual
# number of slots, since a range without running work is released at once.
MAX_CONCURRENT_RELEASES = 16
# Admitted requests count half after this time.
_HALVING_PERIOD_S = 0.5


class HandoverQueue:
    """Ranges of this member that have a successor.

    Load answered: a placement round that moves dozens of hot blocks of one member, which its
    upstream releases one by one as it ends its work on them. A range is served until its own
    release begins. The hottest ranges leave first, since they are why ranges are moved.

    Attributes:
        released: Ranges whose release has begun: neither granted nor served any more.
    """

    def __init__(self) -> None:
        self.released: set[RangeId] = set()
        self._waiting: list[KeyRange] = []
        # Requests admitted lately, by key block.
        self._admissions: dict[int, float] = {}
        self._halved_at = 0.0

    @property
    def empty(self) -> bool:
        """Whether no range is being released or waits for it."""
        return not self.released and not self._waiting

    def record_admission(self, key: int, now: float) -> None:
        """Counts an admitted request for a key; `now` is in seconds of CLOCK_BOOTTIME."""
        if now - self._halved_at >= _HALVING_PERIOD_S:
            self._halved_at = now
            self._admissions = {block: n / 2 for block, n in self._admissions.items() if n > 1}
        block = key // BLOCK_KEYS
        self._admissions[block] = self._admissions.get(block, 0.0) + 1

    def update(self, own_ranges: Iterable[KeyRange]) -> None:
        """Sets the ranges that this member owns by a newer group version.

        A range that waits and has lost its successor stays with this member.
        """
        ranges = {range_id(key_range): key_range for key_range in own_ranges}
        self.released &= ranges.keys()
        self._waiting = sorted(
            (
                key_range
                for key_range_id, key_range in ranges.items()
                if key_range.successor is not None and key_range_id not in self.released
            ),
            key=self._count_admissions,
            reverse=True,
        )

    def start_releases(self) -> list[KeyRange]:
        """Returns the ranges whose release begins now."""
        free = max(MAX_CONCURRENT_RELEASES - len(self.released), 0)
        starting, self._waiting = self._waiting[:free], self._waiting[free:]
        self.released.update(map(range_id, starting))
        return starting

    def finish(self, key_range: KeyRange) -> None:
        """Records that the next owner of a released range is known."""
        self.released.discard(range_id(key_range))

    def _count_admissions(self, key_range: KeyRange) -> float:
        first, last = key_range.first // BLOCK_KEYS, key_range.last // BLOCK_KEYS
        return sum(n for block, n in self._admissions.items() if first <= block <= last)
