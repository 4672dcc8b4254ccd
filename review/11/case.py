"""OWNER: a late confirmation of a release hands over keys that were granted again meanwhile."""

from __future__ import annotations

import asyncio
import os
import sys
import time
import traceback
from collections.abc import Callable
from functools import partial
from pathlib import Path

from rig import Machine, Record, Rig, configuration, exchange, request_bytes
from standins import BackEnd, Store

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEPT, PAIRS = 5, 1
SERVICES = ["catalogue"] * (KEPT + 2 * PAIRS)
# Back ends that turn slow, 1 of the 5 that stay.
SLOW = (3,)
# Work of a request in seconds, usually and when its back end is slow.
WORK_S, SLOW_X = 0.115, 12.0
# Time limit of the requests.
LIMIT_MS = 1500
CALM_S = 4.0
# How long the back ends are slow, beginning before a back end is added.
SLOW_BEFORE_S, SLOW_S = 1.0, 5.0
# How long the first added back end serves before it is taken away.
STAY_S = 0.3
# PROTOCOL.md: a back end that leaves serves for `drainS` after the acknowledgement and longer.
DRAIN_S = 2.5
PAUSE_S = 2.5
KEYS = 65536


class Judge:
    """Checks each grant against the work of the other back ends."""

    def __init__(self, record: Record, back_ends: list[BackEnd]) -> None:
        self.record = record
        self.back_ends = back_ends
        self.broken: list[str] = []
        for back_end in back_ends:
            back_end.on_grant = partial(self.granted, back_end)

    def granted(self, owner: BackEnd, first: int, last: int) -> None:
        """Records each request on the granted keys at which another back end is at work."""
        now = time.monotonic()
        for other in self.back_ends:
            if other is owner:
                continue
            for request_id, (key, _) in other.at_work.items():
                ends = [end for low, high, _, end in other.granted if low <= key <= high]
                if first <= key <= last and max(ends, default=0.0) > now:
                    left_s = max(ends) - now
                    text = (
                        f"{owner.instance} is given {first}-{last} while {other.instance} is at "
                        f"work on {request_id} (key {key}), whose hold ends in {left_s:.2f} s"
                    )
                    if not any(request_id in line for line in self.broken):
                        self.broken.append(text)
                        self.record.add(f"BROKEN: {text}")


class Load:
    """Clients that ask for pages, most of them for the last pages of each back end's keys."""

    def __init__(self, record: Record, machines: list[Machine], store: Store) -> None:
        self.record = record
        self.machines = machines
        self.store = store
        self.stopping = False
        self.statuses: dict[int, int] = {}
        self.popular: list[int] = []

    def choose_popular(self) -> None:
        """Makes the last keys of the slow back ends' ranges popular."""
        ranges = group_ranges(self.store)
        owners = {
            name: [r for r in ranges if r["owner"].startswith(name + ":")]
            for name in (self.machines[number].name for number in SLOW)
        }
        self.popular = [
            max(owned, key=lambda r: r["last"] - r["first"])["last"] - 40 * step - 5
            for owned in owners.values()
            if owned
            for step in range(12)
        ]

    async def run(self) -> None:
        """Sends requests at a steady rate until it is stopped."""
        tasks = set()
        number = 0
        while not self.stopping:
            number += 1
            keys = self.popular
            key = number * 4099 % KEYS
            if keys and number % 3 == 0:
                key = keys[number // 3 * 7 % len(keys)]
            task = asyncio.create_task(self.send(self.machines[number % KEPT], key))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.07)
        await asyncio.gather(*tasks)

    async def send(self, machine: Machine, key: int) -> None:
        """Sends one request."""
        request_id, data = request_bytes("browse", "/browse/p", timeout_ms=LIMIT_MS, key=key)
        answer = await exchange(machine.ports["outbound"], data, 3.0)
        self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
        self.record.add(
            f"client of {machine.name} asks {request_id} (key {key}) and gets {answer.status}"
        )


def group_ranges(store: Store) -> list[dict]:
    """Returns the key ranges that the agents have stored."""
    for kind, objects in store.objects.items():
        if kind != "config":
            for item in objects.values():
                if isinstance(item["spec"], dict) and item["spec"].get("ranges"):
                    return item["spec"]["ranges"]
    return []


def has_keys(back_end: BackEnd) -> bool:
    """Returns whether a back end was granted keys."""
    return bool(back_end.granted)


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Waits until a condition holds; returns whether it does."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(0.01)
    return False


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
                1, {"catalogue": True}, {"browse": ("idempotent", "catalogue")}, timeout_s=1.5
            )
        )
        rig.write_settings(store.port)
        kept, added = rig.machines[:KEPT], rig.machines[KEPT:]
        await rig.start(kept)
        back_ends = [BackEnd(record, machine, sharded=True) for machine in rig.machines]
        slow: set[int] = set()
        for number, back_end in enumerate(back_ends):
            back_end.work_s = lambda _, number=number: WORK_S * (SLOW_X if number in slow else 1.0)
        judge = Judge(record, back_ends)
        # All back ends start at the same time, so that the keys are dealt among all of them.
        if not await rig.wait_listening(kept):
            record.add("the agents don't listen")
            return 2
        await asyncio.gather(*(back_end.start() for back_end in back_ends[:KEPT]))
        if not await rig.wait_ready(kept):
            record.add("the agents are not ready")
            return 2
        load = Load(record, kept, store)
        requests = asyncio.create_task(load.run())
        await asyncio.sleep(CALM_S)
        for pair in range(PAIRS):
            first, second = added[2 * pair : 2 * pair + 2]
            first_end, second_end = back_ends[KEPT + 2 * pair : KEPT + 2 * pair + 2]
            # Their machines start together; the back ends follow one after the other.
            await rig.start([first, second])
            if not await rig.wait_ready([first, second]):
                record.add("an added agent is not ready")
                return 2
            load.choose_popular()
            await asyncio.sleep(0.5)
            if TROUBLE:
                record.add(f"back ends of machines {SLOW} turn slow")
                slow.update(SLOW)
            await asyncio.sleep(SLOW_BEFORE_S)
            record.add(f"planned: {first_end.instance} is added on {first.name}")
            await first_end.start()
            got_keys = await wait_until(partial(has_keys, first_end), 4.0)
            await asyncio.sleep(STAY_S)
            record.add(f"planned: {second_end.instance} is added on {second.name}")
            await second_end.start()
            record.add(f"planned: {first_end.instance} is taken away and reports draining")
            first_end.state = "draining"
            status = await first_end.call("heartbeat", first_end.beat())
            record.add(f"draining is answered with {status}, keys before: {got_keys}")
            await asyncio.sleep(SLOW_S - SLOW_BEFORE_S)
            slow.clear()
            record.add("no back end is slow")
            second_end.state = "draining"
            await asyncio.sleep(DRAIN_S)
            for machine, back_end in ((first, first_end), (second, second_end)):
                await back_end.call("leave", b"{}")
                await back_end.stop()
                await rig.remove(machine)
            await asyncio.sleep(PAUSE_S)
        load.stopping = True
        await requests
        record.add(f"answers by status (0: none): {load.statuses}")
        record.add(f"keys given while another back end was at work on them: {len(judge.broken)}")
        if not load.statuses.get(200):
            return 2
        return int(bool(judge.broken))
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
