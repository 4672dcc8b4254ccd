"""Tests of how the process of a daemon starts and exits."""

import gc
import os
import signal
import subprocess
import sys
import time
import tomllib
import unittest
from unittest import mock

from fescueward.daemons.process import run_until_stopped
from fescueward.kernel import Kernel
from tests.run import ROOT

# Runs a module like `python -m` and prints the number of garbage collections from the import of
# the package's first module until the exit.
_COUNT_COLLECTIONS = """
import gc, runpy, sys
phases = []
gc.callbacks.append(lambda phase, _: "fescueward.kernel" in sys.modules and phases.append(phase))
try:
    runpy.run_module(sys.argv[1], run_name="__main__")
except SystemExit as error:
    gc.disable()
    print(phases.count("start"), error.code)
"""


class ProcessTest(unittest.TestCase):
    def test_start_of_an_agent_runs_no_collection(self):
        """Guards against garbage collections during imports, which delay each start."""
        run = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["agent"]["run"]
        module = run.split()[run.split().index("-m") + 1]
        # Without a settings file the agent ends when its modules are imported.
        environment = {name: os.environ[name] for name in os.environ if "FESCUEWARD" not in name}
        result = subprocess.run(
            [sys.executable, "-c", _COUNT_COLLECTIONS, module],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
        )
        self.assertEqual(result.stdout, "0 1\n", result.stderr)

    def test_collections_are_enabled_after_the_start(self):
        """Guards against an agent whose cyclic garbage is never collected."""
        thresholds = gc.get_threshold()
        self.addCleanup(gc.enable)
        self.addCleanup(gc.unfreeze)
        self.addCleanup(gc.set_threshold, *thresholds)
        gc.disable()
        enabled = []

        def run(coroutine):
            coroutine.close()
            enabled.append(gc.isenabled())

        with mock.patch("fescueward.daemons.process.uvloop.run", run):
            run_until_stopped(Kernel())
        self.assertEqual(enabled, [True])

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
