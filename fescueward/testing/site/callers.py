"""Emulated callers on the machines, and the platform's readiness checks."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp

from ...platform.names import KEY, READY_PATH, RECEIPT, REQUEST_ID, TIMEOUT_MS
from ..callers import new_request_id, without_retries
from ..program import LOOPBACK
from .records import Attempt, Evidence, response_body
from .upstream import WORK_MS

READY_PERIOD_S = 1.0
# Connect timeout of a caller, from the platform's documentation.
_CONNECT_TIMEOUT_S = 1.0
# Additional pause after a failed connection.
_FAILED_CONNECT_PAUSE_S = 0.1

# Period of the requests that probe the configuration version in force.
_PROBE_PERIOD_S = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Requests of one kind sent to each agent.

    Attributes:
        route: Name of the route, which is also its host and path prefix.
        repeatable: Whether the requests are idempotent, so that they may run more than once.
        keys: Number of distinct keys in the requests; 0 for requests without a key.
        connections: Number of callers, each with one keep-alive connection.
        pause_s: Mean pause of a caller between two requests, in seconds.
        work_ms: Minimum and maximum execution time at the upstream, in milliseconds.
        timeout_s: Request timeout of a caller, in seconds.
    """

    route: str
    repeatable: bool
    keys: int = 0
    connections: int = 2
    pause_s: float = 0.1
    work_ms: tuple[int, int] = (5, 60)
    timeout_s: float = 2.0


class AgentCallers:
    """All callers of one machine.

    Args:
        agent: Name of the agent.
        port: Port of the agent for callers.
        ready_port: Port of the agent for readiness checks.
        evidence: Receives the completed requests.
        start_number: Returns the number of the agent's current start.
        seed: Seed of pauses, keys and execution times.

    Attributes:
        ready: Whether the agent passes its readiness checks.
    """

    def __init__(
        self,
        agent: str,
        port: int,
        ready_port: int,
        evidence: Evidence,
        start_number: Callable[[], int],
        seed: int,
    ) -> None:
        self.ready = False
        self._agent = agent
        self._port = port
        self._ready_url = f"http://{LOOPBACK}:{ready_port}{READY_PATH}"
        self._evidence = evidence
        self._start_number = start_number
        self._random = random.Random(seed)

    async def poll_readiness(self) -> None:
        """Checks readiness each second; two consecutive failures make the agent not ready.

        Runs until it is cancelled.
        """
        failures = 0
        timeout = aiohttp.ClientTimeout(total=READY_PERIOD_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                try:
                    async with session.get(self._ready_url) as response:
                        failures = 0 if response.status == 200 else failures + 1
                except (aiohttp.ClientError, OSError, TimeoutError):
                    failures += 1
                self.ready = failures == 0 or (self.ready and failures < 2)
                await asyncio.sleep(READY_PERIOD_S)

    async def run_load(self, load: Load, should_stop: Callable[[], bool]) -> None:
        """Sends requests over one keep-alive connection, also while the agent stops.

        Args:
            load: Kind of the requests.
            should_stop: Returns whether to end before the next request.
        """
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=60)
        async with without_retries(aiohttp.ClientSession(connector=connector)) as session:
            while not should_stop():
                attempt = await self.send(session, load)
                pause_s = self._random.expovariate(1 / load.pause_s)
                await asyncio.sleep(
                    pause_s if attempt.connected else pause_s + _FAILED_CONNECT_PAUSE_S
                )

    async def probe(
        self, routes: Callable[[], tuple[str, ...]], should_stop: Callable[[], bool]
    ) -> None:
        """Sends requests that show which configuration versions are in force.

        Args:
            routes: Returns the routes to probe, each of which only one version contains.
            should_stop: Returns whether to end before the next round.
        """
        async with without_retries(aiohttp.ClientSession()) as session:
            while not should_stop():
                for route in routes():
                    load = Load(route=route, repeatable=True, work_ms=(0, 0), timeout_s=1.0)
                    await self.send(session, load)
                await asyncio.sleep(_PROBE_PERIOD_S)

    async def send(
        self, session: aiohttp.ClientSession, load: Load, work_ms: int | None = None
    ) -> Attempt:
        """Sends one request and records its result.

        Args:
            session: HTTP session of the caller.
            load: Kind of the request.
            work_ms: Execution time at the upstream, in milliseconds; drawn from `load.work_ms` if
                None.

        Returns:
            The recorded result. Connection errors and timeouts are part of it.
        """
        request_id = new_request_id()
        key = self._random.randrange(load.keys) * (65_536 // load.keys) if load.keys else None
        work_ms = self._random.randint(*load.work_ms) if work_ms is None else work_ms
        headers = {
            "Host": load.route,
            REQUEST_ID: request_id,
            TIMEOUT_MS: str(int(load.timeout_s * 1000)),
        }
        if key is not None:
            headers[KEY] = str(key)
        url = f"http://{LOOPBACK}:{self._port}/{load.route}/x?{WORK_MS}={work_ms}"
        start_number, sent = self._start_number(), time.monotonic()
        status, receipt, echoed_id, complete, connected, error = 0, "", "", False, True, ""
        method = "GET" if load.repeatable else "POST"
        timeout = aiohttp.ClientTimeout(total=load.timeout_s, sock_connect=_CONNECT_TIMEOUT_S)
        try:
            async with session.request(method, url, headers=headers, timeout=timeout) as response:
                body = await response.read()
                status = response.status
                receipt = response.headers.get(RECEIPT, "")
                echoed_id = response.headers.get(REQUEST_ID, "")
                complete = body == response_body(request_id)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as failure:
            connected, error = False, type(failure).__name__
        except (aiohttp.ClientError, OSError, TimeoutError) as failure:
            error = type(failure).__name__
        attempt = Attempt(
            id=request_id,
            agent=self._agent,
            life=start_number,
            route=load.route,
            repeatable=load.repeatable,
            key=key,
            sent=sent,
            ended=time.monotonic(),
            timeout_s=load.timeout_s,
            status=status,
            receipt=receipt,
            echo=echoed_id,
            whole=complete,
            connected=connected,
            error=error,
        )
        self._evidence.attempts.append(attempt)
        return attempt
