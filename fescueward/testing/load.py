"""Load generator: callers that send requests to agents and record each answer."""

from __future__ import annotations

import asyncio
import enum
import random
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from functools import cache
from itertools import accumulate, pairwise
from pathlib import Path
from typing import Annotated, Protocol

import msgspec
import typer

from ..kernel.clock import BootClock
from ..kernel.errors import Outcome
from ..messages.codec import encode_json
from ..messages.request import Headers
from .callers import (
    TOKEN_REQUIRED,
    UNREACHABLE,
    Caller,
    CallerAnswer,
    CallerRequest,
    new_request_id,
)
from .errors import JournalError
from .program import run_program

RESEND_PAUSE_S = 0.05


class KeyDistribution(Protocol):
    """Chooses the key of each request."""

    def key(self, draw: random.Random, elapsed_s: float) -> str:
        """Returns a key.

        Args:
            draw: Source of randomness.
            elapsed_s: Seconds since the load began.
        """
        ...


@dataclass(frozen=True, slots=True)
class UniformKeys:
    """All keys alike.

    Attributes:
        count: Number of keys.
    """

    count: int

    def key(self, draw: random.Random, elapsed_s: float) -> str:
        """Returns a key."""
        return f"key-{draw.randrange(self.count)}"


@dataclass(frozen=True, slots=True)
class ZipfKeys:
    """The key of rank r is chosen in proportion to `1 / r ** exponent`.

    Attributes:
        count: Number of keys.
        exponent: Skew.
    """

    count: int
    exponent: float = 1.1

    def key(self, draw: random.Random, elapsed_s: float) -> str:
        """Returns a key."""
        weights = _zipf_weights(self.count, self.exponent)
        return f"key-{bisect_left(weights, draw.random() * weights[-1])}"


@dataclass(frozen=True, slots=True)
class MovingHotKey:
    """One key takes a share of the requests and another follows it after each period.

    Attributes:
        count: Number of keys.
        share: Share of the hot key, from 0 to 1; the rest is spread over all keys alike.
        period_s: Seconds that a key stays hot.
    """

    count: int
    share: float = 0.5
    period_s: float = 10.0

    def key(self, draw: random.Random, elapsed_s: float) -> str:
        """Returns a key."""
        if draw.random() < self.share:
            return self.hot_key(elapsed_s)
        return f"key-{draw.randrange(self.count)}"

    def hot_key(self, elapsed_s: float) -> str:
        """Returns the key that is hot at a time."""
        return f"key-{int(elapsed_s / self.period_s) % self.count}"


@cache
def _zipf_weights(count: int, exponent: float) -> tuple[float, ...]:
    return tuple(accumulate(1 / rank**exponent for rank in range(1, count + 1)))


class Sink(Protocol):
    """What a pace drives."""

    @property
    def active(self) -> bool:
        """Whether more requests are wanted."""
        ...

    async def send(self, begun_s: float) -> bool:
        """Sends one request and records its answers.

        Args:
            begun_s: Time at which it was due, in seconds of CLOCK_BOOTTIME.

        Returns:
            Whether it succeeded.
        """
        ...

    def skip(self) -> None:
        """Counts a request that was due and not sent."""
        ...


class Pace(Protocol):
    """Decides when requests are sent."""

    async def drive(self, sink: Sink) -> None:
        """Sends requests until the sink wants no more."""
        ...


@dataclass(frozen=True, slots=True)
class ClosedLoop:
    """Callers that each send the next request after the last answer.

    Attributes:
        callers: Number of callers.
        pause_s: Pause of a caller after each success, in seconds.
        failure_pause_s: Pause after each failure, in seconds. Without one, callers of an agent
            that refuses connections take a whole core.
    """

    callers: int
    pause_s: float = 0.0
    failure_pause_s: float = 0.01

    async def drive(self, sink: Sink) -> None:
        """Sends requests until the sink wants no more."""

        async def call() -> None:
            clock = BootClock()
            while sink.active:
                succeeded = await sink.send(clock.now())
                await clock.sleep(self.pause_s if succeeded else self.failure_pause_s)

        async with asyncio.TaskGroup() as callers:
            for _ in range(self.callers):
                callers.create_task(call())


@dataclass(frozen=True, slots=True)
class OpenLoop:
    """Requests at a mean rate with exponential gaps, whatever the answers take.

    A request counts from when it was due, so that a stalled generator does not hide latency.

    Attributes:
        rate: Requests per second.
        most_outstanding: Requests without an answer; those due beyond it are skipped.
        seed: Seed of the gaps.
    """

    rate: float
    most_outstanding: int = 2000
    seed: int = 0

    async def drive(self, sink: Sink) -> None:
        """Sends requests until the sink wants no more."""
        clock = BootClock()
        draw = random.Random(self.seed)
        outstanding: set[asyncio.Task[bool]] = set()
        due_s = clock.now()
        async with asyncio.TaskGroup() as requests:
            while sink.active:
                if len(outstanding) >= self.most_outstanding:
                    sink.skip()
                else:
                    task = requests.create_task(sink.send(due_s))
                    outstanding.add(task)
                    task.add_done_callback(outstanding.discard)
                due_s += draw.expovariate(self.rate)
                await clock.sleep(max(0.0, due_s - clock.now()))


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """What a load generator sends.

    Attributes:
        targets: URLs of agents, used in turn.
        service: Service of the requests.
        keys: Distribution of the keys.
        pace: When requests are sent.
        duration_s: Seconds after which no more request is begun.
        most_requests: Number of requests after which no more is begun.
        method: HTTP method.
        path: Path below the service.
        query: Query; see `fescueward.testing.upstream`.
        body: Body of each request.
        deadline_ms: Deadline of each attempt, or None for the one of the entry.
        timeout_s: Seconds after which a caller gives up on an attempt.
        resends: Times that a failed request is sent again, with its token if it has one.
        seed: Seed of the choice of keys.
    """

    targets: tuple[str, ...]
    service: str
    keys: KeyDistribution
    pace: Pace
    duration_s: float
    most_requests: int = 1_000_000
    method: str = "GET"
    path: str = ""
    query: Headers = ()
    body: bytes = b""
    deadline_ms: int | None = None
    timeout_s: float = 15.0
    resends: int = 0
    seed: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """One attempt of a request. Times are seconds of CLOCK_BOOTTIME.

    Attributes:
        begun_s: When the request was due; the same for all its attempts.
        start_s: When this attempt was sent.
        end_s: When its answer was complete or given up.
        final: Whether this is the last attempt of the request.
        target: URL that it was sent to.
        request_id: Id of the attempt.
        key: Key of the request.
        token: Idempotency token, or None.
        status: HTTP status, 0 without an answer.
        label: Label of the refusal or failure, empty for an answer of the upstream.
        outcome: What the caller knows about the run, None for an answer of the upstream.
        served_by: Name of the upstream that ran it, if the answer tells.
        run_request_id: Id of the attempt that ran, if the answer tells.
        digest_ok: Whether the answer is intact and for this request; None if it cannot be told.
        succeeded: Whether it is an intact answer of the upstream with a status below 400.
    """

    begun_s: float
    start_s: float
    end_s: float
    final: bool
    target: str
    request_id: str
    key: str
    token: str | None
    status: int
    label: str
    outcome: Outcome | None
    served_by: str
    run_request_id: str
    digest_ok: bool | None
    succeeded: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """Figures of a load. Only the last attempt of each request counts.

    Attributes:
        requests: Requests that were answered or given up.
        successes: Requests that succeeded.
        skipped: Requests of an open loop that were due and not sent.
        refusals: Numbers of failed requests by label; `status_N` without one.
        wrong_answers: Answers, of all attempts, that were not intact or for another request.
        duration_s: Seconds from the first request to the last answer.
        throughput: Successes per second.
        latency_p50_ms: Median latency of successes.
        latency_p99_ms: 99th percentile of it.
        unavailable_max_ms: Longest unavailable time of any key: the longest gap between
            successes of the key, or between one and an end of the load, during which a request
            for it failed.
        unavailable_p99_ms: 99th percentile, over the keys, of the longest gap of each key.
    """

    requests: int = 0
    successes: int = 0
    skipped: int = 0
    refusals: dict[str, int] = field(default_factory=dict)
    wrong_answers: int = 0
    duration_s: float = 0.0
    throughput: float = 0.0
    latency_p50_ms: float = 0.0
    latency_p99_ms: float = 0.0
    unavailable_max_ms: float = 0.0
    unavailable_p99_ms: float = 0.0


class LoadGenerator:
    """Sends the requests of a plan.

    Args:
        plan: The plan.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._clock = BootClock()
        self._draw = random.Random(plan.seed)
        self._caller = Caller(plan.timeout_s)
        self._records: list[Record] = []
        self._begun = 0
        self._skipped = 0
        self._started_s = 0.0
        self._stopped = False

    @property
    def active(self) -> bool:
        """Whether more requests are to be sent."""
        within = self._clock.now() - self._started_s < self._plan.duration_s
        return within and not self._stopped and self._begun < self._plan.most_requests

    @property
    def records(self) -> tuple[Record, ...]:
        """All attempts so far, in the order of their ends."""
        return tuple(self._records)

    @property
    def summary(self) -> Summary:
        """Figures so far."""
        return summarize(self._records, self._skipped)

    async def run(self) -> tuple[Record, ...]:
        """Sends requests for the time of the plan and waits for the last answers.

        Returns:
            All attempts in the order of their ends.
        """
        self._started_s = self._clock.now()
        async with self._caller:
            await self._plan.pace.drive(self)
        return self.records

    def stop(self) -> None:
        """Begins no more requests."""
        self._stopped = True

    def skip(self) -> None:
        """Counts a request that was due and not sent."""
        self._skipped += 1

    async def send(self, begun_s: float) -> bool:
        """Sends one request, with its further attempts.

        Args:
            begun_s: Time at which it was due, in seconds of CLOCK_BOOTTIME.

        Returns:
            Whether the last attempt succeeded.
        """
        plan = self._plan
        number = self._begun
        self._begun += 1
        key = plan.keys.key(self._draw, begun_s - self._started_s)
        token: str | None = None
        failovers, resends = len(plan.targets) - 1, plan.resends
        while True:
            target = plan.targets[number % len(plan.targets)]
            request = CallerRequest(
                service=plan.service,
                key=key,
                method=plan.method,
                path=plan.path,
                query=plan.query,
                body=plan.body,
                deadline_ms=plan.deadline_ms,
                token=token,
                request_id=new_request_id(),
            )
            start_s = self._clock.now()
            answer = await self._caller.send(target, request)
            again = True
            if answer.label == TOKEN_REQUIRED and answer.token and token is None:
                token = answer.token
            elif answer.label == UNREACHABLE and failovers > 0:
                failovers -= 1
                number += 1
            elif not answer.succeeded and resends > 0:
                resends -= 1
                number += 1
                await self._clock.sleep(RESEND_PAUSE_S)
            else:
                again = False
            self._record(target, request, answer, begun_s, start_s, final=not again)
            if not again:
                return answer.succeeded

    def _record(
        self,
        target: str,
        request: CallerRequest,
        answer: CallerAnswer,
        begun_s: float,
        start_s: float,
        *,
        final: bool,
    ) -> None:
        self._records.append(
            Record(
                begun_s=begun_s,
                start_s=start_s,
                end_s=self._clock.now(),
                final=final,
                target=target,
                request_id=request.request_id,
                key=request.key,
                token=request.token,
                status=answer.status,
                label=answer.label,
                outcome=answer.outcome,
                served_by=answer.served_by,
                run_request_id=answer.run_request_id,
                digest_ok=answer.digest_ok,
                succeeded=answer.succeeded,
            )
        )


def summarize(records: Iterable[Record], skipped: int = 0) -> Summary:
    """Computes the figures of a load.

    Args:
        records: All attempts.
        skipped: Requests that were due and not sent.
    """
    attempts = tuple(records)
    finals = [record for record in attempts if record.final]
    if not finals:
        return Summary(skipped=skipped)
    successes = [record for record in finals if record.succeeded]
    failures = (record for record in finals if not record.succeeded)
    begin_s = min(record.begun_s for record in finals)
    end_s = max(record.end_s for record in finals)
    duration_s = max(end_s - begin_s, 1e-9)
    latencies = [(record.end_s - record.begun_s) * 1000 for record in successes]
    gaps = [gap_s * 1000 for gap_s in unavailable_times(finals).values()]
    return Summary(
        requests=len(finals),
        successes=len(successes),
        skipped=skipped,
        refusals=dict(Counter(record.label or f"status_{record.status}" for record in failures)),
        wrong_answers=sum(record.digest_ok is False for record in attempts),
        duration_s=duration_s,
        throughput=len(successes) / duration_s,
        latency_p50_ms=percentile(latencies, 50),
        latency_p99_ms=percentile(latencies, 99),
        unavailable_max_ms=max(gaps),
        unavailable_p99_ms=percentile(gaps, 99),
    )


def unavailable_times(finals: Sequence[Record]) -> dict[str, float]:
    """Returns the longest unavailable time of each key in seconds, 0 if no request failed.

    Args:
        finals: Last attempts of all requests.
    """
    if not finals:
        return {}
    begin_s = min(record.begun_s for record in finals)
    end_s = max(record.end_s for record in finals)
    by_key: dict[str, list[Record]] = {}
    for record in finals:
        by_key.setdefault(record.key, []).append(record)
    return {key: _longest_gap(found, begin_s, end_s) for key, found in by_key.items()}


def _longest_gap(records: list[Record], begin_s: float, end_s: float) -> float:
    ends = sorted(record.end_s for record in records if record.succeeded)
    failures = sorted((r.begun_s, r.end_s) for r in records if not r.succeeded)
    if not failures:
        return 0.0
    begins = [begun_s for begun_s, _ in failures]
    latest_ends = list(accumulate((failed_s for _, failed_s in failures), max))
    longest = 0.0
    for from_s, to_s in pairwise([begin_s, *ends, end_s]):
        begun_before = bisect_left(begins, to_s)
        if begun_before and latest_ends[begun_before - 1] > from_s:
            longest = max(longest, to_s - from_s)
    return longest


def percentile(values: Iterable[float], percent: float) -> float:
    """Returns the smallest value that at least so many percent of the values do not exceed."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(0, int(rank) - 1)]


def write_records(path: Path, records: Iterable[Record]) -> None:
    """Writes records as JSON lines.

    Raises:
        OSError: The file cannot be written.
    """
    path.write_bytes(b"".join(encode_json(record) + b"\n" for record in records))


def read_records(path: Path) -> tuple[Record, ...]:
    """Reads records that `write_records` wrote.

    Raises:
        JournalError: A line is malformed.
        OSError: The file cannot be read.
    """
    try:
        return tuple(
            msgspec.json.decode(line, type=Record) for line in path.read_bytes().splitlines()
        )
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise JournalError(f"bad line in {path}: {error}") from error


class DistributionKind(enum.StrEnum):
    """Key distributions of the program."""

    UNIFORM = "uniform"
    ZIPF = "zipf"
    HOT = "hot"


_DISTRIBUTIONS: dict[DistributionKind, type[KeyDistribution]] = {
    DistributionKind.UNIFORM: UniformKeys,
    DistributionKind.ZIPF: ZipfKeys,
    DistributionKind.HOT: MovingHotKey,
}


def main(
    target: Annotated[list[str], typer.Option(help="URL of an agent; may be repeated.")],
    service: Annotated[str, typer.Option(help="Service of the requests.")],
    keys: Annotated[int, typer.Option(help="Number of keys.")] = 100,
    distribution: Annotated[DistributionKind, typer.Option(help="Distribution of keys.")] = (
        DistributionKind.UNIFORM
    ),
    callers: Annotated[int, typer.Option(help="Callers of a closed loop.")] = 4,
    rate: Annotated[float, typer.Option(help="Requests/s of an open loop; 0 closes it.")] = 0.0,
    seconds: Annotated[float, typer.Option(help="Duration.")] = 10.0,
    method: Annotated[str, typer.Option(help="HTTP method.")] = "GET",
    query: Annotated[list[str] | None, typer.Option(help="NAME=VALUE; may be repeated.")] = None,
    body_bytes: Annotated[int, typer.Option(help="Size of the request body.")] = 0,
    deadline_ms: Annotated[int | None, typer.Option(help="Deadline of each attempt.")] = None,
    resends: Annotated[int, typer.Option(help="Times a failed request is sent again.")] = 0,
    seed: Annotated[int, typer.Option(help="Seed of the choice of keys.")] = 0,
    records: Annotated[Path | None, typer.Option(help="File for records, JSON lines.")] = None,
) -> None:
    """Sends requests and prints the summary as JSON."""
    pairs = (pair.partition("=") for pair in query or [])
    plan = LoadPlan(
        targets=tuple(target),
        service=service,
        keys=_DISTRIBUTIONS[distribution](keys),
        pace=OpenLoop(rate, seed=seed) if rate else ClosedLoop(callers),
        duration_s=seconds,
        method=method,
        query=tuple((name, value) for name, _, value in pairs),
        body=b"x" * body_bytes,
        deadline_ms=deadline_ms,
        resends=resends,
        seed=seed,
    )
    generator = LoadGenerator(plan)

    async def body(stop: asyncio.Event) -> None:
        async def watch_stop() -> None:
            await stop.wait()
            generator.stop()

        watcher = asyncio.create_task(watch_stop())
        await generator.run()
        watcher.cancel()

    run_program(body)
    if records is not None:
        write_records(records, generator.records)
    typer.echo(encode_json(generator.summary).decode())


if __name__ == "__main__":
    typer.run(main)
