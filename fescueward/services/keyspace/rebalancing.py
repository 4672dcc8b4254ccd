"""Moves of hot key blocks to members with room, as pure functions on group objects."""

from __future__ import annotations

from ...messages import Group
from ...messages.peer import RangeLoad
from . import moves
from .member_loads import MemberLoads, hot_work_of, member_loads, set_successor
from .moves import BLOCK_KEYS
from .shares import with_wide_parts_moved
from .usable_slots import usable_slots

# A member is a source of moves at this utilisation, if it is also above the mean by this factor.
_HIGH_UTILISATION = 0.7
_MEAN_FACTOR = 1.3
# A member accepts work from others up to this utilisation.
_MAX_TARGET_UTILISATION = 0.8
# A source moves no more work once it is at or below the larger of this utilisation and the mean.
_RELIEVED_UTILISATION = 0.55
# A block that no member can take within the limit moves if this share of its owner's utilisation
# is the most that its new owner would have.
_GAINFUL_SHARE = 0.6
# Maximum blocks that one round moves from one member and in total. Each costs a release and a
# grant.
_MAX_BLOCKS_PER_MEMBER = 40
_MAX_BLOCKS_PER_ROUND = 120


def _present_utilisation(group: Group, reports: dict[str, RangeLoad]) -> dict[str, float | None]:
    """Returns the utilisation by member id; a mean over a second is low while keys become hot."""
    return {
        id_: max(
            report.utilisation,
            sum(report.work.values()) / usable_slots(group.members[id_], reports),
        )
        for id_, report in reports.items()
        if id_ in group.members
    }


def rebalanced(
    group: Group, reports: dict[str, RangeLoad], evacuated: frozenset[str] = moves.NO_DOMAINS
) -> Group:
    """Returns the group with successors set so that overloaded members move work to others.

    Load answered: keys that become hot within a second, hundreds of requests a second on a few
    neighbouring blocks, and a single key with more requests than one member can run. Hot blocks go
    to the members with most room. A block that no other member would carry better stays, and the
    other keys of its owner leave it.

    Args:
        group: The group.
        reports: Measured work by member id. Members without a report take part in no move; a
            member that takes part in a handover must have none.
        evacuated: Failure domains whose members take part in no move.
    """
    fleet = member_loads(group, reports, _present_utilisation(group, reports), evacuated)
    if len(fleet.members) < 2:
        return group
    limit = max(_HIGH_UTILISATION, fleet.mean * _MEAN_FACTOR)
    sources = sorted(
        (id_ for id_, utilisation in fleet.utilisation.items() if utilisation >= limit),
        key=lambda id_: (-fleet.utilisation[id_], id_),
    )
    other_ids = [id_ for id_ in fleet.members if id_ not in sources]
    if not sources or not other_ids:
        return group
    hot_work_by_id = {id_: hot_work_of(group, reports[id_]) for id_ in fleet.members}
    work_per_key = _background_work(group, fleet, hot_work_by_id)
    ranges, blocks_left = group.ranges, _MAX_BLOCKS_PER_ROUND
    for source_id in sources:
        hot_work = hot_work_by_id[source_id]
        max_blocks = min(_MAX_BLOCKS_PER_MEMBER, blocks_left)
        target_by_block = _assign_hot_blocks(fleet, source_id, other_ids, hot_work, max_blocks)
        blocks_left -= len(target_by_block)
        for first, last, target_id in _contiguous_ranges(target_by_block):
            ranges = moves.change_keys(ranges, first, last, set_successor(source_id, target_id))
        remaining = {block for block in hot_work if block not in target_by_block}
        remaining_work = sum(hot_work[block] for block in remaining)
        if remaining_work >= fleet.slots[source_id]:
            # The hot blocks alone fill their owner. Below that its other keys stay: they would
            # leave it idle at the end of the hot spell, and the others full.
            ranges = with_wide_parts_moved(
                ranges,
                fleet,
                source_id,
                other_ids,
                remaining,
                work_per_key / fleet.speed[source_id],
                fleet.utilisation[source_id] * fleet.slots[source_id],
                min(max(fleet.mean, _RELIEVED_UTILISATION), _MAX_TARGET_UTILISATION),
            )
    return moves.with_ranges(group, ranges) if ranges != group.ranges else group


def _background_work(
    group: Group, fleet: MemberLoads, hot_work_by_id: dict[str, dict[int, float]]
) -> float:
    """Returns the mean work on a key outside the hot blocks, in slots of usual speed."""
    key_counts = dict.fromkeys(fleet.members, 0)
    for key_range in group.ranges:
        if key_range.owner in key_counts:
            key_counts[key_range.owner] += key_range.width
    work = sum(
        max(fleet.utilisation[id_] * slots - sum(hot_work_by_id[id_].values()), 0.0)
        * fleet.speed[id_]
        for id_, slots in fleet.slots.items()
    )
    return work / max(sum(key_counts.values()), 1)


def _assign_hot_blocks(
    fleet: MemberLoads,
    source_id: str,
    other_ids: list[str],
    hot_work: dict[int, float],
    max_blocks: int,
) -> dict[int, str]:
    """Assigns hot blocks of a source to other members until it is close to the mean.

    Neighbours go to the same member while it has room, which keeps ranges few. A member that would
    exceed the allowed utilisation gets no block, since it would return it in the next round,
    unless its owner has far more work than that.

    Returns:
        The member id of the new owner, by block.
    """
    utilisation = fleet.utilisation
    relieved = max(fleet.mean, _RELIEVED_UTILISATION)
    target_by_block: dict[int, str] = {}
    for block in _by_work_of_neighbours(hot_work):
        if utilisation[source_id] <= relieved or len(target_by_block) >= max_blocks:
            break
        work = hot_work[block]
        target_id = target_by_block.get(block - 1)
        if (
            target_id is None
            or utilisation[target_id] + fleet.added(work, source_id, target_id) > relieved
        ):
            target_id = min(
                other_ids, key=lambda id_: utilisation[id_] + fleet.added(work, source_id, id_)
            )
        new_utilisation = utilisation[target_id] + fleet.added(work, source_id, target_id)
        if new_utilisation > min(_MAX_TARGET_UTILISATION, utilisation[source_id]) and (
            utilisation[target_id] > min(relieved, _MAX_TARGET_UTILISATION)
            or new_utilisation > utilisation[source_id] * _GAINFUL_SHARE
        ):
            continue
        target_by_block[block] = target_id
        fleet.move(work, source_id, target_id)
    return target_by_block


def _by_work_of_neighbours(hot_work: dict[int, float]) -> list[int]:
    """Returns blocks by the work of the adjacent hot blocks that they belong to, most first."""
    runs: list[list[int]] = []
    for block in sorted(hot_work):
        if runs and runs[-1][-1] + 1 == block:
            runs[-1].append(block)
        else:
            runs.append([block])
    runs.sort(key=lambda run: -sum(hot_work[block] for block in run))
    return [block for run in runs for block in run]


def _contiguous_ranges(target_by_block: dict[int, str]) -> list[tuple[int, int, str]]:
    """Merges adjacent blocks with the same new owner; returns first key, last key and owner id."""
    runs: list[tuple[int, int, str]] = []
    for block in sorted(target_by_block):
        first, last = block * BLOCK_KEYS, (block + 1) * BLOCK_KEYS - 1
        if runs and runs[-1][1] + 1 == first and runs[-1][2] == target_by_block[block]:
            runs[-1] = (runs[-1][0], last, target_by_block[block])
        else:
            runs.append((first, last, target_by_block[block]))
    return runs
