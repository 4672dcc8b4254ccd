"""A backend that crashes and serves again before its first ping."""

from __future__ import annotations

import asyncio
import functools
import itertools

from review.rig.backend import Backend
from review.rig.site import Site, play, trouble
from review.rig.wire import HEARTBEAT_S

ZONES = ("ahmedabad", "gandhinagar", "vadodara")
LOAD_S = 14.0
DOWN_S = 0.4
# Times of the crashes after the start of the load, and the time from each boot to its first ping.
CRASHES = ((2.0, 0.85), (7.0, 0.85))
KEYS = 65_536
# A step that visits the keys in no order.
KEY_STEP = 2_477


async def _crash(backend: Backend, first_ping_s: float) -> None:
    assert first_ping_s < HEARTBEAT_S
    await backend.crash()
    await asyncio.sleep(DOWN_S)
    backend.first_ping_s = first_ping_s
    await backend.boot()


async def _script(site: Site) -> list[str]:
    for number, zone in enumerate(ZONES):
        site.add(f"catalogue-{number}", zone, "catalogue", sharded=True)
    browse = {"kind": "idempotent", "timeoutS": 0.8, "sloS": 0.4, "priority": 2}
    routes = {"browse": {**browse, "service": "catalogue", "attempts": 2}}
    site.configure(7, routes, {"catalogue": True})
    await site.start()
    # The keys are assigned within about two seconds of the first joins.
    await asyncio.sleep(4.0)
    keys = (number * KEY_STEP % KEYS for number in itertools.count())

    async def browse_once(name: str) -> None:
        await site.send(site.machines[name], "browse", "GET", 60, 1.5, key=next(keys))

    began = site.record.now()
    loads = [
        site.load(functools.partial(browse_once, m), 20, began + LOAD_S) for m in site.machines
    ]
    clients = asyncio.gather(*loads)
    for at, first_ping_s in CRASHES:
        await asyncio.sleep(began + at - site.record.now())
        if trouble():
            await _crash(site.machines["catalogue-1"].backend, first_ping_s)
    await clients
    grants = [grant for machine in site.machines.values() for grant in machine.backend.grants]
    grants.sort(key=lambda grant: grant["arrived"])
    breaches = []
    for index, grant in enumerate(grants):
        for earlier in grants[:index]:
            overlaps = earlier["first"] <= grant["last"] and grant["first"] <= earlier["last"]
            if (
                overlaps
                and earlier["boot"] != grant["boot"]
                and earlier["fence"] >= grant["fence"]
            ):
                breaches.append(
                    f"OWNER: {grant['boot']} takes {grant['first']}-{grant['last']} with fence "
                    f"{grant['fence']} at {grant['arrived']:.2f} s; {earlier['boot']} had keys of "
                    f"it with fence {earlier['fence']}"
                )
                break
    return breaches


play(_script, __file__)
