"""Tests of the output of log lines."""

from __future__ import annotations

import io
import json
import os
import time
import unittest

from fescueward.kernel.events import Event, Level, configure_logging, dropped_log_lines
from fescueward.kernel.log_lines import MAX_LINES_PER_S, LineOutput
from fescueward.testing.waiting import wait_until

_REQUEST = Event(9903, "test_request", Level.INFO, "Used by a test.", frequent=True)
_FAILURE = Event(9904, "test_failure", Level.ERROR, "Used by a test.")


def _summary(counts: dict[str, int]) -> bytes:
    return f"dropped {sorted(counts.items())}\n".encode()


class LineOutputTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.stream = io.StringIO()
        self.output = LineOutput(self.stream, lambda: self.now, _summary)
        self.addCleanup(self.output.close)

    def test_limit_of_an_event(self):
        """Guards against a volume of lines that grows with the load without limit."""
        permitted = sum(self.output.permits("a") for _ in range(MAX_LINES_PER_S + 5))
        self.assertEqual(permitted, MAX_LINES_PER_S)
        self.assertTrue(self.output.permits("b"))
        self.now += 1
        self.assertTrue(self.output.permits("a"))
        self.output.add("b", b"line\n", urgent=True)
        self.assertEqual(self.stream.getvalue(), "line\ndropped [('a', 5)]\n")
        self.assertEqual(self.output.dropped, 5)


class BlockedPipeTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        reader, writer = os.pipe()
        self.reader = os.fdopen(reader, "rb")
        self.addCleanup(self.reader.close)
        self.stream = os.fdopen(writer, "w")
        self.addCleanup(self.stream.close)
        configure_logging("INFO", "json", self.stream)
        self.addCleanup(configure_logging, "ERROR", "text", io.StringIO())

    async def test_nobody_reads(self):
        """Guards against requests that block while standard output is not read."""
        before = dropped_log_lines()
        self.assertEqual(before, 0)
        started = time.monotonic()
        for number in range(5_000):
            _REQUEST.emit(request=f"request-{number}", text="x" * 400)
        _FAILURE.emit(text="the last line to be dropped")
        self.assertLess(time.monotonic() - started, 2)
        self.assertGreater(dropped_log_lines(), 1_000)
        os.set_blocking(self.reader.fileno(), False)
        output = b""

        def read_all() -> bool:
            nonlocal output
            output += self.reader.read() or b""
            return b"log_lines_left_out" in output and output.endswith(b"\n")

        await wait_until(read_all, 5, "the number of dropped lines")
        lines = [json.loads(line) for line in output.splitlines()]
        last_by_name = {line["name"]: line for line in lines}
        self.assertIn("test_failure", last_by_name)
        dropped = last_by_name["log_lines_left_out"]["test_request"]
        written = sum(line["name"] == "test_request" for line in lines)
        self.assertEqual(written + dropped, 5_000)
