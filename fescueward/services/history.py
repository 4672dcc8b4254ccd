"""What this agent has seen happen to groups: when shards lost their owner, moved or were taken."""

from __future__ import annotations

from dataclasses import dataclass

from ..messages import Group, GroupId, MemberState, Shard, VersionedGroup

_LOSSES = 64


@dataclass(frozen=True, slots=True)
class ShardOrigin:
    """How a shard got its present owner.

    Attributes:
        owner: The present owner.
        before: The owner before it, or None.
        lost: Whether the owner before was lost, so that the shard was taken over.
        at: When this agent saw the change, in seconds of CLOCK_BOOTTIME.
    """

    owner: str
    before: str | None
    lost: bool
    at: float


@dataclass(frozen=True, slots=True)
class Loss:
    """A member that was removed without leaving.

    Attributes:
        member_id: The member.
        at: When this agent saw its removal, in seconds of CLOCK_BOOTTIME.
    """

    member_id: str
    at: float


class GroupHistory:
    """Compares the versions of one group as they arrive.

    Each of the maps holds at most one entry for each shard of the group.
    """

    def __init__(self) -> None:
        self._group: Group | None = None
        self._unowned: dict[int, tuple[float, str | None]] = {}
        self._moving: dict[int, tuple[str, float]] = {}
        self._origins: dict[int, ShardOrigin] = {}
        self._losses: tuple[Loss, ...] = ()

    @property
    def origins(self) -> dict[int, ShardOrigin]:
        """How shards got their owners, by shard id, where a change was seen."""
        return self._origins

    @property
    def losses(self) -> tuple[Loss, ...]:
        """The newest losses of members, the last one at the end."""
        return self._losses

    def unowned_since(self, shard: int) -> tuple[float, str | None] | None:
        """Returns when a shard was first seen without owner, and the owner before."""
        return self._unowned.get(shard)

    def moving_since(self, shard: int) -> float | None:
        """Returns when the present handover of a shard was first seen."""
        moving = self._moving.get(shard)
        return moving[1] if moving is not None else None

    def observe(self, group: Group, now: float) -> None:
        """Takes a newer version.

        Args:
            group: The group.
            now: Present time in seconds of CLOCK_BOOTTIME.
        """
        before, self._group = self._group, group
        lost = _lost_members(before, group)
        self._losses = (*self._losses, *(Loss(member, now) for member in sorted(lost)))[-_LOSSES:]
        for shard_id, shard in enumerate(group.shards):
            old = _shard(before, shard_id)
            self._note_owner(shard_id, shard, old, lost, now)
            self._note_move(shard_id, shard, now)
        for known in (self._unowned, self._moving, self._origins):
            for shard_id in [number for number in known if number >= len(group.shards)]:
                known.pop(shard_id, None)

    def _note_owner(
        self, shard_id: int, shard: Shard, old: Shard | None, lost: frozenset[str], now: float
    ) -> None:
        if shard.owner is None:
            previous = old.owner if old is not None else None
            self._unowned.setdefault(shard_id, (now, previous))
            self._origins.pop(shard_id, None)
            return
        gap = self._unowned.pop(shard_id, None)
        if old is None or old.owner == shard.owner:
            return
        previous = old.owner or (gap[1] if gap is not None else None)
        # A shard without owner has lost it, whenever that was.
        was_lost = previous in lost or old.owner is None
        self._origins[shard_id] = ShardOrigin(shard.owner, previous, was_lost, now)

    def _note_move(self, shard_id: int, shard: Shard, now: float) -> None:
        if shard.successor is None:
            self._moving.pop(shard_id, None)
        elif self._moving.get(shard_id, ("", 0.0))[0] != shard.successor:
            self._moving[shard_id] = (shard.successor, now)


class GroupHistories:
    """The histories of all groups that this agent has seen."""

    def __init__(self) -> None:
        self._histories: dict[GroupId, GroupHistory] = {}

    def of(self, group: GroupId) -> GroupHistory:
        """Returns the history of a group; it is empty for one that was never seen."""
        return self._histories.get(group) or GroupHistory()

    def observe(self, group: VersionedGroup, now: float) -> None:
        """Takes a newer version of a group."""
        self._histories.setdefault(group.group.id, GroupHistory()).observe(group.group, now)


def _shard(group: Group | None, shard_id: int) -> Shard | None:
    if group is None or shard_id >= len(group.shards):
        return None
    return group.shards[shard_id]


def _lost_members(before: Group | None, group: Group) -> frozenset[str]:
    if before is None:
        return frozenset()
    return frozenset(
        member.id
        for member in before.members.values()
        if member.id not in group.members and member.state is MemberState.ACTIVE
    )
