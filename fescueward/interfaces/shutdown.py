"""Protocol and phases of the graceful shutdown."""

from __future__ import annotations

import asyncio
from contextlib import AbstractAsyncContextManager, AbstractContextManager
from enum import StrEnum
from typing import Protocol, runtime_checkable


class ShutdownPhase(StrEnum):
    """Phase of the shutdown, which decides whether the agent accepts a request."""

    SERVING = "serving"
    # Callers still route to this agent, so all requests are accepted.
    TAKING = "taking"
    # Only requests that end before the process exits are accepted.
    FINISHING = "finishing"
    # Open requests get a response with an unknown outcome, and no more are accepted.
    CLOSING = "closing"


@runtime_checkable
class Shutdown(Protocol):
    """Decides which requests a stopping agent accepts, and tracks the open ones."""

    @property
    def phase(self) -> ShutdownPhase:
        """Current phase; `SERVING` until a stop is requested."""
        ...

    @property
    def closing(self) -> asyncio.Future[None]:
        """Future that is done once open requests must be answered, because the process exits."""
        ...

    def check(self, deadline: float, movable: bool = False) -> None:
        """Refuses a request that may still be open when the process exits.

        Args:
            deadline: Deadline of the request in seconds of CLOCK_BOOTTIME.
            movable: Whether another agent can serve it at once. It is then refused in the taking
                phase too.

        Raises:
            DrainingError: The process may exit before the deadline.
        """
        ...

    def limit(self, deadline: float) -> float:
        """Returns the time by which the run of a request that begins now has to end.

        In the taking phase this may be before the deadline. Its upstream then ends the run and
        responds while the response can still be passed on.

        Args:
            deadline: Deadline of the request in seconds of CLOCK_BOOTTIME.
        """
        ...

    def waiting(self, deadline: float, movable: bool = False) -> AbstractAsyncContextManager[None]:
        """Returns a context in which a request waits before it is begun.

        The wait ends as soon as `check` refuses the request, so that it is not begun too late and
        its caller can go elsewhere in time.

        Args:
            deadline: Deadline of the request in seconds of CLOCK_BOOTTIME.
            movable: Whether another agent can serve it; see `check`.

        Raises:
            DrainingError: The process may exit before the deadline.
        """
        ...

    def close(self) -> None:
        """Enters the closing phase unless it has begun."""
        ...

    def open_request(self, request_id: str) -> AbstractContextManager[None]:
        """Returns a context that counts the request as open while it is active."""
        ...
