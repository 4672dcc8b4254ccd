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

UNAVAILABLE_GOAL_MS = 50


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of the benchmark.

    Attributes:
        requests: Number of requests during the restarts.
        failed_requests: Number of requests that failed; the bound is 0.
        unavailable_ms_max: Longest unavailable time of any key in milliseconds.
        keys_moved_ratio: Ownership changes of shards, divided by the number that the restarts
            require: each shard of a restarted member moves away and back.
        violations: Violations of the invariants.
        goal_ms: Goal for `unavailable_ms_max` in milliseconds.
    """

    requests: int
    failed_requests: int
    unavailable_ms_max: float
    keys_moved_ratio: float
    violations: int
    goal_ms: int = UNAVAILABLE_GOAL_MS


async def _measure() -> Figures:
    actual_moves, expected_moves = 0, 0
    async with Deployment(benchmark_spec(members=4, domains=2)) as deployment:
        await deployment.wait_ready()
        await wait_until_settled(deployment, "depot", 4)
        await wait_until_unchanged(deployment, "depot")

        async def owner_names() -> list[str | None]:
            stored = await deployment.group("depot")
            assert stored is not None
            return [
                shard.owner.rpartition(":")[0] if shard.owner else None
                for shard in stored.group.shards
            ]

        async def is_member(name: str) -> bool:
            stored = await deployment.group("depot")
            assert stored is not None
            return any(member.name == name for member in stored.group.members.values())

        async def restart_all() -> None:
            nonlocal actual_moves, expected_moves
            for member in deployment.members:
                before = await owner_names()
                member.agent.terminate()
                await member.agent.wait(30.0)
                stopped = await owner_names()
                await deployment.start_member(member)
                await wait_until(
                    lambda name=member.name: is_member(name), 20, "the member is back"
                )
                await wait_until_settled(deployment, "depot", 4)
                after = await owner_names()
                expected_moves += 2 * sum(owner == member.name for owner in before)
                for old, new in ((before, stopped), (stopped, after)):
                    actual_moves += sum(a != b for a, b in zip(old, new, strict=False) if a and b)

        result = await run_under_load(deployment, restart_all, tail_s=1.0)
    return Figures(
        requests=result.summary.requests,
        failed_requests=sum(result.summary.refusals.values()),
        unavailable_ms_max=round(max(unavailable_ms(result.records).values()), 1),
        keys_moved_ratio=round(actual_moves / expected_moves, 3) if expected_moves else 0.0,
        violations=len(result.verdict.violations),
    )


def run() -> Figures:
    """Restarts the agents of four members one after another under load."""
    return asyncio.run(_measure())
