"""Measurement of the work of key blocks and its reports to the planner."""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, replace

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
# Requests for a block between two reports from which their work counts at once.
_MIN_RISING_REQUESTS = 3
# Number of measurements by which the lasting run time is determined, 8 s.
_RUN_TIME_MEASUREMENTS = 20
# Slowness for a fifth of the time is in about two fifths of the measurements, by chance in more.
_RUN_TIME_QUANTILE = 0.3
# Number of measurements by which the rate of requests is determined, 3.2 to 6.4 s: with fewer
# requests, chance alone makes the busiest of dozens of members exceed the mean by half.
_MIN_RATE_MEASUREMENTS = 8
_RATE_MEASUREMENTS = 16
# Of these, number with requests. In the first seconds of a load the rate is mostly chance.
_MIN_BUSY_MEASUREMENTS = 6
# A reported slowness above this is a passing one, and runs that it made longer end within this
# time.
_PASSING_SLOWNESS = 1.2
_SLOW_RUNS_S = 0.8
# Blocks with less work than this number of slots are not reported.
_MIN_REPORTED_WORK_SLOTS = 0.02
# Bounds the utilisation of an upstream that takes next to nothing.
_MIN_USABLE_SLOTS = 0.1
# Share of the slots that a limited rate counts for before any run time is known.
_UNMEASURED_SHARE = 0.25
# Older reports are stale and are ignored.
_MAX_REPORT_AGE_S = 2.0


@dataclass(frozen=True, slots=True)
class _Measurement:
    """Requests between two reports.

    Attributes:
        duration_s: Time between the reports, in seconds.
        requests: Number of requests that ended or were refused.
        run_s: Mean time in the upstream, in seconds.
    """

    duration_s: float
    requests: int
    run_s: float


class KeyBlockLoad:
    """The `load` service for services with numeric keys."""

    name = "load"
    requires = ("groups", "peers")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._work_by_block: dict[int, float] = {}
        self._decayed_at = 0.0
        self._utilisation = 0.0
        # Time until which runs may end that were slowed down for a moment.
        self._slow_until = 0.0
        # Number of requests and their seconds in the upstream since the last report, by block.
        self._recent: dict[int, tuple[int, float]] = {}
        self._measurements: deque[_Measurement] = deque(maxlen=_RUN_TIME_MEASUREMENTS)
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
        if self._slots.occupancy.slowness > _PASSING_SLOWNESS:
            self._slow_until = self._clock.now() + _SLOW_RUNS_S
        block = int(key) // BLOCK_KEYS
        requests, block_s = self._recent.get(block, (0, 0.0))
        self._recent[block] = (requests + 1, block_s + seconds)

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
        duration_s = max(now - self._decayed_at, _REPORT_PERIOD_S)
        usual_share = self._end_measurement(duration_s, slow=now < self._slow_until)
        rising = {}
        for block, (requests, block_s) in self._recent.items():
            block_s *= usual_share
            work = self._work_by_block.get(block, 0.0) + block_s / _DECAY_S
            self._work_by_block[block] = work
            if requests >= _MIN_RISING_REQUESTS:
                # Work that has just begun is a third of its amount in the decaying mean.
                rising[block] = block_s / duration_s
        self._recent = {}
        factor = math.exp((self._decayed_at - now) / _DECAY_S)
        self._decayed_at = now
        self._work_by_block = {
            block: work * factor
            for block, work in self._work_by_block.items()
            if work * factor > _MIN_REPORTED_WORK_SLOTS / 4
        }
        occupancy = self._slots.occupancy
        # Refused requests take no slot, but their work is part of the demand.
        busy = (occupancy.running + occupancy.waiting) * usual_share
        demand = max(busy, sum(self._work_by_block.values()))
        unmeasured = occupancy.per_second is not None and not occupancy.run_ms
        usable_share = _UNMEASURED_SHARE if unmeasured else 1.0
        usable_slots = max(occupancy.usable_slots * usable_share, _MIN_USABLE_SLOTS)
        sample = demand / usable_slots
        self._utilisation += (sample - self._utilisation) * 0.5
        present_work = {
            block: max(work, rising.get(block, 0.0)) for block, work in self._work_by_block.items()
        }
        hottest = heapq.nlargest(
            _MAX_REPORTED_BLOCKS, present_work.items(), key=lambda item: item[1]
        )
        work = {
            block: round(block_work, 3)
            for block, block_work in hottest
            if block_work >= _MIN_REPORTED_WORK_SLOTS
        }
        lasting_demand = self._lasting_demand()
        return RangeLoad(
            self._membership.member_id,
            round(self._utilisation, 3),
            work,
            run_ms=round(self._lasting_run_s() * 1000, 1),
            lasting_utilisation=(
                None if lasting_demand is None else round(lasting_demand / usable_slots, 3)
            ),
            usable_slots=round(usable_slots, 2),
        )

    def _end_measurement(self, duration_s: float, *, slow: bool) -> float:
        """Adds the requests since the last report.

        Args:
            duration_s: Time since then, in seconds.
            slow: Whether the upstream was slow for a moment in this time.

        Returns:
            The share of their work that these requests would have had without the slowness.
        """
        requests = sum(requests for requests, _ in self._recent.values())
        work_s = sum(block_s for _, block_s in self._recent.values())
        run_s = work_s / requests if requests else 0.0
        usual_run_s = self._lasting_run_s()
        self._measurements.append(_Measurement(duration_s, requests, run_s))
        return usual_run_s / run_s if slow and 0.0 < usual_run_s < run_s else 1.0

    def _lasting_run_s(self) -> float:
        """Returns the run time of the last seconds without short changes, or 0.0 if unknown."""
        run_times_s = sorted(each.run_s for each in self._measurements if each.requests)
        return run_times_s[int(len(run_times_s) * _RUN_TIME_QUANTILE)] if run_times_s else 0.0

    def _lasting_demand(self) -> float | None:
        """Returns the slots that the requests of the last seconds take, or None if unknown."""
        newest = list(self._measurements)[-_RATE_MEASUREMENTS:]
        busy_count = sum(1 for each in newest if each.requests)
        if len(newest) < _MIN_RATE_MEASUREMENTS or busy_count < _MIN_BUSY_MEASUREMENTS:
            return None
        duration_s = sum(each.duration_s for each in newest)
        requests = sum(each.requests for each in newest)
        return requests / duration_s * self._lasting_run_s()

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
