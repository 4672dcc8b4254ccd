"""Scenarios of the integration tests and benchmarks: a load during a failure."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..messages import MemberState
from .harness import Deployment
from .load import (
    ClosedLoop,
    KeyDistribution,
    LoadGenerator,
    LoadPlan,
    Pace,
    Record,
    Summary,
    UniformKeys,
    summarize,
    unavailable_times,
)
from .verdicts import Verdict, judge
from .waiting import wait_until

ScenarioAction = Callable[[], Awaitable[None]]

SETTLE_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """Result of an action under load.

    Attributes:
        records: Records of all attempts of the callers.
        summary: Summary of the load.
        verdict: Result of the checks on the journals of all upstreams and the records.
    """

    records: tuple[Record, ...]
    summary: Summary
    verdict: Verdict


def unavailable_ms(records: tuple[Record, ...]) -> dict[str, float]:
    """Returns the longest unavailable time of each key in milliseconds.

    A request that waits within its deadline until its key is served again counts like a failed
    one, so the result covers the longest latency as well as the gaps between successes.

    Args:
        records: Records of all attempts of the callers.
    """
    final_attempts = [record for record in records if record.final]
    times_ms = {key: gap_s * 1000 for key, gap_s in unavailable_times(final_attempts).items()}
    for record in final_attempts:
        if record.succeeded:
            latency_ms = (record.end_s - record.begun_s) * 1000
            times_ms[record.key] = max(times_ms[record.key], latency_ms)
    return times_ms


async def run_under_load(
    deployment: Deployment,
    action: ScenarioAction,
    *,
    service: str = "depot",
    keys: KeyDistribution | None = None,
    pace: Pace | None = None,
    targets: tuple[str, ...] | None = None,
    lead_s: float = 1.0,
    tail_s: float = 1.0,
    max_duration_s: float = 120.0,
    deadline_ms: int | None = None,
    timeout_s: float = 15.0,
    resends: int = 0,
    method: str = "GET",
    query: tuple[tuple[str, str], ...] = (),
    body: bytes = b"",
) -> ScenarioResult:
    """Runs an action while callers send requests, and checks the invariants afterwards.

    Args:
        deployment: A started deployment.
        action: Coroutine function that is called under load, for example to cause a failure.
        service: Service of the requests.
        keys: Distribution of the keys; by default uniform over 60 keys.
        pace: When requests are sent; by default a closed loop of eight callers with pauses of
            2 ms.
        targets: Base URLs of agents; by default those of all agents.
        lead_s: Seconds of load before the action.
        tail_s: Seconds of load after the action.
        max_duration_s: Longest duration of the load in seconds.
        deadline_ms: Deadline of each request, None for the deadline of the entry.
        timeout_s: Seconds after which an attempt without a response fails.
        resends: How often a failed request is sent again.
        method: HTTP method.
        query: Query parameters of each request; see `fescueward.testing.upstream`.
        body: Body of each request.
    """
    generator = LoadGenerator(
        LoadPlan(
            targets=targets or deployment.urls,
            service=service,
            keys=keys or UniformKeys(60),
            pace=pace or ClosedLoop(8, 0.002),
            duration_s=max_duration_s,
            deadline_ms=deadline_ms,
            timeout_s=timeout_s,
            resends=resends,
            method=method,
            query=query,
            body=body,
        )
    )
    load = asyncio.create_task(generator.run())
    try:
        await asyncio.sleep(lead_s)
        await action()
        await asyncio.sleep(tail_s)
    finally:
        generator.stop()
        records = await load
    return ScenarioResult(records, summarize(records), judge(deployment.journal_events(), records))


async def wait_until_settled(deployment: Deployment, service: str, members: int) -> None:
    """Waits until each active member owns shards and no handover is in progress.

    Args:
        deployment: A started deployment.
        service: Service whose first group is checked.
        members: Number of members that the group must have.

    Raises:
        ConditionTimeoutError: The group did not settle within 60 s.
    """

    async def shards_spread() -> bool:
        stored = await deployment.group(service)
        if stored is None or len(stored.group.members) != members:
            return False
        if any(shard.successor is not None for shard in stored.group.shards):
            return False
        owners = {shard.owner for shard in stored.group.shards if shard.owner is not None}
        active_members = {
            member.id
            for member in stored.group.members.values()
            if member.state is MemberState.ACTIVE
        }
        return owners == active_members

    await wait_until(shards_spread, SETTLE_TIMEOUT_S, f"the shards of {service} are spread")


async def wait_until_unchanged(
    deployment: Deployment, service: str, unchanged_s: float = 3.0
) -> None:
    """Waits until the group object of a service has not changed for some time.

    Args:
        deployment: A started deployment.
        service: Service whose first group is checked.
        unchanged_s: Time in seconds without a change.

    Raises:
        ConditionTimeoutError: The group still changed after 60 s.
    """
    loop = asyncio.get_running_loop()
    version, since_s = 0, loop.time()

    async def unchanged() -> bool:
        nonlocal version, since_s
        stored = await deployment.group(service)
        if stored is None or stored.version != version:
            version, since_s = stored.version if stored is not None else 0, loop.time()
        return loop.time() - since_s >= unchanged_s

    await wait_until(unchanged, SETTLE_TIMEOUT_S, f"group {service} is unchanged")
