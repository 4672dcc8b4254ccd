"""Time until a newly hot key has room of its own, with real processes.

A service of four servers runs an even load. Then one key takes so many requests that its server
has too few slots for it and its neighbours. The neighbours are the keys that the same server
owned before.
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

SERVERS = 4
SLOTS = 4
WORK_MS = 20
# A server does 200 requests/s; the even load takes a quarter of that, the hot key seven tenths.
EVEN_RATE = 200.0
HOT_RATE = 140.0
KEYS = 400
HOT_KEY = "motif-viral"
BEFORE_S = 12.0
HOT_S = 20.0
AFTER_S = 10.0
# A key has room when the other work of its server is below this part of the mean.
ROOM = 0.35
_POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class HotkeyFigures:
    """Result of the benchmark. Times count from the first request for the hot key.

    Attributes:
        isolated_s: Seconds until the key had a shard of its own.
        room_s: Seconds until the key's server had at most a third of the other keys of a mean
            server; -1 if that did not happen.
        neighbours_p99_before_ms: Latency of the neighbours before.
        neighbours_p99_during_ms: Latency of the neighbours until the key had room.
        neighbours_p99_after_ms: Latency of the former neighbours from 2 s after that.
        hot_p99_after_ms: Latency of the hot key from 2 s after that.
        moves_after_cooling: Shards that changed owner after the key had cooled.
        failed: Requests that failed.
        requests: All requests.
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
class _HotKey:
    """Only the hot key; see `KeyDistribution`."""

    def key(self, rng: object, elapsed_s: float) -> str:
        """Returns the hot key."""
        return HOT_KEY


def run() -> HotkeyFigures:
    """Runs the benchmark."""
    return asyncio.run(_run())


async def _run() -> HotkeyFigures:
    clock = BootClock()
    template = MemberSpec(name="", failure_domain="", slots=SLOTS, work_ms=WORK_MS)
    domains = ("ahmedabad", "gandhinagar", "vadodara")
    service = service_spec(Entry("catalogue", "benchmark"), SERVERS, domains, template)
    spec = DeploymentSpec(services=(service,), journals=False)
    async with Deployment(spec) as deployment:
        await deployment.wait_ready()
        await _spread(deployment)
        even = LoadGenerator(
            LoadPlan(
                targets=deployment.urls,
                service="catalogue",
                keys=UniformKeys(KEYS),
                pace=OpenLoop(EVEN_RATE),
                duration_s=BEFORE_S + HOT_S + AFTER_S,
            )
        )
        hot = LoadGenerator(
            LoadPlan(
                targets=deployment.urls,
                service="catalogue",
                keys=_HotKey(),
                pace=OpenLoop(HOT_RATE, seed=1),
                duration_s=HOT_S,
            )
        )
        even_run = asyncio.create_task(even.run())
        await clock.sleep(BEFORE_S)
        before = await _group(deployment)
        neighbours = _neighbours(before)
        begun = clock.now()
        hot_run = asyncio.create_task(hot.run())
        isolated_s = room_s = -1.0
        while not hot_run.done():
            group = await _group(deployment)
            if isolated_s < 0 and HOT_KEY in group.exceptions:
                isolated_s = clock.now() - begun
            if room_s < 0 and isolated_s >= 0 and _other_keys(group) <= ROOM * KEYS / SERVERS:
                room_s = clock.now() - begun
            await clock.sleep(_POLL_S)
        await hot_run
        cooled = await _group(deployment)
        await even_run
        ended = await _group(deployment)
    room_at = begun + (room_s if room_s >= 0 else HOT_S)
    records = [*even.records, *hot.records]
    near = [record for record in even.records if record.key in neighbours]
    return HotkeyFigures(
        isolated_s=round(isolated_s, 2),
        room_s=round(room_s, 2),
        neighbours_p99_before_ms=_p99(near, begun - BEFORE_S / 2, begun),
        neighbours_p99_during_ms=_p99(near, begun, room_at),
        neighbours_p99_after_ms=_p99(near, room_at + 2, begun + HOT_S),
        hot_p99_after_ms=_p99(hot.records, room_at + 2, begun + HOT_S),
        moves_after_cooling=sum(
            old.owner != new.owner for old, new in zip(cooled.shards, ended.shards, strict=False)
        ),
        failed=sum(not record.succeeded for record in records if record.final),
        requests=sum(record.final for record in records),
    )


async def _spread(deployment: Deployment) -> None:
    """Waits until the shards are spread over all servers."""
    clock = BootClock()
    for _ in range(200):
        group = await _group(deployment)
        owners = [shard.owner for shard in group.shards]
        counts = [owners.count(member_id) for member_id in group.members]
        if min(counts) > 0.8 * len(owners) / SERVERS:
            return
        await clock.sleep(_POLL_S)


async def _group(deployment: Deployment) -> Group:
    found = await deployment.group("catalogue")
    assert found is not None, "the group exists once the deployment is ready"
    return found.group


def _neighbours(group: Group) -> frozenset[str]:
    owner = group.shards[group.shard_of(HOT_KEY, 1)].owner
    keys = (f"key-{number}" for number in range(KEYS))
    return frozenset(key for key in keys if group.shards[group.shard_of(key, 1)].owner == owner)


def _other_keys(group: Group) -> int:
    return len(_neighbours(group))


def _p99(records: Iterable[Record], from_s: float, to_s: float) -> float:
    latencies = (
        (record.end_s - record.begun_s) * 1000
        for record in records
        if record.final and record.succeeded and from_s <= record.begun_s < to_s
    )
    return round(percentile(latencies, 99), 1)
