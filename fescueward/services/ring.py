"""Choice of monitors along a ring of the members, as pure functions on group objects."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container
from dataclasses import dataclass, replace

from ..messages import Group, Member, MemberState

MONITORS_PER_MEMBER = 2


@dataclass(frozen=True, slots=True)
class _Placement:
    """Properties of a group that the cost of every candidate depends on.

    Attributes:
        loads: Number of members that each member monitors.
        in_other_domains: Whether monitors in other failure domains need not be mutual.
    """

    loads: Counter[str]
    in_other_domains: bool


def fill_monitors(group: Group, preferred_ids: Container[str] = ()) -> Group:
    """Returns the group with monitors added for members that have fewer than two.

    Args:
        group: The group.
        preferred_ids: Members that are preferred as monitors because they certainly run.
    """
    ring = _ring(group)
    for member_id in ring:
        member = group.members[member_id]
        while len(member.monitors) < min(MONITORS_PER_MEMBER, len(ring) - 1):
            chosen_id = _best_monitor(group, ring, member, preferred_ids)
            if chosen_id is None:
                break
            member = replace(member, monitors=(*member.monitors, chosen_id))
            group = group.with_member(member)
    return group


def _ring(group: Group) -> tuple[str, ...]:
    """Orders members so that neighbours lie in different failure domains where possible."""
    ranks: dict[str, int] = {}
    positions = []
    for member_id in sorted(group.members):
        domain = group.members[member_id].failure_domain
        ranks[domain] = ranks.get(domain, 0) + 1
        positions.append((ranks[domain], domain, member_id))
    return tuple(member_id for _, _, member_id in sorted(positions))


def transfer_monitored(group: Group, monitor_id: str) -> tuple[Group, frozenset[str]]:
    """Replaces a monitor by better placed ones where there are any.

    Each transfer reduces the sum of the costs, so repeated transfers of all monitors terminate.

    Args:
        group: The group.
        monitor_id: The monitor to replace; only this monitor itself may make the transfer.

    Returns:
        The changed group, and the ids of the members that it no longer monitors.
    """
    ring = _ring(group)
    transferred_ids = set()
    for member_id in ring:
        member = group.members[member_id]
        if monitor_id not in member.monitors or len(member.monitors) < MONITORS_PER_MEMBER:
            continue
        # Only the worst placed monitor transfers a member. If both did so at the same time, the
        # member would get no acknowledgements while the platform does not respond.
        replacements = [_replacement(group, ring, member, other) for other in member.monitors]
        improvements = [improvement for improvement in replacements if improvement is not None]
        if not improvements:
            continue
        _, replaced_id, improved_group = max(improvements, key=lambda improvement: improvement[0])
        if replaced_id == monitor_id:
            group = improved_group
            transferred_ids.add(member_id)
    return group, frozenset(transferred_ids)


def _replacement(
    group: Group, ring: tuple[str, ...], member: Member, monitor_id: str
) -> tuple[tuple[int, ...], str, Group] | None:
    others = tuple(other for other in member.monitors if other != monitor_id)
    reduced_group = _with_monitors(group, member, others)
    remaining_member = reduced_group.members[member.id]
    chosen_id = _best_monitor(reduced_group, ring, remaining_member)
    if chosen_id is None or chosen_id == monitor_id or monitor_id not in group.members:
        return None
    placement = _placement(reduced_group)
    old_cost = _cost(reduced_group, placement, remaining_member, group.members[monitor_id])
    new_cost = _cost(reduced_group, placement, remaining_member, group.members[chosen_id])
    # A load that differs by one is no improvement: the monitors would swap the member forever.
    if new_cost[:-1] > old_cost[:-1] or (
        new_cost[:-1] == old_cost[:-1] and new_cost[-1] + 1 >= old_cost[-1]
    ):
        return None
    return (
        old_cost,
        monitor_id,
        _with_monitors(reduced_group, remaining_member, (*others, chosen_id)),
    )


def _with_monitors(group: Group, member: Member, monitors: tuple[str, ...]) -> Group:
    return group.with_member(replace(member, monitors=monitors))


def _best_monitor(
    group: Group, ring: tuple[str, ...], member: Member, preferred_ids: Container[str] = ()
) -> str | None:
    start = ring.index(member.id)
    placement = _placement(group)
    best: tuple[tuple[int, ...], str] | None = None
    for distance in range(1, len(ring)):
        candidate = group.members[ring[(start + distance) % len(ring)]]
        if candidate.id in member.monitors or candidate.state is MemberState.LEAVING:
            continue
        first_cost, *other_costs = _cost(group, placement, member, candidate)
        # A cycle must not form even then: its members could be lost together.
        cost = (first_cost, candidate.id not in preferred_ids, *other_costs, distance)
        if best is None or cost < best[0]:
            best = (cost, candidate.id)
    return best[1] if best is not None else None


def _placement(group: Group) -> _Placement:
    members = group.members.values()
    loads = Counter(monitor_id for member in members for monitor_id in member.monitors)
    domains = {member.failure_domain for member in members}
    return _Placement(loads, len(members) >= 5 and len(domains) >= 3)


def _cost(
    group: Group, placement: _Placement, member: Member, candidate: Member
) -> tuple[int, ...]:
    same_domain = candidate.failure_domain == member.failure_domain
    repeated = any(
        group.members[other].failure_domain == candidate.failure_domain
        for other in member.monitors
        if other in group.members
    )
    cycle = _closes_cycle(group, member, candidate)
    load = placement.loads[candidate.id]
    # With two domains or fewer than five members, monitors in other domains must be mutual.
    if not placement.in_other_domains:
        return (same_domain, repeated, cycle, load)
    # A member with a monitor in its own failure domain needs two consecutive takeovers when the
    # domain is lost, so another domain takes precedence over an even load.
    return (cycle, same_domain, load >= MONITORS_PER_MEMBER, repeated, load)


def _closes_cycle(group: Group, member: Member, candidate: Member) -> bool:
    """Returns whether members that can be lost together would need each other's promises."""
    if member.id in candidate.monitors:
        return True
    if candidate.failure_domain != member.failure_domain:
        return False
    pending, visited = [candidate.id], {candidate.id}
    while pending:
        for monitor_id in group.members[pending.pop()].monitors:
            monitor = group.members.get(monitor_id)
            if monitor is None or monitor.failure_domain != member.failure_domain:
                continue
            if monitor_id == member.id:
                return True
            if monitor_id not in visited:
                visited.add(monitor_id)
                pending.append(monitor_id)
    return False
