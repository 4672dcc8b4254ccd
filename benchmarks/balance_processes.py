"""Load balance over 16 servers as real processes, at a moderate rate.

The benchmark `balance` shows what placement does at the target rates; this one shows that the
whole path does it: measurement, reports, planner, handovers. The imbalance is computed from the
requests that each server ran, so it contains the noise of drawing them: at 30 requests/s and
server, about 1.08 for 16 servers that are perfectly even over the window.
"""

from __future__ import annotations

import asyncio
import random
from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass
from itertools import accumulate

from fescueward.kernel import BootClock
from fescueward.messages import Entry, Group, Weight
from fescueward.testing.harness import Deployment
from fescueward.testing.load import LoadGenerator, LoadPlan, OpenLoop, Record, percentile
from fescueward.testing.specs import DeploymentSpec, MemberSpec, service_spec

SERVERS = 16
RATE = 480.0
WORK_MS = 20
KEYS = 5_000
ZIPF_EXPONENT = 0.8
WARM_UP_S = 24.0
WINDOW_S = 24.0
# The hottest keys change once, in the middle of the warm-up.
SHIFT_S = 12.0


@dataclass(frozen=True, slots=True)
class ProcessFigures:
    """Figures of one policy and weight.

    Attributes:
        imbalance: Most requests of a server over the mean, in the window after the warm-up.
        keys_moved: Keys that changed owner in the window, divided by the number of keys.
        latency_p99_ms: 99th percentile of latency in the window.
        failed: Requests of the whole run that failed.
        requests: All requests.
        exceptions: Keys with a shard of their own at the end.
    """

    imbalance: float
    keys_moved: float
    latency_p99_ms: float
    failed: int
    requests: int
    exceptions: int


@dataclass(frozen=True, slots=True)
class BalanceProcessesFigures:
    """Result of the benchmark.

    Attributes:
        unavailability: `bounded-load` for entries weighted `unavailability`.
        churn: `bounded-load` for entries weighted `churn`.
        static_hash: The baseline `static-hash`.
    """

    unavailability: ProcessFigures
    churn: ProcessFigures
    static_hash: ProcessFigures


@dataclass(frozen=True, slots=True)
class _ShiftingZipf:
    """Zipf over all keys, whose ranks all change once; see `KeyDistribution`."""

    weights: tuple[float, ...]

    def key(self, rng: random.Random, elapsed_s: float) -> str:
        """Returns a key."""
        rank = bisect_left(self.weights, rng.random() * self.weights[-1])
        return f"key-{rank if elapsed_s < SHIFT_S else KEYS - 1 - rank}"


def run() -> BalanceProcessesFigures:
    """Runs all policies one after the other with the same keys."""
    return BalanceProcessesFigures(
        asyncio.run(_measure("bounded-load", Weight.UNAVAILABILITY)),
        asyncio.run(_measure("bounded-load", Weight.CHURN)),
        asyncio.run(_measure("static-hash", Weight.UNAVAILABILITY)),
    )


async def _measure(policy: str, weight: Weight) -> ProcessFigures:
    clock = BootClock()
    template = MemberSpec(name="", failure_domain="", slots=12, work_ms=WORK_MS)
    domains = ("ahmedabad", "gandhinagar", "vadodara")
    service = service_spec(
        Entry("catalogue", "benchmark", weight=weight), SERVERS, domains, template
    )
    spec = DeploymentSpec(
        services=(service,), journals=False, settings=(("placement", "policy", policy),)
    )
    weights = tuple(accumulate(1 / rank**ZIPF_EXPONENT for rank in range(1, KEYS + 1)))
    async with Deployment(spec) as deployment:
        await deployment.wait_ready(60.0)
        await clock.sleep(6.0)
        load = LoadGenerator(
            LoadPlan(
                targets=deployment.urls,
                service="catalogue",
                keys=_ShiftingZipf(weights),
                pace=OpenLoop(RATE),
                duration_s=WARM_UP_S + WINDOW_S,
            )
        )
        running = asyncio.create_task(load.run())
        await clock.sleep(WARM_UP_S)
        since = clock.now()
        before = await _group(deployment)
        records = await running
        after = await _group(deployment)
    finals = [record for record in records if record.final]
    window = [record for record in finals if record.begun_s >= since]
    return ProcessFigures(
        imbalance=_imbalance(window),
        keys_moved=round(_moved(before, after) / KEYS, 4),
        latency_p99_ms=round(
            percentile(((r.end_s - r.begun_s) * 1000 for r in window if r.succeeded), 99), 1
        ),
        failed=sum(not record.succeeded for record in finals),
        requests=len(finals),
        exceptions=len(after.exceptions),
    )


async def _group(deployment: Deployment) -> Group:
    found = await deployment.group("catalogue")
    assert found is not None, "the group exists once the deployment is ready"
    return found.group


def _imbalance(records: list[Record]) -> float:
    counts = Counter(record.served_by for record in records if record.succeeded)
    return round(max(counts.values()) * SERVERS / sum(counts.values()), 4)


def _moved(before: Group, after: Group) -> int:
    names = [f"key-{number}" for number in range(KEYS)]

    def owner(group: Group, key: str) -> str | None:
        return group.shards[group.shard_of(key, 1)].owner

    return sum(owner(before, name) != owner(after, name) for name in names)
