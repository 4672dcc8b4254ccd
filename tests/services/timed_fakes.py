"""Fakes of the clock, the platform and the peers on simulated time.

Each agent has an event loop of its own that runs only while the agent is neither paused nor
killed. Messages to a paused agent wait in its loop, as bytes wait in a socket.
"""

from __future__ import annotations

import asyncio
import enum
import heapq
import inspect
import itertools
from asyncio import events
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from fescueward.interfaces import Changes, StoredObject
from fescueward.kernel.errors import (
    ObjectNotFoundError,
    OutcomeUnknownError,
    PeerTimeoutError,
    PeerUnavailableError,
    PlatformUnavailableError,
    VersionConflictError,
)
from fescueward.messages.era import era_of, revision_of, to_version

_LATENCY_S = 0.001
_TIMEOUT_S = 1.0


class AgentLoop(asyncio.BaseEventLoop):
    """An event loop on simulated time with an offset and a rate of its own."""

    def __init__(self, world: World, offset: float, rate: float) -> None:
        super().__init__()
        self._world, self._offset, self._rate = world, offset, rate
        self._selector = self
        self._clock_resolution = 1e-6
        self.set_exception_handler(lambda loop, context: None)

    def __del__(self) -> None:
        """Suppresses the warning about open loops, which killed agents leave."""

    def time(self) -> float:
        return self._offset + self._world.now * self._rate

    def select(self, timeout: float | None) -> list[Any]:
        return []

    def _process_events(self, event_list: list[Any]) -> None:
        pass

    def due(self) -> float:
        """Returns the simulated time of the next step in seconds, infinite if there is none."""
        if self._ready:
            return self._world.now
        while self._scheduled and self._scheduled[0]._cancelled:
            self._timer_cancelled_count -= 1
            heapq.heappop(self._scheduled)._scheduled = False
        if not self._scheduled:
            return float("inf")
        return (self._scheduled[0]._when - self._offset) / self._rate

    def abandon(self) -> None:
        """Closes the coroutines of tasks that were created and not started.

        Python would warn that each of them was never awaited. Tasks that have started are left
        as they are, like those of a killed process.
        """
        for task in asyncio.all_tasks(self):
            coroutine = task.get_coro()
            if inspect.getcoroutinestate(coroutine) == inspect.CORO_CREATED:
                coroutine.close()

    def step(self) -> None:
        """Runs the callbacks that are due now."""
        events._set_running_loop(self)
        try:
            self._run_once()
        finally:
            events._set_running_loop(None)


class ManualClock:
    """The clock of one agent, which also advances while the agent is paused."""

    def __init__(self, loop: AgentLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        return self._loop.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class World:
    """Simulated time, the events of network and platform, and the loops of the agents."""

    def __init__(self) -> None:
        self.now = 0.0
        self.loops: dict[str, AgentLoop] = {}
        self.paused: set[str] = set()
        self.after_step: Callable[[str], None] = lambda name: None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_later(self, delay_s: float, event: Callable[[], None]) -> None:
        """Runs an event after a delay."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), event))

    def advance(self, seconds: float) -> None:
        """Runs agents and events in the order of their due times."""
        end_s = self.now + seconds
        while True:
            # Agents with equal due times run in the order of their names.
            runnable = [
                (loop.due(), name) for name, loop in self.loops.items() if self._is_running(name)
            ]
            due, name = min(runnable, default=(float("inf"), ""))
            event_due = self._events[0][0] if self._events else float("inf")
            if min(due, event_due) > end_s:
                break
            self.now = max(self.now, min(due, event_due))
            if event_due <= due:
                heapq.heappop(self._events)[2]()
            else:
                self.loops[name].step()
                self.after_step(name)
        self.now = end_s

    def _is_running(self, name: str) -> bool:
        return name not in self.paused


class ResponseMode(enum.Enum):
    """How the platform responds to the calls of one agent."""

    NORMAL = enum.auto()
    SLOW = enum.auto()  # the response takes 0.6 s
    REFUSED = enum.auto()  # the connection is refused
    IGNORED = enum.auto()  # neither effect nor response
    LOST = enum.auto()  # effect without a response
    LATE = enum.auto()  # effect after the timeout of the caller, without a response
    VERY_LATE = enum.auto()


_EFFECT_DELAY_S = {
    ResponseMode.NORMAL: _LATENCY_S,
    ResponseMode.SLOW: 0.3,
    ResponseMode.LOST: _LATENCY_S,
    ResponseMode.LATE: _TIMEOUT_S + 0.2,
    ResponseMode.VERY_LATE: _TIMEOUT_S + 3.0,
}
_RESPONSE_DELAY_S = {ResponseMode.NORMAL: _LATENCY_S, ResponseMode.SLOW: 0.3}


class FakePlatform:
    """Objects with versions and conditional writes in memory."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.era = 0
        self.revision = 0
        # Reads and writes of all agents, with or without a response; watches are not counted.
        self.calls = 0
        self.objects: dict[str, StoredObject] = {}
        self.on_write: Callable[[StoredObject | None, StoredObject], None] = lambda old, new: None
        self.watchers: list[Callable[[], bool]] = []

    def write(self, key: str, value: bytes, expected: int, deleted: bool = False) -> int:
        """Makes a conditional write without a delay; returns the new version."""
        old = self.objects.get(key)
        if (old.version if old else 0) != expected:
            version = old.version if old else 0
            value = old.value if old else b""
            raise VersionConflictError(f"{key} is at {version}", version=version, value=value)
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, value, deleted)
        self.on_write(old, self.objects[key])
        self.watchers = [watcher for watcher in self.watchers if not watcher()]
        return self.revision

    def copy(self) -> tuple[int, dict[str, StoredObject]]:
        """Returns a copy of revision and objects."""
        return self.revision, dict(self.objects)

    def restore(self, copy: tuple[int, dict[str, StoredObject]]) -> None:
        """Replaces revision and objects by those of a copy and begins a new era.

        Waiting watches get a response, as if they were cut off and called again.
        """
        self.revision, objects = copy
        self.objects = dict(objects)
        self.era += 1
        self.watchers = [watcher for watcher in self.watchers if not watcher()]

    def read(self, key: str) -> StoredObject:
        """Reads an object without a delay."""
        if key not in self.objects:
            raise ObjectNotFoundError(key)
        return self.objects[key]


class PlatformClient:
    """The `platform` service of one agent.

    Attributes:
        bytes_per_s: Rate of the agent's link to the platform, in each direction.
    """

    name = "platform"

    def __init__(self, store: FakePlatform, loop: AgentLoop) -> None:
        self.store, self._loop = store, loop
        self.bytes_per_s = float("inf")
        self.response_mode = ResponseMode.NORMAL
        # Overrides `response_mode` for writes.
        self.write_response_mode: ResponseMode | None = None
        self.era = 0

    async def get(self, key: str) -> StoredObject:
        try:
            era, stored = await self._call(lambda: self.store.read(key), self.response_mode, 0)
        except TimeoutError:
            raise PlatformUnavailableError(f"reading {key}: timeout") from None
        if era < self.era:
            raise PlatformUnavailableError(f"reading {key}: answered in an earlier era")
        return replace(stored, version=to_version(era, stored.version))

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        return await self._write(key, value, expected_version, False)

    async def delete(self, key: str, expected_version: int) -> int:
        return await self._write(key, b"", expected_version, True)

    async def _write(self, key: str, value: bytes, expected_version: int, deleted: bool) -> int:
        if expected_version and era_of(expected_version) < self.era:
            raise VersionConflictError(f"{key} was at a version of an earlier era", version=0)
        self.era = max(self.era, era_of(expected_version))
        response_mode = self.write_response_mode or self.response_mode
        expected = revision_of(expected_version)
        try:
            era, revision = await self._call(
                lambda: self.store.write(key, value, expected, deleted), response_mode, len(value)
            )
        except TimeoutError:
            raise OutcomeUnknownError(f"writing {key}: timeout") from None
        if expected_version and era != era_of(expected_version):
            raise OutcomeUnknownError(f"writing {key}: written in another era")
        return to_version(era, revision)

    async def watch(self, prefixes: tuple[str, ...], since: int, wait_s: float) -> Changes:
        if self.response_mode is ResponseMode.REFUSED:
            raise PlatformUnavailableError("refused")
        response: asyncio.Future[Changes] = self._loop.create_future()

        def notify(final: bool = False) -> bool:
            era = self.store.era
            complete = since == 0 or era != era_of(since)
            changed = tuple(
                replace(stored, version=to_version(era, stored.version))
                for key, stored in sorted(self.store.objects.items())
                if (complete or stored.version > revision_of(since)) and key.startswith(prefixes)
            )
            if response.done() or not (changed or final):
                return response.done()
            if self.response_mode in _RESPONSE_DELAY_S:
                self.era = max(self.era, era)
                revision = to_version(era, self.store.revision)
                changes = Changes(revision, changed, complete)
                self.store.world.call_later(
                    _RESPONSE_DELAY_S[self.response_mode],
                    lambda: _set_response(response, changes, None),
                )
            return True

        if not notify(since == 0):
            self.store.watchers.append(notify)
            self.store.world.call_later(wait_s, lambda: notify(True) and None)
        try:
            return await asyncio.wait_for(response, wait_s + 2.0)
        except TimeoutError:
            raise PlatformUnavailableError("watching: timeout") from None

    async def _call(
        self, operation: Callable[[], Any], response_mode: ResponseMode, sent_bytes: int
    ) -> Any:
        self.store.calls += 1
        if response_mode is ResponseMode.REFUSED:
            raise PlatformUnavailableError("refused")
        response: asyncio.Future[Any] = self._loop.create_future()

        def effect() -> None:
            result, error = None, None
            received_bytes = sent_bytes
            try:
                result = operation()
            except (ObjectNotFoundError, VersionConflictError) as failure:
                error = failure
                if isinstance(failure, VersionConflictError):
                    received_bytes = len(failure.value)
                    failure.version = to_version(self.store.era, failure.version)
            if isinstance(result, StoredObject):
                received_bytes = len(result.value)
            result = (self.store.era, result)
            if response_mode in _RESPONSE_DELAY_S:
                self.era = max(self.era, self.store.era)
                delay_s = _RESPONSE_DELAY_S[response_mode] + received_bytes / self.bytes_per_s
                self.store.world.call_later(
                    delay_s, lambda: _set_response(response, result, error)
                )

        if response_mode in _EFFECT_DELAY_S:
            delay_s = _EFFECT_DELAY_S[response_mode] + sent_bytes / self.bytes_per_s
            self.store.world.call_later(delay_s, effect)
        return await asyncio.wait_for(response, _TIMEOUT_S)


def _set_response(response: asyncio.Future[Any], result: Any, error: Exception | None) -> None:
    if response.done():
        return
    if error is not None:
        response.set_exception(error)
        response.exception()
    else:
        response.set_result(result)


class Network:
    """State of the connection between each pair of agents, by their names."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.peers: dict[str, FakePeers] = {}
        self.cut: set[frozenset[str]] = set()
        # Time from the first dial of a member until its stream is open.
        self.connect_s = 0.0
        self.delays: dict[frozenset[str], float] = {}
        self._last_arrival_s: dict[tuple[str, str], float] = {}

    def deliver(
        self, source: FakePeers, target_id: str, event: Callable[[FakePeers], None]
    ) -> None:
        """Runs an event in the loop of the target; messages of a pair keep their order."""
        target_name = target_id.rsplit(":", 1)[0]
        pair = frozenset((source.agent_name, target_name))
        if pair in self.cut:
            return
        arrival_s = self.world.now + self.delays.get(pair, _LATENCY_S)
        arrival_s = max(arrival_s, self._last_arrival_s.get((source.member_id, target_id), 0.0))
        self._last_arrival_s[source.member_id, target_id] = arrival_s
        sender_id = source.member_id

        def arrive() -> None:
            target = self.peers.get(target_name)
            if target is not None and target.matches(target_id) and pair not in self.cut:
                target.loop.call_soon(target.receive, target_id, sender_id, event)

        self.world.call_later(arrival_s - self.world.now, arrive)


class FakePeers:
    """The `peers` service of one agent."""

    name = "peers"

    def __init__(self, network: Network, loop: AgentLoop, name: str, incarnation: int) -> None:
        self.network, self.loop, self.agent_name = network, loop, name
        self.member_id = f"{name}:{incarnation}"
        self.handlers: dict[type[Any], Any] = {}
        self.errors: list[Exception] = []
        self.sent: list[object] = []
        self._calls: dict[int, asyncio.Future[object]] = {}
        self._numbers = itertools.count(1)
        # Times of the first dials by the member id that was dialled.
        self._dialled_at: dict[str, float] = {}
        network.peers[name] = self

    def on(self, kind: type[Any], handler: Any) -> None:
        self.handlers[kind] = handler

    def serve(self, handler: Any) -> None:
        pass

    def next_call(self) -> int:
        return next(self._numbers)

    def connected(self) -> tuple[str, ...]:
        return ()

    def drop(self, member_id: str) -> None:
        pass

    def retire(self, member_id: str) -> None:
        pass

    def set_incarnation(self, incarnation: int) -> None:
        self.member_id = f"{self.agent_name}:{incarnation}"

    def dial(self, member: Any) -> bool:
        target = self.network.peers.get(member.name)
        if target is None or not target.matches(member.id):
            return False
        if not self.network.connect_s:
            return True
        now = self.network.world.now
        dialled_at = self._dialled_at.setdefault(member.id, now)
        return now >= dialled_at + self.network.connect_s

    def matches(self, target_id: str) -> bool:
        """Returns whether a dialled id is this process or stands for any at its address."""
        return target_id in (self.member_id, f"{self.agent_name}:0")

    def unreachable(self, member: Any) -> bool:
        return False

    async def forward(self, member: Any, request: Any) -> Any:
        raise PeerUnavailableError("the fake forwards nothing")

    def send(self, member: Any, message: object) -> bool:
        self.sent.append(message)
        del self.sent[:-64]
        if self.network.connect_s and not self.dial(member):
            return False
        self.network.deliver(self, member.id, lambda target: target.dispatch(message))
        return True

    def reply(self, sender: str, message: object) -> bool:
        self.network.deliver(self, sender, lambda target: target.accept_reply(message))
        return True

    async def call(self, member: Any, message: object, call: int) -> object:
        reply: asyncio.Future[object] = self.loop.create_future()
        self._calls[call] = reply
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                if not self.send(member, message):
                    await asyncio.sleep(self.network.connect_s)
                    self.send(member, message)
                return await reply
        except TimeoutError:
            raise PeerTimeoutError(f"{member.id} did not reply") from None
        finally:
            self._calls.pop(call, None)

    def receive(self, target_id: str, sender_id: str, event: Callable[[FakePeers], None]) -> None:
        if self.matches(target_id):
            self._sender = sender_id
            event(self)

    def accept_reply(self, message: Any) -> None:
        pending = self._calls.get(getattr(message, "call", 0))
        if pending is None:
            self.dispatch(message)
        elif not pending.done():
            pending.set_result(message)

    def dispatch(self, message: object) -> None:
        handler = self.handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(self._sender, message)
        except Exception as error:
            self.errors.append(error)
