"""Failover: an owner killed, an owner paused, and a failure domain lost, with real processes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from fescueward.messages import Entry, Group
from fescueward.testing.harness import DeployedMember, Deployment
from fescueward.testing.load import percentile
from fescueward.testing.scenarios import (
    ScenarioResult,
    run_under_load,
    unavailable_ms,
    wait_until_settled,
    wait_until_unchanged,
)
from fescueward.testing.specs import DeploymentSpec, MemberSpec, service_spec
from fescueward.testing.waiting import wait_until

BOUND_MS = 4000
GOAL_MS = 2000

Failure = Callable[[Deployment, tuple[DeployedMember, ...]], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class FailureFigures:
    """Figures of one kind of failure.

    Attributes:
        unavailable_ms_max: Longest unavailable time of any key.
        unavailable_ms_p99: 99th percentile over the keys.
        double_runs: Violations in the upstreams' journals.
        keys_moved_ratio: Shards that changed owners divided by those that had to.
    """

    unavailable_ms_max: float
    unavailable_ms_p99: float
    double_runs: int
    keys_moved_ratio: float


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of the benchmark.

    Attributes:
        killed: An owner and its upstream were killed.
        paused: An owner and its upstream were stopped for 5 s.
        domain_lost: All members of a failure domain were killed.
        bound_ms: Bound of the users.
        goal_ms: Goal of the project.
    """

    killed: FailureFigures
    paused: FailureFigures
    domain_lost: FailureFigures
    bound_ms: int = BOUND_MS
    goal_ms: int = GOAL_MS


def benchmark_spec(members: int = 6, domains: int = 3, shard_count: int = 64) -> DeploymentSpec:
    """Returns one service `depot` that spreads quickly."""
    entry = Entry("depot", "benchmarks", shard_count=shard_count)
    names = tuple(f"domain-{number}" for number in range(domains))
    service = service_spec(entry, members, names, MemberSpec(name="", failure_domain=""))
    return DeploymentSpec(services=(service,), settings=(("placement", "round_ms", "500"),))


def moved_ratio(before: Group, after: Group, lost: set[str]) -> float:
    """Returns shards with another owner divided by the shards of the lost members."""
    pairs = list(zip(before.shards, after.shards, strict=False))
    moved = sum(old.owner != new.owner for old, new in pairs if old.owner is not None)
    had_to = sum(old.owner in lost for old, _ in pairs)
    return moved / had_to if had_to else 0.0


async def _measure(
    victims: Callable[[Deployment], tuple[DeployedMember, ...]], fail: Failure
) -> FailureFigures:
    async with Deployment(benchmark_spec()) as deployment:
        await deployment.wait_ready()
        await wait_until_settled(deployment, "depot", 6)
        await wait_until_unchanged(deployment, "depot")
        lost = victims(deployment)
        others = tuple(member.url for member in deployment.members if member not in lost)
        names = {member.name for member in lost}
        groups: list[Group] = []

        async def group() -> Group:
            found = await deployment.group("depot")
            assert found is not None
            return found.group

        async def removed() -> bool:
            present = {member.name for member in (await group()).members.values()}
            return not names & present

        async def act() -> None:
            groups.append(await group())
            await fail(deployment, lost)
            await wait_until(removed, 15, "the lost members are removed")
            groups.append(await group())

        seen = await run_under_load(deployment, act, targets=others, tail_s=2.0, resends=10)
        lost_ids = {member.id for member in groups[0].members.values() if member.name in names}
        return _figures(seen, moved_ratio(groups[0], groups[1], lost_ids))


def _figures(seen: ScenarioResult, ratio: float) -> FailureFigures:
    times = unavailable_ms(seen.records)
    return FailureFigures(
        unavailable_ms_max=round(max(times.values()), 1),
        unavailable_ms_p99=round(percentile(times.values(), 99), 1),
        double_runs=len(seen.verdict.violations),
        keys_moved_ratio=round(ratio, 3),
    )


async def _kill(deployment: Deployment, lost: tuple[DeployedMember, ...]) -> None:
    await asyncio.gather(*(deployment.kill_member(member) for member in lost))


async def _pause(deployment: Deployment, lost: tuple[DeployedMember, ...]) -> None:
    for member in lost:
        await deployment.pause_member(member)


def run() -> Figures:
    """Runs the three failures one after the other."""

    def first(deployment: Deployment) -> tuple[DeployedMember, ...]:
        return deployment.members[:1]

    def domain(deployment: Deployment) -> tuple[DeployedMember, ...]:
        return deployment.members_in_domain("domain-0")

    return Figures(
        killed=asyncio.run(_measure(first, _kill)),
        paused=asyncio.run(_measure(first, _pause)),
        domain_lost=asyncio.run(_measure(domain, _kill)),
    )
