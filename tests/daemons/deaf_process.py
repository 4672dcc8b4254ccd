"""A process with a service that ignores its cancellation; run by test_process."""

import asyncio
from contextlib import suppress

from fescueward.daemons.process import run_until_stopped
from fescueward.kernel import Kernel, StopLimits


class DeafService:
    """Goes on for seconds after each cancellation."""

    name = "deaf"
    requires = ()

    def bind(self, registry) -> None:
        """Needs nothing."""

    async def start(self) -> None:
        """Tells the test that the process runs."""
        print("started", flush=True)

    async def stop(self) -> None:
        """Ignores its cancellations."""
        for _ in range(20):
            with suppress(asyncio.CancelledError):
                await asyncio.sleep(1)


if __name__ == "__main__":
    kernel = Kernel(StopLimits(drain_s=0.1, stop_s=0.3))
    kernel.add(DeafService())
    run_until_stopped(kernel)
