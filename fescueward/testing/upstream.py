"""Stand-in for an upstream: a server with slots, grants, deadlines and a journal.

A message that carries `Fescueward-Request-Id` is a request, whatever its path. Without it,
`PUT /grants`, `POST /cancel/ID`, `GET /health` and `POST /control` are served. The query of a
request names its behaviour:

- `sleep_ms`: time the request takes, instead of the `work_ms` of the switches
- `size`: bytes of the response body, instead of a JSON `UpstreamAnswer`
- `status`: status of the response
- `crash=1`: the process ends halfway through the work
- `truncate=1`: the body is declared longer than it is and the connection is closed
- `slow_body`: ms between the pieces that the body is sent in, of which there are at least ten

A refusal before the run has the header `Fescueward-Refusal`, a run that was ended early the
header `Fescueward-Aborted`. `POST /control` takes some or all fields of `Switches`.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import hashlib
import os
from collections import deque
from collections.abc import Coroutine, Iterable
from dataclasses import asdict, dataclass, fields, replace
from pathlib import Path
from typing import Annotated, Any, Protocol

import aiohttp
import msgspec
import typer
from aiohttp import web
from msgspec import Meta

from ..kernel.errors import MalformedMessageError
from ..messages import AnnouncedState, Announcement, GrantSet
from ..messages.codec import decode_json, encode_json
from ..messages.upstream import (
    DEADLINE_HEADER,
    EPOCH_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
    SHARD_HEADER,
    TOKEN_HEADER,
)
from .errors import ControlError, RunAbortedError
from .grants import GrantState, GrantTable
from .journal import EventKind, JournalEvent, JournalWriter
from .program import (
    LOOPBACK,
    HttpSite,
    abort_connection,
    boot_time_ns,
    report_listening,
    run_program,
)

REFUSAL_HEADER = "Fescueward-Refusal"
ABORTED_HEADER = "Fescueward-Aborted"
DIGEST_HEADER = "Digest-Sha256"

PIECE_BYTES = 64 * 1024
SLOW_PIECES = 10
COLD_FACTOR = 4.0
LAG_S = 5.0
FIRST_ANNOUNCEMENT_S = 1.0
ANNOUNCEMENT_S = 2.0

Milliseconds = Annotated[int, Meta(ge=0, le=600_000)]
Count = Annotated[int, Meta(ge=0)]


class Refusal(enum.StrEnum):
    """Why a request is rejected before it runs: values of the header `Fescueward-Refusal`."""

    GRANT = "grant"
    DEADLINE = "deadline"
    SHED = "shed"
    LEAVING = "leaving"
    MALFORMED = "malformed"


_REFUSAL_STATUS = {Refusal.GRANT: 403, Refusal.MALFORMED: 400}


class Abort(enum.StrEnum):
    """Why a run is ended early: values of the header `Fescueward-Aborted`."""

    REVOKED = "revoked"
    EXPIRED = "expired"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    CONNECTION = "connection"
    STOPPED = "stopped"


class ReportKind(enum.StrEnum):
    """How truthful `GET /health` is."""

    HONEST = "honest"
    LAG = "lag"
    LIE = "lie"


@dataclass(frozen=True, slots=True)
class Switches:
    """Behaviour that can be changed while the upstream runs.

    Attributes:
        work_ms: Time that a request takes.
        report: How truthful the health page is.
        leaving: Whether it announces that it leaves; it then ends by itself.
        refuse_ms: Resets all connections and refuses new ones for this long, once.
    """

    work_ms: Milliseconds = 0
    report: ReportKind = ReportKind.HONEST
    leaving: bool = False
    refuse_ms: Milliseconds = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamOptions:
    """Options of an upstream.

    Attributes:
        service: Service that it serves.
        name: Name in answers and journal; by default made of service and port.
        host: Address to listen on.
        port: Port to listen on; 0 chooses a free one.
        announce: URL of the agent's announcement address, or empty.
        group: Number of the group that it joins.
        slots: Requests that it runs at a time; it sheds more.
        connections: Connections that it accepts; it resets more.
        checks_grants: Whether it rejects requests without a valid grant.
        journal: Journal file, or None.
        cold_start_ms: Time after the start in which requests take up to four times as long.
        linger_ms: Time that it takes requests after it has announced that it leaves.
        switches: Behaviour at the start.
    """

    service: str
    name: str = ""
    host: str = LOOPBACK
    port: int = 0
    announce: str = ""
    group: int = 0
    slots: int = 12
    connections: int = 130
    checks_grants: bool = True
    journal: Path | None = None
    cold_start_ms: int = 0
    linger_ms: int = 3000
    switches: Switches = Switches()


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """Body of the response to a request that names no size.

    Attributes:
        request_id: Id of the request.
        key: Its key.
        epoch: Epoch that it ran under, or None.
        upstream: Name of the upstream.
        body_sha256: SHA-256 of the request body, in hexadecimal digits.
        body_bytes: Size of the request body.
    """

    request_id: str
    key: str
    epoch: int | None
    upstream: str
    body_sha256: str
    body_bytes: int


@dataclass(frozen=True, slots=True)
class Health:
    """Body of `GET /health`.

    Attributes:
        state: `cold`, `ready` or `leaving`.
        in_flight: Requests that run, as far as the report is truthful.
        load: `in_flight` divided by the slots.
    """

    state: str
    in_flight: int
    load: float


@dataclass(frozen=True, slots=True)
class Behaviour:
    """What the query of a request asks for; see the module."""

    sleep_ms: Milliseconds | None = None
    size: Annotated[int, Meta(ge=0, le=1 << 32)] | None = None
    status: Annotated[int, Meta(ge=200, le=599)] = 200
    crash: bool = False
    truncate: bool = False
    slow_body: Milliseconds = 0


@dataclass(frozen=True, slots=True)
class Call:
    """Headers and behaviour of one request.

    Attributes:
        request_id: Its id.
        key: Its key.
        shard: Its shard, or None.
        epoch: Its epoch, or None.
        deadline_ns: Its deadline in CLOCK_BOOTTIME nanoseconds, or None.
        token: Idempotency token, or None.
        behaviour: What its query asks for.
    """

    request_id: str
    key: str
    shard: Count | None
    epoch: Count | None
    deadline_ns: Count | None
    token: str | None
    behaviour: Behaviour


class LoadReporter(Protocol):
    """What the health page says about the load."""

    def observe(self, time_s: float, in_flight: int) -> None:
        """Takes the number of running requests after a change."""
        ...

    def in_flight(self, time_s: float) -> int:
        """Returns the number of running requests that is reported."""
        ...


class HonestReporter:
    """Reports the present load."""

    def __init__(self) -> None:
        self._in_flight = 0

    def observe(self, time_s: float, in_flight: int) -> None:
        """Takes the number of running requests after a change."""
        self._in_flight = in_flight

    def in_flight(self, time_s: float) -> int:
        """Returns the present number."""
        return self._in_flight


class LaggingReporter:
    """Reports the load of five seconds ago."""

    def __init__(self) -> None:
        self._history: deque[tuple[float, int]] = deque([(0.0, 0)])

    def observe(self, time_s: float, in_flight: int) -> None:
        """Takes the number of running requests after a change."""
        self._history.append((time_s, in_flight))
        self._forget(time_s)

    def in_flight(self, time_s: float) -> int:
        """Returns the number that was true five seconds before."""
        self._forget(time_s)
        return self._history[0][1]

    def _forget(self, time_s: float) -> None:
        while len(self._history) > 1 and self._history[1][0] <= time_s - LAG_S:
            self._history.popleft()


class LyingReporter:
    """Reports no load at all."""

    def observe(self, time_s: float, in_flight: int) -> None:
        """Ignores the load."""

    def in_flight(self, time_s: float) -> int:
        """Returns 0."""
        return 0


_REPORTERS: dict[ReportKind, type[LoadReporter]] = {
    ReportKind.HONEST: HonestReporter,
    ReportKind.LAG: LaggingReporter,
    ReportKind.LIE: LyingReporter,
}


class _Run:
    """One request that runs: its call and the scope by which it is ended early."""

    def __init__(self, number: int, call: Call) -> None:
        self.number = number
        self.call = call
        self.scope = asyncio.timeout(None)
        self.abort: Abort | None = None
        self.ended = False

    def end_after(self, delay_s: float) -> None:
        """Ends the run after a number of seconds unless it has ended by then."""
        if not self.scope.expired():
            self.scope.reschedule(asyncio.get_running_loop().time() + delay_s)

    def end_now(self, abort: Abort) -> None:
        """Ends the run."""
        if self.abort is None:
            self.abort = abort
            self.end_after(0.0)


class UpstreamStandIn:
    """An upstream on one address.

    Args:
        options: Its options.
    """

    def __init__(self, options: UpstreamOptions) -> None:
        app = web.Application(client_max_size=0)
        app.router.add_route("*", "/{path:.*}", self._dispatch)
        self._site = HttpSite(app, options.host, options.port)
        self._options = options
        self._switches = options.switches
        self._grants = GrantTable()
        self._runs: dict[int, _Run] = {}
        self._run_count = 0
        self._reporter: LoadReporter = _REPORTERS[options.switches.report]()
        self._journal: JournalWriter | None = None
        self._started_ns = 0
        self._closing = False
        self._leaving = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Port it listens on."""
        return self._site.port

    @property
    def name(self) -> str:
        """Name in answers and journal."""
        return self._options.name or f"{self._options.service}-{self.port}"

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://{self._options.host}:{self.port}"

    @property
    def in_flight(self) -> int:
        """Number of running requests."""
        return len(self._runs)

    @property
    def switches(self) -> Switches:
        """Behaviour in force."""
        return self._switches

    async def start(self) -> None:
        """Begins to listen and to announce itself.

        Raises:
            OSError: The address is in use or the journal cannot be opened.
        """
        if self._options.journal is not None:
            self._journal = JournalWriter(self._options.journal)
        await self._site.start()
        self._started_ns = boot_time_ns()
        if self._switches.leaving:
            self._leaving.set()
        if self._options.announce:
            self._spawn(self._announce())

    async def stop(self) -> None:
        """Aborts what runs and stops listening."""
        for run in self._runs.values():
            run.end_now(Abort.STOPPED)
        await self._idle.wait()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._site.stop()
        if self._journal is not None:
            self._journal.close()
            self._journal = None

    async def leave(self) -> None:
        """Announces that it leaves, serves on for `linger_ms` and finishes what is in flight."""
        self.set_switches(replace(self._switches, leaving=True))
        await asyncio.sleep(self._options.linger_ms / 1000)
        self._closing = True
        await self._idle.wait()

    async def wait_leaving(self) -> None:
        """Returns once the upstream has been switched to leaving."""
        await self._leaving.wait()

    def set_switches(self, switches: Switches) -> None:
        """Replaces the behaviour in force."""
        if switches.report is not self._switches.report:
            self._reporter = _REPORTERS[switches.report]()
            self._reporter.observe(boot_time_ns() / 1e9, len(self._runs))
        if switches.leaving:
            self._leaving.set()
        if switches.refuse_ms:
            self._spawn(self._refuse_connections(switches.refuse_ms / 1000))
        self._switches = replace(switches, refuse_ms=0)

    def replace_grants(self, grants: GrantSet) -> bool:
        """Takes a set of grants and ends the runs that it no longer covers.

        Args:
            grants: The set.

        Returns:
            Whether it is newer than the one held.
        """
        if not self._grants.replace(grants):
            return False
        now_ns = boot_time_ns()
        self._write(EventKind.GRANT, None, now_ns)
        for run in self._runs.values():
            abort = self._invalid(run.call, now_ns)
            if abort is None:
                self._limit(run, now_ns)
            else:
                run.end_now(abort)
        return True

    async def _dispatch(self, request: web.Request) -> web.StreamResponse:
        if self._site.connection_count > self._options.connections:
            return abort_connection(request)
        if REQUEST_ID_HEADER in request.headers:
            return await self._serve(request)
        method, path = request.method, request.path
        if (method, path) == ("PUT", "/grants"):
            return await self._put_grants(request)
        if (method, path) == ("GET", "/health"):
            return _json(self._health())
        if (method, path) == ("POST", "/control"):
            return await self._control(request)
        if method == "POST" and path.startswith("/cancel/"):
            return self._cancel(path.removeprefix("/cancel/"))
        return _refusal(Refusal.MALFORMED, "", f"no {REQUEST_ID_HEADER}")

    async def _put_grants(self, request: web.Request) -> web.StreamResponse:
        try:
            grants = decode_json(await request.read(), GrantSet)
        except MalformedMessageError as error:
            return web.Response(status=400, text=str(error))
        accepted = self.replace_grants(grants)
        return _json(self._grants.grants, status=200 if accepted else 409)

    async def _control(self, request: web.Request) -> web.StreamResponse:
        try:
            self.set_switches(merge_switches(self._switches, await request.read()))
        except ControlError as error:
            return web.Response(status=400, text=str(error))
        return _json(self._switches)

    def _cancel(self, request_id: str) -> web.StreamResponse:
        found = [run for run in self._runs.values() if run.call.request_id == request_id]
        for run in found:
            run.end_now(Abort.CANCELLED)
        return web.Response(status=200 if found else 404)

    def _health(self) -> Health:
        in_flight = self._reporter.in_flight(boot_time_ns() / 1e9)
        state = "cold" if self._cold_factor() > 1.0 else "ready"
        if self._leaving.is_set():
            state = "leaving"
        return Health(state, in_flight, in_flight / self._options.slots)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        try:
            call = parse_call(request)
        except MalformedMessageError as error:
            request_id = request.headers[REQUEST_ID_HEADER]
            return _refusal(Refusal.MALFORMED, request_id, str(error))
        now_ns = boot_time_ns()
        refusal = self._refusal_of(call, now_ns)
        if refusal is not None:
            self._write(EventKind.REJECTED, call, now_ns, reason=refusal)
            return _refusal(refusal, call.request_id, f"rejected: {refusal}")
        response = web.StreamResponse(status=call.behaviour.status)
        run = self._begin(call, now_ns)
        try:
            async with run.scope:
                self._limit(run, now_ns)
                await self._execute(request, run, response)
        except RunAbortedError as error:
            return self._aborted(request, run, response, Abort(error.reason))
        except TimeoutError:
            abort = run.abort or self._invalid(call, boot_time_ns()) or Abort.DEADLINE
            return self._aborted(request, run, response, abort)
        except (ConnectionError, aiohttp.ClientPayloadError):
            return self._aborted(request, run, response, Abort.CONNECTION)
        finally:
            self._finish(run)
        return response

    async def _execute(
        self, request: web.Request, run: _Run, response: web.StreamResponse
    ) -> None:
        call = run.call
        behaviour = call.behaviour
        digest = hashlib.sha256()
        received = 0
        async for chunk in request.content.iter_any():
            digest.update(chunk)
            received += len(chunk)
        await self._work(call)
        self._check(run, boot_time_ns())
        if behaviour.size is None:
            answer = UpstreamAnswer(
                call.request_id, call.key, call.epoch, self.name, digest.hexdigest(), received
            )
            response.content_type = "application/json"
            pieces = (encode_json(answer),)
        else:
            response.content_type = "application/octet-stream"
            pieces = body_pieces(call.request_id, behaviour.size, slow=behaviour.slow_body > 0)
        response.headers[REQUEST_ID_HEADER] = call.request_id
        response.headers[DIGEST_HEADER] = sha256_of(pieces)
        response.content_length = sum(map(len, pieces)) + behaviour.truncate
        await response.prepare(request)
        for number, piece in enumerate(pieces, start=1):
            now_ns = boot_time_ns()
            self._check(run, now_ns)
            if number == len(pieces):
                run.ended = True
                self._write(EventKind.END, call, now_ns, run=run.number)
            await response.write(piece)
            if behaviour.slow_body and not run.ended:
                await asyncio.sleep(behaviour.slow_body / 1000)
        if behaviour.truncate:
            response.force_close()

    async def _work(self, call: Call) -> None:
        behaviour = call.behaviour
        work_ms = self._switches.work_ms if behaviour.sleep_ms is None else behaviour.sleep_ms
        work_s = work_ms / 1000 * self._cold_factor()
        if behaviour.crash:
            await asyncio.sleep(work_s / 2)
            self._write(EventKind.EXIT, None, boot_time_ns(), reason="crash")
            os._exit(1)
        if work_s:
            await asyncio.sleep(work_s)

    def _aborted(
        self, request: web.Request, run: _Run, response: web.StreamResponse, abort: Abort
    ) -> web.StreamResponse:
        if not run.ended:
            now_ns = boot_time_ns()
            self._write(EventKind.ABORTED, run.call, now_ns, run=run.number, reason=abort)
        if response.prepared:
            return abort_connection(request)
        headers = {ABORTED_HEADER: abort, REQUEST_ID_HEADER: run.call.request_id}
        return web.Response(status=503, headers=headers, text=f"aborted: {abort}")

    def _refusal_of(self, call: Call, now_ns: int) -> Refusal | None:
        if self._closing:
            return Refusal.LEAVING
        invalid = self._invalid(call, now_ns)
        if invalid is not None:
            return Refusal.DEADLINE if invalid is Abort.DEADLINE else Refusal.GRANT
        return Refusal.SHED if len(self._runs) >= self._options.slots else None

    def _invalid(self, call: Call, now_ns: int) -> Abort | None:
        if self._options.checks_grants:
            state = self._grants.state(call.shard, call.epoch, now_ns)
            if state is GrantState.EXPIRED:
                return Abort.EXPIRED
            if state is not GrantState.VALID:
                return Abort.REVOKED
        if call.deadline_ns is not None and now_ns >= call.deadline_ns:
            return Abort.DEADLINE
        return None

    def _check(self, run: _Run, now_ns: int) -> None:
        # After SIGCONT the timers of work and of the grant are due together and fire in any
        # order, so the clock decides before each effect.
        abort = run.abort or self._invalid(run.call, now_ns)
        if abort is not None:
            raise RunAbortedError(abort)

    def _limit(self, run: _Run, now_ns: int) -> None:
        ends = [] if run.call.deadline_ns is None else [run.call.deadline_ns]
        if self._options.checks_grants:
            ends.append(self._grants.grants.expires_ns)
        if ends:
            run.end_after((min(ends) - now_ns) / 1e9)

    def _begin(self, call: Call, now_ns: int) -> _Run:
        self._run_count += 1
        run = _Run(self._run_count, call)
        self._runs[run.number] = run
        self._idle.clear()
        self._reporter.observe(now_ns / 1e9, len(self._runs))
        self._write(EventKind.START, call, now_ns, run=run.number)
        return run

    def _finish(self, run: _Run) -> None:
        del self._runs[run.number]
        self._reporter.observe(boot_time_ns() / 1e9, len(self._runs))
        if not self._runs:
            self._idle.set()

    def _cold_factor(self) -> float:
        cold_ms = self._options.cold_start_ms
        age_ms = (boot_time_ns() - self._started_ns) / 1e6
        if age_ms >= cold_ms:
            return 1.0
        return COLD_FACTOR - (COLD_FACTOR - 1.0) * age_ms / cold_ms

    def _write(
        self, kind: EventKind, call: Call | None, now_ns: int, *, run: int = 0, reason: str = ""
    ) -> None:
        if self._journal is None:
            return
        checks = self._options.checks_grants
        self._journal.append(
            JournalEvent(
                kind=kind,
                time_ns=now_ns,
                upstream=self.name,
                pid=os.getpid(),
                port=self.port,
                service=self._options.service,
                group=self._options.group,
                run=run,
                request_id="" if call is None else call.request_id,
                key="" if call is None else call.key,
                shard=None if call is None else call.shard,
                epoch=None if call is None else call.epoch,
                token=None if call is None else call.token,
                valid_until_ns=self._grants.grants.expires_ns if checks else 0,
                reason=reason,
            )
        )

    async def _announce(self) -> None:
        timeout = aiohttp.ClientTimeout(total=FIRST_ANNOUNCEMENT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                state = AnnouncedState.LEAVING if self._leaving.is_set() else AnnouncedState.READY
                accepted = await self._announce_once(session, state)
                period_s = ANNOUNCEMENT_S if accepted else FIRST_ANNOUNCEMENT_S
                if state is AnnouncedState.LEAVING:
                    await asyncio.sleep(period_s)
                    continue
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._leaving.wait(), period_s)

    async def _announce_once(self, session: aiohttp.ClientSession, state: AnnouncedState) -> bool:
        options = self._options
        announcement = Announcement(
            service=options.service,
            host=options.host,
            port=self.port,
            slots=options.slots,
            connections=options.connections,
            checks_grants=options.checks_grants,
            state=state,
            group=options.group,
        )
        headers = {"Content-Type": "application/json"}
        body = encode_json(announcement)
        try:
            async with session.post(options.announce, data=body, headers=headers) as response:
                return response.ok
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _refuse_connections(self, duration_s: float) -> None:
        await self._site.stop_listening()
        self._site.abort_connections()
        await asyncio.sleep(duration_s)
        await self._site.listen()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def parse_call(request: web.Request) -> Call:
    """Reads headers and query of a request.

    Raises:
        MalformedMessageError: A number is missing its digits or out of range.
    """
    headers = request.headers
    values = {
        "request_id": headers[REQUEST_ID_HEADER],
        "key": headers.get(KEY_HEADER, ""),
        "shard": headers.get(SHARD_HEADER),
        "epoch": headers.get(EPOCH_HEADER),
        "deadline_ns": headers.get(DEADLINE_HEADER),
        "token": headers.get(TOKEN_HEADER),
        "behaviour": dict(request.query),
    }
    try:
        return msgspec.convert(values, Call, strict=False)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(f"bad request: {error}") from error


def merge_switches(switches: Switches, body: bytes) -> Switches:
    """Applies a change in JSON to switches.

    Args:
        switches: The switches in force.
        body: JSON object with some or all fields of `Switches`.

    Raises:
        ControlError: The body is no JSON object or a field is unknown or out of range.
    """
    try:
        changes = msgspec.json.decode(body, type=dict[str, Any])
        unknown = changes.keys() - {field.name for field in fields(Switches)}
        if unknown:
            raise ControlError(f"unknown switches: {', '.join(sorted(unknown))}")
        return msgspec.convert({**asdict(switches), **changes}, Switches)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ControlError(f"bad switches: {error}") from error


def body_pieces(request_id: str, size: int, *, slow: bool) -> tuple[bytes, ...]:
    """Returns a body that differs between requests, so that a mixed-up answer shows.

    Args:
        request_id: Id of the request.
        size: Size of the body in bytes.
        slow: Whether to make at least ten pieces.
    """
    if size == 0:
        return (b"",)
    piece_bytes = min(PIECE_BYTES, max(1, size // SLOW_PIECES) if slow else size)
    pattern = hashlib.sha256(request_id.encode()).hexdigest().encode()
    piece = (pattern * (piece_bytes // len(pattern) + 1))[:piece_bytes]
    whole, rest = divmod(size, piece_bytes)
    return (piece,) * whole + ((piece[:rest],) if rest else ())


def sha256_of(pieces: Iterable[bytes]) -> str:
    """Returns the SHA-256 of a body in hexadecimal digits."""
    digest = hashlib.sha256()
    for piece in pieces:
        digest.update(piece)
    return digest.hexdigest()


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(status=status, body=encode_json(value), content_type="application/json")


def _refusal(refusal: Refusal, request_id: str, message: str) -> web.Response:
    headers = {REFUSAL_HEADER: refusal, REQUEST_ID_HEADER: request_id}
    return web.Response(status=_REFUSAL_STATUS.get(refusal, 503), headers=headers, text=message)


def main(
    service: Annotated[str, typer.Option(help="Service that it serves.")],
    name: Annotated[str, typer.Option(help="Name in answers and journal.")] = "",
    host: Annotated[str, typer.Option(help="Address to listen on.")] = LOOPBACK,
    port: Annotated[int, typer.Option(help="Port to listen on; 0 chooses a free one.")] = 0,
    announce: Annotated[str, typer.Option(help="URL of the announcement address.")] = "",
    group: Annotated[int, typer.Option(help="Number of the group that it joins.")] = 0,
    slots: Annotated[int, typer.Option(help="Requests that it runs at a time.")] = 12,
    connections: Annotated[int, typer.Option(help="Connections that it accepts.")] = 130,
    no_grants: Annotated[bool, typer.Option("--no-grants", help="Check no grants.")] = False,
    journal: Annotated[Path | None, typer.Option(help="Journal file.")] = None,
    cold_start_ms: Annotated[int, typer.Option(help="Time of slower work after start.")] = 0,
    work_ms: Annotated[int, typer.Option(help="Time that a request takes.")] = 0,
    report: Annotated[ReportKind, typer.Option(help="Truth of the health page.")] = (
        ReportKind.HONEST
    ),
    linger_ms: Annotated[int, typer.Option(help="Time it serves on when it leaves.")] = 3000,
) -> None:
    """Runs an upstream stand-in until SIGTERM; it then leaves and exits with 0."""
    options = UpstreamOptions(
        service=service,
        name=name,
        host=host,
        port=port,
        announce=announce,
        group=group,
        slots=slots,
        connections=connections,
        checks_grants=not no_grants,
        journal=journal,
        cold_start_ms=cold_start_ms,
        linger_ms=linger_ms,
        switches=Switches(work_ms=work_ms, report=report),
    )

    async def body(stop: asyncio.Event) -> None:
        upstream = UpstreamStandIn(options)
        await upstream.start()
        report_listening(upstream.name, host, upstream.port)
        reasons = {asyncio.create_task(stop.wait()), asyncio.create_task(upstream.wait_leaving())}
        await asyncio.wait(reasons, return_when=asyncio.FIRST_COMPLETED)
        await upstream.leave()
        await upstream.stop()

    run_program(body)


if __name__ == "__main__":
    typer.run(main)
