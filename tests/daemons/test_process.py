"""The end of a daemon's process."""

import signal
import subprocess
import sys
import time
import unittest

from tests.run import ROOT


class ProcessTest(unittest.TestCase):
    def test_process_ends_although_a_task_ignores_its_cancellation(self):
        """Guards against a process that is killed because its loop waits for one task."""
        with subprocess.Popen(
            [sys.executable, "-m", "tests.daemons.deaf_process"],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        ) as process:
            self.addCleanup(process.kill)
            self.assertEqual(process.stdout.readline(), b"started\n")
            process.send_signal(signal.SIGTERM)
            stopped = time.monotonic()
            self.assertEqual(process.wait(10), 0)
            # The limit of the stop is 0.3 s; the rest is the interpreter's end on a busy machine.
            self.assertLess(time.monotonic() - stopped, 1.5)
