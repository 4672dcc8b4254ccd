"""Tests of the propagation of versions through one relay a failure domain."""

import unittest
from dataclasses import replace

from fescueward.kernel import BootClock, Kernel
from fescueward.messages.peer import Publish
from fescueward.services.groups.relay import GroupRelay
from fescueward.testing.waiting import wait_until
from tests.services.groups_for_tests import member

DOMAINS = ("ahmedabad", "gandhinagar", "vadodara", "surat", "rajkot")
FLEET_SIZE = 196


class FleetPeers:
    """Delivers messages between relays at once and counts those between failure domains."""

    def __init__(self, fleet, own_id):
        self.fleet = fleet
        self.own_id = own_id

    def send(self, target, message):
        fleet = self.fleet
        if target.id in fleet.lost or (self.own_id, target.id) in fleet.closed:
            fleet.closed.discard((self.own_id, target.id))
            return False
        own_domain = fleet.members[self.own_id].failure_domain
        fleet.messages += 1
        fleet.crossings += target.failure_domain != own_domain
        fleet.received.append(target.id)
        if message.relay:
            fleet.relays[target.id].pass_on(self.own_id, message)
        return True


class Fleet:
    def __init__(self, size=FLEET_SIZE, domains=DOMAINS):
        self.members = {
            f"m{number:03}:1": replace(
                member(f"m{number:03}"), failure_domain=domains[number % len(domains)]
            )
            for number in range(size)
        }
        self.lost = set()
        self.closed = set()
        self.messages = self.crossings = 0
        self.received = []
        tasks = Kernel().task_owner("relay")
        self.relays = {
            member_id: GroupRelay(
                tasks,
                BootClock(),
                FleetPeers(self, member_id),
                lambda own_id=member_id: {
                    other_id: other
                    for other_id, other in self.members.items()
                    if other_id != own_id
                },
                own.failure_domain,
            )
            for member_id, own in self.members.items()
        }

    def missed(self, sender):
        return self.members.keys() - {sender} - self.lost - set(self.received)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.fleet = Fleet()

    async def test_each_member_gets_a_version_once(self):
        """Each version crossed failure domains once for each member there."""
        self.fleet.relays["m000:1"].broadcast(Publish(), 0)
        self.assertEqual(set(), self.fleet.missed("m000:1"))
        self.assertEqual(FLEET_SIZE - 1, self.fleet.messages)
        self.assertEqual(len(DOMAINS) - 1, self.fleet.crossings)

    async def test_lost_relay_is_replaced(self):
        """A failure domain must not miss versions because its first member is lost."""
        self.fleet.lost = {"m001:1", "m002:1"}
        self.fleet.relays["m000:1"].broadcast(Publish(), 0)
        self.assertEqual(set(), self.fleet.missed("m000:1"))

    async def test_watchers_use_different_relays(self):
        """One relay that is lost unnoticed must not cut its failure domain off both watchers."""
        for rank in (0, 1):
            self.fleet.received.clear()
            self.fleet.relays["m000:1"].broadcast(Publish(), rank)
            relay = next(name for name in self.fleet.received if name != "m000:1")
            self.assertEqual(f"m{1 + rank * len(DOMAINS):03}:1", relay)

    async def test_message_is_sent_again_to_members_that_are_being_dialled(self):
        """A relay has no streams to its neighbours when it passes on its first version."""
        self.fleet.closed = {("m001:1", "m006:1"), ("m001:1", "m011:1")}
        self.fleet.relays["m000:1"].broadcast(Publish(), 0)
        self.assertEqual({"m006:1", "m011:1"}, self.fleet.missed("m000:1"))
        await wait_until(lambda: not self.fleet.missed("m000:1"), 5, "the message is sent again")

    async def test_small_failure_domains_get_versions_directly(self):
        """A relay for a single member would only add a hop."""
        fleet = Fleet(size=3, domains=("a", "b", "c"))
        fleet.relays["m000:1"].broadcast(Publish(), 0)
        self.assertEqual((set(), 2), (fleet.missed("m000:1"), fleet.messages))
