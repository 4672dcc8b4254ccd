"""This agent's lease: renewed by either monitor, or by a write of its own."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import replace

from ..interfaces import Groups, Membership, Peers
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.errors import (
    LeaseExpiredError,
    OutcomeUnknownError,
    PlatformError,
    VersionConflictError,
)
from ..kernel.settings import Settings
from ..messages import Member, VersionedGroup
from ..messages.peer import Renew, RenewAck

_HELD = Event(2501, "lease_held", Level.INFO, "The lease is held.")
_EXPIRED = Event(2502, "lease_expired", Level.WARNING, "The lease has ended without a renewal.")
_OWN_WRITES = Event(
    2503, "lease_own_writes", Level.WARNING, "No monitor acknowledges; the agent renews by writes."
)
_WRITE_FAILED = Event(2504, "lease_write_failed", Level.WARNING, "A renewal by write failed.")


class MonitoredLease:
    """The `lease` service.

    A renewal counts from the moment it was sent, so the holder's end is never later than the end
    that a monitor waits for.
    """

    name = "lease"
    requires = ("groups", "peers", "membership")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._expires_at = 0.0
        self._sequence = 0
        self._sent: dict[int, float] = {}
        self._acknowledged_at = 0.0
        self._member_id = ""
        self._seen_id = ""
        # Member that this agent joins as, and a time before that was sent.
        self._joining = ("", 0.0)
        self._joined = asyncio.Event()
        self._extended = asyncio.Event()
        self._was_held = False
        self._by_writes = False
        self._stamp = 0

    @property
    def held(self) -> bool:
        """Whether the lease is held now."""
        return self._clock.now() < self._expires_at and self._current()

    @property
    def expires_at(self) -> float:
        """End of the lease in seconds of CLOCK_BOOTTIME."""
        return self._expires_at if self._current() else 0.0

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        section = registry.find("settings", Settings).lease
        self._lease_s = section.lease_ms / 1000
        self._renewal_s = section.renewal_ms / 1000
        self._groups.subscribe(self)
        self._peers.on(RenewAck, self._on_ack)

    async def start(self) -> None:
        """Starts the renewals."""
        self._tasks.spawn("renewals", self._run_renewals())
        self._tasks.spawn("own-writes", self._run_own_writes())

    async def stop(self) -> None:
        """Ends the renewals."""
        await self._tasks.cancel()

    def group_changed(self, group: VersionedGroup) -> None:
        """Holds the lease from the join of this agent, which another member may have recorded.

        Monitors wait for a lease from when they see a new member, which is after the join was
        sent, as they do after a stamp.
        """
        me = self._membership.own_member()
        if me is None or me.id == self._seen_id:
            return
        self._seen_id = me.id
        member_id, sent = self._joining
        if member_id != me.id:
            self._joined.set()
            return
        self._acknowledged_at = max(self._acknowledged_at, sent)
        self._extend(me.id, sent)
        for monitor_id in me.monitors:
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
        self._note_state()
        me = self._membership.own_member()
        home = self._membership.home
        if me is None or home is None or self._membership.resigned:
            return
        view = self._groups.view(home)
        assert view is not None
        now = self._clock.now()
        self._sequence += 1
        self._sent[self._sequence] = now
        for sequence in [old for old, sent in self._sent.items() if sent + self._lease_s < now]:
            del self._sent[sequence]
        renewal = Renew(me.id, self._sequence, self._groups.versions())
        for monitor_id in me.monitors:
            monitor = view.group.members.get(monitor_id)
            if monitor is not None:
                self._peers.send(monitor, renewal)

    async def renew_by_write(self) -> bool:
        """Renews by a conditional write if no monitor has acknowledged for two periods.

        Returns:
            Whether the lease was extended.
        """
        me = self._membership.own_member()
        if me is None or self._membership.resigned or not self._silent(me):
            self._by_writes = False
            return False
        if not self._by_writes:
            _OWN_WRITES.emit(member=me.id, monitors=",".join(me.monitors))
            self._by_writes = True
        try:
            return await self._write_stamp(me.id)
        except PlatformError as error:
            _WRITE_FAILED.emit(member=me.id, error=error)
            return False

    def start_from_join(self, member_id: str, sent: float) -> None:
        """Makes a join the first renewal; see `Lease.start_from_join`."""
        self._joining = (member_id, sent)

    async def write_stamp(self) -> bool:
        """Renews by a conditional write; see `Lease.write_stamp`."""
        me = self._membership.own_member()
        return me is not None and await self._write_stamp(me.id)

    async def _write_stamp(self, member_id: str) -> bool:
        home = self._membership.home
        assert home is not None
        for _ in range(3):
            base = self._groups.view(home)
            member = base.group.members.get(member_id) if base is not None else None
            if base is None or member is None:
                return False
            # No two writes have the same stamp, so the value tells which of them was made: an
            # earlier one whose answer was lost must not pass for this one.
            self._stamp = max(self._stamp, member.stamp) + 1
            renewed = replace(member, stamp=self._stamp)
            group = replace(base.group, members={**base.group.members, member_id: renewed})
            sent = self._clock.now()
            try:
                await self._groups.write(base, group)
            except VersionConflictError:
                await self._groups.refresh(home)
                continue
            except OutcomeUnknownError:
                read = await self._groups.refresh(home)
                found = read.group.members.get(member_id)
                # Only this agent changes the stamp.
                if found is None or found.stamp != renewed.stamp:
                    return False
            self._extend(member_id, sent)
            return True
        return False

    def _silent(self, me: Member) -> bool:
        return not me.monitors or self._acknowledged_at + 2 * self._renewal_s < self._clock.now()

    def _on_ack(self, sender: str, message: RenewAck) -> None:
        me = self._membership.own_member()
        home = self._membership.home
        if me is None or home is None or message.member_id != me.id:
            return
        view = self._groups.view(home)
        monitor = view.group.members.get(sender) if view is not None else None
        if monitor is not None:
            self._groups.compare(monitor, message.versions)
        sent = self._sent.get(message.sequence)
        if message.granted and message.monitor_id == sender and sent is not None:
            self._acknowledged_at = max(self._acknowledged_at, sent)
            self._extend(me.id, sent)

    def _extend(self, member_id: str, sent: float) -> None:
        if member_id != self._member_id:
            self._member_id = member_id
            self._expires_at = 0.0
        self._expires_at = max(self._expires_at, sent + self._lease_s)
        self._extended.set()
        self._note_state()

    def _current(self) -> bool:
        # A lease belongs to one incarnation and ends when the member is removed. It ends before
        # the member's own write that removes it, whose answer can be lost.
        me = self._membership.own_member()
        return me is not None and me.id == self._member_id and not self._membership.resigned

    def _note_state(self) -> None:
        held = self.held
        if held and not self._was_held:
            _HELD.emit(member=self._member_id)
        if not held and self._was_held:
            _EXPIRED.emit(member=self._member_id)
        self._was_held = held

    async def _run_renewals(self) -> None:
        while True:
            self.send_renewals()
            await self._clock.sleep(self._renewal_s)

    async def _run_own_writes(self) -> None:
        while True:
            await self.renew_by_write()
            self._joined.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(self._renewal_s):
                    await self._joined.wait()
