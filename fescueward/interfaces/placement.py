"""Placement and load measurement as the services see them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol, runtime_checkable

from ..messages import Entry, Group


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """Measured work of a group.

    Attributes:
        work: Seconds of upstream time per second, by shard id.
        hot_keys: Seconds of upstream time per second of the hottest keys.
        capacity: Usable share of the slots by member id; 1.0 for a warm server.
    """

    work: dict[int, float] = field(default_factory=dict)
    hot_keys: dict[str, float] = field(default_factory=dict)
    capacity: dict[str, float] = field(default_factory=dict)


@runtime_checkable
class PlacementPolicy(Protocol):
    """Decides where shards go."""

    def assign(self, group: Group, lost: frozenset[str], entry: Entry) -> Group:
        """Places the shards of lost members on the others, with raised epochs.

        Args:
            group: The group, in which the lost members may still stand.
            lost: Member ids that no longer own anything.
            entry: Entry of the service.
        """
        ...

    def rebalance(self, group: Group, load: GroupLoad, entry: Entry) -> Group:
        """Returns the group with successors set for the moves of one round."""
        ...


@runtime_checkable
class Placement(Protocol):
    """Placement of the shards of this agent's group."""

    def assign(self, group: Group, lost: frozenset[str]) -> Group:
        """Removes lost members and places their shards."""
        ...

    def vacate(self, group: Group, member_id: str) -> Group:
        """Marks a member as leaving and sets successors for all its shards."""
        ...


@runtime_checkable
class Load(Protocol):
    """Measured work of this agent."""

    def record(self, shard: int, key: str, seconds: float) -> None:
        """Adds the upstream time of one request."""
        ...

    def group_load(self) -> GroupLoad:
        """Returns what this agent knows of its group, as planner from all members' reports."""
        ...
