"""Load during a failure: the pattern of the integration tests and benchmarks."""

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

Action = Callable[[], Awaitable[None]]

SETTLE_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """What callers and upstreams saw of a scenario.

    Attributes:
        records: All attempts of callers.
        summary: Figures of the callers.
        verdict: Judgement from journals and records.
    """

    records: tuple[Record, ...]
    summary: Summary
    verdict: Verdict


def unavailable_ms(records: tuple[Record, ...]) -> dict[str, float]:
    """Returns the longest unavailable time of each key in milliseconds.

    A request that waits inside its deadline until its key is served again counts like a failed
    one, so the longest time to an answer counts as well as gaps between successes.

    Args:
        records: All attempts of callers.
    """
    finals = [record for record in records if record.final]
    times = {key: gap_s * 1000 for key, gap_s in unavailable_times(finals).items()}
    for record in finals:
        if record.succeeded:
            waited_ms = (record.end_s - record.begun_s) * 1000
            times[record.key] = max(times[record.key], waited_ms)
    return times


async def run_under_load(
    deployment: Deployment,
    action: Action,
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
    """Runs an action while callers send requests, and judges the outcome.

    Args:
        deployment: A started deployment.
        action: What happens under load.
        service: Service of the requests.
        keys: Distribution of the keys; 60 keys alike by default.
        pace: When requests are sent; eight callers without a pause by default.
        targets: URLs of agents; all by default.
        lead_s: Seconds of load before the action.
        tail_s: Seconds of load after the action.
        max_duration_s: Longest time of the load in seconds.
        deadline_ms: Deadline of each request, or None for the one of the entry.
        timeout_s: Seconds after which a caller gives up.
        resends: Times that a failed request is sent again.
        method: HTTP method.
        query: Query of each request; see `fescueward.testing.upstream`.
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
    """Waits until each active member owns shards and no handover is on its way.

    Raises:
        ConditionTimeoutError: It took longer than a minute.
    """

    async def spread() -> bool:
        found = await deployment.group(service)
        if found is None or len(found.group.members) != members:
            return False
        if any(shard.successor is not None for shard in found.group.shards):
            return False
        owners = {shard.owner for shard in found.group.shards if shard.owner is not None}
        active = {
            member.id
            for member in found.group.members.values()
            if member.state is MemberState.ACTIVE
        }
        return owners == active

    await wait_until(spread, SETTLE_TIMEOUT_S, f"the shards of {service} are spread")


async def wait_until_unchanged(deployment: Deployment, service: str, quiet_s: float = 3.0) -> None:
    """Waits until the group object of a service has not changed for a time.

    Raises:
        ConditionTimeoutError: It took longer than a minute.
    """
    loop = asyncio.get_running_loop()
    version, since = 0, loop.time()

    async def unchanged() -> bool:
        nonlocal version, since
        found = await deployment.group(service)
        if found is None or found.version != version:
            version, since = found.version if found is not None else 0, loop.time()
        return loop.time() - since >= quiet_s

    await wait_until(unchanged, SETTLE_TIMEOUT_S, f"group {service} is quiet")
