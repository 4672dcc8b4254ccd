"""A request that crashes backends, while all agents are killed at the same moment, twice."""

from __future__ import annotations

import asyncio
import functools
import signal

from review.rig.site import Site, play, trouble
from review.rig.wire import STABILITY_S

ZONES = ("ahmedabad", "gandhinagar", "vadodara", "ahmedabad")
# The request that crashes comes again after each of these times, at the next machine.
REQUESTS_S = (1, 5, 9, 13, 23, 27, 31, 35, 45, 49, 53)
KILLS_S = (17, 39)
# An agent is ready again this much later at most; in touch `stabilityS` after its start.
START_S = 2.0
LOAD_S = 56.0
ALLOWED_RETRIES = 3


async def _script(site: Site) -> list[str]:
    for number, zone in enumerate(ZONES):
        site.add(f"orders-{number}", zone, "orders")
    place = {"kind": "non_idempotent", "timeoutS": 1, "sloS": 0.5, "priority": 1}
    site.configure(7, {"place": {**place, "service": "orders", "attempts": 2}}, {"orders": False})
    await site.start()
    machines = list(site.machines.values())
    began = site.record.now()
    loads = [
        site.load(functools.partial(site.send, machine, "place", ms=50), 5, began + LOAD_S)
        for machine in machines
    ]
    clients = asyncio.gather(*loads)
    events = [(at, None) for at in KILLS_S if trouble()]
    events += [(at, machines[turn % len(machines)]) for turn, at in enumerate(REQUESTS_S)]
    ids, killed = [], []
    for at, machine in sorted(events, key=lambda event: event[0]):
        await asyncio.sleep(began + at - site.record.now())
        if machine is not None:
            ids.append((await site.send(machine, "place", query="&crash=1"))["id"])
            continue
        killed.append(site.record.now())
        for target in machines:
            target.signal(signal.SIGKILL)
    await clients
    runs = [run for run in site.runs() if run["id"] in ids]
    runs.sort(key=lambda run: run["began"])
    if len(runs) < ALLOWED_RETRIES:
        raise RuntimeError("the request crashed fewer than three backends")
    counted_from = runs[ALLOWED_RETRIES - 1]["began"] + STABILITY_S
    retries = [
        run
        for run in runs
        if run["began"] > counted_from
        and not any(0 <= run["began"] - at <= START_S + STABILITY_S for at in killed)
    ]
    site.record.write(f"{len(runs)} runs of the request, {len(retries)} retries that count")
    if len(retries) <= ALLOWED_RETRIES:
        return []
    times = ", ".join(f"{run['began']:.2f}" for run in retries)
    return [f"BUDGET: {len(retries)} retries of one request reach backends, at {times} s"]


play(_script, __file__)
