"""Number of slots of the upstream that are in use at most."""

from __future__ import annotations

from ...kernel import Clock, Event, Level

_SLOTS_REDUCED = Event(
    3101, "slots_reduced", Level.WARNING, "The upstream sheds load, so fewer slots are used."
)
_SLOW_START = Event(
    3102, "slow_start", Level.INFO, "The upstream is cold, so its slots come into use gradually."
)

# Share of the slots that a cold upstream gets at once, and the time until all of them are usable.
_COLD_SHARE = 0.25
_COLD_PERIOD_S = 10.0
# While the upstream is cold, a run adds _COLD_STEP_SLOTS slots if the mean run time is at most
# _COLD_TOLERANCE times the lowest mean so far.
_COLD_TOLERANCE = 1.5
_COLD_STEP_SLOTS = 0.5
# A request that the upstream sheds multiplies the limit by this factor. Reductions are at least
# one mean run time apart, because requests that are shed together report the same overload.
_REDUCTION_FACTOR = 0.8
# Share of the slots that is used until the upstream has responded once: it may have named a rate
# to an earlier process of this agent.
_UNHEARD_SHARE = 0.25


class SlotLimit:
    """Follows the announced slots, a slow start and the requests that the upstream sheds.

    Args:
        clock: Source of time.

    Attributes:
        slots: Slots that the upstream has announced.
        heard: Whether the present start has responded, or cannot name a rate.
    """

    def __init__(self, clock: Clock) -> None:
        self.slots = 1
        self.heard = True
        self._clock = clock
        self._cold_since: float | None = None
        self._cold_slots = 0.0
        self._fastest_mean_s: float | None = None
        self._shed_limit = float("inf")
        self._reduced_at = 0.0

    def current(self) -> int:
        """Returns the number of usable slots, at least 1."""
        limit = min(float(self.slots), self._shed_limit)
        if not self.heard:
            limit = min(limit, max(self.slots * _UNHEARD_SHARE, 1.0))
        if self._cold_since is not None:
            elapsed_share = (self._clock.now() - self._cold_since) / _COLD_PERIOD_S
            if elapsed_share >= 1 or self._cold_slots >= self.slots:
                self._cold_since = None
            else:
                share = _COLD_SHARE + (1 - _COLD_SHARE) * elapsed_share
                limit = min(limit, max(self._cold_slots, self.slots * share))
        return max(int(limit), 1)

    def begin_slow_start(self) -> None:
        """Limits the slots of a cold upstream; they come into use gradually."""
        self._cold_since = self._clock.now()
        self._cold_slots = max(self.slots * _COLD_SHARE, 1.0)
        self._fastest_mean_s = None
        self._shed_limit = float("inf")
        _SLOW_START.emit(slots=self.slots, usable=int(self._cold_slots))

    def record_run(self, mean_s: float) -> None:
        """Raises the limit after a successful run.

        Args:
            mean_s: Mean run time with this run, in seconds.
        """
        if self._cold_since is not None:
            fastest_mean_s = self._fastest_mean_s
            if fastest_mean_s is None or mean_s <= fastest_mean_s * _COLD_TOLERANCE:
                self._cold_slots += _COLD_STEP_SLOTS
            self._fastest_mean_s = min(fastest_mean_s or mean_s, mean_s)
        if self._shed_limit < self.slots:
            # Adds one slot after as many successful runs as there are usable slots.
            self._shed_limit += 1 / self._shed_limit

    def record_shed(self, running: int, mean_s: float) -> None:
        """Lowers the limit after a request that the upstream has shed.

        Args:
            running: Number of requests that still run.
            mean_s: Mean run time in seconds.
        """
        now = self._clock.now()
        if now - self._reduced_at < mean_s:
            return
        self._reduced_at = now
        self._shed_limit = max(min(self._shed_limit, running + 1) * _REDUCTION_FACTOR, 1.0)
        _SLOTS_REDUCED.emit(limit=int(self._shed_limit), slots=self.slots)
