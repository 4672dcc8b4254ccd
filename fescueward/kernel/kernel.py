"""Start, supervision and stop of services."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass

from .clock import BootClock
from .errors import ServiceFailedError
from .events import Event, Level
from .pauses import PauseWatch
from .registry import Drainable, Registry, Service
from .tasks import TaskOwner

_STARTED = Event(1001, "service_started", Level.DEBUG, "A service has started.")
_STOPPED = Event(1002, "service_stopped", Level.DEBUG, "A service has stopped.")
_FAILED = Event(
    1003, "service_failed", Level.ERROR, "A task of a service raised an unexpected exception."
)
_STOP_TIMEOUT = Event(
    1004,
    "service_stop_timeout",
    Level.WARNING,
    "A service did not stop in time and was abandoned.",
)

_STOP_REQUESTED = Event(
    1005, "stop_requested", Level.INFO, "A stop was requested by a signal or after a failure."
)
_DRAINED = Event(
    1006, "service_drained", Level.INFO, "A service has finished or handed over its work."
)

# Each service gets this time to stop, even if earlier ones used up the time of the stop. An agent
# has about twenty services.
_MIN_STEP_TIMEOUT_S = 0.005


@dataclass(frozen=True, slots=True)
class StopLimits:
    """Time limits for the steps of a stop, measured from the request to stop.

    Attributes:
        drain_s: Time until which services may drain, in seconds.
        stop_s: Time until which services may stop, in seconds.
    """

    drain_s: float = 45.0
    stop_s: float = 60.0


class Kernel:
    """Owns the registry, starts services in dependency order and stops them in reverse order.

    A failed task of a service stops the process: an agent without one of its services could hold
    a lease on shards that it cannot serve, and its monitors replace a stopped agent within
    seconds. Tasks that read what other programs write continue instead, see `ReadingRetries`:
    every agent reads the same data, so all of them would stop, and again after each start.

    Args:
        stop_limits: Time limits for the steps of a stop. A service that exceeds them is
            abandoned.
    """

    def __init__(self, stop_limits: StopLimits | None = None) -> None:
        self._stop_limits = stop_limits or StopLimits()
        self._registry = Registry()
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []
        self._stop_requested = asyncio.Event()
        self._clock = BootClock()
        self._pauses = PauseWatch(self._clock)
        self._stop_requested_at = 0.0
        self._failure: ServiceFailedError | None = None

    @property
    def registry(self) -> Registry:
        """Registry of the services and objects of this kernel."""
        return self._registry

    @property
    def stopping(self) -> bool:
        """Whether a stop has been requested."""
        return self._stop_requested.is_set()

    @property
    def stopping_s(self) -> float:
        """Time since the request to stop, in seconds; 0 before it."""
        return self._clock.now() - self._stop_requested_at if self.stopping else 0.0

    def add(self, service: Service) -> None:
        """Registers a service that the kernel starts and stops.

        Raises:
            DuplicateNameError: The name is already registered.
        """
        self._registry.register(service.name, service)
        self._services[service.name] = service

    def provide(self, name: str, value: object) -> None:
        """Registers an object without a life cycle, such as the settings or the clock.

        Raises:
            DuplicateNameError: The name is already registered.
        """
        self._registry.register(name, value)

    def task_owner(self, name: str) -> TaskOwner:
        """Returns a task owner that reports failures to this kernel, which then stops."""
        return TaskOwner(name, self._report_failure)

    def request_stop(self) -> None:
        """Makes `run` drain and stop all services and return; later calls have no effect."""
        if not self.stopping:
            # Whoever sent the signal counts its time limit from the sending.
            self._stop_requested_at = self._pauses.earliest_arrival()
            _STOP_REQUESTED.emit(failed=self._failure is not None)
        self._stop_requested.set()

    async def wait_until_stopping(self) -> None:
        """Waits until a stop is requested."""
        await self._stop_requested.wait()

    def bind(self) -> None:
        """Connects the services without starting them, which also checks the settings.

        Raises:
            FescuewardError: A service or plugin is missing or of the wrong type.
        """
        for service in self._services.values():
            service.bind(self._registry)

    async def run(self) -> None:
        """Runs all services until a stop is requested or a service fails.

        Raises:
            FescuewardError: A service or plugin is missing or of the wrong type.
            ServiceFailedError: A task of a service failed, or a service could not bind its port.
        """
        self.bind()
        pause_checks = asyncio.get_running_loop().create_task(self._pauses.run())
        try:
            for service in self._start_order():
                await self._start(service)
            await self._stop_requested.wait()
            if self._failure is None:
                await self._drain_all()
        finally:
            await self._stop_all()
            pause_checks.cancel()
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
            for dependency in service.requires:
                if dependency in self._services:
                    visit(self._services[dependency])
            ordered.append(service)

        for service in self._services.values():
            visit(service)
        return ordered

    async def _drain_all(self) -> None:
        for service in tuple(self._started):
            if not isinstance(service, Drainable):
                continue
            try:
                if await self._run_step(self._stop_limits.drain_s, service.name, service.drain()):
                    _DRAINED.emit(service=service.name, stopping_s=round(self.stopping_s, 3))
            except Exception as error:  # a failed drain must not prevent the other drains
                self._report_failure(service.name, error)

    async def _stop_all(self) -> None:
        while self._started:
            service = self._started.pop()
            try:
                if await self._run_step(self._stop_limits.stop_s, service.name, service.stop()):
                    _STOPPED.emit(service=service.name, stopping_s=round(self.stopping_s, 3))
            except Exception as error:  # a failed stop must not leave other services running
                self._report_failure(service.name, error)

    async def _run_step(self, end_s: float, name: str, step: Coroutine[None, None, None]) -> bool:
        """Runs one step of the stop and abandons it `end_s` seconds after the request to stop.

        Returns:
            Whether the step ended in time.
        """
        task = asyncio.get_running_loop().create_task(step, name=f"{name}:stop")
        timeout_s = max(end_s - self.stopping_s, _MIN_STEP_TIMEOUT_S)
        try:
            # wait_for() would wait indefinitely for a step that ignores its cancellation.
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
