"""Tests of the receiver of heartbeats."""

import json
import unittest
from types import SimpleNamespace

import aiohttp
from hypothesis import example, given, settings, strategies

from fescueward.messages import AnnouncedState, Announcement, GroupId
from fescueward.messages.codec import decode_json, encode_json
from fescueward.platform.announcements import Heartbeats
from fescueward.platform.settings import Address
from fescueward.testing.ports import PortReservations
from tests.mutation import damaged_bytes, damaged_documents
from tests.services.fakes import StubRegistry

from .fakes import RecordedLiveness

APPLICATION = Address("10.1.0.8", 8301)


def make_heartbeat(seq: int, state: str = "ready", born: int = 1000, **values) -> dict:
    return {
        "address": "10.1.0.8:8301",
        "born": born,
        "info": {"service": "depot", "version": "v1", "zone": "lowell", "capacity": 6},
        "status": {"state": state, "seq": seq, "coldLeftS": 1.5},
        **values,
    }


class RecordedMembership:
    """Records announcements and leaves; departures are recorded while `records` is set."""

    def __init__(self) -> None:
        self.announced: list[Announcement] = []
        self.left: list[tuple[str, str]] = []
        self.records = True
        self.announcement = None

    def announce(self, announcement: Announcement) -> None:
        self.announced.append(announcement)

    def upstream_leaves(self, start: str) -> None:
        raise NotImplementedError

    def instance_leaves(self, group_id: GroupId, instance: str) -> None:
        self.left.append((str(group_id), instance))

    async def departure_recorded(self, instance: str) -> bool:
        return self.records


class HeartbeatsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.membership = RecordedMembership()
        self.announced = self.membership.announced
        self.starts = []
        ports = PortReservations()
        self.addCleanup(ports.close)
        port = ports.reserve()
        site = SimpleNamespace(
            heartbeats=Address("127.0.0.1", port),
            application=APPLICATION,
            service="depot",
            heartbeat_period_s=1.0,
        )
        self.service = Heartbeats(site)
        self.service.bind(
            StubRegistry(
                membership=self.membership,
                routes=SimpleNamespace(current=None),
                liveness=RecordedLiveness(),
                upstream=SimpleNamespace(upstream_started=self.starts.append),
            )
        )
        await self.service.start()
        self.addAsyncCleanup(self.service.stop)
        self.session = aiohttp.ClientSession(f"http://127.0.0.1:{port}")
        self.addAsyncCleanup(self.session.close)

    async def post(self, call: str, instance: str, body: object) -> int:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        path = f"/fescueward/rpc?call=instances.{call}&of={instance}"
        async with self.session.post(path, data=data) as response:
            return response.status

    async def test_start_is_passed_to_the_upstream_client(self):
        """Guards against crashes that are not detected although a heartbeat has a new start."""
        await self.post("heartbeat", "i1", make_heartbeat(1))
        await self.post("heartbeat", "i1", make_heartbeat(1, born=2000))
        await self.post("heartbeat", "i1", make_heartbeat(9))  # out of order, from the first start
        self.assertEqual(self.starts, ["i1@1000", "i1@2000"])

    async def test_body_that_is_no_heartbeat_is_not_read_whole(self):
        """Guards against bodies without end that fill the memory at the port of heartbeats."""
        self.assertEqual(await self.post("heartbeat", "i1", b"x" * 100_000), 413)

    async def test_heartbeat_becomes_an_announcement(self):
        """Guards against heartbeat fields or units that are misinterpreted."""
        self.assertEqual(await self.post("heartbeat", "i1", make_heartbeat(1)), 200)
        announcement = self.announced[0]
        self.assertEqual(
            (
                announcement.service,
                announcement.host,
                announcement.port,
                announcement.slots,
                announcement.instance,
            ),
            ("depot", "10.1.0.8", 8301, 6, "i1"),
        )
        self.assertEqual((announcement.cold_s, announcement.started_ms), (1.5, 1000))

    async def test_out_of_order_heartbeats_are_ignored(self):
        """Guards against a delayed heartbeat of an earlier start that reopens the gate."""
        await self.post("heartbeat", "i2", make_heartbeat(3, born=2000))
        self.assertEqual(await self.post("heartbeat", "i2", make_heartbeat(2, born=2000)), 200)
        self.assertEqual(await self.post("heartbeat", "i1", make_heartbeat(9, born=1000)), 200)
        self.assertEqual([announcement.instance for announcement in self.announced], ["i2"])

    async def test_departure_of_a_start_that_is_not_recognised_is_not_acknowledged(self):
        """Guards against an upstream whose clock was set back, and whose departure is ignored."""
        await self.post("heartbeat", "i1", make_heartbeat(3, born=2000))
        leaving = make_heartbeat(9, born=1000, status={"state": "draining", "seq": 9})
        self.assertEqual(await self.post("heartbeat", "i1", leaving), 503)

    async def test_new_start_under_the_same_id_is_accepted(self):
        """Guards against ignoring an upstream whose sequence numbers restart with it."""
        await self.post("heartbeat", "i1", make_heartbeat(50, born=1000))
        await self.post("heartbeat", "i1", make_heartbeat(1, born=2000))
        self.assertEqual(
            [announcement.started_ms for announcement in self.announced], [1000, 2000]
        )

    async def test_odd_heartbeat_does_not_displace_the_upstream(self):
        """Guards against one heartbeat of another program after which all later ones are ignored.

        Its number was above all that follow, or it was the first and named another service.
        """
        status = {"state": "ready", "seq": 1}
        for odd in (
            make_heartbeat(1, born=10**30),
            make_heartbeat(1, born=2**62),
            make_heartbeat(1, born=-1),
            make_heartbeat(10**30),
            make_heartbeat(2**62),
            make_heartbeat(1, status={**status, "coldLeftS": 1e300}),
            make_heartbeat(1, info={"service": "another", "capacity": 6}),
        ):
            with self.subTest(odd=odd):
                self.assertEqual(await self.post("heartbeat", "i1", odd), 400)
        self.assertEqual((self.announced, self.starts), ([], []))
        self.assertEqual(await self.post("heartbeat", "i1", make_heartbeat(1)), 200)
        self.assertEqual(len(self.announced), 1)

    async def test_leaving_upstream(self):
        """Guards against work for an upstream that drains or has announced its leave."""
        await self.post("heartbeat", "i1", make_heartbeat(1))
        await self.post("heartbeat", "i1", make_heartbeat(2, "draining"))
        self.assertEqual(self.announced[-1].state, AnnouncedState.LEAVING)
        self.assertEqual(await self.post("leave", "i2", b""), 200)
        self.assertEqual(self.membership.left, [("depot/0", "i2")])

    async def test_departure_is_acknowledged_once_it_is_recorded(self):
        """Guards against an acknowledged departure that the next process of the agent forgets."""
        self.membership.records = False
        self.assertEqual(await self.post("leave", "i1", b""), 503)
        draining = make_heartbeat(1, "draining")
        self.assertEqual(await self.post("heartbeat", "i1", draining), 503)
        self.membership.records = True
        self.assertEqual(await self.post("heartbeat", "i1", draining), 200)
        self.assertEqual(await self.post("leave", "i1", b""), 200)

    async def test_calls_of_odd_instances_are_rejected(self):
        """Guards against instance ids that fill the group object, where departures are kept."""
        for instance in ("i" * 3000, "i%00", "i%0A1"):
            with self.subTest(instance=instance[:8]):
                heartbeat = make_heartbeat(1)
                self.assertEqual(await self.post("heartbeat", instance, heartbeat), 400)
                self.assertEqual(await self.post("leave", instance, {}), 400)
                self.assertEqual((self.announced, self.membership.left), ([], []))
        self.assertEqual(await self.post("heartbeat", "i1", make_heartbeat(1)), 200)

    async def test_malformed_heartbeats_are_rejected(self):
        """Guards against announcements that are built from malformed heartbeats."""
        malformed_bodies = (
            b"\xff",
            [],
            make_heartbeat(1, "resting"),
            make_heartbeat("one"),
            make_heartbeat(1, address=7),
            make_heartbeat(1, address="10.1.0.8"),
            make_heartbeat(1, info={"service": "depot"}),
            make_heartbeat(1, address="10.9.9.9:1"),
        )
        for body in malformed_bodies:
            with self.subTest(body=body):
                await self.post("heartbeat", "i1", body)
                self.assertEqual(self.announced, [])


class DamagedHeartbeatTest(unittest.IsolatedAsyncioTestCase):
    """An announcement becomes a member of a group, which all agents must be able to read."""

    @settings(max_examples=200, deadline=None)
    @example(b'{"address":' + b"[" * 100_000 + b"]" * 100_000 + b"}")
    @example(json.dumps(make_heartbeat(1, info={"service": "s", "capacity": 10**6})).encode())
    @given(
        strategies.one_of(
            damaged_documents(make_heartbeat(1)).map(
                lambda heartbeat: json.dumps(heartbeat).encode()
            ),
            damaged_bytes(json.dumps(make_heartbeat(1)).encode()),
        )
    )
    def test_damaged_heartbeat_is_refused_or_readable_by_all(self, body):
        """Guards against one heartbeat that makes a group unreadable, or that ends the process."""
        membership = RecordedMembership()
        service = Heartbeats(
            SimpleNamespace(
                heartbeats=None, application=APPLICATION, service="depot", heartbeat_period_s=1.0
            )
        )
        service.bind(
            StubRegistry(
                membership=membership,
                routes=SimpleNamespace(current=None),
                liveness=RecordedLiveness(),
                upstream=SimpleNamespace(upstream_started=lambda start: None),
            )
        )
        self.assertIn(service.receive_heartbeat("i-1", body).status, (200, 400))
        for announcement in membership.announced:
            self.assertEqual(decode_json(encode_json(announcement), Announcement), announcement)
