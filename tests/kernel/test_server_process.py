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

    def connect(self) -> FakeConnection:
        connection = FakeConnection()
        self.number = self.processes.identify(connection)
        return connection

    def test_first_connection_reaches_the_announced_process(self):
        """Guards against a change of process that is seen at the first connection."""
        number = self.processes.current
        self.connect()
        self.assertEqual(self.number, number)

    def test_connection_beside_an_open_one_reaches_the_same_process(self):
        """Guards against new epochs for each connection that is opened."""
        first = self.connect()
        number = self.number
        self.connect()
        self.assertEqual(self.number, number)
        self.now += 10
        self.assertEqual(self.processes.identify(first), number)

    def test_connection_after_the_end_of_all_others(self):
        """Guards against a restart within milliseconds that is not noticed."""
        for end in (
            lambda connection: self.processes.ended(connection),
            lambda connection: setattr(connection, "connected", False),
        ):
            with self.subTest():
                self.setUp()
                first = self.connect()
                number = self.number
                end(first)
                self.connect()
                self.assertEqual(self.number, number + 1)
                self.assertEqual(self.processes.current, number + 1)

    def test_silent_connection_proves_nothing(self):
        """Guards against a connection whose end is lost on the way, so that it seems open."""
        first = self.connect()
        number = self.number
        self.now += 2
        second = self.connect()
        self.assertEqual(self.number, number + 1)
        self.now += 1
        self.processes.responded(first)
        self.processes.responded(second)
        self.now += 1
        self.connect()
        self.assertEqual(self.number, number + 1)
        self.now += 2
        self.processes.responded(first)
        self.connect()
        self.assertEqual(self.number, number + 2)
