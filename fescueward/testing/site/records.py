"""Evidence recorded by callers, upstreams and the operator.

All times are in seconds of `time.monotonic`.
"""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass, field

RESPONSE_BODY_BYTES = 2_000
# `Disturbance.what` of an agent that waited too long for a processor.
STARVED = "starved"


def response_body(request_id: str) -> bytes:
    """Returns the complete body of every upstream's response to a request."""
    digest = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (digest * (RESPONSE_BODY_BYTES // len(digest) + 1))[:RESPONSE_BODY_BYTES]


def receipt(instance: str, request_id: str, status: int) -> str:
    """Returns the receipt header that an upstream adds to its response."""
    return f"{instance}.{request_id}.{status}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One completed request of a caller.

    Attributes:
        id: Id of the request.
        agent: Name of the agent that it was sent to.
        life: Start number of the agent process when the request was sent.
        route: Name of the route.
        repeatable: Whether it is idempotent, so that it may run more than once.
        key: Its key, or None.
        sent: When it was sent.
        ended: When the response was complete or the request failed.
        timeout_s: Timeout of the caller, in seconds.
        status: Status of the response, 0 without one.
        receipt: Receipt of the upstream, empty without one.
        echo: Request id in the response, empty without one.
        whole: Whether the body equals the complete body of the upstream's response.
        connected: Whether the connection was established.
        error: Class name of the error, empty if there is a response.
    """

    id: str
    agent: str
    life: int
    route: str
    repeatable: bool
    key: int | None = None
    sent: float
    ended: float
    timeout_s: float
    status: int = 0
    receipt: str = ""
    echo: str = ""
    whole: bool = False
    connected: bool = True
    error: str = ""

    @property
    def served(self) -> bool:
        """Whether an upstream responded with a 2xx status."""
        return 200 <= self.status < 300 and bool(self.receipt)


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """One execution of a request by an upstream.

    Attributes:
        id: Id of the request.
        instance: Start id of the upstream, `INSTANCE@START_MS`.
        machine: Machine of the upstream.
        key: Key of the request, or None.
        started: When the execution began.
        ended: When it ended.
        status: Status of the response; 0 if the upstream sent none.
    """

    id: str
    instance: str
    machine: str
    key: int | None = None
    started: float
    ended: float
    status: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Hold:
    """A key range held by one start of an upstream for a period of time.

    Attributes:
        service: Service of the keys.
        instance: Start id of the upstream.
        machine: Machine of the upstream.
        first: Lowest key.
        last: Highest key, inclusive.
        fence: Epoch of the grant.
        since: When the first grant arrived.
        until: When the grant expired or was released, or when the upstream stopped.
    """

    service: str
    instance: str
    machine: str
    first: int
    last: int
    fence: int
    since: float
    until: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Departure:
    """A report of an upstream that it is draining.

    Attributes:
        instance: Start id of the upstream.
        machine: Its machine, whose agent acknowledged the report or got it in a response.
        acknowledged: When the acknowledgement arrived or the first such response was sent.
        in_response: Whether a response said it, so that each agent that passed one on is bound.
    """

    instance: str
    machine: str
    acknowledged: float
    in_response: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Evacuation:
    """A period in which the operator has a failure domain evacuated.

    Attributes:
        domain: The failure domain.
        machines: Its machines.
        acknowledged: When the store acknowledged the request.
        removed: When the operator took it back.
    """

    domain: str
    machines: tuple[str, ...]
    acknowledged: float
    removed: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A request that reached an upstream, also one that it refused.

    Attributes:
        instance: Start id of the upstream.
        at: When it arrived.
    """

    instance: str
    at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RateLimit:
    """A period in which an upstream named the same limit in all its responses.

    Attributes:
        instance: Start id of the upstream.
        per_second: The limit in requests per second.
        since: When its first response named the limit.
        until: When its last response named it.
    """

    instance: str
    per_second: float
    since: float
    until: float


class Signal(enum.StrEnum):
    """Signals that the operator sends to an agent, and changes of its process state."""

    START = "start"
    TERM = "term"
    KILL = "kill"
    PAUSE = "pause"
    CONTINUE = "continue"
    HANGUP = "hangup"
    # The process ended; `ProcessEvent.forced` is set if it ran past the grace time.
    EXIT = "exit"


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessEvent:
    """A signal sent to an agent process, or its start or exit.

    Attributes:
        agent: Name of the agent.
        life: Start number of the agent process.
        signal: The signal or state change.
        at: When it happened.
        forced: For an exit, whether the operator killed the process after the grace time.
        code: For an exit, the exit status of the process.
    """

    agent: str
    life: int
    signal: Signal
    at: float
    forced: bool = False
    code: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Disturbance:
    """An injected or observed fault outside the agent processes.

    Attributes:
        machine: Affected machine; empty for all.
        since: When it began.
        until: When it ended.
        what: Name of the fault.
        store: Whether it affects only the store or the connections to it.
    """

    machine: str
    since: float
    until: float
    what: str
    store: bool = False


@dataclass(frozen=True, slots=True)
class Stall:
    """A period in which the event loop of upstreams, store and callers was blocked.

    Timestamps recorded during a stall are late. Starting a process on a busy machine causes one.

    Attributes:
        since: When the event loop was due to run.
        until: When it ran.
    """

    since: float
    until: float


@dataclass(slots=True)
class Evidence:
    """Input of the judge; callers, upstreams and the operator append to it.

    Attributes:
        attempts: Completed requests of the callers.
        runs: Completed executions by the upstreams.
        holds: Ended holds of key ranges by upstreams.
        departures: Reports of upstreams that they leave, acknowledged or in their responses.
        evacuations: Ended evacuations of failure domains.
        arrivals: Requests that reached upstreams while these named limits.
        rate_limits: Ended periods of limits that upstreams named.
        processes: Signals, starts and exits of agents.
        disturbances: Faults outside the agent processes.
        stalls: Periods in which the event loop of the emulator was blocked.
        versions: Configuration version that contains the route, by route of `versioned_route`.
    """

    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    holds: list[Hold] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    rate_limits: list[RateLimit] = field(default_factory=list)
    processes: list[ProcessEvent] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    stalls: list[Stall] = field(default_factory=list)
    versions: dict[str, int] = field(default_factory=dict)
