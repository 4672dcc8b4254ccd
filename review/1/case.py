"""A ping that arrives late, after the `leave` of the backend that sent it."""

from __future__ import annotations

import asyncio
import functools

from review.rig.site import Site, play, trouble
from review.rig.wire import DRAIN_S

ZONES = ("ahmedabad", "gandhinagar", "vadodara")
LOAD_S = 16.0
# Time that the last ping before the `leave` spends on its way.
PING_DELAY_S = 1.5
# The backend serves this much longer than `drainS`.
EXTRA_S = 2.0


async def _script(site: Site) -> list[str]:
    for number, zone in enumerate(ZONES):
        site.add(f"orders-{number}", zone, "orders")
    place = {"kind": "non_idempotent", "timeoutS": 1, "sloS": 0.5, "priority": 1}
    site.configure(7, {"place": {**place, "service": "orders", "attempts": 2}}, {"orders": False})
    await site.start()
    until = site.record.now() + LOAD_S
    loads = [
        site.load(functools.partial(site.send, machine, "place", ms=160), 15, until)
        for machine in site.machines.values()
    ]
    clients = asyncio.gather(*loads)
    await asyncio.sleep(4.0)
    backend = site.machines["orders-1"].backend
    backend.stop_pings()
    delay_s = PING_DELAY_S if trouble() else 0.0
    ping = asyncio.create_task(backend.call("heartbeat", backend.ping_body(), delay_s))
    await asyncio.sleep(0.3)
    if not await backend.call("leave", None):
        raise RuntimeError("the leave was not acknowledged")
    acknowledged, boot = site.record.now(), backend.instance
    await asyncio.sleep(DRAIN_S + EXTRA_S)
    await backend.crash()
    await ping
    await clients
    late = [
        run for run in site.runs() if run["boot"] == boot and run["began"] > acknowledged + DRAIN_S
    ]
    lost = sum(not run["done"] for run in late)
    site.record.write(f"{len(late)} late runs, {lost} of them cut off by the end of the backend")
    return [
        f"DRAIN: {run['id']} reaches {boot} {run['began'] - acknowledged:.2f} s after the leave"
        for run in late
    ]


play(_script, __file__)
