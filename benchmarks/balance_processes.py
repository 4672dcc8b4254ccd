"""Load balance over 16 servers as real processes, at a moderate rate.

The benchmark `balance` measures placement at the target rates. This one covers the whole path:
measurement, reports, planner and handovers. The imbalance is computed from the requests that each
server ran, so it includes sampling noise: at 30 requests/s per server, 16 perfectly balanced
servers have an imbalance of about 1.08 over the window.
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

SERVER_COUNT = 16
RATE_PER_S = 480.0
WORK_MS = 20
KEY_COUNT = 5_000
ZIPF_EXPONENT = 0.8
WARM_UP_S = 24.0
WINDOW_S = 24.0
# Time at which the hottest keys change, in the middle of the warm-up.
KEY_CHANGE_S = 12.0


@dataclass(frozen=True, slots=True)
class ProcessFigures:
    """Figures of one policy with one weight.

    Attributes:
        imbalance: Largest number of requests of a server divided by the mean, in the window after
            the warm-up.
        keys_moved: Keys whose owner at the end of the window is another one than at its start,
            divided by the number of keys.
        latency_p99_ms: 99th percentile of the latency in the window, in milliseconds.
        failed: Number of requests of the whole run that failed.
        requests: Number of requests of the whole run.
        exceptions: Number of keys with their own shard at the end.
    """

    imbalance: float
    keys_moved: float
    latency_p99_ms: float
    failed: int
    requests: int
    exceptions: int


@dataclass(frozen=True, slots=True)
class BalanceProcessesFigures:
    """Figures of the benchmark.

    Attributes:
        unavailability: Figures of `bounded-load` for entries with the weight `unavailability`.
        churn: Figures of `bounded-load` for entries with the weight `churn`.
        static_hash: Figures of the baseline `static-hash`.
    """

    unavailability: ProcessFigures
    churn: ProcessFigures
    static_hash: ProcessFigures


@dataclass(frozen=True, slots=True)
class _ChangingZipfKeys:
    """Zipf distribution in which the rank of every key changes once; a `KeyDistribution`."""

    cumulative_weights: tuple[float, ...]

    def key(self, rng: random.Random, elapsed_s: float) -> str:
        """Returns the key of the next request."""
        rank = bisect_left(self.cumulative_weights, rng.random() * self.cumulative_weights[-1])
        return f"key-{rank if elapsed_s < KEY_CHANGE_S else KEY_COUNT - 1 - rank}"


def run() -> BalanceProcessesFigures:
    """Runs all policies one after another with the same sequence of keys."""
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
        Entry("catalogue", "benchmark", weight=weight), SERVER_COUNT, domains, template
    )
    spec = DeploymentSpec(
        services=(service,), journals=False, settings=(("placement", "policy", policy),)
    )
    cumulative_weights = tuple(
        accumulate(1 / rank**ZIPF_EXPONENT for rank in range(1, KEY_COUNT + 1))
    )
    async with Deployment(spec) as deployment:
        await deployment.wait_ready(60.0)
        await clock.sleep(6.0)
        load = LoadGenerator(
            LoadPlan(
                targets=deployment.urls,
                service="catalogue",
                keys=_ChangingZipfKeys(cumulative_weights),
                pace=OpenLoop(RATE_PER_S),
                duration_s=WARM_UP_S + WINDOW_S,
            )
        )
        running = asyncio.create_task(load.run())
        await clock.sleep(WARM_UP_S)
        window_start_s = clock.now()
        before = await _group(deployment)
        records = await running
        after = await _group(deployment)
    final_attempts = [record for record in records if record.final]
    window = [record for record in final_attempts if record.begun_s >= window_start_s]
    return ProcessFigures(
        imbalance=_imbalance(window),
        keys_moved=round(_count_moved_keys(before, after) / KEY_COUNT, 4),
        latency_p99_ms=round(
            percentile(((r.end_s - r.begun_s) * 1000 for r in window if r.succeeded), 99), 1
        ),
        failed=sum(not record.succeeded for record in final_attempts),
        requests=len(final_attempts),
        exceptions=len(after.exceptions),
    )


async def _group(deployment: Deployment) -> Group:
    stored = await deployment.group("catalogue")
    assert stored is not None, "the group exists once the deployment is ready"
    return stored.group


def _imbalance(records: list[Record]) -> float:
    counts = Counter(record.served_by for record in records if record.succeeded)
    return round(max(counts.values()) * SERVER_COUNT / sum(counts.values()), 4)


def _count_moved_keys(before: Group, after: Group) -> int:
    keys = [f"key-{number}" for number in range(KEY_COUNT)]

    def owner(group: Group, key: str) -> str | None:
        return group.shards[group.shard_of(key, 1)].owner

    return sum(owner(before, key) != owner(after, key) for key in keys)
