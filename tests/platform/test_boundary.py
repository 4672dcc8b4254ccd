"""Tests that the platform's names stay in the adapter and decisions outside of it."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = ROOT / "fescueward"
PLATFORM_NAMES = re.compile(
    r"X-Fescueward|holdS|coldLeftS|heartbeatAddr|currentRev|staleOk|FESCUEWARD_CONFIG|appAddr"
    r"|internalPorts|instances\.heartbeat|baseVersion|warmupS|maxConns|sloS|timeoutS|nodeName"
)
# Services make the decisions; the adapter must look them up by name instead of importing them.
SERVICE_IMPORT = re.compile(r"from \.\.services|import fescueward\.services")


class BoundaryTest(unittest.TestCase):
    def test_names_of_the_platform_stay_in_the_adapter(self):
        """Guards against code outside the adapter that depends on one platform."""
        for path in PACKAGE.rglob("*.py"):
            if path.is_relative_to(PACKAGE / "platform"):
                continue
            if path.is_relative_to(PACKAGE / "testing"):
                continue
            with self.subTest(path=path.name):
                self.assertIsNone(PLATFORM_NAMES.search(path.read_text(encoding="utf-8")))

    def test_adapter_imports_no_service(self):
        """Guards against decisions that only one front end makes."""
        for path in (PACKAGE / "platform").glob("*.py"):
            with self.subTest(path=path.name):
                self.assertIsNone(SERVICE_IMPORT.search(path.read_text(encoding="utf-8")))
