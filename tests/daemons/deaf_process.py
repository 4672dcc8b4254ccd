"""A process with a service that ignores cancellation; started by test_process."""

import asyncio
from contextlib import suppress

from fescueward.daemons.process import run_until_stopped
from fescueward.kernel import Kernel, StopLimits


class UncancellableService:
    """A service whose stop goes on for seconds after each cancellation."""

    name = "deaf"
    requires = ()

    def bind(self, registry) -> None:
        """Looks up nothing: this service uses no other."""

    async def start(self) -> None:
        """Prints a line, so that the test knows that the process runs."""
        print("started", flush=True)

    async def stop(self) -> None:
        """Sleeps for up to 20 s and ignores cancellation meanwhile."""
        for _ in range(20):
            with suppress(asyncio.CancelledError):
                await asyncio.sleep(1)


if __name__ == "__main__":
    kernel = Kernel(StopLimits(drain_s=0.1, stop_s=0.3))
    kernel.add(UncancellableService())
    run_until_stopped(kernel)
