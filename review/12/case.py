"""Fault: one spoiled byte in the answer to a release ends the agent that has asked for it."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from pathlib import Path

from aiohttp import web
from rig import Machine, Record, Rig, configuration, exchange, request_bytes
from standins import BackEnd, Store

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The last ones are added two at a time (0.29 of the 7 that stay) and taken away again.
AT_A_TIME, ADDED = 2, 10
SERVICES = ["catalogue"] * 7 + ["orders"] * 2 + ["catalogue"] * ADDED
# Back ends that spoil answers: 4 of the 7 of their service.
FAULTY = slice(3, 7)
CALM_S = 5.0
# Least time between two answers that a back end spoils.
SPOILED_EVERY_S = 4.0
# Time that an added back end serves, and the time after its removal.
STAY_S = 6.0
PAUSE_S = 3.0
# PROTOCOL.md: a back end that leaves serves for `drainS` after the acknowledgement and longer.
DRAIN_S = 2.5
# RULES.md: on two machines at least, three times in the day.
MACHINES, ENDS = 2, 3


async def send_requests(
    record: Record, machines: list[Machine], back_ends: list[BackEnd], stopping: list[bool]
) -> None:
    """Sends catalogue pages and orders to the machines that stay."""
    statuses: dict[int, int] = {}

    async def send(number: int) -> None:
        machine = machines[number % len(machines)]
        if number % 2:
            request_id, data = request_bytes("pay", "/pay/x?work=20", "POST", body=b"card")
        else:
            key = number * 4099 % 65536
            request_id, data = request_bytes("browse", "/browse/p?work=5", key=key)
        answer = await exchange(machine.ports["outbound"], data)
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
        record.add(f"client of {machine.name} gets for {request_id}: {answer.status}")

    tasks = []
    number = 0
    while not stopping:
        number += 1
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)
    record.add(f"answers by status (0: none): {statuses}")


def spoil_releases(record: Record, back_end: BackEnd, spoiled: list[float]) -> None:
    """Lets a back end spoil one byte of some of its answers to releases."""

    async def spoil(request: web.Request) -> web.StreamResponse | None:
        transport = request.transport
        if transport is None or (spoiled and record.now - spoiled[-1] < SPOILED_EVERY_S):
            return None
        spoiled.append(record.now)
        token = back_end.token.encode()
        token = token[:5] + bytes([token[5] ^ 0x80]) + token[6:]
        record.add(f"{back_end.instance} spoils one byte of its answer to a release: {token!r}")
        transport.write(
            b"HTTP/1.1 200 OK\r\nX-Fescueward-Handover: %s\r\nContent-Length: 0\r\n\r\n" % token
        )
        await asyncio.sleep(0.05)
        transport.close()
        return web.Response()

    back_end.release_hook = spoil


async def run() -> int:
    """Plays the case; returns 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(FOLDER)
    record.add(f"trouble: {int(TROUBLE)}")
    rig = Rig(record, SERVICES)
    store = Store(record)
    await store.start()
    back_ends: list[BackEnd] = []
    try:
        store.write_config(
            configuration(
                1,
                {"catalogue": True, "orders": False},
                {"browse": ("idempotent", "catalogue"), "pay": ("non_idempotent", "orders")},
            )
        )
        rig.write_settings(store.port)
        kept, added = rig.machines[:-ADDED], rig.machines[-ADDED:]
        await rig.start(kept)
        back_ends = [
            BackEnd(record, machine, sharded=machine.service == "catalogue")
            for machine in rig.machines
        ]
        for back_end in back_ends[: len(kept)]:
            await back_end.start()
        if not await rig.wait_ready(kept):
            record.add("the agents are not ready")
            return 2
        stopping: list[bool] = []
        requests = asyncio.create_task(send_requests(record, kept, back_ends, stopping))
        await asyncio.sleep(CALM_S)
        spoiled: dict[str, list[float]] = {each.instance: [] for each in back_ends[FAULTY]}
        if TROUBLE:
            for faulty in back_ends[FAULTY]:
                spoil_releases(record, faulty, spoiled[faulty.instance])
        for first in range(0, ADDED, AT_A_TIME):
            machines = added[first : first + AT_A_TIME]
            ends = back_ends[len(kept) + first :][:AT_A_TIME]
            record.add(f"planned: {[end.instance for end in ends]} are added")
            await rig.start(machines)
            await asyncio.gather(*(end.start() for end in ends))
            await asyncio.sleep(STAY_S)
            record.add(f"planned: {[end.instance for end in ends]} report draining")
            for end in ends:
                end.state = "draining"
            await asyncio.sleep(DRAIN_S)
            for end in ends:
                await end.call("leave", b"{}")
                await end.stop()
            await asyncio.gather(*(rig.remove(machine) for machine in machines))
            await asyncio.sleep(PAUSE_S)
        stopping.append(True)
        await requests
        if not any(back_end.released for back_end in back_ends[FAULTY]):
            record.add("no back end was asked for a release")
            return 2
        for back_end in back_ends[FAULTY]:
            record.add(
                f"{back_end.instance} gave {back_end.answers} answers, "
                f"{len(spoiled[back_end.instance])} of them spoiled"
            )
        ended = 0
        for machine in kept:
            record.add(f"{machine.name} ended by itself (time, code): {machine.own_ends}")
            ended += len(machine.own_ends) >= ENDS
            for line in rig.log_tail(machine, ("service_failed",)):
                record.add(f"log of {machine.name}: {line}")
        record.add(f"machines whose process ended by itself {ENDS} times: {ended}")
        return int(ended >= MACHINES)
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
