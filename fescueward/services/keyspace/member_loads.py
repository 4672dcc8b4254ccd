"""Loads of the members that take part in a placement round."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ...messages import Group, Member
from ...messages.group import KeyRange
from ...messages.peer import RangeLoad
from . import moves
from .moves import BLOCK_KEYS
from .usable_slots import usable_slots

# A block is hot from this many requests a second; fewer come together by chance.
_HOT_REQUESTS_PER_S = 4.0


@dataclass(frozen=True, slots=True)
class MemberLoads:
    """Members that take part in a round.

    Attributes:
        members: The members by id.
        utilisation: Utilisation by member id; updated in place for each planned move.
        speed: Work that a busy slot finishes in proportion to that of the other members, by id.
        slots: Slots that their upstreams can keep busy, by member id.
    """

    members: dict[str, Member]
    utilisation: dict[str, float]
    speed: dict[str, float]
    slots: dict[str, float]

    @property
    def mean(self) -> float:
        """Utilisation of all members if each had its share of the work."""
        room = {id_: slots * self.speed[id_] for id_, slots in self.slots.items()}
        return sum(self.utilisation[id_] * room[id_] for id_ in room) / sum(room.values())

    def added(self, work: float, source_id: str, target_id: str) -> float:
        """Returns the utilisation that work, in slots of the source, adds to a target."""
        ratio = self.speed[source_id] / self.speed[target_id]
        return work * ratio / self.slots[target_id]

    def move(self, work: float, source_id: str, target_id: str) -> None:
        """Counts the work for its new owner."""
        self.utilisation[target_id] += self.added(work, source_id, target_id)
        self.utilisation[source_id] -= work / self.slots[source_id]


def member_loads(
    group: Group,
    reports: dict[str, RangeLoad],
    utilisation: dict[str, float | None],
    evacuated: frozenset[str] = moves.NO_DOMAINS,
) -> MemberLoads:
    """Returns the loads of the active members whose utilisation is known.

    Args:
        group: The group.
        reports: Measured work by member id.
        utilisation: Utilisation by member id, or None where it is not known.
        evacuated: Failure domains whose members take no part.
    """
    members = {
        member.id: member
        for member in moves.active_members(group, evacuated)
        if utilisation.get(member.id) is not None
    }
    run_times_ms = [reports[id_].run_ms for id_ in members if reports[id_].run_ms]
    usual_ms = sum(run_times_ms) / len(run_times_ms) if run_times_ms else 1.0
    return MemberLoads(
        members,
        {id_: utilisation[id_] or 0.0 for id_ in members},
        {id_: usual_ms / (reports[id_].run_ms or usual_ms) for id_ in members},
        {id_: usable_slots(member, reports) for id_, member in members.items()},
    )


def range_work(key_range: KeyRange, report: RangeLoad) -> float:
    """Returns the work, in slots, that a report has for the keys of a range."""
    blocks = range(key_range.first // BLOCK_KEYS, key_range.last // BLOCK_KEYS + 1)
    return sum(report.work.get(block, 0.0) for block in blocks)


def hot_work_of(group: Group, report: RangeLoad) -> dict[int, float]:
    """Returns the work of the hot blocks that the sender of a report still owns."""
    min_work = _HOT_REQUESTS_PER_S * report.run_ms / 1000
    hot_work = {}
    for block, work in report.work.items():
        key_range = group.range_of(block * BLOCK_KEYS)
        if work >= min_work and key_range is not None and key_range.owner == report.member_id:
            hot_work[block] = work
    return hot_work


def set_successor(source_id: str, target_id: str) -> moves.RangeChange:
    """Returns the change that hands the parts of a source over to a target."""

    def change(part: KeyRange) -> KeyRange:
        return replace(part, successor=target_id) if part.owner == source_id else part

    return change
