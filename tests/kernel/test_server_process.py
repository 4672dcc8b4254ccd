"""Tests of the numbers of the processes that connections reach."""

from __future__ import annotations

import unittest

from fescueward.kernel.server_process import ServerProcesses


class FakeConnection:
    """A connection that is open until `connected` is cleared."""

    def __init__(self) -> None:
        self.connected = True

    def is_connected(self) -> bool:
        return self.connected


class ServerProcessesTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.processes = ServerProcesses(lambda: self.now)
        self.first = self.connect()
        self.number = self.processes.process_of(self.first)

    def connect(self) -> FakeConnection:
        connection = FakeConnection()
        self.processes.opened(connection)
        return connection

    def exchange(self, connection: FakeConnection) -> None:
        self.processes.requested(connection)
        self.processes.responded(connection)

    def test_first_connection_reaches_the_announced_process(self):
        """Guards against a change of process that is seen at the first connection."""
        processes = ServerProcesses(lambda: self.now)
        number = processes.current
        connection = FakeConnection()
        processes.opened(connection)
        self.assertEqual(processes.process_of(connection), number)

    def test_response_proves_the_process_of_newer_connections(self):
        """Guards against new epochs for each connection that is opened."""
        others = [self.connect(), self.connect()]
        self.assertEqual([self.processes.process_of(other) for other in others], [None, None])
        self.exchange(self.first)
        self.assertEqual(
            [self.processes.process_of(other) for other in others], [self.number, self.number]
        )

    def test_response_to_an_earlier_request_proves_nothing(self):
        """Guards against a response that was on its way while the server restarted."""
        self.processes.requested(self.first)
        other = self.connect()
        self.processes.responded(self.first)
        self.assertIsNone(self.processes.process_of(other))

    def test_connection_after_the_end_of_all_others(self):
        """Guards against a restart within milliseconds that is not noticed."""
        for end in (
            lambda connection: self.processes.ended(connection),
            lambda connection: setattr(connection, "connected", False),
        ):
            with self.subTest():
                self.setUp()
                end(self.first)
                other = self.connect()
                self.assertEqual(self.processes.process_of(other), self.number + 1)
                self.assertEqual(self.processes.current, self.number + 1)

    def test_silent_connection_proves_nothing(self):
        """Guards against a connection whose end is lost on the way, so that it seems open."""
        second = self.connect()
        self.assertIsNone(self.processes.process_of(second))
        self.now += 0.5
        third = self.connect()
        self.assertEqual(self.processes.process_of(second), self.number + 1)
        self.assertIsNone(self.processes.process_of(third))
        self.exchange(self.first)
        self.assertIsNone(self.processes.process_of(third))
        self.exchange(second)
        self.assertEqual(self.processes.process_of(third), self.number + 1)
        self.assertEqual(self.processes.process_of(self.first), self.number)

    def test_connection_that_was_opened_before_a_change(self):
        """Guards against an unknown connection to the earlier process that seems a new one."""
        second, third = self.connect(), self.connect()
        self.now += 0.5
        self.assertEqual(self.processes.process_of(third), self.number + 1)
        self.assertEqual(self.processes.process_of(second), self.number)
