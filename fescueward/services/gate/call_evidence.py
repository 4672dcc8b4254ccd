"""Recognises requests that runs on the upstream of this VM have made."""

from __future__ import annotations

import math

# Time over which the usual number of runs is averaged. It is shorter than changes of the load, so
# that callers who send more while more runs are in progress are not taken for runs.
_AVERAGE_S = 1.0
# Weight of the observed part of this time from which on the average is used.
_MIN_WEIGHT = 0.9
# Added to numbers of runs, so that one arrival while none is in progress only weakens a belief.
_SMOOTHING = 0.05
# Bounds of the evidence. Requests that do not depend on runs reach _BELIEVED with a probability of
# about e^-10, since the evidence is the logarithm of a likelihood ratio.
_MIN_EVIDENCE = -8.0
_BELIEVED = 10.0
_MAX_EVIDENCE = 20.0
# Evidence below which a belief ends.
_DOUBTED = 4.0
# Difference between the time limits of a run and of its calls, in seconds, by delays on the way.
_LIMIT_TOLERANCE_S = 0.1
# Pairs of routes that are watched; the first ones are forgotten for further ones.
_MAX_PAIRS = 256


class _Runs:
    """Runs of one route that are in progress, with their usual number."""

    __slots__ = ("_counted_until", "_deadlines", "_sum", "_weight")

    def __init__(self, now: float) -> None:
        self._deadlines: list[float] = []
        # Sum of the numbers of runs, weighted by their age, and the sum of the weights.
        self._sum = 0.0
        self._weight = 0.0
        self._counted_until = now

    @property
    def count(self) -> int:
        return len(self._deadlines)

    @property
    def latest_deadline(self) -> float:
        return max(self._deadlines, default=0.0)

    def average(self, now: float) -> float | None:
        """Returns the mean number of runs of the last seconds, or None before it is known."""
        self._count_until(now)
        return self._sum / self._weight if self._weight >= _MIN_WEIGHT else None

    def begin(self, deadline: float, now: float) -> None:
        self._count_until(now)
        self._deadlines.append(deadline)

    def end(self, deadline: float, now: float) -> None:
        self._count_until(now)
        self._deadlines.remove(deadline)

    def _count_until(self, now: float) -> None:
        elapsed_s = now - self._counted_until
        if elapsed_s > 0:
            weight = -math.expm1(-elapsed_s / _AVERAGE_S)
            self._sum += weight * (self.count - self._sum)
            self._weight += weight * (1 - self._weight)
            self._counted_until = now


class _Arrivals:
    """Arrivals on one route, with what they say about the runs of one other route."""

    __slots__ = ("_average", "_rate", "_seen_at", "evidence")

    def __init__(self) -> None:
        self.evidence = 0.0
        # Arrivals per second, and mean number of runs, when the last request arrived.
        self._rate = 0.0
        self._average = 0.0
        self._seen_at: float | None = None

    def add(self, runs: int, average: float, now: float) -> None:
        """Adds one arrival.

        The first term is the ratio of the likelihoods of an arrival now, the second one that of no
        arrival since the last one: the integral of the difference of both rates, for an average
        that follows the number of runs exponentially.
        """
        if self._seen_at is not None:
            added = math.log((runs + _SMOOTHING) / (average + _SMOOTHING))
            drift = math.log((average + _SMOOTHING) / (self._average + _SMOOTHING))
            added -= self._rate * _AVERAGE_S * drift
            self.evidence = min(max(self.evidence + added, _MIN_EVIDENCE), _MAX_EVIDENCE)
            elapsed_s = now - self._seen_at
            # The rate leaves out this arrival, since it is used for the time after it.
            self._rate = (self._rate + 1 / _AVERAGE_S) * math.exp(-elapsed_s / _AVERAGE_S)
        self._average, self._seen_at = average, now


class CallEvidence:
    """Evidence that the requests of one route are calls of the runs of another.

    Requests of an upstream arrive at the port for the callers of its VM, without a mark. Calls
    arrive in proportion to the runs of their parents' route that are in progress, other requests
    arrive regardless of them. Each arrival adds the logarithm of the ratio of both likelihoods. It
    answers the load of calls that compete with new work: a call that is mistaken for new work is
    served as before.
    """

    def __init__(self) -> None:
        self._runs: dict[str, _Runs] = {}
        # By the route of the request and the route of the runs.
        self._arrivals: dict[tuple[str, str], _Arrivals] = {}
        self._believed: dict[str, str] = {}

    def run_began(self, route: str, deadline: float, now: float) -> None:
        """Counts a run on the upstream of this VM; `deadline` is what the upstream was told."""
        runs = self._runs.get(route)
        if runs is None:
            runs = self._runs[route] = _Runs(now)
        runs.begin(deadline, now)

    def run_ended(self, route: str, deadline: float, now: float) -> None:
        """Counts the end of a run; `deadline` as at its beginning."""
        self._runs[route].end(deadline, now)

    def parent_of(self, route: str) -> str | None:
        """Returns the route whose runs make the requests of a route, or None if none is known."""
        return self._believed.get(route)

    def arrived(self, route: str, deadline: float, now: float) -> bool:
        """Counts a request of this VM and returns whether a run has made it.

        Args:
            route: Its route.
            deadline: Its deadline; a call ends with its parent at the latest.
            now: Current time in seconds of CLOCK_BOOTTIME.
        """
        for parent, runs in self._runs.items():
            if parent != route:
                self._weigh(route, parent, runs, now)
        believed_parent = self._believed.get(route)
        if believed_parent is None:
            return False
        runs = self._runs[believed_parent]
        return runs.count > 0 and deadline <= runs.latest_deadline + _LIMIT_TOLERANCE_S

    def _weigh(self, route: str, parent: str, runs: _Runs, now: float) -> None:
        usual = runs.average(now)
        if usual is None:
            return
        arrivals = self._arrivals.get((route, parent))
        if arrivals is None:
            if len(self._arrivals) >= _MAX_PAIRS:
                self._forget(*next(iter(self._arrivals)))
            arrivals = self._arrivals[route, parent] = _Arrivals()
        arrivals.add(runs.count, usual, now)
        if arrivals.evidence >= _BELIEVED and route not in self._believed:
            self._believed[route] = parent
        elif arrivals.evidence < _DOUBTED and self._believed.get(route) == parent:
            del self._believed[route]

    def _forget(self, route: str, parent: str) -> None:
        del self._arrivals[route, parent]
        if self._believed.get(route) == parent:
            del self._believed[route]
