"""Start, supervision and stop of services."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass

from .clock import BootClock
from .errors import ServiceFailedError
from .events import Event, Level
from .registry import Drainable, Registry, Service
from .tasks import TaskOwner

_STARTED = Event(1001, "service_started", Level.DEBUG, "A service has started.")
_STOPPED = Event(1002, "service_stopped", Level.DEBUG, "A service has stopped.")
_FAILED = Event(
    1003, "service_failed", Level.ERROR, "A task of a service ended with an unexpected error."
)
_STOP_TIMEOUT = Event(
    1004,
    "service_stop_timeout",
    Level.WARNING,
    "A service did not stop in time and was abandoned.",
)

_STOP_REQUESTED = Event(
    1005, "stop_requested", Level.INFO, "A stop was requested, by a signal or after a failure."
)
_DRAINED = Event(
    1006, "service_drained", Level.INFO, "A service has given its work away before the stop."
)

# Each service gets this long to stop even if those before it used up the time, in seconds. An
# agent has some twenty services.
_LEAST_STEP_S = 0.005


@dataclass(frozen=True, slots=True)
class StopLimits:
    """Latest ends of the steps of a stop, counted from its request.

    Attributes:
        drain_s: Time until which services give their work away, in seconds.
        stop_s: Time until which all services stop, in seconds.
    """

    drain_s: float = 45.0
    stop_s: float = 60.0


class Kernel:
    """Owns the registry, starts services in the order of their needs and stops them in reverse.

    A failed task of a service ends the process: an agent that has lost one of its parts could
    hold a lease that it cannot honour, and its monitors replace it within seconds.

    Args:
        stop_limits: When the steps of a stop end at the latest. A service that is still busy then
            is abandoned.
    """

    def __init__(self, stop_limits: StopLimits | None = None) -> None:
        self._stop_limits = stop_limits or StopLimits()
        self._registry = Registry()
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []
        self._stop_requested = asyncio.Event()
        self._clock = BootClock()
        self._stop_requested_at = 0.0
        self._failure: ServiceFailedError | None = None

    @property
    def registry(self) -> Registry:
        """The registry of this kernel."""
        return self._registry

    @property
    def stopping(self) -> bool:
        """Whether a stop was requested."""
        return self._stop_requested.is_set()

    @property
    def stopping_s(self) -> float:
        """Time since a stop was requested, in seconds; 0 if none was."""
        return self._clock.now() - self._stop_requested_at if self.stopping else 0.0

    def add(self, service: Service) -> None:
        """Registers a service that the kernel starts and stops.

        Raises:
            DuplicateNameError: The name is taken.
        """
        self._registry.register(service.name, service)
        self._services[service.name] = service

    def provide(self, name: str, value: object) -> None:
        """Registers an object without a life cycle, such as the settings or the clock.

        Raises:
            DuplicateNameError: The name is taken.
        """
        self._registry.register(name, value)

    def task_owner(self, name: str) -> TaskOwner:
        """Returns an owner of tasks whose failures this kernel reports."""
        return TaskOwner(name, self._report_failure)

    def request_stop(self) -> None:
        """Makes `run` stop all services and return."""
        if not self.stopping:
            self._stop_requested_at = self._clock.now()
            _STOP_REQUESTED.emit(failed=self._failure is not None)
        self._stop_requested.set()

    def bind(self) -> None:
        """Connects the services. Nothing runs yet, so a caller can check settings this way.

        Raises:
            FescuewardError: A service or plugin is missing or of the wrong type.
        """
        for service in self._services.values():
            service.bind(self._registry)

    async def run(self) -> None:
        """Runs all services until a stop is requested or one of them fails.

        Raises:
            FescuewardError: A service or plugin is missing or of the wrong type.
            ServiceFailedError: A task of a service failed, or a port could not be bound.
        """
        self.bind()
        try:
            for service in self._start_order():
                await self._start(service)
            await self._stop_requested.wait()
            if self._failure is None:
                await self._drain_all()
        finally:
            await self._stop_all()
        if self._failure is not None:
            raise self._failure

    async def _start(self, service: Service) -> None:
        try:
            await service.start()
        except OSError as error:
            raise ServiceFailedError(f"{service.name} did not start: {error}") from error
        self._started.append(service)
        _STARTED.emit(service=service.name)

    def _start_order(self) -> list[Service]:
        ordered: list[Service] = []
        visited: set[str] = set()

        def visit(service: Service) -> None:
            if service.name in visited:
                return
            visited.add(service.name)
            for needed in service.requires:
                if needed in self._services:
                    visit(self._services[needed])
            ordered.append(service)

        for service in self._services.values():
            visit(service)
        return ordered

    async def _drain_all(self) -> None:
        for service in tuple(self._started):
            if not isinstance(service, Drainable):
                continue
            try:
                if await self._finish_by(self._stop_limits.drain_s, service.name, service.drain()):
                    _DRAINED.emit(service=service.name, stopping_s=round(self.stopping_s, 3))
            except Exception as error:  # one failing drain must not keep the others' requests open
                self._report_failure(service.name, error)

    async def _stop_all(self) -> None:
        while self._started:
            service = self._started.pop()
            try:
                if await self._finish_by(self._stop_limits.stop_s, service.name, service.stop()):
                    _STOPPED.emit(service=service.name, stopping_s=round(self.stopping_s, 3))
            except Exception as error:  # one failing stop must not keep the others running
                self._report_failure(service.name, error)

    async def _finish_by(self, end_s: float, name: str, step: Coroutine[None, None, None]) -> bool:
        """Runs one step of the stop and abandons it at its end, in seconds after the request.

        Returns:
            Whether the step ended in time.
        """
        task = asyncio.get_running_loop().create_task(step, name=f"{name}:stop")
        timeout_s = max(end_s - self.stopping_s, _LEAST_STEP_S)
        try:
            # wait_for() would wait for a step that does not end when it is cancelled.
            await asyncio.wait((task,), timeout=timeout_s)
            if task.done():
                task.result()
                return True
            _STOP_TIMEOUT.emit(service=name, stopping_s=round(self.stopping_s, 3))
            return False
        finally:
            task.cancel()

    def _report_failure(self, task: str, error: BaseException) -> None:
        _FAILED.emit(task=task, error=type(error).__name__, detail=error)
        if self._failure is None:
            self._failure = ServiceFailedError(f"{task}: {type(error).__name__}: {error}")
            self._failure.__cause__ = error
        self.request_stop()
