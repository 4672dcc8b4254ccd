"""Tests of activation, handover and release of shards."""

from __future__ import annotations

import unittest
from dataclasses import replace

from fescueward.kernel.errors import PeerTimeoutError
from fescueward.kernel.settings import LeaseSection
from fescueward.messages.codec import encode_json
from fescueward.messages.peer import Release

from ..fleet import GROUP_ID, Fleet, SimulatedAgent
from ..test_membership import move, shards_of
from ..test_recovery_time import start_fleet
from ..timed_fakes import ResponseMode

LEASE_S = LeaseSection().lease_ms / 1000


def _key(fleet: Fleet, shard: int) -> str:
    group = fleet.group()
    return next(key for number in range(500) if group.shard_of(key := f"k{number}", 1) == shard)


class HandoverTest(unittest.TestCase):
    def setUp(self):
        self.fleet = start_fleet(3, 3)
        self.source = self.fleet.agents["a0"]
        self.target = self.fleet.agents["a1"]
        self.shard = shards_of(self.fleet, "a0")[0]
        self.epoch = self.source.ownership.active()[self.shard]

    def _request(self, seconds: float) -> list[float]:
        finished_at: list[float] = []
        key = _key(self.fleet, self.shard)

        async def run() -> None:
            await self.source.request(key, seconds)
            finished_at.append(self.fleet.world.now)

        self.source.spawn(run)
        self.fleet.world.advance(0.05)
        return finished_at

    def _serves(self, agent: SimulatedAgent) -> int | None:
        return agent.serving().get(self.shard)

    def test_request_in_flight_is_finished_first(self):
        """Guards against a successor that serves before the owner's last request has ended."""
        finished_at = self._request(1.0)
        move(self.fleet, self.shard, "a1")
        self.fleet.world.advance(0.8)
        self.assertEqual((finished_at, self._serves(self.target)), ([], None))
        self.fleet.world.advance(0.5)
        self.assertEqual(len(finished_at), 1)
        self.assertEqual(self._serves(self.target), self.epoch + 1)
        self.assertIsNone(self._serves(self.source))

    def test_owner_lost_before_the_release(self):
        """Guards against a shard that a third member gets while the successor may serve it."""
        self._request(3.0)
        move(self.fleet, self.shard, "a1")
        self.fleet.world.advance(0.1)
        self.fleet.kill("a0")
        self.assertIsNotNone(self.fleet.time_until_served(4))
        self.assertEqual(self._serves(self.target), self.epoch + 1)

    def test_restarted_owner_serves_until_grants_of_its_earlier_process_end(self):
        """Guards against a successor while the upstream runs requests of the earlier process.

        The new process knows of no request in flight. Found beside review case 8.
        """
        self.fleet.kill("a0")
        self.source = self.fleet.start("a0", "d0", self.source.boot)
        started_at = self.fleet.world.now
        self.fleet.world.advance(0.6)
        self.assertEqual(self._serves(self.source), self.epoch + 1)
        move(self.fleet, self.shard, "a1")
        self.fleet.world.advance(started_at + LEASE_S - self.fleet.world.now - 0.05)
        self.assertEqual(self._serves(self.source), self.epoch + 1)
        self.fleet.world.advance(0.3)
        self.assertEqual(self._serves(self.target), self.epoch + 2)

    def test_successor_waits_for_grants_of_an_owner_that_was_restarted(self):
        """Guards against a successor that serves while the upstream of the owner has its grants.

        The join of the new process made it the owner at once. Found beside review case 8.
        """
        others = [number for number in shards_of(self.fleet, "a0") if number != self.shard]
        self._request(3.0)
        move(self.fleet, self.shard, "a1")
        self.fleet.world.advance(0.1)
        self.fleet.kill("a0")
        killed_at = self.fleet.world.now
        restarted = self.fleet.start("a0", "d0", self.source.boot)
        while self._serves(self.target) is None:
            self.fleet.world.advance(0.05)
            self.assertLess(self.fleet.world.now, killed_at + 3.0)
        self.assertGreaterEqual(self.fleet.world.now, killed_at + LEASE_S)
        self.assertEqual(self._serves(self.target), self.epoch + 1)
        self.assertEqual(sorted(restarted.serving()), others)

    def test_successor_lost_before_and_after_the_release(self):
        """Guards against reuse of an epoch at which the lost successor may have served."""
        for released in (False, True):
            with self.subTest(released=released):
                self.setUp()
                self.target.platform.response_mode = ResponseMode.IGNORED
                if not released:
                    self._request(1.0)
                move(self.fleet, self.shard, "a1")
                self.fleet.world.advance(0.1)
                self.assertEqual(self._serves(self.target) is not None, released)
                self.fleet.kill("a1")
                self.assertIsNotNone(self.fleet.time_until_served(4), self.fleet.owners())
                # Until the request in flight has ended, the owner serves at the old epoch.
                self.fleet.world.advance(2)
                self.assertEqual(self._serves(self.source), self.epoch + 2)

    def test_drain_waits_until_the_successor_has_confirmed(self):
        """Guards against a leave that ends before the outcomes of a shard are handed over."""
        call, lost_releases = self.source.peers.call, []

        async def lose_first_releases(member, message, number):
            if isinstance(message, Release) and len(lost_releases) < 5:
                lost_releases.append(message)
                raise PeerTimeoutError("lost")
            return await call(member, message, number)

        self.source.peers.call = lose_first_releases
        move(self.fleet, self.shard, "a1")
        self.fleet.world.advance(0.01)
        self.assertNotIn(self.shard, self.source.ownership.owned())
        self.assertGreater(self.source.ownership._handovers_in_progress, 0)
        self.fleet.world.advance(1)
        self.assertEqual(self.source.ownership._handovers_in_progress, 0)
        self.assertEqual(self._serves(self.target), self.epoch + 1)

    def test_repeated_and_late_releases(self):
        """Guards against a release that hands over a shard a second time."""
        sent: list[Release] = []
        call = self.source.peers.call

        async def record(member, message, number):
            if isinstance(message, Release):
                sent.append(message)
            return await call(member, message, number)

        self.source.peers.call = record
        move(self.fleet, self.shard, "a1")
        self.fleet.world.advance(0.3)
        self.assertEqual(len(sent), 1)
        self.target.loop.call_soon(
            self.target.ownership._on_release, self.source.member_id, sent[0]
        )
        self.fleet.world.advance(0.1)
        self.assertEqual(self._serves(self.target), self.epoch + 1)
        move(self.fleet, self.shard, "a2")
        self.fleet.world.advance(0.3)
        for sender in (self.source.member_id, self.fleet.agents["a2"].member_id):
            self.target.loop.call_soon(self.target.ownership._on_release, sender, sent[0])
            self.fleet.world.advance(0.2)
        self.assertIsNone(self._serves(self.target))
        self.assertEqual(self._serves(self.fleet.agents["a2"]), self.epoch + 2)

    def test_slow_and_lost_record_of_a_handover(self):
        """Guards against a shard that nobody serves until its handover is recorded."""
        for response_mode in (
            ResponseMode.SLOW,
            ResponseMode.LOST,
            ResponseMode.LATE,
            ResponseMode.REFUSED,
        ):
            with self.subTest(response_mode=response_mode):
                self.setUp()
                self.target.platform.write_response_mode = response_mode
                move(self.fleet, self.shard, "a1")
                self.fleet.world.advance(0.2)
                self.assertEqual(self._serves(self.target), self.epoch + 1)
                self.fleet.world.advance(4)
                self.fleet.heal()
                self.fleet.world.advance(3)
                shard = self.fleet.group().shards[self.shard]
                self.assertEqual((shard.owner, shard.successor), (self.target.member_id, None))

    def test_released_epochs_are_removed(self):
        """Guards against released epochs that accumulate with the number of moves."""
        for _ in range(3):
            for name in ("a1", "a0"):
                move(self.fleet, self.shard, name)
                self.fleet.world.advance(0.5)
        self.assertEqual(self.source.ownership._released_epochs, {})

    def test_raised_epoch_keeps_outcomes(self):
        """Guards against a request that runs again after the epoch rose without a new owner."""
        outcomes = self.source.ownership._outcomes
        before = outcomes.export(self.shard)
        version = self.fleet.platform.read(GROUP_ID.object_key).version
        group = self.fleet.group()
        shards = list(group.shards)
        shards[self.shard] = replace(shards[self.shard], epoch=self.epoch + 2)
        changed = encode_json(replace(group, shards=tuple(shards)))
        self.fleet.platform.write(GROUP_ID.object_key, changed, version)
        self.fleet.world.advance(0.5)
        self.assertEqual(self._serves(self.source), self.epoch + 2)
        self.assertEqual(outcomes.export(self.shard).lineage, (*before.lineage, self.epoch))


class GrantTest(unittest.TestCase):
    def test_upstream_that_confirms_no_grants(self):
        """Guards against a successor that serves while grants of the old upstream are in force."""
        fleet = start_fleet(3, 3)
        source, shard = fleet.agents["a0"], shards_of(fleet, "a0")[0]
        source.upstream.confirms = False
        expires_in_s = source.grants._latest_expiry_at - source.loop.time()
        move(fleet, shard, "a1")
        fleet.world.advance(expires_in_s * 0.95)
        self.assertNotIn(shard, fleet.agents["a1"].serving())
        fleet.world.advance(0.6)
        self.assertIn(shard, fleet.agents["a1"].serving())

    def test_shard_waits_for_the_confirmed_grant(self):
        """Guards against requests that the upstream refuses because it has no grant yet."""
        fleet = start_fleet(3, 3)
        target, shard = fleet.agents["a1"], shards_of(fleet, "a0")[0]
        target.upstream.confirms = False
        move(fleet, shard, "a1")
        fleet.world.advance(1)
        self.assertNotIn(shard, target.serving())
        target.upstream.confirms = True
        fleet.world.advance(0.3)
        self.assertIn(shard, target.serving())

    def test_hold_after_an_upstream_that_checks_no_grants(self):
        """Guards against a new owner that serves while the lost upstream still runs requests."""
        fleet = start_fleet(3, 3, checks_grants=False)
        lost = shards_of(fleet, "a0")
        fleet.kill("a0")
        fleet.world.advance(1.5)
        taken_over_at = fleet.world.now
        self.assertEqual(len(fleet.group().members), 2)
        hold_s = fleet.catalogue.entry("depot").entry.limits.max_request_ms / 1000
        fleet.world.advance(hold_s * 0.95)
        owners = fleet.owners()
        self.assertEqual([owners[shard] for shard in lost], [[] for _ in lost])
        self.assertIsNotNone(fleet.time_until_served(2), taken_over_at)

    def test_hold_survives_a_second_loss(self):
        """Guards against a hold that ends with the loss of the member that waits for it."""
        fleet = start_fleet(3, 3, checks_grants=False)
        lost = shards_of(fleet, "a0")
        fleet.kill("a0")
        fleet.world.advance(4)
        holds_ms = [
            shard.hold_ms for number, shard in enumerate(fleet.group().shards) if number in lost
        ]
        self.assertTrue(all(holds_ms))
        new_owner = fleet.group().shards[lost[0]].owner.split(":")[0]
        remaining = next(name for name in fleet.agents if name != new_owner)
        fleet.kill(new_owner)
        fleet.world.advance(8)
        self.assertNotIn(lost[0], fleet.agents[remaining].serving())
