"""The health page of the stand-in and how truthful it is."""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass
from typing import Protocol

LAG_S = 5.0


class ReportKind(enum.StrEnum):
    """How truthful `GET /health` is."""

    HONEST = "honest"
    LAG = "lag"
    LIE = "lie"


@dataclass(frozen=True, slots=True)
class Health:
    """Body of `GET /health`.

    Attributes:
        state: `cold`, `ready` or `leaving`.
        in_flight: Requests that run, as far as the report is truthful.
        load: `in_flight` divided by the slots.
    """

    state: str
    in_flight: int
    load: float


class LoadReporter(Protocol):
    """What the health page says about the load."""

    def observe(self, time_s: float, in_flight: int) -> None:
        """Takes the number of running requests after a change."""
        ...

    def in_flight(self, time_s: float) -> int:
        """Returns the number of running requests that is reported."""
        ...


class HonestReporter:
    """Reports the present load."""

    def __init__(self) -> None:
        self._in_flight = 0

    def observe(self, time_s: float, in_flight: int) -> None:
        """Takes the number of running requests after a change."""
        self._in_flight = in_flight

    def in_flight(self, time_s: float) -> int:
        """Returns the present number."""
        return self._in_flight


class LaggingReporter:
    """Reports the load of five seconds ago."""

    def __init__(self) -> None:
        self._history: deque[tuple[float, int]] = deque([(0.0, 0)])

    def observe(self, time_s: float, in_flight: int) -> None:
        """Takes the number of running requests after a change."""
        self._history.append((time_s, in_flight))
        self._forget(time_s)

    def in_flight(self, time_s: float) -> int:
        """Returns the number that was true five seconds before."""
        self._forget(time_s)
        return self._history[0][1]

    def _forget(self, time_s: float) -> None:
        while len(self._history) > 1 and self._history[1][0] <= time_s - LAG_S:
            self._history.popleft()


class LyingReporter:
    """Reports no load at all."""

    def observe(self, time_s: float, in_flight: int) -> None:
        """Ignores the load."""

    def in_flight(self, time_s: float) -> int:
        """Returns 0."""
        return 0


REPORTERS: dict[ReportKind, type[LoadReporter]] = {
    ReportKind.HONEST: HonestReporter,
    ReportKind.LAG: LaggingReporter,
    ReportKind.LIE: LyingReporter,
}
