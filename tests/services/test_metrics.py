"""Tests of the metrics page."""

from __future__ import annotations

import re
import unittest
from types import SimpleNamespace

from fescueward.kernel import Registry
from fescueward.kernel.errors import NoOwnerError, UnknownServiceError
from fescueward.services.metrics import METRICS, MetricType, PrometheusMetrics

UNITS = ("seconds", "requests", "shards", "bool", "peers", "entries", "ratio", "crashes", "lines")


class FakeServices:
    """A fake of all services that the metrics read or subscribe to."""

    def __init__(self) -> None:
        self.time = 100.0
        self.unavailable_since: float | None = None
        self.expires_at = 100.7
        self.held = True
        self.in_flight = 5
        self.watching = True
        self.leaving = False
        self.capacity = 0.5
        self.crashes = 2
        self.cold_left_s = 1.5
        self.per_second = 5.85
        self.listeners: list = []

    def now(self):
        return self.time

    def versions(self):
        return {"depot": 1}

    def entries(self):
        return (SimpleNamespace(),)

    def active(self):
        return {1: 1, 2: 1}

    def connected(self):
        return ("a2:1",)

    def subscribe(self, listener):
        self.listeners.append(listener)


class FakeRegistry(Registry):
    """A registry that returns the same object for every name and Protocol."""

    def __init__(self, services: object) -> None:
        super().__init__()
        self._fake_services = services

    def find(self, name, kind):
        return self._fake_services


class MetricsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.services = FakeServices()
        self.metrics = PrometheusMetrics()
        self.metrics.bind(FakeRegistry(self.services))
        await self.metrics.start()

    def lines(self) -> dict[str, float]:
        text = self.metrics.render().content.decode()
        samples = [line for line in text.splitlines() if not line.startswith("#")]
        return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in samples)}

    def test_rest_of_an_evacuated_domain(self):
        """Guards against an operator who takes a domain for empty that still runs requests."""
        names = ("evacuated_bool", "evacuated_shards", "evacuated_requests")
        for begun, expected in ((False, [0, 0, 0]), (True, [1, 2, 5])):
            self.metrics._evacuation = SimpleNamespace(begun=begun)
            self.services.occupancy = SimpleNamespace(running=3, waiting=2)
            lines = self.lines()
            self.assertEqual([lines[f"fescueward_{name}"] for name in names], expected)

    def test_names_carry_units(self):
        """Guards against metric names without a unit."""
        for spec in METRICS:
            self.assertRegex(spec.name, r"^fescueward_[a-z_]+$")
            self.assertTrue(spec.name.endswith(UNITS), spec.name)

    def test_one_observation_for_each_request_and_run(self):
        """Guards against requests that are not counted, or counted twice."""
        self.assertEqual(len(self.services.listeners), 2)
        self.metrics.request_ended("depot", None, 0.003)
        self.metrics.request_ended("depot", None, 0.5)
        self.metrics.request_ended("depot", NoOwnerError("x"), 0.5)
        self.metrics.run_ended("depot", 0.003)
        lines = self.lines()
        prefix = "fescueward_request_duration_seconds"
        served = 'outcome="served",service="depot"'
        self.assertEqual(lines[f"{prefix}_count{{{served}}}"], 2)
        self.assertAlmostEqual(lines[f"{prefix}_sum{{{served}}}"], 0.503)
        self.assertEqual(lines[f'{prefix}_bucket{{le="0.004",{served}}}'], 1)
        self.assertEqual(lines[f'{prefix}_bucket{{le="+Inf",{served}}}'], 2)
        self.assertEqual(lines[f'{prefix}_count{{outcome="no_owner",service="depot"}}'], 1)
        self.assertEqual(lines['fescueward_run_duration_seconds_count{service="depot"}'], 1)

    def test_unknown_service_names_are_not_used_as_labels(self):
        """Guards against memory that grows with each unknown service name."""
        for number in range(1000):
            self.metrics.request_ended(f"made-up-{number}", UnknownServiceError("x"), 0.001)
        names = [name for name in self.lines() if re.search(r"_count\{", name)]
        self.assertEqual(len(names), 1)
        self.assertIn('service="unknown"', names[0])
        self.assertEqual(self.lines()[names[0]], 1000)

    def test_gauges_are_computed_when_the_page_is_rendered(self):
        """Guards against gauges with outdated values."""
        self.assertEqual(self.lines()["fescueward_platform_unavailable_seconds"], 0)
        self.services.time, self.services.unavailable_since = 103.0, 101.0
        lines = self.lines()
        self.assertEqual(lines["fescueward_platform_unavailable_seconds"], 2)
        self.assertEqual(lines["fescueward_lease_remaining_seconds"], 0)
        self.assertEqual(lines["fescueward_uptime_seconds"], 3)
        gauges = {spec.name for spec in METRICS if spec.type is MetricType.GAUGE}
        self.assertEqual(gauges - lines.keys(), set())
