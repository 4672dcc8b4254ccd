"""Measured work of this agent and, on the planner, of its group."""

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

_MICROSECONDS = 1_000_000
# Time constant of the work of a shard. Shorter ones follow noise, longer ones follow a hot key
# too late.
DECAY_S = 4.0
# Two windows are kept, so a key cools within two of them.
WINDOW_S = 2.0
# 2 ** 9 counters: keys above 0.3% of the work of a window are found.
_SKETCH_SIZE = 9
_HOT_KEYS = 12
# Hottest keys below this work, in seconds per second, are not reported.
_LEAST_HOT = 0.005
# Longer keys get no shard of their own and are not tracked.
_MAX_KEY_LENGTH = 200
# A single request cannot count for more; times above it are errors of measurement.
_MOST_SECONDS = 3600.0


class ShardWork:
    """Work by shard, decayed exponentially, in seconds of upstream time per second."""

    def __init__(self) -> None:
        self._values: dict[int, tuple[float, float]] = {}

    def add(self, shard: int, seconds: float, now: float) -> None:
        """Adds the time of one request."""
        self._values[shard] = (self._at(shard, now) + seconds / DECAY_S, now)

    def split(self, source: int, target: int, work: float, now: float) -> None:
        """Moves work from one shard to another."""
        moved = min(work, self._at(source, now))
        self._values[source] = (self._at(source, now) - moved, now)
        self._values[target] = (self._at(target, now) + moved, now)

    def rates(self, now: float) -> dict[int, float]:
        """Returns the work of all shards that have any, and forgets the others."""
        rates = {shard: self._at(shard, now) for shard in self._values}
        self._values = {shard: (rate, now) for shard, rate in rates.items() if rate > 1e-6}
        return {shard: rate for shard, (rate, _) in self._values.items()}

    def _at(self, shard: int, now: float) -> float:
        value, at = self._values.get(shard, (0.0, now))
        return value * math.exp(min(at - now, 0.0) / DECAY_S)


class KeyWork:
    """The hottest keys by a bounded sketch over the last two windows."""

    def __init__(self, now: float) -> None:
        self._started = now
        self._current = frequent_strings_sketch(_SKETCH_SIZE)
        self._before: frequent_strings_sketch | None = None

    def add(self, key: str, seconds: float, now: float) -> None:
        """Adds the time of one request."""
        self._rotate(now)
        weight = int(seconds * _MICROSECONDS)
        if weight > 0 and len(key) <= _MAX_KEY_LENGTH:
            self._current.update(key, weight)

    def hottest(self, now: float) -> dict[str, float]:
        """Returns the work of the hottest keys in seconds per second, the hottest first."""
        self._rotate(now)
        windows = [self._current] if self._before is None else [self._current, self._before]
        span = max(now - self._started, 0.0) + (0.0 if self._before is None else WINDOW_S)
        if span < WINDOW_S / 2:
            return {}
        found: dict[str, float] = {}
        for window in windows:
            kind = frequent_items_error_type.NO_FALSE_POSITIVES
            for key, _, lower, _ in window.get_frequent_items(kind):
                found[key] = found.get(key, 0.0) + lower / _MICROSECONDS / span
        ordered = sorted(found.items(), key=lambda item: (-item[1], item[0]))[:_HOT_KEYS]
        return {key: work for key, work in ordered if work >= _LEAST_HOT}

    def _rotate(self, now: float) -> None:
        elapsed = now - self._started
        if elapsed < WINDOW_S:
            return
        self._before = self._current if elapsed < 2 * WINDOW_S else None
        self._started = now if self._before is None else self._started + WINDOW_S
        self._current = frequent_strings_sketch(_SKETCH_SIZE)


class MeasuredLoad:
    """The `load` service.

    Each member reports its work to the planner once a round. The planner adds the reports up.
    """

    name = "load"
    requires = ("groups", "peers", "catalogue")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._work = ShardWork()
        self._table: ReportTable | None = None
        self._exceptions: dict[str, int] = {}

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._peers = registry.find("peers", Peers)
        self._groups = registry.find("groups", Groups)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._membership = registry.find("membership", Membership)
        self._placement = registry.find("placement", Placement)
        self._admission = registry.find("admission", Admission)
        self._round_s = registry.find("settings", Settings).placement.round_ms / 1000
        self._keys = KeyWork(self._clock.now())
        self._peers.on(LoadReport, self._on_report)
        self._groups.subscribe(self)

    async def start(self) -> None:
        """Starts the reports."""
        self._tasks.spawn("report", self._run())

    async def stop(self) -> None:
        """Ends the reports."""
        await self._tasks.cancel()

    def record(self, shard: int, key: str, seconds: float) -> None:
        """Adds the upstream time of one request; impossible times are ignored."""
        if not 0 <= seconds <= _MOST_SECONDS:
            return
        now = self._clock.now()
        self._work.add(shard, seconds, now)
        self._keys.add(key, seconds, now)

    def group_load(self) -> GroupLoad:
        """Returns the group's load on the planner, else the work of this agent alone."""
        if self._table is not None:
            return self._table.load
        now = self._clock.now()
        return GroupLoad(self._work.rates(now), self._keys.hottest(now), complete=False)

    def end_round(self) -> GroupLoad:
        """Adds the reports up on the planner, with what this agent measures now."""
        view = self._groups.view(self._membership.home) if self._membership.home else None
        if self._table is not None and view is not None:
            now = self._clock.now()
            self._table.add(self.report(), now)
            self._table.update(view.group, now)
        return self.group_load()

    def restore(self, work: dict[int, float], hot_keys: dict[str, float]) -> None:
        """Starts the planner's figures from those of an earlier planner."""
        if self._table is not None:
            self._table.restore(work)

    def group_changed(self, group: VersionedGroup) -> None:
        """Follows the role of the planner and counts split keys for their new shards."""
        if group.group.id != self._membership.home:
            return
        self._follow_exceptions(group.group)
        planner = self._placement.planner(group.group)
        if planner is None or planner.id != self._membership.member_id:
            self._table = None
        elif self._table is None:
            self._table = ReportTable(self._clock.now(), self._round_s)

    def report(self) -> LoadReport:
        """Returns what this member reports now."""
        now = self._clock.now()
        return LoadReport(
            member_id=self._membership.member_id,
            work=_whole(self._work.rates(now)),
            hot_keys=_whole(self._keys.hottest(now)),
            applied_entries=self._catalogue.digest,
            capacity=min(max(round(self._admission.capacity, 2), 0.0), 1.0),
        )

    def _follow_exceptions(self, group: Group) -> None:
        fresh = group.exceptions.items() - self._exceptions.items()
        self._exceptions = group.exceptions
        if not fresh:
            return
        now = self._clock.now()
        hottest = self._keys.hottest(now)
        try:
            groups = self._catalogue.entry(group.service).entry.groups
        except UnknownServiceError:
            return
        for key, shard in fresh:
            source = (key_hash(key) // groups) % group.shard_count
            self._work.split(source, shard, hottest.get(key, 0.0), now)
            if self._table is not None:
                self._table.split(source, shard, key)

    def _on_report(self, sender: str, message: LoadReport) -> None:
        if self._table is not None and message.member_id == sender:
            self._table.add(message, self._clock.now())

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(self._round_s)
            home = self._membership.home
            view = self._groups.view(home) if home is not None else None
            if view is None or self._membership.member_id not in view.group.members:
                continue
            planner = self._placement.planner(view.group)
            if planner is not None and planner.id != self._membership.member_id:
                self._peers.send(planner, self.report())


def _whole(work: dict[_T, float]) -> dict[_T, int]:
    return {name: int(value * _MICROSECONDS) for name, value in work.items()}
