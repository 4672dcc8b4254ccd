"""Merging of what agents know of the evacuations, as pure functions.

Answers messages that overtake each other, agents that missed some, and a store that was restored
from an older copy: whatever the order in which an agent learns, it ends with the same domains.
"""

from __future__ import annotations

import heapq

from ...interfaces.platform import Changes
from ...messages.era import era_of
from ...messages.evacuations import EVACUATIONS_PREFIX, Evacuations

# Ended evacuations that are remembered; operators evacuate a few domains at a time.
_MAX_REMOVED = 64


def merged(first: Evacuations, second: Evacuations) -> Evacuations:
    """Returns what follows from two states of knowledge, in either order.

    The newer one says which domains of its era are evacuated. A domain of an earlier era that it
    lacks is lost to the store and stays, unless its end is known.
    """
    newer, older = (first, second) if first.version >= second.version else (second, first)
    removed = dict(older.removed)
    for name, version in newer.removed.items():
        removed[name] = max(version, removed.get(name, 0))
    domains = dict(newer.domains)
    for name, version in older.domains.items():
        if name in domains:
            continue
        if era_of(version) < era_of(newer.version):
            domains[name] = version
        else:
            removed[name] = max(newer.version, removed.get(name, 0))
    return Evacuations(newer.version, *_in_force(domains, removed))


def with_changes(current: Evacuations, changes: Changes) -> Evacuations:
    """Returns what follows from objects that were read from the platform.

    Args:
        current: The evacuations known before.
        changes: All objects, or those that changed since `current` was read.
    """
    # A store without any write is at revision 0, which stands for an unknown version here.
    version = max(changes.revision, 1)
    names = {stored.key.removeprefix(EVACUATIONS_PREFIX): stored for stored in changes.objects}
    if changes.complete:
        listed = {name: stored.version for name, stored in names.items() if not stored.deleted}
        return merged(current, Evacuations(version, listed))
    domains, removed = dict(current.domains), dict(current.removed)
    for name, stored in names.items():
        if stored.deleted:
            removed[name] = max(stored.version, removed.get(name, 0))
        elif not _is_covered(current, stored.version):
            domains[name] = max(stored.version, domains.get(name, 0))
    return Evacuations(max(version, current.version), *_in_force(domains, removed))


def _is_covered(current: Evacuations, version: int) -> bool:
    """Whether a write is part of what is known: a watch can answer later than a member tells."""
    return version <= current.version and era_of(version) == era_of(current.version)


def lost_to_store(evacuations: Evacuations) -> frozenset[str]:
    """Returns the evacuated domains that a restored store has lost."""
    era = era_of(evacuations.version)
    return frozenset(
        name for name, version in evacuations.domains.items() if era_of(version) < era
    )


def _in_force(
    domains: dict[str, int], removed: dict[str, int]
) -> tuple[dict[str, int], dict[str, int]]:
    """Returns the domains that were written after their last end, and the newest ends."""
    in_force = {
        name: version for name, version in domains.items() if removed.get(name, -1) < version
    }
    if len(removed) > _MAX_REMOVED:
        newest = heapq.nlargest(_MAX_REMOVED, removed.items(), key=lambda item: item[1])
        removed = dict(newest)
    return in_force, removed
