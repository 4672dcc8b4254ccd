"""Runs of requests in the stand-in, and why they end early."""

from __future__ import annotations

import asyncio
import enum

from .calls import Call

ABORTED_HEADER = "Fescueward-Aborted"


class Abort(enum.StrEnum):
    """Why a run is ended early: values of the header `Fescueward-Aborted`."""

    REVOKED = "revoked"
    EXPIRED = "expired"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    CONNECTION = "connection"
    STOPPED = "stopped"


class Run:
    """One request that runs: its call and the scope by which it is ended early."""

    def __init__(self, number: int, call: Call) -> None:
        self.number = number
        self.call = call
        self.scope = asyncio.timeout(None)
        self.abort: Abort | None = None
        self.ended = False

    def end_after(self, delay_s: float) -> None:
        """Ends the run after a number of seconds unless it has ended by then."""
        if not self.scope.expired():
            self.scope.reschedule(asyncio.get_running_loop().time() + delay_s)

    def end_now(self, abort: Abort) -> None:
        """Ends the run."""
        if self.abort is None:
            self.abort = abort
            self.end_after(0.0)
