"""Tests of the time and format of written log lines."""

from __future__ import annotations

import asyncio
import io
import json
import unittest
from datetime import UTC, datetime, timedelta
from unittest import mock

from loguru import logger

from fescueward.kernel.events import Event, Level, configure_logging
from fescueward.testing.waiting import wait_until

_ROUTINE = Event(9901, "test_routine", Level.INFO, "Used by a test.")
_SERIOUS = Event(9902, "test_serious", Level.ERROR, "Used by a test.")
_FREQUENT = Event(9905, "test_frequent", Level.INFO, "Used by a test.", frequent=True)


class EventLineTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.stream = io.StringIO()
        self.addCleanup(logger.remove)

    async def test_routine_lines_are_written_soon(self):
        """Guards against lines that stay in the buffer until the next line is logged."""
        configure_logging("INFO", "text", self.stream)
        _ROUTINE.emit(key="a", count=1)
        _ROUTINE.emit(key="{b}", count=2)
        await wait_until(self.stream.getvalue, 2, "lines are written")
        first, second = self.stream.getvalue().splitlines()
        self.assertTrue(first.endswith("INFO 9901 test_routine key=a count=1"))
        self.assertTrue(second.endswith("key={b} count=2"))
        _ROUTINE.emit(key="c")
        await wait_until(lambda: len(self.stream.getvalue().splitlines()) == 3, 2, "a third")

    async def test_serious_lines_are_written_at_once_and_in_order(self):
        """Guards against the loss of the last lines before the end of a process."""
        configure_logging("INFO", "json", self.stream)
        _ROUTINE.emit(order=1)
        _SERIOUS.emit(order=2)
        lines = [json.loads(line) for line in self.stream.getvalue().splitlines()]
        self.assertEqual([line["order"] for line in lines], [1, 2])
        self.assertEqual(lines[1]["event"], 9902)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.stream.getvalue().splitlines()), 2)

    async def test_lines_of_one_second_format_its_date_once(self):
        """Guards against the processor time of formatting the same date for each request."""
        configure_logging("INFO", "json", self.stream)
        with mock.patch("fescueward.kernel.events.datetime", wraps=datetime) as formatted:
            before = datetime.now(UTC)
            for order in range(50):
                _FREQUENT.emit(order=order, level_of=Level.INFO, error=ValueError('a "b"'))
            after = datetime.now(UTC)
        await wait_until(self.stream.getvalue, 2, "lines are written")
        lines = [json.loads(line) for line in self.stream.getvalue().splitlines()]
        self.assertEqual(len(lines), 50)
        for order, line in enumerate(lines):
            written_at = datetime.fromisoformat(line.pop("time"))
            self.assertLess(before - timedelta(milliseconds=1), written_at)
            self.assertLessEqual(written_at, after)
            head = {"level": "INFO", "event": 9905, "name": "test_frequent"}
            self.assertEqual(line, {**head, "order": order, "level_of": "INFO", "error": 'a "b"'})
        self.assertLessEqual(len(formatted.mock_calls), 2 + int((after - before).total_seconds()))

    def test_without_an_event_loop(self):
        """Guards against lines of commands, which run no event loop, that are never written."""
        configure_logging("INFO", "text", self.stream)
        _ROUTINE.emit(order=1)
        self.assertIn("order=1", self.stream.getvalue())

    async def test_library_is_silent(self):
        """Guards against lines of the routing client in the output of a caller's program."""
        logger.disable("fescueward")
        logger.add(self.stream, format="{message}")
        exec("event.emit(order=1)", {"event": _SERIOUS, "__name__": "fescueward.services.router"})
        self.assertEqual(self.stream.getvalue(), "")

    async def test_level(self):
        """Guards against written lines below the configured level."""
        configure_logging("WARNING", "text", self.stream)
        _ROUTINE.emit(order=1)
        await asyncio.sleep(0.05)
        self.assertEqual(self.stream.getvalue(), "")
