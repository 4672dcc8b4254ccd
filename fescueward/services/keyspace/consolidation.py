"""Return of small cold ranges to the owners of the surrounding keys."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import replace

from ...messages import Group
from ...messages.group import KeyRange
from ...messages.peer import RangeLoad
from . import moves
from .member_loads import range_work
from .moves import BLOCK_KEYS, SMALL_RANGE_BLOCKS

# A small range is returned to the owner of the surrounding keys once its work, in slots, is below
# this. Each range costs its owner grant renewals and all agents memory.
_COLD_WORK_SLOTS = 0.05
# Maximum ranges that are returned in one round.
_MAX_RETURNS_PER_ROUND = 60


def consolidated(
    group: Group,
    reports: dict[str, RangeLoad],
    settled: Container[tuple[int, int]] | None = None,
    evacuated: frozenset[str] = moves.NO_DOMAINS,
) -> Group:
    """Returns the group with successors set so that small cold ranges are returned.

    When a hot spot moves to other keys, its former blocks remain with many owners. Each of them is
    returned to the owner of the nearest wide range below it.

    Args:
        group: The group.
        reports: Measured work by member id; ranges of members without a report stay.
        settled: Bounds of the ranges that have been cold for long enough; None for all.
        evacuated: Failure domains whose members get no ranges.
    """
    active_ids = {member.id for member in moves.active_members(group, evacuated)}
    wide_owner: str | None = None
    return_count = 0
    ranges: list[KeyRange] = []
    for key_range in group.ranges:
        if not is_small(key_range):
            wide_owner = key_range.owner
        elif (
            key_range.successor is None
            and key_range.owner != wide_owner
            and wide_owner in active_ids
            and return_count < _MAX_RETURNS_PER_ROUND
            and is_cold(key_range, reports)
            and (settled is None or (key_range.first, key_range.last) in settled)
        ):
            key_range = replace(key_range, successor=wide_owner)
            return_count += 1
        ranges.append(key_range)
    return replace(group, ranges=tuple(ranges)) if return_count else group


def is_small(key_range: KeyRange) -> bool:
    """Returns whether a range is as narrow as those that are moved because they are hot."""
    return key_range.width <= SMALL_RANGE_BLOCKS * BLOCK_KEYS


def is_cold(key_range: KeyRange, reports: dict[str, RangeLoad]) -> bool:
    """Returns whether the owner of a range reports next to no work on it."""
    report = reports.get(key_range.owner or "")
    return report is not None and range_work(key_range, report) < _COLD_WORK_SLOTS
