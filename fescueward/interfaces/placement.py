"""Placement and load measurement as the services see them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol, runtime_checkable

from ..messages import Entry, Group, Member
from ..messages.peer import RangeLoad


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """Measured work of a group.

    Attributes:
        work: Seconds of upstream time per second, by shard id.
        hot_keys: Seconds of upstream time per second of the hottest keys.
        capacity: Usable share of the slots by member id; 1.0 for a warm server.
        complete: Whether this covers the whole group, so that moves may be based on it.
    """

    work: dict[int, float] = field(default_factory=dict)
    hot_keys: dict[str, float] = field(default_factory=dict)
    capacity: dict[str, float] = field(default_factory=dict)
    complete: bool = True


@runtime_checkable
class PlacementPolicy(Protocol):
    """Decides where shards go. All methods return a changed group and change nothing else."""

    def assign(self, group: Group, lost: frozenset[str], load: GroupLoad, entry: Entry) -> Group:
        """Removes lost members and places their shards on the others, with raised epochs.

        Args:
            group: The group, in which the lost members may still stand.
            lost: Member ids that no longer own anything.
            load: Measured work; empty if it is not known.
            entry: Entry of the service.
        """
        ...

    def drain_member(self, group: Group, member_id: str, load: GroupLoad, entry: Entry) -> Group:
        """Sets successors for all shards of a member that is in the state `leaving`."""
        ...

    def rebalance(self, group: Group, load: GroupLoad, entry: Entry) -> Group:
        """Returns the group with successors set and exceptions changed for one round."""
        ...


@runtime_checkable
class Placement(Protocol):
    """Placement of the shards of this agent's group."""

    def assign(self, group: Group, lost: frozenset[str]) -> Group:
        """Removes lost members and places their shards."""
        ...

    def drain_member(self, group: Group, member_id: str) -> Group:
        """Marks a member as leaving and sets successors for all its shards."""
        ...

    def planner(self, group: Group) -> Member | None:
        """Returns the member that plans moves: the active one with the lowest id."""
        ...


@runtime_checkable
class Load(Protocol):
    """Measured work of this agent and, on the planner, of its group."""

    def record(self, shard: int, key: str, seconds: float) -> None:
        """Adds the upstream time of one request."""
        ...

    def group_load(self) -> GroupLoad:
        """Returns what this agent knows of its group, as planner from all members' reports."""
        ...

    def end_round(self) -> GroupLoad:
        """Adds up the reports of a round on the planner; see `group_load`."""
        ...

    def restore(self, work: dict[int, float], hot_keys: dict[str, float]) -> None:
        """Starts from earlier figures where nothing was measured yet."""
        ...


@runtime_checkable
class BlockReports(Protocol):
    """Work of key blocks as the members reported it to the planner."""

    def reports(self) -> dict[str, RangeLoad]:
        """Returns the recent reports by member id."""
        ...


@runtime_checkable
class QuarantineExport(Protocol):
    """A quarantine that a new planner can start from."""

    def export_quarantine(self) -> dict[str, int]:
        """Returns the milliseconds that each fingerprint, in decimal, stays quarantined."""
        ...

    def import_quarantine(self, remaining_ms: dict[str, int]) -> None:
        """Quarantines fingerprints that are not known here."""
        ...
