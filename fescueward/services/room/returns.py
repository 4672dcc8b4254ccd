"""When refused callers come back, and which requests are theirs."""

from __future__ import annotations

import random
from collections import deque

from cachetools import LRUCache

from ...kernel import Clock, Registry
from ...messages import Request
from ..fingerprints import fingerprint_of

# A time to come back is prolonged by up to this share of itself. Callers that a queue refuses at
# about the same moment would otherwise come back at the same moment.
_SPREAD_SHARE = 0.5
# Shortest time to come back, in seconds: a new connection takes part of it.
_MIN_RETURN_S = 0.05
# A caller that comes earlier than this share of its time has not waited as it was told; one that
# comes later than the slack has used its room.
_EARLY_SHARE = 0.8
_LATE_SLACK_S = 0.5
# Refused requests that are remembered. Each takes about 200 bytes.
_MAX_TOLD = 4_096


class CallerReturns:
    """The `returns` service.

    Answers callers that compete for too little room: without an order, a caller that waited as it
    was told is refused again as often as one that has just come. A caller is recognised by what it
    sends, because each of its attempts has an id of its own. The record is lost when this agent
    ends; its callers then count as new.

    Args:
        generator: Source of the random draws.
    """

    name = "returns"
    requires: tuple[str, ...] = ()

    def __init__(self, generator: random.Random | None = None) -> None:
        self._random = generator or random.Random()
        # Time of the refusal and time to come back of the refused callers, by what they sent.
        self._told: LRUCache[int, deque[tuple[float, float]]] = LRUCache(_MAX_TOLD)

    def bind(self, registry: Registry) -> None:
        """Looks up the clock."""
        self._clock = registry.find("clock", Clock)

    async def start(self) -> None:
        """Starts nothing: this service has no background task."""

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    def told(self, request: Request, retry_after_s: float) -> float:
        """Returns the time after which a refused caller is to come back; see `Returns.told`."""
        now = self._clock.now()
        wait_s = max(retry_after_s, _MIN_RETURN_S)
        wait_s *= 1 + self._random.random() * _SPREAD_SHARE
        key = fingerprint_of(request)
        times = self._told.get(key)
        if times is None:
            times = self._told[key] = deque(maxlen=16)
        times.append((now, now + wait_s))
        return wait_s

    def is_returning(self, request: Request) -> bool:
        """Returns whether a caller comes back as it was told; see `Returns.is_returning`."""
        # Without a refusal lately, no request needs its fingerprint, which covers its body.
        times = self._told.get(fingerprint_of(request)) if self._told else None
        if not times:
            return False
        now = self._clock.now()
        for entry in tuple(times):
            told_at, returns_at = entry
            if now > returns_at + _LATE_SLACK_S:
                times.remove(entry)
            elif now >= told_at + (returns_at - told_at) * _EARLY_SHARE:
                times.remove(entry)
                return True
        return False
