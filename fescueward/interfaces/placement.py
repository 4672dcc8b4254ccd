"""Protocols of placement, load measurement and the state that a new planner starts from."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol, runtime_checkable

from ..messages import Entry, Group, Member
from ..messages.peer import RangeLoad


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """Measured load of a group.

    Attributes:
        work: Seconds of upstream time per second, by shard id.
        hot_keys: Seconds of upstream time per second of the hottest keys.
        capacity: Usable share of the slots by member id; 1.0 for a warm server.
        complete: Whether the load of the whole group is known, so that moves may be based on it.
    """

    work: dict[int, float] = field(default_factory=dict)
    hot_keys: dict[str, float] = field(default_factory=dict)
    capacity: dict[str, float] = field(default_factory=dict)
    complete: bool = True


@runtime_checkable
class PlacementPolicy(Protocol):
    """Decides which members own the shards.

    Each method returns a changed group and has no side effects.
    """

    def assign(self, group: Group, lost: frozenset[str], load: GroupLoad, entry: Entry) -> Group:
        """Removes lost members and assigns their shards to other members, with higher epochs.

        Args:
            group: The group, which may still contain the lost members.
            lost: Ids of the members that no longer own any shard.
            load: Measured load; empty if it is not known.
            entry: Entry of the service.
        """
        ...

    def drain_member(self, group: Group, member_id: str, load: GroupLoad, entry: Entry) -> Group:
        """Sets successors for all shards of a member whose state is `leaving`."""
        ...

    def rebalance(self, group: Group, load: GroupLoad, entry: Entry) -> Group:
        """Sets the successors and changes the exceptions for one placement round."""
        ...


@runtime_checkable
class Placement(Protocol):
    """Placement of the shards of this agent's group."""

    def assign(self, group: Group, lost: frozenset[str]) -> Group:
        """Removes lost members and assigns their shards to other members."""
        ...

    def drain_member(self, group: Group, member_id: str) -> Group:
        """Marks a member as leaving and sets successors for all its shards."""
        ...

    def planner(self, group: Group) -> Member | None:
        """Returns the member that plans moves, the active one with the lowest id, or None."""
        ...


@runtime_checkable
class Load(Protocol):
    """Measured load of this agent and, on the planner, of its group."""

    def record(self, shard: int, key: str, seconds: float) -> None:
        """Adds the time that one request took on the upstream, in seconds."""
        ...

    def group_load(self) -> GroupLoad:
        """Returns the load of the group on the planner, otherwise of this agent alone."""
        ...

    def end_round(self) -> GroupLoad:
        """Aggregates the reports of a round on the planner; returns `group_load`."""
        ...

    def restore(self, work: dict[int, float], hot_keys: dict[str, float]) -> None:
        """Sets the load to that of an earlier planner where none has been measured yet."""
        ...


@runtime_checkable
class BlockReports(Protocol):
    """Load of key blocks as reported by the members to the planner."""

    def reports(self) -> dict[str, RangeLoad]:
        """Returns the recent reports by member id."""
        ...
