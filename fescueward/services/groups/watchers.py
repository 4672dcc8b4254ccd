"""Choice of the members that watch the platform for a group or a fleet.

A few members watch, the others get changes from them. A watcher that falls silent or whose watch
fails is replaced by the next member in the order of ids. The members that could replace it take
their turns one after the other, so that a large fleet does not read the whole platform at once.
"""

from __future__ import annotations

from collections.abc import Mapping
from itertools import islice

from ...messages import Member, MemberState

WATCHER_COUNT = 2
# Three status periods. A watcher without a status for longer is replaced.
STATUS_TIMEOUT_S = 3.0
# Time that each candidate has to start its watch before the next one starts too.
_TURN_S = 0.15
# Time for which a member whose watch failed is passed over.
_FAILURE_EXPIRY_S = 1.0
# Time for which statuses and failures are kept; well above all other times here.
_MEMORY_S = 60.0


class WatcherRoster:
    """Statuses of watchers, and the choice that follows from them.

    All times are in seconds of CLOCK_BOOTTIME.
    """

    def __init__(self) -> None:
        self._status_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._expected_since = 0.0

    def expect_statuses(self, now: float) -> None:
        """Takes the first members for watchers until they had time to send a status."""
        self._expected_since = now

    def record_status(self, member_id: str, healthy: bool, now: float) -> None:
        """Records a status of a member, or the result of the own watch under the own id."""
        if healthy:
            self._failed_at.pop(member_id, None)
        times = self._status_at if healthy else self._failed_at
        if member_id not in times:
            # Members that left have no other end in this table.
            for other_id in [other for other, at in times.items() if now - at > _MEMORY_S]:
                del times[other_id]
        times[member_id] = now

    def has_healthy_watcher(self, members: Mapping[str, Member], now: float) -> bool:
        """Whether a member has sent a status recently and has reported no failure since."""
        return any(
            member_id in members
            and now - status_at < STATUS_TIMEOUT_S
            and not self._has_failed(member_id, now)
            for member_id, status_at in self._status_at.items()
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
        # Once statuses are due, only members that have sent one can be current.
        statuses_due = now - self._expected_since >= STATUS_TIMEOUT_S
        current = (
            member_id
            for member_id in sorted(self._status_at if statuses_due else members)
            if member_id in members
            and (member_id == own_id or members[member_id].state is MemberState.ACTIVE)
            and self._is_current(member_id, now)
        )
        chosen = list(islice(current, WATCHER_COUNT))
        if (
            len(chosen) < WATCHER_COUNT
            and own_id in members
            and own_id not in chosen
            and not self._has_failed(own_id, now)
            and self._has_turn(self._count_candidates_before(members, own_id, chosen, now), now)
        ):
            chosen = sorted([*chosen, own_id])
        return tuple(members[member_id] for member_id in chosen)

    def _count_candidates_before(
        self, members: Mapping[str, Member], own_id: str, chosen: list[str], now: float
    ) -> int:
        """Counts the members with a lower id that could become watchers."""
        passed_over = {*chosen, *(id_ for id_ in self._failed_at if self._has_failed(id_, now))}
        return sum(member_id < own_id and member_id not in passed_over for member_id in members)

    def _has_turn(self, candidates_ahead: int, now: float) -> bool:
        """Whether this agent has waited long enough for the candidates before it."""
        vacant_since = self._vacant_since(now)
        if vacant_since is None:
            return not candidates_ahead
        return now >= vacant_since + (candidates_ahead + 1) * _TURN_S

    def _is_current(self, member_id: str, now: float) -> bool:
        """Whether a member has reported no failure, and a status recently if one was expected."""
        last_at = max(self._status_at.get(member_id, 0.0), self._expected_since)
        return now - last_at < STATUS_TIMEOUT_S and last_at > self._failed_at.get(member_id, 0.0)

    def _has_failed(self, member_id: str, now: float) -> bool:
        failed_at = self._failed_at.get(member_id)
        return failed_at is not None and now - failed_at < _FAILURE_EXPIRY_S

    def _vacant_since(self, now: float) -> float | None:
        """Returns when the latest watcher was lost, by silence or by a failure, or None."""
        ends = (*self._status_at.values(), self._expected_since)
        lost_at = [end + STATUS_TIMEOUT_S for end in ends if end + STATUS_TIMEOUT_S <= now]
        return max((*lost_at, *self._failed_at.values()), default=None)
