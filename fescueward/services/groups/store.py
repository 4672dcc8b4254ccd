"""Group objects: cached versions, reads, conditional writes and propagation."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Mapping
from dataclasses import replace

from ...interfaces import Catalogue, GroupListener, Membership, Peers, Platform, Routes
from ...interfaces.groups import GroupChange
from ...kernel import Clock, Event, Kernel, Level, Registry
from ...kernel.errors import (
    MalformedMessageError,
    ObjectNotFoundError,
    OutcomeUnknownError,
    PlatformAnswerError,
    PlatformError,
    UnwritableGroupError,
    VersionConflictError,
)
from ...kernel.settings import Settings
from ...messages import (
    Group,
    GroupId,
    Member,
    VersionedGroup,
)
from ...messages.era import era_of, lowest_epoch
from ...messages.group_object import check_group, decode_group, encode_group
from ...messages.peer import Fetch, Publish, Versions, WatchStatus
from ..evacuation import find_evacuations
from .confirmation import GroupConfirmation
from .edits import GroupEdits
from .exchange import ObjectExchange
from .fleet_watch import FleetWatch, WatchedObjects
from .group_watch import GroupWatch
from .relay import GroupRelay, build_publish, sendable
from .stored_objects import MalformedObjects, StoredObjects
from .watch_duty import WatchDuty
from .watched_objects import ConfigurationObject, EvacuationObjects, GroupObjects

_GROUP_CHANGED = Event(
    2201,
    "group_changed",
    Level.INFO,
    "A newer version of a group was cached.",
    # A fleet writes dozens of versions per second while it starts.
    frequent=True,
)


class GroupStore:
    """The `groups` service.

    Two members of each group watch the platform and publish new versions to the other members.
    Renewals and their acknowledgements carry versions, so a member that missed one fetches it.

    With `fleet_wide`, every agent caches all groups, the configuration and the evacuations. Two
    members of the whole fleet watch the platform, publish to all members and send their versions
    every second.
    """

    name = "groups"
    requires = ("platform", "catalogue", "peers")

    def __init__(self, kernel: Kernel, fleet_wide: bool = False) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._fleet_wide = fleet_wide
        self._routes: Routes | None = None
        self._views: dict[GroupId, VersionedGroup] = {}
        self._listeners: list[GroupListener] = []
        self._waiters: dict[GroupId, asyncio.Event] = {}
        self._update_tasks: dict[GroupId, asyncio.Task[None]] = {}
        self._malformed = MalformedObjects()
        # Members of all groups by id; None until they are needed after a change.
        self._fleet: dict[str, Member] | None = None

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses and registers the message handlers."""
        self._clock = registry.find("clock", Clock)
        self._edits = GroupEdits(self, self._tasks, self._clock)
        self._platform = registry.find("platform", Platform)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        self._evacuations = find_evacuations(registry)
        if self._fleet_wide:
            self._routes = registry.find("routes", Routes)
        settings = registry.find("settings", Settings)
        self._watch_wait_s = settings.platform.watch_ms / 1000
        self._duty = WatchDuty(
            self._clock,
            self._peers,
            self._membership,
            self._own_view,
            self._fleet_members if self._fleet_wide else None,
            self.versions,
        )
        self._confirmation = GroupConfirmation(
            self,
            self._platform,
            self._peers,
            self._tasks,
            self._clock,
            lambda: self._membership.member_id,
            self._confirmation_rank,
        )
        self._relay = GroupRelay(
            self._tasks,
            self._clock,
            self._peers,
            self._other_members,
            settings.agent.failure_domain,
        )
        self._exchange = ObjectExchange(
            self,
            self._catalogue,
            self._membership,
            self._peers,
            self._clock,
            self._tasks,
            self._confirmation,
            self._relay,
            self._routes,
            self._evacuations,
            self._platform,
        )
        self._objects = StoredObjects(
            self,
            self._catalogue,
            self._membership,
            self._exchange,
            self._relay,
            self._duty,
            self._malformed,
            self._routes,
        )
        self._group_objects = GroupObjects(
            self._membership, self._objects.observe, self._confirmation, self.views
        )
        self._peers.on(WatchStatus, self._on_watch_status)

    async def start(self) -> None:
        """Starts the tasks that watch the platform and send the watch status."""
        self._duty.expect_statuses()
        if self._fleet_wide:
            watched: list[WatchedObjects] = [
                ConfigurationObject(self._membership, self._objects.observe),
                self._group_objects,
            ]
            # A fleet without the service knows its evacuations, which are none, from the start.
            if not self._evacuations.known:
                watched.append(
                    EvacuationObjects(self._membership, self._evacuations, self._relay, self._duty)
                )
            for objects in watched:
                watch = FleetWatch(
                    objects, self._duty, self._platform, self._clock, self._watch_wait_s
                )
                self._tasks.spawn(f"watch {objects.prefix}", watch.run())
        else:
            group_watch = GroupWatch(
                self._duty,
                self._membership,
                self._platform,
                self._clock,
                self._watch_wait_s,
                self._objects.observe,
                self._catalogue.mark_loaded,
            )
            self._tasks.spawn("watch", group_watch.run())
        self._tasks.spawn("watch-status", self._duty.run_statuses())

    async def stop(self) -> None:
        """Cancels the tasks of the service."""
        await self._tasks.cancel()

    @property
    def watching(self) -> bool:
        """Whether this agent is a watcher and its last watch call succeeded."""
        return self._duty.watching

    @property
    def complete(self) -> bool:
        """Whether all groups and evacuations have been read or received from a member once.

        Always False without `fleet_wide`.
        """
        return self._group_objects.loaded and self._evacuations.known

    @property
    def receives_versions(self) -> bool:
        """Whether the watchers send newer versions to this agent, which they do to members."""
        return self._membership.own_member() is not None

    def mark_loaded(self) -> None:
        """Records that all groups were received from a member."""
        self._group_objects.mark_loaded()

    def views(self) -> tuple[VersionedGroup, ...]:
        """Returns the cached version of each group that was read or received."""
        return tuple(self._views.values())

    def view(self, group: GroupId) -> VersionedGroup | None:
        """Returns the cached version of a group, or None if none was received yet."""
        return self._views.get(group)

    async def load(self, group: GroupId) -> VersionedGroup:
        """Returns the cached version, or reads the group if none is cached; see `Groups.load`."""
        cached = self._views.get(group)
        return cached if cached is not None else await self.refresh(group)

    async def refresh(self, group: GroupId) -> VersionedGroup:
        """Reads the group from the platform and caches it; see `Groups.refresh`."""
        try:
            stored_group = await self.read(group)
        except ObjectNotFoundError:
            if not self._is_lost(group, self._platform.era):
                raise
            return await self._confirmation.confirm(group)
        if not stored_group.confirmed:
            return await self._confirmation.confirm(group)
        self.observe(stored_group)
        cached = self._views[group]
        return cached if cached.version >= stored_group.version else stored_group

    async def read(self, group: GroupId) -> VersionedGroup:
        """Reads the group from the platform, confirmed or not, and does not cache it.

        Raises:
            ObjectNotFoundError: The group does not exist.
            PlatformUnavailableError: The platform did not respond.
            PlatformAnswerError: The object is malformed.
        """
        stored = await self._platform.get(group.object_key)
        try:
            return VersionedGroup(stored.version, decode_group(stored.key, stored.value))
        except MalformedMessageError as error:
            self._malformed.report(stored.key, stored.version, error)
            raise PlatformAnswerError(f"{stored.key!r} is malformed: {error}") from error

    def _is_lost(self, group: GroupId, era: int) -> bool:
        """Whether a group that a store of some era lacks is known from an earlier one."""
        cached = self._views.get(group)
        return cached is not None and era_of(cached.version) < era

    def _confirmation_rank(self) -> int | None:
        return self._duty.rank if self._membership.own_member() is not None else None

    async def update(self, group: GroupId) -> None:
        """Requests a newer version of a group; concurrent calls share one attempt."""
        task = self._update_tasks.get(group)
        if task is None:
            task = self._tasks.spawn(f"update {group}", self._update_once(group))
            self._update_tasks[group] = task
            task.add_done_callback(lambda _: self._update_tasks.pop(group, None))
        await asyncio.shield(task)

    async def write(self, base: VersionedGroup, group: Group) -> VersionedGroup:
        """Writes a group on condition that its version is that of `base`; see `Groups.write`."""
        era = era_of(base.version) if base.version else self._platform.era
        group = replace(group, edit_id=uuid.uuid4().hex, era=era, written_on=base.version)
        try:
            value = encode_group(group)
        except MalformedMessageError as error:
            raise UnwritableGroupError(f"group {group.id} is not written: {error}") from error
        try:
            version = await self._platform.put(group.id.object_key, value, base.version)
        except VersionConflictError as error:
            self._observe_conflicting(group.id.object_key, error)
            raise
        written = VersionedGroup(version, group)
        if not written.confirmed:
            self._confirmation.begin(group.id)
            raise OutcomeUnknownError(f"group {group.id} was created in a later era")
        self.observe(written)
        if self._fleet_wide:
            self._publish_to_watchers(base, written)
        else:
            self.publish_to_members(written, build_publish(base, written))
        return written

    def _observe_conflicting(self, key: str, error: VersionConflictError) -> None:
        """Caches the version that the platform returned for a refused write, if it did."""
        if not error.value:
            return
        try:
            group = decode_group(key, error.value)
        except MalformedMessageError as malformed:
            self._malformed.report(key, error.version, malformed)
            return
        current = VersionedGroup(error.version, group)
        if current.confirmed:
            self.observe(current)
        else:
            self._confirmation.begin(group.id)

    async def edit(
        self, group: GroupId, change: GroupChange, member_count: int = 1
    ) -> VersionedGroup:
        """Applies an edit with read, change and conditional write; see `Groups.edit`."""
        return await self._edits.edit(group, change, member_count)

    def observe(self, group: VersionedGroup) -> bool:
        """Caches a confirmed version if it is newer; returns whether it was cached.

        A version that is inconsistent is not cached, whoever sent it.
        """
        group_id = group.group.id
        cached = self._views.get(group_id)
        if not group.confirmed or (cached is not None and cached.version >= group.version):
            return False
        try:
            check_group(group.group)
        except MalformedMessageError as error:
            self._malformed.report(group_id.object_key, group.version, error)
            return False
        self._exchange.remember_versions()
        self._views[group_id] = group
        self._exchange.record_group(group)
        self._fleet = None
        own_id = self._membership.member_id
        if own_id in group.group.members and (
            cached is None or own_id not in cached.group.members
        ):
            # Watchers send their status to members only, so this agent could not get one before.
            self._duty.expect_statuses()
        _GROUP_CHANGED.emit(
            group=group_id, version=group.version, members=len(group.group.members)
        )
        for listener in self._listeners:
            listener.group_changed(group)
        if self._fleet_wide and self._duty.is_first_watcher():
            self._relay.publish_to_fleet(cached, group)
        waiter = self._waiters.pop(group_id, None)
        if waiter is not None:
            waiter.set()
        return True

    def publish_to_members(self, group: VersionedGroup, message: Publish) -> None:
        """Sends newer objects to the other members of a group."""
        message = sendable(message)
        for member in group.group.members.values():
            if member.id != self._membership.member_id:
                self._peers.send(member, message)

    def subscribe(self, listener: GroupListener) -> None:
        """Registers a listener that is called for each newer version from now on."""
        self._listeners.append(listener)

    async def wait_until_newer(self, group: GroupId, version: int, timeout_s: float) -> bool:
        """Waits for a version above `version`; see `Groups.wait_until_newer`."""
        cached = self._views.get(group)
        if cached is not None and cached.version > version:
            return True
        waiter = self._waiters.setdefault(group, asyncio.Event())
        try:
            async with asyncio.timeout(max(timeout_s, 0)):
                await waiter.wait()
        except TimeoutError:
            return False
        return True

    def versions(self) -> Versions:
        """Returns the versions of this agent, for renewals and their acknowledgements."""
        return self._exchange.versions()

    def fetch_newer(self, member: Member, member_versions: Versions) -> None:
        """Fetches objects from a member that has reported newer versions."""
        self._exchange.fetch_newer(member, member_versions)

    async def read_or_empty(self, group: GroupId) -> VersionedGroup:
        """Reads a group from the platform; an absent group is returned empty at version 0.

        Raises:
            UnknownServiceError: The group is absent and its service has no catalogue entry.
            PlatformError: The platform could not be read.
        """
        try:
            return await self.refresh(group)
        except ObjectNotFoundError:
            shard_count = self._catalogue.entry(group.service).entry.shard_count
            era = self._platform.era
            fence = lowest_epoch(era)
            # A store that was restored may have lost the group, and with it grants.
            empty = Group(
                group.service, group.number, shard_count, fence=fence, era=era, recovering=fence
            )
            return VersionedGroup(0, empty)

    async def _update_once(self, group: GroupId) -> None:
        cached = self._views.get(group)
        if cached is not None:
            members = list(cached.group.members.values())
            random.shuffle(members)
            request = Fetch(group.service, group.number, cached.version)
            sent_count = 0
            for member in members:
                sent_count += self._peers.send(member, request)
                if sent_count == 2:
                    break
            if sent_count and await self.wait_until_newer(group, cached.version, 0.1):
                return
        try:
            await self.refresh(group)
        except PlatformError:
            return

    def _publish_to_watchers(self, base: VersionedGroup, written: VersionedGroup) -> None:
        if self._duty.is_first_watcher():
            return
        own_id = self._membership.member_id
        others = [member for member in self._duty.watchers() if member.id != own_id]
        self._relay.publish_to_watchers(others, base, written)

    def _own_view(self) -> VersionedGroup | None:
        own_group_id = self._membership.own_group_id
        return self._views.get(own_group_id) if own_group_id is not None else None

    def _fleet_members(self) -> Mapping[str, Member]:
        if self._fleet is None:
            self._fleet = {}
            for view in self._views.values():
                self._fleet.update(view.group.members)
        return self._fleet

    def _other_members(self) -> dict[str, Member]:
        own_id = self._membership.member_id
        fleet = self._fleet_members()
        return {member_id: member for member_id, member in fleet.items() if member_id != own_id}

    def _on_watch_status(self, sender: str, message: WatchStatus) -> None:
        if message.member_id != sender:
            # The watcher has an earlier incarnation of this agent and connected by its address.
            if self._fleet_wide and message.versions != self.versions():
                self._peers.reply(sender, Fetch(objects=self._exchange.object_versions()))
            return
        self._duty.record_status(message)
        if message.healthy:
            watcher = self._fleet_members().get(sender) if self._fleet_wide else None
            if watcher is not None:
                self.fetch_newer(watcher, message.versions)
