"""Requests and responses as the services pass them on, apart from any protocol."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from dataclasses import dataclass
from typing import Protocol

Headers = tuple[tuple[str, str], ...]


class Body(Protocol):
    """The bytes of a request or response, read once in order.

    Attributes:
        length: Number of bytes if it is known, else None.
        started: Whether any byte has been read, so that the body cannot be sent again.
    """

    length: int | None
    started: bool

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields the bytes. Raises if the body ends early."""
        ...

    async def close(self) -> None:
        """Gives back what the body holds. A body that is not read to its end needs it."""
        ...


class BytesBody:
    """A body that is held in memory and can be read again."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.length: int | None = len(data)
        self.started = False

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields the bytes in one piece."""
        if self.data:
            yield self.data

    async def close(self) -> None:
        """Does nothing."""


@dataclass(frozen=True, slots=True)
class Occupancy:
    """Load of one upstream as the agent beside it counts it.

    Attributes:
        running: Requests that run.
        waiting: Requests that wait for a slot.
        slots: Requests that may run at a time.
        run_ms: Mean time of a run in milliseconds.
    """

    running: int
    waiting: int
    slots: int
    run_ms: float


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller.

    Attributes:
        id: Request id, from the caller or made by the front end.
        service: Service it is for.
        key: Key it is for.
        method: HTTP method.
        path: Path and query below the service.
        headers: Headers to pass on.
        body: Its body.
        deadline: Latest useful time in seconds of CLOCK_BOOTTIME on this VM.
        token: Idempotency token, or None.
        forwarded_by: Member id of the agent that forwarded it here, or None.
        caller: Service beside which the request began, or empty.
        priority: Rank of the request; 0 is served first.
        repeatable: Whether it may run more than once; decides nothing for entries, whose class
            does.
        repeated: Whether an upstream may have seen this request before.
        attempts: Most upstreams that it may be sent to.
        useful_until: Time until which an answer has its full value, in seconds of CLOCK_BOOTTIME
            on this VM; None means until the deadline.
        route: Name of the route that it matched, or empty.
    """

    id: str
    service: str
    key: str
    method: str
    path: str
    headers: Headers
    body: Body
    deadline: float
    token: str | None = None
    forwarded_by: str | None = None
    caller: str = ""
    priority: int = 0
    repeatable: bool = False
    repeated: bool = False
    attempts: int = 1
    useful_until: float | None = None
    route: str = ""


@dataclass(frozen=True, slots=True)
class Response:
    """The response to one request.

    Attributes:
        request_id: Id of the request it answers.
        status: HTTP status.
        headers: Headers to pass back.
        body: Its body.
        served_by: Member id of the owner that ran the request.
        epoch: Epoch of the shard that the request ran under.
        occupancy: Load of the upstream's slots when it answered, or None.
    """

    request_id: str
    status: int
    headers: Headers
    body: Body
    served_by: str = ""
    epoch: int = 0
    occupancy: Occupancy | None = None
