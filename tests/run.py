"""Runs the tests and prints a line with the counts at the end.

Tests that KNOWN-RED.txt lists are not run, but printed and counted as skipped. Integration modules
run in separate processes, a few at a time, after the other tests.
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
# A deployment has up to 13 processes; with more workers, the time limits of tests would depend on
# the machine.
INTEGRATION_WORKERS = 3
MODULE_TIMEOUT_S = 600
# Modules that load the machine themselves; each runs after the others, by itself.
ALONE = frozenset(
    {"tests.integration.test_hard_callers", "tests.integration.test_pressing_callers"}
)

_COUNTS = re.compile(r"^(\d+) passed, (\d+) failed, (\d+) skipped$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Counts:
    """Numbers of tests by result."""

    passed: int = 0
    failed: int = 0
    skipped: int = 0

    def __add__(self, other: Counts) -> Counts:
        """Returns the sums of the numbers."""
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


def _test_cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _test_cases(test)
        else:
            yield test


def _run_cases(cases: list[unittest.TestCase]) -> Counts:
    known_red = _known_red()
    selected = unittest.TestSuite(case for case in cases if case.id() not in known_red)
    result = unittest.TextTestRunner(stream=sys.stdout, verbosity=1).run(selected)
    known_red_ids = [case.id() for case in cases if case.id() in known_red]
    for name in known_red_ids:
        print(f"known red, not run: {name}")
    # Failures of several subtests of one test count as one.
    failed_cases = [case for case, _ in result.failures + result.errors]
    failed = len({getattr(case, "test_case", case).id() for case in failed_cases})
    skipped = len(result.skipped)
    return Counts(result.testsRun - failed - skipped, failed, skipped + len(known_red_ids))


def _run_module(module: str) -> Counts:
    command = [sys.executable, "-m", "tests.run", module + "."]
    start_s = time.monotonic()
    try:
        process = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=MODULE_TIMEOUT_S
        )
        output = process.stdout + process.stderr
    except subprocess.TimeoutExpired:
        output = f"no result within {MODULE_TIMEOUT_S} s"
    count_groups = _COUNTS.findall(output)
    counts = Counts(*map(int, count_groups[-1])) if count_groups else Counts(failed=1)
    if counts.failed or not count_groups:
        print(output)
    for line in output.splitlines():
        if line.startswith("known red, not run: "):
            print(line)
    print(f"{module}: {counts} in {time.monotonic() - start_s:.0f} s", flush=True)
    return counts


def main() -> int:
    """Runs the tests whose names start with one of the arguments, or all tests.

    Returns:
        Exit code: 1 if a test failed, else 0.
    """
    prefixes = tuple(sys.argv[1:])
    start_s = time.monotonic()
    local_cases: list[unittest.TestCase] = []
    modules: set[str] = set()
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    for case in _test_cases(suite):
        # The loader reports a module that cannot be imported as a test case of its own, which runs
        # for any prefix so that the failure is not lost.
        import_failed = case.id().startswith("unittest.loader.")
        if prefixes and not import_failed and not case.id().startswith(prefixes):
            continue
        if not prefixes and case.id().startswith(INTEGRATION):
            modules.add(".".join(case.id().split(".")[:3]))
        else:
            local_cases.append(case)
    counts = _run_cases(local_cases)
    with ThreadPoolExecutor(INTEGRATION_WORKERS) as executor:
        for module_counts in executor.map(_run_module, sorted(modules - ALONE)):
            counts += module_counts
    for module in sorted(modules & ALONE):
        counts += _run_module(module)
    print(f"{time.monotonic() - start_s:.0f} s")
    print(counts)
    return 1 if counts.failed else 0


if __name__ == "__main__":
    exit_code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    # A normal exit would print leak reports of the datasketches extension after the line with the
    # counts.
    os._exit(exit_code)
