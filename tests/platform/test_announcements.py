"""Heartbeats of the upstream on this machine."""

import json
import unittest
from types import SimpleNamespace

import aiohttp

from fescueward.messages import AnnouncedState
from fescueward.platform.announcements import Heartbeats
from fescueward.platform.settings import Address
from fescueward.testing.ports import PortReservations
from tests.services.fakes import StubRegistry

from .fakes import RecordedLiveness

APPLICATION = Address("10.1.0.8", 8301)


def beat(seq: int, state: str = "ready", born: int = 1000, **values) -> dict:
    return {
        "address": "10.1.0.8:8301",
        "born": born,
        "info": {"service": "depot", "version": "v1", "zone": "lowell", "capacity": 6},
        "status": {"state": state, "seq": seq, "coldLeftS": 1.5},
        **values,
    }


class HeartbeatsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.announced = []
        self.starts = []
        ports = PortReservations()
        self.addCleanup(ports.close)
        port = ports.reserve()
        site = SimpleNamespace(heartbeats=Address("127.0.0.1", port), application=APPLICATION)
        self.service = Heartbeats(site)
        self.service.bind(
            StubRegistry(
                membership=SimpleNamespace(announce=self.announced.append),
                routes=SimpleNamespace(current=None),
                liveness=RecordedLiveness(),
                upstream=SimpleNamespace(started=self.starts.append),
            )
        )
        await self.service.start()
        self.addAsyncCleanup(self.service.stop)
        self.session = aiohttp.ClientSession(f"http://127.0.0.1:{port}")
        self.addAsyncCleanup(self.session.close)

    async def say(self, call: str, instance: str, body: object) -> int:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        path = f"/fescueward/rpc?call=instances.{call}&of={instance}"
        async with self.session.post(path, data=data) as answer:
            return answer.status

    async def test_start_is_told_to_the_upstream(self):
        """Guards against crashes that stay unknown although the upstream names a new start."""
        await self.say("heartbeat", "i1", beat(1))
        await self.say("heartbeat", "i1", beat(1, born=2000))
        await self.say("heartbeat", "i1", beat(9))  # a late one of the first start
        self.assertEqual(self.starts, ["i1@1000", "i1@2000"])

    async def test_report_becomes_an_announcement(self):
        """Guards against units and names of a report that are read as something else."""
        self.assertEqual(await self.say("heartbeat", "i1", beat(1)), 200)
        found = self.announced[0]
        self.assertEqual(
            (found.service, found.host, found.port, found.slots, found.instance),
            ("depot", "10.1.0.8", 8301, 6, "i1"),
        )
        self.assertEqual((found.cold_s, found.started_ms), (1.5, 1000))

    async def test_late_reports_change_nothing(self):
        """Guards against a delayed report of an earlier start that reopens the gate."""
        await self.say("heartbeat", "i2", beat(3, born=2000))
        self.assertEqual(await self.say("heartbeat", "i2", beat(2, born=2000)), 200)
        self.assertEqual(await self.say("heartbeat", "i1", beat(9, born=1000)), 200)
        self.assertEqual([one.instance for one in self.announced], ["i2"])

    async def test_new_start_under_the_same_id_is_taken(self):
        """Guards against an upstream that counts from the start again and is never heard."""
        await self.say("heartbeat", "i1", beat(50, born=1000))
        await self.say("heartbeat", "i1", beat(1, born=2000))
        self.assertEqual([one.started_ms for one in self.announced], [1000, 2000])

    async def test_departure(self):
        """Guards against work for an upstream that said that it leaves, in either way."""
        await self.say("heartbeat", "i1", beat(1))
        await self.say("heartbeat", "i1", beat(2, "draining"))
        self.assertEqual(self.announced[-1].state, AnnouncedState.LEAVING)
        await self.say("heartbeat", "i2", beat(1, born=2000))
        self.assertEqual(await self.say("leave", "i2", b""), 200)
        self.assertEqual(self.announced[-1].state, AnnouncedState.LEAVING)

    async def test_malformed_reports_change_nothing(self):
        """Guards against an upstream that is taken over from bytes that cannot be read."""
        bad = (
            b"\xff",
            [],
            beat(1, "resting"),
            beat("one"),
            beat(1, address=7),
            beat(1, address="10.1.0.8"),
            beat(1, info={"service": "depot"}),
            beat(1, address="10.9.9.9:1"),
        )
        for body in bad:
            with self.subTest(body=body):
                await self.say("heartbeat", "i1", body)
                self.assertEqual(self.announced, [])
