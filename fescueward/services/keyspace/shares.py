"""Moves of wide parts of key ranges, which change the members' shares of all keys."""

from __future__ import annotations

from collections.abc import Container

from ...messages import Group
from ...messages.group import KeyRange
from ...messages.peer import RangeLoad
from . import moves
from .member_loads import MemberLoads, hot_work_of, member_loads, set_successor
from .moves import BLOCK_KEYS, SMALL_RANGE_BLOCKS

# A member above this utilisation for seconds has no room for work that takes thrice as long for
# some tenths of a second, as it does now and then.
_LASTING_HIGH_UTILISATION = 0.4
# Factor above the mean from which a lasting difference is worth the time without an owner.
_LASTING_MEAN_FACTOR = 1.5
# Below this mean, chance and the first requests after a start make most of the difference.
_MIN_LASTING_MEAN = 0.25
# A member below this share of the mean takes work also from members that are less far above it.
_IDLE_SHARE = 0.6
_IDLE_MEAN_FACTOR = 1.2
# A member takes a part up to this factor of the mean; most would take too little up to the mean.
_TARGET_MEAN_FACTOR = 1.15
# Smallest part, in keys, that is moved for a lasting difference: not a small range.
_MIN_WIDE_PART_KEYS = 2 * SMALL_RANGE_BLOCKS * BLOCK_KEYS
# A neighbour with room for this share of the work is preferred to the member with most room.
_NEIGHBOUR_SHARE = 0.5
# With more ranges than this, only neighbours get wide parts.
_MAX_RANGES_PER_MEMBER = 3
# Bounds the keys that are taken to have next to no work.
_MIN_WORK_PER_KEY = 1e-6


def evened(
    group: Group,
    reports: dict[str, RangeLoad],
    givers: Container[str] = (),
    receivers: Container[str] = (),
    evacuated: frozenset[str] = moves.NO_DOMAINS,
) -> Group:
    """Returns the group with successors set so that shares correspond to lasting speeds.

    Load answered: members whose work takes 0.5 to 1.6 times as long as usual for good, which the
    first assignment does not know. Each slow member gives one wide part to one with room.

    Args:
        group: The group.
        reports: Measured work by member id. Members without a lasting utilisation take part in no
            move.
        givers: Members that have given wide parts away lately, which their lasting utilisation
            does not show yet. They give no more.
        receivers: Members that have received such parts. They receive no more.
        evacuated: Failure domains whose members take part in no move.
    """
    lasting = {
        id_: each.lasting_utilisation
        if each.lasting_utilisation is None or id_ not in givers
        else min(each.lasting_utilisation, each.utilisation)
        for id_, each in reports.items()
    }
    fleet = member_loads(group, reports, lasting, evacuated)
    if len(fleet.members) < 2:
        return group
    mean = fleet.mean
    limit = max(_LASTING_HIGH_UTILISATION, mean * _LASTING_MEAN_FACTOR)
    by_utilisation = sorted(
        (id_ for id_ in fleet.members if id_ not in givers),
        key=lambda id_: (-fleet.utilisation[id_], id_),
    )
    idle_count = sum(each < mean * _IDLE_SHARE for each in fleet.utilisation.values())
    sources = [
        id_
        for index, id_ in enumerate(by_utilisation)
        if fleet.utilisation[id_] >= limit
        or (
            mean >= _MIN_LASTING_MEAN
            and index < idle_count
            and fleet.utilisation[id_] >= mean * _IDLE_MEAN_FACTOR
        )
    ]
    target_ids = [
        id_
        for id_, utilisation in fleet.utilisation.items()
        if utilisation < mean and id_ not in receivers
    ]
    ranges = group.ranges
    for source_id in sources:
        hot_work = hot_work_of(group, reports[source_id])
        slots = fleet.slots[source_id]
        rest_work = fleet.utilisation[source_id] * slots - sum(hot_work.values())
        surplus_work = (fleet.utilisation[source_id] - mean) * slots
        rest_keys = _key_count(_segments_without(ranges, source_id, hot_work))
        if rest_work > surplus_work and rest_keys:
            ranges = with_wide_parts_moved(
                ranges,
                fleet,
                source_id,
                target_ids,
                hot_work,
                rest_work / rest_keys,
                surplus_work,
                mean * _TARGET_MEAN_FACTOR,
                max_parts=1,
            )
    return moves.with_ranges(group, ranges) if ranges != group.ranges else group


def with_wide_parts_moved(
    ranges: tuple[KeyRange, ...],
    fleet: MemberLoads,
    source_id: str,
    target_ids: list[str],
    hot_blocks: Container[int],
    work_per_key: float,
    moved_work: float,
    max_utilisation: float,
    max_parts: int = 4,
) -> tuple[KeyRange, ...]:
    """Moves keys without hot blocks from a source, in wide parts from the ends of its ranges.

    Args:
        ranges: The ranges of the group.
        fleet: The members; its utilisation is updated.
        source_id: Member id of the owner.
        target_ids: Ids of the members that may take a part.
        hot_blocks: Blocks that stay.
        work_per_key: Work on each other key, in slots of the source.
        moved_work: Work to move, in slots of the source.
        max_utilisation: Utilisation up to which a target is filled.
        max_parts: Maximum number of parts.
    """
    segments = _segments_without(ranges, source_id, hot_blocks)
    segments.sort(key=lambda segment: segment[0] - segment[1])
    work_per_key = max(work_per_key, _MIN_WORK_PER_KEY)
    for first, last in segments[:max_parts] if target_ids else ():
        room = {
            id_: (max_utilisation - fleet.utilisation[id_]) / fleet.added(1.0, source_id, id_)
            for id_ in target_ids
        }
        before_id, after_id = _owner_at(ranges, first - 1), _owner_at(ranges, last + 1)
        # A part of a neighbour's size joins its range, which keeps ranges few.
        neighbour_id = max((before_id, after_id), key=lambda id_: room.get(id_, 0.0))
        if room.get(neighbour_id, 0.0) >= moved_work * _NEIGHBOUR_SHARE:
            target_id = neighbour_id
        elif len(ranges) < _MAX_RANGES_PER_MEMBER * len(fleet.members):
            target_id = max(target_ids, key=room.__getitem__)
        else:
            continue
        width = min(int(min(moved_work, room[target_id]) / work_per_key), last - first + 1)
        if width < _MIN_WIDE_PART_KEYS:
            continue
        if target_id == before_id:
            part_first, part_last = first, (first + width) // BLOCK_KEYS * BLOCK_KEYS - 1
        else:
            part_first, part_last = -(-(last + 1 - width) // BLOCK_KEYS) * BLOCK_KEYS, last
        work = work_per_key * (part_last + 1 - part_first)
        fleet.move(work, source_id, target_id)
        moved_work -= work
        change = set_successor(source_id, target_id)
        ranges = moves.change_keys(ranges, part_first, part_last, change)
    return ranges


def _owner_at(ranges: tuple[KeyRange, ...], key: int) -> str:
    """Returns the owner of a key if its range is not moving, or an empty string."""
    for key_range in ranges:
        if key_range.first <= key <= key_range.last and key_range.successor is None:
            return key_range.owner or ""
    return ""


def _key_count(segments: list[tuple[int, int]]) -> int:
    return sum(last - first + 1 for first, last in segments)


def _segments_without(
    ranges: tuple[KeyRange, ...], owner_id: str, blocks: Container[int]
) -> list[tuple[int, int]]:
    """Returns the first and last keys of an owner's ranges, cut at the given blocks."""
    segments: list[tuple[int, int]] = []
    for key_range in ranges:
        if key_range.owner != owner_id or key_range.successor is not None:
            continue
        first = key_range.first
        for block in range(key_range.first // BLOCK_KEYS, key_range.last // BLOCK_KEYS + 1):
            if block in blocks:
                if first < block * BLOCK_KEYS:
                    segments.append((first, block * BLOCK_KEYS - 1))
                first = (block + 1) * BLOCK_KEYS
        if first <= key_range.last:
            segments.append((first, key_range.last))
    return segments
