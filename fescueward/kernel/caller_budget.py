"""Memory for what all connections hold together of heads and responses."""

from __future__ import annotations

from typing import Protocol

from .memory import memory_share

# Share of the memory of the process, beside the shares of `BodyBudget`.
_SHARE = 0.25


class Evictable(Protocol):
    """A connection that can be closed to free the memory that it holds."""

    def evict(self) -> None:
        """Resets the connection."""
        ...


class CallerBudget:
    """Limit on unparsed bytes and unsent responses of all connections of callers.

    Answers callers that send heads without end or read no responses: above the limit the
    connection that holds most is reset, which promises its caller nothing. Responses on their way
    to other agents count as well.

    Args:
        memory_bytes: Memory of the process, in bytes.
    """

    def __init__(self, memory_bytes: int) -> None:
        self._max_bytes = memory_share(memory_bytes, _SHARE)
        self._total_bytes = 0
        self._sizes: dict[Evictable, int] = {}

    @property
    def total_bytes(self) -> int:
        """Bytes that all connections hold."""
        return self._total_bytes

    def update(self, connection: Evictable, size: int) -> None:
        """Records that a connection holds `size` bytes; 0 removes it."""
        self._total_bytes += size - self._sizes.pop(connection, 0)
        if size:
            self._sizes[connection] = size
        while self._total_bytes > self._max_bytes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self._total_bytes -= self._sizes.pop(largest)
            largest.evict()
