"""Goodput under one, two and four times the capacity, and attempts per request.

Goodput counts requests that are answered within their deadline. Callers send at a fixed rate,
whatever the answers are. In a last phase every response is cut, so that all runs fail. Runs are
counted in the journals of the upstreams.
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

MEMBERS = 2
SLOTS = 6
WORK_MS = 100
DEADLINE_MS = 1000
PHASE_S = 6.0
FAILING_PHASE_S = 12.0
WARM_UP_S = 3.0
KEYS = 400
SHARDS = 64
# Placement moves shards in rounds; the capacity counts only once they are spread.
BALANCE_TIMEOUT_S = 40.0
# Fails every run of an upstream: the response is cut, so its outcome is unknown.
FAILING_QUERY = (("truncate", "1"),)


@dataclass(frozen=True, slots=True)
class OverloadFigures:
    """Figures of the benchmark `overload`.

    Attributes:
        capacity: Requests per second that the slots can run.
        goodput_1x: Answered requests per second when the capacity is sent.
        goodput_2x: The same at twice the capacity.
        goodput_4x: The same at four times the capacity.
        goodput_ratio: Lower of the last two by the best of the three; bound 0.9.
        refused_2x: Refusals by label at twice the capacity.
        latency_p99_2x_ms: 99th percentile of the answered requests at twice the capacity, in ms.
        attempts_ratio: Runs of the upstreams by requests in the worst phase; bound 1.1.
        failing_attempts_ratio: The same when every run fails; bound 1.1.
        wrong_answers: Answers that belong to another request; must be 0.
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
    """Measures one deployment of two members."""
    return uvloop.run(_run())


def overload_deployment() -> DeploymentSpec:
    """Returns a service of two members with few slots and slow work."""
    limits = Limits(deadline_ms=DEADLINE_MS)
    entry = Entry("depot", "benchmarks", shard_count=SHARDS, limits=limits)
    template = MemberSpec(name="", failure_domain="", slots=SLOTS, work_ms=WORK_MS)
    service = service_spec(entry, MEMBERS, ("lowell", "nashua"), template)
    return DeploymentSpec(services=(service,), log_level="WARNING")


async def _run() -> OverloadFigures:
    capacity = MEMBERS * SLOTS / (WORK_MS / 1000)
    async with Deployment(overload_deployment()) as deployment:
        await deployment.wait_ready()
        await wait_until(lambda: _balanced(deployment), BALANCE_TIMEOUT_S, "shards are spread")
        await _phase(deployment, capacity, WARM_UP_S)
        phases = [await _phase(deployment, capacity * factor) for factor in (1, 2, 4)]
        failing = await _phase(deployment, capacity / 2, FAILING_PHASE_S, query=FAILING_QUERY)
    goodputs = [phase.summary.successes / PHASE_S for phase in phases]
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
class _Phase:
    summary: Summary
    attempts_ratio: float


async def _phase(
    deployment: Deployment,
    rate: float,
    duration_s: float = PHASE_S,
    query: tuple[tuple[str, str], ...] = (),
) -> _Phase:
    before = _runs(deployment)
    plan = LoadPlan(
        targets=deployment.urls,
        service="depot",
        keys=UniformKeys(KEYS),
        pace=OpenLoop(rate, max_in_flight=5000),
        duration_s=duration_s,
        query=query,
        timeout_s=5.0,
    )
    generator = LoadGenerator(plan)
    await generator.run()
    await asyncio.sleep(0.5)
    summary = generator.summary
    return _Phase(summary, (_runs(deployment) - before) / max(summary.requests, 1))


async def _balanced(deployment: Deployment) -> bool:
    found = await deployment.group("depot")
    if found is None:
        return False
    owned = Counter(shard.owner for shard in found.group.shards)
    return len(owned) == MEMBERS and min(owned.values()) >= SHARDS / MEMBERS * 0.9


def _runs(deployment: Deployment) -> int:
    return sum(event.kind is EventKind.START for event in deployment.journal_events())
