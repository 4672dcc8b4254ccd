"""Types of the graceful shutdown."""

from __future__ import annotations

import asyncio
from contextlib import AbstractContextManager
from enum import StrEnum
from typing import Protocol, runtime_checkable


class ShutdownPhase(StrEnum):
    """What a stopping agent does with requests."""

    SERVING = "serving"
    # Callers do not know of the stop yet, so all requests are taken.
    TAKING = "taking"
    # Only requests that end before the process does are taken.
    FINISHING = "finishing"
    # Open requests are answered as lost, and no more are taken.
    CLOSING = "closing"


@runtime_checkable
class Shutdown(Protocol):
    """Which requests a stopping agent takes, and which are still open."""

    @property
    def phase(self) -> ShutdownPhase:
        """The phase now."""
        ...

    @property
    def closing(self) -> asyncio.Future[None]:
        """Done once requests that are still open must be answered, because the process ends."""
        ...

    def check(self, deadline: float) -> None:
        """Refuses a request that may still be open at the end of the process.

        Args:
            deadline: Deadline of the request in seconds of CLOCK_BOOTTIME.

        Raises:
            DrainingError: The process may end before the deadline.
        """
        ...

    def close(self) -> None:
        """Begins the closing phase, if it has not begun."""
        ...

    def open_request(self, request_id: str) -> AbstractContextManager[None]:
        """Returns a context in which the request counts as open."""
        ...
