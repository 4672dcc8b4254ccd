"""The request path as the services see it."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager
from typing import Protocol, runtime_checkable

from ..messages import Announcement, Entry, GrantSet, Request, Response
from ..messages.peer import RetainedOutcome
from ..messages.request import Occupancy


@runtime_checkable
class Router(Protocol):
    """Finds the owner of a key."""

    async def route(self, request: Request) -> Response:
        """Serves a request here or at its owner.

        Raises:
            RefusalError: The request is refused.
        """
        ...


@runtime_checkable
class Execution(Protocol):
    """The owner's side of a request."""

    async def execute(self, request: Request) -> Response:
        """Runs a request on the upstream of this agent.

        Raises:
            RefusalError: The request is refused.
        """
        ...


@runtime_checkable
class Admission(Protocol):
    """Slots and limits of the upstream."""

    def slot(self, request: Request, entry: Entry) -> AbstractAsyncContextManager[None]:
        """Waits for a slot in the order of deadlines.

        Raises:
            OverloadedError: The expected wait exceeds the deadline or the queue is full.
            RateLimitedError: The rate limit of the entry is reached.
            DeadlineExceededError: The deadline passed while waiting.
        """
        ...

    def begin_slow_start(self) -> None:
        """Treats the upstream as cold: its slots come into use gradually."""
        ...

    def observe_announcement(self, announcement: Announcement) -> None:
        """Takes over the number of slots that the upstream announced."""
        ...

    @property
    def capacity(self) -> float:
        """Usable share of the slots; below 1.0 while the upstream is cold."""
        ...


@runtime_checkable
class SlotLoad(Protocol):
    """Load of the upstream's slots."""

    @property
    def occupancy(self) -> Occupancy:
        """Requests that run and wait, as this agent counts them."""
        ...


class CrashListener(Protocol):
    """A service that is told of crashes of the upstream beside this agent."""

    def upstream_crashed(self) -> None:
        """Called after each crash was counted."""
        ...


@runtime_checkable
class CrashSource(Protocol):
    """Tells of crashes of the upstream beside this agent."""

    @property
    def crashes(self) -> int:
        """Number of upstream crashes seen so far."""
        ...

    def subscribe(self, listener: CrashListener) -> None:
        """Tells a service of crashes from now on."""
        ...


@runtime_checkable
class StartListener(Protocol):
    """A service that is told of the starts of the upstream beside this agent."""

    def started(self, start: str) -> None:
        """Takes note of the start that the upstream names; see `Announcement.start`."""
        ...


@runtime_checkable
class Upstream(Protocol):
    """The upstream beside this agent."""

    async def run(self, request: Request, shard: int, epoch: int, deadline: float) -> Response:
        """Runs a request.

        Args:
            request: The request.
            shard: Shard id.
            epoch: Epoch of the shard.
            deadline: Latest end of the run, in seconds of CLOCK_BOOTTIME.

        Raises:
            UpstreamUnavailableError: No byte reached the upstream.
            OutcomeLostError: The upstream may have run it.
            AnswerLostError: It ran, but its response did not arrive whole.
            RefusalError: The upstream refused it.
        """
        ...

    async def grant(self, grants: GrantSet) -> bool:
        """Sends grants; tells whether the upstream confirmed them.

        Does nothing and returns True if the upstream checks no grants.
        """
        ...

    @property
    def crashes(self) -> int:
        """Number of upstream crashes seen so far."""
        ...


@runtime_checkable
class Liveness(Protocol):
    """Signs of life of the upstream beside this agent."""

    def heartbeat_received(self) -> None:
        """Takes note of a heartbeat."""
        ...

    def connected(self) -> None:
        """Takes note of a connection that works."""
        ...

    def unreachable(self) -> None:
        """Takes note of a connection that could not be made."""
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
            lineage: Earlier epochs whose outcomes are known here completely.
            floor: Lowest sequence whose outcome is retained.
            next_sequence: First sequence to issue.
        """
        ...

    def end_epoch(self, shard: int) -> None:
        """Forgets a shard that is owned elsewhere."""
        ...

    def issue(self, shard: int, epoch: int) -> str:
        """Returns a new token."""
        ...

    async def run_once(self, request: Request, shard: int, epoch: int, run: Runner) -> Response:
        """Runs a request under its token unless it ran before.

        Args:
            request: The request with its token.
            shard: Shard id of the request's key.
            epoch: Present epoch of the shard.
            run: Runs the request on the upstream.

        Raises:
            InProgressError: It is running.
            OutcomeLostError: Whether it ran is not known here.
            AnswerNotRetainedError: It ran and its response is no longer kept.
            RefusalError: `run` refused it.
        """
        ...

    def export(self, shard: int) -> ShardOutcomes:
        """Returns all outcomes of a shard for its successor."""
        ...

    def import_outcomes(self, shard: int, outcomes: tuple[RetainedOutcome, ...]) -> None:
        """Takes over the outcomes of a shard."""
        ...


class Runner(Protocol):
    """Runs one request on the upstream."""

    async def __call__(self, request: Request) -> Response:
        """Runs it; raises `RefusalError`."""
        ...


class ShardOutcomes(Protocol):
    """What a successor needs to know of a shard.

    Attributes:
        lineage: Epochs whose outcomes are complete.
        next_sequence: First sequence that may be issued.
        floor: Lowest sequence whose outcome is retained.
        outcomes: The outcomes.
    """

    lineage: tuple[int, ...]
    next_sequence: int
    floor: int
    outcomes: tuple[RetainedOutcome, ...]


@runtime_checkable
class Quarantine(Protocol):
    """Requests that were in flight in upstream crashes."""

    def guard(self, request: Request) -> AbstractAsyncContextManager[Request]:
        """Watches one run: a suspect waits until no other suspect runs.

        The context gives the request to run, whose body may have been read in part. An
        `OutcomeLostError`, `AnswerLostError`, `BodyTruncatedError` or
        `DeadlineExceededRunningError` that leaves the context counts as a crash of the upstream
        if the upstream reports one, then or before another run succeeds.

        Raises:
            QuarantinedError: The request was in flight in too many crashes.
            DeadlineExceededError: The deadline passed while it waited for another suspect or
                for the beginning of its body.
        """
        ...
