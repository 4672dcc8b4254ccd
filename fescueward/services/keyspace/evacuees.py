"""Key ranges that leave an evacuated failure domain.

Answers the load of a third of all keys that move within seconds: the hottest go first, each to the
member that has most room then, and no round writes more handovers than their owners finish in it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from ...messages import Group, Member
from ...messages.group import KeyRange
from ...messages.peer import RangeLoad
from . import moves
from .member_loads import range_work

# Ranges that one round hands over, or half of those that are left if these are more. With some
# hundreds of ranges the last round begins within half of the bound of an evacuation.
_MIN_RANGES_PER_ROUND = 16
# Parts that a member's share of the keys is cut into, so that the receivers get about as many.
_PARTS_PER_SHARE = 2
# Loads that are equal to this many digits are compared by keys.
_LOAD_DIGITS = 2


@dataclass(frozen=True, slots=True)
class _Part:
    """A part of an evacuated range, and its work in slots."""

    key_range: KeyRange
    work: float


def with_evacuees_moved(
    group: Group, evacuated: frozenset[str], reports: dict[str, RangeLoad]
) -> Group:
    """Returns the group with successors set for ranges of evacuated failure domains.

    Successors in such a domain are replaced. A range keeps its owner until that has released it.

    Args:
        group: The group.
        evacuated: Evacuated failure domains.
        reports: Measured work by member id. Members without a report get ranges only if no member
            has one.

    Returns:
        The changed group, or the group itself if no range has to move or no member is left.
    """
    if not evacuated or not any(
        member.failure_domain in evacuated for member in group.members.values()
    ):
        return group
    members = moves.active_members(group, evacuated)
    if not members:
        return group
    members = tuple(member for member in members if member.id in reports) or members
    staying: list[KeyRange] = []
    moving: list[KeyRange] = []
    fence = group.fence + 1
    for key_range in group.ranges:
        if moves.is_evacuated(group, key_range.successor, evacuated):
            key_range = moves.without_successor(key_range, fence)
        leaves = key_range.successor is None and moves.is_evacuated(
            group, key_range.owner, evacuated
        )
        (moving if leaves else staying).append(key_range)
    parts = _parts(group, moving, reports)
    parts.sort(key=lambda part: (-part.work, part.key_range.first))
    count = max(_MIN_RANGES_PER_ROUND, (len(parts) + 1) // 2)
    given = _assign(parts[:count], members, staying, reports)
    later = [part.key_range for part in parts[count:]]
    changed = moves.with_ranges(group, [*staying, *given, *later], fence)
    return group if changed.ranges == group.ranges else changed


def _parts(group: Group, moving: list[KeyRange], reports: dict[str, RangeLoad]) -> list[_Part]:
    """Cuts ranges at blocks into parts that can be divided evenly.

    The width does not depend on what is left, so later rounds cut no finer than the first.
    """
    share_keys = moves.KEY_COUNT // len(moves.active_members(group))
    blocks = share_keys // (_PARTS_PER_SHARE * moves.BLOCK_KEYS)
    width = max(blocks, 1) * moves.BLOCK_KEYS
    parts: list[_Part] = []
    for key_range in moving:
        report = reports.get(key_range.owner or "")
        first = key_range.first
        while first <= key_range.last:
            last = min((first + width) // moves.BLOCK_KEYS * moves.BLOCK_KEYS - 1, key_range.last)
            part = replace(key_range, first=first, last=last)
            work = range_work(part, report) if report is not None else 0.0
            parts.append(_Part(part, work))
            first = last + 1
    return parts


def _assign(
    parts: list[_Part],
    members: tuple[Member, ...],
    staying: list[KeyRange],
    reports: dict[str, RangeLoad],
) -> list[KeyRange]:
    """Gives each part to the member that then has the lowest load, and of these fewest keys."""
    loads = {
        member.id: reports[member.id].utilisation if member.id in reports else 0.0
        for member in members
    }
    key_counts = dict.fromkeys(loads, 0.0)
    slots = {member.id: max(member.slots, 1) for member in members}
    for key_range in staying:
        holder_id = key_range.successor or key_range.owner
        if holder_id in key_counts:
            key_counts[holder_id] += key_range.width / slots[holder_id]
    given: list[KeyRange] = []
    for part in parts:
        receiver_id = min(
            loads,
            key=lambda id_: (
                round(loads[id_] + part.work / slots[id_], _LOAD_DIGITS),
                key_counts[id_],
                id_,
            ),
        )
        loads[receiver_id] += part.work / slots[receiver_id]
        key_counts[receiver_id] += part.key_range.width / slots[receiver_id]
        given.append(replace(part.key_range, successor=receiver_id))
    return given
