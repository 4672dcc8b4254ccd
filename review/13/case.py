"""CONFIG: two machines freeze, and the others keep to a config that was replaced 3 s ago."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from pathlib import Path

from rig import Machine, Record, Rig, configuration, exchange, request_bytes
from standins import BackEnd, Store

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# 16 machines, as many as the site has, and the same sizes of services: 3, 3, 4 and 6.
SERVICES = ["artwork"] * 3 + ["proofing"] * 3 + ["orders"] * 4 + ["catalogue"] * 6
SHARDED = {"catalogue": True, "orders": False, "artwork": False, "proofing": False}
FROZEN = 2
FREEZE_S = 3.5
CALM_S = 8.0
# RULES.md and the settings: `propagationS`.
PROPAGATION_S = 2.0


class Clients:
    """Clients of the machines that are not frozen, which ask for the route that moves."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.stopping = False
        self.acknowledged: float | None = None
        # Machine and time after the acknowledgement of the requests that the old service ran.
        self.old: list[tuple[str, float]] = []
        self.new = 0

    async def run(self, machine: Machine) -> None:
        """Sends one request after the other on new connections."""
        while not self.stopping:
            request_id, data = request_bytes("shop", "/shop/x?work=2", timeout_ms=1000)
            sent = self.record.now
            answer = await exchange(machine.ports["outbound"], data, 2.0)
            since = None if self.acknowledged is None else sent - self.acknowledged
            service = answer.body.decode().split(" to ")[0] if answer.status == 200 else ""
            self.record.add(
                f"client of {machine.name} sends {request_id} at {sent:.3f}: {answer.status} "
                f"{service}"
            )
            if since is not None and since >= 0 and answer.status == 200:
                if service == "answer of orders":
                    self.old.append((machine.name, since))
                else:
                    self.new += 1
            await asyncio.sleep(0.1)


def group_members(store: Store) -> list[str]:
    """Returns the ids of all members that the agents have stored, in their order."""
    members: list[str] = []
    for kind, objects in store.objects.items():
        if kind != "config":
            for item in objects.values():
                if isinstance(item["spec"], dict):
                    members += item["spec"].get("members", {})
    return sorted(members)


async def run() -> int:
    """Plays the case; returns 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(FOLDER)
    record.add(f"trouble: {int(TROUBLE)}")
    rig = Rig(record, SERVICES)
    for number, machine in enumerate(rig.machines):
        machine.name = f"side-{number:02}"
    store = Store(record)
    await store.start()
    back_ends: list[BackEnd] = []
    try:
        routes = {
            "shop": ("idempotent", "orders"),
            "art": ("idempotent", "artwork"),
            "browse": ("idempotent", "catalogue"),
        }
        store.write_config(configuration(1, SHARDED, routes))
        rig.write_settings(store.port)
        await rig.start()
        back_ends = [
            BackEnd(record, machine, sharded=SHARDED[machine.service]) for machine in rig.machines
        ]
        for back_end in back_ends:
            await back_end.start()
        if not await rig.wait_ready(timeout_s=40.0):
            record.add("the agents are not ready")
            return 2
        clients = Clients(record)
        await asyncio.sleep(CALM_S)
        record.add(f"members: {group_members(store)}")
        frozen, calm = rig.machines[:FROZEN], rig.machines[FROZEN:]
        tasks = [asyncio.create_task(clients.run(machine)) for machine in calm]
        await asyncio.sleep(1.0)
        if TROUBLE:
            for machine in frozen:
                rig.send_signal(machine, signal.SIGSTOP)
        await asyncio.sleep(0.1)
        routes["shop"] = ("idempotent", "proofing")
        store.write_config(configuration(4, SHARDED, routes))
        clients.acknowledged = record.now
        await asyncio.sleep(FREEZE_S)
        if TROUBLE:
            for machine in frozen:
                rig.send_signal(machine, signal.SIGCONT)
        await asyncio.sleep(2.0)
        clients.stopping = True
        await asyncio.gather(*tasks)
        late = [(name, since) for name, since in clients.old if since > PROPAGATION_S]
        latest: dict[str, float] = {}
        for name, since in clients.old:
            latest[name] = max(since, latest.get(name, 0.0))
        record.add(
            "last request that the old service ran, in seconds after the acknowledgement: "
            + str({name: round(since, 2) for name, since in sorted(latest.items())})
        )
        record.add(
            f"sent more than {PROPAGATION_S} s after the acknowledgement and run by the old "
            f"service: {len(late)}; run by the new service: {clients.new}"
        )
        if not clients.new:
            record.add("the new config never came into force")
        return int(bool(late))
    finally:
        for back_end in back_ends:
            await back_end.stop()
        await rig.stop()
        await store.stop()


def main() -> int:
    """Returns the exit code."""
    try:
        return asyncio.run(run())
    except Exception:  # a case that couldn't run is no result
        traceback.print_exc()
        return 2


if __name__ == "__main__":
    sys.exit(main())
