"""Measurement of the work of key blocks and its reports to the planner."""

from __future__ import annotations

import heapq
import math
from dataclasses import replace

from ...interfaces import Groups, Membership, Peers, Placement, SlotLoad
from ...interfaces.placement import GroupLoad
from ...kernel import Clock, Kernel, Registry
from ...messages import VersionedGroup
from ...messages.era import era_of
from ...messages.peer import RangeLoad
from .moves import BLOCK_KEYS

# Time constant of the exponential decay of measured work.
_DECAY_S = 1.0
_REPORT_PERIOD_S = 0.4
# Maximum number of blocks in a report; the hottest ones are included.
_MAX_REPORTED_BLOCKS = 64
# Blocks with less work than this number of slots are not reported.
_MIN_REPORTED_WORK_SLOTS = 0.02
# Bounds the utilisation of an upstream that takes next to nothing.
_MIN_USABLE_SLOTS = 0.1
# Share of the slots that a limited rate counts for before any run time is known.
_UNMEASURED_SHARE = 0.25
# Older reports are stale and are ignored.
_MAX_REPORT_AGE_S = 2.0


class KeyBlockLoad:
    """The `load` service for services with numeric keys."""

    name = "load"
    requires = ("groups", "peers")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._work_by_block: dict[int, float] = {}
        self._decayed_at = 0.0
        self._utilisation = 0.0
        self._received_reports: dict[str, tuple[float, RangeLoad]] = {}

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses and registers the message handler."""
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        self._placement = registry.find("placement", Placement)
        self._slots = registry.find("admission", SlotLoad)
        self._peers.on(RangeLoad, self._on_report)

    async def start(self) -> None:
        """Starts the task that reports to the planner."""
        self._decayed_at = self._clock.now()
        self._tasks.spawn("report", self._run())

    async def stop(self) -> None:
        """Cancels the tasks of the service."""
        await self._tasks.cancel()

    def record(self, shard: int, key: str, seconds: float) -> None:
        """Adds the upstream time of a request to the block of its key.

        Refused requests are recorded with the time that they would have taken.

        Args:
            shard: Not used.
            key: Numeric key of the request.
            seconds: Time in the upstream, in seconds.
        """
        block = int(key) // BLOCK_KEYS
        self._work_by_block[block] = self._work_by_block.get(block, 0.0) + seconds / _DECAY_S

    def group_load(self) -> GroupLoad:
        """Returns an incomplete load without figures; key blocks are read with `reports`."""
        return GroupLoad(complete=False)

    def end_round(self) -> GroupLoad:
        """Returns an incomplete load without figures; key blocks are read with `reports`."""
        return GroupLoad(complete=False)

    def restore(self, work: dict[int, float], hot_keys: dict[str, float]) -> None:
        """Restores nothing: the work is measured again within seconds."""

    def reports(self) -> dict[str, RangeLoad]:
        """Returns the reports that are not stale, by member id, and drops the others."""
        oldest_allowed = self._clock.now() - _MAX_REPORT_AGE_S
        self._received_reports = {
            member_id: (received_at, report)
            for member_id, (received_at, report) in self._received_reports.items()
            if received_at >= oldest_allowed
        }
        return {member_id: report for member_id, (_, report) in self._received_reports.items()}

    def measure(self) -> RangeLoad:
        """Decays the measured work to the current time and returns this member's report."""
        now = self._clock.now()
        factor = math.exp((self._decayed_at - now) / _DECAY_S)
        self._decayed_at = now
        self._work_by_block = {
            block: work * factor
            for block, work in self._work_by_block.items()
            if work * factor > _MIN_REPORTED_WORK_SLOTS / 4
        }
        occupancy = self._slots.occupancy
        # Refused requests take no slot, but their work is part of the demand.
        demand = max(occupancy.running + occupancy.waiting, sum(self._work_by_block.values()))
        sample = demand / max(occupancy.usable_slots, _MIN_USABLE_SLOTS)
        self._utilisation += (sample - self._utilisation) * 0.5
        hottest = heapq.nlargest(
            _MAX_REPORTED_BLOCKS, self._work_by_block.items(), key=lambda item: item[1]
        )
        work = {
            block: round(block_work, 3)
            for block, block_work in hottest
            if block_work >= _MIN_REPORTED_WORK_SLOTS
        }
        usable_slots: float | None = None
        if occupancy.per_second is not None:
            measured_share = 1.0 if occupancy.run_ms else _UNMEASURED_SHARE
            usable_slots = round(occupancy.usable_slots * measured_share, 3)
        return RangeLoad(
            self._membership.member_id,
            round(self._utilisation, 3),
            work,
            usable_slots=usable_slots,
        )

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(_REPORT_PERIOD_S)
            view = self._own_group_view()
            if view is None or not view.group.ranges:
                continue
            report = replace(self.measure(), era=era_of(view.version))
            planner = self._placement.planner(view.group)
            if planner is None:
                continue
            if planner.id == self._membership.member_id:
                self._received_reports[report.member_id] = (self._clock.now(), report)
            else:
                self._peers.send(planner, report)

    def _own_group_view(self) -> VersionedGroup | None:
        own_group_id = self._membership.own_group_id
        return self._groups.view(own_group_id) if own_group_id is not None else None

    def _on_report(self, sender: str, message: RangeLoad) -> None:
        if message.member_id == sender:
            self._received_reports[sender] = (self._clock.now(), message)
