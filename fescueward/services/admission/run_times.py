"""Measured run times of the upstream, over all routes and by route."""

from __future__ import annotations

# Weight of the newest sample in the mean run time and in its mean deviation.
_SAMPLE_WEIGHT = 0.1
# Value of a late response in proportion to one in time. A request that will be late is worth its
# slot if its run is shorter than this share of the runs that it competes with.
_LATE_VALUE = 0.3


class RunTimeStats:
    """Moving averages of the run time and of its deviation, in seconds."""

    __slots__ = ("_mean_square_s2", "deviation_s", "mean_s")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.deviation_s = 0.0
        self._mean_square_s2 = 0.0

    @property
    def holding_s(self) -> float:
        """Mean length of a run that holds a slot at a random moment; long runs weigh more."""
        return self._mean_square_s2 / self.mean_s if self._mean_square_s2 else self.mean_s

    def add(self, run_s: float) -> None:
        """Adds the time of one run in seconds."""
        if not self.mean_s:
            self.mean_s, self.deviation_s = run_s, run_s / 2
            self._mean_square_s2 = run_s * run_s
            return
        self._mean_square_s2 += _SAMPLE_WEIGHT * (run_s * run_s - self._mean_square_s2)
        self.deviation_s += _SAMPLE_WEIGHT * (abs(run_s - self.mean_s) - self.deviation_s)
        self.mean_s += _SAMPLE_WEIGHT * (run_s - self.mean_s)


class RunTimes:
    """Run times of all routes and of each; those of different routes can differ tenfold.

    Attributes:
        overall: Run times of all routes.
    """

    def __init__(self) -> None:
        self.overall = RunTimeStats()
        self._by_route: dict[str, RunTimeStats] = {}

    @property
    def mean_s(self) -> float:
        """Mean run time of all routes in seconds, 0.0 before the first run."""
        return self.overall.mean_s

    def add(self, run_s: float, route: str) -> None:
        """Adds the time of one run in seconds; `route` may be empty."""
        self.overall.add(run_s)
        if route:
            self._by_route.setdefault(route, RunTimeStats()).add(run_s)

    def route_mean_s(self, route: str) -> float:
        """Returns the mean run time of a route in seconds, that of all routes if none is known."""
        return self._by_route.get(route, self.overall).mean_s

    def expected_s(self, route: str) -> float:
        """Returns a time in seconds within which most runs of a route end, or 0.0 if unknown.

        The run time of other routes says nothing: a route that was refused for it would get no
        run, and so would never be known.
        """
        run_time = self._by_route.get(route) if route else self.overall
        return run_time.mean_s + 2 * run_time.deviation_s if run_time is not None else 0.0

    def is_short(self, route: str) -> bool:
        """Returns whether runs of a route are worth their slot even if they end late."""
        run_time = self._by_route.get(route)
        return run_time is not None and run_time.mean_s <= _LATE_VALUE * self.overall.holding_s
