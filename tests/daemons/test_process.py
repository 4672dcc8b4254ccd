"""Tests of how the process of a daemon exits."""

import signal
import subprocess
import sys
import time
import unittest

from tests.run import ROOT


class ProcessTest(unittest.TestCase):
    def test_process_ends_although_a_task_ignores_its_cancellation(self):
        """Guards against a process that must be killed because its event loop waits for a task."""
        with subprocess.Popen(
            [sys.executable, "-m", "tests.daemons.deaf_process"],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        ) as process:
            self.addCleanup(process.kill)
            self.assertEqual(process.stdout.readline(), b"started\n")
            process.send_signal(signal.SIGTERM)
            signalled_at_s = time.monotonic()
            self.assertEqual(process.wait(10), 0)
            # The stop limit is 0.3 s; the rest allows for interpreter exit on a busy machine.
            self.assertLess(time.monotonic() - signalled_at_s, 1.5)
