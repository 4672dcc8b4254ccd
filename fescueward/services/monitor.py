"""Monitoring of the leases of other members, and takeover of members whose lease has ended."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, replace

from ..interfaces import Groups, Lease, Membership, Peers, Placement
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.errors import (
    OutcomeUnknownError,
    PlatformError,
    VersionConflictError,
)
from ..kernel.settings import Settings
from ..messages import GroupId, Member, MemberState, VersionedGroup
from ..messages.era import era_of
from ..messages.peer import Promise, PromiseQuery, PromiseRelease, Renew, RenewAck
from .promises import PromiseRound
from .ring import transfer_monitored

_LEASE_ENDED = Event(2601, "member_silent", Level.WARNING, "A monitored member's lease has ended.")
_TAKEN_OVER = Event(2602, "member_taken_over", Level.WARNING, "A lost member was removed.")
_TAKEOVER_FAILED = Event(
    2603, "takeover_failed", Level.INFO, "A takeover attempt did not succeed."
)
_TRANSFERRED = Event(
    2606,
    "monitored_transferred",
    Level.INFO,
    "Members were transferred to better placed monitors.",
)
_PROMISED = Event(
    2604, "promise_given", Level.INFO, "This monitor agreed to a takeover by the other one."
)
_PROMISE_REFUSED = Event(
    2605, "promise_refused", Level.INFO, "A takeover is refused: the lease may still run."
)


# Transfers wait until the members and their monitors have not changed for this time. Joins and
# takeovers come in bursts, and a transfer between them would conflict with their writes.
_SETTLE_TIME_S = 0.4
# Transfers of several monitors after the same change are spread over this time, since a write that
# meets another one fails.
_SPREAD_S = 2.0
# The same times for a member and a monitor of it that monitor each other: if both are lost, each
# takeover needs the promise of the other one, so they are separated soon.
_MUTUAL_SETTLE_TIME_S = 0.1
_MUTUAL_SPREAD_S = 0.3


@dataclass(frozen=True, slots=True)
class _MonitoredMember:
    """State of a monitored member. Times are in seconds of CLOCK_BOOTTIME.

    Attributes:
        waiting_since: When this monitor started to wait for the end of the lease.
        acknowledged_at: Time of the last acknowledgement.
        stamp: The member's stamp.
        stamp_received_at: When the stamp was first received.
        monitors: Ids of all monitors of the member.
    """

    waiting_since: float
    acknowledged_at: float
    stamp: int
    stamp_received_at: float
    monitors: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _AcknowledgementBlock:
    """Forbids acknowledgements to a member until a group version above `version` is received.

    Attributes:
        version: Version that the write of the takeover or transfer is conditional on.
        promised_to: Id of the monitor that was given the promise, empty for a write of this agent.
        call: Call number of the sender's query or of this agent's write.
    """

    version: int
    promised_to: str
    call: int


class LeaseMonitor:
    """The `monitor` service.

    A decision that extends or ends a lease has no await between its check and its record, so that
    no message of the member can be handled in between.
    """

    name = "monitor"
    requires = ("groups", "peers", "membership", "placement", "lease")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._monitored: dict[str, _MonitoredMember] = {}
        self._blocks: dict[str, frozenset[_AcknowledgementBlock]] = {}
        self._group_version = 0
        self._recovering = 0
        self._transfer_after = 0.0
        self._monitors_by_member: dict[str, tuple[str, ...]] = {}
        self._states: dict[str, MemberState] = {}
        # Whether no better placed monitor exists among the present members. The search takes
        # milliseconds, so it is repeated only if members, their states or monitors change.
        self._well_placed = False
        # Whether this agent and a member monitor each other.
        self._mutual = False
        self._member_id = ""

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        self._placement = registry.find("placement", Placement)
        self._lease = registry.find("lease", Lease)
        section = registry.find("settings", Settings).lease
        self._takeover_wait_s = (section.lease_ms + section.drift_margin_ms) / 1000
        self._renewal_s = section.renewal_ms / 1000
        self._check_period_s = self._renewal_s / 3
        self._groups.subscribe(self)
        self._peers.on(Renew, self._on_renew)
        self._peers.on(PromiseQuery, self._on_promise_query)
        self._peers.on(PromiseRelease, self._on_promise_release)

    async def start(self) -> None:
        """Starts the periodic check for ended leases."""
        self._tasks.spawn("check", self._run())

    async def stop(self) -> None:
        """Cancels the periodic check."""
        await self._tasks.cancel()

    def monitored(self) -> dict[str, float]:
        """Returns the seconds since the last acknowledgement, by id of the monitored member."""
        now = self._clock.now()
        return {
            member_id: now - max(monitored.acknowledged_at, monitored.waiting_since)
            for member_id, monitored in self._monitored.items()
        }

    def group_changed(self, group: VersionedGroup) -> None:
        """Updates the monitored members, their stamps and their monitors."""
        if group.group.id != self._membership.own_group_id:
            return
        own_id = self._membership.member_id
        if own_id != self._member_id:
            self._member_id = own_id
            self._monitored.clear()
            self._blocks.clear()
        now = self._clock.now()
        if self._is_confirmed_again(group):
            # The store has lost writes: a member may have had other monitors until now.
            self._monitored = {
                member_id: replace(monitored, waiting_since=now)
                for member_id, monitored in self._monitored.items()
            }
        self._group_version = group.version
        self._recovering = group.group.recovering
        monitors_by_member = {
            member.id: member.monitors for member in group.group.members.values()
        }
        states = {member.id: member.state for member in group.group.members.values()}
        if monitors_by_member != self._monitors_by_member or states != self._states:
            self._states = states
            self._well_placed = False
        # Moves of shards change the group frequently and must not delay transfers.
        if monitors_by_member != self._monitors_by_member:
            self._monitors_by_member = monitors_by_member
            self._mutual = any(
                own_id in monitors_by_member.get(monitor_id, ())
                for monitor_id in monitors_by_member.get(own_id, ())
            )
            self._postpone_transfers()
        for member_id, blocks in list(self._blocks.items()):
            self._set_blocks(
                member_id, {block for block in blocks if block.version >= group.version}
            )
        self._monitored = {
            member.id: _with_member_update(self._monitored.get(member.id), member, now)
            for member in group.group.members.values()
            if own_id in member.monitors
        }

    def _is_confirmed_again(self, group: VersionedGroup) -> bool:
        return era_of(group.version) != era_of(
            self._group_version
        ) or group.group.recovering not in (0, self._recovering)

    async def take_over_expired(self) -> bool:
        """Takes over the members whose leases have ended.

        Returns:
            Whether a takeover was written.
        """
        own_group_id = self._membership.own_group_id
        expired_ids = [
            member_id for member_id in self._monitored if self._lease_has_ended(member_id)
        ]
        if own_group_id is None or not expired_ids or self._membership.own_member() is None:
            return False
        try:
            base = await self._groups.refresh(own_group_id)
            return await self._take_over(own_group_id, base, expired_ids)
        except PlatformError as error:
            _TAKEOVER_FAILED.emit(members=",".join(expired_ids), error=error)
            return False

    async def transfer_members(self) -> bool:
        """Transfers monitored members to better placed monitors.

        Returns:
            Whether a transfer was written.
        """
        own_group_id = self._membership.own_group_id
        view = self._groups.view(own_group_id) if own_group_id is not None else None
        if view is None or self._membership.stopped_acknowledging or not self._lease.held:
            return False
        if self._transfer_after > self._clock.now():
            return False
        if self._well_placed:
            return False
        if not self._mutual and any(
            key_range.successor is not None for key_range in view.group.ranges
        ):
            # Handovers keep callers waiting, and a transfer would conflict with their writes.
            self._postpone_transfers()
            return False
        # The write is conditional on the cached version, so it needs no read before it.
        group, transferred_ids = transfer_monitored(view.group, self._membership.member_id)
        if not transferred_ids:
            self._well_placed = True
            return False
        if not all(map(self._is_renewing, transferred_ids)):
            return False
        self._postpone_transfers()
        # The new monitors count the time without renewals from the write on. So this monitor
        # acknowledges nothing once the write is sent, until a newer version shows whether it took
        # effect.
        block = _AcknowledgementBlock(view.version, "", self._peers.next_call())
        for member_id in transferred_ids:
            self._add_block(member_id, block)
        try:
            written = await self._groups.write(view, group)
        except OutcomeUnknownError:
            return False
        except PlatformError:
            for member_id in transferred_ids:
                self._remove_block(member_id, block)
            return False
        _TRANSFERRED.emit(members=",".join(sorted(transferred_ids)), version=written.version)
        return True

    def _postpone_transfers(self) -> None:
        settle_s = _MUTUAL_SETTLE_TIME_S if self._mutual else _SETTLE_TIME_S
        spread_s = _MUTUAL_SPREAD_S if self._mutual else _SPREAD_S
        self._transfer_after = self._clock.now() + settle_s + random.uniform(0, spread_s)

    async def _take_over(
        self, own_group_id: GroupId, base: VersionedGroup, expired_ids: list[str]
    ) -> bool:
        monitored_ids = [
            member_id
            for member_id in expired_ids
            if member_id in base.group.members
            and self._membership.member_id in base.group.members[member_id].monitors
        ]
        promises = PromiseRound(self._groups, self._peers, base, self._membership.member_id)
        promised_ids = await promises.request(monitored_ids)
        # There is no await from here to the write: the last check and the block are one step.
        lost_ids = frozenset(filter(self._lease_has_ended, promised_ids))
        view = self._groups.view(own_group_id)
        written = False
        if lost_ids and view is not None and view.version == base.version:
            block = _AcknowledgementBlock(base.version, "", self._peers.next_call())
            for member_id in lost_ids:
                self._add_block(member_id, block)
            written = await self._write(base, lost_ids, block)
        promises.release(keep_ids=lost_ids if written else frozenset())
        return written

    async def _write(
        self, base: VersionedGroup, lost_ids: frozenset[str], block: _AcknowledgementBlock
    ) -> bool:
        names = ",".join(sorted(lost_ids))
        _LEASE_ENDED.emit(members=names, version=base.version)
        group = self._membership.fill_monitors(self._placement.assign(base.group, lost_ids))
        try:
            written = await self._groups.write(base, group)
        except VersionConflictError as error:
            _TAKEOVER_FAILED.emit(members=names, error=error)
            return False
        except OutcomeUnknownError as error:
            # The write may still take effect, so blocks and promises stay.
            _TAKEOVER_FAILED.emit(members=names, error=error)
            return True
        except PlatformError as error:
            for member_id in lost_ids:
                self._remove_block(member_id, block)
            _TAKEOVER_FAILED.emit(members=names, error=error)
            return False
        _TAKEN_OVER.emit(members=names, group=written.group.id, version=written.version)
        return True

    def _lease_has_ended(self, member_id: str) -> bool:
        monitored = self._monitored.get(member_id)
        return monitored is not None and self._lease_end(monitored) < self._clock.now()

    def _lease_end(self, monitored: _MonitoredMember) -> float:
        """Returns the time until which the lease may run, in seconds of CLOCK_BOOTTIME."""
        last_activity_at = max(
            monitored.waiting_since, monitored.acknowledged_at, monitored.stamp_received_at
        )
        return last_activity_at + self._takeover_wait_s

    def _is_renewing(self, member_id: str) -> bool:
        # A transfer restarts the wait for the end of a lease, which would delay the takeover of a
        # lost member.
        monitored = self._monitored.get(member_id)
        if monitored is None:
            return False
        return monitored.acknowledged_at + 2 * self._renewal_s > self._clock.now()

    def _may_acknowledge(self, member_id: str) -> bool:
        # A monitor without a lease may have been removed. Its replacement then waits for the
        # leases of the members to end, so the removed monitor must not extend them.
        return (
            member_id in self._monitored
            and member_id not in self._blocks
            and self._lease.held
            and not self._membership.stopped_acknowledging
        )

    def _on_renew(self, sender: str, message: Renew) -> None:
        # A member that has not learned of a new era may have grants that its group lacks.
        granted = (
            message.member_id == sender
            and message.era >= era_of(self._group_version)
            and self._may_acknowledge(sender)
        )
        if granted:
            self._monitored[sender] = replace(
                self._monitored[sender], acknowledged_at=self._clock.now()
            )
        acknowledgement = RenewAck(
            self._membership.member_id,
            message.member_id,
            message.sequence,
            granted,
            self._groups.versions(),
        )
        self._peers.reply(sender, acknowledgement)
        own_group_id = self._membership.own_group_id
        view = self._groups.view(own_group_id) if own_group_id is not None else None
        member = view.group.members.get(sender) if view is not None else None
        if member is not None:
            self._groups.fetch_newer(member, message.versions)

    def promise(self, member_id: str, version: int, to: str, call: int) -> bool:
        """Agrees to a takeover or refuses it; see `Monitor.promise`."""
        granted = (
            version >= self._group_version
            and member_id in self._monitored
            and self._lease_has_ended(member_id)
        )
        if granted:
            self._add_block(member_id, _AcknowledgementBlock(version, to, call))
        event = _PROMISED if granted else _PROMISE_REFUSED
        event.emit(member=member_id, to=to, version=version)
        return granted

    def withdraw_promise(self, member_id: str, to: str, call: int) -> None:
        """Withdraws a promise; see `Monitor.withdraw_promise`."""
        for block in self._blocks.get(member_id, frozenset()):
            if (block.promised_to, block.call) == (to, call):
                self._remove_block(member_id, block)

    def _on_promise_query(self, sender: str, message: PromiseQuery) -> None:
        member_id, version = message.member_id, message.version
        group_id = GroupId(message.service, message.number)
        granted = group_id == self._membership.own_group_id and self.promise(
            member_id, version, sender, message.call
        )
        self._peers.reply(sender, Promise(message.call, member_id, version, granted))

    def _on_promise_release(self, sender: str, message: PromiseRelease) -> None:
        self.withdraw_promise(message.member_id, sender, message.call)

    def _add_block(self, member_id: str, block: _AcknowledgementBlock) -> None:
        self._set_blocks(member_id, {*self._blocks.get(member_id, ()), block})

    def _remove_block(self, member_id: str, block: _AcknowledgementBlock) -> None:
        self._set_blocks(member_id, {*self._blocks.get(member_id, ())} - {block})

    def _set_blocks(self, member_id: str, blocks: set[_AcknowledgementBlock]) -> None:
        if blocks:
            self._blocks[member_id] = frozenset(blocks)
        else:
            self._blocks.pop(member_id, None)

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(self._next_check_s())
            await self.take_over_expired()
            await self.transfer_members()

    def _next_check_s(self) -> float:
        """Returns the time until a lease can end, at most a renewal period."""
        ends = [self._lease_end(monitored) for monitored in self._monitored.values()]
        remaining_s = min(ends, default=math.inf) - self._clock.now()
        return min(max(remaining_s, self._check_period_s), self._renewal_s)


def _with_member_update(
    monitored: _MonitoredMember | None, member: Member, now: float
) -> _MonitoredMember:
    if monitored is None:
        return _MonitoredMember(now, 0.0, member.stamp, now, member.monitors)
    # A monitor that was removed may have acknowledged renewals until now.
    monitor_removed = not set(monitored.monitors) <= set(member.monitors)
    return _MonitoredMember(
        waiting_since=now if monitor_removed else monitored.waiting_since,
        acknowledged_at=monitored.acknowledged_at,
        stamp=member.stamp,
        stamp_received_at=now if member.stamp != monitored.stamp else monitored.stamp_received_at,
        monitors=member.monitors,
    )
