"""Tests of `BodyArrivals`: the expected arrival of request bodies."""

import asyncio
import unittest
from types import SimpleNamespace

from fescueward.kernel.errors import OverloadedError
from fescueward.services.gate.arrivals import BodyArrivals


class PacedBody:
    """A body whose parts arrive after given pauses, on a clock that only it moves."""

    def __init__(self, clock: SimpleNamespace, length: int, *pauses_s: float) -> None:
        self.length = length
        self._clock = clock
        self._pauses_s = pauses_s

    async def chunks(self):
        for pause_s in self._pauses_s:
            self._clock.time += pause_s
            yield b"x" * 10_000


class BodyArrivalsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = SimpleNamespace(time=100.0, now=lambda: self.clock.time)
        self.arrivals = BodyArrivals(self.clock)

    async def receive_beside_open_body(self, *pauses_s: float) -> None:
        """Receives a body while another one of 20 kB is begun and gets no further."""
        opened = asyncio.Event()

        class OpenBody:
            length = 20_000

            async def chunks(self):
                opened.set()
                await asyncio.Event().wait()
                yield b""

        task = asyncio.create_task(self.arrivals.receive(OpenBody()))
        self.addCleanup(task.cancel)
        await opened.wait()
        length = 10_000 * len(pauses_s)
        await self.arrivals.receive(PacedBody(self.clock, length, *pauses_s))

    async def test_body_waits_for_the_bytes_of_others(self):
        """Guards against an upload that is accepted on a link that others fill."""
        await self.receive_beside_open_body(0.02, 0.02, 0.02, 0.02)
        # 500,000 bytes a second, and 20,000 bytes of the other body.
        self.assertAlmostEqual(self.arrivals.expected_s(30_000), 0.1, delta=0.01)

    async def test_pause_of_a_sender_is_no_slow_link(self):
        """Guards against uploads that are refused because an earlier sender was paused."""
        await self.receive_beside_open_body(0.02, 5.0, 0.02, 0.02)
        self.assertLess(self.arrivals.expected_s(30_000), 0.5)

    async def test_free_link_delays_no_body(self):
        """Guards against uploads that are refused although no other body is on its way."""
        await self.arrivals.receive(PacedBody(self.clock, 30_000, 0.1, 0.1, 0.1))
        self.assertEqual(self.arrivals.expected_s(300_000), 0.0)

    async def test_bodies_on_their_way_are_bounded(self):
        """Guards against uploads that together exceed the memory of the agent."""
        self.arrivals.check(64 * 1024 * 1024)
        await self.receive_beside_open_body(0.02)
        self.arrivals.check(1024 * 1024)
        with self.assertRaises(OverloadedError):
            self.arrivals.check(17 * 1024 * 1024)


if __name__ == "__main__":
    unittest.main()
