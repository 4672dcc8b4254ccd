"""Key ranges that this agent owns: grants to the upstream and admission of requests."""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from contextlib import suppress

from ...interfaces import Groups, Lease, Membership, RangeGrants
from ...kernel import Clock, Event, Kernel, Level, Outcome, Registry
from ...kernel.bounds import Bounds
from ...kernel.errors import (
    LeaseExpiredError,
    NotOwnerError,
    RefusalError,
    ShardMovingError,
)
from ...kernel.settings import Settings
from ...messages import MemberState, VersionedGroup
from ...messages.group import KeyRange
from ..earlier_grants import EarlierGrants
from .grants import RangeTicket, covering_grant_end
from .handover import RangeHandover, RangeId, range_id
from .handover_queue import HandoverQueue
from .moves import KEY_COUNT
from .process_epochs import ProcessEpochs
from .recovery import RecoveryWait

_RANGE_ACTIVE = Event(2820, "range_active", Level.INFO, "A key range is active on this agent.")
_GRANT_REFUSED = Event(
    2821,
    "range_grant_refused",
    Level.WARNING,
    "The upstream refused a grant: it has received a higher epoch.",
)
_GRANT_FAILED = Event(
    2822, "range_grant_failed", Level.WARNING, "A grant was not confirmed by the upstream."
)

# The upstream's clock may be slow by this factor, so a grant may last this many times as long.
SLOW_CLOCK_FACTOR = 1.02
# A grant must end before the lease, even if a timer fires late.
_HOLD_MARGIN_S = 0.03
# A shorter grant would expire before it is useful.
_MIN_HOLD_S = 0.1
# Time for which a request waits while the range of its key is activated on this agent.
_ACTIVATION_TIMEOUT_S = 0.4
# A grant is renewed once its remaining time is below this fraction of the lease period, which
# leaves time for two attempts.
_RENEWAL_SHARE = 0.55


class RangeOwnership:
    """The `ownership` service for numeric keys.

    The upstream itself stops work on keys whose grant has expired, and confirms a release only
    once the work on the keys has ended. A request that arrives after a release is refused by the
    upstream without being run. So requests in flight are not counted here.
    """

    name = "ownership"
    requires = ("groups", "membership", "lease", "upstream", "peers")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._owned_ranges: dict[RangeId, KeyRange] = {}
        self._grant_ends: dict[RangeId, float] = {}
        self._handovers = HandoverQueue()
        self._active_ranges: list[tuple[int, RangeId]] = []
        self._state_changed = asyncio.Event()
        self._renewal_due = asyncio.Event()
        self._upstream_start = ""
        self._process_epochs = ProcessEpochs(self._tasks)
        # Grants that were sent and have no response yet.
        self._grants_in_flight: dict[RangeId, asyncio.Task[None]] = {}
        self._handover = RangeHandover(self._tasks)
        # Ranges that are released because this member leaves, although they have no successor.
        self._withdrawn: set[RangeId] = set()
        self._release_task: asyncio.Task[None] | None = None

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses and reads the lease settings."""
        self._clock = registry.find("clock", Clock)
        self._bounds = registry.find("bounds", Bounds)
        self._groups = registry.find("groups", Groups)
        self._membership = registry.find("membership", Membership)
        self._lease = registry.find("lease", Lease)
        self._upstream = registry.find("upstream", RangeGrants)
        section = registry.find("settings", Settings).lease
        self._renewal_s = section.renewal_ms / 1000
        self._lease_s = section.lease_ms / 1000
        self._recovery_wait = RecoveryWait(self._clock, section)
        self._earlier_grants = EarlierGrants(self._clock, self._lease_s, self._tasks)
        self._handover.bind(registry)
        self._process_epochs.bind(registry)
        self._groups.subscribe(self)

    async def start(self) -> None:
        """Starts the task that sends and renews grants."""
        self._earlier_grants.start()
        self._tasks.spawn("grants", self._run_grants())

    async def stop(self) -> None:
        """Cancels the tasks of the service."""
        await self._tasks.cancel()

    @property
    def in_flight(self) -> int:
        """Always 0: the upstream tracks its requests itself."""
        return 0

    def active(self) -> dict[int, int]:
        """Returns the epochs of the ranges with a valid grant, by first key."""
        now = self._clock.now()
        return {first: epoch for (first, _, epoch), end in self._grant_ends.items() if end > now}

    def owned(self) -> dict[int, int]:
        """Returns the epochs of the owned ranges that are not being released, by first key."""
        return {first: epoch for first, _, epoch in self._owned_ranges}

    async def admit(self, service: str, key: str, deadline: float) -> RangeTicket:
        """Waits until the range of a key is active; see `Ownership.admit`."""
        key_number = int(key)
        activation_deadline = min(deadline, self._clock.now() + _ACTIVATION_TIMEOUT_S)
        while True:
            active_range_id = self._find_active(key_number)
            if active_range_id is not None:
                if not self._lease.held:
                    raise LeaseExpiredError("the lease of this agent has expired")
                self._handovers.record_admission(key_number, self._clock.now())
                return RangeTicket(active_range_id[0], active_range_id[2])
            self._raise_unless_pending(key_number)
            remaining_s = activation_deadline - self._clock.now()
            if remaining_s <= 0:
                raise ShardMovingError(f"key {key} is not active on this agent yet")
            state_changed = self._state_changed
            with suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await state_changed.wait()

    async def wait_until_drained(self) -> None:
        """Waits until other members own the ranges; the last member releases its ranges instead.

        The next member that joins can then be granted the released ranges without delay.
        """
        while True:
            if not self._handovers.empty or (
                self._owns_ranges() and self._has_other_active_members()
            ):
                state_changed = self._state_changed
                await state_changed.wait()
                continue
            unreleased = [
                key_range
                for key_range_id, key_range in self._owned_ranges.items()
                if key_range_id not in self._withdrawn
            ]
            if unreleased:
                self._withdrawn.update(map(range_id, unreleased))
                self._release_task = self._tasks.spawn(
                    "return", self._release_withdrawn(unreleased)
                )
            if self._release_task is None or self._release_task.done():
                return
            # The caller repeats the call after a timeout, which must not cancel the release.
            await asyncio.wait((self._release_task,))

    async def _release_withdrawn(self, ranges: list[KeyRange]) -> None:
        await self._earlier_grants.wait_until_ended()
        for key_range in ranges:
            self._grant_ends.pop(range_id(key_range), None)
        self._rebuild_index()
        await asyncio.gather(*(self._release(key_range) for key_range in ranges))

    async def _release(self, key_range: KeyRange) -> None:
        await self._wait_for_grants_in_flight(key_range)
        await self._handover.release(key_range, lambda: range_id(key_range) in self._withdrawn)

    async def _wait_for_grants_in_flight(self, key_range: KeyRange) -> None:
        """Waits for grants of keys that are to be released.

        A grant that reached the upstream after the release would give it the keys again.
        """
        overlapping_grants = [
            task
            for (first, last, _), task in self._grants_in_flight.items()
            if first <= key_range.last and key_range.first <= last
        ]
        if overlapping_grants:
            await asyncio.wait(overlapping_grants)

    def group_changed(self, group: VersionedGroup) -> None:
        """Activates, hands over or drops ranges as recorded in a newer group object."""
        if group.group.id != self._membership.own_group_id:
            return
        self._recovery_wait.observe(group.group)
        self._drop_grants_of_earlier_start()
        own_id = self._membership.member_id
        own_ranges = [key_range for key_range in group.group.ranges if key_range.owner == own_id]
        self._handovers.update(own_ranges)
        owned_ranges = {
            range_id(key_range): key_range
            for key_range in own_ranges
            if range_id(key_range) not in self._handovers.released
        }
        member = group.group.members.get(own_id)
        self._earlier_grants.observe(member)
        if member is None or member.state is MemberState.ACTIVE:
            # The leave has completed or was cancelled.
            self._withdrawn.clear()
        grant_ends: dict[RangeId, float] = {}
        for key_range_id in owned_ranges:
            end = covering_grant_end(self._grant_ends, key_range_id)
            if end is not None:
                grant_ends[key_range_id] = end
        self._owned_ranges, self._grant_ends = owned_ranges, grant_ends
        self._start_handovers()
        self._renewal_due.set()

    def _rebuild_index(self) -> None:
        self._active_ranges = sorted(
            (key_range_id[0], key_range_id) for key_range_id in self._grant_ends
        )

    def _find_active(self, key: int) -> RangeId | None:
        index = bisect_right(self._active_ranges, (key, (KEY_COUNT, 0, 0))) - 1
        if index < 0:
            return None
        key_range_id = self._active_ranges[index][1]
        if key > key_range_id[1] or self._grant_ends[key_range_id] <= self._clock.now():
            return None
        return key_range_id

    def _raise_unless_pending(self, key: int) -> None:
        view = self._view()
        key_range = view.group.range_of(key) if view is not None else None
        own_id = self._membership.member_id
        if key_range is None or (key_range.owner != own_id and key_range.successor != own_id):
            owner = key_range.owner if key_range is not None else None
            raise NotOwnerError(f"key {key} is owned by {owner}", owner_id=owner)
        if range_id(key_range) in self._handovers.released:
            raise ShardMovingError(f"key {key} is being handed over")

    def _view(self) -> VersionedGroup | None:
        own_group_id = self._membership.own_group_id
        return self._groups.view(own_group_id) if own_group_id is not None else None

    def _owns_ranges(self) -> bool:
        view = self._view()
        own_id = self._membership.member_id
        return view is not None and any(
            key_range.owner == own_id for key_range in view.group.ranges
        )

    def _has_other_active_members(self) -> bool:
        view = self._view()
        own_id = self._membership.member_id
        return view is not None and any(
            member.id != own_id and member.state is MemberState.ACTIVE
            for member in view.group.members.values()
        )

    def _notify_waiters(self) -> None:
        state_changed, self._state_changed = self._state_changed, asyncio.Event()
        state_changed.set()

    async def _run_grants(self) -> None:
        while True:
            # wait_for() of Python 3.11 loses a cancellation that comes with the event.
            with suppress(TimeoutError):
                async with asyncio.timeout(self._renewal_s):
                    await self._renewal_due.wait()
            self._renewal_due.clear()
            announcement = self._membership.announcement
            if announcement is None or not self._owned_ranges or not self._lease.held:
                continue
            self._drop_grants_of_earlier_start()
            if not self._epochs_valid_for(announcement.start):
                continue
            self._observe_process()
            due_ranges = self._ranges_to_grant()
            for key_range in due_ranges:
                if range_id(key_range) not in self._grants_in_flight:
                    self._grants_in_flight[range_id(key_range)] = self._tasks.spawn(
                        "grant", self._grant(key_range)
                    )
            if due_ranges:
                await asyncio.wait(self._grants_in_flight.values())

    def _drop_grants_of_earlier_start(self) -> None:
        """Drops the grants of an earlier start of the upstream; a new start has no grants."""
        announcement = self._membership.announcement
        if announcement is not None and announcement.start != self._upstream_start:
            self._upstream_start = announcement.start
            self._grant_ends.clear()
            self._rebuild_index()

    def _observe_process(self) -> None:
        """Makes all grants due once the upstream may be another process than was granted keys.

        The keys stay active until their grants end, because it may also be the same process.
        """
        if self._process_epochs.observe(self._owned_ranges.values()):
            due_end = self._clock.now() + self._lease_s * _RENEWAL_SHARE
            self._grant_ends = {
                key_range_id: min(end, due_end) for key_range_id, end in self._grant_ends.items()
            }

    def _epochs_valid_for(self, upstream_start: str) -> bool:
        """Returns whether a start of the upstream may be granted the epochs of the group object.

        A new start of the upstream needs higher epochs than the earlier one. The group object has
        them once it names the new start.
        """
        view = self._view()
        own_member = (
            view.group.members.get(self._membership.member_id) if view is not None else None
        )
        return own_member is None or own_member.instance in ("", upstream_start)

    def _ranges_to_grant(self) -> list[KeyRange]:
        """Returns the owned ranges whose grant is missing or due for renewal.

        While another member may have a grant that a restored store has lost, only grants that are
        still valid are renewed.
        """
        now = self._clock.now()
        renew_after = now if self._recovery_wait.active else -1.0
        renew_before = now + self._lease_s * _RENEWAL_SHARE
        return [
            key_range
            for key_range_id, key_range in self._owned_ranges.items()
            if self._process_epochs.may_grant(key_range)
            and key_range_id not in self._withdrawn
            and renew_after < self._grant_ends.get(key_range_id, 0.0) < renew_before
        ]

    async def _grant(self, key_range: KeyRange) -> None:
        try:
            await self._send_grant(key_range)
        finally:
            del self._grants_in_flight[range_id(key_range)]

    async def _send_grant(self, key_range: KeyRange) -> None:
        key_range_id = range_id(key_range)
        sent_at = self._clock.now()
        lease_left_s = self._lease.expires_at - sent_at
        hold_s = min(self._bounds.max_hold_s, lease_left_s / SLOW_CLOCK_FACTOR - _HOLD_MARGIN_S)
        if hold_s < _MIN_HOLD_S:
            return
        self._process_epochs.add_grant(key_range)
        try:
            accepted = await self._upstream.grant_range(
                key_range, hold_s, self._process_epochs.process
            )
        except RefusalError as error:
            if self._process_epochs.outdated:
                self._renewal_due.set()
            if error.outcome is not Outcome.NOT_RUN:
                self._handover.add_unconfirmed_grant(key_range, sent_at + lease_left_s)
            _GRANT_FAILED.emit(
                first=key_range.first, last=key_range.last, epoch=key_range.epoch, error=error
            )
            return
        if not accepted:
            _GRANT_REFUSED.emit(first=key_range.first, last=key_range.last, epoch=key_range.epoch)
            self._grant_ends.pop(key_range_id, None)
            self._rebuild_index()
            return
        self._handover.add_confirmed_grant(sent_at + lease_left_s)
        if key_range_id not in self._owned_ranges:
            return
        newly_active = key_range_id not in self._grant_ends
        self._grant_ends[key_range_id] = sent_at + hold_s
        if newly_active:
            _RANGE_ACTIVE.emit(
                first=key_range.first,
                last=key_range.last,
                epoch=key_range.epoch,
                hold_s=round(hold_s, 3),
                warm=bool(key_range.handover),
            )
            self._rebuild_index()
            self._notify_waiters()

    def _start_handovers(self) -> None:
        """Begins to release ranges with a successor, as many as may be released at a time.

        Requests are refused only from here on, so a key is without a server for the time that its
        own running work takes.
        """
        postponed = self._earlier_grants.postpone(self._start_handovers)
        for key_range in () if postponed else self._handovers.start_releases():
            self._owned_ranges.pop(range_id(key_range), None)
            self._grant_ends.pop(range_id(key_range), None)
            self._tasks.spawn("handover", self._hand_over(key_range))
        self._rebuild_index()
        self._notify_waiters()

    async def _hand_over(self, key_range: KeyRange) -> None:
        own_group_id = self._membership.own_group_id
        assert own_group_id is not None

        def is_leaving() -> bool:
            return range_id(key_range) in self._handovers.released

        await self._wait_for_grants_in_flight(key_range)
        if is_leaving():
            await self._handover.hand_over(own_group_id, key_range, is_leaving)
        self._handovers.finish(key_range)
        self._start_handovers()
