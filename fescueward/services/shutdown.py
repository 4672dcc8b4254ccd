"""Graceful shutdown: which requests a stopping agent accepts, and when it has drained."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress

from ..interfaces import ShutdownPhase
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.bounds import Bounds
from ..kernel.errors import DrainingError

_PHASE = Event(1020, "shutdown_phase", Level.INFO, "A stopping agent entered this phase.")
_REQUEST_OPEN_AT_END = Event(
    1021,
    "request_open_at_end",
    Level.WARNING,
    "The grace time ended while this request was in flight; its connection is closed.",
)

# The platform restarts an ended process after about a second; an earlier retry would be refused
# again.
_RETRY_AFTER_S = 1.0
# Time for passing on the response of a run that ends at its limit.
_LAST_RESPONSE_S = 0.1


class GracefulShutdown:
    """The `shutdown` service.

    The end of each phase is measured from the stop request, so that all phases fit into the grace
    time, however long it takes to leave the group.
    """

    name = "shutdown"
    requires = ("membership",)

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._tasks = kernel.task_owner(self.name)
        # Deadlines of the requests that wait to be begun, and whether another agent can serve
        # them, by the timeout that ends the wait.
        self._waits: dict[asyncio.Timeout, tuple[float, bool]] = {}
        self._closing: asyncio.Future[None] | None = None
        self._open_requests: Counter[str] = Counter()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def phase(self) -> ShutdownPhase:
        """The current phase; see `ShutdownPhase`."""
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
        """Future that is done once open requests must get a response; see `Shutdown.closing`."""
        if self._closing is None:
            self._closing = asyncio.get_running_loop().create_future()
        return self._closing

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._bounds = registry.find("bounds", Bounds)

    async def start(self) -> None:
        """Starts the task that ends waits at the start of each phase."""
        self._tasks.spawn("phases", self._run_phases())

    async def drain(self) -> None:
        """Waits until callers have switched to other agents, then until no request is in flight.

        Returns at the end of the finishing phase at the latest and begins the closing phase.
        """
        self._log_phase()
        if self.phase is ShutdownPhase.TAKING:
            await self._clock.sleep(max(self._remaining_s(self._bounds.accept_until_s), 0))
            self._log_phase()
        with suppress(TimeoutError):
            async with asyncio.timeout(max(self._remaining_s(self._bounds.finish_until_s), 0)):
                await self._idle.wait()
        # An agent that is idle before the end of the phase also stops accepting requests.
        self.close()
        self._log_phase()
        for request_id in self._open_requests:
            _REQUEST_OPEN_AT_END.emit(
                request=request_id, stopping_s=round(self._kernel.stopping_s, 3)
            )

    async def stop(self) -> None:
        """Cancels the tasks of the service."""
        await self._tasks.cancel()

    def check(self, deadline: float, movable: bool = False) -> None:
        """Refuses a request whose deadline is after the process may end; see `Shutdown.check`."""
        if self._refuses(deadline, movable):
            raise _draining_error()

    def limit(self, deadline: float) -> float:
        """Returns the time by which a run that begins now has to end; see `Shutdown.limit`."""
        if self.phase is ShutdownPhase.SERVING:
            return deadline
        limit_s = self._bounds.finish_until_s - _LAST_RESPONSE_S
        return min(deadline, self._clock.now() + self._remaining_s(limit_s))

    @asynccontextmanager
    async def waiting(self, deadline: float, movable: bool = False) -> AsyncIterator[None]:
        """Ends a wait as soon as the request is refused; see `Shutdown.waiting`."""
        self.check(deadline, movable)
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self._waits[limit] = (deadline, movable)
                try:
                    yield
                finally:
                    self._waits.pop(limit, None)
        except TimeoutError:
            if limit.expired():
                raise _draining_error() from None
            raise

    def close(self) -> None:
        """Begins the closing phase, also without a drain before it; see `Shutdown.close`."""
        if not self.closing.done():
            self.closing.set_result(None)
        self._end_refused_waits()

    @contextmanager
    def open_request(self, request_id: str) -> Iterator[None]:
        """Counts a request as in flight within the context; see `Shutdown.open_request`."""
        self._open_requests[request_id] += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._open_requests[request_id] -= 1
            if not self._open_requests[request_id]:
                del self._open_requests[request_id]
            if not self._open_requests:
                self._idle.set()

    def _refuses(self, deadline: float, movable: bool) -> bool:
        phase = self.phase
        if phase is ShutdownPhase.SERVING or (phase is ShutdownPhase.TAKING and not movable):
            return False
        end_s = self._clock.now() + self._remaining_s(self._bounds.finish_until_s)
        return phase is ShutdownPhase.CLOSING or deadline > end_s

    async def _run_phases(self) -> None:
        await self._kernel.wait_until_stopping()
        self._end_refused_waits()
        for end_s in (self._bounds.accept_until_s, self._bounds.finish_until_s):
            while (remaining_s := self._remaining_s(end_s)) > 0:
                await self._clock.sleep(remaining_s)
            self._end_refused_waits()

    def _end_refused_waits(self) -> None:
        for limit, (deadline, movable) in tuple(self._waits.items()):
            if self._refuses(deadline, movable):
                # A timeout that has fired cannot be changed, also before its task has continued.
                del self._waits[limit]
                limit.reschedule(asyncio.get_running_loop().time())

    def _remaining_s(self, end_s: float) -> float:
        return end_s - self._kernel.stopping_s

    def _log_phase(self) -> None:
        _PHASE.emit(
            phase=self.phase,
            open=self._open_requests.total(),
            stopping_s=round(self._kernel.stopping_s, 3),
        )


def _draining_error() -> DrainingError:
    return DrainingError(
        "this agent is stopping and may end before the request's deadline",
        retry_after_s=_RETRY_AFTER_S,
    )
