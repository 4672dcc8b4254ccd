"""Lease of this agent, renewed by acknowledgements of its monitors or by its own writes."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import replace

from ..interfaces import Groups, Membership, Peers, Recorder
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.errors import (
    LeaseExpiredError,
    OutcomeUnknownError,
    PlatformError,
    VersionConflictError,
)
from ..kernel.settings import Settings
from ..messages import Member, VersionedGroup
from ..messages.era import era_of
from ..messages.peer import MemberEdit, Renew, RenewAck

_HELD = Event(2501, "lease_held", Level.INFO, "The lease is held.")
_EXPIRED = Event(2502, "lease_expired", Level.WARNING, "The lease has ended without a renewal.")
_OWN_WRITES = Event(
    2503,
    "lease_own_writes",
    Level.WARNING,
    "No monitor acknowledges renewals; this agent renews by writes.",
)
_WRITE_FAILED = Event(2504, "lease_write_failed", Level.WARNING, "A renewal by write failed.")
_WRITES_ENDED = Event(
    2505, "lease_writes_ended", Level.INFO, "This agent no longer renews its lease by writes."
)


class MonitoredLease:
    """The `lease` service.

    A renewal extends the lease from the time at which it was sent, so the lease never ends later
    on the clock of its holder than on that of a monitor.
    """

    name = "lease"
    requires = ("groups", "peers", "membership")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._expires_at = 0.0
        self._sequence = 0
        self._sent_at: dict[int, float] = {}
        self._acknowledged_at = 0.0
        # When this agent learned of its join, from which its monitors have time to connect.
        self._joined_at = 0.0
        self._member_id = ""
        self._known_member_id = ""
        # Member id of the latest join of this agent, and a time before that join was sent.
        self._latest_join = ("", 0.0)
        self._check_requested = asyncio.Event()
        self._extended = asyncio.Event()
        self._was_held = False
        self._renews_by_writes = False
        # Of the present renewals by write: their start, and the numbers of writes by outcome.
        self._writes_began_at = 0.0
        self._written_count = 0
        self._refused_count = 0
        self._stamp = 0

    @property
    def held(self) -> bool:
        """Whether the lease is held now."""
        return self._clock.now() < self._expires_at and self._is_current()

    @property
    def expires_at(self) -> float:
        """End of the lease in seconds of CLOCK_BOOTTIME, 0.0 without a lease."""
        return self._expires_at if self._is_current() else 0.0

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        self._recorder = registry.find("recorder", Recorder)
        section = registry.find("settings", Settings).lease
        self._lease_s = section.lease_ms / 1000
        self._renewal_s = section.renewal_ms / 1000
        self._groups.subscribe(self)
        self._peers.on(RenewAck, self._on_ack)

    async def start(self) -> None:
        """Starts the tasks that renew the lease."""
        self._tasks.spawn("renewals", self._run_renewals())
        self._tasks.spawn("own-writes", self._run_own_writes())

    async def stop(self) -> None:
        """Cancels the tasks that renew the lease."""
        await self._tasks.cancel()

    def group_changed(self, group: VersionedGroup) -> None:
        """Starts the lease with the join of this agent, which another member may have written.

        A monitor counts the time without renewals from its receipt of the new member, as it does
        after a new stamp. That receipt comes after the join was sent.
        """
        member = self._membership.own_member()
        if member is None or member.id == self._known_member_id:
            return
        self._known_member_id = member.id
        self._joined_at = self._clock.now()
        member_id, sent_at = self._latest_join
        if member_id != member.id:
            self._check_requested.set()
            return
        self._acknowledged_at = max(self._acknowledged_at, sent_at)
        self._extend(member.id, sent_at)
        for monitor_id in member.monitors:
            if (monitor := group.group.members.get(monitor_id)) is not None:
                self._peers.dial(monitor)

    async def wait_until_held(self) -> None:
        """Waits until the lease is held."""
        while not self.held:
            self._extended.clear()
            await self._extended.wait()

    def check(self) -> None:
        """Raises `LeaseExpiredError` unless the lease is held now."""
        if not self.held:
            raise LeaseExpiredError(f"the lease of {self._membership.member_id} has ended")

    def send_renewals(self) -> None:
        """Sends one renewal to each monitor."""
        self._log_state_change()
        member = self._membership.own_member()
        own_group_id = self._membership.own_group_id
        if member is None or own_group_id is None or self._membership.stopped_acknowledging:
            return
        view = self._groups.view(own_group_id)
        assert view is not None
        now = self._clock.now()
        self._sequence += 1
        self._sent_at[self._sequence] = now
        for sequence in [
            number for number, sent_at in self._sent_at.items() if sent_at + self._lease_s < now
        ]:
            del self._sent_at[sequence]
        renewal = Renew(member.id, self._sequence, self._groups.versions(), era_of(view.version))
        for monitor_id in member.monitors:
            monitor = view.group.members.get(monitor_id)
            if monitor is not None:
                self._peers.send(monitor, renewal)

    async def renew_by_write(self) -> bool:
        """Renews by a conditional write if no monitor has acknowledged for two renewal periods.

        Returns:
            Whether the lease was extended.
        """
        member = self._membership.own_member()
        if (
            member is None
            or self._membership.stopped_acknowledging
            or not self._lacks_acknowledgements(member)
        ):
            self._end_writes()
            return False
        if not self._renews_by_writes:
            _OWN_WRITES.emit(member=member.id, monitors=",".join(member.monitors))
            self._renews_by_writes = True
            self._writes_began_at = self._clock.now()
            self._written_count = self._refused_count = 0
        recorded = await self._record_stamp(member)
        if recorded is not None:
            return recorded
        try:
            return await self._write_stamp(member.id)
        except PlatformError as error:
            _WRITE_FAILED.emit(member=member.id, error=error)
            return False

    def _end_writes(self) -> None:
        if not self._renews_by_writes:
            return
        self._renews_by_writes = False
        _WRITES_ENDED.emit(
            member=self._member_id,
            seconds=round(self._clock.now() - self._writes_began_at, 3),
            written=self._written_count,
            refused=self._refused_count,
        )

    def start_from_join(self, member_id: str, sent: float) -> None:
        """Starts the lease from a join; see `Lease.start_from_join`."""
        self._latest_join = (member_id, sent)

    async def write_stamp(self) -> bool:
        """Renews by a conditional write; see `Lease.write_stamp`."""
        member = self._membership.own_member()
        return member is not None and await self._write_stamp(member.id)

    def _next_stamp(self, member: Member) -> int:
        # Each write has a stamp of its own, so the stamp in the group shows which write took
        # effect. An earlier one whose response was lost must not be taken for this one.
        self._stamp = max(self._stamp, member.stamp) + 1
        return self._stamp

    async def _record_stamp(self, member: Member) -> bool | None:
        """Renews through a member that writes the stamps of many; see `Recorder.record`."""
        stamp = self._next_stamp(member)
        sent_at = self._clock.now()
        recorded = await self._recorder.record(MemberEdit(member.id, stamp=stamp))
        if recorded:
            self._written_count += 1
            self._extend(member.id, sent_at)
        elif recorded is False:
            self._refused_count += 1
        return recorded

    async def _write_stamp(self, member_id: str) -> bool:
        own_group_id = self._membership.own_group_id
        assert own_group_id is not None
        for _ in range(3):
            base = self._groups.view(own_group_id)
            member = base.group.members.get(member_id) if base is not None else None
            if base is None or member is None:
                return False
            renewed = replace(member, stamp=self._next_stamp(member))
            group = base.group.with_member(renewed)
            sent_at = self._clock.now()
            try:
                await self._groups.write(base, group)
            except VersionConflictError:
                self._refused_count += 1
                latest = self._groups.view(own_group_id)
                if latest is None or latest.version <= base.version:
                    await self._groups.refresh(own_group_id)
                continue
            except OutcomeUnknownError:
                latest = await self._groups.refresh(own_group_id)
                stored = latest.group.members.get(member_id)
                # Only this agent changes the stamp.
                if stored is None or stored.stamp != renewed.stamp:
                    return False
            self._written_count += 1
            self._extend(member_id, sent_at)
            return True
        return False

    def _lacks_acknowledgements(self, member: Member) -> bool:
        silent_since = max(self._acknowledged_at, self._joined_at)
        return not member.monitors or silent_since + 2 * self._renewal_s < self._clock.now()

    def _connects(self) -> bool:
        """Whether this member has just joined, so that its streams to monitors are opening."""
        return self._acknowledged_at <= self._joined_at and (
            self._clock.now() < self._joined_at + 2 * self._renewal_s
        )

    def _on_ack(self, sender: str, message: RenewAck) -> None:
        member = self._membership.own_member()
        own_group_id = self._membership.own_group_id
        if member is None or own_group_id is None or message.member_id != member.id:
            return
        view = self._groups.view(own_group_id)
        monitor = view.group.members.get(sender) if view is not None else None
        if monitor is not None:
            self._groups.fetch_newer(monitor, message.versions)
        sent_at = self._sent_at.get(message.sequence)
        if message.granted and message.monitor_id == sender and sent_at is not None:
            self._acknowledged_at = max(self._acknowledged_at, sent_at)
            self._extend(member.id, sent_at)

    def _extend(self, member_id: str, sent_at: float) -> None:
        if member_id != self._member_id:
            self._member_id = member_id
            self._expires_at = 0.0
        self._expires_at = max(self._expires_at, sent_at + self._lease_s)
        self._extended.set()
        self._log_state_change()

    def _is_current(self) -> bool:
        # A lease belongs to one incarnation and ends when the member is removed. If the member
        # removes itself, the lease ends before that write, whose response can be lost.
        member = self._membership.own_member()
        return (
            member is not None
            and member.id == self._member_id
            and not self._membership.stopped_acknowledging
        )

    def _log_state_change(self) -> None:
        held = self.held
        if held and not self._was_held:
            _HELD.emit(member=self._member_id)
        if not held and self._was_held:
            _EXPIRED.emit(member=self._member_id)
        self._was_held = held

    async def _run_renewals(self) -> None:
        while True:
            self.send_renewals()
            await self._clock.sleep(self._renewal_s / 3 if self._connects() else self._renewal_s)

    async def _run_own_writes(self) -> None:
        while True:
            await self.renew_by_write()
            self._check_requested.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(self._renewal_s):
                    await self._check_requested.wait()
