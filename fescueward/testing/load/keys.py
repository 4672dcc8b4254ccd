"""Distributions of the keys of a load."""

from __future__ import annotations

import random
from bisect import bisect_left
from dataclasses import dataclass
from functools import cache
from itertools import accumulate
from typing import Protocol


class KeyDistribution(Protocol):
    """Chooses the key of each request."""

    def key(self, draw: random.Random, elapsed_s: float) -> str:
        """Returns a key.

        Args:
            draw: Source of randomness.
            elapsed_s: Seconds since the load began.
        """
        ...


@dataclass(frozen=True, slots=True)
class UniformKeys:
    """All keys alike.

    Attributes:
        count: Number of keys.
    """

    count: int

    def key(self, draw: random.Random, elapsed_s: float) -> str:
        """Returns a key."""
        return f"key-{draw.randrange(self.count)}"


@dataclass(frozen=True, slots=True)
class ZipfKeys:
    """The key of rank r is chosen in proportion to `1 / r ** exponent`.

    Attributes:
        count: Number of keys.
        exponent: Skew.
    """

    count: int
    exponent: float = 1.1

    def key(self, draw: random.Random, elapsed_s: float) -> str:
        """Returns a key."""
        weights = _zipf_weights(self.count, self.exponent)
        return f"key-{bisect_left(weights, draw.random() * weights[-1])}"


@dataclass(frozen=True, slots=True)
class MovingHotKey:
    """One key takes a share of the requests and another follows it after each period.

    Attributes:
        count: Number of keys.
        share: Share of the hot key, from 0 to 1; the rest is spread over all keys alike.
        period_s: Seconds that a key stays hot.
    """

    count: int
    share: float = 0.5
    period_s: float = 10.0

    def key(self, draw: random.Random, elapsed_s: float) -> str:
        """Returns a key."""
        if draw.random() < self.share:
            return self.hot_key(elapsed_s)
        return f"key-{draw.randrange(self.count)}"

    def hot_key(self, elapsed_s: float) -> str:
        """Returns the key that is hot at a time."""
        return f"key-{int(elapsed_s / self.period_s) % self.count}"


@cache
def _zipf_weights(count: int, exponent: float) -> tuple[float, ...]:
    return tuple(accumulate(1 / rank**exponent for rank in range(1, count + 1)))
