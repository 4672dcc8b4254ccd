"""Watches the calls that runs on the upstream of this VM make."""

from __future__ import annotations

from ...interfaces import CallSource, RunGate
from ...kernel import Clock, Event, Level, RefusalError, Registry
from ...kernel.errors import OverloadedError
from ...messages import Request
from .call_evidence import CallEvidence
from .call_room import RunLimits

_CALLS_RECOGNISED = Event(
    3422,
    "calls_recognised",
    Level.INFO,
    "Requests of a route are calls of runs on this upstream, or are no longer taken for such.",
)


class RunCalls:
    """The `calls` service: recognises calls and limits the runs whose calls fail.

    The router asks it about each request that originates on this VM, the gate about each run.
    """

    name = "calls"
    requires = ("router", "execution")

    def __init__(self) -> None:
        self._evidence = CallEvidence()
        self._limits = RunLimits()

    def bind(self, registry: Registry) -> None:
        """Looks up the clock, and watches the requests of this VM and the runs on its upstream."""
        self._clock = registry.find("clock", Clock)
        registry.find("router", CallSource).watch_calls(self)
        registry.find("execution", RunGate).watch_runs(self)

    async def start(self) -> None:
        """Starts nothing: this service has no background task."""

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    def arrived(self, request: Request) -> bool:
        """Returns whether a run has made a request; see `CallListener.arrived`."""
        if not request.route:
            return False
        before = self._evidence.parent_of(request.route)
        inner = self._evidence.arrived(request.route, request.deadline, self._clock.now())
        parent = self._evidence.parent_of(request.route)
        if parent != before:
            _CALLS_RECOGNISED.emit(route=request.route, parent=parent, before=before)
        return inner

    def call_ended(self, request: Request, error: RefusalError | None, seconds: float) -> None:
        """Counts the end of a call; see `CallListener.call_ended`."""
        parent = self._evidence.parent_of(request.route)
        if parent is None:
            return
        retry_after_s = error.retry_after_s or 0.0 if error is not None else 0.0
        self._limits.record_call(
            parent, seconds, self._clock.now(), error is not None, retry_after_s
        )

    def check(self, request: Request) -> None:
        """Refuses a run whose calls are expected to fail; see `CallRoom.check`."""
        now = self._clock.now()
        retry_after_s = self._limits.retry_after_s(request.route, request.id, now)
        if retry_after_s is not None:
            raise OverloadedError(
                "calls of the runs of this route fail", retry_after_s=retry_after_s
            )

    def run_began(self, request: Request, deadline: float) -> None:
        """Counts a run; see `CallRoom.run_began`."""
        if request.route:
            self._evidence.run_began(request.route, deadline, self._clock.now())

    def run_ended(self, request: Request, deadline: float) -> None:
        """Counts the end of a run; see `CallRoom.run_ended`."""
        if request.route:
            self._evidence.run_ended(request.route, deadline, self._clock.now())
