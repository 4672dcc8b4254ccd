"""Load reported by the health page of the upstream stand-in, with selectable accuracy."""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass
from typing import Protocol

REPORT_LAG_S = 5.0


class ReportKind(enum.StrEnum):
    """How accurately `GET /health` reports the load."""

    HONEST = "honest"
    LAG = "lag"
    LIE = "lie"


@dataclass(frozen=True, slots=True)
class Health:
    """Body of `GET /health`.

    Attributes:
        state: `cold`, `ready` or `leaving`.
        in_flight: Reported number of running requests.
        load: `in_flight` divided by the number of slots.
    """

    state: str
    in_flight: int
    load: float


class LoadReporter(Protocol):
    """Source of the load that the health page reports."""

    def observe(self, time_s: float, in_flight: int) -> None:
        """Records the number of running requests after a change.

        Args:
            time_s: Time of the change on CLOCK_BOOTTIME, in seconds.
            in_flight: Number of running requests.
        """
        ...

    def in_flight(self, time_s: float) -> int:
        """Returns the number of running requests to report.

        Args:
            time_s: Current time on CLOCK_BOOTTIME, in seconds.
        """
        ...


class CurrentLoadReporter:
    """Reports the current load."""

    def __init__(self) -> None:
        self._in_flight = 0

    def observe(self, time_s: float, in_flight: int) -> None:
        """Records the number of running requests after a change."""
        self._in_flight = in_flight

    def in_flight(self, time_s: float) -> int:
        """Returns the current number of running requests."""
        return self._in_flight


class DelayedLoadReporter:
    """Reports the load with a delay of `REPORT_LAG_S`."""

    def __init__(self) -> None:
        self._history: deque[tuple[float, int]] = deque([(0.0, 0)])

    def observe(self, time_s: float, in_flight: int) -> None:
        """Records the number of running requests after a change."""
        self._history.append((time_s, in_flight))
        self._drop_expired(time_s)

    def in_flight(self, time_s: float) -> int:
        """Returns the number of running requests `REPORT_LAG_S` before `time_s`."""
        self._drop_expired(time_s)
        return self._history[0][1]

    def _drop_expired(self, time_s: float) -> None:
        while len(self._history) > 1 and self._history[1][0] <= time_s - REPORT_LAG_S:
            self._history.popleft()


class ZeroLoadReporter:
    """Always reports zero load."""

    def observe(self, time_s: float, in_flight: int) -> None:
        """Ignores the number of running requests."""

    def in_flight(self, time_s: float) -> int:
        """Returns 0 whatever the load is."""
        return 0


REPORTERS: dict[ReportKind, type[LoadReporter]] = {
    ReportKind.HONEST: CurrentLoadReporter,
    ReportKind.LAG: DelayedLoadReporter,
    ReportKind.LIE: ZeroLoadReporter,
}
