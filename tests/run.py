"""Runs the tests and closes on a count line.

Tests listed in KNOWN-RED.txt are passed over and named.
"""

from __future__ import annotations

import sys
import time
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def _known_red() -> frozenset[str]:
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return frozenset(line.split()[1] for line in lines if line.startswith("test: "))


def _cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _cases(test)
        else:
            yield test


def main() -> int:
    """Runs the tests whose names start with one of the arguments, or all tests."""
    prefixes = tuple(sys.argv[1:])
    known_red = _known_red()
    selected = unittest.TestSuite()
    passed_over = []
    for case in _cases(
        unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    ):
        # A module that cannot be imported appears as a case of its own, which must not be lost.
        importable = not case.id().startswith("unittest.loader.")
        if prefixes and importable and not case.id().startswith(prefixes):
            continue
        if case.id() in known_red:
            passed_over.append(case.id())
            continue
        selected.addTest(case)
    started = time.monotonic()
    result = unittest.TextTestRunner(stream=sys.stdout, verbosity=1).run(selected)
    for name in passed_over:
        print(f"known red, not run: {name}")
    failed = len({case.id() for case, _ in result.failures + result.errors})
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped
    print(f"{time.monotonic() - started:.0f} s")
    print(f"{passed} passed, {failed} failed, {skipped + len(passed_over)} skipped")
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
