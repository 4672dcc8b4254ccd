"""Changes of key range ownership, as pure functions on group objects."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable, Mapping
from dataclasses import replace
from types import MappingProxyType

from ...messages import Group, Member, MemberState
from ...messages.group import LAST_KEY, KeyRange

KEY_COUNT = LAST_KEY + 1
# Keys in a block, the unit of measured load and of moves; hot keys are adjacent.
BLOCK_KEYS = 8
# A range of at most this many blocks was cut out because its keys were hot.
SMALL_RANGE_BLOCKS = 8
# Smallest part, in keys, that a range is split into when its load is unknown.
_MIN_PART_KEYS = 64
# Smallest fraction of a new member's share that comes from one source, so that about four
# handovers complete the share.
_MIN_SOURCE_SHARE = 0.25
# Fraction of its own share that a source retains when it gives keys to a new member.
_MIN_RETAINED_SHARE = 0.75

_ALL_SLOTS: Mapping[str, float] = MappingProxyType({})

RangeChange = Callable[[KeyRange], KeyRange]

# Failure domains whose members get no keys; the default of the functions that assign keys.
NO_DOMAINS: frozenset[str] = frozenset()


def active_members(group: Group, evacuated: frozenset[str] = NO_DOMAINS) -> tuple[Member, ...]:
    """Returns the members in the state `active`, which may be assigned keys, by member id.

    Args:
        group: The group.
        evacuated: Failure domains whose members are left out.
    """
    return tuple(
        group.members[member_id]
        for member_id in sorted(group.members)
        if group.members[member_id].state is MemberState.ACTIVE
        and group.members[member_id].failure_domain not in evacuated
    )


def is_evacuated(group: Group, member_id: str | None, evacuated: frozenset[str]) -> bool:
    """Returns whether a member of the group is in one of the evacuated failure domains."""
    member = group.members.get(member_id or "")
    return member is not None and member.failure_domain in evacuated


def merged(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Merges adjacent ranges that are equal apart from their bounds."""
    merged_ranges: list[KeyRange] = []
    for key_range in ranges:
        if merged_ranges and _continues(merged_ranges[-1], key_range):
            merged_ranges[-1] = replace(merged_ranges[-1], last=key_range.last)
        else:
            merged_ranges.append(key_range)
    return tuple(merged_ranges)


def _continues(previous: KeyRange, key_range: KeyRange) -> bool:
    """Whether a range begins where the previous one ends and is equal apart from its bounds."""
    return (
        previous.last + 1 == key_range.first
        and previous.owner == key_range.owner
        and previous.epoch == key_range.epoch
        and previous.successor == key_range.successor
        and previous.handover == key_range.handover
    )


def compacted(group: Group) -> Group:
    """Merges adjacent ranges of the same owner at the higher of their epochs.

    Each range has a grant of its own, which is renewed several times per lease period. The epoch
    stays above that of every other owner of the keys. Handover tokens are dropped, so the ranges
    must already have been granted.
    """
    merged_ranges: list[KeyRange] = []
    for key_range in group.ranges:
        previous = merged_ranges[-1] if merged_ranges else None
        if (
            previous is not None
            and previous.owner is not None
            and previous.owner == key_range.owner
            and previous.successor is None
            and key_range.successor is None
        ):
            epoch = max(previous.epoch, key_range.epoch)
            merged_ranges[-1] = replace(previous, last=key_range.last, epoch=epoch, handover="")
        else:
            merged_ranges.append(key_range)
    return replace(group, ranges=tuple(merged_ranges))


def change_keys(
    ranges: tuple[KeyRange, ...], first: int, last: int, change: RangeChange
) -> tuple[KeyRange, ...]:
    """Changes the keys from `first` to `last` and splits the ranges that they are part of."""
    parts: list[KeyRange] = []
    for key_range in ranges:
        low, high = max(key_range.first, first), min(key_range.last, last)
        if low > high:
            parts.append(key_range)
            continue
        if key_range.first < low:
            parts.append(replace(key_range, last=low - 1))
        parts.append(change(replace(key_range, first=low, last=high)))
        if high < key_range.last:
            parts.append(replace(key_range, first=high + 1))
    return tuple(parts)


def distribute(
    group: Group,
    unassigned: list[KeyRange],
    assign_part: Callable[[KeyRange, str], KeyRange],
    evacuated: frozenset[str] = NO_DOMAINS,
) -> list[KeyRange]:
    """Distributes ranges so that each active member gets close to its share of all keys.

    Shares are proportional to the slots of the members.

    Args:
        group: The group; its other ranges count for their successors or else their owners.
        unassigned: Ranges to distribute; parts are not split below a minimum width.
        assign_part: Called with a part and a member id; returns the part as it is assigned.
        evacuated: Failure domains whose members get no keys.

    Returns:
        The assigned parts, or `unassigned` unchanged if no member may get keys.
    """
    members = active_members(group, evacuated)
    if not members:
        return unassigned
    key_counts = dict.fromkeys((member.id for member in members), 0)
    unassigned_bounds = {(key_range.first, key_range.last) for key_range in unassigned}
    for key_range in group.ranges:
        holder_id = key_range.successor or key_range.owner
        if (key_range.first, key_range.last) not in unassigned_bounds and holder_id in key_counts:
            key_counts[holder_id] += key_range.width
    total_slots = sum(member.slots for member in members)
    target_counts = {member.id: KEY_COUNT * member.slots // total_slots for member in members}
    parts: list[KeyRange] = []
    for key_range in unassigned:
        remainder = key_range
        while True:
            member_id = min(
                key_counts,
                key=lambda candidate: (
                    key_counts[candidate] - target_counts[candidate],
                    candidate,
                ),
            )
            part_keys = max(target_counts[member_id] - key_counts[member_id], _MIN_PART_KEYS)
            if part_keys + _MIN_PART_KEYS >= remainder.width:
                key_counts[member_id] += remainder.width
                parts.append(assign_part(remainder, member_id))
                break
            part = replace(remainder, last=remainder.first + part_keys - 1)
            remainder = replace(remainder, first=part.last + 1)
            key_counts[member_id] += part.width
            parts.append(assign_part(part, member_id))
    return parts


def with_new_member_shares(
    group: Group,
    reachable_ids: Container[str],
    usable_shares: Mapping[str, float] = _ALL_SLOTS,
    growing_ids: Container[str] = (),
    evacuated: frozenset[str] = NO_DOMAINS,
) -> Group:
    """Returns the group with successors set so that members without keys get their shares.

    Members that joined together get their shares in the same change. Each share comes from few
    sources, those with the largest surplus first, which keeps ranges and handovers few.

    Args:
        group: The group.
        reachable_ids: Ids of the members that can take part in a handover now.
        usable_shares: Share of their slots that members with a limited rate can use, by member
            id. They get only as many keys.
        growing_ids: Ids of the members that were given part of their share; they get the rest
            once their rate is not limited any more.
        evacuated: Failure domains whose members take no part.
    """
    members = active_members(group, evacuated)
    key_counts = dict.fromkeys((member.id for member in members), 0)
    for key_range in group.ranges:
        holder_id = key_range.successor or key_range.owner
        if holder_id in key_counts:
            key_counts[holder_id] += key_range.width
    total_slots = sum(member.slots for member in members)
    target_counts = {member.id: KEY_COUNT * member.slots // total_slots for member in members}
    for member in members:
        grows = member.id in growing_ids and member.id not in usable_shares
        if member.id in reachable_ids and (key_counts[member.id] == 0 or grows):
            target = int(target_counts[member.id] * usable_shares.get(member.id, 1.0))
            targets = {**target_counts, member.id: target}
            group = _with_member_share(group, member.id, targets, key_counts, reachable_ids)
    return group


def _with_member_share(
    group: Group,
    receiver_id: str,
    target_counts: dict[str, int],
    key_counts: dict[str, int],
    reachable_ids: Container[str],
) -> Group:
    """Makes a member the successor of about its share of the keys and updates `key_counts`."""
    source_ids = [
        candidate
        for candidate in key_counts
        if candidate != receiver_id and key_counts[candidate] and candidate in reachable_ids
    ]
    min_keys = max(BLOCK_KEYS, int(target_counts[receiver_id] * _MIN_SOURCE_SHARE / 4))
    while source_ids and key_counts[receiver_id] + min_keys < target_counts[receiver_id]:
        source_id = max(
            source_ids,
            key=lambda candidate: (key_counts[candidate] - target_counts[candidate], candidate),
        )
        missing_keys = target_counts[receiver_id] - key_counts[receiver_id]
        surplus_keys = key_counts[source_id] - target_counts[source_id]
        moved_keys = max(surplus_keys, int(target_counts[receiver_id] * _MIN_SOURCE_SHARE))
        moved_keys = min(
            moved_keys,
            missing_keys,
            key_counts[source_id] - int(target_counts[source_id] * _MIN_RETAINED_SHARE),
        )
        movable = [
            key_range
            for key_range in group.ranges
            if key_range.owner == source_id and not key_range.successor
        ]
        widest = max(movable, key=lambda key_range: key_range.width, default=None)
        if widest is not None:
            moved_keys = min(moved_keys, widest.width - BLOCK_KEYS)
        if widest is None or moved_keys < min_keys:
            source_ids.remove(source_id)
            continue
        # Moves are aligned to blocks.
        first = (widest.last + 1 - moved_keys) // BLOCK_KEYS * BLOCK_KEYS
        ranges = change_keys(
            group.ranges,
            first,
            widest.last,
            lambda key_range: replace(key_range, successor=receiver_id),
        )
        group = with_ranges(group, ranges)
        key_counts[source_id] -= widest.last + 1 - first
        key_counts[receiver_id] += widest.last + 1 - first
    return group


def with_ranges(group: Group, ranges: Iterable[KeyRange], fence: int | None = None) -> Group:
    """Returns the group with its ranges replaced, which are sorted and merged."""
    ordered = merged(sorted(ranges, key=lambda key_range: key_range.first))
    return replace(group, ranges=ordered, fence=group.fence if fence is None else fence)


def with_transferred_ranges(group: Group, earlier_ids: frozenset[str], member_id: str) -> Group:
    """Transfers the ranges of earlier incarnations on the same VM to the current one.

    The upstream on the VM is the same or a new one at its address, so no other upstream can have
    a grant for them.
    """
    if not any(
        key_range.owner in earlier_ids or key_range.successor in earlier_ids
        for key_range in group.ranges
    ):
        return group
    fence = group.fence + 1
    ranges = []
    for key_range in group.ranges:
        if key_range.owner in earlier_ids:
            key_range = replace(key_range, owner=member_id, epoch=fence, handover="")
        if key_range.successor in earlier_ids:
            key_range = replace(
                key_range, successor=None if key_range.owner == member_id else member_id
            )
        ranges.append(key_range)
    return with_ranges(group, ranges, fence)


def with_raised_epochs(group: Group, member_id: str) -> Group:
    """Raises the epochs of a member whose upstream was restarted and has lost its grants."""
    fence = group.fence + 1
    ranges = [
        replace(key_range, epoch=fence, handover="") if key_range.owner == member_id else key_range
        for key_range in group.ranges
    ]
    return with_ranges(group, ranges, fence)


def without_members(
    group: Group, lost: frozenset[str], evacuated: frozenset[str] = NO_DOMAINS
) -> Group:
    """Removes lost members and assigns their ranges to their successors or to other members.

    A successor in an evacuated failure domain takes over nothing.
    """
    members = {
        member_id: replace(
            member,
            monitors=tuple(monitor_id for monitor_id in member.monitors if monitor_id not in lost),
        )
        for member_id, member in group.members.items()
        if member_id not in lost
    }
    group = replace(group, members=members)
    fence = group.fence + 1
    owned_ranges: list[KeyRange] = []
    unowned_ranges: list[KeyRange] = []
    for key_range in group.ranges:
        if key_range.successor in lost or is_evacuated(group, key_range.successor, evacuated):
            key_range = without_successor(key_range, fence)
        if key_range.owner is not None and key_range.owner in lost:
            if key_range.successor is not None:
                owned_ranges.append(_with_owner(key_range, key_range.successor, fence))
            else:
                unowned_ranges.append(replace(key_range, owner=None))
        else:
            owned_ranges.append(key_range)
    group = replace(
        group,
        ranges=tuple(sorted([*owned_ranges, *unowned_ranges], key=lambda item: item.first)),
    )
    assigned_parts = distribute(
        group,
        unowned_ranges,
        lambda part, member_id: _with_owner(part, member_id, fence),
        evacuated,
    )
    return with_ranges(group, [*owned_ranges, *assigned_parts], fence)


def assigned(group: Group, evacuated: frozenset[str] = NO_DOMAINS) -> Group:
    """Assigns the ranges without an owner, at first all keys, to the active members."""
    fence = group.fence + 1
    ranges = group.ranges or (KeyRange(0, LAST_KEY),)
    group = replace(group, ranges=ranges)
    unowned_ranges = [key_range for key_range in ranges if key_range.owner is None]
    owned_ranges = [key_range for key_range in ranges if key_range.owner is not None]
    if not unowned_ranges or not active_members(group, evacuated):
        return group
    assigned_parts = distribute(
        group,
        unowned_ranges,
        lambda part, member_id: _with_owner(part, member_id, fence),
        evacuated,
    )
    return with_ranges(group, [*owned_ranges, *assigned_parts], fence)


def with_successors(group: Group, member_id: str, evacuated: frozenset[str] = NO_DOMAINS) -> Group:
    """Sets successors for all ranges of a member in the state `leaving`."""
    leaving_ranges = [
        key_range
        for key_range in group.ranges
        if key_range.owner == member_id and key_range.successor is None
    ]
    if not leaving_ranges or not active_members(group, evacuated):
        return group
    other_ranges = [key_range for key_range in group.ranges if key_range not in leaving_ranges]
    fence = group.fence + 1
    other_ranges = [
        without_successor(key_range, fence) if key_range.successor == member_id else key_range
        for key_range in other_ranges
    ]
    assigned_parts = distribute(
        group,
        leaving_ranges,
        lambda part, successor_id: replace(part, successor=successor_id),
        evacuated,
    )
    return with_ranges(group, [*other_ranges, *assigned_parts], fence)


def without_successor(key_range: KeyRange, fence: int) -> KeyRange:
    """Returns a range whose handover is cancelled, so that its owner keeps it.

    The owner may have asked its upstream for the release. Without a new epoch, the late response
    would be taken for that of a later handover of the same keys.
    """
    return replace(key_range, successor=None, epoch=fence, handover="")


def handed_over(group: Group, released: dict[tuple[int, int, int], str], owner_id: str) -> Group:
    """Makes the successors the owners of ranges that their owner has released.

    Args:
        group: The group; ranges that have changed since the release are left unchanged.
        released: Handover tokens by first key, last key and epoch.
        owner_id: Member id of the owner that released the ranges.
    """
    fence = group.fence + 1
    ranges = []
    for key_range in group.ranges:
        token = released.get((key_range.first, key_range.last, key_range.epoch))
        if token is not None and key_range.owner == owner_id:
            # If the successor was lost meanwhile, the owner keeps the keys under a new epoch.
            key_range = replace(
                _with_owner(key_range, key_range.successor or owner_id, fence), handover=token
            )
        ranges.append(key_range)
    if tuple(ranges) == group.ranges:
        return group
    return with_ranges(group, ranges, fence)


def _with_owner(key_range: KeyRange, member_id: str, fence: int) -> KeyRange:
    return replace(key_range, owner=member_id, epoch=fence, successor=None, handover="")
