"""Goodput under one, two and four times the capacity, and attempts per request.

Goodput counts requests that get a response within their deadline. Callers send at a fixed rate,
whatever the responses are. In the last phase every response is truncated, so that all runs fail.
Runs are counted in the journals of the upstreams.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass

import uvloop

from fescueward.messages import Entry, Limits
from fescueward.testing.harness import Deployment
from fescueward.testing.journal import EventKind
from fescueward.testing.load import LoadGenerator, LoadPlan, OpenLoop, Summary, UniformKeys
from fescueward.testing.specs import DeploymentSpec, MemberSpec, service_spec
from fescueward.testing.waiting import wait_until

MEMBER_COUNT = 2
SLOTS = 6
WORK_MS = 100
DEADLINE_MS = 1000
PHASE_DURATION_S = 6.0
FAILING_PHASE_DURATION_S = 12.0
WARM_UP_DURATION_S = 3.0
KEY_COUNT = 400
SHARD_COUNT = 64
# Placement moves shards in rounds; the full capacity is available once they are spread.
BALANCE_TIMEOUT_S = 40.0
# Makes every run fail: its response is truncated, so the outcome is unknown.
FAILING_QUERY = (("truncate", "1"),)


@dataclass(frozen=True, slots=True)
class OverloadFigures:
    """Figures of the benchmark `overload`.

    Attributes:
        capacity: Requests per second that the slots can run.
        goodput_1x: Successful requests per second at a request rate equal to the capacity.
        goodput_2x: Successful requests per second at twice the capacity.
        goodput_4x: Successful requests per second at four times the capacity.
        goodput_ratio: The lower goodput at twice and four times the capacity, divided by the
            highest of the three; bound 0.9.
        refused_2x: Numbers of refusals by label at twice the capacity.
        latency_p99_2x_ms: 99th percentile of the latency of successful requests at twice the
            capacity, in milliseconds.
        attempts_ratio: Runs of the upstreams divided by requests, in the worst of the three
            phases; bound 1.1.
        failing_attempts_ratio: Runs divided by requests when every run fails; bound 1.1.
        wrong_answers: Responses that are not intact or belong to another request; must be 0.
    """

    capacity: float
    goodput_1x: float
    goodput_2x: float
    goodput_4x: float
    goodput_ratio: float
    refused_2x: dict[str, int]
    latency_p99_2x_ms: float
    attempts_ratio: float
    failing_attempts_ratio: float
    wrong_answers: int


def run() -> OverloadFigures:
    """Measures all phases on one deployment of two members."""
    return uvloop.run(_run())


def overload_deployment() -> DeploymentSpec:
    """Returns a deployment of two members with 6 slots each and requests that take 100 ms."""
    limits = Limits(deadline_ms=DEADLINE_MS)
    entry = Entry("depot", "benchmarks", shard_count=SHARD_COUNT, limits=limits)
    template = MemberSpec(name="", failure_domain="", slots=SLOTS, work_ms=WORK_MS)
    service = service_spec(entry, MEMBER_COUNT, ("lowell", "nashua"), template)
    return DeploymentSpec(services=(service,), log_level="WARNING")


async def _run() -> OverloadFigures:
    capacity = MEMBER_COUNT * SLOTS / (WORK_MS / 1000)
    async with Deployment(overload_deployment()) as deployment:
        await deployment.wait_ready()
        await wait_until(
            lambda: _shards_balanced(deployment), BALANCE_TIMEOUT_S, "shards are spread"
        )
        await _run_phase(deployment, capacity, WARM_UP_DURATION_S)
        phases = [await _run_phase(deployment, capacity * factor) for factor in (1, 2, 4)]
        failing = await _run_phase(
            deployment, capacity / 2, FAILING_PHASE_DURATION_S, query=FAILING_QUERY
        )
    goodputs = [phase.summary.successes / PHASE_DURATION_S for phase in phases]
    return OverloadFigures(
        capacity=capacity,
        goodput_1x=round(goodputs[0], 1),
        goodput_2x=round(goodputs[1], 1),
        goodput_4x=round(goodputs[2], 1),
        goodput_ratio=round(min(goodputs[1:]) / max(goodputs), 3),
        refused_2x=phases[1].summary.refusals,
        latency_p99_2x_ms=round(phases[1].summary.latency_p99_ms, 1),
        attempts_ratio=round(max(phase.attempts_ratio for phase in phases), 3),
        failing_attempts_ratio=round(failing.attempts_ratio, 3),
        wrong_answers=sum(phase.summary.wrong_answers for phase in (*phases, failing)),
    )


@dataclass(frozen=True, slots=True)
class _PhaseResult:
    summary: Summary
    attempts_ratio: float


async def _run_phase(
    deployment: Deployment,
    rate_per_s: float,
    duration_s: float = PHASE_DURATION_S,
    query: tuple[tuple[str, str], ...] = (),
) -> _PhaseResult:
    runs_before = _count_runs(deployment)
    plan = LoadPlan(
        targets=deployment.urls,
        service="depot",
        keys=UniformKeys(KEY_COUNT),
        pace=OpenLoop(rate_per_s, max_in_flight=5000),
        duration_s=duration_s,
        query=query,
        timeout_s=5.0,
    )
    generator = LoadGenerator(plan)
    await generator.run()
    await asyncio.sleep(0.5)
    summary = generator.summary
    return _PhaseResult(
        summary, (_count_runs(deployment) - runs_before) / max(summary.requests, 1)
    )


async def _shards_balanced(deployment: Deployment) -> bool:
    stored = await deployment.group("depot")
    if stored is None:
        return False
    shards_by_owner = Counter(shard.owner for shard in stored.group.shards)
    return (
        len(shards_by_owner) == MEMBER_COUNT
        and min(shards_by_owner.values()) >= SHARD_COUNT / MEMBER_COUNT * 0.9
    )


def _count_runs(deployment: Deployment) -> int:
    return sum(event.kind is EventKind.START for event in deployment.journal_events())
