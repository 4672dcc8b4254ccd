"""How often each kind of request is served at one gate."""

from __future__ import annotations

from dataclasses import dataclass

from ...kernel import Event, Level
from ...messages import Request

_KIND_STARVED = Event(
    3110,
    "kind_starved",
    Level.INFO,
    "A kind of request is served less than half as often as all here, so it goes first.",
)
_KIND_RECOVERED = Event(
    3111, "kind_recovered", Level.INFO, "A kind of request is served about as often as others."
)

# Time in which counts lose half of their weight: a shortage that ended does not decide for long.
_HALF_LIFE_S = 4.0
_DECAY_PERIOD_S = 0.1
# Requests of a kind that have to be counted before it can be starved or trail another kind.
_MIN_DECIDED = 5.0
# Kinds that have not been counted for a while are forgotten.
_MIN_WEIGHT = 0.01
# A kind that is served less than this share as often as all requests is starved.
_STARVED_SHARE = 0.5
# Share of the others at which a kind counts as recovered in the log; the order needs no margin.
_RECOVERED_SHARE = 0.75
# Lead in the served share that a less urgent kind may have over a more urgent one.
_PERMITTED_LEAD = 0.05


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Requests that compete as one.

    Attributes:
        inner: Whether runs have made the requests.
        priority: Rank; 0 is served first.
        route: Name of the route, or empty.
    """

    inner: bool
    priority: int
    route: str


def kind_of(request: Request) -> RequestKind:
    """Returns the kind of a request."""
    return RequestKind(request.inner, request.priority, request.route)


@dataclass(slots=True)
class _Counts:
    served: float = 0.0
    refused: float = 0.0

    @property
    def decided(self) -> float:
        return self.served + self.refused


class ServedShares:
    """Counts the requests served and refused by kind; older ones lose their weight.

    Requests that wait are not counted, so a kind that only waits longer is not starved. It answers
    a lasting shortage, in which an order by priority alone gives the least urgent kind nothing.
    """

    def __init__(self) -> None:
        self._counts: dict[RequestKind, _Counts] = {}
        self._reported_starved: set[RequestKind] = set()
        self._decayed_at = 0.0

    @property
    def kinds(self) -> tuple[RequestKind, ...]:
        """The kinds that were counted lately."""
        return tuple(self._counts)

    def record_served(self, request: Request, now: float) -> None:
        """Counts a run that begins; one of a caller that returns replaces its refusal."""
        counts = self._counts_of(request, now)
        counts.served += 1
        if request.returning:
            counts.refused = max(counts.refused - 1, 0.0)
        kind = kind_of(request)
        if kind in self._reported_starved and not self._is_below(kind, _RECOVERED_SHARE):
            self._reported_starved.discard(kind)
            _KIND_RECOVERED.emit(route=kind.route, priority=kind.priority, inner=kind.inner)

    def record_refused(self, request: Request, now: float) -> None:
        """Counts a refusal, for each caller the first one."""
        if request.returning:
            return
        self._counts_of(request, now).refused += 1
        kind = kind_of(request)
        if kind not in self._reported_starved and self.is_starved(kind):
            self._reported_starved.add(kind)
            _KIND_STARVED.emit(
                route=kind.route,
                priority=kind.priority,
                inner=kind.inner,
                share=round(self.share(kind), 2),
            )

    def share(self, kind: RequestKind) -> float:
        """Returns the served share of the requests of a kind, 1.0 before enough are counted."""
        counts = self._counts.get(kind)
        if counts is None or counts.decided < _MIN_DECIDED:
            return 1.0
        return counts.served / counts.decided

    def is_starved(self, kind: RequestKind) -> bool:
        """Returns whether a kind is served less than half as often as all requests."""
        return self._is_below(kind, _STARVED_SHARE)

    def is_trailing(self, kind: RequestKind) -> bool:
        """Returns whether a less urgent kind is served more often, by more than is permitted.

        Requests that runs have made are not compared: they are worth the run that waits for them.
        """
        permitted = self.share(kind) + _PERMITTED_LEAD
        return any(
            other.priority > kind.priority
            and not other.inner
            and counts.decided >= _MIN_DECIDED
            and self.share(other) > permitted
            for other, counts in self._counts.items()
        )

    def served_per_s(self, kind: RequestKind, now: float) -> float:
        """Returns the recent rate at which runs of a kind begin."""
        self._decay(now)
        counts = self._counts.get(kind)
        # The sum of weights that halve every _HALF_LIFE_S is the rate times the mean lifetime.
        return counts.served * 0.693 / _HALF_LIFE_S if counts is not None else 0.0

    def _is_below(self, kind: RequestKind, share: float) -> bool:
        """Returns whether a kind is served less often than this share of the mean of all."""
        served = sum(counts.served for counts in self._counts.values())
        decided = sum(counts.decided for counts in self._counts.values())
        return self.share(kind) * decided < share * served

    def _counts_of(self, request: Request, now: float) -> _Counts:
        self._decay(now)
        return self._counts.setdefault(kind_of(request), _Counts())

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._decayed_at
        if elapsed_s < _DECAY_PERIOD_S:
            return
        self._decayed_at = now
        factor = 0.5 ** (elapsed_s / _HALF_LIFE_S)
        for kind, counts in list(self._counts.items()):
            counts.served *= factor
            counts.refused *= factor
            if counts.decided < _MIN_WEIGHT:
                del self._counts[kind]
                self._reported_starved.discard(kind)
