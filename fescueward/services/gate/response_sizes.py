"""Sizes of the responses to the requests of each route."""

from __future__ import annotations

from cachetools import LRUCache

# Weight of the newest response in the mean of its route.
_SAMPLE_WEIGHT = 0.1
# A configuration has about a thousand routes.
_MAX_ROUTES = 4_096


class ResponseSizes:
    """Mean size of the responses by route, which says what a request will take on the link."""

    def __init__(self) -> None:
        self._means: LRUCache[str, float] = LRUCache(_MAX_ROUTES)

    def expected_bytes(self, route: str) -> int:
        """Returns the mean size of the responses to a route, 0 if there was none."""
        return int(self._means.get(route, 0.0))

    def add(self, route: str, size: int) -> None:
        """Adds the size of a response in bytes."""
        mean = self._means.get(route)
        self._means[route] = float(size) if mean is None else mean + _SAMPLE_WEIGHT * (size - mean)
