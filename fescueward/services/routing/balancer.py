"""Choice among the upstreams of a service without keys."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ...messages import Member, MemberState
from ...messages.request import Occupancy

# A run is expected to take this long at an upstream that was never seen, in milliseconds.
_UNKNOWN_RUN_MS = 100.0
# Weight of the newest sample in the mean run time.
_SAMPLE_WEIGHT = 0.2
# A report of the queue says little about the time after it, in seconds.
_REPORT_AGE_S = 1.0
# Cost of another failure domain, as a share of a request's value for each kilobyte that crosses:
# bytes between domains are priced.
_REMOTE_COST_PER_KB = 0.015
# An expected time to the answer above this share of the time left begins to cost value, because
# run times scatter, and at this rate.
_SAFE_SHARE = 0.6
_LATE_COST = 0.9
# A faster answer within the objective has no more value; it only breaks ties.
_SPEED_COST = 0.05
# Cost of a member that refused or could not be reached a moment ago.
_AVOIDED_COST = 100.0
# Bytes of headers and framing of a request and its answer.
_OVERHEAD_BYTES = 800
# An upstream that refused is passed over for this long, in seconds, unless all others did too.
_REFUSED_S = 0.15
# An upstream whose agent could not be reached is passed over for this long, in seconds.
_UNREACHABLE_S = 0.5


@dataclass(frozen=True, slots=True)
class Ask:
    """What a request needs of the member that serves it.

    Attributes:
        size: Bytes of its body.
        useful_ms: Time left in which an answer has its full value.
    """

    size: int
    useful_ms: float


@dataclass(slots=True)
class _Seen:
    """What this agent knows of one member."""

    outstanding: int = 0
    run_ms: float = 0.0
    reported: Occupancy | None = None
    reported_at: float = 0.0
    avoid_until: float = 0.0
    answer_bytes: float = 0.0


class Balancer:
    """Chooses the member with the least expected time to the answer.

    Args:
        failure_domain: Failure domain of this agent.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._seen: dict[str, _Seen] = {}

    def choose(
        self, members: Iterable[Member], tried: frozenset[str], now: float, ask: Ask
    ) -> Member | None:
        """Returns the best member that was not tried yet, or None.

        Args:
            members: Members of the service.
            tried: Ids of members that the request was sent to before.
            now: Present time in seconds of CLOCK_BOOTTIME.
            ask: What the request needs.
        """
        candidates = [
            member
            for member in members
            if member.state is MemberState.ACTIVE and member.id not in tried
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda member: (self._cost(member, now, ask), member.id))

    def started(self, member_id: str) -> None:
        """Counts a request as sent."""
        self._of(member_id).outstanding += 1

    def ended(
        self,
        member_id: str,
        occupancy: Occupancy | None,
        run_ms: float | None,
        now: float,
        answer_bytes: int = 0,
    ) -> None:
        """Counts a request as answered.

        Args:
            member_id: The member.
            occupancy: Load that came with the answer, or None.
            run_ms: Time until the answer in milliseconds, or None if it was no success.
            now: Present time in seconds of CLOCK_BOOTTIME.
            answer_bytes: Bytes of the answer's body.
        """
        seen = self._of(member_id)
        seen.outstanding = max(seen.outstanding - 1, 0)
        if occupancy is not None:
            seen.reported, seen.reported_at = occupancy, now
        if run_ms is not None:
            before = seen.run_ms or run_ms
            seen.run_ms = before + _SAMPLE_WEIGHT * (run_ms - before)
            seen.answer_bytes += _SAMPLE_WEIGHT * (answer_bytes - seen.answer_bytes)

    def avoid(self, member_id: str, now: float, unreachable: bool) -> None:
        """Passes a member over for a short time."""
        period_s = _UNREACHABLE_S if unreachable else _REFUSED_S
        self._of(member_id).avoid_until = now + period_s

    def _of(self, member_id: str) -> _Seen:
        seen = self._seen.get(member_id)
        if seen is None:
            seen = self._seen[member_id] = _Seen()
        return seen

    def _cost(self, member: Member, now: float, ask: Ask) -> float:
        seen = self._of(member.id)
        run_ms = seen.run_ms or _UNKNOWN_RUN_MS
        busy = float(seen.outstanding)
        if seen.reported is not None:
            run_ms = seen.reported.run_ms or run_ms
            age = min((now - seen.reported_at) / _REPORT_AGE_S, 1.0)
            reported = seen.reported.running + seen.reported.waiting
            busy = max(busy, reported * (1 - age))
        slots = max(member.slots, 1)
        wait_ms = run_ms * max(busy + 1 - slots, 0) / slots
        crowding_ms = run_ms * min(busy / slots, 1.0) * 0.5
        share = (run_ms + wait_ms + crowding_ms) / max(ask.useful_ms, 1.0)
        cost = share * _SPEED_COST + max(share - _SAFE_SHARE, 0.0) * _LATE_COST
        if member.failure_domain != self._failure_domain:
            crossing = ask.size + seen.answer_bytes + _OVERHEAD_BYTES
            cost += crossing / 1000 * _REMOTE_COST_PER_KB
        if now < seen.avoid_until:
            cost += _AVOIDED_COST
        return cost
