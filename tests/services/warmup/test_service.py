"""Tests of the limit on cold upstreams with heartbeats, health checks and admission."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from tests.services.timed_fakes import World

from .cold_fleet import HEARTBEAT_S, MOST, SPEC, Agent, ColdServer, load

SEEDS = range(8)


class ColdStartLimitTest(unittest.TestCase):
    def build(self, count: int = 1, **values) -> None:
        self.world = World()
        self.servers = [ColdServer(self.world, 0.1 * number) for number in range(count)]
        spec = replace(SPEC, **values)
        self.agents = [
            Agent(self.world, f"agent-{number}", server, spec)
            for number, server in enumerate(self.servers)
        ]
        self.server, self.agent = self.servers[0], self.agents[0]
        self.world.advance(3.0)
        # Lets the last calls end.
        self.addCleanup(self.world.advance, 5.0)

    def load(self, per_second: float, seconds: float, seed: int = 1) -> None:
        load(self.world, self.agents, per_second, seconds, seed)

    def kill(self, number: int) -> None:
        """Ends an agent without notice and starts it again at once."""
        self.agents[number].killed = True
        name = f"agent-{number}-from-{self.world.now:.3f}"
        self.agents[number] = Agent(self.world, name, self.servers[number])
        self.agent = self.agents[0]

    def check_bound(self) -> None:
        for server in self.servers:
            self.assertLessEqual(server.worst_second, MOST)
        for agent in self.agents:
            self.assertEqual(agent.failures, [])

    def test_return_of_a_failure_domain(self):
        """Guards against a rush on upstreams that return cold together (FAILBACK).

        Two agents are killed meanwhile, and the heartbeats of one upstream come late.
        """
        for seed in SEEDS:
            self.build(4)
            self.load(30.0, 3.0, seed)
            for server in self.servers:
                server.down = True
            self.load(30.0, 2.0, seed)
            for server in self.servers:
                server.restart(4.0)
            self.servers[3].heartbeat_delay_s = 2.5
            self.load(30.0, 0.7, seed)
            self.kill(0)
            self.load(30.0, 0.6, seed)
            self.kill(1)
            self.load(30.0, 8.0, seed)
            with self.subTest(seed=seed):
                self.check_bound()

    def test_upstream_turns_cold_between_heartbeats(self):
        """Guards against requests at the full rate until the next heartbeat arrives."""
        for seed in SEEDS:
            self.build()
            self.load(45.0, 2.0 + seed * HEARTBEAT_S / len(SEEDS), seed)
            self.server.cool(3.0)
            self.load(45.0, 3.5, seed)
            with self.subTest(seed=seed):
                self.check_bound()
                self.assertGreater(len(self.server.cold_arrivals), 12)

    def test_restarted_agent_counts_what_the_earlier_process_sent(self):
        """Guards against two processes in a row that each send what a cold upstream takes."""
        for seed in SEEDS:
            self.build()
            self.load(45.0, 2.0 + seed * HEARTBEAT_S / len(SEEDS), seed)
            self.server.cool(4.0)
            self.load(45.0, 0.3, seed)
            self.kill(0)
            killed_at = self.world.now
            self.load(45.0, 1.0, seed)
            with self.subTest(seed=seed):
                self.assertEqual([at for at in self.server.arrivals if at > killed_at], [])
                self.load(45.0, 3.0, seed)
                self.check_bound()

    def test_late_heartbeat_does_not_end_a_cold_time(self):
        """Guards against a heartbeat from before the cold time that arrives within it."""
        for seed in SEEDS:
            self.build()
            self.load(45.0, 2.0, seed)
            self.server.heartbeat_delay_s = 1.9
            self.load(45.0, 1.0 + 0.3 * seed, seed)
            self.server.cool(6.0)
            self.load(45.0, 6.0, seed)
            with self.subTest(seed=seed):
                self.check_bound()

    def test_cold_upstream_gets_less_than_its_rate(self):
        """Guards against a cold upstream that crashes, and one that gets next to nothing."""
        self.build()
        self.server.cool(20.0)
        self.world.advance(1.0)
        before = len(self.server.arrivals)
        self.load(30.0, 10.0)
        rate = (len(self.server.arrivals) - before) / 10.0
        self.assertGreater(rate, 0.8 * SPEC.cold_per_s)
        self.assertLess(rate, SPEC.cold_per_s)
        self.assertGreater(self.agent.warmup.cold_left_s, 8.0)
        occupancy = self.agent.admission.occupancy
        self.assertLess(occupancy.usable_slots, 1.0)
        self.assertGreater(occupancy.cold_ms, 8_000)

    def test_warm_upstream_gets_all_after_a_ramp(self):
        """Guards against a step at the end of the cold time, and against starving afterwards."""
        self.build()
        self.server.cool(3.0)
        self.load(40.0, 3.0)
        ended = self.world.now
        self.load(40.0, 3.0)
        first = sum(ended <= at < ended + 0.2 for at in self.server.arrivals)
        self.assertLessEqual(first, 6)
        rate = sum(at >= ended + 1.0 for at in self.server.arrivals) / (self.world.now - ended - 1)
        self.assertGreater(rate, 36.0)
        self.assertEqual(self.agent.warmup.cold_left_s, 0.0)
        self.assertIsNone(self.agent.warmup.per_second)

    def test_no_warm_upstream_starves_while_heartbeats_are_late(self):
        """Guards against a limit that only heartbeats lift, and against a check each moment."""
        self.build()
        self.server.heartbeat_delay_s = 1e9
        self.world.advance(3.0)
        served, checks = self.agent.served, self.server.checks
        self.load(40.0, 5.0)
        self.assertGreater(self.agent.served - served, 180)
        self.assertLess(self.server.checks - checks, 25)

    def test_unreadable_health_response_ends_no_agent(self):
        """Guards against an agent that stops for what another program has sent."""
        self.build()

        async def fail(path: str) -> None:
            raise ValueError(path)

        self.agent.warmup._health = SimpleNamespace(check_health=fail)
        served = self.agent.served
        self.agent.warmup.suspect_cold()
        self.load(20.0, 6.0)
        self.check_bound()
        # Without a health check, heartbeats end the doubt after a while.
        self.assertGreater(self.agent.served - served, 30)
        self.assertIsNone(self.agent.warmup.per_second)

    def test_calm_warm_upstream_is_not_checked(self):
        """Guards against charged health checks while heartbeats say the same."""
        self.build()
        checks = self.server.checks
        self.load(9.0, 10.0)
        self.assertLessEqual(self.server.checks - checks, 1)

    def test_without_a_configured_rate_nothing_changes(self):
        """Guards against limits and checks on deployments that configure none."""
        self.build(cold_per_s=0.0)
        self.server.cool(9.0)
        self.load(40.0, 3.0)
        self.assertEqual((self.server.checks, self.agent.refused), (0, 0))
        occupancy = self.agent.admission.occupancy
        self.assertEqual((occupancy.per_second, occupancy.cold_ms), (None, 0))
