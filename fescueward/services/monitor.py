"""Monitoring of other members' leases, and takeover of lost members."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..interfaces import Groups, Lease, Membership, Peers, Placement
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.errors import (
    OutcomeUnknownError,
    PlatformError,
    VersionConflictError,
)
from ..kernel.settings import Settings
from ..messages import GroupId, Member, VersionedGroup
from ..messages.peer import Promise, PromiseQuery, PromiseRelease, Renew, RenewAck
from .promises import PromiseRound
from .ring import transfer_monitored

_SILENT = Event(2601, "member_silent", Level.WARNING, "A monitored member's lease has ended.")
_TAKEN_OVER = Event(2602, "member_taken_over", Level.WARNING, "A lost member was removed.")
_TAKEOVER_FAILED = Event(
    2603, "takeover_failed", Level.INFO, "A takeover attempt did not succeed."
)
_TRANSFERRED = Event(
    2606, "monitored_transferred", Level.INFO, "Better placed monitors took over members."
)
_PROMISED = Event(
    2604, "promise_given", Level.INFO, "A takeover by the other monitor is agreed to."
)
_PROMISE_REFUSED = Event(
    2605, "promise_refused", Level.INFO, "A takeover is refused: the member was acknowledged."
)


# Joins and takeovers come in bursts; a transfer in between would only conflict with them.
_SETTLED_S = 0.4
_TRANSFER_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class _Watched:
    """What this monitor knows of one member.

    Attributes:
        since: Start of this monitor's wait, apart from acknowledgements.
        acknowledged_at: Time of the last acknowledgement.
        stamp: The member's stamp.
        stamp_seen_at: When that value was first seen.
        monitors: Monitors of the member.
    """

    since: float
    acknowledged_at: float
    stamp: int
    stamp_seen_at: float
    monitors: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _Bar:
    """Acknowledges nothing to a member until a group version above `version` is seen.

    Attributes:
        version: Version that the write is conditional on.
        sender: Monitor that it was promised to, empty for a write of this agent.
        call: Number of the sender's query or of this agent's write.
    """

    version: int
    sender: str
    call: int


class LeaseMonitor:
    """The `monitor` service.

    All decisions that extend or end a lease are taken between two awaits, so that no message of
    the member can come between the check and the record.
    """

    name = "monitor"
    requires = ("groups", "peers", "membership", "placement", "lease")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._watched: dict[str, _Watched] = {}
        self._bars: dict[str, frozenset[_Bar]] = {}
        self._version = 0
        self._transfer_after = 0.0
        self._arrangement: dict[str, tuple[str, ...]] = {}
        # Version at which no member had a better placed monitor; the search takes milliseconds.
        self._well_placed_at = 0
        self._member_id = ""

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        self._placement = registry.find("placement", Placement)
        self._lease = registry.find("lease", Lease)
        section = registry.find("settings", Settings).lease
        self._wait_s = (section.lease_ms + section.drift_margin_ms) / 1000
        self._renewal_s = section.renewal_ms / 1000
        self._period_s = self._renewal_s / 3
        self._groups.subscribe(self)
        self._peers.on(Renew, self._on_renew)
        self._peers.on(PromiseQuery, self._on_promise_query)
        self._peers.on(PromiseRelease, self._on_promise_release)

    async def start(self) -> None:
        """Starts the check of silent members."""
        self._tasks.spawn("check", self._run())

    async def stop(self) -> None:
        """Ends the check."""
        await self._tasks.cancel()

    def monitored(self) -> dict[str, float]:
        """Returns seconds since the last acknowledgement by member id."""
        now = self._clock.now()
        return {
            member_id: now - max(watched.acknowledged_at, watched.since)
            for member_id, watched in self._watched.items()
        }

    def group_changed(self, group: VersionedGroup) -> None:
        """Takes over who is monitored, stamps and lists of monitors."""
        if group.group.id != self._membership.home:
            return
        me = self._membership.member_id
        if me != self._member_id:
            self._member_id = me
            self._watched.clear()
            self._bars.clear()
        now = self._clock.now()
        self._version = group.version
        arrangement = {member.id: member.monitors for member in group.group.members.values()}
        # Moves of shards change the group all the time and must not put transfers off.
        if arrangement != self._arrangement:
            self._arrangement = arrangement
            self._transfer_after = now + _SETTLED_S
        for member_id, bars in list(self._bars.items()):
            self._set_bars(member_id, {bar for bar in bars if bar.version >= group.version})
        self._watched = {
            member.id: _updated(self._watched.get(member.id), member, now)
            for member in group.group.members.values()
            if me in member.monitors
        }

    async def check_silent(self) -> bool:
        """Takes over the members whose leases have ended.

        Returns:
            Whether a takeover was written.
        """
        home = self._membership.home
        silent = [member_id for member_id in self._watched if self._is_silent(member_id)]
        if home is None or not silent or self._membership.own_member() is None:
            return False
        try:
            base = await self._groups.refresh(home)
            return await self._take_over(home, base, silent)
        except PlatformError as error:
            _TAKEOVER_FAILED.emit(members=",".join(silent), error=error)
            return False

    async def transfer(self) -> bool:
        """Gives members up to better placed monitors.

        Returns:
            Whether a transfer was written.
        """
        home = self._membership.home
        view = self._groups.view(home) if home is not None else None
        if view is None or self._membership.resigned or not self._lease.held:
            return False
        if self._transfer_after > self._clock.now():
            return False
        if self._well_placed_at == view.version:
            return False
        if not transfer_monitored(view.group, self._membership.member_id)[1]:
            self._well_placed_at = view.version
            return False
        try:
            base = await self._groups.refresh(view.group.id)
        except PlatformError:
            self._transfer_after = self._clock.now() + _TRANSFER_RETRY_S
            return False
        group, given = transfer_monitored(base.group, self._membership.member_id)
        if base.version != view.version or not given:
            return False
        if not all(map(self._is_renewing, given)):
            return False
        self._transfer_after = self._clock.now() + _TRANSFER_RETRY_S
        # The new monitors wait for leases from the write on, so nothing is acknowledged after it
        # was sent, until a newer version shows whether it took effect.
        bar = _Bar(base.version, "", self._peers.next_call())
        for member_id in given:
            self._add_bar(member_id, bar)
        try:
            written = await self._groups.write(base, group)
        except (OutcomeUnknownError, VersionConflictError):
            return False
        except PlatformError:
            for member_id in given:
                self._drop_bar(member_id, bar)
            return False
        _TRANSFERRED.emit(members=",".join(sorted(given)), version=written.version)
        return True

    async def _take_over(self, home: GroupId, base: VersionedGroup, silent: list[str]) -> bool:
        monitored = [
            member_id
            for member_id in silent
            if member_id in base.group.members
            and self._membership.member_id in base.group.members[member_id].monitors
        ]
        promises = PromiseRound(self._groups, self._peers, base, self._membership.member_id)
        agreed = await promises.ask(monitored)
        # From here to the write nothing awaits: the last check and the bar are one step.
        lost = frozenset(filter(self._is_silent, agreed))
        view = self._groups.view(home)
        written = False
        if lost and view is not None and view.version == base.version:
            bar = _Bar(base.version, "", self._peers.next_call())
            for member_id in lost:
                self._add_bar(member_id, bar)
            written = await self._write(base, lost, bar)
        promises.release(keep=lost if written else frozenset())
        return written

    async def _write(self, base: VersionedGroup, lost: frozenset[str], bar: _Bar) -> bool:
        names = ",".join(sorted(lost))
        _SILENT.emit(members=names, version=base.version)
        group = self._membership.fill_monitors(self._placement.assign(base.group, lost))
        try:
            written = await self._groups.write(base, group)
        except VersionConflictError as error:
            _TAKEOVER_FAILED.emit(members=names, error=error)
            return False
        except OutcomeUnknownError as error:
            # The write may still take effect, so bars and promises stay.
            _TAKEOVER_FAILED.emit(members=names, error=error)
            return True
        except PlatformError as error:
            for member_id in lost:
                self._drop_bar(member_id, bar)
            _TAKEOVER_FAILED.emit(members=names, error=error)
            return False
        _TAKEN_OVER.emit(members=names, group=written.group.id, version=written.version)
        return True

    def _is_silent(self, member_id: str) -> bool:
        watched = self._watched.get(member_id)
        if watched is None:
            return False
        last = max(watched.since, watched.acknowledged_at, watched.stamp_seen_at)
        return last + self._wait_s < self._clock.now()

    def _is_renewing(self, member_id: str) -> bool:
        # A transfer makes the wait for a lost member start again.
        watched = self._watched.get(member_id)
        if watched is None:
            return False
        return watched.acknowledged_at + 2 * self._renewal_s > self._clock.now()

    def _may_acknowledge(self, member_id: str) -> bool:
        # A monitor without a lease may have been removed, and its replacement waits for
        # leases that it must not extend.
        return (
            member_id in self._watched
            and member_id not in self._bars
            and self._lease.held
            and not self._membership.resigned
        )

    def _on_renew(self, sender: str, message: Renew) -> None:
        granted = message.member_id == sender and self._may_acknowledge(sender)
        if granted:
            self._watched[sender] = replace(
                self._watched[sender], acknowledged_at=self._clock.now()
            )
        acknowledgement = RenewAck(
            self._membership.member_id,
            message.member_id,
            message.sequence,
            granted,
            self._groups.versions(),
        )
        self._peers.reply(sender, acknowledgement)
        home = self._membership.home
        view = self._groups.view(home) if home is not None else None
        member = view.group.members.get(sender) if view is not None else None
        if member is not None:
            self._groups.compare(member, message.versions)

    def promise(self, member_id: str, version: int, to: str, call: int) -> bool:
        """Agrees to a takeover; see `Monitor.promise`."""
        granted = (
            version >= self._version and member_id in self._watched and self._is_silent(member_id)
        )
        if granted:
            self._add_bar(member_id, _Bar(version, to, call))
        event = _PROMISED if granted else _PROMISE_REFUSED
        event.emit(member=member_id, to=to, version=version)
        return granted

    def withdraw_promise(self, member_id: str, to: str, call: int) -> None:
        """Takes a promise back; see `Monitor.withdraw_promise`."""
        for bar in self._bars.get(member_id, frozenset()):
            if (bar.sender, bar.call) == (to, call):
                self._drop_bar(member_id, bar)

    def _on_promise_query(self, sender: str, message: PromiseQuery) -> None:
        member_id, version = message.member_id, message.version
        home = GroupId(message.service, message.number)
        granted = home == self._membership.home and self.promise(
            member_id, version, sender, message.call
        )
        self._peers.reply(sender, Promise(message.call, member_id, version, granted))

    def _on_promise_release(self, sender: str, message: PromiseRelease) -> None:
        self.withdraw_promise(message.member_id, sender, message.call)

    def _add_bar(self, member_id: str, bar: _Bar) -> None:
        self._set_bars(member_id, {*self._bars.get(member_id, ()), bar})

    def _drop_bar(self, member_id: str, bar: _Bar) -> None:
        self._set_bars(member_id, {*self._bars.get(member_id, ())} - {bar})

    def _set_bars(self, member_id: str, bars: set[_Bar]) -> None:
        if bars:
            self._bars[member_id] = frozenset(bars)
        else:
            self._bars.pop(member_id, None)

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(self._period_s)
            await self.check_silent()
            await self.transfer()


def _updated(watched: _Watched | None, member: Member, now: float) -> _Watched:
    if watched is None:
        return _Watched(now, 0.0, member.stamp, now, member.monitors)
    # A monitor that is gone may have acknowledged until now.
    shrunk = not set(watched.monitors) <= set(member.monitors)
    return _Watched(
        since=now if shrunk else watched.since,
        acknowledged_at=watched.acknowledged_at,
        stamp=member.stamp,
        stamp_seen_at=now if member.stamp != watched.stamp else watched.stamp_seen_at,
        monitors=member.monitors,
    )
