"""An administration service with a catalogue and a platform in memory, for tests."""

from __future__ import annotations

import asyncio
import tempfile
import threading
from pathlib import Path

from fescueward.interfaces import Changes, MetricsPage, StoredObject
from fescueward.kernel import Registry
from fescueward.kernel.errors import (
    ObjectNotFoundError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    VersionConflictError,
)
from fescueward.kernel.settings import Settings, load_settings
from fescueward.messages.status import AgentState, AgentStatus, Explanation, FleetStatus
from fescueward.services.administration import HttpAdministration
from fescueward.services.catalogue import EntryCatalogue
from fescueward.testing.ports import PortReservations

TOKEN = "administration-token"

SETTINGS = """
[agent]
name = a1
failure_domain = lowell
[callers]
port = 1
[peers]
port = 2
secret = sixteen-characters
[administration]
port = {port}
token = administration-token
[announcements]
port = 3
[platform]
url = http://127.0.0.1:9
"""


def settings_with_port(port: int) -> Settings:
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "a.ini"
        path.write_text(SETTINGS.format(port=port))
        return load_settings(path)


class MemoryPlatform:
    """A platform that stores its objects in memory.

    `down` refuses all calls. `lose_responses` makes a write take effect and then raises
    `OutcomeUnknownError`; `down_after_loss` refuses all calls after that.
    """

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self.down = False
        self.lose_responses = False
        self.down_after_loss = False

    era = 0

    async def get(self, key: str) -> StoredObject:
        if self.down:
            raise PlatformUnavailableError("down")
        if key not in self.objects:
            raise ObjectNotFoundError(key)
        return self.objects[key]

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        if self.down:
            raise PlatformUnavailableError("down")
        current_version = self.objects[key].version if key in self.objects else 0
        if current_version != expected_version:
            raise VersionConflictError(key, version=current_version)
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, value)
        if self.lose_responses:
            self.down = self.down_after_loss
            raise OutcomeUnknownError("lost")
        return self.revision

    async def delete(self, key: str, expected_version: int) -> int:
        raise NotImplementedError

    async def watch(self, prefixes: tuple[str, ...], since: int, wait_s: float) -> Changes:
        raise NotImplementedError


class FixedReports:
    """Status reports that a test sets."""

    def __init__(self) -> None:
        self.status = FleetStatus("a1:1", None, 1, 1, (), ())
        self.explanation = Explanation(
            "depot", "k", "depot/0", 3, None, None, 2, None, (), "no owner", False, "no_owner", "a"
        )
        self.failure: Exception | None = None

    def agent(self) -> AgentStatus:
        return AgentStatus("a1:1", "lowell", "depot/0", AgentState.ACTIVE, 1.0, True, 0.9)

    async def fleet(self, service: str | None = None) -> FleetStatus:
        if self.failure is not None:
            raise self.failure
        return self.status

    async def explain(self, service: str, key: str) -> Explanation:
        return self.explanation


class FixedMetrics:
    def render(self) -> MetricsPage:
        return MetricsPage(b"fescueward_uptime_seconds 1\n", "text/plain; version=0.0.4")


class AdministrationFake:
    """A running administration service with its fakes and its URL."""

    def __init__(self, port: int) -> None:
        self.platform = MemoryPlatform()
        self.reports = FixedReports()
        self.catalogue = EntryCatalogue()
        self.service = HttpAdministration()
        self.url = f"http://127.0.0.1:{port}"
        registry = Registry()
        registry.register("settings", settings_with_port(port))
        registry.register("platform", self.platform)
        registry.register("catalogue", self.catalogue)
        registry.register("status", self.reports)
        registry.register("metrics", FixedMetrics())
        self.catalogue.bind(registry)
        self.service.bind(registry)


class AdministrationThread:
    """Runs an `AdministrationFake` on its own event loop, for commands that run another one."""

    def __init__(self) -> None:
        self._ports = PortReservations()
        self.fake = AdministrationFake(self._ports.reserve())
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._run(self.fake.service.start())

    def close(self) -> None:
        self._run(self.fake.service.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()
        self._ports.close()

    def _run(self, call) -> None:
        asyncio.run_coroutine_threadsafe(call, self._loop).result(10)
