"""Differences between two versions of a group or of the configuration.

A group of 39 members with key ranges takes 20 to 30 KB and a configuration of 1,000 routes 180 KB,
more than the window of a peer stream, while most versions change one member or a few ranges or
routes, so agents publish deltas where they can.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field, replace
from operator import attrgetter
from typing import Annotated, TypeVar

from msgspec import Meta

from .configuration import (
    CallerLimits,
    Configuration,
    Route,
    ServiceSpec,
    VersionedConfiguration,
)
from .group import Fingerprint, GroupId, KeyRange, Member, RecordedCrashes, Shard, VersionedGroup

Named = TypeVar("Named", Route, ServiceSpec)
Name = TypeVar("Name", str, int)
Item = TypeVar("Item")

_FIRST_KEY_OF = attrgetter("first")
_LAST_KEY_OF = attrgetter("last")


@dataclass(frozen=True, slots=True)
class GroupDelta:
    """Difference between two versions of a group.

    Attributes:
        service: Service of the group.
        number: Number of the group.
        base: Version that the delta applies to.
        version: Version that results from it.
        recovery: `Group.recovery` of the newer version.
        edit_id: `Group.edit_id` of the newer version.
        fence: `Group.fence` of the newer version.
        members: Members that were added or changed.
        removed: Ids of the members that were removed.
        shards: Changed shards by id.
        ranges: Changed key ranges; each replaces the ranges with which it shares keys.
        era: `Group.era` of the newer version.
        written_on: `Group.written_on` of the newer version.
        recovering: `Group.recovering` of the newer version.
        departures: Departures that were added or changed.
        removed_departures: Instance ids whose departures were removed.
        crashes: Records of crashes that were added or changed.
        removed_crashes: Fingerprints whose records were removed.
    """

    service: str
    number: Annotated[int, Meta(ge=0)]
    base: Annotated[int, Meta(ge=0)]
    version: Annotated[int, Meta(ge=0)]
    recovery: int = 0
    edit_id: str = ""
    fence: Annotated[int, Meta(ge=0)] = 0
    members: tuple[Member, ...] = ()
    removed: tuple[str, ...] = ()
    shards: dict[Annotated[int, Meta(ge=0)], Shard] = field(default_factory=dict)
    ranges: tuple[KeyRange, ...] = ()
    era: Annotated[int, Meta(ge=0)] = 0
    written_on: Annotated[int, Meta(ge=0)] = 0
    recovering: Annotated[int, Meta(ge=0)] = 0
    departures: dict[str, Annotated[int, Meta(ge=0)]] = field(default_factory=dict)
    removed_departures: tuple[str, ...] = ()
    crashes: dict[Fingerprint, RecordedCrashes] = field(default_factory=dict)
    removed_crashes: tuple[Fingerprint, ...] = ()

    @property
    def group(self) -> GroupId:
        """Service and number of the group that changes."""
        return GroupId(self.service, self.number)

    def apply_to(self, base: VersionedGroup) -> VersionedGroup | None:
        """Returns the newer version, or None if `base` is not what the delta applies to."""
        group = base.group
        if (group.id, base.version) != (self.group, self.base):
            return None
        members = {member.id: member for member in self.members}
        shards = group.shards
        if self.shards:
            shards = tuple(self.shards.get(number, shard) for number, shard in enumerate(shards))
        changed = replace(
            group,
            members=_merge(group.members, members, self.removed),
            shards=shards,
            recovery=self.recovery,
            edit_id=self.edit_id,
            ranges=_replace_ranges(group.ranges, self.ranges),
            fence=self.fence,
            era=self.era,
            written_on=self.written_on,
            recovering=self.recovering,
            departures=_merge(group.departures, self.departures, self.removed_departures),
            crashes=_merge(group.crashes, self.crashes, self.removed_crashes),
        )
        return VersionedGroup(self.version, changed)


def group_delta(base: VersionedGroup, newer: VersionedGroup) -> GroupDelta | None:
    """Returns the delta from one version to another, or None if it needs the whole group.

    A delta cannot express a change of exceptions or of the number of shards, nor the removal of
    all key ranges.
    """
    before, after = base.group, newer.group
    if (
        (before.id, before.shard_count, before.exceptions)
        != (after.id, after.shard_count, after.exceptions)
        or len(before.shards) != len(after.shards)
        or (before.ranges and not after.ranges)
    ):
        return None
    base_ranges = set(before.ranges)
    return GroupDelta(
        service=after.service,
        number=after.number,
        base=base.version,
        version=newer.version,
        recovery=after.recovery,
        edit_id=after.edit_id,
        fence=after.fence,
        members=tuple(_changed(before.members, after.members).values()),
        removed=_removed(before.members, after.members),
        shards={
            number: shard
            for number, (old, shard) in enumerate(zip(before.shards, after.shards, strict=True))
            if old != shard
        },
        ranges=tuple(key_range for key_range in after.ranges if key_range not in base_ranges),
        era=after.era,
        written_on=after.written_on,
        recovering=after.recovering,
        departures=_changed(before.departures, after.departures),
        removed_departures=_removed(before.departures, after.departures),
        crashes=_changed(before.crashes, after.crashes),
        removed_crashes=_removed(before.crashes, after.crashes),
    )


@dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """Difference between two versions of the configuration.

    Attributes:
        base: Version that the delta applies to.
        version: Version that results from it.
        number: `Configuration.version` of the newer version.
        routes: Routes that were added or changed.
        removed: Names of the routes that were removed.
        services: Services that were added or changed.
        removed_services: Names of the services that were removed.
        limits: Limits on callers of the newer version.
        places: Index of each added route in the newer version, in ascending order; empty if they
            follow all others.
    """

    base: Annotated[int, Meta(ge=0)]
    version: Annotated[int, Meta(ge=0)]
    number: Annotated[int, Meta(ge=0)]
    routes: tuple[Route, ...] = ()
    removed: tuple[str, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    removed_services: tuple[str, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    places: tuple[Annotated[int, Meta(ge=0)], ...] = ()

    def apply_to(self, base: VersionedConfiguration) -> VersionedConfiguration | None:
        """Returns the newer version, or None if `base` is not what the delta applies to."""
        if base.version != self.base:
            return None
        current = base.configuration
        routes = _merge(current.routes, _by_name(self.routes), self.removed)
        if self.places:
            added = [route.name for route in self.routes if route.name not in current.routes]
            routes = _moved(routes, dict(zip(self.places, added, strict=False)))
        configuration = Configuration(
            self.number,
            routes,
            _merge(current.services, _by_name(self.services), self.removed_services),
            self.limits,
        )
        return VersionedConfiguration(self.version, configuration)


def configuration_delta(
    base: VersionedConfiguration, newer: VersionedConfiguration
) -> ConfigurationDelta | None:
    """Returns the delta from one version to another, or None if it needs the whole configuration.

    A delta cannot express a change in the order of routes that both versions have, nor a route or
    service that is listed under another name than its own.
    """
    before, after = base.configuration, newer.configuration
    places = tuple(place for place, name in enumerate(after.routes) if name not in before.routes)
    if places == tuple(range(len(after.routes) - len(places), len(after.routes))):
        places = ()
    delta = ConfigurationDelta(
        base=base.version,
        version=newer.version,
        number=after.version,
        routes=tuple(_changed(before.routes, after.routes).values()),
        removed=_removed(before.routes, after.routes),
        services=tuple(_changed(before.services, after.services).values()),
        removed_services=_removed(before.services, after.services),
        limits=after.limits,
        places=places,
    )
    applied = delta.apply_to(base)
    # Of two routes that match the same requests the first is used, so the order must not change.
    if applied != newer or list(applied.configuration.routes) != list(after.routes):
        return None
    return delta


def _by_name(items: tuple[Named, ...]) -> dict[str, Named]:
    return {item.name: item for item in items}


def _changed(before: dict[Name, Item], after: dict[Name, Item]) -> dict[Name, Item]:
    """Returns the items that were added or changed."""
    return {name: item for name, item in after.items() if before.get(name) != item}


def _removed(before: dict[Name, Item], after: dict[Name, Item]) -> tuple[Name, ...]:
    return tuple(name for name in before if name not in after)


def _merge(
    current: dict[Name, Item], changed: dict[Name, Item], removed: tuple[Name, ...]
) -> dict[Name, Item]:
    if not changed and not removed:
        return current
    removed_names = frozenset(removed)
    remaining = {name: item for name, item in current.items() if name not in removed_names}
    return remaining | changed


def _moved(items: dict[Name, Item], names_by_place: dict[int, Name]) -> dict[Name, Item]:
    """Moves some items to given places; the others keep their order, and all are kept."""
    moved = frozenset(names_by_place.values())
    names = [name for name in items if name not in moved]
    for place, name in names_by_place.items():
        names.insert(place, name)
    return {name: items[name] for name in names}


def _replace_ranges(
    ranges: tuple[KeyRange, ...], changed: tuple[KeyRange, ...]
) -> tuple[KeyRange, ...]:
    """Replaces each range that shares keys with a changed one; both are in ascending order."""
    if not changed:
        return ranges
    result: list[KeyRange] = []
    index = 0
    for key_range in changed:
        start = bisect_left(ranges, key_range.first, lo=index, key=_LAST_KEY_OF)
        result += ranges[index:start]
        result.append(key_range)
        index = bisect_right(ranges, key_range.last, lo=start, key=_FIRST_KEY_OF)
    result += ranges[index:]
    return tuple(result)
