"""What callers, upstreams and the operator saw; all times are seconds of `time.monotonic`."""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass, field

ANSWER_BYTES = 2_000
# Name of the disturbance of an agent that the machine gives too little processor time.
STARVED = "starved"


def answer_body(request_id: str) -> bytes:
    """Returns the whole body that every upstream answers to a request."""
    digest = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (digest * (ANSWER_BYTES // len(digest) + 1))[:ANSWER_BYTES]


def receipt(instance: str, request_id: str, status: int) -> str:
    """Returns the proof that an upstream adds to its answer."""
    return f"{instance}.{request_id}.{status}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One request of a caller, from the first byte to the end.

    Attributes:
        id: Id of the request.
        agent: Name of the agent that it was sent to.
        life: Number of the agent's start to which the connection belongs.
        route: Name of the route.
        repeatable: Whether it may run more than once.
        key: Its key, or None.
        sent: When it was sent.
        ended: When the answer was complete or the connection ended.
        timeout_s: How long the caller waits.
        status: Status of the answer, 0 without one.
        receipt: Proof of the upstream, empty without one.
        echo: Request id that the answer names.
        whole: Whether the body is the whole body of the upstream's answer.
        connected: Whether a connection could be made.
        error: Why there is no answer.
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
        """Whether the answer is a success of an upstream."""
        return 200 <= self.status < 300 and bool(self.receipt)


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """Work of an upstream on one request.

    Attributes:
        id: Id of the request.
        instance: Start of the upstream.
        machine: Machine of the upstream.
        key: Key of the request, or None.
        started: When the work began.
        ended: When it ended.
        status: Status of the answer; 0 if the upstream sent none.
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
    """A span of time in which one start of an upstream held a range of keys.

    Attributes:
        service: Service of the keys.
        instance: Start of the upstream.
        machine: Its machine.
        first: Lowest key.
        last: Highest key.
        fence: Epoch of the grant.
        since: Arrival of the first grant.
        until: End by time, release or end of the upstream.
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
    """An acknowledged report that an upstream leaves.

    Attributes:
        instance: Start of the upstream.
        machine: Its machine, whose agent acknowledged.
        acknowledged: When the acknowledgement arrived.
    """

    instance: str
    machine: str
    acknowledged: float


class Signal(enum.StrEnum):
    """What the operator does to an agent."""

    START = "start"
    TERM = "term"
    KILL = "kill"
    PAUSE = "pause"
    CONTINUE = "continue"
    HANGUP = "hangup"
    # The process ended; `forced` tells whether the operator had to kill it.
    EXIT = "exit"


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessEvent:
    """A signal to an agent, or its start or end.

    Attributes:
        agent: Name of the agent.
        life: Number of its start.
        signal: What happened.
        at: When.
        forced: For an exit, whether the grace time was over.
        code: For an exit, the status of the process.
    """

    agent: str
    life: int
    signal: Signal
    at: float
    forced: bool = False
    code: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Disturbance:
    """An unplanned fault outside of the agents.

    Attributes:
        machine: Machine that it concerns; empty for all.
        since: Begin.
        until: End.
        what: Name of the fault.
        store: Whether it concerns the store or the way to it only.
    """

    machine: str
    since: float
    until: float
    what: str
    store: bool = False


@dataclass(frozen=True, slots=True)
class Stall:
    """A time in which the event loop of upstreams, store and callers stood still.

    What they note in it is late. The start of a process on a busy machine is such a time.

    Attributes:
        since: When the loop should have run.
        until: When it ran.
    """

    since: float
    until: float


@dataclass(slots=True)
class Evidence:
    """Everything that is judged; callers, upstreams and the operator append to it.

    Attributes:
        attempts: Requests of the callers that have ended.
        runs: Work of the upstreams that has ended.
        holds: Keys that upstreams held, up to now.
        departures: Acknowledged reports of leaving.
        processes: Signals, starts and ends of agents.
        disturbances: Unplanned faults.
        stalls: Times in which the emulator stood still.
        versions: Version of the configuration that each route of `versioned_route` tells.
    """

    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    holds: list[Hold] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    processes: list[ProcessEvent] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    stalls: list[Stall] = field(default_factory=list)
    versions: dict[str, int] = field(default_factory=dict)
