"""Emulated operator, which supervises the agent processes and writes configurations."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType

import msgspec

from ..errors import ConditionTimeoutError, ProcessStateError
from ..processes import ManagedProcess
from .records import Evidence, ProcessEvent, Signal
from .store import SiteStore

# Time from SIGTERM to SIGKILL.
GRACE_S = 6.0
# Time from the exit of a process to its next start.
RESTART_DELAY_S = 0.4
# Number of newest configuration versions whose routes are probed.
_PROBED_VERSIONS = 3
_CONFIG_KIND, _CONFIG_NAME = "config", "main"


class AgentProcess:
    """An agent process that is restarted after each exit.

    Args:
        process: The managed process.
        settings: Path of its settings file.
        evidence: Receives signals, starts and exits.

    Attributes:
        start_number: Number of the current start, from 1; 0 before the first start.
    """

    def __init__(self, process: ManagedProcess, settings: Path, evidence: Evidence) -> None:
        self.start_number = 0
        self._process = process
        self._settings = settings
        self._evidence = evidence
        self._supervisor: asyncio.Task[None] | None = None
        self._forced = False

    @property
    def name(self) -> str:
        """Name of the agent."""
        return self._process.name

    @property
    def pid(self) -> int:
        """Process id; 0 if the process is not running."""
        return self._process.pid if self._process.running else 0

    @property
    def processor_wait_s(self) -> float:
        """Total time that the process was runnable and waited for a processor, in seconds.

        0 if the process is not running.
        """
        try:
            fields = Path(f"/proc/{self.pid}/schedstat").read_text(encoding="ascii").split()
        except OSError:
            return 0.0
        return int(fields[1]) / 1e9

    def start(self) -> None:
        """Starts the process and restarts it after each exit until `stop` is called."""
        self._supervisor = asyncio.create_task(self._supervise())

    async def stop(self) -> None:
        """Kills the process and ends its supervision."""
        if self._supervisor is not None:
            self._supervisor.cancel()
            await asyncio.gather(self._supervisor, return_exceptions=True)
        await self._process.stop()

    async def terminate(self) -> None:
        """Sends SIGTERM, and SIGKILL after the grace time; returns when the process has exited.

        Does nothing if the process is not running.
        """
        start_number = self.start_number
        with contextlib.suppress(ProcessStateError):
            self._process.terminate()
            self._record(Signal.TERM)
            try:
                await self._process.wait(GRACE_S)
            except ConditionTimeoutError:
                if start_number == self.start_number:
                    self._forced = True
                    await self._process.kill()

    async def kill(self) -> None:
        """Records and sends SIGKILL; it is no error if the process is not running."""
        with contextlib.suppress(ProcessStateError):
            self._record(Signal.KILL)
            await self._process.kill()

    async def pause(self, duration_s: float) -> None:
        """Records and sends SIGSTOP, then SIGCONT after a number of seconds.

        It is no error if the process is not running; SIGCONT is then not recorded.
        """
        with contextlib.suppress(ProcessStateError, ConditionTimeoutError):
            self._record(Signal.PAUSE)
            await self._process.pause()
            await asyncio.sleep(duration_s)
            self._process.resume()
            self._record(Signal.CONTINUE)

    def request_reload(self) -> None:
        """Appends an empty line to the settings file and sends SIGHUP.

        It is no error if the process is not running.
        """
        self._settings.write_text(self._settings.read_text() + "\n")
        with contextlib.suppress(ProcessStateError):
            self._process.request_reload()
            self._record(Signal.HANGUP)

    async def _supervise(self) -> None:
        while True:
            self.start_number += 1
            self._forced = False
            await self._process.start()
            self._record(Signal.START)
            code = await self._process.wait(3600)
            self._record(Signal.EXIT, code)
            await asyncio.sleep(RESTART_DELAY_S)

    def _record(self, signal: Signal, code: int = 0) -> None:
        self._evidence.processes.append(
            ProcessEvent(
                agent=self.name,
                life=self.start_number,
                signal=signal,
                at=time.monotonic(),
                forced=self._forced,
                code=code,
            )
        )


class Configurator:
    """Writes configuration versions to the store.

    Each version contains a route that no other version has. A response from this route shows that
    the version is in force.

    Args:
        store: The store.
        services: Whether the keys of a service are partitioned, by service name.
        evidence: Receives the route of each version.
        limits: Limits that differ from the usual ones.

    Attributes:
        version: Number of the newest version; 0 before the first.
        cold_per_s: Requests per second that cold upstreams take by the next version.
    """

    def __init__(
        self,
        store: SiteStore,
        services: dict[str, bool],
        evidence: Evidence,
        limits: Mapping[str, float] = MappingProxyType({}),
    ) -> None:
        self.version = 0
        self._store = store
        self._services = services
        self._evidence = evidence
        self.cold_per_s = 0.0
        self._limits = limits

    @property
    def newest_routes(self) -> tuple[str, ...]:
        """Routes of the newest versions, in ascending order of version."""
        return tuple(self._evidence.versions)[-_PROBED_VERSIONS:]

    def write_next_version(self, step: int = 1) -> str:
        """Writes the next configuration version.

        Args:
            step: Increment of the version number.

        Returns:
            Name of the route that only this version has.
        """
        self.version += step
        version_route = versioned_route(self.version)
        self._evidence.versions[version_route] = self.version
        services = {
            name: {
                "healthPath": "/health",
                "maxConns": 130,
                "sharded": keyed,
                "warmupS": 1.0,
                "coldPerS": self.cold_per_s,
            }
            for name, keyed in self._services.items()
        }
        routes = {}
        unkeyed = next(name for name, keyed in self._services.items() if not keyed)
        for name in self._services:
            for route, kind in ((name, "idempotent"), (f"{name}-once", "non_idempotent")):
                routes[route] = _route(route, kind, name)
        routes[version_route] = _route(version_route, "idempotent", unkeyed)
        limits = {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_048_576,
            "headerTimeoutS": 5,
            "idleTimeoutS": 15,
            **self._limits,
        }
        content = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        self._store.write(_CONFIG_KIND, _CONFIG_NAME, msgspec.json.encode(content))
        return version_route


def versioned_route(version: int) -> str:
    """Returns the name of the route that only this configuration version has."""
    return f"version-{version}"


def _route(name: str, kind: str, service: str) -> dict[str, object]:
    return {
        "host": name,
        "prefix": f"/{name}/",
        "kind": kind,
        "attempts": 3,
        "timeoutS": 3.0,
        "sloS": 0.5,
        "priority": 0,
        "service": service,
    }
