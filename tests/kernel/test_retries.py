"""Tests of tasks that go on after an unexpected exception."""

from __future__ import annotations

import io
import unittest
from unittest import mock

from fescueward.kernel import configure_logging
from fescueward.kernel.retries import ReadingRetries


class ReadingRetriesTest(unittest.IsolatedAsyncioTestCase):
    async def test_fault_that_recurs_does_not_spin(self):
        """Guards against a task that fails at each reading and occupies the processor."""
        lines = io.StringIO()
        configure_logging("DEBUG", "text", lines)
        clock = mock.Mock(sleep=mock.AsyncMock())
        retries = ReadingRetries("groups:watch", clock)
        for _ in range(12):
            try:
                raise ZeroDivisionError("by none")
            except ZeroDivisionError as error:
                await retries.pause_after(error)
        pauses = [call.args[0] for call in clock.sleep.await_args_list]
        self.assertEqual(pauses[:6], [0.25, 0.5, 1.0, 2.0, 4.0, 5.0])
        self.assertEqual(set(pauses[6:]), {5.0})
        retries.succeeded()
        await retries.pause_after(ValueError("later"))
        self.assertEqual(clock.sleep.await_args.args[0], 0.25)
        configure_logging("DEBUG", "text", io.StringIO())
        self.assertIn("task=groups:watch error=ZeroDivisionError detail=by none", lines.getvalue())
        self.assertIn(f"place={__file__}:", lines.getvalue())
