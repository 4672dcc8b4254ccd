"""Removal of members that the operator states are lost (`recovery` of the entry)."""

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
    2611,
    "members_recovered",
    Level.WARNING,
    "Members that the entry states are lost were removed.",
)
# A changed entry takes effect on all agents within 5 s; the rest is for the write of the stamp.
_ENTRY_PROPAGATION_S = 6.0

_FAILED = Event(
    2612, "recovery_failed", Level.INFO, "Removing members that the entry states are lost failed."
)


class MemberRecovery:
    """The `recovery` service.

    Members whose monitors are lost with them cannot be taken over, because a takeover needs the
    promises of the monitors. The operator's statement replaces the promises of the monitors that
    do not respond; those that respond must still promise. Every member that receives the
    statement writes its stamp once. Without these writes, an agent that is cut off from the
    others but not from the platform would remove all of them, because renewals that monitors
    acknowledge leave no trace in the group object.
    """

    name = "recovery"
    requires = ("catalogue", "groups", "peers", "membership", "placement", "lease", "monitor")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._counter = 0
        self._counter_received_at = 0.0
        self._stamped_counter = 0
        self._stamps: dict[str, tuple[int, float]] = {}
        self._responded_at: dict[str, float] = {}

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
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
        self._response_wait_s = max(lease_s, _ENTRY_PROPAGATION_S)
        self._check_period_s = section.renewal_ms / 1000
        self._groups.subscribe(self)

    async def start(self) -> None:
        """Starts the periodic check of the counter in the entry."""
        self._tasks.spawn("check", self._run())

    async def stop(self) -> None:
        """Cancels the periodic check."""
        await self._tasks.cancel()

    def group_changed(self, group: VersionedGroup) -> None:
        """Records when the stamp of each member last changed."""
        if group.group.id != self._membership.own_group_id:
            return
        now = self._clock.now()
        previous = self._stamps
        self._stamps = {}
        for member in group.group.members.values():
            stamp, changed_at = previous.get(member.id, (member.stamp, now))
            self._stamps[member.id] = (member.stamp, changed_at if stamp == member.stamp else now)

    async def check(self) -> bool:
        """Removes the members that do not respond, if the entry has a new statement.

        Returns:
            Whether the counter of the statement was written to the group.
        """
        counter = self._new_counter()
        if counter is None:
            return False
        now = self._clock.now()
        if counter != self._counter:
            self._counter, self._counter_received_at = counter, now
        own_group_id = self._membership.own_group_id
        view = self._groups.view(own_group_id) if own_group_id is not None else None
        if view is None:
            return False
        others = [
            member
            for member in view.group.members.values()
            if member.id != self._membership.member_id
        ]
        try:
            if self._stamped_counter != counter and await self._lease.write_stamp():
                self._stamped_counter = counter
            await asyncio.gather(*(self._probe(member, view) for member in others))
            if self._counter_received_at + self._response_wait_s > self._clock.now():
                return False
            base = await self._groups.refresh(view.group.id)
            return await self._remove(base, counter)
        except PlatformError as error:
            _FAILED.emit(group=own_group_id, error=error)
            return False

    def _new_counter(self) -> int | None:
        """Returns the counter of the entry if it exceeds that of the group and a lease is held."""
        own_group_id = self._membership.own_group_id
        view = self._groups.view(own_group_id) if own_group_id is not None else None
        if view is None or not self._lease.held:
            return None
        try:
            counter = self._catalogue.entry(view.group.service).entry.recovery
        except UnknownServiceError:
            return None
        return counter if counter > view.group.recovery else None

    async def _probe(self, member: Member, view: VersionedGroup) -> None:
        # A promise query for the member itself is never granted; any reply shows that it runs.
        call = self._peers.next_call()
        group = view.group
        query = PromiseQuery(call, group.service, group.number, member.id, view.version)
        try:
            await self._peers.call(member, query, call)
        except PeerError:
            return
        self._responded_at[member.id] = self._clock.now()

    def _is_lost(self, member_id: str) -> bool:
        _, stamp_changed_at = self._stamps.get(member_id, (0, self._clock.now()))
        return (
            max(stamp_changed_at, self._responded_at.get(member_id, 0.0))
            <= self._counter_received_at
        )

    async def _remove(self, base: VersionedGroup, counter: int) -> bool:
        own_id = self._membership.member_id
        unresponsive_ids = [
            other_id
            for other_id in base.group.members
            if other_id != own_id and self._is_lost(other_id)
        ]
        promises = PromiseRound(self._groups, self._peers, base, own_id)
        promised_ids = await promises.request(unresponsive_ids, frozenset(unresponsive_ids))
        call = self._peers.next_call()
        removed_ids = frozenset(
            other_id
            for other_id in promised_ids
            if own_id not in base.group.members[other_id].monitors
            or self._monitor.promise(other_id, base.version, own_id, call)
        )
        # Members whose running monitors refuse are left for the next check.
        complete = len(removed_ids) == len(unresponsive_ids)
        kept_ids: frozenset[str] = frozenset()
        view = self._groups.view(base.group.id)
        if view is not None and view.version == base.version and (removed_ids or complete):
            try:
                kept_ids = removed_ids
                await self._write(base, removed_ids, counter if complete else base.group.recovery)
            except OutcomeUnknownError:
                raise
            except PlatformError:
                kept_ids = frozenset()
                raise
            finally:
                self._withdraw_promises(promises, removed_ids, kept_ids, call)
            return complete
        self._withdraw_promises(promises, removed_ids, kept_ids, call)
        return False

    def _withdraw_promises(
        self,
        promises: PromiseRound,
        removed_ids: frozenset[str],
        kept_ids: frozenset[str],
        call: int,
    ) -> None:
        promises.release(kept_ids)
        for member_id in removed_ids - kept_ids:
            self._monitor.withdraw_promise(member_id, self._membership.member_id, call)

    async def _write(
        self, base: VersionedGroup, removed_ids: frozenset[str], counter: int
    ) -> None:
        group = base.group
        if removed_ids:
            group = self._membership.fill_monitors(self._placement.assign(group, removed_ids))
        written = await self._groups.write(base, replace(group, recovery=counter))
        names = ",".join(sorted(removed_ids))
        _REMOVED.emit(members=names, recovery=counter, version=written.version)

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(self._check_period_s)
            await self.check()
