"""Measurement of the work of this agent and, on the planner, of its group."""

from __future__ import annotations

import math
from typing import TypeVar

from datasketches import frequent_items_error_type, frequent_strings_sketch

from ..interfaces import Admission, Catalogue, Groups, Membership, Peers, Placement
from ..interfaces.placement import GroupLoad
from ..kernel import Clock, Kernel, Registry
from ..kernel.errors import UnknownServiceError
from ..kernel.settings import Settings
from ..messages import Group, VersionedGroup
from ..messages.group import key_hash
from ..messages.peer import LoadReport
from .reports import ReportTable

_T = TypeVar("_T")

_MICROSECONDS_PER_S = 1_000_000
# Time constant of the decay of a shard's work. A shorter one follows noise, a longer one detects a
# hot key too late.
DECAY_S = 4.0
# Length of a window of key work. Two windows are kept, so a key without requests is dropped within
# two of them.
WINDOW_S = 2.0
# The sketch has 2 ** 9 counters and detects keys above 0.3% of the work of a window.
_LOG2_SKETCH_COUNTERS = 9
_MAX_HOT_KEYS = 12
# Keys with less work than this, in seconds per second, are not reported as hot.
_MIN_HOT_WORK_S_PER_S = 0.005
# Longer keys get no shard of their own, so their work is not tracked.
_MAX_KEY_CHARACTERS = 200
# Longest valid time of a request; higher values are measurement errors.
_MAX_REQUEST_S = 3600.0


class ShardWork:
    """Exponentially decayed work by shard, in seconds of upstream time per second."""

    def __init__(self) -> None:
        self._decayed_work: dict[int, tuple[float, float]] = {}

    def add(self, shard: int, seconds: float, now: float) -> None:
        """Adds the upstream time of one request in seconds."""
        self._decayed_work[shard] = (self._work_at(shard, now) + seconds / DECAY_S, now)

    def split(self, source: int, target: int, work: float, now: float) -> None:
        """Moves work, at most what the source has, from one shard to another."""
        moved_work = min(work, self._work_at(source, now))
        self._decayed_work[source] = (self._work_at(source, now) - moved_work, now)
        self._decayed_work[target] = (self._work_at(target, now) + moved_work, now)

    def rates(self, now: float) -> dict[int, float]:
        """Returns the work of all shards that have any, and drops the others."""
        rates = {shard: self._work_at(shard, now) for shard in self._decayed_work}
        self._decayed_work = {shard: (rate, now) for shard, rate in rates.items() if rate > 1e-6}
        return {shard: rate for shard, (rate, _) in self._decayed_work.items()}

    def _work_at(self, shard: int, now: float) -> float:
        work, updated_at = self._decayed_work.get(shard, (0.0, now))
        return work * math.exp(min(updated_at - now, 0.0) / DECAY_S)


class KeyWork:
    """Work by key over the last two windows, in sketches of bounded size."""

    def __init__(self, now: float) -> None:
        self._window_start = now
        self._current = frequent_strings_sketch(_LOG2_SKETCH_COUNTERS)
        self._previous: frequent_strings_sketch | None = None

    def add(self, key: str, seconds: float, now: float) -> None:
        """Adds the upstream time of one request in seconds."""
        self._rotate(now)
        work_us = int(seconds * _MICROSECONDS_PER_S)
        if work_us > 0 and len(key) <= _MAX_KEY_CHARACTERS:
            self._current.update(key, work_us)

    def hottest(self, now: float) -> dict[str, float]:
        """Returns the work of the hottest keys in seconds per second, the hottest first."""
        self._rotate(now)
        windows = [self._current] if self._previous is None else [self._current, self._previous]
        span_s = max(now - self._window_start, 0.0) + (0.0 if self._previous is None else WINDOW_S)
        if span_s < WINDOW_S / 2:
            return {}
        work_by_key: dict[str, float] = {}
        for window in windows:
            error_type = frequent_items_error_type.NO_FALSE_POSITIVES
            for key, _, lower_bound_us, _ in window.get_frequent_items(error_type):
                work_by_key[key] = (
                    work_by_key.get(key, 0.0) + lower_bound_us / _MICROSECONDS_PER_S / span_s
                )
        ranked = sorted(work_by_key.items(), key=lambda item: (-item[1], item[0]))[:_MAX_HOT_KEYS]
        return {key: work for key, work in ranked if work >= _MIN_HOT_WORK_S_PER_S}

    def _rotate(self, now: float) -> None:
        elapsed_s = now - self._window_start
        if elapsed_s < WINDOW_S:
            return
        self._previous = self._current if elapsed_s < 2 * WINDOW_S else None
        self._window_start = now if self._previous is None else self._window_start + WINDOW_S
        self._current = frequent_strings_sketch(_LOG2_SKETCH_COUNTERS)


class MeasuredLoad:
    """The `load` service.

    Each member reports its work to the planner once per round. The planner sums up the reports.
    """

    name = "load"
    requires = ("groups", "peers", "catalogue")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._shard_work = ShardWork()
        self._report_table: ReportTable | None = None
        self._exceptions: dict[str, int] = {}

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._peers = registry.find("peers", Peers)
        self._groups = registry.find("groups", Groups)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._membership = registry.find("membership", Membership)
        self._placement = registry.find("placement", Placement)
        self._admission = registry.find("admission", Admission)
        self._round_s = registry.find("settings", Settings).placement.round_ms / 1000
        self._key_work = KeyWork(self._clock.now())
        self._peers.on(LoadReport, self._on_report)
        self._groups.subscribe(self)

    async def start(self) -> None:
        """Starts the task that reports to the planner."""
        self._tasks.spawn("report", self._run())

    async def stop(self) -> None:
        """Cancels the task that reports to the planner."""
        await self._tasks.cancel()

    def record(self, shard: int, key: str, seconds: float) -> None:
        """Adds the upstream time of one request; negative or too long times are ignored."""
        if not 0 <= seconds <= _MAX_REQUEST_S:
            return
        now = self._clock.now()
        self._shard_work.add(shard, seconds, now)
        self._key_work.add(key, seconds, now)

    def group_load(self) -> GroupLoad:
        """Returns the load of the group on the planner, else only the work of this agent."""
        if self._report_table is not None:
            return self._report_table.load
        now = self._clock.now()
        return GroupLoad(self._shard_work.rates(now), self._key_work.hottest(now), complete=False)

    def end_round(self) -> GroupLoad:
        """Sums up the reports on the planner, including this agent's own, and returns the load."""
        view = (
            self._groups.view(self._membership.own_group_id)
            if self._membership.own_group_id
            else None
        )
        if self._report_table is not None and view is not None:
            now = self._clock.now()
            self._report_table.add(self.report(), now)
            self._report_table.update(view.group, now)
        return self.group_load()

    def restore(self, work: dict[int, float], hot_keys: dict[str, float]) -> None:
        """Initializes the planner's work by shard from the values of an earlier planner."""
        if self._report_table is not None:
            self._report_table.restore(work)

    def group_changed(self, group: VersionedGroup) -> None:
        """Collects reports while this agent is the planner, and moves the work of split keys."""
        if group.group.id != self._membership.own_group_id:
            return
        self._move_work_of_split_keys(group.group)
        planner = self._placement.planner(group.group)
        if planner is None or planner.id != self._membership.member_id:
            self._report_table = None
        elif self._report_table is None:
            self._report_table = ReportTable(self._clock.now(), self._round_s)

    def report(self) -> LoadReport:
        """Returns the current report of this member."""
        now = self._clock.now()
        return LoadReport(
            member_id=self._membership.member_id,
            work=_to_microseconds(self._shard_work.rates(now)),
            hot_keys=_to_microseconds(self._key_work.hottest(now)),
            applied_entries=self._catalogue.digest,
            capacity=min(max(round(self._admission.capacity, 2), 0.0), 1.0),
        )

    def _move_work_of_split_keys(self, group: Group) -> None:
        new_exceptions = group.exceptions.items() - self._exceptions.items()
        self._exceptions = group.exceptions
        if not new_exceptions:
            return
        now = self._clock.now()
        hottest = self._key_work.hottest(now)
        try:
            groups = self._catalogue.entry(group.service).entry.groups
        except UnknownServiceError:
            return
        for key, shard in new_exceptions:
            source = (key_hash(key) // groups) % group.shard_count
            self._shard_work.split(source, shard, hottest.get(key, 0.0), now)
            if self._report_table is not None:
                self._report_table.split(source, shard, key)

    def _on_report(self, sender: str, message: LoadReport) -> None:
        if self._report_table is not None and message.member_id == sender:
            self._report_table.add(message, self._clock.now())

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(self._round_s)
            own_group_id = self._membership.own_group_id
            view = self._groups.view(own_group_id) if own_group_id is not None else None
            if view is None or self._membership.member_id not in view.group.members:
                continue
            planner = self._placement.planner(view.group)
            if planner is not None and planner.id != self._membership.member_id:
                self._peers.send(planner, self.report())


def _to_microseconds(seconds_by_name: dict[_T, float]) -> dict[_T, int]:
    return {name: int(seconds * _MICROSECONDS_PER_S) for name, seconds in seconds_by_name.items()}
