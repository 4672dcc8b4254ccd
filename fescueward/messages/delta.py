"""What differs between two versions of a group.

A group of 39 members with key ranges takes 20 to 30 KB, more than the window of a peer stream, and
most writes change one member or a few ranges.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field, replace
from typing import Annotated

from msgspec import Meta

from .group import GroupId, KeyRange, Member, Shard, VersionedGroup


@dataclass(frozen=True, slots=True)
class GroupDelta:
    """The parts of a group that a newer version has and an older one has not.

    Attributes:
        service: Service of the group.
        number: Number of the group.
        base: Version that the change applies to.
        version: Version that it leads to.
        recovery: `Group.recovery` of the newer version.
        edit_id: `Group.edit_id` of the newer version.
        fence: `Group.fence` of the newer version.
        members: Members that are new or differ.
        removed: Ids of the members that are gone.
        shards: Shards that differ, by id.
        ranges: Key ranges that differ; each replaces the ranges whose keys it holds.
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

    @property
    def group(self) -> GroupId:
        """The group that changes."""
        return GroupId(self.service, self.number)

    def applied(self, base: VersionedGroup) -> VersionedGroup | None:
        """Returns the newer version, or None if `base` is not the version that it applies to."""
        group = base.group
        if (group.id, base.version) != (self.group, self.base):
            return None
        members = {id_: member for id_, member in group.members.items() if id_ not in self.removed}
        members |= {member.id: member for member in self.members}
        shards = group.shards
        if self.shards:
            shards = tuple(self.shards.get(number, shard) for number, shard in enumerate(shards))
        changed = replace(
            group,
            members=members,
            shards=shards,
            recovery=self.recovery,
            edit_id=self.edit_id,
            ranges=_spliced(group.ranges, self.ranges),
            fence=self.fence,
        )
        return VersionedGroup(self.version, changed)


def group_delta(base: VersionedGroup, newer: VersionedGroup) -> GroupDelta | None:
    """Returns what leads from one version to another, or None if only the whole group tells it."""
    before, after = base.group, newer.group
    if (
        (before.id, before.shard_count, before.exceptions)
        != (after.id, after.shard_count, after.exceptions)
        or len(before.shards) != len(after.shards)
        or (before.ranges and not after.ranges)
    ):
        return None
    known = set(before.ranges)
    return GroupDelta(
        service=after.service,
        number=after.number,
        base=base.version,
        version=newer.version,
        recovery=after.recovery,
        edit_id=after.edit_id,
        fence=after.fence,
        members=tuple(
            member for id_, member in after.members.items() if before.members.get(id_) != member
        ),
        removed=tuple(id_ for id_ in before.members if id_ not in after.members),
        shards={
            number: shard
            for number, (old, shard) in enumerate(zip(before.shards, after.shards, strict=True))
            if old != shard
        },
        ranges=tuple(found for found in after.ranges if found not in known),
    )


def _spliced(ranges: tuple[KeyRange, ...], changed: tuple[KeyRange, ...]) -> tuple[KeyRange, ...]:
    """Replaces the ranges whose keys the changed ones hold; both are in ascending order."""
    if not changed:
        return ranges
    firsts = [found.first for found in changed]

    def is_replaced(found: KeyRange) -> bool:
        index = bisect_right(firsts, found.last) - 1
        return index >= 0 and changed[index].last >= found.first

    kept = [found for found in ranges if not is_replaced(found)]
    return tuple(sorted((*kept, *changed), key=lambda found: found.first))
