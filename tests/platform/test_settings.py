"""Tests of reading the platform's settings file."""

import unittest
from contextlib import suppress

from hypothesis import given, settings

from fescueward.kernel.errors import SettingsError
from fescueward.platform.settings import Address, parse_site
from tests.mutation import damaged_bytes

LINES = """
nodeName=sidecar-lowell-1
ip=10.1.0.8
zone=lowell
region=new-england
listen.outbound=10.1.0.8:8304
listen.ready=10.1.0.8:8302
listen.admin=10.1.0.8:8306
internalPorts=7620,7635
heartbeatS=0.87
bounds=drainS=2,graceS=6,retryRatio=0.2,budgetWindowS=10,retryBurst=58,holdMaxS=10
appAddr=10.1.0.8:8301
service=orders
infra.address=10.200.1.7:8309
unheard.of=1
"""


class SiteTest(unittest.TestCase):
    def test_lines_become_settings(self):
        """Guards against keys of the settings file that are misinterpreted."""
        site = parse_site(LINES)
        self.assertEqual(site.settings.agent.name, "sidecar-lowell-1")
        self.assertEqual(site.settings.agent.failure_domain, "lowell")
        self.assertEqual(site.settings.callers.port, 8304)
        self.assertEqual(site.settings.peers.port, 7620)
        self.assertEqual(site.settings.platform.url, "http://10.200.1.7:8309")
        self.assertEqual(site.application, Address("10.1.0.8", 8301))
        self.assertEqual(site.readiness, Address("10.1.0.8", 8302))
        self.assertEqual(site.service, "orders")
        self.assertEqual(site.bounds.retry_burst, 58)
        self.assertEqual(site.bounds.drain_s, 2)

    def test_period_of_heartbeats_is_read(self):
        """Guards against punctual heartbeats that count as late."""
        for text, period_s in (("1.5", 1.5), ("0", 0.87), ("nan", 0.87), ("often", 0.87)):
            site = parse_site(LINES.replace("heartbeatS=0.87", f"heartbeatS={text}"))
            self.assertEqual(site.heartbeat_period_s, period_s)

    def test_missing_and_invalid_lines_are_reported(self):
        """Guards against an agent that starts with an incomplete or invalid file."""
        with self.assertRaisesRegex(SettingsError, "appAddr"):
            parse_site(LINES.replace("appAddr=", "other="))
        with self.assertRaises(SettingsError):
            parse_site(LINES.replace("8304", "port"))


class DamagedSettingsTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(damaged_bytes(LINES.encode()))
    def test_damaged_file_raises_no_other_error(self, text):
        """Guards against a file, half-written at a reload, that ends a running agent."""
        with suppress(SettingsError):
            parse_site(text.decode(errors="replace"))
