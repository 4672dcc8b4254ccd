"""Group objects: cached versions, conditional edits, propagation and the platform watch."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections import deque
from collections.abc import Mapping
from dataclasses import replace

from cachetools import LRUCache

from ...interfaces import Catalogue, GroupListener, Membership, Peers, Platform, Routes
from ...interfaces.groups import GroupChange
from ...interfaces.platform import Changes, StoredObject
from ...kernel import Clock, Event, Kernel, Level, Registry
from ...kernel.errors import (
    MalformedMessageError,
    ObjectNotFoundError,
    OutcomeUnknownError,
    PlatformAnswerError,
    PlatformError,
    PlatformUnavailableError,
    VersionConflictError,
)
from ...kernel.retries import ReadingRetries, report_reading_failure
from ...kernel.settings import Settings
from ...messages import (
    Entry,
    Group,
    GroupId,
    Member,
    VersionedEntry,
    VersionedGroup,
)
from ...messages.codec import decode_json, encode_json
from ...messages.configuration import CONFIGURATION_KEY, Configuration, VersionedConfiguration
from ...messages.delta import ConfigurationDelta, GroupDelta
from ...messages.era import era_of, lowest_epoch
from ...messages.group import entry_object_key
from ...messages.group_object import check_group, decode_group
from ...messages.peer import Fetch, Publish, Versions, WatchStatus, version_digest
from .confirmation import GroupConfirmation
from .edits import GroupEdits
from .history import ConfigurationHistory, GroupHistory
from .relay import GroupRelay, build_configuration_publish, build_publish
from .watchers import WATCHER_COUNT, WatcherRoster

_GROUP_CHANGED = Event(
    2201,
    "group_changed",
    Level.INFO,
    "A newer version of a group was cached.",
    # A fleet writes dozens of versions per second while it starts.
    frequent=True,
)
_WATCH_STARTED = Event(
    2202, "watch_started", Level.INFO, "This agent started to watch the platform."
)
_WATCH_ENDED = Event(
    2203, "watch_ended", Level.INFO, "This agent stopped its watch; other members watch."
)
_MALFORMED_OBJECT = Event(
    2204, "bad_object", Level.ERROR, "An object of the platform is malformed."
)
_WATCH_FAILED = Event(
    2205, "watch_failed", Level.WARNING, "Watch calls to the platform started to fail."
)

_WATCH_RESUMED = Event(2206, "watch_resumed", Level.INFO, "Watch calls succeed again.")

_WATCH_RETRY_S = 0.25
# Pauses between two watch calls. Changes come in bursts, and each response costs a platform call.
_WATCH_PAUSE_S = 0.05
# Writers publish groups to the watchers themselves, so the watch only finds what was lost.
_GROUPS_WATCH_PAUSE_S = 0.5
# Pause of an agent that has not joined: all agents may start at the same time and join one after
# the other.
_WATCH_START_PAUSE_S = 1.0
_WATCH_STATUS_PERIOD_S = 1.0
# A version that another member reports is usually already being published to this agent, so it is
# fetched only after this delay. The delay is short because a lost message must not hold up a
# configuration, which may take 2.5 s in total to propagate.
_FETCH_DELAY_S = 0.2
# Number of earlier states of this agent that are recognised. A member that reports one of them is
# behind and fetches the newer objects itself.
_RECENT_VERSIONS_LIMIT = 64
_MAX_REPORTED_OBJECTS = 1000
# Members to which an agent sends its status during a platform outage. More than the monitors of a
# member, so that a restarted agent gets a status even if several others are restarted with it.
_OUTAGE_STATUS_RECIPIENTS = 4


class GroupStore:
    """The `groups` service.

    Two members of each group watch the platform and publish new versions to the other members.
    Renewals and their acknowledgements carry versions, so a member that missed one fetches it.

    With `fleet_wide`, every agent caches all groups and the configuration. Two members of the
    whole fleet watch the platform, publish to all members and send their versions every second.
    """

    name = "groups"
    requires = ("platform", "catalogue", "peers")

    def __init__(self, kernel: Kernel, fleet_wide: bool = False) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._fleet_wide = fleet_wide
        self._routes: Routes | None = None
        self._views: dict[GroupId, VersionedGroup] = {}
        self._history = GroupHistory()
        self._configurations = ConfigurationHistory()
        self._listeners: list[GroupListener] = []
        self._waiters: dict[GroupId, asyncio.Event] = {}
        self._update_tasks: dict[GroupId, asyncio.Task[None]] = {}
        self._roster = WatcherRoster()
        self._watch_healthy = False
        self._loaded_prefixes: set[str] = set()
        # Keys and versions of malformed objects that have been logged.
        self._reported_objects: LRUCache[tuple[str, int], None] = LRUCache(_MAX_REPORTED_OBJECTS)
        # Earlier versions of this agent. A member that reports one of them is behind, not ahead.
        self._recent_versions: deque[Versions] = deque(maxlen=_RECENT_VERSIONS_LIMIT)
        self._fetch_task: asyncio.Task[None] | None = None
        # Members of all groups by id, and the versions with the version of the configuration that
        # they contain; None until they are needed after a change.
        self._fleet: dict[str, Member] | None = None
        self._fleet_versions: tuple[int, Versions] | None = None

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses and registers the message handlers."""
        self._clock = registry.find("clock", Clock)
        self._edits = GroupEdits(self, self._tasks, self._clock)
        self._platform = registry.find("platform", Platform)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        self._confirmation = GroupConfirmation(
            self,
            self._platform,
            self._peers,
            self._tasks,
            self._clock,
            lambda: self._membership.member_id,
            self._confirmation_rank,
        )
        if self._fleet_wide:
            self._routes = registry.find("routes", Routes)
        settings = registry.find("settings", Settings)
        self._relay = GroupRelay(
            self._tasks,
            self._clock,
            self._peers,
            self._other_members,
            settings.agent.failure_domain,
        )
        self._watch_wait_s = settings.platform.watch_ms / 1000
        self._peers.on(Publish, self._on_publish)
        self._peers.on(Fetch, self._on_fetch)
        self._peers.on(WatchStatus, self._on_watch_status)

    async def start(self) -> None:
        """Starts the tasks that watch the platform and send the watch status."""
        self._roster.expect_statuses(self._clock.now())
        if self._fleet_wide:
            for prefix in (CONFIGURATION_KEY, "groups/"):
                self._tasks.spawn(f"watch {prefix}", self._run_fleet_watch(prefix))
        else:
            self._tasks.spawn("watch", self._run_watch())
        self._tasks.spawn("watch-status", self._run_watch_status())

    async def stop(self) -> None:
        """Cancels the tasks of the service."""
        await self._tasks.cancel()

    @property
    def watching(self) -> bool:
        """Whether this agent is a watcher and its last watch call succeeded."""
        return self._watch_healthy and self._is_watcher()

    @property
    def complete(self) -> bool:
        """Whether all groups have been read from the platform or received from a member once.

        Always False without `fleet_wide`.
        """
        return "groups/" in self._loaded_prefixes

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
            self._report_malformed(stored.key, stored.version, error)
            raise PlatformAnswerError(f"{stored.key!r} is malformed: {error}") from error

    def _is_lost(self, group: GroupId, era: int) -> bool:
        """Whether a group that a store of some era lacks is known from an earlier one."""
        cached = self._views.get(group)
        return cached is not None and era_of(cached.version) < era

    def _confirmation_rank(self) -> int | None:
        if self._membership.own_member() is None:
            return None
        return self._count_preceding_watchers()

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
            version = await self._platform.put(
                group.id.object_key, encode_json(group), base.version
            )
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
            self._publish_to_members(written, build_publish(base, written))
        return written

    def _observe_conflicting(self, key: str, error: VersionConflictError) -> None:
        """Caches the version that the platform returned for a refused write, if it did."""
        if not error.value:
            return
        try:
            group = decode_group(key, error.value)
        except MalformedMessageError as malformed:
            self._report_malformed(key, error.version, malformed)
            return
        current = VersionedGroup(error.version, group)
        if current.confirmed:
            self.observe(current)
        else:
            self._confirmation.begin(group.id)

    def _report_malformed(self, key: str, version: int, error: MalformedMessageError) -> None:
        """Logs an object that cannot be used, once for each of its versions."""
        if (key, version) not in self._reported_objects:
            self._reported_objects[(key, version)] = None
            _MALFORMED_OBJECT.emit(key=key, version=version, error=error)

    async def edit(self, group: GroupId, change: GroupChange) -> VersionedGroup:
        """Applies an edit with read, change and conditional write; see `Groups.edit`."""
        return await self._edits.edit(group, change)

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
            self._report_malformed(group_id.object_key, group.version, error)
            return False
        if self._fleet_wide:
            self._recent_versions.append(self.versions())
        self._views[group_id] = group
        self._history.record(group)
        self._fleet = None
        self._fleet_versions = None
        own_id = self._membership.member_id
        if own_id in group.group.members and (
            cached is None or own_id not in cached.group.members
        ):
            # Watchers send their status to members only, so this agent could not get one before.
            self._roster.expect_statuses(self._clock.now())
        _GROUP_CHANGED.emit(
            group=group_id, version=group.version, members=len(group.group.members)
        )
        for listener in self._listeners:
            listener.group_changed(group)
        if self._fleet_wide and self._is_first_watcher():
            self._relay.publish_to_fleet(cached, group)
        waiter = self._waiters.pop(group_id, None)
        if waiter is not None:
            waiter.set()
        return True

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
        if self._fleet_wide:
            configuration_version = self._configuration_version
            if self._fleet_versions is None or self._fleet_versions[0] != configuration_version:
                versions = Versions(0, version_digest(self._object_versions()))
                self._fleet_versions = (configuration_version, versions)
            return self._fleet_versions[1]
        own_group_id = self._membership.own_group_id
        cached = self._views.get(own_group_id) if own_group_id is not None else None
        return Versions(cached.version if cached is not None else 0, self._catalogue.digest)

    def fetch_newer(self, member: Member, member_versions: Versions) -> None:
        """Fetches objects from a member that has reported newer versions.

        With `fleet_wide`, the fetch is delayed, and omitted if the versions arrive meanwhile.

        Args:
            member: A member of this agent's group, or of the fleet with `fleet_wide`.
            member_versions: The versions that the member has reported.
        """
        own_versions = self.versions()
        if self._fleet_wide:
            fetch_scheduled = self._fetch_task is not None and not self._fetch_task.done()
            if not fetch_scheduled and not self._is_known(member_versions):
                self._fetch_task = self._tasks.spawn(
                    "compare", self._fetch_unless_known(member, member_versions)
                )
            return
        own_group_id = self._membership.own_group_id
        if own_group_id is None or (
            member_versions.group <= own_versions.group
            and member_versions.entries == own_versions.entries
        ):
            return
        entries = (
            self._catalogue.versions() if member_versions.entries != own_versions.entries else None
        )
        self._peers.send(
            member, Fetch(own_group_id.service, own_group_id.number, own_versions.group, entries)
        )

    def _is_known(self, member_versions: Versions) -> bool:
        return member_versions == self.versions() or member_versions in self._recent_versions

    async def _fetch_unless_known(self, member: Member, member_versions: Versions) -> None:
        await self._clock.sleep(_FETCH_DELAY_S)
        if not self._is_known(member_versions):
            self._peers.send(member, Fetch(objects=self._object_versions()))

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

    def _publish_to_members(self, group: VersionedGroup, message: Publish) -> None:
        self._send_to(group.group.members, message)

    def _publish_to_watchers(self, base: VersionedGroup, written: VersionedGroup) -> None:
        if self._is_first_watcher():
            return
        watchers = self._watchers()
        own_id = self._membership.member_id
        others = [member for member in watchers if member.id != own_id]
        self._relay.publish_to_watchers(others, base, written)

    def _send_to(self, members: dict[str, Member], message: object) -> None:
        for member in members.values():
            if member.id != self._membership.member_id:
                self._peers.send(member, message)

    def _send_status(self, members: Mapping[str, Member], status: WatchStatus) -> None:
        own_id = self._membership.member_id
        for member in members.values():
            if member.id == own_id or self._peers.send(member, status) or not self._fleet_wide:
                continue
            if self._peers.unreachable(member):
                # An agent that was restarted while the platform is unavailable has an unknown
                # incarnation. The status at its address lets it fetch from this agent.
                self._peers.send(member.any_incarnation(), status)

    @property
    def _configuration_version(self) -> int:
        cached = self._routes.current if self._routes is not None else None
        return cached.version if cached is not None else 0

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

    def _object_versions(self) -> dict[str, int]:
        versions = {view.group.id.object_key: view.version for view in self._views.values()}
        if self._configuration_version:
            versions[CONFIGURATION_KEY] = self._configuration_version
        return versions

    def _newer_objects(self, known_versions: dict[str, int]) -> Publish:
        changes = [
            self._history.changes_since(view.group.id, known_version)
            for view in self._views.values()
            if view.version > (known_version := known_versions.get(view.group.id.object_key, 0))
        ]
        known_version = known_versions.get(CONFIGURATION_KEY, 0)
        cached = self._routes.current if self._routes is not None else None
        if cached is not None and cached.version > known_version:
            self._configurations.record(cached)
            changes.append(self._configurations.changes_since(known_version))
        return Publish(
            groups=tuple(group for change in changes for group in change.groups),
            configuration=next(filter(None, (change.configuration for change in changes)), None),
            deltas=tuple(delta for change in changes for delta in change.deltas),
            configuration_delta=next(
                filter(None, (change.configuration_delta for change in changes)), None
            ),
        )

    def _on_publish(self, sender: str, message: Publish) -> None:
        self._confirmation.heard_from(sender)
        if message.configuration is not None and self._routes is not None:
            self._observe_configuration(message.configuration, self._routes)
            if message.groups or message.deltas:
                # Only the response to a Fetch has both, and it has every object that was missing.
                self._loaded_prefixes.update((CONFIGURATION_KEY, "groups/"))
        if message.configuration_delta is not None and self._routes is not None:
            self._observe_configuration_delta(sender, message.configuration_delta, self._routes)
        for entry in message.entries:
            self._catalogue.observe(entry)
        for group in message.groups:
            self.observe(group)
        for delta in message.deltas:
            self._observe_delta(sender, delta)
        if message.relay:
            self._relay.pass_on(sender, message)

    def _observe_delta(self, sender: str, delta: GroupDelta) -> None:
        cached = self._views.get(delta.group)
        newer = delta.apply_to(cached) if cached is not None else None
        version = cached.version if cached is not None else 0
        if newer is not None:
            if not self.observe(newer) and version < newer.version:
                # The base is another one than the sender's, so only the whole group helps.
                self._peers.reply(sender, Fetch(delta.service, delta.number, 0))
        elif version < delta.version:
            self._peers.reply(sender, Fetch(delta.service, delta.number, version))

    def _observe_configuration(self, newer: VersionedConfiguration, routes: Routes) -> bool:
        """Activates a configuration with a higher version; returns whether it was activated."""
        activated = routes.observe(newer)
        if activated:
            self._configurations.record(newer)
        return activated

    def _observe_configuration_delta(
        self, sender: str, delta: ConfigurationDelta, routes: Routes
    ) -> None:
        cached = routes.current
        newer = delta.apply_to(cached) if cached is not None else None
        if newer is not None:
            self._observe_configuration(newer, routes)
        elif cached is None or cached.version < delta.version:
            self._peers.reply(sender, Fetch(objects=self._object_versions()))

    def _on_fetch(self, sender: str, message: Fetch) -> None:
        if message.objects is not None:
            newer_objects = self._newer_objects(message.objects)
            if newer_objects != Publish():
                self._peers.reply(sender, newer_objects)
            return
        entries: tuple[VersionedEntry, ...] = ()
        if message.entries is not None:
            entries = self._catalogue.newer_than(message.entries)
        cached = self._views.get(GroupId(message.service, message.number))
        changes = Publish()
        if cached is not None and cached.version > message.group_version:
            changes = self._history.changes_since(cached.group.id, message.group_version)
        if entries:
            changes = replace(changes, entries=entries)
        if changes != Publish() or message.confirming:
            self._peers.reply(sender, changes)

    def _on_watch_status(self, sender: str, message: WatchStatus) -> None:
        if message.member_id != sender:
            # The watcher has an earlier incarnation of this agent and connected by its address.
            if self._fleet_wide and message.versions != self.versions():
                self._peers.reply(sender, Fetch(objects=self._object_versions()))
            return
        self._roster.record_status(sender, message.healthy, self._clock.now())
        if message.healthy:
            watcher = self._fleet_members().get(sender) if self._fleet_wide else None
            if watcher is not None:
                self.fetch_newer(watcher, message.versions)

    async def _run_watch(self) -> None:
        retries = ReadingRetries(f"{self.name}:watch", self._clock)
        since_revision = 0
        watched_group_id: GroupId | None = None
        watching = False
        while True:
            own_group_id = self._membership.own_group_id
            if own_group_id != watched_group_id:
                watched_group_id, since_revision = own_group_id, 0
            if not self._is_watcher():
                if watching:
                    _WATCH_ENDED.emit(group=own_group_id)
                watching, since_revision = False, 0
                self._watch_healthy = False
                await self._clock.sleep(_WATCH_RETRY_S)
                continue
            if not watching:
                _WATCH_STARTED.emit(group=own_group_id)
                watching = True
            prefixes = (
                ("entries/",) if own_group_id is None else ("entries/", own_group_id.object_key)
            )
            # Before the agent has a group, the wait is short so that it joins soon once announced.
            wait_s = 1.0 if own_group_id is None else self._watch_wait_s
            try:
                changes = await self._platform.watch(
                    prefixes, since_revision, wait_s if since_revision else 0
                )
            except PlatformError as error:
                if self._watch_healthy:
                    _WATCH_FAILED.emit(error=error)
                self._set_watch_healthy(False)
                await self._clock.sleep(_WATCH_RETRY_S)
                continue
            except Exception as error:  # what another program wrote must not end this agent
                self._set_watch_healthy(False)
                since_revision = 0
                await retries.pause_after(error)
                continue
            retries.succeeded()
            self._set_watch_healthy(True)
            since_revision = changes.revision
            for stored in changes.objects:
                self._observe_safely(stored)
            self._catalogue.mark_loaded()

    def _observe_safely(self, stored: StoredObject) -> GroupId | None:
        """Applies a changed object; an unexpected exception concerns this object alone.

        Messages of peers, which bring the same objects, are handled in this way too.

        Returns:
            The id of a group that has to be confirmed, or None.
        """
        try:
            if self._fleet_wide:
                return self._observe_fleet_object(stored)
            self._observe_stored(stored.key, stored.version, stored.value, stored.deleted)
        except Exception as error:  # one object must not hide the others or end this agent
            report_reading_failure(f"{self.name}:{stored.key}@{stored.version}", error)
        return None

    async def _run_fleet_watch(self, prefix: str) -> None:
        retries = ReadingRetries(f"{self.name}:watch {prefix}", self._clock)
        since_revision = 0
        failing = False
        while True:
            if not self._is_watcher():
                self._loaded_prefixes.add(prefix)
                self._watch_healthy = False
                since_revision = 0
                await self._clock.sleep(_WATCH_RETRY_S)
                continue
            try:
                wait_s = self._watch_wait_s if since_revision else 0.0
                changes = await self._platform.watch((prefix,), since_revision, wait_s)
            except PlatformError as error:
                if not failing:
                    _WATCH_FAILED.emit(prefix=prefix, error=error)
                failing = True
                self._set_watch_healthy(False)
                since_revision = 0 if isinstance(error, PlatformAnswerError) else since_revision
                await self._clock.sleep(_WATCH_RETRY_S)
                continue
            except Exception as error:  # what another program wrote must not end this agent
                failing = True
                self._set_watch_healthy(False)
                since_revision = 0
                await retries.pause_after(error)
                continue
            retries.succeeded()
            if failing:
                _WATCH_RESUMED.emit(prefix=prefix)
            failing = False
            self._set_watch_healthy(True)
            since_revision = changes.revision
            unconfirmed_ids = [
                group_id
                for stored in changes.objects
                if (group_id := self._observe_safely(stored)) is not None
            ]
            if not await self._confirm_groups(prefix, changes, unconfirmed_ids):
                since_revision = 0
                await self._clock.sleep(_WATCH_RETRY_S)
                continue
            self._loaded_prefixes.add(prefix)
            await self._clock.sleep(self._watch_pause_s(prefix))

    async def _confirm_groups(
        self, prefix: str, changes: Changes, unconfirmed_ids: list[GroupId]
    ) -> bool:
        """Confirms groups of an earlier era, and cached groups that the store has lost since.

        Returns:
            Whether the store could be read and written. A group that cannot be confirmed for
            another reason does not hold up the others.
        """
        era = era_of(changes.revision)
        keys = {stored.key for stored in changes.objects}
        lost_ids = [
            group_id
            for group_id in self._views
            if changes.complete
            and group_id.object_key.startswith(prefix)
            and group_id.object_key not in keys
            and self._is_lost(group_id, era)
        ]
        results = [
            self._confirmation.begin(group_id) for group_id in (*unconfirmed_ids, *lost_ids)
        ]
        if results:
            await asyncio.wait(results)
        return not any(
            result.cancelled() or isinstance(result.exception(), PlatformUnavailableError)
            for result in results
        )

    def _watch_pause_s(self, prefix: str) -> float:
        if self._membership.own_member() is None:
            return _WATCH_START_PAUSE_S
        return _WATCH_PAUSE_S if prefix == CONFIGURATION_KEY else _GROUPS_WATCH_PAUSE_S

    def _observe_fleet_object(self, stored: StoredObject) -> GroupId | None:
        """Caches an object; returns the id of a group that has to be confirmed, or None."""
        if stored.deleted:
            return None
        try:
            if stored.key == CONFIGURATION_KEY:
                self._observe_stored_configuration(decode_json(stored.value, Configuration))
                return None
            group = VersionedGroup(stored.version, decode_group(stored.key, stored.value))
        except MalformedMessageError as error:
            self._report_malformed(stored.key, stored.version, error)
            return None
        if not group.confirmed:
            return group.group.id
        self.observe(group)
        return None

    def _observe_stored_configuration(self, configuration: Configuration) -> None:
        assert self._routes is not None
        base = self._routes.current
        # The operator's number never decreases; the store's revisions go back when it is restored
        # from an older copy.
        newer = VersionedConfiguration(configuration.version, configuration)
        activated = self._observe_configuration(newer, self._routes)
        if activated and self._membership.own_member() is not None:
            message = build_configuration_publish(base, newer)
            self._relay.broadcast(message, self._count_preceding_watchers())

    def _observe_stored(self, key: str, version: int, value: bytes, deleted: bool) -> None:
        if deleted:
            return
        own_group_id = self._membership.own_group_id
        view = self._views.get(own_group_id) if own_group_id is not None else None
        try:
            if key.startswith("entries/"):
                entry = VersionedEntry(version, _decode_entry(key, value))
                if self._catalogue.observe(entry) and view is not None:
                    self._publish_to_members(view, Publish(entries=(entry,)))
            elif own_group_id is not None and key == own_group_id.object_key:
                group = VersionedGroup(version, decode_group(key, value))
                if self.observe(group):
                    self._publish_to_members(group, build_publish(view, group))
        except MalformedMessageError as error:
            self._report_malformed(key, version, error)

    def _is_watcher(self) -> bool:
        return self._count_preceding_watchers() < WATCHER_COUNT

    def _is_first_watcher(self) -> bool:
        # An agent that has not joined watches for itself but does not publish. When a fleet
        # starts, all agents watch, and publishing from each to all would grow with its square.
        return self._membership.own_member() is not None and self._count_preceding_watchers() == 0

    def _count_preceding_watchers(self) -> int:
        """Returns the number of known watchers whose member id is lower than this agent's."""
        own_group_id = self._membership.own_group_id
        view = self._views.get(own_group_id) if own_group_id is not None else None
        own_id = self._membership.member_id
        if view is None or own_id not in view.group.members:
            return 0
        watchers = self._watchers()
        if all(member.id != own_id for member in watchers):
            # This agent's turn has not come, or its own watch failed a moment ago.
            return WATCHER_COUNT
        return sum(member.id < own_id for member in watchers)

    def _watchers(self) -> tuple[Member, ...]:
        """Returns the members that are believed to watch the platform, by member id."""
        own_group_id = self._membership.own_group_id
        view = self._views.get(own_group_id) if own_group_id is not None else None
        if view is None:
            return ()
        members = self._fleet_members() if self._fleet_wide else view.group.members
        return self._roster.watchers(members, self._membership.member_id, self._clock.now())

    async def _run_watch_status(self) -> None:
        while True:
            await self._clock.sleep(_WATCH_STATUS_PERIOD_S)
            own_group_id = self._membership.own_group_id
            view = self._views.get(own_group_id) if own_group_id is not None else None
            if view is None:
                continue
            members = self._fleet_members() if self._fleet_wide else view.group.members
            if not self._is_watcher() or not self._watch_healthy:
                has_watcher = self._roster.has_healthy_watcher(members, self._clock.now())
                if not self._fleet_wide or has_watcher:
                    continue
                members = self._outage_status_recipients(members)
            self._send_status(members, self._own_status())

    def _own_status(self) -> WatchStatus:
        return WatchStatus(self._membership.member_id, self._watch_healthy, self.versions())

    def _set_watch_healthy(self, healthy: bool) -> None:
        """Records the result of a watch call and tells the fleet when it differs from the last."""
        own_id = self._membership.member_id
        self._roster.record_status(own_id, healthy, self._clock.now())
        changed = healthy != self._watch_healthy
        self._watch_healthy = healthy
        if changed and self._fleet_wide and self._membership.own_member() is not None:
            # The next watcher starts at once instead of after the missing statuses.
            status = self._own_status()
            for member in self._other_members().values():
                self._peers.reply(member.id, status)

    def _outage_status_recipients(self, members: Mapping[str, Member]) -> dict[str, Member]:
        """Returns the members that get this agent's status while its platform watch fails.

        While the platform is unavailable to all agents, no watcher updates agents that were
        restarted. Each agent then sends its status to the agents before it in the order of names,
        whether it was itself restarted or not, so that a large fleet does not connect to one
        agent at once.
        """
        own_name = self._membership.member_id.rpartition(":")[0]
        names = sorted({member.name for member in members.values()} | {own_name})
        own_index = names.index(own_name)
        recipient_names = {
            names[own_index - offset]
            for offset in range(1, min(_OUTAGE_STATUS_RECIPIENTS, len(names) - 1) + 1)
        }
        return {member.id: member for member in members.values() if member.name in recipient_names}


def _decode_entry(key: str, value: bytes) -> Entry:
    entry = decode_json(value, Entry)
    if key != entry_object_key(entry.service):
        raise MalformedMessageError(f"the object contains the entry of {entry.service!r}")
    return entry
