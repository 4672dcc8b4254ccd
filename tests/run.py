"""Runs the tests and closes on a count line.

Tests listed in KNOWN-RED.txt are passed over and named. Integration modules run as processes of
their own, a few at a time, after the other tests.
"""

from __future__ import annotations

import os
import re
import subprocess
import sys
import time
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
INTEGRATION = "tests.integration."
# Each deployment has up to 13 processes; more at a time make timing bounds depend on the machine.
INTEGRATION_WORKERS = 3
MODULE_TIMEOUT_S = 600

_COUNTS = re.compile(r"^(\d+) passed, (\d+) failed, (\d+) skipped$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Counts:
    """Results of some tests."""

    passed: int = 0
    failed: int = 0
    skipped: int = 0

    def __add__(self, other: Counts) -> Counts:
        """Returns the sum."""
        return Counts(
            self.passed + other.passed, self.failed + other.failed, self.skipped + other.skipped
        )

    def __str__(self) -> str:
        return f"{self.passed} passed, {self.failed} failed, {self.skipped} skipped"


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


def _run_here(cases: list[unittest.TestCase]) -> Counts:
    known_red = _known_red()
    selected = unittest.TestSuite(case for case in cases if case.id() not in known_red)
    result = unittest.TextTestRunner(stream=sys.stdout, verbosity=1).run(selected)
    passed_over = [case.id() for case in cases if case.id() in known_red]
    for name in passed_over:
        print(f"known red, not run: {name}")
    # Several subtests of one test can fail; they count as one.
    cases_failed = [case for case, _ in result.failures + result.errors]
    failed = len({getattr(case, "test_case", case).id() for case in cases_failed})
    skipped = len(result.skipped)
    return Counts(result.testsRun - failed - skipped, failed, skipped + len(passed_over))


def _run_module(module: str) -> Counts:
    command = [sys.executable, "-m", "tests.run", module + "."]
    started = time.monotonic()
    try:
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=MODULE_TIMEOUT_S
        )
        output = done.stdout + done.stderr
    except subprocess.TimeoutExpired:
        output = f"no result within {MODULE_TIMEOUT_S} s"
    found = _COUNTS.findall(output)
    counts = Counts(*map(int, found[-1])) if found else Counts(failed=1)
    if counts.failed or not found:
        print(output)
    for line in output.splitlines():
        if line.startswith("known red, not run: "):
            print(line)
    print(f"{module}: {counts} in {time.monotonic() - started:.0f} s", flush=True)
    return counts


def main() -> int:
    """Runs the tests whose names start with one of the arguments, or all tests."""
    prefixes = tuple(sys.argv[1:])
    started = time.monotonic()
    here: list[unittest.TestCase] = []
    modules: set[str] = set()
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    for case in _cases(suite):
        # A module that cannot be imported appears as a case of its own and must not be lost.
        broken = case.id().startswith("unittest.loader.")
        if prefixes and not broken and not case.id().startswith(prefixes):
            continue
        if not prefixes and case.id().startswith(INTEGRATION):
            modules.add(".".join(case.id().split(".")[:3]))
        else:
            here.append(case)
    counts = _run_here(here)
    with ThreadPoolExecutor(INTEGRATION_WORKERS) as workers:
        for part in workers.map(_run_module, sorted(modules)):
            counts += part
    print(f"{time.monotonic() - started:.0f} s")
    print(counts)
    return 1 if counts.failed else 0


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    # The extension module of datasketches reports leaks at exit, after the count line.
    os._exit(status)
