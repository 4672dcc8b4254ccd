"""Callers on the machines, and the platform's question for readiness."""

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
from .records import Attempt, Evidence, answer_body
from .upstream import WORK_MS

READY_PERIOD_S = 1.0
# Time that a caller allows for a new connection, by the platform's pages.
_CONNECT_S = 1.0
# Pause of a caller that could not connect.
_PAUSE_S = 0.1

# Time between two questions for the version of the configuration, in seconds.
_PROBE_PERIOD_S = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Requests of one kind at one agent.

    Attributes:
        route: Name of the route, which is also host and prefix.
        repeatable: Whether they may run more than once.
        keys: Keys that they name; 0 for none.
        connections: Callers with a kept connection each.
        pause_s: Mean pause of a caller between two requests.
        work_ms: Shortest and longest work of an upstream.
        timeout_s: How long a caller waits.
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
        port: Its port for callers.
        ready_port: Its port for the question for readiness.
        evidence: Where ended requests are kept.
        life: Returns the number of the agent's present start.
        seed: Seed of pauses, keys and work.
    """

    def __init__(
        self,
        agent: str,
        port: int,
        ready_port: int,
        evidence: Evidence,
        life: Callable[[], int],
        seed: int,
    ) -> None:
        self.ready = False
        self._agent = agent
        self._port = port
        self._ready_url = f"http://{LOOPBACK}:{ready_port}{READY_PATH}"
        self._evidence = evidence
        self._life = life
        self._random = random.Random(seed)

    async def ask_readiness(self) -> None:
        """Asks each second whether the agent is ready; two misses in a row mean that it is not."""
        misses = 0
        timeout = aiohttp.ClientTimeout(total=READY_PERIOD_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                try:
                    async with session.get(self._ready_url) as answer:
                        misses = 0 if answer.status == 200 else misses + 1
                except (aiohttp.ClientError, OSError, TimeoutError):
                    misses += 1
                self.ready = misses == 0 or (self.ready and misses < 2)
                await asyncio.sleep(READY_PERIOD_S)

    async def send_all(self, load: Load, until: Callable[[], bool]) -> None:
        """Keeps one connection and sends over it, also while the agent stops.

        Args:
            load: What to send.
            until: Tells when to end.
        """
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=60)
        async with without_retries(aiohttp.ClientSession(connector=connector)) as session:
            while not until():
                attempt = await self.send(session, load)
                pause_s = self._random.expovariate(1 / load.pause_s)
                await asyncio.sleep(pause_s if attempt.connected else pause_s + _PAUSE_S)

    async def probe(
        self, routes: Callable[[], tuple[str, ...]], until: Callable[[], bool]
    ) -> None:
        """Asks which version of the configuration is in force.

        Args:
            routes: Returns routes that one version has each.
            until: Tells when to end.
        """
        async with without_retries(aiohttp.ClientSession()) as session:
            while not until():
                for route in routes():
                    load = Load(route=route, repeatable=True, work_ms=(0, 0), timeout_s=1.0)
                    await self.send(session, load)
                await asyncio.sleep(_PROBE_PERIOD_S)

    async def send(
        self, session: aiohttp.ClientSession, load: Load, work_ms: int | None = None
    ) -> Attempt:
        """Sends one request and notes its end.

        Args:
            session: Session of the caller.
            load: Kind of the request.
            work_ms: Work of the upstream; drawn from the load without it.
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
        life, sent = self._life(), time.monotonic()
        status, proof, echo, whole, connected, error = 0, "", "", False, True, ""
        method = "GET" if load.repeatable else "POST"
        timeout = aiohttp.ClientTimeout(total=load.timeout_s, sock_connect=_CONNECT_S)
        try:
            async with session.request(method, url, headers=headers, timeout=timeout) as answer:
                body = await answer.read()
                status = answer.status
                proof = answer.headers.get(RECEIPT, "")
                echo = answer.headers.get(REQUEST_ID, "")
                whole = body == answer_body(request_id)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as failure:
            connected, error = False, type(failure).__name__
        except (aiohttp.ClientError, OSError, TimeoutError) as failure:
            error = type(failure).__name__
        attempt = Attempt(
            id=request_id,
            agent=self._agent,
            life=life,
            route=load.route,
            repeatable=load.repeatable,
            key=key,
            sent=sent,
            ended=time.monotonic(),
            timeout_s=load.timeout_s,
            status=status,
            receipt=proof,
            echo=echo,
            whole=whole,
            connected=connected,
            error=error,
        )
        self._evidence.attempts.append(attempt)
        return attempt
