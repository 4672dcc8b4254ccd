"""Tests of numbered log events."""

from __future__ import annotations

import io
import json
import unittest

from fescueward.kernel import Event, Level, configure_logging, events
from fescueward.kernel.errors import DuplicateNameError
from fescueward.kernel.events import _EVENTS, _output


class EventTest(unittest.TestCase):
    def setUp(self):
        self.lines = io.StringIO()
        self.event = Event(9990, "test_event", Level.INFO, "For tests.")
        self.addCleanup(_EVENTS.pop, 9990, None)

    def test_one_line_for_each_event(self):
        """Guards against text lines that do not identify their event."""
        configure_logging("INFO", "text", self.lines)
        self.event.emit(member="a:1", shards=3)
        self.assertRegex(
            self.lines.getvalue(), r"^\S+ INFO 9990 test_event member=a:1 shards=3\n$"
        )

    def test_json_lines(self):
        """Guards against values that make a line invalid JSON."""
        configure_logging("INFO", "json", self.lines)
        self.event.emit(error=ValueError('a "quote"\nand a line'), braces="{0} {x}")
        line = json.loads(self.lines.getvalue())
        self.assertEqual((line["event"], line["name"]), (9990, "test_event"))
        self.assertEqual(line["error"], 'a "quote"\nand a line')
        self.assertEqual(line["braces"], "{0} {x}")

    def test_text_that_is_no_unicode(self):
        """Guards against bytes of a caller or an upstream that fail the code which logs them."""
        frequent = Event(9991, "frequent_event", Level.WARNING, "For tests.", frequent=True)
        self.addCleanup(_EVENTS.pop, 9991, None)
        for line_format in ("text", "json"):
            configure_logging("INFO", line_format, self.lines)
            for event in (self.event, frequent):
                with self.subTest(line_format=line_format, event=event.name):
                    event.emit(path="/a\udce1", text=ValueError("\udce1"))
                    _output.lines.flush()
                    self.assertIn(event.name, self.lines.getvalue().splitlines()[-1])
                    self.assertIn("udce1", self.lines.getvalue().splitlines()[-1])

    def test_level(self):
        """Guards against the cost of formatting lines below the configured level."""
        configure_logging("WARNING", "text", self.lines)

        class Expensive:
            def __str__(self) -> str:
                raise AssertionError("formatted although the level is disabled")

        self.event.emit(value=Expensive())
        self.assertEqual(self.lines.getvalue(), "")

    def test_numbers_are_unique(self):
        """Guards against two events with one number."""
        Event(9990, "test_event", Level.INFO, "The same event, declared again.")
        with self.assertRaisesRegex(
            DuplicateNameError, "9990 of 'other' is taken by 'test_event'"
        ):
            Event(9990, "other", Level.INFO, "Another event.")
        numbers = [event.number for event in events()]
        self.assertEqual(numbers, sorted(set(numbers)))
        names = [event.name for event in events()]
        self.assertEqual(len(names), len(set(names)))
