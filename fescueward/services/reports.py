"""Load reports of the members of a group, added up by its planner."""

from __future__ import annotations

import math
from dataclasses import replace

from ..interfaces.placement import GroupLoad
from ..messages import Group
from ..messages.peer import LoadReport

_MICROSECONDS = 1_000_000
# Weight of the newest round in the smoothed work. Members average over some seconds already;
# this halves what is left of the noise, on which moves would be wasted.
_NEWEST = 0.5
# A member that has not reported for so many rounds is left out.
_EXPIRY_ROUNDS = 4
# A planner waits this many rounds for members that have not reported yet.
_PATIENCE_ROUNDS = 3
# Smoothed work below this is dropped, in seconds per second.
_NEGLIGIBLE = 1e-6


class ReportTable:
    """What a planner knows of its group.

    Args:
        now: Time at which this agent became the planner.
        round_s: Period of reports in seconds.
    """

    def __init__(self, now: float, round_s: float) -> None:
        self._since = now
        self._round_s = round_s
        self._reports: dict[str, tuple[float, LoadReport]] = {}
        self._smooth: dict[int, float] = {}
        self._fresh = True
        self._complete = False
        self._load = GroupLoad(complete=False)

    @property
    def load(self) -> GroupLoad:
        """The load at the last round."""
        return self._load

    def add(self, report: LoadReport, now: float) -> None:
        """Takes the report of a member."""
        self._reports[report.member_id] = (now, report)

    def restore(self, work: dict[int, float]) -> None:
        """Starts from the figures of an earlier planner where nothing was reported yet."""
        for shard_id, value in work.items():
            if math.isfinite(value) and value > 0:
                self._smooth.setdefault(shard_id, value)
                self._fresh = False

    def split(self, source: int, target: int, key: str) -> None:
        """Counts the work of a key for its new shard."""
        work = min(self._load.hot_keys.get(key, 0.0), self._smooth.get(source, 0.0))
        if work > 0:
            self._smooth[source] -= work
            self._smooth[target] = work
            self._load = replace(self._load, work=dict(self._smooth))

    def update(self, group: Group, now: float) -> None:
        """Adds the reports up at the end of a round."""
        expired = now - _EXPIRY_ROUNDS * self._round_s
        self._reports = {
            member_id: (at, report)
            for member_id, (at, report) in self._reports.items()
            if member_id in group.members and at > expired
        }
        summed: dict[int, float] = {}
        hot_keys: dict[str, float] = {}
        capacity: dict[str, float] = {}
        for member_id, (_, report) in self._reports.items():
            scale = _scale(report, group.members[member_id].slots) / _MICROSECONDS
            for shard_id, work in report.work.items():
                if shard_id < len(group.shards):
                    summed[shard_id] = summed.get(shard_id, 0.0) + work * scale
            for key, work in report.hot_keys.items():
                hot_keys[key] = hot_keys.get(key, 0.0) + work * scale
            capacity[member_id] = report.capacity
        self._smooth = self._smoothed(summed)
        self._fresh = False
        waited = now - self._since > _PATIENCE_ROUNDS * self._round_s
        if waited or set(group.members) <= set(self._reports):
            self._complete = True
        self._load = GroupLoad(dict(self._smooth), hot_keys, capacity, self._complete)

    def _smoothed(self, summed: dict[int, float]) -> dict[int, float]:
        if self._fresh:
            return summed
        smoothed = {}
        for shard_id in self._smooth.keys() | summed.keys():
            before = self._smooth.get(shard_id, 0.0)
            value = before + _NEWEST * (summed.get(shard_id, 0.0) - before)
            if value > _NEGLIGIBLE:
                smoothed[shard_id] = value
        return smoothed


def _scale(report: LoadReport, slots: int) -> float:
    """Returns the factor that makes a report plausible.

    An upstream works at most as many seconds per second as it has slots. The double is allowed,
    because the measurement of a short burst runs ahead.
    """
    total = sum(report.work.values()) / _MICROSECONDS
    return min(1.0, 2 * slots / total) if total > 0 else 1.0
