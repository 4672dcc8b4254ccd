"""HTTP server of the upstream stand-in."""

from __future__ import annotations

import asyncio
import hashlib
import os
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

import aiohttp
from aiohttp import web

from ...kernel.errors import MalformedMessageError
from ...messages import GrantSet
from ...messages.codec import decode_json, encode_json
from ...messages.upstream import (
    REQUEST_ID_HEADER,
)
from ..errors import ControlError, RunAbortedError
from ..grants import GrantState, GrantTable
from ..journal import EventKind, JournalEvent, JournalWriter
from ..program import (
    HttpSite,
    abort_connection,
    boot_time_ns,
)
from .announcer import Announcer
from .calls import (
    DIGEST_HEADER,
    Call,
    Refusal,
    UpstreamAnswer,
    body_chunks,
    parse_call,
    refusal_response,
    sha256_of,
)
from .reports import REPORTERS, Health, LoadReporter
from .runs import ABORTED_HEADER, Abort, Run
from .switches import Switches, UpstreamOptions, merge_switches

# Factor on execution times right after a cold start; it falls linearly to 1.
COLD_START_FACTOR = 4.0


class UpstreamStandIn:
    """HTTP server of an upstream that executes requests under grants.

    Args:
        options: Options of the upstream.
    """

    def __init__(self, options: UpstreamOptions) -> None:
        app = web.Application(client_max_size=0)
        app.router.add_route("*", "/{path:.*}", self._dispatch)
        self._site = HttpSite(app, options.host, options.port)
        self._options = options
        self._switches = options.switches
        self._grants = GrantTable()
        self._runs: dict[int, Run] = {}
        self._run_count = 0
        self._reporter: LoadReporter = REPORTERS[options.switches.report]()
        self._journal: JournalWriter | None = None
        self._started_ns = 0
        self._rejecting = False
        self._leaving = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._site.port

    @property
    def name(self) -> str:
        """Name in responses and journal."""
        return self._options.name or f"{self._options.service}-{self.port}"

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://{self._options.host}:{self.port}"

    @property
    def in_flight(self) -> int:
        """Number of running requests."""
        return len(self._runs)

    @property
    def switches(self) -> Switches:
        """Switches in force."""
        return self._switches

    async def start(self) -> None:
        """Starts the server and, with an announcement URL, the announcements.

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
            self._spawn(Announcer(self._options, self.port, self._leaving).run())

    async def stop(self) -> None:
        """Aborts all running requests, stops the server and closes the journal."""
        for run in self._runs.values():
            run.abort_now(Abort.STOPPED)
        await self._idle.wait()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._site.stop()
        if self._journal is not None:
            self._journal.close()
            self._journal = None

    async def leave(self) -> None:
        """Announces that the upstream leaves, serves on for `linger_ms` and drains.

        Returns when no request is in flight.
        """
        self.set_switches(replace(self._switches, leaving=True))
        await asyncio.sleep(self._options.linger_ms / 1000)
        self._rejecting = True
        await self._idle.wait()

    async def wait_leaving(self) -> None:
        """Waits until the upstream begins to leave."""
        await self._leaving.wait()

    def set_switches(self, switches: Switches) -> None:
        """Replaces the switches in force and starts their effects."""
        if switches.report is not self._switches.report:
            self._reporter = REPORTERS[switches.report]()
            self._reporter.observe(boot_time_ns() / 1e9, len(self._runs))
        if switches.leaving:
            self._leaving.set()
        if switches.refuse_ms:
            self._spawn(self._refuse_connections(switches.refuse_ms / 1000))
        self._switches = replace(switches, refuse_ms=0)

    def replace_grants(self, grants: GrantSet) -> bool:
        """Replaces the grants by a newer set and aborts the runs that it does not cover.

        Args:
            grants: New set of grants.

        Returns:
            Whether the set is newer than the current one and has replaced it.
        """
        if not self._grants.replace(grants):
            return False
        now_ns = boot_time_ns()
        self._write_event(EventKind.GRANT, None, now_ns)
        for run in self._runs.values():
            abort = self._abort_reason(run.call, now_ns)
            if abort is None:
                self._schedule_abort(run, now_ns)
            else:
                run.abort_now(abort)
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
        return refusal_response(Refusal.MALFORMED, "", f"no {REQUEST_ID_HEADER}")

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
        matching_runs = [run for run in self._runs.values() if run.call.request_id == request_id]
        for run in matching_runs:
            run.abort_now(Abort.CANCELLED)
        return web.Response(status=200 if matching_runs else 404)

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
            return refusal_response(Refusal.MALFORMED, request_id, str(error))
        now_ns = boot_time_ns()
        refusal = self._refusal_of(call, now_ns)
        if refusal is not None:
            self._write_event(EventKind.REJECTED, call, now_ns, reason=refusal)
            return refusal_response(refusal, call.request_id, f"rejected: {refusal}")
        response = web.StreamResponse(status=call.behaviour.status)
        run = self._start_run(call, now_ns)
        try:
            async with run.scope:
                self._schedule_abort(run, now_ns)
                await self._execute(request, run, response)
        except RunAbortedError as error:
            return self._abort_response(request, run, response, Abort(error.reason))
        except TimeoutError:
            abort = run.abort or self._abort_reason(call, boot_time_ns()) or Abort.DEADLINE
            return self._abort_response(request, run, response, abort)
        except (ConnectionError, aiohttp.ClientPayloadError):
            return self._abort_response(request, run, response, Abort.CONNECTION)
        finally:
            self._finish_run(run)
        return response

    async def _execute(self, request: web.Request, run: Run, response: web.StreamResponse) -> None:
        call = run.call
        behaviour = call.behaviour
        digest = hashlib.sha256()
        received_bytes = 0
        async for data in request.content.iter_any():
            digest.update(data)
            received_bytes += len(data)
        await self._simulate_work(call)
        self._raise_if_aborted(run, boot_time_ns())
        if behaviour.size is None:
            body = UpstreamAnswer(
                call.request_id,
                call.key,
                call.epoch,
                self.name,
                digest.hexdigest(),
                received_bytes,
            )
            response.content_type = "application/json"
            chunks = (encode_json(body),)
        else:
            response.content_type = "application/octet-stream"
            chunks = body_chunks(call.request_id, behaviour.size, slow=behaviour.slow_body > 0)
        response.headers[REQUEST_ID_HEADER] = call.request_id
        response.headers[DIGEST_HEADER] = sha256_of(chunks)
        response.content_length = sum(map(len, chunks)) + behaviour.truncate
        await response.prepare(request)
        for number, chunk in enumerate(chunks, start=1):
            now_ns = boot_time_ns()
            self._raise_if_aborted(run, now_ns)
            if number == len(chunks):
                run.ended = True
                self._write_event(EventKind.END, call, now_ns, run=run.number)
            await response.write(chunk)
            if behaviour.slow_body and not run.ended:
                await asyncio.sleep(behaviour.slow_body / 1000)
        if behaviour.truncate:
            response.force_close()

    async def _simulate_work(self, call: Call) -> None:
        behaviour = call.behaviour
        work_ms = self._switches.work_ms if behaviour.sleep_ms is None else behaviour.sleep_ms
        work_s = work_ms / 1000 * self._cold_factor()
        if behaviour.crash:
            await asyncio.sleep(work_s / 2)
            self._write_event(EventKind.EXIT, None, boot_time_ns(), reason="crash")
            os._exit(1)
        if work_s:
            await asyncio.sleep(work_s)

    def _abort_response(
        self, request: web.Request, run: Run, response: web.StreamResponse, abort: Abort
    ) -> web.StreamResponse:
        if not run.ended:
            now_ns = boot_time_ns()
            self._write_event(EventKind.ABORTED, run.call, now_ns, run=run.number, reason=abort)
        if response.prepared:
            return abort_connection(request)
        headers = {ABORTED_HEADER: abort, REQUEST_ID_HEADER: run.call.request_id}
        return web.Response(status=503, headers=headers, text=f"aborted: {abort}")

    def _refusal_of(self, call: Call, now_ns: int) -> Refusal | None:
        if self._rejecting:
            return Refusal.LEAVING
        reason = self._abort_reason(call, now_ns)
        if reason is not None:
            return Refusal.DEADLINE if reason is Abort.DEADLINE else Refusal.GRANT
        return Refusal.SHED if len(self._runs) >= self._options.slots else None

    def _abort_reason(self, call: Call, now_ns: int) -> Abort | None:
        """Returns why a request must not run now, or None if its grant and deadline are valid."""
        if self._options.checks_grants:
            state = self._grants.state(call.shard, call.epoch, now_ns)
            if state is GrantState.EXPIRED:
                return Abort.EXPIRED
            if state is not GrantState.VALID:
                return Abort.REVOKED
        if call.deadline_ns is not None and now_ns >= call.deadline_ns:
            return Abort.DEADLINE
        return None

    def _raise_if_aborted(self, run: Run, now_ns: int) -> None:
        # After SIGCONT the timers of the execution time and of the grant may be due together and
        # fire in any order, so the clock is checked before each effect.
        abort = run.abort or self._abort_reason(run.call, now_ns)
        if abort is not None:
            raise RunAbortedError(abort)

    def _schedule_abort(self, run: Run, now_ns: int) -> None:
        """Aborts a run at its deadline or when its grant expires, whichever is earlier."""
        limits_ns = [] if run.call.deadline_ns is None else [run.call.deadline_ns]
        if self._options.checks_grants:
            limits_ns.append(self._grants.grants.expires_ns)
        if limits_ns:
            run.abort_after((min(limits_ns) - now_ns) / 1e9)

    def _start_run(self, call: Call, now_ns: int) -> Run:
        self._run_count += 1
        run = Run(self._run_count, call)
        self._runs[run.number] = run
        self._idle.clear()
        self._reporter.observe(now_ns / 1e9, len(self._runs))
        self._write_event(EventKind.START, call, now_ns, run=run.number)
        return run

    def _finish_run(self, run: Run) -> None:
        del self._runs[run.number]
        self._reporter.observe(boot_time_ns() / 1e9, len(self._runs))
        if not self._runs:
            self._idle.set()

    def _cold_factor(self) -> float:
        cold_ms = self._options.cold_start_ms
        uptime_ms = (boot_time_ns() - self._started_ns) / 1e6
        if uptime_ms >= cold_ms:
            return 1.0
        return COLD_START_FACTOR - (COLD_START_FACTOR - 1.0) * uptime_ms / cold_ms

    def _write_event(
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

    async def _refuse_connections(self, duration_s: float) -> None:
        await self._site.stop_listening()
        self._site.abort_connections()
        await asyncio.sleep(duration_s)
        await self._site.listen()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(status=status, body=encode_json(value), content_type="application/json")
