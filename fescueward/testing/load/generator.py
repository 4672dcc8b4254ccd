"""The load generator: callers that send requests to agents and record each response."""

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
    """Which requests a load generator sends, and where and when.

    Attributes:
        targets: Base URLs of agents, used in turn.
        service: Service of the requests.
        keys: Distribution of the keys.
        pace: When requests are sent.
        duration_s: Seconds after which no further request is started.
        max_requests: Number of requests after which no further one is started.
        method: HTTP method.
        path: Path below the service.
        query: Query parameters; see `fescueward.testing.upstream`.
        body: Body of each request.
        deadline_ms: Deadline of each attempt, None for the deadline of the entry.
        timeout_s: Seconds after which an attempt without a response fails.
        resends: How often a failed request is sent again, with its token if it has one.
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
        plan: Which requests to send.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._clock = BootClock()
        self._rng = random.Random(plan.seed)
        self._caller = Caller(plan.timeout_s)
        self._records: list[Record] = []
        self._started_count = 0
        self._skipped = 0
        self._started_s = 0.0
        self._stopped = False

    @property
    def active(self) -> bool:
        """Whether more requests are to be sent."""
        within_duration = self._clock.now() - self._started_s < self._plan.duration_s
        return (
            within_duration and not self._stopped and self._started_count < self._plan.max_requests
        )

    @property
    def records(self) -> tuple[Record, ...]:
        """Records of all attempts so far, in the order in which they ended."""
        return tuple(self._records)

    @property
    def summary(self) -> Summary:
        """Summary of the requests so far."""
        return summarize(self._records, self._skipped)

    async def run(self) -> tuple[Record, ...]:
        """Sends requests for the duration of the plan and waits for the last responses.

        Returns:
            Records of all attempts in the order in which they ended.
        """
        self._started_s = self._clock.now()
        async with self._caller:
            await self._plan.pace.drive(self)
        return self.records

    def stop(self) -> None:
        """Starts no further requests; those in flight go on."""
        self._stopped = True

    def skip(self) -> None:
        """Counts a request that was due but was not sent."""
        self._skipped += 1

    async def send(self, begun_s: float) -> bool:
        """Sends one request, which may take several attempts.

        Args:
            begun_s: Time at which the request was due, in seconds of CLOCK_BOOTTIME.

        Returns:
            Whether the last attempt succeeded.
        """
        plan = self._plan
        number = self._started_count
        self._started_count += 1
        key = plan.keys.key(self._rng, begun_s - self._started_s)
        token: str | None = None
        failovers_left, resends_left = len(plan.targets) - 1, plan.resends
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
            response = await self._caller.send(target, request)
            retry = True
            if response.label == TOKEN_REQUIRED and response.token and token is None:
                token = response.token
            elif response.label == UNREACHABLE and failovers_left > 0:
                failovers_left -= 1
                number += 1
            elif not response.succeeded and resends_left > 0:
                resends_left -= 1
                number += 1
                await self._clock.sleep(RESEND_PAUSE_S)
            else:
                retry = False
            self._record(target, request, response, begun_s, start_s, final=not retry)
            if not retry:
                return response.succeeded

    def _record(
        self,
        target: str,
        request: CallerRequest,
        response: CallerResponse,
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
                status=response.status,
                label=response.label,
                outcome=response.outcome,
                served_by=response.served_by,
                run_request_id=response.run_request_id,
                digest_ok=response.digest_ok,
                succeeded=response.succeeded,
            )
        )
