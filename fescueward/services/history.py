"""History of the groups that this agent observed: losses of members and changes of owners."""

from __future__ import annotations

from dataclasses import dataclass

from ..messages import Group, GroupId, MemberState, Shard, VersionedGroup

_MAX_LOSSES = 64


@dataclass(frozen=True, slots=True)
class ShardOrigin:
    """How a shard got its current owner.

    Attributes:
        owner: Member id of the current owner.
        previous_owner: Member id of the previous owner, or None if it is not known.
        taken_over: Whether the previous owner was lost; otherwise it handed the shard over.
        observed_at: When this agent observed the change, in seconds of CLOCK_BOOTTIME.
    """

    owner: str
    previous_owner: str | None
    taken_over: bool
    observed_at: float


@dataclass(frozen=True, slots=True)
class Loss:
    """A member that was removed from its group without leaving it.

    Attributes:
        member_id: Member id.
        observed_at: When this agent observed its removal, in seconds of CLOCK_BOOTTIME.
    """

    member_id: str
    observed_at: float


class GroupHistory:
    """Records changes between the versions of one group that this agent observes.

    Each map has at most one entry for each shard of the group.
    """

    def __init__(self) -> None:
        self._group: Group | None = None
        self._unowned_by_shard: dict[int, tuple[float, str | None]] = {}
        self._moves_by_shard: dict[int, tuple[str, float]] = {}
        self._origins_by_shard: dict[int, ShardOrigin] = {}
        self._losses: tuple[Loss, ...] = ()

    @property
    def origins(self) -> dict[int, ShardOrigin]:
        """How shards got their owners, by shard id, for the changes that were observed."""
        return self._origins_by_shard

    @property
    def losses(self) -> tuple[Loss, ...]:
        """The most recent losses of members, oldest first."""
        return self._losses

    def unowned_since(self, shard: int) -> tuple[float, str | None] | None:
        """Returns when a shard was first observed without owner, and its previous owner.

        The time is in seconds of CLOCK_BOOTTIME; the result is None if the shard has an owner.
        """
        return self._unowned_by_shard.get(shard)

    def moving_since(self, shard: int) -> float | None:
        """Returns when the current handover of a shard was first observed, or None."""
        moving = self._moves_by_shard.get(shard)
        return moving[1] if moving is not None else None

    def observe(self, group: Group, now: float) -> None:
        """Records the changes from the previous version of the group to a newer one.

        Args:
            group: The newer version.
            now: Current time in seconds of CLOCK_BOOTTIME.
        """
        previous_group, self._group = self._group, group
        lost_members = _find_lost_members(previous_group, group)
        self._losses = (*self._losses, *(Loss(member, now) for member in sorted(lost_members)))[
            -_MAX_LOSSES:
        ]
        for shard_id, shard in enumerate(group.shards):
            previous_shard = _shard_or_none(previous_group, shard_id)
            self._record_owner(shard_id, shard, previous_shard, lost_members, now)
            self._record_move(shard_id, shard, now)
        for records_by_shard in (
            self._unowned_by_shard,
            self._moves_by_shard,
            self._origins_by_shard,
        ):
            for shard_id in [
                known_shard_id
                for known_shard_id in records_by_shard
                if known_shard_id >= len(group.shards)
            ]:
                records_by_shard.pop(shard_id, None)

    def _record_owner(
        self,
        shard_id: int,
        shard: Shard,
        previous_shard: Shard | None,
        lost_members: frozenset[str],
        now: float,
    ) -> None:
        if shard.owner is None:
            previous_owner = previous_shard.owner if previous_shard is not None else None
            self._unowned_by_shard.setdefault(shard_id, (now, previous_owner))
            self._origins_by_shard.pop(shard_id, None)
            return
        unowned = self._unowned_by_shard.pop(shard_id, None)
        if previous_shard is None or previous_shard.owner == shard.owner:
            return
        previous_owner = previous_shard.owner or (unowned[1] if unowned is not None else None)
        # If the shard had no owner, its last owner was lost, possibly in a version before the
        # previous one.
        taken_over = previous_owner in lost_members or previous_shard.owner is None
        self._origins_by_shard[shard_id] = ShardOrigin(
            shard.owner, previous_owner, taken_over, now
        )

    def _record_move(self, shard_id: int, shard: Shard, now: float) -> None:
        if shard.successor is None:
            self._moves_by_shard.pop(shard_id, None)
        elif self._moves_by_shard.get(shard_id, ("", 0.0))[0] != shard.successor:
            self._moves_by_shard[shard_id] = (shard.successor, now)


class GroupHistories:
    """The histories of all groups that this agent has observed."""

    def __init__(self) -> None:
        self._histories: dict[GroupId, GroupHistory] = {}

    def of(self, group: GroupId) -> GroupHistory:
        """Returns the history of a group, which is empty if the group was never observed."""
        return self._histories.get(group) or GroupHistory()

    def observe(self, group: VersionedGroup, now: float) -> None:
        """Records a newer version of a group, observed at `now` in seconds of CLOCK_BOOTTIME."""
        self._histories.setdefault(group.group.id, GroupHistory()).observe(group.group, now)


def _shard_or_none(group: Group | None, shard_id: int) -> Shard | None:
    if group is None or shard_id >= len(group.shards):
        return None
    return group.shards[shard_id]


def _find_lost_members(previous_group: Group | None, group: Group) -> frozenset[str]:
    if previous_group is None:
        return frozenset()
    return frozenset(
        member.id
        for member in previous_group.members.values()
        if member.id not in group.members and member.state is MemberState.ACTIVE
    )
