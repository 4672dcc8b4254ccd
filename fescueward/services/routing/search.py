"""Search for an upstream with a free slot before a request waits at one.

Answers the load of many routers that each send few requests: what a router knows of an upstream
is seconds old, so some upstreams have a queue while others have free slots. The agent beside an
upstream knows better, and a request that it refuses costs one more hop.
"""

from __future__ import annotations

import random

# Weight of the newest offer in the share of refused ones.
_SAMPLE_WEIGHT = 0.05
# Above this share of refused offers most upstreams are full, so a search finds nothing.
_MAX_REFUSED_SHARE = 0.5
# Share of the requests that search even then, to find out that there is room again.
_PROBE_SHARE = 0.05


class SlotSearch:
    """Decides for one service whether requests look for a free slot.

    Args:
        generator: Source of the random draws.
    """

    def __init__(self, generator: random.Random | None = None) -> None:
        self._random = generator or random.Random()
        self._refused_share = 0.0

    def begin(self) -> bool:
        """Returns whether the next request looks for a free slot."""
        if self._refused_share <= _MAX_REFUSED_SHARE:
            return True
        return self._random.random() < _PROBE_SHARE

    def record(self, refused: bool) -> None:
        """Counts an offer of a request that looks for a free slot."""
        self._refused_share += _SAMPLE_WEIGHT * (float(refused) - self._refused_share)
