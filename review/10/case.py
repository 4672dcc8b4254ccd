"""The configuration grows by many routes, five times, and stays within the size of an object."""

from __future__ import annotations

import asyncio
import json
import os
import random
import string
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.rig2.case import Deployment, configuration, route, run
from review.rig2.machine import PROPAGATION_S

# Without the disruption, everything else is the same.
_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_ZONES = ("lowell", "nashua", "worcester")
_MACHINES = 6
_STEPS = 5
# `big_config` in grown/merrimack-siphon-grown.toml: count = 1400.
_ROUTES_PER_STEP = 1_300
# Routes that are added instead without the disruption.
_FEW_ROUTES = 10
_STEP_S = 8.0
_VALUE_BYTES = 1_048_576
_SETTLE_S = 4.0
_LETTERS = string.ascii_lowercase + string.digits


def _name() -> str:
    return "".join(random.choices(_LETTERS, k=7))


async def case(deployment: Deployment) -> bool:
    """Returns whether every agent knows each added route in time."""
    routes = {"browse": route("bottling", "/browse/")}
    services = {"bottling": False}

    def write(version: int) -> float:
        # The routes are a table with names as keys, which has no order; the store keeps it sorted.
        spec = configuration(version, services, dict(sorted(routes.items())))
        size = len(json.dumps(spec, separators=(",", ":")))
        assert size <= _VALUE_BYTES
        deployment.store.put("config", "main", spec)
        deployment.record("acknowledged: version", version, "with", len(routes), "routes,", size)
        return time.monotonic()

    write(1)
    machines = [
        deployment.site.add("bottling", _ZONES[number % len(_ZONES)])
        for number in range(_MACHINES)
    ]
    await deployment.start(machines)
    await deployment.wait_ready(machines)
    await asyncio.sleep(_SETTLE_S)
    missing = 0
    for step in range(_STEPS):
        added = [_name() for _ in range(_ROUTES_PER_STEP if _TROUBLE else _FEW_ROUTES)]
        for name in added:
            routes[f"r-{name}"] = route("bottling", f"/{name}/")
        acknowledged = write(2 + step)
        await asyncio.sleep(acknowledged + PROPAGATION_S + 0.5 - time.monotonic())
        while time.monotonic() < acknowledged + _STEP_S:
            for machine in machines:
                path = f"/{random.choice(added)}/x"
                answer = await deployment.send(machine, path)
                if answer is not None and answer.status == 404:
                    late_s = time.monotonic() - acknowledged
                    deployment.record(
                        machine.name, "knows no route", path, f"after {late_s:.1f} s"
                    )
                    missing += 1
            await asyncio.sleep(0.2)
    print(f"{missing} requests got 404 for a route that is there")
    return not missing


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, case)
