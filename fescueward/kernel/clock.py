"""Clock of leases, deadlines and periods."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol, runtime_checkable


@runtime_checkable
class Clock(Protocol):
    """Source of time for every lease, deadline and period."""

    def now(self) -> float:
        """Returns the current time in seconds of CLOCK_BOOTTIME."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Waits for `seconds` seconds without blocking the event loop."""
        ...


def unix_ms() -> int:
    """Returns the Unix time in milliseconds, which VMs share up to the errors of their clocks."""
    return int(time.time() * 1000)


class BootClock:
    """CLOCK_BOOTTIME, which advances while the VM is suspended.

    CLOCK_MONOTONIC stops during a suspension, so after a resume the holder of an expired lease
    would consider it valid.
    """

    def now(self) -> float:
        """Returns the seconds since boot, including suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        """Waits without blocking the event loop.

        Args:
            seconds: Time to wait.
        """
        await asyncio.sleep(seconds)
