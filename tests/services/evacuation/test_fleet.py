"""Tests of evacuations in a simulated fleet that fails halfway."""

import unittest
from types import SimpleNamespace

from fescueward.interfaces import StoredObject
from fescueward.kernel.bounds import Bounds
from fescueward.messages.era import era_of
from fescueward.messages.evacuations import EVACUATIONS_PREFIX
from fescueward.messages.peer import WatchStatus
from fescueward.services.evacuation import EvacuatedDomains
from fescueward.services.keyspace.moves import KEY_COUNT
from tests.services.timed_fakes import ResponseMode

from ..keyspace.keyed_fleet import KeyedFleet

_KEY = EVACUATIONS_PREFIX + "d0"
_BOUND_S = Bounds().evacuate_s
# Time within which agents know what an operator has written; the least `propagationS` of a
# platform.
_PROPAGATION_S = 2.0


class EvacuatedFleet(KeyedFleet):
    """Agents of three failure domains; the operator evacuates the first."""

    services = {"evacuations": EvacuatedDomains, **KeyedFleet.services}

    def __init__(self, per_domain: int = 3) -> None:
        super().__init__()
        for number in range(per_domain * 3):
            self.start(f"a{number:02}", f"d{number % 3}")
        assert self.time_until_distributed(10) is not None
        # The reports of load and the statuses of the watchers come in.
        self.world.advance(3)

    def _check_write(self, old: StoredObject | None, new: StoredObject) -> None:
        if not new.key.startswith(EVACUATIONS_PREFIX):
            super()._check_write(old, new)

    def evacuate(self) -> None:
        old = self.platform.objects.get(_KEY)
        self.platform.write(_KEY, b"{}", old.version if old is not None else 0)

    def end_evacuation(self) -> None:
        self.platform.write(_KEY, b"", self.platform.objects[_KEY].version, deleted=True)

    def evacuees(self):
        return [agent for agent in self.agents.values() if agent.domain == "d0"]

    def greet(self, restarted) -> None:
        """Sends the status that a member sends to the address of an agent that was restarted."""
        other = self.agents["a01"]
        status = WatchStatus("a01", False, other.groups.versions())
        target = SimpleNamespace(id=restarted.member_id)
        other.loop.call_soon(other.peers.send, target, status)

    def knowing(self) -> int:
        return sum("d0" in agent.evacuations.domains for agent in self.agents.values())

    def start(self, *arguments, **named):
        agent = super().start(*arguments, **named)
        agent.evacuations = agent.kernel.registry.find("evacuations", EvacuatedDomains)
        return agent

    def keys_inside(self) -> int:
        key_counts = self.served_keys()
        return sum(key_counts[agent.name] for agent in self.evacuees())

    def moved_out(self) -> bool:
        served_keys = sum(self.served_keys().values())
        return self.keys_inside() == 0 and served_keys == KEY_COUNT

    def time_until(self, condition, limit_s: float) -> float | None:
        start = self.world.now
        while not condition():
            if self.world.now - start > limit_s:
                return None
            self.world.advance(0.02)
        return self.world.now - start


class EvacuationTest(unittest.TestCase):
    def fleet(self, per_domain: int = 3) -> EvacuatedFleet:
        fleet = EvacuatedFleet(per_domain)
        self.addCleanup(fleet.close)
        return fleet

    def test_keys_leave_a_domain_of_a_large_group_before_the_gates_close(self):
        """Guards against keys that are refused because their handover takes too long."""
        fleet = self.fleet(13)
        fleet.evacuate()
        self.assertIsNotNone(fleet.time_until(lambda: fleet.knowing() == 39, 0.3))
        duration_s = fleet.time_until(fleet.moved_out, _BOUND_S)
        self.assertIsNotNone(duration_s)
        self.assertLess(duration_s, _BOUND_S / 2 - 0.3)
        shares = [fleet.served_keys()[a.name] for a in fleet.agents.values() if a.domain != "d0"]
        self.assertLess(max(shares), 2 * KEY_COUNT / len(shares))

    def test_keys_come_back_after_the_end(self):
        """Guards against a domain that stays empty, and gates that stay closed."""
        fleet = self.fleet()
        fleet.evacuate()
        fleet.world.advance(_BOUND_S)
        self.assertTrue(all(agent.evacuations.closed for agent in fleet.evacuees()))
        fleet.end_evacuation()
        self.assertIsNotNone(fleet.time_until_distributed(10))
        self.assertEqual(fleet.knowing(), 0)
        self.assertFalse(any(agent.evacuations.begun for agent in fleet.agents.values()))

    def test_planner_that_is_lost_after_its_first_write(self):
        """Guards against ranges whose successors were written and that nobody hands over."""
        fleet = self.fleet()
        planner = min(fleet.agents.values(), key=lambda agent: agent.member_id)
        fleet.evacuate()
        moving = fleet.time_until(
            lambda: any(each.successor for each in fleet.group().ranges), _BOUND_S
        )
        self.assertIsNotNone(moving)
        fleet.kill(planner.name)
        fleet.upstreams.pop(planner.name)
        self.assertIsNotNone(fleet.time_until(fleet.moved_out, 10))

    def test_store_that_is_gone_after_the_write(self):
        """Guards against requests past the bound, or a second owner, without a store."""
        fleet = self.fleet()
        fleet.evacuate()
        self.assertIsNotNone(fleet.time_until(lambda: fleet.knowing() == 9, 1))
        for agent in fleet.agents.values():
            agent.platform.response_mode = ResponseMode.REFUSED
        closed_s = fleet.time_until(
            lambda: all(agent.evacuations.closed for agent in fleet.evacuees()), _BOUND_S
        )
        self.assertLess(closed_s, _BOUND_S * 0.6)
        restarted = fleet.start("a03", "d0", fleet.agents["a03"].boot)
        restarted.platform.response_mode = ResponseMode.REFUSED
        fleet.world.advance(1)
        self.assertTrue(restarted.evacuations.closed)
        restarted.groups.mark_loaded()
        self.assertFalse(restarted.groups.complete)
        fleet.greet(restarted)
        self.assertIsNotNone(fleet.time_until(lambda: restarted.evacuations.known, 1))
        self.assertTrue(restarted.groups.complete)
        self.assertTrue(restarted.evacuations.closed)
        fleet.heal()
        self.assertIsNotNone(fleet.time_until(fleet.moved_out, 10))

    def test_change_is_known_in_time_while_the_watchers_are_paused(self):
        """Guards against changes that no agent reads until three statuses are missing."""
        for per_domain in (1, 2, 13):
            with self.subTest(per_domain=per_domain):
                self.assert_known_without_watchers(self.fleet(per_domain))

    def assert_known_without_watchers(self, fleet):
        fleet.world.paused |= {"a00", "a01"}
        others = len(fleet.agents) - len(fleet.world.paused)
        fleet.evacuate()
        self.assertIsNotNone(fleet.time_until(lambda: fleet.knowing() == others, _PROPAGATION_S))

    def test_paused_agent_of_the_domain_is_taken_over(self):
        """Guards against keys that stay with an agent that learns of nothing."""
        fleet = self.fleet()
        fleet.world.paused.add("a03")
        fleet.evacuate()
        self.assertIsNotNone(fleet.time_until(fleet.moved_out, 15))
        fleet.heal()
        fleet.world.advance(3)
        self.assertTrue(fleet.moved_out())

    def test_all_agents_restarted(self):
        """Guards against an evacuation that is forgotten with the processes."""
        fleet = self.fleet()
        fleet.evacuate()
        fleet.world.advance(_BOUND_S)
        for agent in list(fleet.agents.values()):
            fleet.start(agent.name, agent.domain, agent.boot)
        fleet.world.advance(0.5)
        self.assertEqual(fleet.knowing(), 9)
        self.assertTrue(all(agent.evacuations.closed for agent in fleet.evacuees()))
        self.assertIsNotNone(fleet.time_until(fleet.moved_out, 10))

    def test_restored_older_copy_without_the_evacuation(self):
        """Guards against a domain that fills again although its operator did not ask for it."""
        fleet = self.fleet()
        copy = fleet.platform.copy()
        fleet.evacuate()
        fleet.world.advance(_BOUND_S)
        fleet.platform.restore(copy)
        fleet.world.advance(2)
        restarted = fleet.start("a01", "d1", fleet.agents["a01"].boot)
        fleet.world.advance(10)
        self.assertEqual(era_of(restarted.evacuations.current.version), 1)
        self.assertEqual(fleet.knowing(), 9)
        self.assertTrue(fleet.moved_out())
        fleet.evacuate()
        fleet.world.advance(1)
        fleet.end_evacuation()
        self.assertIsNotNone(fleet.time_until(lambda: fleet.knowing() == 0, 3))
