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

UNAVAILABLE_BOUND_MS = 4000
UNAVAILABLE_GOAL_MS = 2000

InjectFailure = Callable[[Deployment, tuple[DeployedMember, ...]], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class FailureFigures:
    """Figures of one kind of failure.

    Attributes:
        unavailable_ms_max: Longest unavailable time of any key in milliseconds.
        unavailable_ms_p99: 99th percentile of the unavailable time over the keys, in milliseconds.
        double_runs: Violations of the invariants.
        keys_moved_ratio: Shards that changed owners, divided by the shards of the lost members.
    """

    unavailable_ms_max: float
    unavailable_ms_p99: float
    double_runs: int
    keys_moved_ratio: float


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of the benchmark.

    Attributes:
        killed: The agent and the upstream of a member were killed.
        paused: The agent and the upstream of a member were paused and not resumed.
        domain_lost: All members of a failure domain were killed.
        bound_ms: The users' bound for the unavailable time in milliseconds.
        goal_ms: The project's goal for the unavailable time in milliseconds.
    """

    killed: FailureFigures
    paused: FailureFigures
    domain_lost: FailureFigures
    bound_ms: int = UNAVAILABLE_BOUND_MS
    goal_ms: int = UNAVAILABLE_GOAL_MS


def benchmark_spec(members: int = 6, domains: int = 3, shard_count: int = 64) -> DeploymentSpec:
    """Returns a deployment of the service `depot` with fast placement."""
    entry = Entry("depot", "benchmarks", shard_count=shard_count)
    domain_names = tuple(f"domain-{number}" for number in range(domains))
    service = service_spec(entry, members, domain_names, MemberSpec(name="", failure_domain=""))
    return DeploymentSpec(services=(service,), settings=(("placement", "round_ms", "500"),))


def moved_ratio(before: Group, after: Group, lost: set[str]) -> float:
    """Returns the number of shards with a new owner, divided by those of the lost members.

    Args:
        before: The group before the loss.
        after: The group after the takeovers.
        lost: Ids of the lost members.
    """
    pairs = list(zip(before.shards, after.shards, strict=False))
    moved = sum(old.owner != new.owner for old, new in pairs if old.owner is not None)
    shards_of_lost = sum(old.owner in lost for old, _ in pairs)
    return moved / shards_of_lost if shards_of_lost else 0.0


async def _measure(
    victims: Callable[[Deployment], tuple[DeployedMember, ...]], fail: InjectFailure
) -> FailureFigures:
    async with Deployment(benchmark_spec()) as deployment:
        await deployment.wait_ready()
        await wait_until_settled(deployment, "depot", 6)
        await wait_until_unchanged(deployment, "depot")
        lost = victims(deployment)
        others = tuple(member.url for member in deployment.members if member not in lost)
        lost_names = {member.name for member in lost}
        groups: list[Group] = []

        async def group() -> Group:
            stored = await deployment.group("depot")
            assert stored is not None
            return stored.group

        async def lost_members_removed() -> bool:
            member_names = {member.name for member in (await group()).members.values()}
            return not lost_names & member_names

        async def fail_and_wait() -> None:
            groups.append(await group())
            await fail(deployment, lost)
            await wait_until(lost_members_removed, 15, "the lost members are removed")
            groups.append(await group())

        result = await run_under_load(
            deployment, fail_and_wait, targets=others, tail_s=2.0, resends=10
        )
        lost_ids = {
            member.id for member in groups[0].members.values() if member.name in lost_names
        }
        return _figures(result, moved_ratio(groups[0], groups[1], lost_ids))


def _figures(result: ScenarioResult, ratio: float) -> FailureFigures:
    times_ms = unavailable_ms(result.records)
    return FailureFigures(
        unavailable_ms_max=round(max(times_ms.values()), 1),
        unavailable_ms_p99=round(percentile(times_ms.values(), 99), 1),
        double_runs=len(result.verdict.violations),
        keys_moved_ratio=round(ratio, 3),
    )


async def _kill(deployment: Deployment, lost: tuple[DeployedMember, ...]) -> None:
    await asyncio.gather(*(deployment.kill_member(member) for member in lost))


async def _pause(deployment: Deployment, lost: tuple[DeployedMember, ...]) -> None:
    for member in lost:
        await deployment.pause_member(member)


def run() -> Figures:
    """Measures the three failures one after another."""

    def first_member(deployment: Deployment) -> tuple[DeployedMember, ...]:
        return deployment.members[:1]

    def first_domain(deployment: Deployment) -> tuple[DeployedMember, ...]:
        return deployment.members_in_domain("domain-0")

    return Figures(
        killed=asyncio.run(_measure(first_member, _kill)),
        paused=asyncio.run(_measure(first_member, _pause)),
        domain_lost=asyncio.run(_measure(first_domain, _kill)),
    )
