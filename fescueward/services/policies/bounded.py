"""The policy `bounded-load`: rendezvous order with a bound on the load of each member."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ...interfaces.placement import GroupLoad
from ...messages import Entry, Group, Shard, Weight
from .exceptions import place_hot_keys
from .ledger import Ledger, target_of
from .losses import settle_lost, vacated, without_members

# Placement after a loss fills members up to this multiple of their share in rendezvous order.
_PLACE_BOUND = 1.03
# No shard below this part of the excess moves while a heavier one would do: fewer keys move.
_SMALL = 0.25
# A joined member that is starved is filled up to this part of its share.
_FILLED = 0.95
# A source may fall this far below its share, which heavy shards need. Single keys may leave more
# of a gap: it takes the next hot key, where hash shards that fill it would move twice.
_LOWEST = 0.93
_LOWEST_FOR_KEYS = 0.75
# Least gain of a move: ratio of the source after it above that of the target before it.
_LEAST_GAIN = 0.05


@dataclass(frozen=True, slots=True)
class Tuning:
    """Limits of the moves of one round.

    Attributes:
        trigger: Ratio of load to share above which hash shards move.
        key_trigger: Ratio above which exceptions move, each of which is a single key.
        goal: Ratio down to which hash shards relieve members.
        key_goal: Ratio down to which exceptions relieve members.
        starved: Ratio below which a member is filled.
        budget: Hash shards that may be in handover, as a share of all.
        key_budget: Exceptions that may be in handover.
    """

    trigger: float
    key_trigger: float
    goal: float
    key_goal: float
    starved: float
    budget: float
    key_budget: int


# Moves end well below the level that starts them, so that noise starts none.
TUNINGS: dict[Weight, Tuning] = {
    Weight.UNAVAILABILITY: Tuning(1.08, 1.05, 1.03, 1.02, 0.80, 0.10, 16),
    Weight.CHURN: Tuning(1.15, 1.05, 1.07, 1.02, 0.45, 0.03, 8),
}
_BELOW_TRIGGER = 0.03
# Below this part of the slots hardly anybody waits for a handover, so the shards spread at once.
_IDLE_WORK = 0.005
_IDLE_BUDGET = 0.5
# The budget grows in proportion to the excess of the worst member above this one, up to a factor.
_PLAIN_EXCESS = 0.25
_MOST_BUDGETS = 3.0


class BoundedLoadPolicy:
    """Balances measured work over slots, and moves only what has to move."""

    def assign(self, group: Group, lost: frozenset[str], load: GroupLoad, entry: Entry) -> Group:
        """Places the shards of lost members; see `PlacementPolicy.assign`."""
        remaining = without_members(group, lost)
        placer = _Placer(group, remaining, load)
        return settle_lost(group, remaining, lost, entry, placer.choose)

    def drain_member(self, group: Group, member_id: str, load: GroupLoad, entry: Entry) -> Group:
        """Sets successors for a leaving member; see `PlacementPolicy.drain_member`."""
        return vacated(group, member_id, _Placer(group, group, load).choose)

    def rebalance(self, group: Group, load: GroupLoad, entry: Entry) -> Group:
        """Changes exceptions, or else moves shards from members above their share."""
        changed = place_hot_keys(group, load, entry.groups)
        if changed.exceptions != group.exceptions or not changed.members:
            return changed
        return _Round(changed, load, entry).moved()


class _Placer:
    """Chooses owners in rendezvous order, as far as each has room."""

    def __init__(self, group: Group, remaining: Group, load: GroupLoad) -> None:
        self._group = group
        self._ledger = Ledger(remaining, load)
        self._by_name = {member.name: member.id for member in self._ledger.members.values()}

    def choose(self, shard_id: int, old_owner: str | None) -> str | None:
        ledger = self._ledger
        if not ledger.members:
            return None
        weight = ledger.weights[shard_id]
        ordered = sorted(ledger.members, key=lambda found: ledger.rank(shard_id, found))
        old = self._group.members.get(old_owner or "")
        returned = self._by_name.get(old.name) if old is not None else None
        if returned is not None:
            # A server that was restarted gets its shards back.
            ordered.sort(key=lambda found: found != returned)
        for member_id in ordered:
            bound = ledger.ramped_share(member_id) * _PLACE_BOUND
            if ledger.loads[member_id] + weight <= bound:
                break
        else:
            member_id = min(
                ordered,
                key=lambda found: (ledger.loads[found] + weight) / ledger.ramped_share(found),
            )
        ledger.move(shard_id, None, member_id)
        return member_id


class _Round:
    """The moves of one round."""

    def __init__(self, group: Group, load: GroupLoad, entry: Entry) -> None:
        self._group = group
        self._entry = entry
        self._tuning = tuning = TUNINGS[entry.weight]
        self._ledger = Ledger(group, load)
        self._shards = list(group.shards)
        moving = [shard_id for shard_id, shard in enumerate(group.shards) if shard.successor]
        keys = sum(shard_id >= group.shard_count for shard_id in moving)
        budget = max(1, int(group.shard_count * self._budget_share()))
        self._budget = {False: budget - len(moving) + keys, True: tuning.key_budget - keys}

    def moved(self) -> Group:
        """Returns the group with successors set."""
        ledger, tuning = self._ledger, self._tuning
        if not ledger.members:
            return self._group
        self._place_unowned()
        if ledger.worst() > tuning.key_trigger:
            self._relieve(exceptions=True)
        # A member that joined takes from all others; moves between those would be wasted.
        filled = self._fill_starved()
        if filled and ledger.worst() > tuning.trigger:
            self._relieve(exceptions=False)
        return replace(self._group, shards=tuple(self._shards))

    def _budget_share(self) -> float:
        ledger = self._ledger
        if ledger.measured < _IDLE_WORK * sum(member.slots for member in ledger.members.values()):
            return _IDLE_BUDGET
        urgency = (ledger.worst() - 1) / _PLAIN_EXCESS
        return self._tuning.budget * min(max(urgency, 1.0), _MOST_BUDGETS)

    def _place_unowned(self) -> None:
        if all(shard.owner for shard in self._shards[: self._group.shard_count]):
            return
        placed = settle_lost(
            replace(self._group, shards=tuple(self._shards)),
            self._group,
            frozenset(),
            self._entry,
            self._first,
        )
        self._shards = list(placed.shards)

    def _first(self, shard_id: int, _: str | None) -> str:
        ledger = self._ledger
        chosen = min(ledger.members, key=lambda found: ledger.rank(shard_id, found))
        ledger.move(shard_id, None, chosen)
        return chosen

    def _relieve(self, *, exceptions: bool) -> None:
        ledger = self._ledger
        goal = self._tuning.key_goal if exceptions else self._tuning.goal
        exhausted: set[str] = set()
        while self._budget[exceptions] > 0:
            sources = [
                found
                for found in ledger.members
                if found not in exhausted and ledger.ratio(found) > goal
            ]
            if not sources:
                return
            source = max(sources, key=ledger.ratio)
            move = self._best_move(source, list(ledger.members), exceptions, spread=False)
            if move is None:
                exhausted.add(source)
            else:
                self._apply(*move, source)

    def _fill_starved(self) -> bool:
        """Moves shards to members that have little; tells whether the budget sufficed."""
        ledger = self._ledger
        for target in sorted(ledger.members, key=ledger.ratio):
            ramp = ledger.ramped_share(target) / ledger.shares[target]
            if ledger.ratio(target) >= self._tuning.starved * ramp:
                continue
            while self._budget[False] > 0 and ledger.ratio(target) < _FILLED * ramp:
                moves = []
                for source in sorted(ledger.members, key=ledger.ratio, reverse=True):
                    if source == target or ledger.ratio(source) <= 1.0:
                        break
                    move = self._best_move(source, [target], False, spread=True)
                    if move is not None:
                        moves.append((ledger.rank(move[0], target), move, source))
                if not moves:
                    break
                _, move, source = min(moves, key=lambda found: found[0])
                self._apply(*move, source)
        return self._budget[False] > 0

    def _best_move(
        self, source: str, targets: list[str], exceptions: bool, *, spread: bool
    ) -> tuple[int, str] | None:
        """Returns shard and target of the best move away from a member.

        Args:
            source: The member.
            targets: Members to choose from.
            exceptions: Whether exceptions move, else hash shards.
            spread: Whether the rendezvous order goes before the size of the move.
        """
        ledger = self._ledger
        excess = ledger.loads[source] - ledger.shares[source]
        bound = self._bound(source, exceptions)
        lowest = _LOWEST_FOR_KEYS if exceptions else _LOWEST
        best: tuple[tuple[bool, int, float], int, str] | None = None
        first = self._group.shard_count if exceptions else 0
        last = len(self._shards) if exceptions else self._group.shard_count
        for shard_id in range(first, last):
            shard, weight = self._shards[shard_id], ledger.weights[shard_id]
            if not self._movable(shard, source) or weight <= 0:
                continue
            rest = (ledger.loads[source] - weight) / ledger.shares[source]
            if rest < lowest:
                continue
            for target in targets:
                if rest < ledger.ratio(target) + _LEAST_GAIN and not spread:
                    continue
                room = ledger.ramped_share(target) * bound - ledger.loads[target]
                if target == source or weight > room:
                    continue
                small = not spread and weight < _SMALL * min(excess, room)
                score = (small, ledger.rank(shard_id, target), -weight)
                if best is None or score < best[0]:
                    best = (score, shard_id, target)
        return None if best is None else best[1:]

    def _bound(self, source: str, exceptions: bool) -> float:
        # Shards may be too heavy to fit below the goal. Half of the source's excess is still an
        # improvement, and staying below the trigger keeps the shard from moving on.
        tuning = self._tuning
        trigger = tuning.key_trigger if exceptions else tuning.trigger
        half = (self._ledger.ratio(source) + 1) / 2
        return max(tuning.key_goal, min(half, trigger - _BELOW_TRIGGER))

    def _movable(self, shard: Shard, source: str) -> bool:
        return shard.successor is None and target_of(shard) == source and shard.owner == source

    def _apply(self, shard_id: int, target: str, source: str) -> None:
        self._shards[shard_id] = replace(self._shards[shard_id], successor=target)
        self._ledger.move(shard_id, source, target)
        self._budget[shard_id >= self._group.shard_count] -= 1
