"""Tests of the first moments of the agent's process."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from fescueward.platform.names import SETTINGS_VARIABLE


class StartTest(unittest.TestCase):
    def test_sighup_before_the_settings_are_read(self):
        """Guards against a process that ends because its settings changed while it started."""
        with tempfile.TemporaryDirectory() as directory:
            settings = Path(directory) / "boot.conf"
            # The process waits here for its settings, before it has an event loop.
            os.mkfifo(settings)
            process = subprocess.Popen(
                [sys.executable, "-m", "fescueward.daemons"],
                env={**os.environ, SETTINGS_VARIABLE: str(settings)},
                stderr=subprocess.PIPE,
            )
            self.addCleanup(process.kill)
            with settings.open("w", encoding="utf-8") as writer:
                process.send_signal(signal.SIGHUP)
                time.sleep(0.1)
                writer.write("nodeName=a\n")
            _, error = process.communicate(timeout=10)
        self.assertEqual(process.returncode, 1, error)
        self.assertIn(b"listen.outbound", error)
