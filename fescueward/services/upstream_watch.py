"""Watch over the upstream: crashes, refused connections and health."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

import aiohttp
import msgspec

from ..interfaces import Admission, CrashListener, Membership
from ..kernel import Clock, Event, Level, Registry, TaskOwner
from ..messages import Announcement
from ..messages.upstream import upstream_url

_CRASHED = Event(3001, "upstream_crashed", Level.WARNING, "The upstream ended during requests.")
_GONE = Event(
    3003, "upstream_gone", Level.WARNING, "The upstream refuses connections; its agent leaves."
)
_UNHEALTHY = Event(
    3004,
    "upstream_health_unanswered",
    Level.WARNING,
    "The health page does not answer; this alone changes nothing.",
)
_BACK = Event(3005, "upstream_back", Level.INFO, "The upstream accepts connections again.")

_HEALTH_PERIOD_S = 1.0
_HEALTH_TIMEOUT_S = 1.0
# Refused connections in a row, a tenth of a second apart, after which the upstream is gone. A
# restart of the listening socket takes less.
_REFUSALS = 4
_REFUSAL_PERIOD_S = 0.1
# The listening socket of a process that ends can outlive its connections by some milliseconds.
_PROBE_PAUSES_S = (0.0, 0.03)
_PROBE_TIMEOUT_S = 0.25
# Connections that break this soon after a crash belong to it.
_SAME_CRASH_S = 0.2
_HEALTH_BYTES = 65_536


class _Health(msgspec.Struct):
    """What is read of the health page."""

    state: str = ""


class UpstreamWatch:
    """Watches the upstream for the `upstream` service.

    Crashes are recognised by connections that end during runs while new ones are refused. An
    upstream that refuses connections for longer is gone, and this agent leaves its group until
    the next announcement. A health page that is slow, silent or wrong changes nothing.

    Args:
        tasks: Owner of the probes.
        session: Gives the session of an announced upstream.
    """

    def __init__(
        self, tasks: TaskOwner, session: Callable[[Announcement], aiohttp.ClientSession]
    ) -> None:
        self._tasks = tasks
        self._session = session
        self._crashes = 0
        self._listeners: list[CrashListener] = []
        self._crashed_at = 0.0
        self._probe: asyncio.Task[None] | None = None
        self._refused_at: Announcement | None = None
        self._check_now = asyncio.Event()

    @property
    def crashes(self) -> int:
        """Number of crashes seen so far."""
        return self._crashes

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._membership = registry.find("membership", Membership)
        self._admission = registry.find("admission", Admission)

    def subscribe(self, listener: CrashListener) -> None:
        """Tells a service of crashes from now on."""
        self._listeners.append(listener)

    def refuses(self, announced: Announcement) -> bool:
        """Tells whether the upstream has refused connections since this announcement."""
        return self._refused_at is announced

    def check_now(self) -> None:
        """Makes the next check happen at once."""
        self._check_now.set()

    async def check_crash(self, error: BaseException) -> None:
        """Finds out whether a connection that ended during a run is a crash."""
        announced = self._membership.announcement
        if announced is None or self._clock.now() - self._crashed_at < _SAME_CRASH_S:
            return
        if self._probe is None:
            self._probe = self._tasks.spawn("probe", self._run_probe(announced, error))
        await asyncio.shield(self._probe)

    async def run(self) -> None:
        """Checks the upstream until cancelled."""
        refused = 0
        answering = True
        while True:
            if refused:
                await self._clock.sleep(_REFUSAL_PERIOD_S)
            else:
                with suppress(TimeoutError):
                    async with asyncio.timeout(_HEALTH_PERIOD_S):
                        await self._check_now.wait()
            self._check_now.clear()
            announced = self._membership.announcement
            if announced is None:
                continue
            try:
                await self._read_health(announced)
            except aiohttp.ClientConnectorError as error:
                if not isinstance(error.os_error, ConnectionRefusedError):
                    continue
                refused += 1
                # Requests fail without a connection attempt from now on.
                self._refused_at = announced
                if refused == _REFUSALS:
                    _GONE.emit(host=announced.host, port=announced.port)
                    await self._membership.leave("the upstream is gone")
                continue
            except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as error:
                if answering:
                    _UNHEALTHY.emit(error=f"{type(error).__name__}: {error}")
                answering = False
            else:
                answering = True
            if refused:
                _BACK.emit(host=announced.host, port=announced.port)
                self._admission.begin_slow_start()
            refused, self._refused_at = 0, None

    async def _run_probe(self, announced: Announcement, error: BaseException) -> None:
        try:
            for pause_s in _PROBE_PAUSES_S:
                await self._clock.sleep(pause_s)
                if await _refuses_connections(announced):
                    self._crashes += 1
                    self._crashed_at = self._clock.now()
                    self._admission.begin_slow_start()
                    self._check_now.set()
                    _CRASHED.emit(error=f"{type(error).__name__}: {error}")
                    for listener in self._listeners:
                        listener.upstream_crashed()
                    return
        finally:
            self._probe = None

    async def _read_health(self, announced: Announcement) -> _Health:
        timeout = aiohttp.ClientTimeout(total=_HEALTH_TIMEOUT_S)
        url = upstream_url(announced, "/health")
        async with self._session(announced).get(url, timeout=timeout) as response:
            return msgspec.json.decode(await response.content.read(_HEALTH_BYTES), type=_Health)


async def _refuses_connections(announced: Announcement) -> bool:
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(announced.host, announced.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
