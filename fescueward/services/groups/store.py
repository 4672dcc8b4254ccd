"""Group objects: newest versions, conditional edits, propagation and the platform watch."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections import deque
from dataclasses import replace

from ...interfaces import Catalogue, GroupListener, Membership, Peers, Platform, Routes
from ...interfaces.groups import GroupChange
from ...interfaces.platform import StoredObject
from ...kernel import Clock, Event, Kernel, Level, Registry
from ...kernel.errors import (
    MalformedMessageError,
    ObjectNotFoundError,
    PlatformAnswerError,
    PlatformError,
)
from ...kernel.settings import Settings
from ...messages import (
    Entry,
    Group,
    GroupId,
    Member,
    MemberState,
    VersionedEntry,
    VersionedGroup,
)
from ...messages.codec import decode_json, encode_json
from ...messages.configuration import CONFIGURATION_KEY, Configuration, VersionedConfiguration
from ...messages.delta import ConfigurationDelta, GroupDelta
from ...messages.peer import Fetch, Publish, Versions, WatchStatus, version_digest
from .edits import GroupEdits
from .relay import GroupRelay, configuration_publication, publication

_CHANGED = Event(2201, "group_changed", Level.INFO, "A newer version of a group is in use.")
_WATCHING = Event(2202, "watch_started", Level.INFO, "This agent watches the platform.")
_NOT_WATCHING = Event(2203, "watch_ended", Level.INFO, "Other agents watch for the group now.")
_BAD_OBJECT = Event(2204, "bad_object", Level.ERROR, "An object of the platform is malformed.")
_WATCH_FAILED = Event(2205, "watch_failed", Level.WARNING, "A watch call began to fail.")

_WATCH_RESUMED = Event(2206, "watch_resumed", Level.INFO, "Watch calls are answered again.")

_WATCHERS = 2
_WATCH_RETRY_S = 0.25
# Pause between two watch calls of a member, and of an agent that has not joined: all agents start
# together and join one after the other.
_WATCH_PAUSE_S = 0.05
_WATCH_START_PAUSE_S = 0.5
_WATCH_STATUS_S = 1.0
# Three status periods: a watcher that is silent for longer is replaced by the next member.
_WATCH_STATUS_TIMEOUT_S = 3.0
# A version that another member names is as a rule on its way. After this pause, in seconds, it is
# fetched; a lost message must not delay a configuration, which may take 2.5 s in all.
_COMPARE_DELAY_S = 0.2
# A member that names one of so many earlier states is behind and fetches by itself.
_PAST_VERSIONS = 64
# Members that one agent tells what it knows in an outage of the platform: more than the monitors
# of a member, so that one is left when some are restarted with it.
_TOLD_IN_OUTAGE = 4


class GroupStore:
    """The `groups` service.

    Two members of each group hold a watch of the platform and publish versions to the others.
    Renewals and their acknowledgements carry versions, so whoever missed one fetches it.

    With `fleet_wide`, every agent knows all groups and the configuration: two members of the whole
    fleet hold the watches, publish to all and tell all each second what they know.
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
        self._updates: dict[GroupId, asyncio.Task[None]] = {}
        self._watch_status: dict[str, float] = {}
        self._watch_healthy = False
        self._read: set[str] = set()
        # What this agent knew before, so that members that are behind can be told from others.
        self._past: deque[Versions] = deque(maxlen=_PAST_VERSIONS)
        self._comparison: asyncio.Task[None] | None = None
        self._listening_since = 0.0

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._edits = GroupEdits(self, self._tasks, self._clock)
        self._platform = registry.find("platform", Platform)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        if self._fleet_wide:
            self._routes = registry.find("routes", Routes)
        self._relay = GroupRelay(self._tasks, self._clock, self._peers, self._others)
        self._watch_s = registry.find("settings", Settings).platform.watch_ms / 1000
        self._peers.on(Publish, self._on_publish)
        self._peers.on(Fetch, self._on_fetch)
        self._peers.on(WatchStatus, self._on_watch_status)

    async def start(self) -> None:
        """Starts the watch and the report of its state."""
        self._listening_since = self._clock.now()
        if self._fleet_wide:
            for prefix in (CONFIGURATION_KEY, "groups/"):
                self._tasks.spawn(f"watch {prefix}", self._run_fleet_watch(prefix))
        else:
            self._tasks.spawn("watch", self._run_watch())
        self._tasks.spawn("watch-status", self._run_watch_status())

    async def stop(self) -> None:
        """Ends the watch."""
        await self._tasks.cancel()

    @property
    def watching(self) -> bool:
        """Whether this agent watches the platform for its group and the watch works."""
        return self._watch_healthy and self._is_watcher()

    @property
    def complete(self) -> bool:
        """Whether all groups have been read or received once."""
        return "groups/" in self._read

    def views(self) -> tuple[VersionedGroup, ...]:
        """Returns the newest version of every group that was seen."""
        return tuple(self._views.values())

    def view(self, group: GroupId) -> VersionedGroup | None:
        """Returns the newest version seen."""
        return self._views.get(group)

    async def load(self, group: GroupId) -> VersionedGroup:
        """Returns the newest version seen, and reads the group if none was."""
        held = self._views.get(group)
        return held if held is not None else await self.refresh(group)

    async def refresh(self, group: GroupId) -> VersionedGroup:
        """Reads the group from the platform."""
        stored = await self._platform.get(group.object_key)
        try:
            read = VersionedGroup(stored.version, decode_json(stored.value, Group))
        except MalformedMessageError as error:
            _BAD_OBJECT.emit(key=stored.key, version=stored.version, error=error)
            raise PlatformAnswerError(f"{stored.key!r} is malformed: {error}") from error
        self.observe(read)
        held = self._views[group]
        return held if held.version >= read.version else read

    async def update(self, group: GroupId) -> None:
        """Asks for a newer version; calls at the same time share one attempt."""
        running = self._updates.get(group)
        if running is None:
            running = self._tasks.spawn(f"update {group}", self._update_once(group))
            self._updates[group] = running
            running.add_done_callback(lambda _: self._updates.pop(group, None))
        await asyncio.shield(running)

    async def write(self, base: VersionedGroup, group: Group) -> VersionedGroup:
        """Makes one conditional write on the version of `base`."""
        group = replace(group, edit_id=uuid.uuid4().hex)
        version = await self._platform.put(group.id.object_key, encode_json(group), base.version)
        written = VersionedGroup(version, group)
        self.observe(written)
        if self._fleet_wide:
            self._tell_watchers(base, written)
        else:
            self._tell_members(written, publication(base, written))
        return written

    async def edit(self, group: GroupId, change: GroupChange) -> VersionedGroup:
        """Reads, changes and writes until a write succeeds; see `Groups.edit`."""
        return await self._edits.edit(group, change)

    def observe(self, group: VersionedGroup) -> bool:
        """Takes a version if it is higher than the one held."""
        group_id = group.group.id
        held = self._views.get(group_id)
        if held is not None and held.version >= group.version:
            return False
        if self._fleet_wide:
            self._past.append(self.versions())
        self._views[group_id] = group
        me = self._membership.member_id
        if me in group.group.members and (held is None or me not in held.group.members):
            # Watchers tell members only, so until now none of them could be heard.
            self._listening_since = self._clock.now()
        _CHANGED.emit(group=group_id, version=group.version, members=len(group.group.members))
        for listener in self._listeners:
            listener.group_changed(group)
        if self._fleet_wide and self._is_first_watcher():
            self._relay.tell_fleet(held, group)
        waiter = self._waiters.pop(group_id, None)
        if waiter is not None:
            waiter.set()
        return True

    def subscribe(self, listener: GroupListener) -> None:
        """Tells a service of newer versions from now on."""
        self._listeners.append(listener)

    async def changed(self, group: GroupId, version: int, timeout_s: float) -> bool:
        """Waits until a version above `version` is seen."""
        held = self._views.get(group)
        if held is not None and held.version > version:
            return True
        waiter = self._waiters.setdefault(group, asyncio.Event())
        try:
            async with asyncio.timeout(max(timeout_s, 0)):
                await waiter.wait()
        except TimeoutError:
            return False
        return True

    def versions(self) -> Versions:
        """Returns what this agent knows, for renewals and their acknowledgements."""
        if self._fleet_wide:
            return Versions(0, version_digest(self._object_versions()))
        home = self._membership.home
        held = self._views.get(home) if home is not None else None
        return Versions(held.version if held is not None else 0, self._catalogue.digest)

    def compare(self, member: Member, theirs: Versions) -> None:
        """Fetches from a member that knows newer versions.

        Args:
            member: A member of this agent's group.
            theirs: What it knows.
        """
        mine = self.versions()
        if self._fleet_wide:
            waiting = self._comparison is not None and not self._comparison.done()
            if not waiting and not self._knows(theirs):
                self._comparison = self._tasks.spawn("compare", self._compare(member, theirs))
            return
        home = self._membership.home
        if home is None or (theirs.group <= mine.group and theirs.entries == mine.entries):
            return
        entries = self._catalogue.versions() if theirs.entries != mine.entries else None
        self._peers.send(member, Fetch(home.service, home.number, mine.group, entries))

    def _knows(self, theirs: Versions) -> bool:
        return theirs == self.versions() or theirs in self._past

    async def _compare(self, member: Member, theirs: Versions) -> None:
        await self._clock.sleep(_COMPARE_DELAY_S)
        if not self._knows(theirs):
            self._peers.send(member, Fetch(objects=self._object_versions()))

    async def read_or_create(self, group: GroupId) -> VersionedGroup:
        """Reads a group, or returns an empty one if the catalogue knows its service."""
        try:
            return await self.refresh(group)
        except ObjectNotFoundError:
            shard_count = self._catalogue.entry(group.service).entry.shard_count
            return VersionedGroup(0, Group(group.service, group.number, shard_count))

    async def _update_once(self, group: GroupId) -> None:
        held = self._views.get(group)
        if held is not None:
            members = list(held.group.members.values())
            random.shuffle(members)
            known = Fetch(group.service, group.number, held.version)
            asked = 0
            for member in members:
                asked += self._peers.send(member, known)
                if asked == 2:
                    break
            if asked and await self.changed(group, held.version, 0.1):
                return
        try:
            await self.refresh(group)
        except PlatformError:
            return

    def _tell_members(self, group: VersionedGroup, message: Publish) -> None:
        self._send_to(group.group.members, message)

    def _tell_watchers(self, base: VersionedGroup, written: VersionedGroup) -> None:
        if self._is_first_watcher():
            return
        watchers = self._watchers()
        me = self._membership.member_id
        others = [member for member in watchers if member.id != me]
        self._relay.tell_watchers(others, base, written)

    def _send_to(self, members: dict[str, Member], message: object) -> None:
        for member in members.values():
            if member.id != self._membership.member_id:
                self._peers.send(member, message)

    def _send_status(self, members: dict[str, Member], status: WatchStatus) -> None:
        me = self._membership.member_id
        for member in members.values():
            if member.id == me or self._peers.send(member, status) or not self._fleet_wide:
                continue
            if self._peers.unreachable(member):
                # An agent that was restarted while the platform is away learns by this what the
                # others know.
                self._peers.send(member.any_incarnation(), status)

    def _fleet(self) -> dict[str, Member]:
        found: dict[str, Member] = {}
        for view in self._views.values():
            found.update(view.group.members)
        return found

    def _others(self) -> dict[str, Member]:
        fleet = self._fleet()
        fleet.pop(self._membership.member_id, None)
        return fleet

    def _object_versions(self) -> dict[str, int]:
        versions = {view.group.id.object_key: view.version for view in self._views.values()}
        held = self._routes.current if self._routes is not None else None
        if held is not None:
            versions[CONFIGURATION_KEY] = held.version
        return versions

    def _newer_objects(self, known: dict[str, int]) -> Publish:
        groups = tuple(
            view
            for view in self._views.values()
            if view.version > known.get(view.group.id.object_key, 0)
        )
        held = self._routes.current if self._routes is not None else None
        newer = held is not None and held.version > known.get(CONFIGURATION_KEY, 0)
        return Publish(groups=groups, configuration=held if newer else None)

    def _on_publish(self, sender: str, message: Publish) -> None:
        if message.configuration is not None and self._routes is not None:
            self._routes.observe(message.configuration)
            if message.groups:
                # Both together answer a Fetch and hold all that was missing.
                self._read.update((CONFIGURATION_KEY, "groups/"))
        if message.configuration_delta is not None and self._routes is not None:
            self._observe_configuration_delta(sender, message.configuration_delta, self._routes)
        for entry in message.entries:
            self._catalogue.observe(entry)
        for group in message.groups:
            self.observe(group)
        for delta in message.deltas:
            self._observe_delta(sender, delta)

    def _observe_delta(self, sender: str, delta: GroupDelta) -> None:
        held = self._views.get(delta.group)
        newer = delta.apply_to(held) if held is not None else None
        version = held.version if held is not None else 0
        if newer is not None:
            self.observe(newer)
        elif version < delta.version:
            self._peers.reply(sender, Fetch(delta.service, delta.number, version))

    def _observe_configuration_delta(
        self, sender: str, delta: ConfigurationDelta, routes: Routes
    ) -> None:
        held = routes.current
        newer = delta.apply_to(held) if held is not None else None
        if newer is not None:
            routes.observe(newer)
        elif held is None or held.version < delta.version:
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
        held = self._views.get(GroupId(message.service, message.number))
        newer = held is not None and held.version > message.group_version
        if entries or newer:
            groups = (held,) if held is not None and newer else ()
            self._peers.reply(sender, Publish(groups=groups, entries=entries))

    def _on_watch_status(self, sender: str, message: WatchStatus) -> None:
        if message.member_id != sender:
            # The watcher knows an earlier incarnation of this agent and dialled its address.
            if self._fleet_wide and message.versions != self.versions():
                self._peers.reply(sender, Fetch(objects=self._object_versions()))
            return
        if message.healthy:
            self._watch_status[sender] = self._clock.now()
            watcher = self._fleet().get(sender) if self._fleet_wide else None
            if watcher is not None:
                self.compare(watcher, message.versions)

    async def _run_watch(self) -> None:
        since = 0
        watched: GroupId | None = None
        watching = False
        while True:
            home = self._membership.home
            if home != watched:
                watched, since = home, 0
            if not self._is_watcher():
                if watching:
                    _NOT_WATCHING.emit(group=home)
                watching, since = False, 0
                await self._clock.sleep(_WATCH_RETRY_S)
                continue
            if not watching:
                _WATCHING.emit(group=home)
                watching = True
            prefixes = ("entries/",) if home is None else ("entries/", home.object_key)
            # Without a group yet, the wait is short so that the announcement is acted on soon.
            wait_s = 1.0 if home is None else self._watch_s
            try:
                changes = await self._platform.watch(prefixes, since, wait_s if since else 0)
            except PlatformError as error:
                if self._watch_healthy:
                    _WATCH_FAILED.emit(error=error)
                self._watch_healthy = False
                await self._clock.sleep(_WATCH_RETRY_S)
                continue
            self._watch_healthy = True
            since = changes.revision
            for stored in changes.objects:
                self._observe_stored(stored.key, stored.version, stored.value, stored.deleted)
            self._catalogue.mark_loaded()

    async def _run_fleet_watch(self, prefix: str) -> None:
        since = 0
        reported = False
        while True:
            if not self._is_watcher():
                self._read.add(prefix)
                since = 0
                await self._clock.sleep(_WATCH_RETRY_S)
                continue
            try:
                wait_s = self._watch_s if since else 0.0
                changes = await self._platform.watch((prefix,), since, wait_s)
            except PlatformError as error:
                if not reported:
                    _WATCH_FAILED.emit(prefix=prefix, error=error)
                reported = True
                self._watch_healthy = False
                since = 0 if isinstance(error, PlatformAnswerError) else since
                await self._clock.sleep(_WATCH_RETRY_S)
                continue
            if reported:
                _WATCH_RESUMED.emit(prefix=prefix)
            reported = False
            self._watch_healthy = True
            since = changes.revision
            for stored in changes.objects:
                self._observe_fleet_object(stored)
            self._read.add(prefix)
            # Changes come in bursts, and each answer of the store is a call that counts.
            pause_s = _WATCH_PAUSE_S if self._membership.me() else _WATCH_START_PAUSE_S
            await self._clock.sleep(pause_s)

    def _observe_fleet_object(self, stored: StoredObject) -> None:
        if stored.deleted:
            return
        try:
            if stored.key == CONFIGURATION_KEY:
                assert self._routes is not None
                configuration = decode_json(stored.value, Configuration)
                base = self._routes.current
                newer = VersionedConfiguration(stored.version, configuration)
                if self._routes.observe(newer) and self._membership.me() is not None:
                    self._send_to(self._fleet(), configuration_publication(base, newer))
                return
            group = VersionedGroup(stored.version, decode_json(stored.value, Group))
            self.observe(group)
        except MalformedMessageError as error:
            _BAD_OBJECT.emit(key=stored.key, version=stored.version, error=error)

    def _observe_stored(self, key: str, version: int, value: bytes, deleted: bool) -> None:
        if deleted:
            return
        home = self._membership.home
        view = self._views.get(home) if home is not None else None
        try:
            if key.startswith("entries/"):
                entry = VersionedEntry(version, decode_json(value, Entry))
                if self._catalogue.observe(entry) and view is not None:
                    self._tell_members(view, Publish(entries=(entry,)))
            elif home is not None and key == home.object_key:
                group = VersionedGroup(version, decode_json(value, Group))
                if self.observe(group):
                    self._tell_members(group, publication(view, group))
        except MalformedMessageError as error:
            _BAD_OBJECT.emit(key=key, version=version, error=error)

    def _is_watcher(self) -> bool:
        return self._watchers_before_me() < _WATCHERS

    def _is_first_watcher(self) -> bool:
        # An agent that has not joined watches for itself: at a start all agents do, and copies
        # from each to all would grow with the square of the fleet.
        return self._membership.me() is not None and self._watchers_before_me() == 0

    def _watchers_before_me(self) -> int:
        """Returns how many members with a lower id watch the platform as far as is known."""
        home = self._membership.home
        view = self._views.get(home) if home is not None else None
        me = self._membership.member_id
        if view is None or me not in view.group.members:
            return 0
        return sum(member.id < me for member in self._watchers())

    def _watchers(self) -> tuple[Member, ...]:
        """Returns the members that watch the platform as far as is known, in order."""
        home = self._membership.home
        view = self._views.get(home) if home is not None else None
        if view is None:
            return ()
        members = self._fleet() if self._fleet_wide else view.group.members
        me = self._membership.member_id
        now = self._clock.now()
        watchers: list[Member] = []
        for member_id in sorted(members):
            heard = max(self._watch_status.get(member_id, 0.0), self._listening_since)
            active = members[member_id].state is MemberState.ACTIVE
            if member_id == me or (active and now - heard < _WATCH_STATUS_TIMEOUT_S):
                watchers.append(members[member_id])
            if len(watchers) == _WATCHERS:
                break
        return tuple(watchers)

    async def _run_watch_status(self) -> None:
        while True:
            await self._clock.sleep(_WATCH_STATUS_S)
            home = self._membership.home
            view = self._views.get(home) if home is not None else None
            if view is None or not self._is_watcher():
                continue
            members = self._fleet() if self._fleet_wide else view.group.members
            if not self._watch_healthy:
                if not self._fleet_wide:
                    continue
                members = self._told_in_outage(members)
            me = self._membership.member_id
            self._send_status(members, WatchStatus(me, self._watch_healthy, self.versions()))

    def _told_in_outage(self, members: dict[str, Member]) -> dict[str, Member]:
        """Returns the few members that this agent tells what it knows while it sees no platform.

        While the platform is away for all, no watcher informs agents that were restarted. Then
        every agent is responsible for the ones before it in the order of names, be it itself
        restarted or not, so that a large fleet does not dial one agent at once.
        """
        mine = self._membership.member_id.rpartition(":")[0]
        names = sorted({member.name for member in members.values()} | {mine})
        at = names.index(mine)
        told = {names[at - step] for step in range(1, min(_TOLD_IN_OUTAGE, len(names) - 1) + 1)}
        return {member.id: member for member in members.values() if member.name in told}
