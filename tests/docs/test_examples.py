"""Tests of the example settings, entries and announcements."""

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

# Members of each service, failure domains, slots and connections of each member, and weight, from
# section 1.4 of docs/design.md.
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
        """Guards against example entries that agents reject, and payments that may run twice."""
        for name, (sizes, _, _, weight) in SIZES.items():
            entries = {path.stem: read_entry(path) for path in (EXAMPLES / name).glob("*.ini")}
            self.assertEqual(set(entries), set(sizes))
            for service, entry in entries.items():
                self.assertEqual((entry.service, entry.weight), (service, weight))
                is_once = entry.request_class is RequestClass.ONCE
                self.assertEqual(is_once, service == "orders")
                self.assertGreaterEqual(entry.limits.max_request_ms, entry.limits.deadline_ms)

    def test_agents_and_announcements(self):
        """Guards against examples whose sizes differ from those in the design."""
        for name, (sizes, domains, capacity, _) in SIZES.items():
            root = EXAMPLES / name
            settings = {path.stem: load_settings(path) for path in root.glob("agents/*.ini")}
            announcements = {
                agent: from_document(content, Announcement)
                for agent, content in json.loads((root / "announcements.json").read_text()).items()
            }
            self.assertEqual(set(settings), set(announcements))
            services = Counter(announcement.service for announcement in announcements.values())
            self.assertEqual(services, sizes)
            for agent, agent_settings in settings.items():
                self.assertEqual(agent_settings.agent.name, agent)
                announcement = announcements[agent]
                self.assertEqual((announcement.slots, announcement.connections), capacity)
            self.assertEqual(
                {agent_file.agent.failure_domain for agent_file in settings.values()}, domains
            )
            hosts = {agent_file.callers.host for agent_file in settings.values()}
            self.assertEqual(len(hosts), len(settings))
