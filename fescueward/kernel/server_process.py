"""Tells whether connections to one address reach the same process."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass, replace
from typing import Protocol

# Time in which an earlier connection has to respond; then a new one counts as another process.
_MAX_UNKNOWN_S = 0.3

_required_process: ContextVar[int | None] = ContextVar("required_process", default=None)


class TrackedConnection(Protocol):
    """A connection whose process is tracked."""

    def is_connected(self) -> bool:
        """Returns whether the connection is open."""
        ...


@dataclass(frozen=True, slots=True)
class _Tracked:
    """What is known of a connection.

    Attributes:
        opened: Number of the event of its opening.
        unknown_since: Time since which its process is unknown, in seconds.
        process: Number of its process, or None while unknown.
        request: Number of the event of the last request on it.
    """

    opened: int
    unknown_since: float
    process: int | None = None
    request: int = 0


class ServerProcesses:
    """Numbers the processes that accept connections at an address.

    A connection ends with the process that accepted it, and a process accepts connections until it
    ends. So a new connection reaches the process of an earlier one that responds to a request that
    was sent after the opening of the new one. An open connection alone proves nothing: its end can
    be lost. If none responds, the server may have been restarted, also within milliseconds, and
    the number increases.

    Args:
        now: Returns the time in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._current = 1
        self._has_connected = False
        self._events = itertools.count(1)
        self._connections: dict[TrackedConnection, _Tracked] = {}
        # Those whose process is unknown.
        self._unknown: set[TrackedConnection] = set()

    @property
    def current(self) -> int:
        """Number of the newest known process, or of the one that is connected to first."""
        return self._current

    def opened(self, connection: TrackedConnection) -> None:
        """Records a new connection."""
        self._connections[connection] = _Tracked(next(self._events), self._now())
        self._unknown.add(connection)
        if not self._has_connected:
            self._has_connected = True
            self._set_process(connection, self._current)

    def requested(self, connection: TrackedConnection) -> None:
        """Records that a request is sent on a connection."""
        tracked = self._connections.get(connection)
        if tracked is not None:
            self._connections[connection] = replace(tracked, request=next(self._events))

    def responded(self, connection: TrackedConnection) -> None:
        """Records a response; it proves the process of connections opened before its request."""
        responding = self._connections.get(connection)
        if responding is None or responding.process != self._current:
            return
        for other in tuple(self._unknown):
            if self._connections[other].opened < responding.request:
                self._set_process(other, self._current)

    def ended(self, connection: TrackedConnection) -> None:
        """Records the end of a connection."""
        self._connections.pop(connection, None)
        self._unknown.discard(connection)

    def process_of(self, connection: TrackedConnection) -> int | None:
        """Returns the number of the process that a connection reaches, or None while unknown."""
        tracked = self._connections.get(connection)
        if tracked is None:
            return None
        if tracked.process is None and (
            not self._has_witness() or self._now() - tracked.unknown_since > _MAX_UNKNOWN_S
        ):
            self._begin_process(connection, tracked)
            return self._current
        return tracked.process

    def _has_witness(self) -> bool:
        return any(
            tracked.process == self._current and connection.is_connected()
            for connection, tracked in self._connections.items()
        )

    def _begin_process(self, connection: TrackedConnection, tracked: _Tracked) -> None:
        self._current += 1
        self._set_process(connection, self._current)
        now = self._now()
        for other in tuple(self._unknown):
            other_tracked = self._connections[other]
            # One that was opened before may still reach the earlier process.
            if other_tracked.opened < tracked.opened:
                self._set_process(other, self._current - 1)
            else:
                self._connections[other] = replace(other_tracked, unknown_since=now)

    def _set_process(self, connection: TrackedConnection, process: int) -> None:
        self._unknown.discard(connection)
        self._connections[connection] = replace(self._connections[connection], process=process)


@contextmanager
def requiring_process(process: int) -> Iterator[None]:
    """Lets the requests of this block be sent to one process only; see `ServerProcesses`."""
    token = _required_process.set(process)
    try:
        yield
    finally:
        _required_process.reset(token)


def required_process() -> int | None:
    """Returns the process that a request of this context may be sent to, or None for any."""
    return _required_process.get()
