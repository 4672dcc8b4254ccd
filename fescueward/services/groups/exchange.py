"""Exchange of newer objects with members that have reported other versions."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import replace
from typing import Protocol

from ...interfaces import Catalogue, EvacuationState, Membership, Peers, Platform, Routes
from ...kernel import Clock, Event, Level, TaskOwner
from ...kernel.errors import MalformedMessageError, PlatformError
from ...kernel.retries import report_reading_failure
from ...messages import GroupId, Member, VersionedEntry, VersionedGroup
from ...messages.codec import decode_json
from ...messages.configuration import CONFIGURATION_KEY, Configuration, VersionedConfiguration
from ...messages.delta import ConfigurationDelta, GroupDelta
from ...messages.evacuations import EVACUATIONS_PREFIX
from ...messages.group_object import decode_group
from ...messages.peer import Fetch, Publish, Versions, version_digest
from .confirmation import GroupConfirmation
from .history import ConfigurationHistory, GroupHistory
from .relay import GroupRelay, sendable

_READ_FAILED = Event(
    2214,
    "unsent_object_not_read",
    Level.WARNING,
    "An object that is too large for a message could not be read from the platform.",
)

# A version that another member reports is usually already being published to this agent, so it is
# fetched only after this delay. The delay is short because a lost message must not hold up a
# configuration, which may take 2.5 s in total to propagate.
_FETCH_DELAY_S = 0.2
# Number of earlier states of this agent that are recognised. A member that reports one of them is
# behind and fetches the newer objects itself.
_RECENT_VERSIONS_LIMIT = 64


class GroupCache(Protocol):
    """Cached versions of groups."""

    def view(self, group: GroupId) -> VersionedGroup | None:
        """Returns the cached version of a group, or None if none was received yet."""
        ...

    def views(self) -> tuple[VersionedGroup, ...]:
        """Returns the cached version of each group that was read or received."""
        ...

    def observe(self, group: VersionedGroup) -> bool:
        """Caches a confirmed version if it is newer; returns whether it was cached."""
        ...

    def mark_loaded(self) -> None:
        """Records that all groups were received."""
        ...


class ObjectExchange:
    """Compares versions with members, and fetches and sends the objects that one of them lacks.

    Args:
        groups: Cached groups.
        catalogue: Catalogue of entries.
        membership: Membership of this agent.
        peers: Streams to the members.
        clock: Source of time.
        tasks: Owner of the tasks that fetch.
        confirmation: Is told which members have replied.
        relay: Passes messages on in the failure domain.
        routes: The configuration, or None where each group has watchers of its own.
        evacuations: Evacuated failure domains.
        platform: The platform.
    """

    def __init__(
        self,
        groups: GroupCache,
        catalogue: Catalogue,
        membership: Membership,
        peers: Peers,
        clock: Clock,
        tasks: TaskOwner,
        confirmation: GroupConfirmation,
        relay: GroupRelay,
        routes: Routes | None,
        evacuations: EvacuationState,
        platform: Platform,
    ) -> None:
        self._groups = groups
        self._catalogue = catalogue
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._tasks = tasks
        self._confirmation = confirmation
        self._relay = relay
        self._routes = routes
        self._evacuations = evacuations
        self._platform = platform
        self._read_task: asyncio.Task[None] | None = None
        self._history = GroupHistory()
        self._configurations = ConfigurationHistory()
        # Earlier versions of this agent. A member that reports one of them is behind, not ahead.
        self._recent_versions: deque[Versions] = deque(maxlen=_RECENT_VERSIONS_LIMIT)
        self._fetch_task: asyncio.Task[None] | None = None
        # The fleet's versions with the versions that can change apart from groups; None after a
        # change of a group.
        self._fleet_versions: tuple[tuple[int, int], Versions] | None = None
        peers.on(Publish, self.on_publish)
        peers.on(Fetch, self.on_fetch)

    def versions(self) -> Versions:
        """Returns the versions of this agent, for renewals and their acknowledgements."""
        if self._routes is not None:
            key = (self._configuration_version, self._evacuations.current.version)
            if self._fleet_versions is None or self._fleet_versions[0] != key:
                compared = {**self.object_versions(), **self._evacuation_marks()}
                self._fleet_versions = (key, Versions(0, version_digest(compared)))
            return self._fleet_versions[1]
        cached = self._own_view()
        return Versions(cached.version if cached is not None else 0, self._catalogue.digest)

    def object_versions(self) -> dict[str, int]:
        """Returns the versions of the groups and of the configuration, by platform key."""
        versions = {view.group.id.object_key: view.version for view in self._groups.views()}
        if self._configuration_version:
            versions[CONFIGURATION_KEY] = self._configuration_version
        return versions

    def remember_versions(self) -> None:
        """Records the present versions as earlier ones; called before they change."""
        if self._routes is not None:
            self._recent_versions.append(self.versions())

    def record_group(self, group: VersionedGroup) -> None:
        """Adds a group that was cached to the history."""
        self._history.record(group)
        self._fleet_versions = None

    def fetch_newer(self, member: Member, member_versions: Versions) -> None:
        """Fetches objects from a member that has reported newer versions.

        In a fleet, the fetch is delayed, and omitted if the versions arrive meanwhile.

        Args:
            member: A member of this agent's group, or of the fleet.
            member_versions: The versions that the member has reported.
        """
        own_versions = self.versions()
        if self._routes is not None:
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

    def observe_configuration(self, newer: VersionedConfiguration) -> bool:
        """Activates a configuration with a higher version; returns whether it was activated."""
        activated = self._routes is not None and self._routes.observe(newer)
        if activated:
            self._configurations.record(newer)
        return activated

    def on_publish(self, sender: str, message: Publish) -> None:
        """Applies newer objects that a member has sent."""
        self._confirmation.heard_from(sender)
        if message.evacuations is not None:
            self._evacuations.observe(message.evacuations)
        if message.configuration is not None and self._routes is not None:
            self.observe_configuration(message.configuration)
            if message.groups or message.deltas:
                # Only the response to a Fetch has both, and it has every object that was missing.
                self._groups.mark_loaded()
        if message.configuration_delta is not None and self._routes is not None:
            self._observe_configuration_delta(sender, message.configuration_delta, self._routes)
        for entry in message.entries:
            self._catalogue.observe(entry)
        for group in message.groups:
            self._groups.observe(group)
        for delta in message.deltas:
            self._observe_delta(sender, delta)
        if message.unsent and (self._read_task is None or self._read_task.done()):
            self._read_task = self._tasks.spawn("read", self._read(message.unsent))
        if message.relay:
            self._relay.pass_on(sender, message)

    def on_fetch(self, sender: str, message: Fetch) -> None:
        """Sends the objects that a member lacks."""
        if message.objects is not None:
            newer_objects = self._newer_objects(message.objects)
            if newer_objects != Publish():
                self._peers.reply(sender, sendable(newer_objects))
            return
        entries: tuple[VersionedEntry, ...] = ()
        if message.entries is not None:
            entries = self._catalogue.newer_than(message.entries)
        cached = self._groups.view(GroupId(message.service, message.number))
        changes = Publish()
        if cached is not None and cached.version > message.group_version:
            changes = self._history.changes_since(cached.group.id, message.group_version)
        if entries:
            changes = replace(changes, entries=entries)
        if changes != Publish() or message.confirming:
            self._peers.reply(sender, sendable(changes))

    def _own_view(self) -> VersionedGroup | None:
        own_group_id = self._membership.own_group_id
        return self._groups.view(own_group_id) if own_group_id is not None else None

    @property
    def _configuration_version(self) -> int:
        cached = self._routes.current if self._routes is not None else None
        return cached.version if cached is not None else 0

    def _evacuation_marks(self) -> dict[str, int]:
        """Returns what stands for the evacuations in the comparison of versions.

        Agents that have read the same evacuations at other versions of the store are equal. So is
        an agent that knows of none and one of an earlier version, which has no evacuations.
        """
        current = self._evacuations.current
        if not current.version:
            return {EVACUATIONS_PREFIX: 0}
        return {f"{EVACUATIONS_PREFIX}{domain}": 1 for domain in current.domains}

    def _is_known(self, member_versions: Versions) -> bool:
        return member_versions == self.versions() or member_versions in self._recent_versions

    async def _fetch_unless_known(self, member: Member, member_versions: Versions) -> None:
        await self._clock.sleep(_FETCH_DELAY_S)
        if not self._is_known(member_versions):
            self._peers.send(member, Fetch(objects=self.object_versions()))

    async def _read(self, keys: tuple[str, ...]) -> None:
        """Reads objects that are too large for messages from the platform."""
        for key in keys:
            try:
                stored = await self._platform.get(key)
                if key == CONFIGURATION_KEY:
                    configuration = decode_json(stored.value, Configuration)
                    self.observe_configuration(
                        VersionedConfiguration(configuration.version, configuration)
                    )
                else:
                    group = decode_group(stored.key, stored.value)
                    self._groups.observe(VersionedGroup(stored.version, group))
            except (PlatformError, MalformedMessageError) as error:
                # A watcher names the object again when it learns that this agent lacks it.
                _READ_FAILED.emit(key=key, error=error)
            except Exception as error:  # what another program wrote must not end this agent
                report_reading_failure(f"groups:{key}", error)

    def _newer_objects(self, known_versions: dict[str, int]) -> Publish:
        changes = [
            self._history.changes_since(view.group.id, known_version)
            for view in self._groups.views()
            if view.version > (known_version := known_versions.get(view.group.id.object_key, 0))
        ]
        known_version = known_versions.get(CONFIGURATION_KEY, 0)
        cached = self._routes.current if self._routes is not None else None
        if cached is not None and cached.version > known_version:
            self._configurations.record(cached)
            changes.append(self._configurations.changes_since(known_version))
        evacuations = self._evacuations.current
        return Publish(
            groups=tuple(group for change in changes for group in change.groups),
            configuration=next(filter(None, (change.configuration for change in changes)), None),
            deltas=tuple(delta for change in changes for delta in change.deltas),
            configuration_delta=next(
                filter(None, (change.configuration_delta for change in changes)), None
            ),
            # Always sent, since it is small and versions do not show what a restored store lacks.
            evacuations=evacuations if evacuations.version else None,
        )

    def _observe_delta(self, sender: str, delta: GroupDelta) -> None:
        cached = self._groups.view(delta.group)
        newer = delta.apply_to(cached) if cached is not None else None
        version = cached.version if cached is not None else 0
        if newer is not None:
            if not self._groups.observe(newer) and version < newer.version:
                # The base is another one than the sender's, so only the whole group helps.
                self._peers.reply(sender, Fetch(delta.service, delta.number, 0))
        elif version < delta.version:
            self._peers.reply(sender, Fetch(delta.service, delta.number, version))

    def _observe_configuration_delta(
        self, sender: str, delta: ConfigurationDelta, routes: Routes
    ) -> None:
        cached = routes.current
        newer = delta.apply_to(cached) if cached is not None else None
        if newer is not None:
            self.observe_configuration(newer)
        elif cached is None or cached.version < delta.version:
            self._peers.reply(sender, Fetch(objects=self.object_versions()))
