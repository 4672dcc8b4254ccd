"""The load generator: callers that send requests to agents and record each answer."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ...kernel.clock import BootClock
from ...messages.request import Headers
from ..callers import (
    TOKEN_REQUIRED,
    UNREACHABLE,
    Caller,
    CallerRequest,
    CallerResponse,
    new_request_id,
)
from .keys import KeyDistribution
from .paces import Pace
from .records import Record
from .summary import Summary, summarize

RESEND_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """What a load generator sends.

    Attributes:
        targets: URLs of agents, used in turn.
        service: Service of the requests.
        keys: Distribution of the keys.
        pace: When requests are sent.
        duration_s: Seconds after which no more request is begun.
        max_requests: Number of requests after which no more is begun.
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
    max_requests: int = 1_000_000
    method: str = "GET"
    path: str = ""
    query: Headers = ()
    body: bytes = b""
    deadline_ms: int | None = None
    timeout_s: float = 15.0
    resends: int = 0
    seed: int = 0


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
        return within and not self._stopped and self._begun < self._plan.max_requests

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
        answer: CallerResponse,
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
