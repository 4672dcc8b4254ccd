"""Removal of members that the operator states are gone for good (`recovery` of the entry)."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from ..interfaces import Catalogue, Groups, Lease, Membership, Monitor, Peers, Placement
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.errors import OutcomeUnknownError, PeerError, PlatformError, UnknownServiceError
from ..kernel.settings import Settings
from ..messages import Member, VersionedGroup
from ..messages.peer import PromiseQuery
from .promises import PromiseRound

_REMOVED = Event(
    2611, "members_recovered", Level.WARNING, "Members were removed as the entry states."
)
# A change of an entry is in effect everywhere within 5 s; the rest is for the stamp.
_KNOWN_EVERYWHERE_S = 6.0

_FAILED = Event(2612, "recovery_failed", Level.INFO, "A removal by statement did not succeed.")


class MemberRecovery:
    """The `recovery` service.

    Monitors that are lost together cannot promise anything, so the rule of takeovers cannot
    remove their members. The operator's statement replaces the promises of the monitors that do
    not answer; those that answer must still promise. Every member that learns of the statement
    writes its stamp once: an agent that is cut off from the others but not from the platform
    would otherwise remove all of them, because members that renew by monitors show no sign of
    life in the group object.
    """

    name = "recovery"
    requires = ("catalogue", "groups", "peers", "membership", "placement", "lease", "monitor")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._counter = 0
        self._since = 0.0
        self._shown = 0
        self._stamps: dict[str, tuple[int, float]] = {}
        self._reached: dict[str, float] = {}

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._groups = registry.find("groups", Groups)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        self._placement = registry.find("placement", Placement)
        self._lease = registry.find("lease", Lease)
        self._monitor = registry.find("monitor", Monitor)
        section = registry.find("settings", Settings).lease
        lease_s = (section.lease_ms + section.drift_margin_ms) / 1000
        self._wait_s = max(lease_s, _KNOWN_EVERYWHERE_S)
        self._period_s = section.renewal_ms / 1000
        self._groups.subscribe(self)

    async def start(self) -> None:
        """Starts the check of the entry's counter."""
        self._tasks.spawn("check", self._run())

    async def stop(self) -> None:
        """Ends the check."""
        await self._tasks.cancel()

    def group_changed(self, group: VersionedGroup) -> None:
        """Notes when each stamp was seen first."""
        if group.group.id != self._membership.home:
            return
        now = self._clock.now()
        noted = self._stamps
        self._stamps = {}
        for member in group.group.members.values():
            stamp, seen_at = noted.get(member.id, (member.stamp, now))
            self._stamps[member.id] = (member.stamp, seen_at if stamp == member.stamp else now)

    async def check(self) -> bool:
        """Removes the members that the entry states are gone, if it has a new statement.

        Returns:
            Whether the counter was recorded in the group.
        """
        counter = self._stated()
        if counter is None:
            return False
        now = self._clock.now()
        if counter != self._counter:
            self._counter, self._since = counter, now
        home = self._membership.home
        view = self._groups.view(home) if home is not None else None
        if view is None:
            return False
        others = [
            member
            for member in view.group.members.values()
            if member.id != self._membership.member_id
        ]
        try:
            if self._shown != counter and await self._lease.write_stamp():
                self._shown = counter
            await asyncio.gather(*(self._probe(member, view) for member in others))
            if self._since + self._wait_s > self._clock.now():
                return False
            base = await self._groups.refresh(view.group.id)
            return await self._remove(base, counter)
        except PlatformError as error:
            _FAILED.emit(group=home, error=error)
            return False

    def _stated(self) -> int | None:
        """Returns the entry's counter if the group has not acted on it."""
        home = self._membership.home
        view = self._groups.view(home) if home is not None else None
        if view is None or not self._lease.held:
            return None
        try:
            counter = self._catalogue.entry(view.group.service).entry.recovery
        except UnknownServiceError:
            return None
        return counter if counter > view.group.recovery else None

    async def _probe(self, member: Member, view: VersionedGroup) -> None:
        # A query for the member itself is never granted; any reply shows that it runs.
        call = self._peers.next_call()
        group = view.group
        query = PromiseQuery(call, group.service, group.number, member.id, view.version)
        try:
            await self._peers.call(member, query, call)
        except PeerError:
            return
        self._reached[member.id] = self._clock.now()

    def _gone(self, member_id: str) -> bool:
        _, stamp_seen_at = self._stamps.get(member_id, (0, self._clock.now()))
        return max(stamp_seen_at, self._reached.get(member_id, 0.0)) <= self._since

    async def _remove(self, base: VersionedGroup, counter: int) -> bool:
        me = self._membership.member_id
        gone = [other for other in base.group.members if other != me and self._gone(other)]
        promises = PromiseRound(self._groups, self._peers, base, me)
        agreed = await promises.ask(gone, frozenset(gone))
        call = self._peers.next_call()
        lost = frozenset(
            other
            for other in agreed
            if me not in base.group.members[other].monitors
            or self._monitor.promise(other, base.version, me, call)
        )
        # Members whose living monitors refuse are left for the next round.
        complete = len(lost) == len(gone)
        kept: frozenset[str] = frozenset()
        view = self._groups.view(base.group.id)
        if view is not None and view.version == base.version and (lost or complete):
            try:
                kept = lost
                await self._write(base, lost, counter if complete else base.group.recovery)
            except OutcomeUnknownError:
                raise
            except PlatformError:
                kept = frozenset()
                raise
            finally:
                self._withdraw(promises, lost, kept, call)
            return complete
        self._withdraw(promises, lost, kept, call)
        return False

    def _withdraw(
        self, promises: PromiseRound, lost: frozenset[str], kept: frozenset[str], call: int
    ) -> None:
        promises.release(kept)
        for member_id in lost - kept:
            self._monitor.withdraw_promise(member_id, self._membership.member_id, call)

    async def _write(self, base: VersionedGroup, lost: frozenset[str], counter: int) -> None:
        group = base.group
        if lost:
            group = self._membership.fill_monitors(self._placement.assign(group, lost))
        written = await self._groups.write(base, replace(group, recovery=counter))
        names = ",".join(sorted(lost))
        _REMOVED.emit(members=names, recovery=counter, version=written.version)

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(self._period_s)
            await self.check()
