"""How long work takes on the upstream at present, in proportion to the usual time.

Answers upstreams that share their machines with others: a fifth of them can be three times slower
for some tenths of a second at any moment.
"""

from __future__ import annotations

from ...kernel import Clock

# Age up to which a report counts in full, and from which it does not count any more: upstreams are
# slow for some tenths of a second.
_FRESH_S = 0.1
_EXPIRED_S = 0.4
# A report outside these bounds is taken for the nearest one.
_MIN_SLOWNESS = 0.1
_MAX_SLOWNESS = 20.0


class PresentSlowness:
    """The last reported slowness, which loses its weight with its age.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reported = 1.0
        self._reported_at = 0.0

    @property
    def value(self) -> float:
        """Time that work takes now in proportion to the usual time."""
        return weighted(self._reported, self._clock.now() - self._reported_at)

    def observe(self, slowness: float) -> None:
        """Records what the upstream reports with a response."""
        self._reported = min(max(slowness, _MIN_SLOWNESS), _MAX_SLOWNESS)
        self._reported_at = self._clock.now()


def weighted(slowness: float, age_s: float) -> float:
    """Returns a reported slowness that approaches 1.0 with the age of the report in seconds."""
    weight = min(max((_EXPIRED_S - age_s) / (_EXPIRED_S - _FRESH_S), 0.0), 1.0)
    return 1.0 + (slowness - 1.0) * weight
