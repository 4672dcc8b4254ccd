"""What all daemons do with their kernel."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Callable

import uvloop

from ..kernel import Kernel

# A request leaves some hundred objects and few cycles; Python's default of 700 starts a collection
# every few requests.
_COLLECTIONS = (20_000, 20, 20)


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
    await kernel.run()
