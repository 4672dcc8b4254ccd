"""Availability of the platform, derived from the results of calls to it."""

from __future__ import annotations

from .clock import Clock
from .events import Event, Level

_UNAVAILABLE = Event(
    2001, "platform_unavailable", Level.WARNING, "Calls to the platform have begun to fail."
)
_AVAILABLE = Event(
    2002, "platform_available", Level.INFO, "The platform answers again after failed calls."
)


class PlatformAvailability:
    """Tracks whether calls to the platform succeed, and logs when this changes.

    Args:
        clock: Source of time.
        url: Address of the platform, for the log.
        max_call_s: Longest duration of a call in seconds. A failure that is longer ago does
            not show that the platform is unavailable now.
    """

    def __init__(self, clock: Clock, url: str, max_call_s: float) -> None:
        self._clock = clock
        self._url = url
        self._max_call_s = max_call_s
        self._available = True
        self._unavailable_since: float | None = None
        self._failed_at = 0.0

    @property
    def available(self) -> bool:
        """Whether the last call succeeded; True before the first call."""
        return self._available

    @property
    def unavailable_since(self) -> float | None:
        """Start of the present outage in seconds of CLOCK_BOOTTIME, or None if none is known.

        It is also None if the last failure is longer ago than a watch call takes to fail. An agent
        without a watch makes hardly any calls and would otherwise report an outage that is over.
        """
        if self._clock.now() - self._failed_at > self._max_call_s:
            return None
        return self._unavailable_since

    def record_call(self, available: bool) -> None:
        """Records whether one call succeeded, and logs an event if the availability changed."""
        if not available:
            now = self._clock.now()
            self._unavailable_since = self.unavailable_since or now
            self._failed_at = now
        if available and not self._available:
            self._unavailable_since = None
            _AVAILABLE.emit(url=self._url)
        if not available and self._available:
            _UNAVAILABLE.emit(url=self._url)
        self._available = available
