"""Measured work of key blocks, reported to the planner."""

from __future__ import annotations

import heapq
import math

from ...interfaces import Groups, Membership, Peers, Placement, SlotLoad
from ...interfaces.placement import GroupLoad
from ...kernel import Clock, Kernel, Registry
from ...messages import VersionedGroup
from ...messages.peer import RangeLoad
from .moves import BLOCK_KEYS

# Time constant of the measured work, in seconds.
_DECAY_S = 1.0
_REPORT_S = 0.4
# Blocks in one report.
_REPORTED_BLOCKS = 64
# Blocks below this work, in slots, are not reported.
_LEAST_WORK = 0.02
# A report that is older than this, in seconds, says nothing of the present.
_REPORT_AGE_S = 2.0


class KeyBlockLoad:
    """The `load` service for services with numeric keys."""

    name = "load"
    requires = ("groups", "peers")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._work: dict[int, float] = {}
        self._decayed_at = 0.0
        self._utilisation = 0.0
        self._reports: dict[str, tuple[float, RangeLoad]] = {}

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        self._placement = registry.find("placement", Placement)
        self._slots = registry.find("admission", SlotLoad)
        self._peers.on(RangeLoad, self._on_report)

    async def start(self) -> None:
        """Starts the reports."""
        self._decayed_at = self._clock.now()
        self._tasks.spawn("report", self._run())

    async def stop(self) -> None:
        """Ends the reports."""
        await self._tasks.cancel()

    def record(self, shard: int, key: str, seconds: float) -> None:
        """Adds the upstream time of one request to the block of its key.

        Refused requests count with the time that they would have taken.
        """
        block = int(key) // BLOCK_KEYS
        self._work[block] = self._work.get(block, 0.0) + seconds / _DECAY_S

    def group_load(self) -> GroupLoad:
        """Returns nothing: key blocks are read by `reports`."""
        return GroupLoad(complete=False)

    def end_round(self) -> GroupLoad:
        """Returns nothing: key blocks are read by `reports`."""
        return GroupLoad(complete=False)

    def restore(self, work: dict[int, float], hot_keys: dict[str, float]) -> None:
        """Does nothing: work is measured again within seconds."""

    def reports(self) -> dict[str, RangeLoad]:
        """Returns the recent reports by member id."""
        oldest = self._clock.now() - _REPORT_AGE_S
        self._reports = {
            member_id: (at, report)
            for member_id, (at, report) in self._reports.items()
            if at >= oldest
        }
        return {member_id: report for member_id, (_, report) in self._reports.items()}

    def measure(self) -> RangeLoad:
        """Returns this member's report."""
        now = self._clock.now()
        factor = math.exp((self._decayed_at - now) / _DECAY_S)
        self._decayed_at = now
        self._work = {
            block: work * factor
            for block, work in self._work.items()
            if work * factor > _LEAST_WORK / 4
        }
        occupancy = self._slots.occupancy
        # Refused requests hold no slot, but their work is wanted here all the same.
        wanted = max(occupancy.running + occupancy.waiting, sum(self._work.values()))
        sample = wanted / max(occupancy.slots, 1)
        self._utilisation += (sample - self._utilisation) * 0.5
        top = heapq.nlargest(_REPORTED_BLOCKS, self._work.items(), key=lambda item: item[1])
        work = {block: round(value, 3) for block, value in top if value >= _LEAST_WORK}
        return RangeLoad(self._membership.member_id, round(self._utilisation, 3), work)

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(_REPORT_S)
            view = self._home_view()
            if view is None or not view.group.ranges:
                continue
            report = self.measure()
            planner = self._placement.planner(view.group)
            if planner is None:
                continue
            if planner.id == self._membership.member_id:
                self._reports[report.member_id] = (self._clock.now(), report)
            else:
                self._peers.send(planner, report)

    def _home_view(self) -> VersionedGroup | None:
        home = self._membership.home
        return self._groups.view(home) if home is not None else None

    def _on_report(self, sender: str, message: RangeLoad) -> None:
        if message.member_id == sender:
            self._reports[sender] = (self._clock.now(), message)
