"""An agent is killed while its back end works on keys that are being handed over."""

from __future__ import annotations

import asyncio
import functools
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.rig2.backend import Backend
from review.rig2.case import Deployment, configuration, route, run
from review.rig2.machine import CannotRunError

# Without the disruption, everything else is the same.
_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_SETTLE_S = 4.0
# Work of 160 ms takes this long at a back end that `srv_slow` with x = 12 has hit.
_WORK_MS = 1_900
_ROUTE_TIMEOUT_S = 4.0
# Works at a time on the hot key; one more is on another key of the same back end.
_HOT_WORKS = 5
# Delay of a restart by the platform.
_RESTART_S = 0.05
_HANDOVER_S = 30.0
_WATCH_S = 5.0
# Time from a renewal of a grant to the start of the new machine.
_PHASE_S = 0.1


async def _next_grant(backend: Backend) -> None:
    taken = asyncio.Event()
    before, backend.on_grant = backend.on_grant, lambda low, high: taken.set()
    await taken.wait()
    backend.on_grant = before


async def case(deployment: Deployment) -> bool:
    """Returns whether no key was granted on which another back end was at work."""
    deployment.store.put(
        "config",
        "main",
        configuration(1, {"depot": True}, {"stock": route("depot", "/stock/", _ROUTE_TIMEOUT_S)}),
    )
    busy, idle, new = (
        deployment.site.add("depot", zone, sharded=True)
        for zone in ("lowell", "nashua", "worcester")
    )
    await deployment.start([busy, idle])
    await deployment.wait_ready([busy, idle])
    await asyncio.sleep(_SETTLE_S)
    at_work = busy.backend
    at_work.drops_requests = False
    overlaps: list[float] = []

    def granted(taker: str, low: int, high: int) -> None:
        now = time.monotonic()
        for key in set(at_work.running.values()):
            if key is None or not low <= key <= high:
                continue
            left_s = at_work.holds.granted_until(key) - now
            deployment.record(
                f"key {key} granted to {taker} while {at_work.spec.name} is at",
                f"work on it; the hold of that one ends in {left_s:.3f} s",
            )
            if left_s > 0:
                overlaps.append(left_s)

    released = asyncio.Event()

    def release_arrived(low: int, high: int) -> None:
        if any(key is not None and low <= key <= high for key in at_work.running.values()):
            released.set()

    for other in (idle, new):
        other.backend.on_grant = functools.partial(granted, other.backend.spec.name)
    at_work.on_release = release_arrived
    low, high = at_work.holds.held_keys()[0]
    stop = asyncio.Event()

    async def work(key: int) -> None:
        while not stop.is_set():
            await deployment.send(busy, f"/stock/x?work={_WORK_MS}", key, 3_500)

    workers = []
    for key in (*[high - 10] * _HOT_WORKS, (low + high) // 2):
        workers.append(asyncio.create_task(work(key)))
        await asyncio.sleep(_WORK_MS / 1000 / (_HOT_WORKS + 1))
    await _next_grant(busy.backend)
    await asyncio.sleep(_PHASE_S)
    deployment.record("new machine:", new.name)
    await deployment.start([new])
    try:
        async with asyncio.timeout(_HANDOVER_S):
            await released.wait()
    except TimeoutError:
        raise CannotRunError("no key was handed over") from None
    stop.set()
    if _TROUBLE:
        deployment.record("kill:", busy.name)
        await busy.kill()
        await asyncio.sleep(_RESTART_S)
        await busy.start()
    await asyncio.sleep(_WATCH_S)
    for worker in workers:
        worker.cancel()
    print(f"keys granted while another back end was at work on them: {len(overlaps)}", overlaps)
    return not overlaps


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, case)
