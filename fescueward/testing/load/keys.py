"""Key distributions: which key each request of a load has."""

from __future__ import annotations

import random
from bisect import bisect_left
from dataclasses import dataclass
from functools import cache
from itertools import accumulate
from typing import Protocol


class KeyDistribution(Protocol):
    """Chooses the key of each request."""

    def key(self, rng: random.Random, elapsed_s: float) -> str:
        """Returns the key of the next request.

        Args:
            rng: Source of randomness.
            elapsed_s: Seconds since the load started.
        """
        ...


@dataclass(frozen=True, slots=True)
class UniformKeys:
    """All keys with the same probability.

    Attributes:
        count: Number of keys.
    """

    count: int

    def key(self, rng: random.Random, elapsed_s: float) -> str:
        """Returns the key of the next request."""
        return f"key-{rng.randrange(self.count)}"


@dataclass(frozen=True, slots=True)
class ZipfKeys:
    """Zipf distribution: the key of rank r has a probability proportional to `1 / r ** exponent`.

    Attributes:
        count: Number of keys.
        exponent: Exponent of the distribution; 0 is uniform.
    """

    count: int
    exponent: float = 1.1

    def key(self, rng: random.Random, elapsed_s: float) -> str:
        """Returns the key of the next request."""
        cumulative_weights = _cumulative_zipf_weights(self.count, self.exponent)
        return f"key-{bisect_left(cumulative_weights, rng.random() * cumulative_weights[-1])}"


@dataclass(frozen=True, slots=True)
class MovingHotKey:
    """One hot key receives a share of the requests; each period another key is the hot one.

    Attributes:
        count: Number of keys.
        share: Share of the hot key, from 0 to 1; the rest is distributed uniformly over all keys.
        period_s: Seconds for which one key stays hot.
    """

    count: int
    share: float = 0.5
    period_s: float = 10.0

    def key(self, rng: random.Random, elapsed_s: float) -> str:
        """Returns the key of the next request."""
        if rng.random() < self.share:
            return self.hot_key(elapsed_s)
        return f"key-{rng.randrange(self.count)}"

    def hot_key(self, elapsed_s: float) -> str:
        """Returns the key that is hot `elapsed_s` seconds after the load started."""
        return f"key-{int(elapsed_s / self.period_s) % self.count}"


@cache
def _cumulative_zipf_weights(count: int, exponent: float) -> tuple[float, ...]:
    return tuple(accumulate(1 / rank**exponent for rank in range(1, count + 1)))
