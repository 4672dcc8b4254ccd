"""Tests of the distributions of keys."""

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
        """Guards against hot keys that do not move and skews that are flat."""
        draw = random.Random(1)
        ranks = Counter(ZipfKeys(50).key(draw, 0.0) for _ in range(3000))
        self.assertEqual(ranks.most_common(1)[0][0], "key-0")
        self.assertGreater(ranks["key-0"], 5 * ranks["key-9"])
        self.assertEqual(len({UniformKeys(4).key(draw, 0.0) for _ in range(200)}), 4)
        hot = MovingHotKey(10, share=1.0, period_s=2.0)
        self.assertEqual([hot.key(draw, at) for at in (0, 1.9, 2, 21)], [
            "key-0", "key-0", "key-1", "key-0",
        ])  # fmt: skip
