"""What all daemons do with their kernel."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
from collections.abc import Callable

import uvloop

from ..kernel import Event, Kernel, Level

# A request leaves some hundred objects and few cycles; Python's default of 700 starts a collection
# every few requests.
_COLLECTIONS = (20_000, 20, 20)
# Time for cancelled tasks to end after the services have stopped, in seconds.
_LAST_TASKS_S = 0.1

_TASKS_LEFT = Event(
    1007, "tasks_left", Level.ERROR, "The process ends although these tasks ignore their end."
)


def run_until_stopped(kernel: Kernel, reload: Callable[[], None] | None = None) -> None:
    """Runs the services of a kernel until SIGTERM or SIGINT.

    Args:
        kernel: The kernel.
        reload: Called at each SIGHUP, which ends the process without it.

    Raises:
        ServiceFailedError: A service failed.
    """
    # What exists now lives as long as the process, so the collector need not look at it again.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_COLLECTIONS)
    uvloop.run(_run(kernel, reload))


async def _run(kernel: Kernel, reload: Callable[[], None] | None) -> None:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, kernel.request_stop)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    failed = True
    try:
        await kernel.run()
        failed = False
    finally:
        await _end_tasks(failed)


async def _end_tasks(failed: bool) -> None:
    """Cancels what still runs, and ends the process if a task ignores that.

    The loop would wait for such a task without a limit, until the process is killed.
    """
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    if tasks:
        _, tasks = await asyncio.wait(tasks, timeout=_LAST_TASKS_S)
    if tasks:
        # A line at this level is written at once.
        _TASKS_LEFT.emit(tasks=sorted(task.get_name() for task in tasks))
        os._exit(1 if failed else 0)
