"""The operator: configurations, and the life of the agents that it started."""

from __future__ import annotations

import asyncio
import contextlib
import time
from pathlib import Path

import msgspec

from ..errors import ConditionTimeoutError, ProcessStateError
from ..processes import ManagedProcess
from .records import Evidence, ProcessEvent, Signal
from .store import SiteStore

GRACE_S = 6.0
# Time from the end of a process to its next start.
RESTART_S = 0.4
# Versions that callers ask for.
_PROBED_VERSIONS = 3
_KIND, _NAME = "config", "main"


class AgentProcess:
    """One agent, which is started again after each end.

    Args:
        process: The program.
        settings: Its settings file.
        evidence: Where signals, starts and ends are noted.
    """

    def __init__(self, process: ManagedProcess, settings: Path, evidence: Evidence) -> None:
        self.life = 0
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
        """Id of the process; 0 if it does not run."""
        return self._process.pid if self._process.running else 0

    @property
    def waited_s(self) -> float:
        """Time for which the process was ready to run without a processor, in seconds."""
        try:
            fields = Path(f"/proc/{self.pid}/schedstat").read_text(encoding="ascii").split()
        except OSError:
            return 0.0
        return int(fields[1]) / 1e9

    def start(self) -> None:
        """Starts the process and keeps it running until `end`."""
        self._supervisor = asyncio.create_task(self._supervise())

    async def end(self) -> None:
        """Kills the process for good."""
        if self._supervisor is not None:
            self._supervisor.cancel()
            await asyncio.gather(self._supervisor, return_exceptions=True)
        await self._process.stop()

    async def terminate(self) -> None:
        """Sends SIGTERM, and SIGKILL once the grace time is over; returns after the end."""
        life = self.life
        with contextlib.suppress(ProcessStateError):
            self._process.terminate()
            self._note(Signal.TERM)
            try:
                await self._process.wait(GRACE_S)
            except ConditionTimeoutError:
                if life == self.life:
                    self._forced = True
                    await self._process.kill()

    async def kill(self) -> None:
        """Sends SIGKILL."""
        with contextlib.suppress(ProcessStateError):
            self._note(Signal.KILL)
            await self._process.kill()

    async def pause(self, seconds: float) -> None:
        """Sends SIGSTOP and, some time later, SIGCONT."""
        with contextlib.suppress(ProcessStateError, ConditionTimeoutError):
            self._note(Signal.PAUSE)
            await self._process.pause()
            await asyncio.sleep(seconds)
            self._process.resume()
            self._note(Signal.CONTINUE)

    def request_reload(self) -> None:
        """Writes the settings file anew and sends SIGHUP."""
        self._settings.write_text(self._settings.read_text() + "\n")
        with contextlib.suppress(ProcessStateError):
            self._process.request_reload()
            self._note(Signal.HANGUP)

    async def _supervise(self) -> None:
        while True:
            self.life += 1
            self._forced = False
            await self._process.start()
            self._note(Signal.START)
            code = await self._process.wait(3600)
            self._note(Signal.EXIT, code)
            await asyncio.sleep(RESTART_S)

    def _note(self, signal: Signal, code: int = 0) -> None:
        self._evidence.processes.append(
            ProcessEvent(
                agent=self.name,
                life=self.life,
                signal=signal,
                at=time.monotonic(),
                forced=self._forced,
                code=code,
            )
        )


class Configurator:
    """Writes configurations; each version has a route of its own, which tells that it is in force.

    Args:
        store: The store.
        services: Names of the services, and whether they are divided by key.
        evidence: Where the routes of the versions are noted.
    """

    def __init__(self, store: SiteStore, services: dict[str, bool], evidence: Evidence) -> None:
        self.version = 0
        self._store = store
        self._services = services
        self._evidence = evidence

    @property
    def newest_routes(self) -> tuple[str, ...]:
        """Routes of the newest versions, oldest first."""
        return tuple(self._evidence.versions)[-_PROBED_VERSIONS:]

    def change(self, step: int = 1) -> str:
        """Writes the next version; returns the route that only this version has."""
        self.version += step
        mark = versioned_route(self.version)
        self._evidence.versions[mark] = self.version
        services = {
            name: {"healthPath": "/health", "maxConns": 130, "sharded": keyed, "warmupS": 1.0}
            for name, keyed in self._services.items()
        }
        routes = {}
        unkeyed = next(name for name, keyed in self._services.items() if not keyed)
        for name in self._services:
            for route, kind in ((name, "idempotent"), (f"{name}-once", "non_idempotent")):
                routes[route] = _route(route, kind, name)
        routes[mark] = _route(mark, "idempotent", unkeyed)
        limits = {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_048_576,
            "headerTimeoutS": 5,
            "idleTimeoutS": 15,
        }
        content = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        self._store.write(_KIND, _NAME, msgspec.json.encode(content))
        return mark


def versioned_route(version: int) -> str:
    """Returns the route that only one version of the configuration has."""
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
