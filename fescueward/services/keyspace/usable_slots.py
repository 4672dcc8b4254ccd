"""Slots that members can use whose upstreams take a limited rate.

Answers cold members, which bear a fraction of the keys that their slots would suggest.
"""

from __future__ import annotations

from collections.abc import Mapping

from ...messages import Group, Member
from ...messages.peer import RangeLoad
from .moves import active_members

# Slots of a member that takes next to nothing, which bounds its utilisation.
_MIN_USABLE_SLOTS = 0.1
# Share of the slots from which a rate counts as no limit.
_ALL_SLOTS_SHARE = 0.95


def usable_slots(member: Member, reports: Mapping[str, RangeLoad]) -> float:
    """Returns the slots of a member with a report that its rate can keep busy."""
    reported = reports[member.id].usable_slots
    return float(member.slots) if reported is None else max(reported, _MIN_USABLE_SLOTS)


def usable_shares_of(group: Group, reports: Mapping[str, RangeLoad]) -> dict[str, float]:
    """Returns the share of their slots that the members with a limited rate can use."""
    shares = {
        member.id: usable_slots(member, reports) / member.slots
        for member in active_members(group)
        if member.id in reports
    }
    return {id_: share for id_, share in shares.items() if share < _ALL_SLOTS_SHARE}
