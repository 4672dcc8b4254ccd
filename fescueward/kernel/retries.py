"""Tasks that read data of other programs go on after an unexpected exception."""

from __future__ import annotations

import traceback

from .clock import Clock
from .events import Event, Level

_READING_FAILED = Event(
    1008,
    "reading_failed",
    Level.ERROR,
    "Reading data of another program raised an unexpected exception; its task goes on.",
)

# Pause after the first of several unexpected exceptions in a row, and the longest one. A fault
# that occurs at each reading then costs little processor time and few log lines.
_INITIAL_PAUSE_S = 0.25
_MAX_PAUSE_S = 5.0


class ReadingRetries:
    """Pauses of one task that reads data of other programs.

    The kernel stops the process when a task fails. What another program writes must not do that,
    so such a task continues, and its pauses keep a fault that recurs from occupying the processor.

    Args:
        task: Name of the task for the log.
        clock: Source of time.
    """

    def __init__(self, task: str, clock: Clock) -> None:
        self._task = task
        self._clock = clock
        self._pause_s = _INITIAL_PAUSE_S

    def succeeded(self) -> None:
        """Records a reading without an exception, after which the pauses are short again."""
        self._pause_s = _INITIAL_PAUSE_S

    async def pause_after(self, error: Exception) -> None:
        """Logs an unexpected exception and waits, twice as long after each one in a row."""
        report_reading_failure(self._task, error)
        pause_s, self._pause_s = self._pause_s, min(self._pause_s * 2, _MAX_PAUSE_S)
        await self._clock.sleep(pause_s)


def report_reading_failure(task: str, error: Exception) -> None:
    """Logs an unexpected exception with the place that raised it."""
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    _READING_FAILED.emit(
        task=task, error=type(error).__name__, detail=str(error)[:300], place=place
    )
