"""Running of a kernel in the main process of a daemon: signals, garbage collector and exit."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
from collections.abc import Callable

import uvloop

from ..kernel import Event, Kernel, Level
from ..kernel.memory import return_large_blocks

# Thresholds of `gc.set_threshold`. A request allocates some hundred objects and few cycles, so
# Python's default of 700 would start a collection every few requests.
_GC_THRESHOLDS = (20_000, 20, 20)
# Time that cancelled tasks have to end after the services have stopped.
_CANCEL_TIMEOUT_S = 0.1

_TASKS_LEFT = Event(
    1007,
    "tasks_left",
    Level.ERROR,
    "The process exits although these tasks have not ended after their cancellation.",
)


def run_until_stopped(kernel: Kernel, reload: Callable[[], None] | None = None) -> None:
    """Runs the services of a kernel until SIGTERM or SIGINT.

    Args:
        kernel: The kernel.
        reload: Called on each SIGHUP, or None if SIGHUP is to end the process.

    Raises:
        ServiceFailedError: A service failed.
    """
    return_large_blocks()
    # Objects that exist now live as long as the process, so later collections skip them. Imports
    # leave no cyclic garbage, so a collection before it would only delay each start.
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    gc.enable()
    uvloop.run(_run(kernel, reload))


async def _run(kernel: Kernel, reload: Callable[[], None] | None) -> None:
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, kernel.request_stop)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    failed = True
    try:
        await kernel.run()
        failed = False
    finally:
        await _cancel_tasks(failed)


async def _cancel_tasks(failed: bool) -> None:
    """Cancels the remaining tasks, and exits the process if one of them does not end.

    The event loop would wait for such a task without a limit, until the process is killed.
    """
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    if tasks:
        _, tasks = await asyncio.wait(tasks, timeout=_CANCEL_TIMEOUT_S)
    if tasks:
        # Log lines of this level are written at once, so the exit does not lose this one.
        _TASKS_LEFT.emit(tasks=sorted(task.get_name() for task in tasks))
        os._exit(1 if failed else 0)
