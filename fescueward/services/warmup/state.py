"""What an agent knows of the warmth of its upstream, by heartbeats and health checks.

Answers upstreams that become cold at any moment and heartbeats that arrive seconds late: what was
sent before a doubt arose does not remove it.
"""

from __future__ import annotations

import enum
import math

# Heartbeats that arrive at longer intervals than this many periods come later and later.
_PUNCTUAL_PERIODS = 1.15
# Periods without a heartbeat after which the upstream may have become cold unnoticed.
_OVERDUE_PERIODS = 1.7
# Lateness above which a heartbeat does not say that the upstream is warm now.
_MAX_LATENESS_S = 0.2
# Older doubts and statements end with a heartbeat: none is later than this.
_MAX_HEARTBEAT_DELAY_S = 3.0


class Warmth(enum.StrEnum):
    """What is known of the upstream."""

    WARM = "warm"
    COLD = "cold"
    SUSPECT = "suspect"


class WarmthState:
    """Warmth of an upstream; every time is in seconds of the same clock.

    Args:
        now: Start of the agent, before which nothing is known.
        period_s: Time between two heartbeats.
    """

    def __init__(self, now: float, period_s: float) -> None:
        self._period_s = period_s
        self._doubted_at: float | None = now
        self._cold_until = -math.inf
        # When the last statement that the upstream is cold arrived.
        self._stated_at = -math.inf
        self._warm_at = -math.inf
        self._heartbeat_at: float | None = None
        # Time by which heartbeats come later than the punctual ones did.
        self._lateness_s = 0.0

    @property
    def doubted_at(self) -> float | None:
        """Time since which the upstream is suspect, or None."""
        return self._doubted_at

    @property
    def cold_until(self) -> float:
        """End of the cold time by the upstream's own statement."""
        return self._cold_until

    def warmth(self, now: float) -> Warmth:
        """Returns what is known at a time."""
        if now < self._cold_until:
            return Warmth.COLD
        return Warmth.WARM if self._doubted_at is None else Warmth.SUSPECT

    def warm_at(self, now: float) -> float:
        """Returns the latest time at which the upstream is known to have been warm."""
        ended_at = self._cold_until if self._cold_until <= now else -math.inf
        return max(self._warm_at, ended_at)

    def heartbeat_overdue(self, now: float) -> bool:
        """Returns whether heartbeats have stopped, or none has arrived."""
        return (
            self._heartbeat_at is None
            or now - self._heartbeat_at > self._period_s * _OVERDUE_PERIODS
        )

    def heartbeat_due_s(self, now: float) -> float:
        """Returns the time until the next heartbeat that can prove warmth, in seconds.

        It is infinite if the next one will prove nothing.
        """
        if self._heartbeat_at is None or self.heartbeat_overdue(now):
            return math.inf
        due_at = self._heartbeat_at + self._period_s
        provable = due_at - _MAX_HEARTBEAT_DELAY_S >= self._unproven_since
        if not provable or self._lateness_s > _MAX_LATENESS_S:
            return math.inf
        return max(due_at - now, 0.0)

    def suspect(self, now: float) -> None:
        """Doubts that the upstream is warm, or is cold for no longer than it has stated."""
        self._doubted_at = now

    def hear_heartbeat(self, cold_left_s: float, now: float) -> None:
        """Applies a heartbeat, which may have been sent before the last doubt or statement."""
        if self._heartbeat_at is not None:
            late_s = now - self._heartbeat_at - self._period_s * _PUNCTUAL_PERIODS
            self._lateness_s = max(self._lateness_s + late_s, 0.0)
        self._heartbeat_at = now
        warm_at = now if self._lateness_s <= _MAX_LATENESS_S else -math.inf
        self._hear(cold_left_s, now - _MAX_HEARTBEAT_DELAY_S, warm_at, now)

    def hear_health(self, cold_left_s: float, asked_at: float, now: float) -> None:
        """Applies the response to a health check that was sent at `asked_at`."""
        self._hear(cold_left_s, asked_at, asked_at, now)

    def hear_cold(self, cold_left_s: float, now: float) -> None:
        """Applies a statement of unknown age, which can only prolong the cold time."""
        self._hear(cold_left_s, -math.inf, now, now)

    @property
    def _unproven_since(self) -> float:
        """Time after which a statement must have been sent to shorten a cold time."""
        doubted_at = -math.inf if self._doubted_at is None else self._doubted_at
        return max(doubted_at, self._stated_at)

    def _hear(self, cold_left_s: float, sent_after: float, warm_at: float, now: float) -> None:
        proves = sent_after >= self._unproven_since
        if proves:
            self._doubted_at = None
        if cold_left_s > 0:
            cold_until = now + cold_left_s
            self._cold_until = cold_until if proves else max(self._cold_until, cold_until)
            self._stated_at = now
        elif proves:
            self._cold_until = min(self._cold_until, now)
            self._warm_at = max(self._warm_at, warm_at)
