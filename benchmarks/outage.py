"""Outage of the platform for 60 s under load."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from fescueward.testing.harness import Deployment
from fescueward.testing.platform import Faults, Mode
from fescueward.testing.scenarios import run_under_load, wait_until_settled

from .failover import benchmark_spec

OUTAGE_S = 60.0


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of the benchmark.

    Attributes:
        requests: Number of requests during the outage.
        served_ratio: Share of the requests that succeeded; the goal is 1.0.
        latency_ms_p99: 99th percentile of the latency in milliseconds.
        violations: Violations of the invariants.
        outage_s: Duration of the outage in seconds.
    """

    requests: int
    served_ratio: float
    latency_ms_p99: float
    violations: int
    outage_s: float = OUTAGE_S


async def _measure() -> Figures:
    async with Deployment(benchmark_spec(members=4, domains=2)) as deployment:
        await deployment.wait_ready()
        await wait_until_settled(deployment, "depot", 4)
        await deployment.platform.set_faults(Faults(mode=Mode.DOWN))
        result = await run_under_load(
            deployment, lambda: asyncio.sleep(OUTAGE_S), lead_s=0.0, tail_s=0.0
        )
        await deployment.platform.set_faults(Faults())
    return Figures(
        requests=result.summary.requests,
        served_ratio=round(result.summary.successes / result.summary.requests, 6),
        latency_ms_p99=round(result.summary.latency_p99_ms, 2),
        violations=len(result.verdict.violations),
    )


def run() -> Figures:
    """Takes the platform down for 60 s while all agents and upstreams run."""
    return asyncio.run(_measure())
