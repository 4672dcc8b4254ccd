"""Objects as the watchers read them: decoded, applied and published."""

from __future__ import annotations

from typing import Protocol

from cachetools import LRUCache

from ...interfaces import Catalogue, Membership, Routes
from ...interfaces.platform import StoredObject
from ...kernel import Event, Level
from ...kernel.errors import MalformedMessageError
from ...kernel.retries import report_reading_failure
from ...messages import Entry, GroupId, VersionedEntry, VersionedGroup
from ...messages.codec import decode_json
from ...messages.configuration import CONFIGURATION_KEY, Configuration, VersionedConfiguration
from ...messages.group import entry_object_key
from ...messages.group_object import decode_group
from ...messages.peer import Publish
from .exchange import ObjectExchange
from .relay import GroupRelay, build_configuration_publish, build_publish
from .watch_duty import WatchDuty

_MALFORMED_OBJECT = Event(
    2204, "bad_object", Level.ERROR, "An object of the platform is malformed."
)

_MAX_REPORTED_OBJECTS = 1000


class MalformedObjects:
    """Logs each version of an object that cannot be used once."""

    def __init__(self) -> None:
        # Keys and versions that have been logged.
        self._reported: LRUCache[tuple[str, int], None] = LRUCache(_MAX_REPORTED_OBJECTS)

    def report(self, key: str, version: int, error: MalformedMessageError) -> None:
        """Logs an object unless this version of it has been logged."""
        if (key, version) not in self._reported:
            self._reported[(key, version)] = None
            _MALFORMED_OBJECT.emit(key=key, version=version, error=error)


class GroupReceiver(Protocol):
    """Takes the groups that were read, and publishes to members."""

    def view(self, group: GroupId) -> VersionedGroup | None:
        """Returns the cached version of a group, or None if none was received yet."""
        ...

    def observe(self, group: VersionedGroup) -> bool:
        """Caches a confirmed version if it is newer; returns whether it was cached."""
        ...

    def publish_to_members(self, group: VersionedGroup, message: Publish) -> None:
        """Sends newer objects to the other members of a group."""
        ...


class StoredObjects:
    """Applies objects that were read from the platform.

    Args:
        groups: Cached groups.
        catalogue: Catalogue of entries.
        membership: Membership of this agent.
        exchange: Activates configurations.
        relay: Publishes to the fleet.
        duty: Knows how many watchers publish before this agent.
        malformed: Logs objects that cannot be used.
        routes: The configuration, or None where each group has watchers of its own.
    """

    def __init__(
        self,
        groups: GroupReceiver,
        catalogue: Catalogue,
        membership: Membership,
        exchange: ObjectExchange,
        relay: GroupRelay,
        duty: WatchDuty,
        malformed: MalformedObjects,
        routes: Routes | None,
    ) -> None:
        self._groups = groups
        self._catalogue = catalogue
        self._membership = membership
        self._exchange = exchange
        self._relay = relay
        self._duty = duty
        self._malformed = malformed
        self._routes = routes

    def observe(self, stored: StoredObject) -> GroupId | None:
        """Applies a changed object; an unexpected exception concerns this object alone.

        Messages of peers, which bring the same objects, are handled in this way too.

        Returns:
            The id of a group that has to be confirmed, or None.
        """
        try:
            if stored.deleted:
                return None
            if self._routes is not None:
                return self._observe_in_fleet(stored, self._routes)
            self._observe_in_group(stored)
        except MalformedMessageError as error:
            self._malformed.report(stored.key, stored.version, error)
        except Exception as error:  # one object must not hide the others or end this agent
            report_reading_failure(f"groups:{stored.key}@{stored.version}", error)
        return None

    def _observe_in_fleet(self, stored: StoredObject, routes: Routes) -> GroupId | None:
        """Caches an object; returns the id of a group that has to be confirmed, or None."""
        if stored.key == CONFIGURATION_KEY:
            self._observe_configuration(decode_json(stored.value, Configuration), routes)
            return None
        group = VersionedGroup(stored.version, decode_group(stored.key, stored.value))
        if not group.confirmed:
            return group.group.id
        self._groups.observe(group)
        return None

    def _observe_configuration(self, configuration: Configuration, routes: Routes) -> None:
        base = routes.current
        # The operator's number never decreases; the store's revisions go back when it is restored
        # from an older copy.
        newer = VersionedConfiguration(configuration.version, configuration)
        activated = self._exchange.observe_configuration(newer)
        if activated and self._membership.own_member() is not None:
            self._relay.broadcast(build_configuration_publish(base, newer), self._duty.rank)

    def _observe_in_group(self, stored: StoredObject) -> None:
        own_group_id = self._membership.own_group_id
        view = self._groups.view(own_group_id) if own_group_id is not None else None
        if stored.key.startswith("entries/"):
            entry = VersionedEntry(stored.version, _decode_entry(stored.key, stored.value))
            if self._catalogue.observe(entry) and view is not None:
                self._groups.publish_to_members(view, Publish(entries=(entry,)))
        elif own_group_id is not None and stored.key == own_group_id.object_key:
            group = VersionedGroup(stored.version, decode_group(stored.key, stored.value))
            if self._groups.observe(group):
                self._groups.publish_to_members(group, build_publish(view, group))


def _decode_entry(key: str, value: bytes) -> Entry:
    entry = decode_json(value, Entry)
    if key != entry_object_key(entry.service):
        raise MalformedMessageError(f"the object contains the entry of {entry.service!r}")
    return entry
