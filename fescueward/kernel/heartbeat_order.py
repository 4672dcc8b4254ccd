"""Order of the heartbeats of an upstream, which can be late and can come from an ended start."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

# Heartbeat periods for which a start with a lower time has to be the only one that sends. Late
# heartbeats of an ended start arrive together.
_ONLY_SENDER_PERIODS = 1.5


@dataclass(frozen=True, slots=True)
class _Start:
    """A start whose time is below that of the newest one.

    Attributes:
        started_ms: Time of the start in Unix milliseconds.
        number: Highest number of its heartbeats.
        since: When the first of them arrived, in seconds of CLOCK_BOOTTIME.
    """

    started_ms: int
    number: int
    since: float


class HeartbeatOrder:
    """Tells heartbeats of the present start of an upstream from late ones.

    Starts are ordered by their times. A step of the clock can give the present start a lower time
    than an ended one has; it is then known by being the only one that sends.

    Args:
        period_s: Time between two heartbeats of a start, in seconds.
    """

    def __init__(self, period_s: float) -> None:
        self._min_span_s = _ONLY_SENDER_PERIODS * period_s
        self._newest = (0, -1)
        self._received_at = -math.inf
        self._earlier: _Start | None = None
        # Time of a start that has ended although the present one has a lower time.
        self._ended_ms = -1

    @property
    def newest(self) -> tuple[int, int]:
        """Time of the present start in Unix milliseconds, and number of its last heartbeat."""
        return self._newest

    def accept(self, started_ms: int, number: int, now: float) -> bool:
        """Returns whether a heartbeat is the newest one of the present start, and records it.

        Args:
            started_ms: Time of its start in Unix milliseconds.
            number: Its number, which increases with each heartbeat of a start.
            now: The current time in seconds of CLOCK_BOOTTIME.
        """
        if started_ms == self._ended_ms:
            return False
        if (started_ms, number) > self._newest:
            self._record(started_ms, number, now)
            return True
        if started_ms == self._newest[0] or not self._is_only_sender(started_ms, number, now):
            return False
        self._ended_ms = self._newest[0]
        self._record(started_ms, number, now)
        return True

    def _record(self, started_ms: int, number: int, now: float) -> None:
        self._newest, self._received_at, self._earlier = (started_ms, number), now, None

    def _is_only_sender(self, started_ms: int, number: int, now: float) -> bool:
        earlier = self._earlier
        if earlier is None or earlier.started_ms != started_ms:
            self._earlier = _Start(started_ms, number, now)
            return False
        if number <= earlier.number:
            return False
        self._earlier = replace(earlier, number=number)
        return now - max(earlier.since, self._received_at) >= self._min_span_s
