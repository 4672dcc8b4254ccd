"""Choice of the members that watch the platform for a group or a fleet.

A few members watch, the others get changes from them. A watcher that falls silent or whose watch
fails is replaced by another member. The members that could replace it take their turns one after
the other, so that a large fleet does not read the whole platform at once. The first of them, the
deputies, get statuses more often and thus notice the silence of a watcher first.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from itertools import islice

from ...messages import Member, MemberState

WATCHER_COUNT = 2
DEPUTY_COUNT = 4
# Three status periods. A watcher without a status for longer is replaced.
STATUS_TIMEOUT_S = 3.0
# The same for deputies and other watchers. A configuration has to reach all agents in time even if
# the watchers fall silent just before it is stored.
DEPUTY_STATUS_TIMEOUT_S = 0.75
# Time that each candidate has to start its watch before the next one starts too.
_TURN_S = 0.15
# Time for which a member whose watch failed is passed over.
_FAILURE_EXPIRY_S = 1.0
# Time for which statuses and failures are kept; well above all other times here.
_MEMORY_S = 60.0


@dataclass(frozen=True, slots=True)
class _Status:
    """The last status of a member whose watch is healthy.

    Attributes:
        at: When it arrived.
        expires_at: When the member counts as silent.
    """

    at: float
    expires_at: float


_NO_STATUS = _Status(0.0, 0.0)


class WatcherRoster:
    """Statuses of watchers, and the choice that follows from them.

    All times are in seconds of CLOCK_BOOTTIME.
    """

    def __init__(self) -> None:
        self._statuses: dict[str, _Status] = {}
        self._failed_at: dict[str, float] = {}
        self._expected_since = 0.0

    def expect_statuses(self, now: float) -> None:
        """Takes the first members for watchers until they had time to send a status."""
        self._expected_since = now

    def record_status(
        self, member_id: str, healthy: bool, now: float, timeout_s: float = STATUS_TIMEOUT_S
    ) -> None:
        """Records a status of a member, or the result of the own watch under the own id.

        Args:
            member_id: The member.
            healthy: Whether its last watch call succeeded.
            now: The current time.
            timeout_s: Time after which the member counts as silent without a further status.
        """
        if healthy:
            self._failed_at.pop(member_id, None)
            if member_id not in self._statuses:
                self._forget_old(now)
            self._statuses[member_id] = _Status(now, now + timeout_s)
        else:
            if member_id not in self._failed_at:
                self._forget_old(now)
            self._failed_at[member_id] = now

    def _forget_old(self, now: float) -> None:
        """Removes what is known of members that left, which has no other end in these tables."""
        for member_id, status in tuple(self._statuses.items()):
            if now - status.at > _MEMORY_S:
                del self._statuses[member_id]
        for member_id, at in tuple(self._failed_at.items()):
            if now - at > _MEMORY_S:
                del self._failed_at[member_id]

    def has_healthy_watcher(self, members: Mapping[str, Member], now: float) -> bool:
        """Whether a member has sent a status recently and has reported no failure since."""
        return any(
            member_id in members
            and now - status.at < STATUS_TIMEOUT_S
            and not self._has_failed(member_id, now)
            for member_id, status in self._statuses.items()
        )

    def watchers(
        self, members: Mapping[str, Member], own_id: str, now: float
    ) -> tuple[Member, ...]:
        """Returns the members that watch the platform, by id.

        Args:
            members: The members that may watch.
            own_id: Id of this agent, which is among the watchers once its turn has come.
            now: The current time.
        """
        due_at = self._statuses_due_at(members, own_id, now)
        chosen = self._current_ids(members, own_id, due_at, now)
        if (
            len(chosen) < WATCHER_COUNT
            and own_id in members
            and own_id not in chosen
            and not self._has_failed(own_id, now)
        ):
            ahead = self._candidates(members, own_id, chosen, now).index(own_id)
            if self._has_turn(ahead, due_at, now):
                chosen = sorted([*chosen, own_id])
        return tuple(members[member_id] for member_id in chosen)

    def deputies(
        self, members: Mapping[str, Member], own_id: str, now: float
    ) -> tuple[Member, ...]:
        """Returns the members that replace the watchers first, in the order of their turns."""
        due_at = self._statuses_due_at(members, own_id, now)
        chosen = self._current_ids(members, own_id, due_at, now)
        candidates = self._candidates(members, own_id, chosen, now)[:DEPUTY_COUNT]
        return tuple(members[member_id] for member_id in candidates)

    def _statuses_due_at(self, members: Mapping[str, Member], own_id: str, now: float) -> float:
        """Returns when this agent has had time to receive a status of each watcher."""
        latest = self._expected_since + STATUS_TIMEOUT_S
        if now >= latest:
            return latest
        expected_ids = _first_active_ids(members)
        deputies = self._candidates(members, own_id, expected_ids, now)[:DEPUTY_COUNT]
        # Deputies get statuses more often. They notice the silence of watchers for all others,
        # also if they have just joined.
        return self._expected_since + DEPUTY_STATUS_TIMEOUT_S if own_id in deputies else latest

    def _current_ids(
        self, members: Mapping[str, Member], own_id: str, due_at: float, now: float
    ) -> list[str]:
        """Returns the ids of the first members that watch, as far as this agent knows."""
        # Once statuses are due, only members that have sent one can be current.
        current = (
            member_id
            for member_id in sorted(self._statuses if now >= due_at else members)
            if member_id in members
            and (member_id == own_id or members[member_id].state is MemberState.ACTIVE)
            and self._is_current(member_id, due_at, now)
        )
        return list(islice(current, WATCHER_COUNT))

    def _candidates(
        self, members: Mapping[str, Member], own_id: str, chosen: list[str], now: float
    ) -> list[str]:
        """Returns the ids of the members that could become watchers, in the order of their turns.

        The first ones are of different failure domains, since one domain can fail at once. Silent
        watchers are the last, also if no status of them was received.
        """
        silent = {id_ for id_, status in self._statuses.items() if status.expires_at <= now}
        silent.update(id_ for id_ in _first_active_ids(members) if id_ not in self._statuses)
        silent.discard(own_id)
        ids = sorted(
            (
                member_id
                for member_id in members
                if member_id not in chosen and not self._has_failed(member_id, now)
            ),
            key=lambda member_id: (member_id in silent, member_id),
        )
        first_of_domain: dict[str, str] = {}
        for member_id in ids:
            first_of_domain.setdefault(members[member_id].failure_domain, member_id)
        preferred = list(first_of_domain.values())[:DEPUTY_COUNT]
        return preferred + [member_id for member_id in ids if member_id not in preferred]

    def _has_turn(self, candidates_ahead: int, due_at: float, now: float) -> bool:
        """Whether this agent has waited long enough for the candidates before it."""
        vacant_since = self._vacant_since(due_at, now)
        if vacant_since is None:
            return not candidates_ahead
        return now >= vacant_since + (candidates_ahead + 1) * _TURN_S

    def _is_current(self, member_id: str, due_at: float, now: float) -> bool:
        """Whether a member has reported no failure, and a status recently if one was due."""
        status = self._statuses.get(member_id, _NO_STATUS)
        has_status = status.at > self._expected_since
        expires_at = status.expires_at if has_status else max(status.expires_at, due_at)
        last_at = max(status.at, self._expected_since)
        return now < expires_at and last_at > self._failed_at.get(member_id, 0.0)

    def _has_failed(self, member_id: str, now: float) -> bool:
        failed_at = self._failed_at.get(member_id)
        return failed_at is not None and now - failed_at < _FAILURE_EXPIRY_S

    def _vacant_since(self, due_at: float, now: float) -> float | None:
        """Returns when the latest watcher was lost, by silence or by a failure, or None."""
        ends = (*(status.expires_at for status in self._statuses.values()), due_at)
        lost_at = [end for end in ends if end <= now]
        return max((*lost_at, *self._failed_at.values()), default=None)


def _first_active_ids(members: Mapping[str, Member]) -> list[str]:
    """Returns the ids of the members that watch unless they are silent or their watch fails."""
    ids = (id_ for id_ in sorted(members) if members[id_].state is MemberState.ACTIVE)
    return list(islice(ids, WATCHER_COUNT))
