"""Recorded traces: requests, faults and expected outcomes, replayed against real processes.

A trace is a file of JSON lines: a `TraceHeader`, then `TraceRequest` and `TraceFault` lines in
the order of their times.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from msgspec import Meta

from ..kernel import BootClock
from ..kernel.errors import UnknownNameError
from ..messages.codec import decode_json, encode_json
from .errors import JournalError
from .harness import Deployment
from .load import ClosedLoop, LoadGenerator, LoadPlan, Record, UniformKeys
from .platform import Faults, Mode
from .scenarios import unavailable_ms, wait_until_settled
from .specs import DeploymentSpec, kagaz_deployment, merrimack_deployment
from .verdicts import judge
from .waiting import wait_until

DEPLOYMENTS = {"kagaz": kagaz_deployment, "merrimack": merrimack_deployment}
FAULT_NAMES = ("kill", "pause", "resume", "start", "terminate", "platform_down", "platform_up")
EXIT_OUTCOME_DIFFERS = 1

Milliseconds = Annotated[int, Meta(ge=0, le=3_600_000)]


@dataclass(frozen=True, slots=True)
class TraceHeader:
    """Deployment of a trace and its expected outcomes.

    Attributes:
        deployment: `kagaz` or `merrimack`.
        most_failed: Largest number of requests that may fail, each with a refusal or a lost
            connection.
        most_unavailable_ms: Longest permitted unavailable time of any key, in milliseconds.
        most_violations: Largest number of permitted violations of the invariants, normally 0.
    """

    deployment: str
    most_failed: int
    most_unavailable_ms: Milliseconds
    most_violations: int = 0


@dataclass(frozen=True, slots=True)
class TraceRequest:
    """One request of a caller.

    Attributes:
        at_ms: Time at which it was sent, in milliseconds after the start of the trace.
        service: Service of the request.
        key: Key of the request.
        method: HTTP method.
        via: Name of the member whose agent received the request.
    """

    at_ms: Milliseconds
    service: str
    key: str
    method: str
    via: str


@dataclass(frozen=True, slots=True)
class TraceFault:
    """One fault.

    Attributes:
        at_ms: Time of the fault, in milliseconds after the start of the trace.
        fault: One of `FAULT_NAMES`.
        member: Name of the affected member, empty for a fault of the platform.
    """

    at_ms: Milliseconds
    fault: str
    member: str = ""


@dataclass(frozen=True, slots=True)
class Trace:
    """All lines of a trace: the header, and requests and faults in the order of their times."""

    header: TraceHeader
    requests: tuple[TraceRequest, ...]
    faults: tuple[TraceFault, ...]


@dataclass(frozen=True, slots=True)
class ReplayResult:
    """Outcomes of a replay.

    Attributes:
        requests: Number of requests that were sent.
        failed: Number of requests whose last attempt failed.
        unavailable_ms: Longest unavailable time of any key, in milliseconds.
        violations: Number of violations of the invariants.
        different: Outcomes that are worse than expected, as text; empty if there are none.
    """

    requests: int
    failed: int
    unavailable_ms: float
    violations: int
    different: tuple[str, ...]


def read_trace(path: Path) -> Trace:
    """Reads a trace from a file.

    Raises:
        JournalError: A line is malformed.
        OSError: The file cannot be read.
        UnknownNameError: A line names an unknown fault.
    """
    try:
        header_line, *lines = path.read_bytes().splitlines()
        header = decode_json(header_line, TraceHeader)
        requests, faults = [], []
        for line in lines:
            if b'"fault"' in line:
                faults.append(decode_json(line, TraceFault))
            else:
                requests.append(decode_json(line, TraceRequest))
    except (ValueError, msgspec.MsgspecError) as error:
        raise JournalError(f"malformed trace {path}: {error}") from error
    for fault in faults:
        if fault.fault not in FAULT_NAMES:
            raise UnknownNameError("fault", fault.fault, FAULT_NAMES)
    return Trace(header, tuple(requests), tuple(faults))


def write_trace(path: Path, trace: Trace) -> None:
    """Writes a trace to a file.

    Raises:
        OSError: The file cannot be written.
    """
    lines = sorted((*trace.requests, *trace.faults), key=lambda line: line.at_ms)
    path.write_bytes(b"\n".join(encode_json(line) for line in (trace.header, *lines)) + b"\n")


def deployment_spec(name: str) -> DeploymentSpec:
    """Returns the specification of a deployment that traces can name.

    Raises:
        UnknownNameError: No deployment has this name.
    """
    if name not in DEPLOYMENTS:
        raise UnknownNameError("deployment", name, tuple(DEPLOYMENTS))
    return DEPLOYMENTS[name]()


class Replay:
    """Replays a trace against real processes.

    Args:
        trace: Trace to replay.
    """

    def __init__(self, trace: Trace) -> None:
        self._trace = trace
        self._clock = BootClock()

    async def run(self) -> ReplayResult:
        """Starts the deployment, replays the trace and compares the outcomes."""
        spec = deployment_spec(self._trace.header.deployment)
        async with Deployment(spec) as deployment:
            await deployment.wait_ready()
            for service in spec.services:
                await wait_until_settled(deployment, service.entry.service, len(service.members))
            start_s = self._clock.now()
            records: list[Record] = []
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._inject_faults(deployment, start_s))
                for request in self._trace.requests:
                    tasks.create_task(self._send(deployment, request, start_s, records))
            verdict = judge(deployment.journal_events(), records)
        return self._compare(records, len(verdict.violations))

    async def _inject_faults(self, deployment: Deployment, start_s: float) -> None:
        for fault in self._trace.faults:
            await self._sleep_until(start_s + fault.at_ms / 1000)
            await apply_fault(deployment, fault)

    async def _send(
        self, deployment: Deployment, request: TraceRequest, start_s: float, records: list[Record]
    ) -> None:
        await self._sleep_until(start_s + request.at_ms / 1000)
        urls = list(deployment.urls)
        first_index = urls.index(deployment.member(request.via).url)
        generator = LoadGenerator(
            LoadPlan(
                targets=tuple(urls[first_index:] + urls[:first_index]),
                service=request.service,
                keys=SingleKey(request.key),
                pace=ClosedLoop(1),
                duration_s=60.0,
                max_requests=1,
                method=request.method,
                resends=3,
            )
        )
        records.extend(await generator.run())

    async def _sleep_until(self, due_s: float) -> None:
        await self._clock.sleep(max(0.0, due_s - self._clock.now()))

    def _compare(self, records: list[Record], violations: int) -> ReplayResult:
        header = self._trace.header
        final_attempts = [record for record in records if record.final]
        failed = sum(not record.succeeded for record in final_attempts)
        longest_ms = max(unavailable_ms(tuple(records)).values(), default=0.0)
        outcomes = (
            ("requests", len(final_attempts) < len(self._trace.requests), len(final_attempts)),
            ("failed", failed > header.most_failed, failed),
            ("unavailable_ms", longest_ms > header.most_unavailable_ms, longest_ms),
            ("violations", violations > header.most_violations, violations),
        )
        different = tuple(f"{name} is {value}" for name, exceeds, value in outcomes if exceeds)
        return ReplayResult(
            len(final_attempts), failed, round(longest_ms, 1), violations, different
        )


@dataclass(frozen=True, slots=True)
class SingleKey:
    """A key distribution with a single key.

    Attributes:
        name: The key of all requests.
    """

    name: str

    def key(self, rng: random.Random, elapsed_s: float) -> str:
        """Returns the single key."""
        return self.name


async def apply_fault(deployment: Deployment, fault: TraceFault) -> None:
    """Injects a fault into a deployment.

    Raises:
        UnknownMemberError: The deployment has no member with the name in the fault.
        ConditionTimeoutError: A terminated agent did not exit within 40 s.
    """
    if fault.fault in ("platform_down", "platform_up"):
        down = fault.fault == "platform_down"
        await deployment.platform.set_faults(Faults(mode=Mode.DOWN if down else Mode.NORMAL))
        return
    member = deployment.member(fault.member)
    if fault.fault == "kill":
        await deployment.kill_member(member)
    elif fault.fault == "pause":
        await deployment.pause_member(member)
    elif fault.fault == "resume":
        deployment.resume_member(member)
    elif fault.fault == "start":
        await deployment.start_member(member)
    else:
        member.agent.terminate()
        await wait_until(lambda: not member.agent.running, 40, f"{member.name} has ended")


async def record(name: str, faults: tuple[TraceFault, ...], duration_s: float) -> Trace:
    """Records the requests of all services of a deployment while faults are injected.

    The expected outcomes are the users' bounds and not the results of the recording run: requests
    may fail only if they were in flight at a lost member, and a key is served again within 4 s.

    Args:
        name: Name of the deployment.
        faults: Faults to inject.
        duration_s: Duration of the trace in seconds.
    """
    spec = deployment_spec(name)
    clock = BootClock()
    async with Deployment(spec) as deployment:
        await deployment.wait_ready()
        for service in spec.services:
            await wait_until_settled(deployment, service.entry.service, len(service.members))
        start_s = clock.now()
        generators = {
            service.entry.service: LoadGenerator(
                LoadPlan(
                    targets=tuple(found.url for found in deployment.members),
                    service=service.entry.service,
                    keys=UniformKeys(12),
                    pace=ClosedLoop(2, 0.12),
                    duration_s=duration_s,
                    method="POST" if service.entry.request_class.value == "once" else "GET",
                    resends=3,
                    seed=index,
                )
            )
            for index, service in enumerate(spec.services)
        }
        replay = Replay(Trace(TraceHeader(name, 0, 0), (), faults))
        injection = asyncio.create_task(replay._inject_faults(deployment, start_s))
        found = await asyncio.gather(*(generator.run() for generator in generators.values()))
        await injection
        names_by_url = {member.url: member.name for member in deployment.members}
    requests = [
        TraceRequest(
            max(0, round((attempt.begun_s - start_s) * 1000)),
            service,
            attempt.key,
            "POST" if attempt.token else "GET",
            names_by_url[attempt.target],
        )
        for service, records in zip(generators, found, strict=True)
        for attempt in records
        if attempt.final
    ]
    in_flight_at_losses = 2 * len(generators) * sum(line.fault == "kill" for line in faults)
    header = TraceHeader(name, in_flight_at_losses, 4000)
    return Trace(header, tuple(sorted(requests, key=lambda line: line.at_ms)), faults)


app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.command("run")
def run_command(trace: Annotated[Path, typer.Argument(help="The trace file.")]) -> None:
    """Replays a trace and compares the outcomes; exits with 1 if one is worse than expected."""
    result = asyncio.run(Replay(read_trace(trace)).run())
    typer.echo(encode_json(result).decode())
    if result.different:
        raise typer.Exit(EXIT_OUTCOME_DIFFERS)


@app.command("record")
def record_command(
    deployment: Annotated[str, typer.Argument(help="kagaz or merrimack.")],
    path: Annotated[Path, typer.Argument(help="The trace file to write.")],
    fault: Annotated[list[str], typer.Option(help="AT_MS:FAULT[:MEMBER]")],
    seconds: Annotated[float, typer.Option(help="Duration of the trace in seconds.")] = 10.0,
) -> None:
    """Records a trace from a run with faults."""
    faults = []
    for text in fault:
        at_ms, kind, member = [*text.split(":"), ""][:3]
        faults.append(TraceFault(int(at_ms), kind, member))
    write_trace(path, asyncio.run(record(deployment, tuple(faults), seconds)))


if __name__ == "__main__":
    app()
