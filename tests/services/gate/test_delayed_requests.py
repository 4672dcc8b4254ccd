"""Tests of requests that arrive late at the gate of another agent."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from types import SimpleNamespace

from fescueward.kernel import BootClock, Kernel, RefusalError
from fescueward.kernel.errors import OverloadedError
from fescueward.kernel.settings import PeersSection
from fescueward.services.gate.execution import GateExecution
from fescueward.services.peers import MsgpackPeers
from fescueward.testing.ports import PortReservations
from fescueward.testing.proxy import PASS, DirectionPlan, FaultProxy, ProxyMode, ProxyPlan
from tests.services.fakes import CLOCK, StubRegistry, make_member, make_request

from .test_execution import (
    ANNOUNCEMENT,
    FreeSlots,
    PassingQuarantine,
    SlowUpstream,
    running_shutdown,
)

# Above the time after which a request is left to others, and below it.
LONG_DELAY_S = 0.7
SHORT_DELAY_S = 0.3


class RecordingUpstream(SlowUpstream):
    """Records the requests that reach it, each with the end of its run."""

    def __init__(self) -> None:
        super().__init__()
        self.proceed.set()
        self.runs = []

    async def run(self, request, shard, epoch, deadline):
        self.runs.append((request, deadline))
        return await super().run(request, shard, epoch, deadline)


class DelayedRequestTest(unittest.IsolatedAsyncioTestCase):
    """A gate behind a proxy that delays what is sent to it."""

    async def asyncSetUp(self):
        ports = PortReservations()
        self.addCleanup(ports.close)
        port = ports.reserve()
        owner, self.router = await self.start_peers("b", port), await self.start_peers("a", 0)
        self.upstream = RecordingUpstream()
        GateExecution().bind(
            StubRegistry(
                clock=BootClock(),
                shutdown=running_shutdown(Kernel()),
                catalogue=SimpleNamespace(entry=lambda service: SimpleNamespace(entry=None)),
                membership=SimpleNamespace(announcement=ANNOUNCEMENT, closed=False),
                ownership=None,
                admission=FreeSlots(),
                upstream=self.upstream,
                load=None,
                quarantine=PassingQuarantine(),
                peers=owner,
            )
        )
        self.proxy = FaultProxy(port)
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)
        self.member = make_member("b", self.proxy.port)
        await self.forward(5.0)
        self.upstream.runs.clear()

    async def start_peers(self, name: str, port: int) -> MsgpackPeers:
        peers = MsgpackPeers(Kernel(), name, 1)
        section = PeersSection(host="127.0.0.1", port=port or 1, secret="s" * 16, timeout_ms=2_000)
        peers.bind(StubRegistry(settings=SimpleNamespace(peers=section)))
        peers._port = port
        await peers.start()
        self.addAsyncCleanup(peers.stop)
        return peers

    async def forward(self, timeout_s: float):
        request = replace(make_request(timeout_s, key=""), repeatable=True, has_alternatives=True)
        return await self.router.forward(self.member, request)

    async def delay(self, delay_s: float) -> None:
        late = DirectionPlan(ProxyMode.PASS, delay_s * 1000)
        await self.proxy.set_plan(ProxyPlan(forward=late))

    async def test_run_ends_by_the_deadline_of_the_sender(self):
        """Guards against a run that begins or goes on after its caller has given up (GONE)."""
        await self.delay(SHORT_DELAY_S)
        sent_at = CLOCK.now()
        with self.assertRaises(RefusalError):
            await self.forward(SHORT_DELAY_S - 0.1)
        await asyncio.sleep(SHORT_DELAY_S)
        self.assertEqual([deadline - sent_at for _, deadline in self.upstream.runs], [])

    async def test_request_is_not_begun_before_the_cancellation_behind_it(self):
        """Guards against sending requests to an upstream after their callers left (GONE)."""
        await self.delay(LONG_DELAY_S)
        forwarding = asyncio.create_task(self.forward(5.0))
        await asyncio.sleep(0.1)
        forwarding.cancel()
        await asyncio.sleep(LONG_DELAY_S + 0.1)
        self.assertEqual(self.upstream.runs, [])

    async def test_delayed_request_is_left_to_others(self):
        """Guards against a request that waits for its deadline behind a slow link."""
        await self.delay(LONG_DELAY_S)
        with self.assertRaises(OverloadedError):
            await self.forward(5.0)
        await self.proxy.set_plan(PASS)
        self.assertEqual((await self.forward(5.0)).status, 200)
