"""Tells whether connections to one address reach the same process."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import contextmanager
from contextvars import ContextVar
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

# A connection that was silent for longer may have lost its end on the way.
_MAX_SILENCE_S = 1.5

_required_process: ContextVar[int | None] = ContextVar("required_process", default=None)


class TrackedConnection(Protocol):
    """A connection whose process is tracked."""

    def is_connected(self) -> bool:
        """Returns whether the connection is open."""
        ...


class ServerProcesses:
    """Numbers the processes that accept connections at an address.

    A connection ends with the process that accepted it, and a process accepts connections until it
    ends. So a new connection reaches the same process as an earlier one that is still open. If
    there is none, the server may have been restarted, also within milliseconds, and the number
    increases.

    Args:
        now: Returns the time in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._current = 1
        self._has_connected = False
        # Process and time of the last sign of life of each open connection.
        self._connections: dict[TrackedConnection, tuple[int, float]] = {}

    @property
    def current(self) -> int:
        """Number of the process that the newest connection reached or the first will reach."""
        return self._current

    def identify(self, connection: TrackedConnection) -> int:
        """Returns the number of the process that a connection reaches.

        A new connection must be identified once the ends of others have been processed that
        arrived before it was accepted.
        """
        known = self._connections.get(connection)
        if known is not None:
            return known[0]
        if self._has_connected and not any(map(self._is_witness, self._connections)):
            self._current += 1
        self._has_connected = True
        if connection.is_connected():
            self._connections[connection] = (self._current, self._now())
        return self._current

    def is_identified(self, connection: TrackedConnection) -> bool:
        """Returns whether the process of a connection is known."""
        return connection in self._connections

    def responded(self, connection: TrackedConnection) -> None:
        """Records a response on a connection."""
        known = self._connections.get(connection)
        if known is not None:
            self._connections[connection] = (known[0], self._now())

    def ended(self, connection: TrackedConnection) -> None:
        """Records the end of a connection."""
        self._connections.pop(connection, None)

    def _is_witness(self, connection: TrackedConnection) -> bool:
        process, seen_at = self._connections[connection]
        return (
            process == self._current
            and connection.is_connected()
            and self._now() - seen_at <= _MAX_SILENCE_S
        )


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
