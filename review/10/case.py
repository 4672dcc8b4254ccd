"""Two agents are killed at the same moment, just before a change of the configuration."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.rig2.case import Deployment, configuration, route, run
from review.rig2.machine import PROPAGATION_S

_SETTLE_S = 6.0
# Time from the kill to the change; `after_ack_kill` and `config_change` may come at any moment.
_CHANGE_AFTER_S = 0.05
# `herd_kill` in sites/merrimack-siphon.toml: dark for 2 s.
_DOWN_S = 2.0
_WATCH_S = 6.0
_PAUSE_S = 0.05


async def case(deployment: Deployment) -> bool:
    """Returns whether the machines that were not killed use the new configuration in time."""
    services = {"artwork": False, "proofing": False, "orders": False}
    routes = {"view": route("proofing", "/view/")}
    deployment.store.put("config", "main", configuration(1, services, routes))
    killed = [deployment.site.add("artwork", "ahmedabad") for _ in range(2)]
    others = [
        deployment.site.add(service, zone)
        for service in ("proofing", "orders")
        for zone in ("gandhinagar", "vadodara")
    ]
    machines = [*killed, *others]
    await deployment.start(machines)
    await deployment.wait_ready(machines)
    await asyncio.sleep(_SETTLE_S + random.random())
    if deployment.trouble:
        for machine in killed:
            deployment.record("kill:", machine.name)
        await asyncio.gather(*(machine.kill() for machine in killed))
    killed_at = time.monotonic()
    await asyncio.sleep(_CHANGE_AFTER_S)
    routes = {"view": route("orders", "/view/")}
    deployment.store.put("config", "main", configuration(2, services, routes))
    acknowledged = time.monotonic()
    deployment.record("acknowledged: version 2, /view/ goes to orders")
    latest_s = 0.0
    restarted = not deployment.trouble
    while time.monotonic() < acknowledged + _WATCH_S:
        if not restarted and time.monotonic() >= killed_at + _DOWN_S:
            restarted = True
            await asyncio.gather(*(machine.start() for machine in killed))
        for machine in others:
            sent_s = time.monotonic() - acknowledged
            answer = await deployment.send(machine, "/view/x?work=5")
            if answer is not None and answer.body.startswith(b"proofing"):
                deployment.record("run by the old service, sent", f"{sent_s:.3f} s after it")
                latest_s = max(latest_s, sent_s)
        await asyncio.sleep(_PAUSE_S)
    print(f"run by the old service until {latest_s:.2f} s after the acknowledgement")
    return latest_s <= PROPAGATION_S


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, case)
