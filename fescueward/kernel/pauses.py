"""Detection of pauses of this process."""

from __future__ import annotations

from .clock import Clock

_CHECK_PERIOD_S = 0.25
# A busy event loop is late by less.
_MIN_PAUSE_S = 1.0


class PauseWatch:
    """Remembers when this process was last paused or suspended.

    Args:
        clock: Source of time, which advances during a suspension.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Time of the last check, or None before the first.
        self._checked_at: float | None = None
        self._pause_start = self._pause_end = float("-inf")

    async def run(self) -> None:
        """Checks the time periodically, until it is cancelled."""
        self._checked_at = self._clock.now()
        while True:
            await self._clock.sleep(_CHECK_PERIOD_S)
            self._check()

    def earliest_arrival(self) -> float:
        """Returns the earliest time at which a signal that is handled now can have been sent.

        A signal that is sent during a pause is handled at its end.

        Returns:
            Time in seconds of the clock.
        """
        self._check()
        now = self._clock.now()
        return self._pause_start if now - self._pause_end < _CHECK_PERIOD_S else now

    def _check(self) -> None:
        if self._checked_at is None:
            return
        now = self._clock.now()
        if now - self._checked_at > _MIN_PAUSE_S:
            self._pause_start, self._pause_end = self._checked_at, now
        self._checked_at = now
