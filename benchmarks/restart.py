"""Rolling restart of all agents of a service under load."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from fescueward.testing.harness import Deployment
from fescueward.testing.scenarios import (
    run_under_load,
    unavailable_ms,
    wait_until_settled,
    wait_until_unchanged,
)
from fescueward.testing.waiting import wait_until

from .failover import benchmark_spec

GOAL_MS = 50


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of the benchmark.

    Attributes:
        requests: Requests during the restart.
        failed_requests: Requests that failed; the bound is 0.
        unavailable_ms_max: Longest unavailable time of any key.
        keys_moved_ratio: Handovers divided by the shards that each restart had to move out and
            back.
        violations: Violations in the journals.
        goal_ms: Goal of the unavailable time.
    """

    requests: int
    failed_requests: int
    unavailable_ms_max: float
    keys_moved_ratio: float
    violations: int
    goal_ms: int = GOAL_MS


async def _measure() -> Figures:
    moved, had_to = 0, 0
    async with Deployment(benchmark_spec(members=4, domains=2)) as deployment:
        await deployment.wait_ready()
        await wait_until_settled(deployment, "depot", 4)
        await wait_until_unchanged(deployment, "depot")

        async def owners() -> list[str | None]:
            found = await deployment.group("depot")
            assert found is not None
            return [
                shard.owner.rpartition(":")[0] if shard.owner else None
                for shard in found.group.shards
            ]

        async def present(name: str) -> bool:
            found = await deployment.group("depot")
            assert found is not None
            return any(member.name == name for member in found.group.members.values())

        async def restart_all() -> None:
            nonlocal moved, had_to
            for member in deployment.members:
                before = await owners()
                member.agent.terminate()
                await member.agent.wait(30.0)
                between = await owners()
                await deployment.start_member(member)
                await wait_until(lambda name=member.name: present(name), 20, "the member is back")
                await wait_until_settled(deployment, "depot", 4)
                after = await owners()
                had_to += 2 * sum(owner == member.name for owner in before)
                for one, other in ((before, between), (between, after)):
                    moved += sum(a != b for a, b in zip(one, other, strict=False) if a and b)

        seen = await run_under_load(deployment, restart_all, tail_s=1.0)
    return Figures(
        requests=seen.summary.requests,
        failed_requests=sum(seen.summary.refusals.values()),
        unavailable_ms_max=round(max(unavailable_ms(seen.records).values()), 1),
        keys_moved_ratio=round(moved / had_to, 3) if had_to else 0.0,
        violations=len(seen.verdict.violations),
    )


def run() -> Figures:
    """Restarts four members one after the other under load."""
    return asyncio.run(_measure())
