"""Time until the server of a newly hot key has enough capacity for it, with real processes.

A service of four servers runs an even load. Then one key receives so many requests that its server
has too few slots for it and its neighbours, the keys that the same server owned before.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from fescueward.kernel import BootClock
from fescueward.messages import Entry, Group
from fescueward.testing.harness import Deployment
from fescueward.testing.load import (
    LoadGenerator,
    LoadPlan,
    OpenLoop,
    Record,
    UniformKeys,
    percentile,
)
from fescueward.testing.specs import DeploymentSpec, MemberSpec, service_spec

SERVER_COUNT = 4
SLOTS = 4
WORK_MS = 20
# A server can run 200 requests/s. The even load uses a quarter of that, the hot key 70%.
EVEN_RATE_PER_S = 200.0
HOT_RATE_PER_S = 140.0
KEY_COUNT = 400
HOT_KEY = "motif-viral"
BEFORE_DURATION_S = 12.0
HOT_DURATION_S = 20.0
AFTER_DURATION_S = 10.0
# The hot key has room when its server owns at most this share of the mean number of other keys.
MAX_OTHER_KEYS_RATIO = 0.35
_POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class HotkeyFigures:
    """Figures of the benchmark. Times count from the first request for the hot key.

    Attributes:
        isolated_s: Seconds until the key had its own shard; -1 if that did not happen.
        room_s: Seconds until the key's server owned at most 35% of the mean number of other keys
            per server; -1 if that did not happen.
        neighbours_p99_before_ms: 99th percentile of the neighbours' latency before, in ms.
        neighbours_p99_during_ms: 99th percentile of the neighbours' latency until the key had
            room, in ms.
        neighbours_p99_after_ms: 99th percentile of the former neighbours' latency from 2 s after
            that, in ms.
        hot_p99_after_ms: 99th percentile of the hot key's latency from 2 s after that, in ms.
        moves_after_cooling: Number of shards that changed owners after the key was no longer hot.
        failed: Number of requests that failed.
        requests: Number of all requests.
    """

    isolated_s: float
    room_s: float
    neighbours_p99_before_ms: float
    neighbours_p99_during_ms: float
    neighbours_p99_after_ms: float
    hot_p99_after_ms: float
    moves_after_cooling: int
    failed: int
    requests: int


@dataclass(frozen=True, slots=True)
class _SingleHotKey:
    """A `KeyDistribution` with the hot key only."""

    def key(self, rng: object, elapsed_s: float) -> str:
        """Returns the hot key."""
        return HOT_KEY


def run() -> HotkeyFigures:
    """Measures one deployment before, while and after a key is hot."""
    return asyncio.run(_run())


async def _run() -> HotkeyFigures:
    clock = BootClock()
    template = MemberSpec(name="", failure_domain="", slots=SLOTS, work_ms=WORK_MS)
    domains = ("ahmedabad", "gandhinagar", "vadodara")
    service = service_spec(Entry("catalogue", "benchmark"), SERVER_COUNT, domains, template)
    spec = DeploymentSpec(services=(service,), journals=False)
    async with Deployment(spec) as deployment:
        await deployment.wait_ready()
        await _wait_until_spread(deployment)
        even_load = LoadGenerator(
            LoadPlan(
                targets=deployment.urls,
                service="catalogue",
                keys=UniformKeys(KEY_COUNT),
                pace=OpenLoop(EVEN_RATE_PER_S),
                duration_s=BEFORE_DURATION_S + HOT_DURATION_S + AFTER_DURATION_S,
            )
        )
        hot_load = LoadGenerator(
            LoadPlan(
                targets=deployment.urls,
                service="catalogue",
                keys=_SingleHotKey(),
                pace=OpenLoop(HOT_RATE_PER_S, seed=1),
                duration_s=HOT_DURATION_S,
            )
        )
        even_run = asyncio.create_task(even_load.run())
        await clock.sleep(BEFORE_DURATION_S)
        before = await _group(deployment)
        neighbours = _neighbours(before)
        hot_start_s = clock.now()
        hot_run = asyncio.create_task(hot_load.run())
        isolated_s = room_s = -1.0
        while not hot_run.done():
            group = await _group(deployment)
            if isolated_s < 0 and HOT_KEY in group.exceptions:
                isolated_s = clock.now() - hot_start_s
            if (
                room_s < 0
                and isolated_s >= 0
                and _count_other_keys(group) <= MAX_OTHER_KEYS_RATIO * KEY_COUNT / SERVER_COUNT
            ):
                room_s = clock.now() - hot_start_s
            await clock.sleep(_POLL_INTERVAL_S)
        await hot_run
        group_after_cooling = await _group(deployment)
        await even_run
        final_group = await _group(deployment)
    room_time_s = hot_start_s + (room_s if room_s >= 0 else HOT_DURATION_S)
    records = [*even_load.records, *hot_load.records]
    neighbour_records = [record for record in even_load.records if record.key in neighbours]
    return HotkeyFigures(
        isolated_s=round(isolated_s, 2),
        room_s=round(room_s, 2),
        neighbours_p99_before_ms=_p99(
            neighbour_records, hot_start_s - BEFORE_DURATION_S / 2, hot_start_s
        ),
        neighbours_p99_during_ms=_p99(neighbour_records, hot_start_s, room_time_s),
        neighbours_p99_after_ms=_p99(
            neighbour_records, room_time_s + 2, hot_start_s + HOT_DURATION_S
        ),
        hot_p99_after_ms=_p99(hot_load.records, room_time_s + 2, hot_start_s + HOT_DURATION_S),
        moves_after_cooling=sum(
            old.owner != new.owner
            for old, new in zip(group_after_cooling.shards, final_group.shards, strict=False)
        ),
        failed=sum(not record.succeeded for record in records if record.final),
        requests=sum(record.final for record in records),
    )


async def _wait_until_spread(deployment: Deployment) -> None:
    """Waits up to 20 s until every server owns more than 80% of its equal share of the shards."""
    clock = BootClock()
    for _ in range(200):
        group = await _group(deployment)
        owners = [shard.owner for shard in group.shards]
        counts = [owners.count(member_id) for member_id in group.members]
        if min(counts) > 0.8 * len(owners) / SERVER_COUNT:
            return
        await clock.sleep(_POLL_INTERVAL_S)


async def _group(deployment: Deployment) -> Group:
    stored = await deployment.group("catalogue")
    assert stored is not None, "the group exists once the deployment is ready"
    return stored.group


def _neighbours(group: Group) -> frozenset[str]:
    owner = group.shards[group.shard_of(HOT_KEY, 1)].owner
    keys = (f"key-{number}" for number in range(KEY_COUNT))
    return frozenset(key for key in keys if group.shards[group.shard_of(key, 1)].owner == owner)


def _count_other_keys(group: Group) -> int:
    return len(_neighbours(group))


def _p99(records: Iterable[Record], from_s: float, to_s: float) -> float:
    latencies = (
        (record.end_s - record.begun_s) * 1000
        for record in records
        if record.final and record.succeeded and from_s <= record.begun_s < to_s
    )
    return round(percentile(latencies, 99), 1)
