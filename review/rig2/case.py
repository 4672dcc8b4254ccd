"""Runs one case: its deployment, its time limit, its record and its exit code."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .machine import CannotRunError, Machine, Site, check_build
from .record import Record
from .store import Store
from .wire import Message, call

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
_TIME_LIMIT_S = 115.0
_READY_S = 25.0
PREFIX = "X-Fescueward-"
HOST = "cards.example"


class Deployment:
    """What a case works with.

    Attributes:
        store: The store of the platform.
        site: The machines.
        record: The record.
    """

    def __init__(self, store: Store, site: Site, record: Record) -> None:
        self.store = store
        self.site = site
        self.record = record
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, machines: list[Machine]) -> None:
        """Starts machines at the same time and the platform's probes of them."""
        await asyncio.gather(*(machine.start() for machine in machines))
        for machine in machines:
            await machine.backend.start()
            self._tasks.add(asyncio.create_task(machine.run_probes()))

    async def wait_ready(self, machines: list[Machine]) -> None:
        """Waits until the agents of some machines are ready.

        Raises:
            CannotRunError: One of them is not ready in time.
        """
        try:
            async with asyncio.timeout(_READY_S):
                for machine in machines:
                    await _wait_ready(machine)
        except TimeoutError:
            raise CannotRunError("an agent did not become ready") from None

    async def send(
        self,
        machine: Machine,
        path: str,
        key: int | None = None,
        timeout_ms: int = 1500,
        method: str = "GET",
        body: bytes = b"",
    ) -> Message | None:
        """Sends a request of a client on a machine; returns its answer, or None without one."""
        request_id = f"{random.getrandbits(64):016x}"
        headers = {
            "Host": HOST,
            PREFIX + "Request-Id": request_id,
            PREFIX + "Timeout-Ms": str(timeout_ms),
        }
        if key is not None:
            headers[PREFIX + "Shard-Key"] = str(key)
        self.record("send", machine.name, request_id, method, path, "key", key)
        try:
            answer = await call(machine.outbound, method, path, headers, body, timeout_ms / 1000)
        except (OSError, TimeoutError) as error:
            self.record("answer", request_id, type(error).__name__)
            return None
        self.record("answer", request_id, answer.status if answer is not None else "closed")
        return answer


async def _wait_ready(machine: Machine) -> None:
    while True:
        if await machine.probe():
            return
        await asyncio.sleep(0.1)


def configuration(
    version: int, services: dict[str, bool], routes: dict[str, dict[str, object]]
) -> dict[str, object]:
    """Returns a configuration of the operator.

    Args:
        version: Its version.
        services: Whether each service is divided by key.
        routes: The routes by name.
    """
    return {
        "version": version,
        "routes": routes,
        "services": {
            name: {
                "healthPath": "/health",
                "maxConns": 130,
                **({"sharded": True, "warmupS": 3.0} if sharded else {}),
            }
            for name, sharded in services.items()
        },
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 8388608,
            "headerTimeoutS": 5.0,
            "idleTimeoutS": 15.0,
        },
    }


def route(service: str, prefix: str, timeout_s: float = 2.0) -> dict[str, object]:
    """Returns a route for requests that may be repeated."""
    return {
        "host": HOST,
        "prefix": prefix,
        "service": service,
        "kind": "idempotent",
        "attempts": 2,
        "timeoutS": timeout_s,
        "sloS": 0.4,
        "priority": 1,
    }


def run(folder: Path, case: Callable[[Deployment], Awaitable[bool]]) -> None:
    """Runs a case and exits.

    Args:
        folder: Folder of the case, which gets the record.
        case: Returns whether the rule held.
    """
    sys.exit(asyncio.run(_run(folder, case)))


async def _run(folder: Path, case: Callable[[Deployment], Awaitable[bool]]) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as directory:
        store = Store()
        site = Site(store, record, Path(directory))
        try:
            check_build()
            await store.start()
            async with asyncio.timeout(_TIME_LIMIT_S):
                held = await case(Deployment(store, site, record))
        except Exception as error:
            record("the case could not run:", repr(error))
            if not isinstance(error, CannotRunError):
                traceback.print_exc()
            return COULD_NOT_RUN
        finally:
            with contextlib.suppress(asyncio.CancelledError):
                await site.stop()
    verdict = "the rule held" if held else "the rule was broken"
    record(verdict)
    print(verdict)
    return HELD if held else BROKEN
