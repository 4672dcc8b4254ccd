"""Graceful shutdown: what a stopping agent still takes, and when its work has ended."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from ..interfaces import ShutdownPhase
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.bounds import Bounds
from ..kernel.errors import DrainingError

_PHASE = Event(1020, "shutdown_phase", Level.INFO, "A stopping agent enters this phase.")
_CUT = Event(
    1021,
    "request_open_at_end",
    Level.WARNING,
    "The grace time ends while this request is open; its connection is closed.",
)

# The platform starts an ended process again after about a second; a caller that comes back sooner
# meets the same refusal.
_RETRY_AFTER_S = 1.0


class GracefulShutdown:
    """The `shutdown` service.

    All phases count from the stop request, so that together they fit into the grace time, however
    long the leave of the group takes.
    """

    name = "shutdown"
    requires = ("membership",)

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._closing: asyncio.Future[None] | None = None
        self._open: Counter[str] = Counter()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def phase(self) -> ShutdownPhase:
        """The phase now."""
        if self.closing.done():
            return ShutdownPhase.CLOSING
        if not self._kernel.stopping:
            return ShutdownPhase.SERVING
        stopping_s = self._kernel.stopping_s
        if stopping_s < self._bounds.accept_until_s:
            return ShutdownPhase.TAKING
        if stopping_s < self._bounds.finish_until_s:
            return ShutdownPhase.FINISHING
        return ShutdownPhase.CLOSING

    @property
    def closing(self) -> asyncio.Future[None]:
        """Done once open requests must be answered; see `Shutdown.closing`."""
        if self._closing is None:
            self._closing = asyncio.get_running_loop().create_future()
        return self._closing

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._bounds = registry.find("bounds", Bounds)

    async def start(self) -> None:
        """Does nothing."""

    async def drain(self) -> None:
        """Waits until callers go elsewhere, then until no request is open."""
        self._log_phase()
        if self.phase is ShutdownPhase.TAKING:
            await self._clock.sleep(max(self._left_s(self._bounds.accept_until_s), 0))
            self._log_phase()
        with suppress(TimeoutError):
            async with asyncio.timeout(max(self._left_s(self._bounds.finish_until_s), 0)):
                await self._idle.wait()
        # An agent that became idle before the end of its time takes no more either.
        self.close()
        self._log_phase()
        for request_id in self._open:
            _CUT.emit(request=request_id, stopping_s=round(self._kernel.stopping_s, 3))

    async def stop(self) -> None:
        """Does nothing."""

    def check(self, deadline: float) -> None:
        """Refuses what may outlast the process; see `Shutdown.check`."""
        if self.phase in (ShutdownPhase.SERVING, ShutdownPhase.TAKING):
            return
        if self.phase is ShutdownPhase.CLOSING or deadline > self._clock.now() + self._left_s(
            self._bounds.finish_until_s
        ):
            raise DrainingError(
                "this agent may end before the request does", retry_after_s=_RETRY_AFTER_S
            )

    def close(self) -> None:
        """Begins the closing phase, also where nothing was drained; see `Shutdown.close`."""
        if not self.closing.done():
            self.closing.set_result(None)

    @contextmanager
    def open_request(self, request_id: str) -> Iterator[None]:
        """Counts a request as open; see `Shutdown.open_request`."""
        self._open[request_id] += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._open[request_id] -= 1
            if not self._open[request_id]:
                del self._open[request_id]
            if not self._open:
                self._idle.set()

    def _left_s(self, end_s: float) -> float:
        return end_s - self._kernel.stopping_s

    def _log_phase(self) -> None:
        _PHASE.emit(
            phase=self.phase,
            open=self._open.total(),
            stopping_s=round(self._kernel.stopping_s, 3),
        )
