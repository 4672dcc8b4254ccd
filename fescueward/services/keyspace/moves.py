"""Changes of key ranges; pure functions on group objects."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable
from dataclasses import replace

from ...messages import Group, Member, MemberState
from ...messages.group import LAST_KEY, KeyRange

KEYS = LAST_KEY + 1
# Keys of one block, the unit of measured load and of a move: hot keys are neighbours.
BLOCK_KEYS = 8
# Narrowest part that a range without known load is cut into, in keys.
_LEAST_WIDTH = 64
# Least part of a new member's share that one member gives: four handovers bring it its share.
_LEAST_SHARE_PART = 0.25
# Part of its own share that a member keeps when it gives to a new one.
_LEAST_SHARE_LEFT = 0.75

Change = Callable[[KeyRange], KeyRange]


def active_members(group: Group) -> tuple[Member, ...]:
    """Returns the members that may get keys, by id."""
    return tuple(
        group.members[member_id]
        for member_id in sorted(group.members)
        if group.members[member_id].state is MemberState.ACTIVE
    )


def merged(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Joins neighbours that differ in their bounds alone."""
    joined: list[KeyRange] = []
    for found in ranges:
        if joined and joined[-1].last + 1 == found.first:
            candidate = replace(joined[-1], last=found.last)
            if candidate == replace(found, first=joined[-1].first):
                joined[-1] = candidate
                continue
        joined.append(found)
    return tuple(joined)


def compacted(group: Group) -> Group:
    """Joins neighbours with one owner at the higher of their epochs.

    Each range is a grant of its own, which is renewed several times in the time of a lease. The
    epoch stays above that of every other owner of the keys. A handover token is dropped, so the
    neighbours must have been granted before.
    """
    joined: list[KeyRange] = []
    for found in group.ranges:
        last = joined[-1] if joined else None
        if (
            last is not None
            and last.owner is not None
            and last.owner == found.owner
            and last.successor is None
            and found.successor is None
        ):
            epoch = max(last.epoch, found.epoch)
            joined[-1] = replace(last, last=found.last, epoch=epoch, handover="")
        else:
            joined.append(found)
    return replace(group, ranges=tuple(joined))


def cut(
    ranges: tuple[KeyRange, ...], first: int, last: int, change: Change
) -> tuple[KeyRange, ...]:
    """Changes the keys from `first` to `last` and divides the ranges that they lie in."""
    parts: list[KeyRange] = []
    for found in ranges:
        low, high = max(found.first, first), min(found.last, last)
        if low > high:
            parts.append(found)
            continue
        if found.first < low:
            parts.append(replace(found, last=low - 1))
        parts.append(change(replace(found, first=low, last=high)))
        if high < found.last:
            parts.append(replace(found, first=high + 1))
    return tuple(parts)


def deal(
    group: Group, open_ranges: list[KeyRange], give: Callable[[KeyRange, str], KeyRange]
) -> list[KeyRange]:
    """Divides ranges among the active members so that each gets near its even share of all keys.

    Args:
        group: The group; its other ranges count as held by their owners or successors.
        open_ranges: Ranges to give away; none of them is divided below a small width.
        give: Returns the part of a range that a member gets.

    Returns:
        The parts; ranges stay as they are if no member is active.
    """
    members = active_members(group)
    if not members:
        return open_ranges
    taken = dict.fromkeys((member.id for member in members), 0)
    waiting = {(found.first, found.last) for found in open_ranges}
    for found in group.ranges:
        holder = found.successor or found.owner
        if (found.first, found.last) not in waiting and holder in taken:
            taken[holder] += found.width
    slots = sum(member.slots for member in members)
    wanted = {member.id: KEYS * member.slots // slots for member in members}
    parts: list[KeyRange] = []
    for found in open_ranges:
        rest = found
        while True:
            member_id = min(taken, key=lambda other: (taken[other] - wanted[other], other))
            room = max(wanted[member_id] - taken[member_id], _LEAST_WIDTH)
            if room + _LEAST_WIDTH >= rest.width:
                taken[member_id] += rest.width
                parts.append(give(rest, member_id))
                break
            part = replace(rest, last=rest.first + room - 1)
            rest = replace(rest, first=part.last + 1)
            taken[member_id] += part.width
            parts.append(give(part, member_id))
    return parts


def levelled(group: Group, reachable: Container[str]) -> Group:
    """Returns the group with successors set for the shares of members that hold no keys.

    Members that joined together get their shares together. Each share comes from few members, at
    first from those with the most keys, so that ranges and handovers stay few.

    Args:
        group: The group.
        reachable: Ids of the members that can give or take keys now.
    """
    members = active_members(group)
    held = dict.fromkeys((member.id for member in members), 0)
    for found in group.ranges:
        holder = found.successor or found.owner
        if holder in held:
            held[holder] += found.width
    slots = sum(member.slots for member in members)
    wanted = {member.id: KEYS * member.slots // slots for member in members}
    for member in members:
        if held[member.id] == 0 and member.id in reachable:
            group = _with_share(group, member.id, wanted, held, reachable)
    return group


def _with_share(
    group: Group,
    taker: str,
    wanted: dict[str, int],
    held: dict[str, int],
    reachable: Container[str],
) -> Group:
    """Sets a member as the successor of about its share of the keys and adds them to `held`."""
    sources = [other for other in held if other != taker and held[other] and other in reachable]
    least = max(BLOCK_KEYS, int(wanted[taker] * _LEAST_SHARE_PART / 4))
    while sources and held[taker] + least < wanted[taker]:
        source = max(sources, key=lambda other: (held[other] - wanted[other], other))
        missing = wanted[taker] - held[taker]
        spare = held[source] - wanted[source]
        part = max(spare, int(wanted[taker] * _LEAST_SHARE_PART))
        part = min(part, missing, held[source] - int(wanted[source] * _LEAST_SHARE_LEFT))
        still = [found for found in group.ranges if found.owner == source and not found.successor]
        widest = max(still, key=lambda found: found.width, default=None)
        if widest is not None:
            part = min(part, widest.width - BLOCK_KEYS)
        if widest is None or part < least:
            sources.remove(source)
            continue
        # Blocks are not divided.
        first = (widest.last + 1 - part) // BLOCK_KEYS * BLOCK_KEYS
        ranges = cut(
            group.ranges, first, widest.last, lambda found: replace(found, successor=taker)
        )
        group = with_ranges(group, ranges)
        held[source] -= widest.last + 1 - first
        held[taker] += widest.last + 1 - first
    return group


def with_ranges(group: Group, ranges: Iterable[KeyRange], fence: int | None = None) -> Group:
    """Returns the group with other ranges, in ascending order."""
    ordered = merged(sorted(ranges, key=lambda found: found.first))
    return replace(group, ranges=ordered, fence=group.fence if fence is None else fence)


def inherit(group: Group, old: frozenset[str], member_id: str) -> Group:
    """Gives the ranges of earlier incarnations on the same VM to the present one.

    The upstream on the VM is the same or a new one at its address, so no other can hold them.
    """
    if not any(found.owner in old or found.successor in old for found in group.ranges):
        return group
    fence = group.fence + 1
    ranges = []
    for found in group.ranges:
        if found.owner in old:
            found = replace(found, owner=member_id, epoch=fence, handover="")
        if found.successor in old:
            found = replace(found, successor=None if found.owner == member_id else member_id)
        ranges.append(found)
    return with_ranges(group, ranges, fence)


def with_raised_epochs(group: Group, member_id: str) -> Group:
    """Raises the epochs of a member whose upstream has started anew and holds nothing."""
    fence = group.fence + 1
    ranges = [
        replace(found, epoch=fence, handover="") if found.owner == member_id else found
        for found in group.ranges
    ]
    return with_ranges(group, ranges, fence)


def without_members(group: Group, lost: frozenset[str]) -> Group:
    """Removes members and gives their ranges to others."""
    members = {
        member_id: replace(
            member, monitors=tuple(other for other in member.monitors if other not in lost)
        )
        for member_id, member in group.members.items()
        if member_id not in lost
    }
    group = replace(group, members=members)
    fence = group.fence + 1
    kept: list[KeyRange] = []
    orphans: list[KeyRange] = []
    for found in group.ranges:
        if found.successor in lost:
            found = replace(found, successor=None)
        if found.owner is not None and found.owner in lost:
            if found.successor is not None:
                kept.append(_owned(found, found.successor, fence))
            else:
                orphans.append(replace(found, owner=None))
        else:
            kept.append(found)
    group = replace(group, ranges=tuple(sorted([*kept, *orphans], key=lambda one: one.first)))
    dealt = deal(group, orphans, lambda part, member_id: _owned(part, member_id, fence))
    return with_ranges(group, [*kept, *dealt], fence)


def assigned(group: Group) -> Group:
    """Gives ranges without an owner to the active members."""
    fence = group.fence + 1
    ranges = group.ranges or (KeyRange(0, LAST_KEY),)
    group = replace(group, ranges=ranges)
    orphans = [found for found in ranges if found.owner is None]
    kept = [found for found in ranges if found.owner is not None]
    if not orphans or not active_members(group):
        return group
    dealt = deal(group, orphans, lambda part, member_id: _owned(part, member_id, fence))
    return with_ranges(group, [*kept, *dealt], fence)


def vacated(group: Group, member_id: str) -> Group:
    """Sets successors for all ranges of a member that is in the state `leaving`."""
    going = [
        found for found in group.ranges if found.owner == member_id and found.successor is None
    ]
    if not going or not active_members(group):
        return group
    kept = [found for found in group.ranges if found not in going]
    kept = [
        replace(found, successor=None) if found.successor == member_id else found for found in kept
    ]
    dealt = deal(group, going, lambda part, other: replace(part, successor=other))
    return with_ranges(group, [*kept, *dealt])


def handed_over(group: Group, released: dict[tuple[int, int, int], str], owner: str) -> Group:
    """Makes successors the owners of ranges that their owner has released.

    Args:
        group: The group.
        released: Handover tokens by first key, last key and epoch.
        owner: Member id of the owner that released them.
    """
    fence = group.fence + 1
    ranges = []
    for found in group.ranges:
        token = released.get((found.first, found.last, found.epoch))
        if token is not None and found.owner == owner:
            # A successor that was lost meanwhile leaves the keys here, with a grant of their own.
            found = replace(_owned(found, found.successor or owner, fence), handover=token)
        ranges.append(found)
    if tuple(ranges) == group.ranges:
        return group
    return with_ranges(group, ranges, fence)


def _owned(found: KeyRange, member_id: str, fence: int) -> KeyRange:
    return replace(found, owner=member_id, epoch=fence, successor=None, handover="")
