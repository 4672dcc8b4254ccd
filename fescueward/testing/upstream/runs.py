"""Running requests of the upstream stand-in and the reasons for aborting them."""

from __future__ import annotations

import asyncio
import enum

from .calls import Call

ABORTED_HEADER = "Fescueward-Aborted"


class Abort(enum.StrEnum):
    """Reasons to abort a run: values of the header `Fescueward-Aborted`."""

    REVOKED = "revoked"
    EXPIRED = "expired"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    CONNECTION = "connection"
    STOPPED = "stopped"


class Run:
    """One running request.

    Args:
        number: Number of the run, unique in the process.
        call: Headers and query parameters of the request.

    Attributes:
        number: Number of the run.
        call: Headers and query parameters of the request.
        scope: Timeout scope in which the request runs; its expiry aborts the run.
        abort: Reason for which the run is aborted, or None.
        ended: Whether the run has ended; set just before its last chunk is sent.
    """

    def __init__(self, number: int, call: Call) -> None:
        self.number = number
        self.call = call
        self.scope = asyncio.timeout(None)
        self.abort: Abort | None = None
        self.ended = False

    def abort_after(self, delay_s: float) -> None:
        """Aborts the run after a number of seconds unless it has ended by then."""
        if not self.scope.expired():
            self.scope.reschedule(asyncio.get_running_loop().time() + delay_s)

    def abort_now(self, abort: Abort) -> None:
        """Aborts the run; does nothing if it has been aborted already.

        Args:
            abort: Reason for the abort.
        """
        if self.abort is None:
            self.abort = abort
            self.abort_after(0.0)
