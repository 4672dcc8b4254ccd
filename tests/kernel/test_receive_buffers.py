"""Tests of the receive buffers that the connections of a port share."""

import asyncio
import socket
import unittest

from fescueward.kernel.receive_buffers import SMALLEST_BYTES, ReceiveBuffers

MEMORY_BYTES = 300_000_000
CONNECTIONS = 800


class FakeSocket:
    def setsockopt(self, level: int, option: int, size: int) -> None:
        assert (level, option) == (socket.SOL_SOCKET, socket.SO_RCVBUF)
        self.size = size


class FakeTransport(asyncio.BaseTransport):
    def __init__(self) -> None:
        super().__init__({"socket": FakeSocket()})


class ReceiveBuffersTest(unittest.TestCase):
    def setUp(self):
        self.buffers = ReceiveBuffers(MEMORY_BYTES)

    def assign(self, connection: object) -> int:
        transport = FakeTransport()
        self.buffers.assign(connection, transport)
        return transport.get_extra_info("socket").size

    def test_many_connections_share_a_part_of_the_memory(self):
        """Guards against buffers that grow with the number of connections without a bound."""
        sizes = [self.assign(number) for number in range(CONNECTIONS)]
        self.assertLess(2 * sum(sizes), MEMORY_BYTES / 4)
        self.assertGreaterEqual(min(sizes), SMALLEST_BYTES)
        # Some dozen callers of one machine are not slowed down.
        self.assertEqual(len(set(sizes[:100])), 1)

    def test_ended_connections_return_their_memory(self):
        """Guards against buffers that stay small after a crowd has left."""
        first = self.assign("first")
        for number in range(CONNECTIONS):
            self.assign(number)
        self.assertLess(self.assign("late"), first)
        for number in range(CONNECTIONS):
            self.buffers.release(number)
        self.assertEqual(self.assign("later"), first)
