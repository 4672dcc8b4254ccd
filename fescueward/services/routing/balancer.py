"""Load balancing among the upstreams of a service without keys.

Answers the load of many routers that each see few responses. Their reports are old, so routers
that all choose the best member by them would choose the same one. Each compares a few members
drawn at random instead, with chances in proportion to the rates at which they finish requests.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ...messages import Member, MemberState
from ...messages.request import Occupancy
from ..admission.slowness import weighted

# Expected run time at an upstream without any measurement.
_DEFAULT_RUN_MS = 100.0
# Weight of the newest sample in the mean run time.
_SAMPLE_WEIGHT = 0.2
# Weight of the newest sample in the means over all members, of one route or of all.
_ROUTE_SAMPLE_WEIGHT = 0.05
# The weight of a reported queue length falls linearly to zero over this time.
_REPORT_EXPIRY_S = 1.0
# Cost of each kilobyte sent to or from another failure domain, as a share of a request's value:
# traffic between domains is charged.
_REMOTE_COST_PER_KB = 0.015
# An expected response time above _SAFE_TIME_SHARE of the remaining time costs _LATE_COST times the
# excess: run times vary, so such a response may be late.
_SAFE_TIME_SHARE = 0.6
_LATE_COST = 0.9
# Cost of response time within the objective. A faster response has no higher value, so this only
# breaks ties.
_RESPONSE_TIME_COST = 0.05
# The same for a response that later ones of its connection may have to wait for.
_DELAYING_RESPONSE_TIME_COST = 0.5
# Members that are compared for one request, of the own failure domain and of the others.
_LOCAL_SAMPLES = 2
_REMOTE_SAMPLES = 1
# Larger responses wait on the link of their member behind others.
_LARGE_RESPONSE_BYTES = 16_384
# Slots of a member that takes next to nothing, which bounds the expected wait there.
_MIN_USABLE_SLOTS = 0.1
# Headers and framing of a request and its response.
_OVERHEAD_BYTES = 800
# Response times may exceed the reported run time by this factor, because of waits and transfers.
_MAX_RESPONSE_FACTOR = 4.0
# Time for which a member is avoided after a refusal, unless all others are avoided too.
_AVOID_REFUSING_S = 0.15
# Time for which a member is avoided after its agent was unreachable.
_AVOID_UNREACHABLE_S = 0.5


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """Properties of a request that the choice of a member depends on.

    Attributes:
        size: Size of its body in bytes.
        useful_ms: Remaining time in milliseconds in which a response has its full value.
        route: Name of its route. Run times of the routes to one service can differ tenfold.
        delays_others: Whether responses to later requests may have to wait for this one.
    """

    size: int
    useful_ms: float
    route: str = ""
    delays_others: bool = False


@dataclass(slots=True)
class _RouteMeans:
    """Means over the members of the service."""

    response_ms: float
    response_bytes: float


@dataclass(slots=True)
class _MemberLoad:
    """Load of one member as observed by this agent and as reported by the member's agent."""

    outstanding: int = 0
    run_ms: float = 0.0
    reported_occupancy: Occupancy | None = None
    reported_at: float = 0.0
    avoid_until: float = 0.0
    response_bytes: float = 0.0


class Balancer:
    """Chooses among the members of one service by cost, mainly the expected response time.

    Args:
        failure_domain: Failure domain of this agent.
        generator: Source of the random draws.
    """

    def __init__(self, failure_domain: str, generator: random.Random | None = None) -> None:
        self._failure_domain = failure_domain
        self._random = generator or random.Random()
        self._loads: dict[str, _MemberLoad] = {}
        self._routes: dict[str, _RouteMeans] = {}
        # Mean of the reported run times, which stands for members without a report.
        self._mean_run_ms = 0.0
        self._mean_response_ms = 0.0

    def choose(
        self, members: Iterable[Member], tried: frozenset[str], now: float, profile: RequestProfile
    ) -> Member | None:
        """Returns the member with the lowest cost of some that are drawn; None if all were tried.

        Args:
            members: Members of the service.
            tried: Ids of members that the request was sent to before.
            now: Current time in seconds of CLOCK_BOOTTIME.
            profile: Properties of the request.
        """
        candidates = [
            member
            for member in members
            if member.state is MemberState.ACTIVE and member.id not in tried
        ]
        if not candidates:
            return None
        usable = [member for member in candidates if now >= self._load_of(member.id).avoid_until]
        local, remote = [], []
        for member in usable or candidates:
            (local if member.failure_domain == self._failure_domain else remote).append(member)
        drawn = self._draw(local, _LOCAL_SAMPLES, now) + self._draw(remote, _REMOTE_SAMPLES, now)
        return min(drawn, key=lambda member: (self._cost(member, now, profile), member.id))

    def _draw(self, members: Sequence[Member], count: int, now: float) -> list[Member]:
        """Draws members without repetition, with chances by their rates of finished requests."""
        if len(members) <= count:
            return list(members)
        # The smallest of exponential variates with the weights as rates are a weighted sample.
        keys = {
            member.id: self._random.expovariate(1.0)
            * self._run_ms(member.id)
            / self._slots(member, now)
            for member in members
        }
        return sorted(members, key=lambda member: keys[member.id])[:count]

    def _run_ms(self, member_id: str) -> float:
        """Returns the lasting run time; reports that response times contradict count less."""
        load = self._load_of(member_id)
        reported_ms = load.reported_occupancy.run_ms if load.reported_occupancy else 0.0
        if reported_ms:
            return max(reported_ms, load.run_ms / _MAX_RESPONSE_FACTOR)
        return load.run_ms or self._mean_run_ms or _DEFAULT_RUN_MS

    def _slots(self, member: Member, now: float) -> float:
        """Returns the slots of a member that the rate it has reported can keep busy.

        A rate counts as long as the report is fresh, and that of a cold member until it is warm.
        """
        load = self._load_of(member.id)
        occupancy, slots = load.reported_occupancy, float(max(member.slots, 1))
        if occupancy is None or occupancy.per_second is None:
            return slots
        if now - load.reported_at >= max(_REPORT_EXPIRY_S, occupancy.cold_ms / 1000):
            return slots
        usable_slots = occupancy.per_second * self._run_ms(member.id) / 1000
        return min(max(usable_slots, _MIN_USABLE_SLOTS), slots)

    def record_start(self, member_id: str) -> None:
        """Counts a request that is sent to a member as outstanding."""
        self._load_of(member_id).outstanding += 1

    def record_end(
        self,
        member_id: str,
        occupancy: Occupancy | None,
        run_ms: float | None,
        now: float,
        response_bytes: int = 0,
        route: str = "",
    ) -> None:
        """Ends an outstanding request and updates the load of its member.

        Args:
            member_id: The member.
            occupancy: Occupancy that the response or refusal carried, or None.
            run_ms: Response time in milliseconds, or None if the request was refused or failed.
            now: Current time in seconds of CLOCK_BOOTTIME.
            response_bytes: Size of the response body in bytes.
            route: Name of the route of the request.
        """
        load = self._load_of(member_id)
        load.outstanding = max(load.outstanding - 1, 0)
        if occupancy is not None:
            load.reported_occupancy, load.reported_at = occupancy, now
            if occupancy.run_ms:
                mean_run_ms = self._mean_run_ms or occupancy.run_ms
                self._mean_run_ms = mean_run_ms + _SAMPLE_WEIGHT * (occupancy.run_ms - mean_run_ms)
        if run_ms is not None:
            mean_run_ms = load.run_ms or run_ms
            load.run_ms = mean_run_ms + _SAMPLE_WEIGHT * (run_ms - mean_run_ms)
            load.response_bytes += _SAMPLE_WEIGHT * (response_bytes - load.response_bytes)
            self._record_route(route, run_ms, response_bytes)

    def _record_route(self, route: str, response_ms: float, response_bytes: int) -> None:
        mean_ms = self._mean_response_ms or response_ms
        self._mean_response_ms = mean_ms + _ROUTE_SAMPLE_WEIGHT * (response_ms - mean_ms)
        means = self._routes.setdefault(route, _RouteMeans(response_ms, response_bytes))
        means.response_ms += _ROUTE_SAMPLE_WEIGHT * (response_ms - means.response_ms)
        means.response_bytes += _ROUTE_SAMPLE_WEIGHT * (response_bytes - means.response_bytes)

    def avoid(self, member_id: str, now: float, unreachable: bool) -> None:
        """Avoids a member for a short time, longer if it was unreachable."""
        avoid_s = _AVOID_UNREACHABLE_S if unreachable else _AVOID_REFUSING_S
        self._load_of(member_id).avoid_until = now + avoid_s

    def _load_of(self, member_id: str) -> _MemberLoad:
        load = self._loads.get(member_id)
        if load is None:
            load = self._loads[member_id] = _MemberLoad()
        return load

    def _cost(self, member: Member, now: float, profile: RequestProfile) -> float:
        load = self._load_of(member.id)
        mean_ms = self._run_ms(member.id)
        route = self._routes.get(profile.route)
        run_ms, response_bytes = mean_ms, load.response_bytes
        if route is not None and self._mean_response_ms:
            # Members report the mean run time of all routes.
            run_ms *= route.response_ms / self._mean_response_ms
            response_bytes = route.response_bytes
        slots = self._slots(member, now)
        pending = float(load.outstanding)
        sending_ms = 0.0
        if load.reported_occupancy is not None:
            slowness = weighted(load.reported_occupancy.slowness, now - load.reported_at)
            mean_ms *= slowness
            run_ms *= slowness
            expired_share = min((now - load.reported_at) / _REPORT_EXPIRY_S, 1.0)
            reported_pending = load.reported_occupancy.running + load.reported_occupancy.waiting
            pending = max(pending, reported_pending * (1 - expired_share))
            if response_bytes > _LARGE_RESPONSE_BYTES:
                sending_ms = load.reported_occupancy.link_ms * (1 - expired_share)
        wait_ms = mean_ms * max(pending + 1 - slots, 0) / slots
        contention_ms = run_ms * min(pending / slots, 1.0) * 0.5
        time_share = (run_ms + wait_ms + contention_ms + sending_ms) / max(profile.useful_ms, 1.0)
        time_cost = _DELAYING_RESPONSE_TIME_COST if profile.delays_others else _RESPONSE_TIME_COST
        cost = time_share * time_cost + max(time_share - _SAFE_TIME_SHARE, 0.0) * _LATE_COST
        if member.failure_domain != self._failure_domain:
            crossing_bytes = profile.size + response_bytes + _OVERHEAD_BYTES
            cost += crossing_bytes / 1000 * _REMOTE_COST_PER_KB
        return cost
