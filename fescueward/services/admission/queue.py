"""Requests that wait for a slot, in the order in which they run."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

from sortedcontainers import SortedDict

from ...messages import Request

# Priority, deadline and sequence number of a waiting request; the lowest gets the next slot.
QueuePosition = tuple[int, float, int]


@dataclass(frozen=True, slots=True)
class Waiter:
    """A request that waits.

    Attributes:
        request: The request.
        admitted: Done once the request has a slot or is refused.
        sequence: Number of the request among all that have waited.
    """

    request: Request
    admitted: asyncio.Future[None]
    sequence: int


class RequestQueue:
    """Waiting requests by priority and deadline; those that will be late run last."""

    def __init__(self) -> None:
        self._sequence_numbers = itertools.count()
        self._on_time: SortedDict = SortedDict()
        # Requests whose responses will be late; they run while no other request waits.
        self._late: SortedDict = SortedDict()
        # Position of each request by its sequence number.
        self._positions: dict[int, QueuePosition] = {}

    def __len__(self) -> int:
        return len(self._on_time) + len(self._late)

    @property
    def late_count(self) -> int:
        """Number of waiting requests that will be late."""
        return len(self._late)

    @property
    def has_on_time(self) -> bool:
        """Whether a request waits that can be in time."""
        return bool(self._on_time)

    def ahead_of(self, request: Request) -> int:
        """Returns how many requests run before one that would begin to wait now."""
        return self._on_time.bisect_left((request.priority, _useful_until(request), float("inf")))

    def add(self, request: Request, late: bool) -> Waiter:
        """Adds a request behind those of its priority that end earlier."""
        admitted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = Waiter(request, admitted, next(self._sequence_numbers))
        self._insert(waiter, late)
        return waiter

    def pop(self) -> Waiter:
        """Removes and returns the request that runs next."""
        position, waiter = (self._on_time or self._late).popitem(0)
        del self._positions[position[2]]
        return waiter

    def put_late(self, waiter: Waiter) -> None:
        """Adds a request again that will be late by now."""
        self._insert(waiter, late=True)

    def remove(self, waiter: Waiter) -> None:
        """Removes a request if it still waits."""
        position = self._positions.pop(waiter.sequence, None)
        if position is not None:
            self._on_time.pop(position, None)
            self._late.pop(position, None)

    def _insert(self, waiter: Waiter, late: bool) -> None:
        request = waiter.request
        until = request.deadline if late else _useful_until(request)
        position = (request.priority, until, waiter.sequence)
        self._positions[waiter.sequence] = position
        (self._late if late else self._on_time)[position] = waiter


def _useful_until(request: Request) -> float:
    return request.useful_until or request.deadline
