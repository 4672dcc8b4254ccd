"""The policy `bounded-load`: rendezvous order with a bound on the load of each member."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ...interfaces.placement import GroupLoad
from ...messages import Entry, Group, Shard, Weight
from .exceptions import place_hot_keys
from .ledger import LoadTable, target_of
from .losses import reassign_lost, with_successors, without_members

# Shards are placed in rendezvous order on members up to this multiple of their share.
_PLACEMENT_BOUND = 1.03
# A shard below this fraction of the excess moves only if no heavier one fits: fewer keys move.
_SMALL_SHARD_FRACTION = 0.25
# An underloaded member is filled up to this fraction of its share.
_FILL_RATIO = 0.95
# Lowest ratio of load to share to which a move may reduce its source; heavy shards need a ratio
# below 1. Moves of single keys may leave a larger gap: the next hot key fills it, whereas hash
# shards that fill it would move twice.
_MIN_SOURCE_RATIO = 0.93
_MIN_SOURCE_RATIO_FOR_KEYS = 0.75
# Least difference between the ratio of the source after a move and of the target before it.
_MIN_GAIN = 0.05


@dataclass(frozen=True, slots=True)
class MoveLimits:
    """Limits of the moves of one round.

    Attributes:
        trigger: Ratio of load to share above which hash shards move.
        key_trigger: Ratio above which exceptions move, each of which is a single key.
        goal: Ratio down to which hash shards move away from members.
        key_goal: Ratio down to which exceptions move away from members.
        underload: Ratio below which a member is filled.
        budget: Hash shards that may be in handover, as a fraction of all.
        key_budget: Number of exceptions that may be in handover.
    """

    trigger: float
    key_trigger: float
    goal: float
    key_goal: float
    underload: float
    budget: float
    key_budget: int


# Moves stop well below the ratio that triggers them, so that measurement noise triggers none.
MOVE_LIMITS: dict[Weight, MoveLimits] = {
    Weight.UNAVAILABILITY: MoveLimits(1.08, 1.05, 1.03, 1.02, 0.80, 0.10, 16),
    Weight.CHURN: MoveLimits(1.15, 1.05, 1.07, 1.02, 0.45, 0.03, 8),
}
_TRIGGER_MARGIN = 0.03
# Below this work per slot hardly any request waits for a handover, so more shards may move
# at once.
_IDLE_WORK_PER_SLOT = 0.005
_IDLE_BUDGET_FRACTION = 0.5
# Above this excess of the most loaded member, the budget grows in proportion to the excess, up to
# a factor.
_BUDGET_EXCESS = 0.25
_MAX_BUDGET_FACTOR = 3.0


class BoundedLoadPolicy:
    """Balances measured work over slots with as few moves as possible."""

    def assign(self, group: Group, lost: frozenset[str], load: GroupLoad, entry: Entry) -> Group:
        """Places the shards of lost members; see `PlacementPolicy.assign`."""
        remaining_group = without_members(group, lost)
        placer = _Placer(group, remaining_group, load)
        return reassign_lost(group, remaining_group, lost, entry, placer.choose)

    def drain_member(self, group: Group, member_id: str, load: GroupLoad, entry: Entry) -> Group:
        """Sets successors for a leaving member; see `PlacementPolicy.drain_member`."""
        return with_successors(group, member_id, _Placer(group, group, load).choose)

    def rebalance(self, group: Group, load: GroupLoad, entry: Entry) -> Group:
        """Changes exceptions, or otherwise moves shards away from overloaded members."""
        changed = place_hot_keys(group, load, entry.groups)
        if changed.exceptions != group.exceptions or not changed.members:
            return changed
        return _Round(changed, load, entry).plan_moves()


class _Placer:
    """Chooses owners in rendezvous order among the members below their bound."""

    def __init__(self, group: Group, remaining_group: Group, load: GroupLoad) -> None:
        self._group = group
        self._table = LoadTable(remaining_group, load)
        self._by_name = {member.name: member.id for member in self._table.members.values()}

    def choose(self, shard_id: int, old_owner: str | None) -> str | None:
        table = self._table
        if not table.members:
            return None
        weight = table.weights[shard_id]
        ordered = sorted(table.members, key=lambda candidate: table.rank(shard_id, candidate))
        old_member = self._group.members.get(old_owner or "")
        restarted_id = self._by_name.get(old_member.name) if old_member is not None else None
        if restarted_id is not None:
            # A restarted server gets its shards back.
            ordered.sort(key=lambda candidate: candidate != restarted_id)
        for member_id in ordered:
            bound = table.ramped_share(member_id) * _PLACEMENT_BOUND
            if table.loads[member_id] + weight <= bound:
                break
        else:
            member_id = min(
                ordered,
                key=lambda candidate: (
                    (table.loads[candidate] + weight) / table.ramped_share(candidate)
                ),
            )
        table.move(shard_id, None, member_id)
        return member_id


class _Round:
    """Moves of one placement round."""

    def __init__(self, group: Group, load: GroupLoad, entry: Entry) -> None:
        self._group = group
        self._entry = entry
        self._limits = limits = MOVE_LIMITS[entry.weight]
        self._table = LoadTable(group, load)
        self._shards = list(group.shards)
        moving_ids = [shard_id for shard_id, shard in enumerate(group.shards) if shard.successor]
        moving_exceptions = sum(shard_id >= group.shard_count for shard_id in moving_ids)
        budget = max(1, int(group.shard_count * self._budget_fraction()))
        self._budget = {
            False: budget - len(moving_ids) + moving_exceptions,
            True: limits.key_budget - moving_exceptions,
        }

    def plan_moves(self) -> Group:
        """Returns the group with successors set."""
        table, limits = self._table, self._limits
        if not table.members:
            return self._group
        self._place_unowned()
        if table.max_ratio() > limits.key_trigger:
            self._reduce_overload(exceptions=True)
        # A new member takes shards from all others, so moves between those would be wasted.
        budget_left = self._fill_underloaded()
        if budget_left and table.max_ratio() > limits.trigger:
            self._reduce_overload(exceptions=False)
        return replace(self._group, shards=tuple(self._shards))

    def _budget_fraction(self) -> float:
        table = self._table
        if table.measured_work < _IDLE_WORK_PER_SLOT * sum(
            member.slots for member in table.members.values()
        ):
            return _IDLE_BUDGET_FRACTION
        urgency = (table.max_ratio() - 1) / _BUDGET_EXCESS
        return self._limits.budget * min(max(urgency, 1.0), _MAX_BUDGET_FACTOR)

    def _place_unowned(self) -> None:
        if all(shard.owner for shard in self._shards[: self._group.shard_count]):
            return
        placed = reassign_lost(
            replace(self._group, shards=tuple(self._shards)),
            self._group,
            frozenset(),
            self._entry,
            self._place_first,
        )
        self._shards = list(placed.shards)

    def _place_first(self, shard_id: int, _: str | None) -> str:
        table = self._table
        chosen = min(table.members, key=lambda candidate: table.rank(shard_id, candidate))
        table.move(shard_id, None, chosen)
        return chosen

    def _reduce_overload(self, *, exceptions: bool) -> None:
        table = self._table
        goal = self._limits.key_goal if exceptions else self._limits.goal
        exhausted: set[str] = set()
        while self._budget[exceptions] > 0:
            sources = [
                member_id
                for member_id in table.members
                if member_id not in exhausted and table.ratio(member_id) > goal
            ]
            if not sources:
                return
            source = max(sources, key=table.ratio)
            move = self._best_move(source, list(table.members), exceptions, spread=False)
            if move is None:
                exhausted.add(source)
            else:
                self._apply(*move, source)

    def _fill_underloaded(self) -> bool:
        """Moves shards to underloaded members; returns whether any budget is left."""
        table = self._table
        for target in sorted(table.members, key=table.ratio):
            ramp = table.ramped_share(target) / table.shares[target]
            if table.ratio(target) >= self._limits.underload * ramp:
                continue
            while self._budget[False] > 0 and table.ratio(target) < _FILL_RATIO * ramp:
                moves = []
                for source in sorted(table.members, key=table.ratio, reverse=True):
                    if source == target or table.ratio(source) <= 1.0:
                        break
                    move = self._best_move(source, [target], False, spread=True)
                    if move is not None:
                        moves.append((table.rank(move[0], target), move, source))
                if not moves:
                    break
                _, move, source = min(moves, key=lambda ranked_move: ranked_move[0])
                self._apply(*move, source)
        return self._budget[False] > 0

    def _best_move(
        self, source: str, targets: list[str], exceptions: bool, *, spread: bool
    ) -> tuple[int, str] | None:
        """Returns the shard and the target of the best move away from a member, or None.

        Args:
            source: The member.
            targets: Members to choose from.
            exceptions: Whether exceptions move, else hash shards.
            spread: Whether the rendezvous order takes precedence over the size of the move.
        """
        table = self._table
        excess = table.loads[source] - table.shares[source]
        bound = self._bound(source, exceptions)
        lowest = _MIN_SOURCE_RATIO_FOR_KEYS if exceptions else _MIN_SOURCE_RATIO
        best: tuple[tuple[bool, int, float], int, str] | None = None
        first = self._group.shard_count if exceptions else 0
        last = len(self._shards) if exceptions else self._group.shard_count
        for shard_id in range(first, last):
            shard, weight = self._shards[shard_id], table.weights[shard_id]
            if not self._is_movable(shard, source) or weight <= 0:
                continue
            source_ratio = (table.loads[source] - weight) / table.shares[source]
            if source_ratio < lowest:
                continue
            for target in targets:
                if source_ratio < table.ratio(target) + _MIN_GAIN and not spread:
                    continue
                room = table.ramped_share(target) * bound - table.loads[target]
                if target == source or weight > room:
                    continue
                is_small = not spread and weight < _SMALL_SHARD_FRACTION * min(excess, room)
                score = (is_small, table.rank(shard_id, target), -weight)
                if best is None or score < best[0]:
                    best = (score, shard_id, target)
        return None if best is None else best[1:]

    def _bound(self, source: str, exceptions: bool) -> float:
        # A shard may be too heavy to fit below the goal. A target with half of the excess of the
        # source is still an improvement, and a bound below the trigger prevents another move of
        # the shard.
        limits = self._limits
        trigger = limits.key_trigger if exceptions else limits.trigger
        half_excess_ratio = (self._table.ratio(source) + 1) / 2
        return max(limits.key_goal, min(half_excess_ratio, trigger - _TRIGGER_MARGIN))

    def _is_movable(self, shard: Shard, source: str) -> bool:
        return shard.successor is None and target_of(shard) == source and shard.owner == source

    def _apply(self, shard_id: int, target: str, source: str) -> None:
        self._shards[shard_id] = replace(self._shards[shard_id], successor=target)
        self._table.move(shard_id, source, target)
        self._budget[shard_id >= self._group.shard_count] -= 1
