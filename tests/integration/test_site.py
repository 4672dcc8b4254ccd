"""Real agents on the emulated platform."""

from __future__ import annotations

import asyncio
import unittest

from fescueward.testing.site.callers import Load
from fescueward.testing.site.deployment import SiteDeployment, SiteSpec
from fescueward.testing.site.judge import judge
from fescueward.testing.site.records import Signal
from fescueward.testing.site.store import StoreFaults, StoreMode

SHORT = (
    Load(route="catalogue", repeatable=True, keys=64),
    Load(route="orders-once", repeatable=False),
    Load(route="proofing", repeatable=True),
)
SERVED_WITHIN_S = 10.0
# Work of up to seconds, so that requests are open in every phase of a stop.
LONG = tuple(
    Load(route=route, repeatable=False, pause_s=0.05, work_ms=(5, 2_000), timeout_s=3.0)
    for route in ("orders-once", "proofing-once")
)
ROLL_SEEDS = (2, 3, 4)
WATCHES_FAIL_S = 5.0
# Time between two agents' stop signals: less than a grace time, so that stops overlap.
ROLL_S = 3.0


class SiteTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # The test case switches debugging on, which makes upstreams and callers late.
        asyncio.get_running_loop().set_debug(False)

    async def judged(self, site: SiteDeployment) -> None:
        await site.stop_load()
        breaches = judge(site.evidence)
        logs = [site.log_lines(name) for name in site.machines] if breaches else []
        self.assertEqual(breaches, (), "\n".join(map(str, (*breaches, *logs))))

    async def test_calm_run(self):
        """Guards against agents that do not serve every service from every machine."""
        async with SiteDeployment(SiteSpec(seed=1)) as site:
            await site.wait_ready()
            site.start_load(SHORT)
            await site.wait_served(SHORT, SERVED_WITHIN_S)
            await self.judged(site)

    async def test_rolling_restart_while_the_store_is_down(self):
        """Guards against stops that read a request and end without its answer, or end too late."""
        for seed in ROLL_SEEDS:
            with self.subTest(seed=seed):
                await self._roll(seed)

    async def test_restart_while_the_store_is_down(self):
        """Guards against an agent that refuses all after a restart until the store is back."""
        loads = tuple(load for load in SHORT if not load.keys)
        async with SiteDeployment(SiteSpec(seed=5)) as site:
            await site.wait_ready()
            site.start_load(loads)
            await site.wait_served(loads, SERVED_WITHIN_S)
            site.store.set_faults(StoreFaults(mode=StoreMode.SILENT))
            # The watches of the store have failed by then, on every agent.
            await asyncio.sleep(WATCHES_FAIL_S)
            await site.machines["orders-2"].agent.kill()
            await site.wait_served(loads, SERVED_WITHIN_S)
            await self.judged(site)

    async def _roll(self, seed: int) -> None:
        async with SiteDeployment(SiteSpec(seed=seed)) as site:
            await site.wait_ready()
            site.start_load(LONG)
            await site.wait_served(LONG, SERVED_WITHIN_S)
            site.store.set_faults(StoreFaults(mode=StoreMode.SILENT))
            stops = []
            for machine in site.machines.values():
                stops.append(asyncio.create_task(machine.agent.terminate()))
                await asyncio.sleep(ROLL_S)
            await asyncio.gather(*stops)
            site.store.set_faults(StoreFaults())
            await site.wait_served(LONG, SERVED_WITHIN_S)
            ends = [event for event in site.evidence.processes if event.signal is Signal.EXIT]
            self.assertEqual(
                {event.agent for event in ends if event.code == 0}, set(site.machines)
            )
            await self.judged(site)
