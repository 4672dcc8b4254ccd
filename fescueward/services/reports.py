"""Load reports of the members of a group, added up by its planner."""

from __future__ import annotations

import math
from dataclasses import replace

from ..interfaces.placement import GroupLoad
from ..messages import Group
from ..messages.peer import LoadReport

_MICROSECONDS_PER_S = 1_000_000
# Weight of the newest round in the smoothed work. Members already average over some seconds; this
# halves the remaining noise, which would cause useless moves.
_NEWEST_ROUND_WEIGHT = 0.5
# A member that has not reported for this many rounds is ignored.
_EXPIRY_ROUNDS = 4
# A planner waits this many rounds for members that have not reported yet.
_FIRST_REPORT_ROUNDS = 3
# Smoothed work below this, in seconds per second, is dropped.
_MIN_WORK_S_PER_S = 1e-6


class ReportTable:
    """Newest load report of each member, and the smoothed load of the group.

    Args:
        now: Time at which this agent became the planner, in seconds of CLOCK_BOOTTIME.
        round_s: Period of reports in seconds.
    """

    def __init__(self, now: float, round_s: float) -> None:
        self._planner_since = now
        self._round_s = round_s
        self._reports: dict[str, tuple[float, LoadReport]] = {}
        self._smoothed_work: dict[int, float] = {}
        self._has_no_history = True
        self._complete = False
        self._load = GroupLoad(complete=False)

    @property
    def load(self) -> GroupLoad:
        """Load of the group at the end of the last round."""
        return self._load

    def add(self, report: LoadReport, now: float) -> None:
        """Stores the newest report of a member; `now` is its time of receipt in seconds."""
        self._reports[report.member_id] = (now, report)

    def restore(self, work: dict[int, float]) -> None:
        """Sets the work of shards without measured work to that stored by an earlier planner.

        Args:
            work: Stored work in seconds per second, by shard id.
        """
        for shard_id, value in work.items():
            if math.isfinite(value) and value > 0:
                self._smoothed_work.setdefault(shard_id, value)
                self._has_no_history = False

    def split(self, source: int, target: int, key: str) -> None:
        """Moves the measured work of a key from its hash shard to its new shard."""
        work = min(self._load.hot_keys.get(key, 0.0), self._smoothed_work.get(source, 0.0))
        if work > 0:
            self._smoothed_work[source] -= work
            self._smoothed_work[target] = work
            self._load = replace(self._load, work=dict(self._smoothed_work))

    def update(self, group: Group, now: float) -> None:
        """Adds up the reports at the end of a round; `now` is its time in seconds."""
        expires_before = now - _EXPIRY_ROUNDS * self._round_s
        self._reports = {
            member_id: (received_at, report)
            for member_id, (received_at, report) in self._reports.items()
            if member_id in group.members and received_at > expires_before
        }
        summed_work: dict[int, float] = {}
        hot_keys: dict[str, float] = {}
        capacity: dict[str, float] = {}
        for member_id, (_, report) in self._reports.items():
            scale = _scale(report, group.members[member_id].slots) / _MICROSECONDS_PER_S
            for shard_id, work in report.work.items():
                if shard_id < len(group.shards):
                    summed_work[shard_id] = summed_work.get(shard_id, 0.0) + work * scale
            for key, work in report.hot_keys.items():
                hot_keys[key] = hot_keys.get(key, 0.0) + work * scale
            capacity[member_id] = report.capacity
        self._smoothed_work = self._smooth(summed_work)
        self._has_no_history = False
        wait_ended = now - self._planner_since > _FIRST_REPORT_ROUNDS * self._round_s
        if wait_ended or set(group.members) <= set(self._reports):
            self._complete = True
        self._load = GroupLoad(dict(self._smoothed_work), hot_keys, capacity, self._complete)

    def _smooth(self, summed_work: dict[int, float]) -> dict[int, float]:
        if self._has_no_history:
            return summed_work
        smoothed = {}
        for shard_id in self._smoothed_work.keys() | summed_work.keys():
            before = self._smoothed_work.get(shard_id, 0.0)
            value = before + _NEWEST_ROUND_WEIGHT * (summed_work.get(shard_id, 0.0) - before)
            if value > _MIN_WORK_S_PER_S:
                smoothed[shard_id] = value
        return smoothed


def _scale(report: LoadReport, slots: int) -> float:
    """Returns the factor that scales an implausible report down, 1.0 for a plausible one.

    An upstream works at most as many seconds per second as it has slots. Twice as much is allowed,
    because the measurement overshoots during a short burst.
    """
    total = sum(report.work.values()) / _MICROSECONDS_PER_S
    return min(1.0, 2 * slots / total) if total > 0 else 1.0
