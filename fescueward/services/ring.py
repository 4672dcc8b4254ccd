"""Choice of monitors along a ring of the members; pure functions on group objects."""

from __future__ import annotations

from dataclasses import replace

from ..messages import Group, Member, MemberState

MONITORS = 2


def fill_monitors(group: Group) -> Group:
    """Returns the group with monitors added for members that have fewer than two."""
    ring = _ring(group)
    for member_id in ring:
        member = group.members[member_id]
        while len(member.monitors) < min(MONITORS, len(ring) - 1):
            chosen = _best_monitor(group, ring, member)
            if chosen is None:
                break
            member = replace(member, monitors=(*member.monitors, chosen))
            group = replace(group, members={**group.members, member_id: member})
    return group


def _ring(group: Group) -> tuple[str, ...]:
    """Orders members so that neighbours lie in different failure domains where possible."""
    ranks: dict[str, int] = {}
    placed = []
    for member_id in sorted(group.members):
        domain = group.members[member_id].failure_domain
        ranks[domain] = ranks.get(domain, 0) + 1
        placed.append((ranks[domain], domain, member_id))
    return tuple(member_id for _, _, member_id in sorted(placed))


def _best_monitor(group: Group, ring: tuple[str, ...], member: Member) -> str | None:
    start = ring.index(member.id)
    domains = {group.members[other].failure_domain for other in member.monitors}
    best: tuple[tuple[bool, bool, bool, int, int], str] | None = None
    for distance in range(1, len(ring)):
        candidate = group.members[ring[(start + distance) % len(ring)]]
        if candidate.id in member.monitors or candidate.state is MemberState.LEAVING:
            continue
        monitored = sum(candidate.id in other.monitors for other in group.members.values())
        cost = (
            candidate.failure_domain == member.failure_domain,
            candidate.failure_domain in domains,
            candidate.id in member.monitors or member.id in candidate.monitors,
            monitored,
            distance,
        )
        if best is None or cost < best[0]:
            best = (cost, candidate.id)
    return best[1] if best is not None else None
