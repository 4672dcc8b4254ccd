"""Protocols of the request path, from routing to the run on the upstream."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager
from typing import Protocol, runtime_checkable

from ..messages import Announcement, Entry, GrantSet, Request, Response
from ..messages.peer import RetainedOutcome
from ..messages.request import Occupancy
from ..messages.upstream import UpstreamNotice


@runtime_checkable
class Router(Protocol):
    """Routes requests to the owners of their keys."""

    async def route(self, request: Request) -> Response:
        """Serves a request on this agent or forwards it to its owner.

        Raises:
            RefusalError: The request is refused.
        """
        ...


@runtime_checkable
class Execution(Protocol):
    """Runs requests on the agent that owns their keys."""

    async def execute(self, request: Request) -> Response:
        """Runs a request on the upstream of this agent.

        Raises:
            RefusalError: The request is refused.
        """
        ...


@runtime_checkable
class Admission(Protocol):
    """Admission control: slots of the upstream and limits of services."""

    def slot(self, request: Request, entry: Entry) -> AbstractAsyncContextManager[None]:
        """Returns a context that waits for a slot, in the order of deadlines, and holds it.

        Raises:
            OverloadedError: The expected wait exceeds the deadline or the queue is full.
            RateLimitedError: The rate limit of the entry is reached.
            DeadlineExceededError: The deadline passed while waiting.
        """
        ...

    def check(self, request: Request, entry: Entry) -> None:
        """Checks whether a request would be admitted, before its body is received.

        Raises:
            OverloadedError: The expected wait exceeds the deadline or the queue is full.
        """
        ...

    def begin_slow_start(self) -> None:
        """Treats the upstream as cold: the number of usable slots grows gradually."""
        ...

    def observe_announcement(self, announcement: Announcement) -> None:
        """Applies the number of slots in an announcement of the upstream."""
        ...

    @property
    def capacity(self) -> float:
        """Usable share of the slots, from 0.0 to 1.0; below 1.0 while the upstream is cold."""
        ...


@runtime_checkable
class RateControl(Protocol):
    """Rate at which runs begin on the upstream, and how long they take at present."""

    def limit_rate(self, per_second: float | None) -> None:
        """Applies the rate that the upstream takes from all agents, or None without a limit."""
        ...

    def observe_slowness(self, slowness: float) -> None:
        """Applies how long work takes at present in proportion to the usual time."""
        ...


@runtime_checkable
class SlotLoad(Protocol):
    """Occupancy of the upstream's slots."""

    @property
    def occupancy(self) -> Occupancy:
        """Numbers of running and queued requests, as counted by this agent."""
        ...


class CrashListener(Protocol):
    """Subscriber to crashes of the upstream on this VM."""

    def upstream_crashed(self) -> None:
        """Called after a crash has been counted."""
        ...


@runtime_checkable
class CrashSource(Protocol):
    """Counts crashes of the upstream on this VM and notifies listeners."""

    @property
    def crashes(self) -> int:
        """Number of upstream crashes since the start of this agent."""
        ...

    def subscribe(self, listener: CrashListener) -> None:
        """Calls the listener after each crash from now on."""
        ...


@runtime_checkable
class StartListener(Protocol):
    """Subscriber to starts of the upstream on this VM."""

    def upstream_started(self, start: str) -> None:
        """Records the identity of the upstream's current start; see `Announcement.start`."""
        ...


@runtime_checkable
class Upstream(Protocol):
    """Client of the upstream on this VM."""

    async def run(self, request: Request, shard: int, epoch: int, deadline: float) -> Response:
        """Runs a request.

        Args:
            request: The request.
            shard: Shard id.
            epoch: Epoch of the shard.
            deadline: Latest end of the run, in seconds of CLOCK_BOOTTIME.

        Raises:
            UpstreamUnavailableError: No byte reached the upstream.
            OutcomeLostError: The upstream may have run the request.
            AnswerLostError: The request ran, but its response did not arrive whole.
            RefusalError: The upstream refused the request.
        """
        ...

    async def grant(self, grants: GrantSet) -> bool:
        """Sends grants; returns whether the upstream confirmed them.

        Returns True without sending anything if the upstream does not check grants.
        """
        ...

    @property
    def crashes(self) -> int:
        """Number of upstream crashes since the start of this agent."""
        ...


class NoticeListener(Protocol):
    """Subscriber to what the upstream says of itself in its responses."""

    def upstream_noticed(self, notice: UpstreamNotice) -> None:
        """Called for each response to a request, also for a refusal."""
        ...


@runtime_checkable
class NoticeSource(Protocol):
    """Client of an upstream that says in its responses what it takes."""

    def subscribe_notices(self, listener: NoticeListener) -> None:
        """Calls the listener for each response from now on."""
        ...


@runtime_checkable
class HealthSource(Protocol):
    """Client of an upstream whose health can be checked."""

    async def check_health(self, path: str) -> UpstreamNotice:
        """Returns what the upstream says of itself at its health path.

        Each check takes time of the upstream and is charged.

        Args:
            path: Health path of the service.

        Raises:
            UpstreamUnavailableError: No byte reached the upstream.
            OutcomeLostError: The upstream has not responded in time.
        """
        ...


@runtime_checkable
class Liveness(Protocol):
    """Failure detection of the upstream on this VM, by heartbeats and connections."""

    def heartbeat_received(self) -> None:
        """Records the arrival of a heartbeat."""
        ...

    def connection_succeeded(self) -> None:
        """Records a successful connection to the upstream."""
        ...

    def connection_failed(self) -> None:
        """Records a failed connection attempt to the upstream."""
        ...


@runtime_checkable
class Outcomes(Protocol):
    """Outcomes of requests that run at most once."""

    def begin_epoch(
        self, shard: int, epoch: int, lineage: tuple[int, ...], floor: int, next_sequence: int
    ) -> None:
        """Starts an epoch of a shard.

        Args:
            shard: Shard id.
            epoch: The new epoch.
            lineage: Earlier epochs whose outcomes are complete on this agent.
            floor: Lowest token sequence whose outcome is retained.
            next_sequence: First token sequence to issue.
        """
        ...

    def end_epoch(self, shard: int) -> None:
        """Drops the outcomes of a shard that another member owns."""
        ...

    def issue(self, shard: int, epoch: int) -> str:
        """Returns a new idempotency token for the shard."""
        ...

    async def run_once(self, request: Request, shard: int, epoch: int, run: Runner) -> Response:
        """Runs a request under its token, or returns the retained response if it ran before.

        Args:
            request: The request with its token.
            shard: Shard id of the request's key.
            epoch: Current epoch of the shard.
            run: Runs the request on the upstream.

        Raises:
            InProgressError: A request with this token is running.
            OutcomeLostError: It is unknown whether the request ran.
            AnswerNotRetainedError: The request ran and its response is no longer retained.
            RefusalError: `run` refused the request.
        """
        ...

    def export(self, shard: int) -> ShardOutcomes:
        """Returns all retained outcomes of a shard, for its successor."""
        ...

    def import_outcomes(self, shard: int, outcomes: tuple[RetainedOutcome, ...]) -> None:
        """Adds outcomes that the previous owner of a shard retained."""
        ...


class Runner(Protocol):
    """Runs one request on the upstream."""

    async def __call__(self, request: Request) -> Response:
        """Runs a request and returns its response; raises `RefusalError`."""
        ...


class ShardOutcomes(Protocol):
    """Outcomes of a shard's tokens, for the successor of the shard.

    Attributes:
        lineage: Epochs whose outcomes are complete in `outcomes`.
        next_sequence: First token sequence that the successor may issue.
        floor: Lowest token sequence whose outcome is retained.
        outcomes: The retained outcomes.
    """

    lineage: tuple[int, ...]
    next_sequence: int
    floor: int
    outcomes: tuple[RetainedOutcome, ...]


@runtime_checkable
class Quarantine(Protocol):
    """Quarantine of requests that were in flight during upstream crashes."""

    def guard(self, request: Request) -> AbstractAsyncContextManager[Request]:
        """Returns a context for one run; a suspect waits in it until no other suspect runs.

        The context yields the request to run, whose body may have been read in part. An
        `OutcomeLostError`, `AnswerLostError`, `BodyTruncatedError` or
        `DeadlineExceededRunningError` raised in the context counts as a crash of the upstream if
        the upstream reports a crash at that time or before another run succeeds.

        Raises:
            QuarantinedError: The request was in flight during too many crashes.
            DeadlineExceededError: The deadline passed while the request waited for another
                suspect or for the beginning of its body.
        """
        ...
