"""Membership: joins and leaves the group according to the announcements of the upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path

from ..interfaces import Admission, Groups, Ownership, Peers, Placement, Recorder
from ..interfaces.groups import GroupChange
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.clock import unix_ms
from ..kernel.errors import (
    FescuewardError,
    InvalidAnnouncementError,
    OutcomeUnknownError,
    OutdatedIncarnationError,
    PeerError,
    PlatformError,
    UnknownServiceError,
)
from ..kernel.settings import Settings
from ..messages import (
    AnnouncedState,
    Announcement,
    Group,
    GroupId,
    Member,
    MemberState,
    VersionedGroup,
)
from ..messages.peer import MemberEdit
from .departures import Departures
from .joins import JoinRecorder
from .keyspace.moves import with_raised_epochs
from .lasting_edits import edit_until_written
from .ring import fill_monitors

_ANNOUNCED = Event(2401, "upstream_announced", Level.INFO, "The upstream announced a new state.")
_JOINED = Event(2403, "group_joined", Level.INFO, "This agent is a member of its group.")
_JOIN_FAILED = Event(
    2404, "join_failed", Level.WARNING, "Joining the group failed; it is retried."
)
_REMOVED = Event(
    2405,
    "member_removed",
    Level.WARNING,
    "Another agent removed this member; it joins with a new id.",
)
_LEAVING = Event(2406, "leaving", Level.INFO, "This agent drains its shards and leaves.")
_LEFT = Event(2407, "left", Level.INFO, "This agent has left its group.")
_LEAVE_FAILED = Event(2408, "leave_failed", Level.WARNING, "Leaving failed; it is retried.")

_RESTARTED = Event(
    2409, "upstream_restarted", Level.INFO, "The upstream restarted and holds no keys."
)

_WRITE_RETRY_S = 0.2
_DRAIN_CHECK_PERIOD_S = 0.5
# Longest wait for the platform while leaving, unless the process is stopped earlier; the lease of
# a stopped agent expires without a write.
LEAVE_TIMEOUT_S = 30.0
# A leaving upstream is still sent new work for this long, because the leave reaches other agents
# with a delay.
LEAVING_GRACE_S = 1.0


class GroupMembership:
    """The `membership` service.

    Args:
        kernel: Kernel that owns the tasks.
        incarnation: Incarnation of the first member id.
        boot_id: Identifies the boot of the machine; read from procfs if empty.
        next_incarnation: Returns a number for the next incarnation, by default the time in
            milliseconds.
        stop_timeout_s: Longest time that a stopping process spends on leaving, in seconds.
        leaving_grace_s: How long a leaving upstream is still sent new work, in seconds.
    """

    name = "membership"
    requires = ("platform", "catalogue", "groups", "peers", "placement")

    def __init__(
        self,
        kernel: Kernel,
        incarnation: int,
        boot_id: str = "",
        next_incarnation: Callable[[], int] = unix_ms,
        stop_timeout_s: float = LEAVE_TIMEOUT_S,
        leaving_grace_s: float = LEAVING_GRACE_S,
    ) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._join_recorder = JoinRecorder(self._tasks)
        self._departures = Departures(self._tasks)
        self._incarnation = incarnation
        self._next_incarnation = next_incarnation
        self._boot_id = boot_id or Path("/proc/sys/kernel/random/boot_id").read_text().strip()
        self._stop_timeout_s = stop_timeout_s
        self._leaving_grace_s = leaving_grace_s
        self._own_group_id: GroupId | None = None
        self._announcement: Announcement | None = None
        self._announcement_count = 0
        self._announcement_count_at_leave = 0
        self._leaving = False
        self._leaving_since = 0.0
        self._stopped_acknowledging = False
        self._leave_ended = False
        self._stopping = False
        # Whether the leave began before the process was stopped, because the upstream leaves.
        self._leave_began_before_stop = False
        self._leave_done = asyncio.Event()
        self._joined = False
        self._recording_restart = False
        self._wake = asyncio.Event()
        # Whether this agent writes its next join itself, because its last request failed.
        self._write_directly = False

    @property
    def member_id(self) -> str:
        """Member id of this agent, `NAME:INCARNATION`."""
        return f"{self._settings.agent.name}:{self._incarnation}"

    @property
    def own_group_id(self) -> GroupId | None:
        """Id of the agent's group, or None before the first announcement of its upstream."""
        return self._own_group_id

    @property
    def announcement(self) -> Announcement | None:
        """Last announcement of the upstream, or None before the first one."""
        return self._announcement

    @property
    def leaving(self) -> bool:
        """Whether the upstream or the agent leaves, so that no new work is admitted."""
        return self._leaving

    @property
    def closed(self) -> bool:
        """Whether the upstream is sent no more requests, because it leaves or has stopped."""
        if not self._leaving:
            return not self._departures_known
        if (
            self._stopping
            and not self._stopped_acknowledging
            and not self._leave_began_before_stop
        ):
            # The upstream keeps running, and the leave reaches other agents only through the
            # platform, which may be unavailable.
            return self._clock.now() - self._leaving_since > self._stop_timeout_s
        return self._clock.now() - self._leaving_since > self._leaving_grace_s

    @property
    def _departures_known(self) -> bool:
        """Whether this process can know of a departure that an earlier one has acknowledged."""
        return self._own_group_id is None or self._groups.view(self._own_group_id) is not None

    @property
    def stopped_acknowledging(self) -> bool:
        """Whether this agent has stopped acknowledging renewals, because it leaves the group."""
        return self._stopped_acknowledging

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._settings = registry.find("settings", Settings)
        self._groups = registry.find("groups", Groups)
        self._peers = registry.find("peers", Peers)
        self._placement = registry.find("placement", Placement)
        self._ownership = registry.find("ownership", Ownership)
        self._admission = registry.find("admission", Admission)
        self._recorder = registry.find("recorder", Recorder)
        self._groups.subscribe(self)
        self._join_recorder.bind(registry)
        self._departures.bind(registry)

    async def start(self) -> None:
        """Starts the task that joins the group after the first announcement."""
        self._tasks.spawn("join", self._run_join())

    async def drain(self) -> None:
        """Leaves the group, or waits for a leave that is already in progress."""
        self._stopping = True
        self._leave_began_before_stop = self._leaving
        if not self._leaving:
            await self.leave("agent stops")
        elif not self._leave_ended:
            with suppress(TimeoutError):
                async with asyncio.timeout(self._stop_timeout_s):
                    await self._leave_done.wait()

    async def stop(self) -> None:
        """Cancels all tasks."""
        await self._tasks.cancel()

    def own_member(self) -> Member | None:
        """Returns the member record of this agent, or None if it is not in the known group."""
        view = self._groups.view(self._own_group_id) if self._own_group_id is not None else None
        return view.group.members.get(self.member_id) if view is not None else None

    def group_changed(self, group: VersionedGroup) -> None:
        """Applies the departure of the upstream and the removal of this member by others."""
        if group.group.id != self._own_group_id:
            return
        announcement = self._announcement
        if announcement is not None and self._departures.contains(announcement):
            self._announce_leave(announcement)
        if not self._joined:
            return
        if self.member_id not in group.group.members and not self._stopped_acknowledging:
            _REMOVED.emit(member=self.member_id, group=self._own_group_id, version=group.version)
            self._joined = False
            self._start_incarnation()
        elif self._lacks_upstream_start(group.group):
            # A restored store has lost the write that recorded the present start.
            self._record_upstream_restart()
        self._wake.set()

    def fill_monitors(self, group: Group) -> Group:
        """Returns the group with monitors added for members that have fewer than two."""
        return fill_monitors(group)

    def announce(self, announcement: Announcement) -> None:
        """Applies an announcement of the upstream.

        Raises:
            InvalidAnnouncementError: The announcement names another service or group than the
                first one.
        """
        group_id = GroupId(announcement.service, announcement.group)
        if self._own_group_id is not None and group_id != self._own_group_id:
            raise InvalidAnnouncementError(
                f"the upstream announced {group_id}; this agent belongs to {self._own_group_id}"
            )
        if announcement.state is AnnouncedState.LEAVING:
            self._add_departure(announcement)
        elif self._departures.contains(announcement):
            announcement = replace(announcement, state=AnnouncedState.LEAVING)
        if self._announcement != announcement:
            _ANNOUNCED.emit(group=group_id, state=announcement.state, slots=announcement.slots)
        previous = self._announcement
        restarted = previous is not None and previous.start != announcement.start
        self._own_group_id = group_id
        self._announcement = announcement
        if restarted and self._joined:
            self._record_upstream_restart()
        self._announcement_count += 1
        self._admission.observe_announcement(announcement)
        if announcement.state is AnnouncedState.LEAVING and not self._leaving:
            self._tasks.spawn("leave", self.leave("upstream leaves"))
        self._wake.set()

    def upstream_leaves(self, start: str) -> None:
        """Takes a start of the upstream as leaving; see `DepartureRecord`."""
        announcement = self._announcement
        if announcement is not None and announcement.start == start:
            self._announce_leave(announcement)

    def instance_leaves(self, group_id: GroupId, instance: str) -> None:
        """Takes an instance of the upstream as leaving; see `DepartureRecord`."""
        announcement = self._announcement
        if announcement is not None and announcement.instance == instance:
            self._announce_leave(announcement)
        else:
            self._departures.add(group_id, instance, unix_ms())

    async def departure_recorded(self, instance: str) -> bool:
        """Waits until a departure is recorded; see `DepartureRecord`."""
        return await self._departures.wait_until_recorded(instance)

    def _announce_leave(self, announcement: Announcement) -> None:
        if announcement.state is not AnnouncedState.LEAVING:
            self.announce(replace(announcement, state=AnnouncedState.LEAVING))

    def _add_departure(self, announcement: Announcement) -> None:
        if announcement.instance:
            group_id = GroupId(announcement.service, announcement.group)
            self._departures.add(
                group_id, announcement.instance, announcement.started_ms, leaves=True
            )

    async def leave(self, reason: str) -> None:
        """Hands over all shards, waits for requests in flight and leaves the group."""
        if self._leaving:
            return
        self._leaving = True
        self._leaving_since = self._clock.now()
        self._announcement_count_at_leave = self._announcement_count
        if self.own_member() is None:
            self._leave_ended = True
            return
        _LEAVING.emit(member=self.member_id, reason=reason)
        self._leave_ended = False
        self._leave_done.clear()
        try:
            timeout_s = self._stop_timeout_s if self._stopping else LEAVE_TIMEOUT_S
            async with asyncio.timeout(timeout_s):
                await self._leave_group()
        except TimeoutError:
            _LEAVE_FAILED.emit(member=self.member_id, error="timeout")
        self._leave_ended = True
        self._leave_done.set()
        self._wake.set()

    async def _leave_group(self) -> None:
        announcement = self._announcement
        if announcement is not None and announcement.state is AnnouncedState.LEAVING:
            # The write that records the departure also marks the member as leaving.
            await self._departures.wait_until_recorded(announcement.instance)
        else:
            await self._recorder.record(MemberEdit(self.member_id, leaves=True))
        await self._hand_over_all_shards()
        # No renewal may be acknowledged once the write that ends the monitor's role is in flight.
        self._stopped_acknowledging = True
        if not await self._recorder.record(MemberEdit(self.member_id, removed=True)):
            await self._edit_until_done(self._remove_own_member)
        _LEFT.emit(member=self.member_id)

    async def _hand_over_all_shards(self) -> None:
        # Shards whose handover to this agent began before the leave arrive during it, and are
        # handed over in the next pass.
        while True:
            await self._edit_until_done(self._drain_own_member)
            with suppress(TimeoutError):
                async with asyncio.timeout(_DRAIN_CHECK_PERIOD_S):
                    await self._ownership.wait_until_drained()
                return

    async def _edit_until_done(self, change: GroupChange) -> None:
        assert self._own_group_id is not None
        await edit_until_written(
            self._groups,
            self._clock,
            self._own_group_id,
            change,
            _LEAVE_FAILED,
            member=self.member_id,
        )

    def _record_upstream_restart(self) -> None:
        if not self._recording_restart:
            self._recording_restart = True
            self._tasks.spawn("restarted", self._edit_until_restart_recorded())

    async def _edit_until_restart_recorded(self) -> None:
        recorded = False
        try:
            while not recorded:
                await self._edit_until_done(self._apply_upstream_restart)
                view = self._groups.view(self._own_group_id) if self._own_group_id else None
                recorded = view is None or not self._lacks_upstream_start(view.group)
        finally:
            self._recording_restart = False

    def _lacks_upstream_start(self, group: Group) -> bool:
        member = group.members.get(self.member_id)
        announcement = self._announcement
        return (
            member is not None
            and announcement is not None
            and member.instance != announcement.start
        )

    def _apply_upstream_restart(self, group: Group) -> Group | None:
        if not self._lacks_upstream_start(group):
            return None
        member, announcement = group.members[self.member_id], self._announcement
        assert announcement is not None
        _RESTARTED.emit(member=self.member_id, before=member.instance, now=announcement.start)
        restarted = replace(member, instance=announcement.start, slots=announcement.slots)
        return with_raised_epochs(group.with_member(restarted), member.id)

    def _drain_own_member(self, group: Group) -> Group | None:
        member = group.members.get(self.member_id)
        if member is None:
            return None
        drained = self._placement.drain_member(group, self.member_id)
        return None if drained == group else drained

    def _remove_own_member(self, group: Group) -> Group | None:
        if self.member_id not in group.members:
            return None
        removed_ids = frozenset({self.member_id})
        return self.fill_monitors(self._placement.assign(group, removed_ids))

    def _start_incarnation(self, above: int = 0) -> None:
        newest = max(self._incarnation, above)
        self._incarnation = max(self._next_incarnation(), newest + 1)
        self._peers.set_incarnation(self._incarnation)

    async def _run_join(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            announcement = self._announcement
            if self._stopping or announcement is None:
                continue
            if announcement.state is not AnnouncedState.READY:
                continue
            if self._leave_ended:
                if self._announcement_count == self._announcement_count_at_leave:
                    # No announcement since the leave began: the upstream may have stopped.
                    continue
                self._leave_ended = self._leaving = False
                if self._stopped_acknowledging:
                    self._start_incarnation()
                    self._stopped_acknowledging = self._joined = False
            if self._joined and not self._leaving:
                await self._cancel_unfinished_leave()
            if self._joined or self._leaving:
                continue
            await self._join(announcement)

    async def _cancel_unfinished_leave(self) -> None:
        """Cancels a leave that began and could not be completed."""
        member = self.own_member()
        if member is not None and member.state is MemberState.LEAVING:
            await self._edit_until_done(self._mark_active)

    def _mark_active(self, group: Group) -> Group | None:
        member = group.members.get(self.member_id)
        if member is None or member.state is not MemberState.LEAVING:
            return None
        return group.with_member(replace(member, state=MemberState.ACTIVE))

    async def _join(self, announcement: Announcement) -> None:
        assert self._own_group_id is not None
        member = self._make_member(announcement)
        try:
            joined = await self._join_recorder.record(
                self._own_group_id, member, write_directly=self._write_directly
            )
        except OutdatedIncarnationError as error:
            _JOIN_FAILED.emit(group=self._own_group_id, error=error)
            self._start_incarnation(error.newest)
            self._wake.set()
            return
        except (PlatformError, PeerError, UnknownServiceError) as error:
            _JOIN_FAILED.emit(group=self._own_group_id, error=error)
            if isinstance(error, OutcomeUnknownError | PeerError):
                # The member may be in the group and may be removed before the next attempt. Its
                # id must not be used again, because the epochs of both members would look like
                # those of one owner.
                self._start_incarnation()
            self._write_directly = isinstance(error, PeerError)
            if not self._write_directly:
                await self._clock.sleep(_WRITE_RETRY_S)
            self._wake.set()
            return
        except FescuewardError as error:
            _JOIN_FAILED.emit(group=self._own_group_id, error=error)
            return
        view = self._groups.view(self._own_group_id)
        if view is not None and view.version > joined.version and self.own_member() is None:
            # The member was removed, or a restored store has lost it, before the join returned.
            self._start_incarnation()
            self._wake.set()
            return
        self._joined, self._write_directly = True, False
        _JOINED.emit(group=self._own_group_id, member=member.id, version=joined.version)
        if self._leaving:
            # The leave ended while this join was in flight, so it found no member to remove.
            await self._leave_group()

    def _make_member(self, announcement: Announcement) -> Member:
        agent, peers, callers = (
            self._settings.agent,
            self._settings.peers,
            self._settings.callers,
        )
        return Member(
            id=self.member_id,
            name=agent.name,
            incarnation=self._incarnation,
            boot_id=self._boot_id,
            peer_host=peers.advertised_host or peers.host,
            peer_port=peers.advertised_port or peers.port,
            caller_host=callers.host,
            caller_port=callers.port,
            failure_domain=agent.failure_domain,
            slots=announcement.slots,
            connections=announcement.connections,
            checks_grants=announcement.checks_grants,
            instance=announcement.start,
            records_edits=True,
        )
