"""The clock of leases and deadlines."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol, runtime_checkable


@runtime_checkable
class Clock(Protocol):
    """Source of time for every lease, deadline and period."""

    def now(self) -> float:
        """Returns seconds of CLOCK_BOOTTIME."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Waits for a number of seconds."""
        ...


class BootClock:
    """CLOCK_BOOTTIME, which goes on while the VM is suspended.

    CLOCK_MONOTONIC stops during a suspension, so a resumed holder would still see its lease as
    held.
    """

    def now(self) -> float:
        """Returns seconds since boot, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        """Waits without blocking the event loop.

        Args:
            seconds: Time to wait.
        """
        await asyncio.sleep(seconds)
