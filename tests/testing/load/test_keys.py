"""Tests of the key distributions."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from fescueward.testing.load import (
    MovingHotKey,
    UniformKeys,
    ZipfKeys,
)


class KeysTest(unittest.TestCase):
    def test_distributions(self):
        """Guards against a hot key that never changes and a Zipf distribution without skew."""
        rng = random.Random(1)
        key_counts = Counter(ZipfKeys(50).key(rng, 0.0) for _ in range(3000))
        self.assertEqual(key_counts.most_common(1)[0][0], "key-0")
        self.assertGreater(key_counts["key-0"], 5 * key_counts["key-9"])
        self.assertEqual(len({UniformKeys(4).key(rng, 0.0) for _ in range(200)}), 4)
        hot = MovingHotKey(10, share=1.0, period_s=2.0)
        self.assertEqual([hot.key(rng, elapsed_s) for elapsed_s in (0, 1.9, 2, 21)], [
            "key-0", "key-0", "key-1", "key-0",
        ])  # fmt: skip
