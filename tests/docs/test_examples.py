"""Tests of the example files."""

from __future__ import annotations

import json
import unittest
from collections import Counter
from pathlib import Path

from fescueward.cli.entries import read_entry
from fescueward.kernel.settings import load_settings
from fescueward.messages import Announcement, RequestClass, Weight
from fescueward.messages.codec import from_document

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"

# Section 1.4 of docs/design.md.
SIZES = {
    "kagaz": (
        {"catalogue": 6, "orders": 4, "artwork": 3, "proofing": 3},
        {"ahmedabad", "gandhinagar", "vadodara"},
        (12, 130),
        Weight.UNAVAILABILITY,
    ),
    "merrimack": (
        {"depot": 4, "orders": 4, "routes": 4, "bottling": 4},
        {"lowell", "nashua", "worcester", "portland"},
        (6, 110),
        Weight.CHURN,
    ),
}


class ExamplesTest(unittest.TestCase):
    def test_entries(self):
        """Guards against example entries that agents refuse, or payments that may run twice."""
        for name, (sizes, _, _, weight) in SIZES.items():
            found = {path.stem: read_entry(path) for path in (EXAMPLES / name).glob("*.ini")}
            self.assertEqual(set(found), set(sizes))
            for service, entry in found.items():
                self.assertEqual((entry.service, entry.weight), (service, weight))
                once = entry.request_class is RequestClass.ONCE
                self.assertEqual(once, service == "orders")
                self.assertGreaterEqual(entry.limits.max_request_ms, entry.limits.deadline_ms)

    def test_agents_and_announcements(self):
        """Guards against examples of other sizes than the deployments have."""
        for name, (sizes, domains, capacity, _) in SIZES.items():
            root = EXAMPLES / name
            settings = {path.stem: load_settings(path) for path in root.glob("agents/*.ini")}
            announced = {
                agent: from_document(content, Announcement)
                for agent, content in json.loads((root / "announcements.json").read_text()).items()
            }
            self.assertEqual(set(settings), set(announced))
            services = Counter(announcement.service for announcement in announced.values())
            self.assertEqual(services, sizes)
            for agent, found in settings.items():
                self.assertEqual(found.agent.name, agent)
                announcement = announced[agent]
                self.assertEqual((announcement.slots, announcement.connections), capacity)
            self.assertEqual({item.agent.failure_domain for item in settings.values()}, domains)
            hosts = {item.callers.host for item in settings.values()}
            self.assertEqual(len(hosts), len(settings))
