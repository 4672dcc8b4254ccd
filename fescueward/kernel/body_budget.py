"""Memory for the request bodies that an agent holds whole."""

from __future__ import annotations

from types import TracebackType

from .errors import OverloadedError

# Shares of the memory of the process. A body is in memory twice while its parts are joined.
_LARGE_SHARE = 0.2
_SMALL_SHARE = 0.1
# Bodies up to this size have a share of their own, so that they pass beside a large one.
_MAX_SMALL_BYTES = 1 << 20
_RETRY_AFTER_S = 0.5


class BodyHolding:
    """Memory held for one body; a context manager that releases it.

    Args:
        budget: The budget that it belongs to.
    """

    __slots__ = ("_budget", "_size")

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._size = 0

    def __enter__(self) -> BodyHolding:
        """Returns the holding."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Releases the memory."""
        self._budget.replace(self._size, 0)

    def grow_to(self, size: int) -> None:
        """Holds memory for `size` bytes; a smaller size changes nothing.

        Raises:
            OverloadedError: They do not fit beside the other bodies.
        """
        if size > self._size:
            self._budget.replace(self._size, size)
            self._size = size


class BodyBudget:
    """Limit on the bytes of all request bodies that are held at a time.

    A single large body is always accepted, because callers may send bodies up to a limit of their
    own.

    Args:
        memory_bytes: Memory of the process, in bytes.
    """

    def __init__(self, memory_bytes: int) -> None:
        self._max_large_bytes = int(memory_bytes * _LARGE_SHARE)
        self._max_small_bytes = int(memory_bytes * _SMALL_SHARE)
        self._large_bytes = 0
        self._small_bytes = 0

    def hold(self, size: int) -> BodyHolding:
        """Holds memory for a body of `size` bytes, which may grow.

        Raises:
            OverloadedError: It does not fit beside the other bodies.
        """
        holding = BodyHolding(self)
        holding.grow_to(size)
        return holding

    def replace(self, before: int, after: int) -> None:
        """Holds `after` bytes for a body in place of `before` bytes.

        Raises:
            OverloadedError: They do not fit; what was held stays held.
        """
        small_bytes = self._small_bytes + _small(after) - _small(before)
        large_bytes = self._large_bytes + _large(after) - _large(before)
        small_fits = small_bytes <= max(self._max_small_bytes, self._small_bytes)
        is_only_large = large_bytes == _large(after)
        large_fits = large_bytes <= max(self._max_large_bytes, self._large_bytes)
        if not small_fits or not (large_fits or is_only_large):
            raise OverloadedError(
                "too many request bodies are in memory", retry_after_s=_RETRY_AFTER_S
            )
        self._small_bytes, self._large_bytes = small_bytes, large_bytes


def _small(size: int) -> int:
    return size if size <= _MAX_SMALL_BYTES else 0


def _large(size: int) -> int:
    return size if size > _MAX_SMALL_BYTES else 0
