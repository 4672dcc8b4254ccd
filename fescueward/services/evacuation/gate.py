"""The gate of an upstream whose failure domain is evacuated.

Answers requests that still arrive after the evacuation was requested: those of routers that do
not know of it yet, of keys that are not handed over yet, and those that wait in the queue.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ...kernel import Clock, Event, Level, TaskOwner
from ...kernel.errors import EvacuatedError

_GATE_CLOSED = Event(
    2222,
    "evacuation_gate_closed",
    Level.WARNING,
    "The failure domain of this agent is evacuated; its upstream gets no more requests.",
)

# Share of the bound after which requests with keys are refused, too; the rest is left for the time
# until an agent learns of the evacuation.
_CLOSING_SHARE = 0.5
# Time after which a refused caller should retry: about one handover of keys.
_RETRY_AFTER_S = 0.5


class DomainGate:
    """Refuses requests to the upstream of this agent while its failure domain is evacuated.

    Args:
        tasks: Owner of the task that closes the gate.
        clock: Source of time.
        evacuate_s: Longest time after the request in which requests may reach the upstream, in
            seconds.
    """

    def __init__(self, tasks: TaskOwner, clock: Clock, evacuate_s: float) -> None:
        self._tasks = tasks
        self._clock = clock
        self._close_after_s = evacuate_s * _CLOSING_SHARE
        self._known = False
        # Time from which no request may be sent to the upstream, or None.
        self._closes_at: float | None = None
        self._closing: asyncio.Task[None] | None = None
        # Whether the waiting request has a key, by the timeout that ends its wait.
        self._waits: dict[asyncio.Timeout, bool] = {}

    @property
    def begun(self) -> bool:
        """Whether requests without a key are refused; see `EvacuationGate.begun`."""
        return not self._known or self._closes_at is not None

    @property
    def closed(self) -> bool:
        """Whether all requests are refused; see `EvacuationGate.closed`."""
        if not self._known:
            return True
        return self._closes_at is not None and self._clock.now() >= self._closes_at

    def update(self, evacuated: bool) -> None:
        """Applies whether the domain is evacuated.

        An agent that has just started cannot know when the evacuation was requested, so its gate
        closes at once.
        """
        first, self._known = not self._known, True
        if not evacuated:
            self._closes_at = None
            if self._closing is not None:
                self._closing.cancel()
        elif self._closes_at is None:
            delay_s = 0.0 if first else self._close_after_s
            self._closes_at = self._clock.now() + delay_s
            self._end_refused_waits()
            self._closing = self._tasks.spawn("close", self._close(delay_s))

    def check(self, keyed: bool) -> None:
        """Refuses a request that may not be sent now; see `EvacuationGate.check`."""
        if self._refuses(keyed):
            raise self._refusal()

    @asynccontextmanager
    async def waiting(self, keyed: bool) -> AsyncIterator[None]:
        """Ends a wait as soon as the request is refused; see `EvacuationGate.waiting`."""
        self.check(keyed)
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self._waits[limit] = keyed
                try:
                    yield
                finally:
                    self._waits.pop(limit, None)
        except TimeoutError:
            if limit.expired():
                raise self._refusal() from None
            raise

    def _refuses(self, keyed: bool) -> bool:
        return self.closed if keyed else self.begun

    def _refusal(self) -> EvacuatedError:
        reason = (
            "the failure domain of this agent is evacuated"
            if self._known
            else "this agent does not know the evacuations yet"
        )
        return EvacuatedError(reason, retry_after_s=_RETRY_AFTER_S)

    async def _close(self, delay_s: float) -> None:
        await self._clock.sleep(delay_s)
        _GATE_CLOSED.emit(waiting=len(self._waits))
        self._end_refused_waits()

    def _end_refused_waits(self) -> None:
        for limit, keyed in tuple(self._waits.items()):
            if self._refuses(keyed):
                # A timeout that has fired cannot be changed, also before its task has continued.
                del self._waits[limit]
                limit.reschedule(asyncio.get_running_loop().time())
