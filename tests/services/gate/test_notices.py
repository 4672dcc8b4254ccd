"""Tests of limits and departures that an upstream names in its responses."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from fescueward.interfaces.groups import GroupChange
from fescueward.kernel import Kernel
from fescueward.kernel.errors import DrainingError
from fescueward.messages import (
    AnnouncedState,
    Announcement,
    Group,
    GroupId,
    VersionedGroup,
)
from fescueward.messages.peer import MemberEdit
from fescueward.messages.upstream import UpstreamNotice
from fescueward.services.gate.execution import GateExecution
from fescueward.services.gate.notices import UpstreamNotices
from fescueward.services.membership import GroupMembership
from tests.services.fakes import CLOCK, FakePeers, RecordedWarmup, StubRegistry, make_request

from .test_execution import FreeSlots, PassingQuarantine, running_shutdown

READY = Announcement("depot", "127.0.0.1", 1, 6, 110, instance="i1", started_ms=5)


class RecordedRates:
    """Records the limits; announcements change nothing."""

    def __init__(self) -> None:
        self.rates: list[float | None] = []

    def limit_rate(self, per_second: float | None) -> None:
        self.rates.append(per_second)

    def observe_slowness(self, slowness: float) -> None:
        self.slowness = slowness

    def observe_announcement(self, announcement: Announcement) -> None:
        """Ignored: the slots play no part here."""


class FakeGroups:
    """A group that this agent does not know yet; edits of it succeed."""

    def view(self, group_id: GroupId) -> None:
        return None

    async def edit(self, group_id: GroupId, change: GroupChange) -> VersionedGroup:
        empty = Group(group_id.service, group_id.number, 1)
        return VersionedGroup(1, change(empty) or empty)


class AbsentRecorder:
    """No other member writes edits of this agent."""

    async def record(self, edit: MemberEdit) -> None:
        return None


class UpstreamNoticesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.membership = GroupMembership(Kernel(), 1, "boot")
        self.rates = RecordedRates()
        self.notices = UpstreamNotices()
        # The services that announcements use; joins are tested with a whole fleet.
        groups = FakeGroups()
        self.membership._groups = groups
        self.membership._departures.bind(
            StubRegistry(groups=groups, membership=self.membership, recorder=AbsentRecorder())
        )
        self.membership._admission = self.rates
        self.membership._clock = CLOCK
        self.warmup = RecordedWarmup()
        services = StubRegistry(
            membership=self.membership,
            admission=self.rates,
            warmup=self.warmup,
            upstream=SimpleNamespace(subscribe_notices=lambda listener: None),
        )
        self.notices.bind(services)
        self.membership.announce(READY)
        self.addAsyncCleanup(self.membership.stop)

    @property
    def state(self) -> AnnouncedState:
        assert self.membership.announcement is not None
        return self.membership.announcement.state

    async def test_later_heartbeats_do_not_take_a_departure_back(self):
        """Guards against new work for an upstream whose heartbeats still say that it is ready."""
        self.notices.upstream_noticed(UpstreamNotice(READY.start, leaving=True))
        self.assertIs(self.state, AnnouncedState.LEAVING)
        self.membership.announce(READY)
        self.assertIs(self.state, AnnouncedState.LEAVING)

    async def test_cold_time_of_the_present_start_is_passed_on(self):
        """Guards against the full rate for an upstream that says in a response that it is cold."""
        for start, cold_s in ((READY.start, 1.5), (READY.start, None), ("other", 2.0)):
            self.notices.upstream_noticed(UpstreamNotice(start, cold_s=cold_s))
        self.assertEqual(self.warmup.heard, [1.5])

    async def test_restarted_agent_learns_of_a_departure_from_others(self):
        """Guards against new work for a leaving upstream after a restart of its agent (DRAIN)."""
        execution = GateExecution()
        execution.bind(
            StubRegistry(
                catalogue=SimpleNamespace(entry=lambda service: SimpleNamespace(entry=None)),
                membership=self.membership,
                ownership=None,
                shutdown=running_shutdown(Kernel()),
                admission=FreeSlots(),
                quarantine=PassingQuarantine(),
                upstream=None,
                load=None,
                peers=FakePeers(),
            )
        )
        request = replace(make_request(1.0, key=""), departed_start=READY.start)
        with self.assertRaises(DrainingError) as refused:
            await execution.execute(request)
        self.assertTrue(refused.exception.occupancy.leaving)
        self.assertIs(self.state, AnnouncedState.LEAVING)

    async def test_departure_ends_with_its_start(self):
        """Guards against giving nothing to the successor of an upstream that left."""
        self.notices.upstream_noticed(UpstreamNotice(READY.start, leaving=True))
        restarted = Announcement("depot", "127.0.0.1", 1, 6, 110, instance="i1", started_ms=6)
        self.membership.announce(restarted)
        self.assertIs(self.state, AnnouncedState.READY)
        self.notices.upstream_noticed(UpstreamNotice(READY.start, 3.0, leaving=True))
        self.assertIs(self.state, AnnouncedState.READY)
        self.assertEqual(self.rates.rates, [None])
