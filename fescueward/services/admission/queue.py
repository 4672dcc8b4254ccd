"""Requests that wait for a slot, in the order in which they run."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, field

from sortedcontainers import SortedDict

from ...messages import Request
from .run_times import RunTimes
from .shares import RequestKind, ServedShares, kind_of

# Whether the caller is not one that returns, deadline and sequence number of a waiting request;
# the lowest of its kind gets the next slot.
QueuePosition = tuple[bool, float, int]
# Whether a kind is not starved, whether it is no call of a run, its priority and its mean run
# time; the lowest gets the next slot.
KindRank = tuple[bool, bool, int, float]
# Sequence number behind all others of the same deadline.
_LAST = 2**63


@dataclass(frozen=True, slots=True)
class Waiter:
    """A request that waits.

    Attributes:
        request: The request.
        admitted: Done once the request has a slot or is refused.
        sequence: Number of the request among all that have waited.
    """

    request: Request
    admitted: asyncio.Future[None]
    sequence: int


@dataclass(frozen=True, slots=True)
class _KindQueue:
    """Waiting requests of one kind.

    Attributes:
        on_time: Those whose responses can be in time.
        late: Those whose responses will be late.
    """

    on_time: SortedDict = field(default_factory=SortedDict)
    late: SortedDict = field(default_factory=SortedDict)


@dataclass(frozen=True, slots=True)
class WorkAhead:
    """Work that precedes a request which begins to wait.

    Attributes:
        requests: Number of waiting requests that run before.
        run_s: Their run time in seconds.
        late_requests: Number of late requests of this and of preceding kinds.
        late_run_s: Run time in seconds of these and of all requests that can be in time.
        overtaking_slots: Slots that kinds which precede the request have used on average lately;
            theirs that arrive during its wait run before it.
    """

    requests: int
    run_s: float
    late_requests: int
    late_run_s: float
    overtaking_slots: float


class RequestQueue:
    """Waiting requests by kind; those that will be late run last.

    Calls of running work go first, since their parent holds a slot already, then kinds by priority
    and, among equals, by run time: a short run earns the same in less time of a slot. A starved
    kind precedes all others until it is served half as often as they are.

    Args:
        shares: How often each kind is served at this gate.
    """

    def __init__(self, shares: ServedShares) -> None:
        self._shares = shares
        self._sequence_numbers = itertools.count()
        self._queues: dict[RequestKind, _KindQueue] = {}
        # Position of each request by its sequence number.
        self._positions: dict[int, QueuePosition] = {}

    def __len__(self) -> int:
        return len(self._positions)

    @property
    def has_on_time(self) -> bool:
        """Whether a request waits that can be in time."""
        return any(queue.on_time for queue in self._queues.values())

    def work_ahead(self, request: Request, run_times: RunTimes, now: float) -> WorkAhead:
        """Returns the work that precedes a request that would begin to wait now.

        Args:
            request: The request that would begin to wait.
            run_times: Measured run times by route.
            now: Current time in seconds of CLOCK_BOOTTIME.
        """
        kind = kind_of(request)
        rank = self._rank(kind, run_times)
        ahead = late_ahead = 0
        run_s = late_run_s = 0.0
        for other, queue in self._queues.items():
            on_time, late = 0, 0
            if other == kind:
                returns_later = not request.returning
                on_time = queue.on_time.bisect_left((returns_later, _useful_until(request), _LAST))
                late = len(queue.late)
            elif self._rank(other, run_times) < rank:
                on_time, late = len(queue.on_time), len(queue.late)
            mean_s = run_times.route_mean_s(other.route)
            ahead += on_time
            run_s += on_time * mean_s
            late_ahead += late
            late_run_s += (len(queue.on_time) + late) * mean_s
        overtaking_slots = sum(
            self._shares.served_per_s(other, now) * run_times.route_mean_s(other.route)
            for other in self._shares.kinds
            if other != kind and self._rank(other, run_times) < rank
        )
        return WorkAhead(ahead, run_s, late_ahead, late_run_s, overtaking_slots)

    def add(self, request: Request, late: bool) -> Waiter:
        """Adds a request behind those of its kind that end earlier."""
        admitted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = Waiter(request, admitted, next(self._sequence_numbers))
        self._insert(waiter, late)
        return waiter

    def pop(self, run_times: RunTimes) -> tuple[Waiter, bool]:
        """Removes and returns the request that runs next, and whether it was known to be late."""
        kinds = [kind for kind, queue in self._queues.items() if self._is_due(kind, queue)]
        kind = min(kinds or self._queues, key=lambda kind: self._rank(kind, run_times))
        queue = self._queues[kind]
        late = not queue.on_time
        position, waiter = (queue.late if late else queue.on_time).popitem(0)
        self._forget(kind, position)
        return waiter, late

    def put_late(self, waiter: Waiter) -> None:
        """Adds a request again that will be late by now."""
        self._insert(waiter, late=True)

    def remove(self, waiter: Waiter) -> None:
        """Removes a request if it still waits."""
        position = self._positions.get(waiter.sequence)
        if position is None:
            return
        kind = kind_of(waiter.request)
        queue = self._queues[kind]
        queue.on_time.pop(position, None)
        queue.late.pop(position, None)
        self._forget(kind, position)

    def _insert(self, waiter: Waiter, late: bool) -> None:
        request = waiter.request
        until = request.deadline if late else _useful_until(request)
        position = (not request.returning, until, waiter.sequence)
        self._positions[waiter.sequence] = position
        queue = self._queues.setdefault(kind_of(request), _KindQueue())
        (queue.late if late else queue.on_time)[position] = waiter

    def _forget(self, kind: RequestKind, position: QueuePosition) -> None:
        del self._positions[position[2]]
        queue = self._queues[kind]
        if not queue.on_time and not queue.late:
            del self._queues[kind]

    def _is_due(self, kind: RequestKind, queue: _KindQueue) -> bool:
        """Returns whether a kind competes for the next slot.

        Late requests of a kind that is served too seldom do, those of others run when no request
        waits that can be in time.
        """
        if queue.on_time:
            return True
        return self._shares.is_starved(kind) or self._shares.is_trailing(kind)

    def _rank(self, kind: RequestKind, run_times: RunTimes) -> KindRank:
        run_s = run_times.route_mean_s(kind.route)
        return (not self._shares.is_starved(kind), not kind.inner, kind.priority, run_s)


def _useful_until(request: Request) -> float:
    return request.useful_until or request.deadline
