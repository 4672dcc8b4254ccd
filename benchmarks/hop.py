"""CPU and latency of one request through the router, against a plain aiohttp proxy.

The same requests are sent in turn through the plain proxy, through the owner's agent and through
another agent. CPU is that of the agent processes, or of the proxy, in the middle half of the
rounds. All paths lead to the same upstream, which checks no grants so that the proxy can use it.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import statistics
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from pathlib import Path

import aiohttp
import psutil
import uvloop

from fescueward import Client, FescuewardError
from fescueward.messages import Entry
from fescueward.testing.callers import new_request_id, without_retries
from fescueward.testing.harness import SECRET, Deployment
from fescueward.testing.load import percentile
from fescueward.testing.ports import PortReservations
from fescueward.testing.processes import ManagedProcess
from fescueward.testing.specs import DeploymentSpec, MemberSpec, service_spec
from fescueward.testing.waiting import wait_until

ROUND_COUNT = 24
REQUESTS_PER_ROUND = 400
CALLER_COUNT = 8
WARM_UP_REQUESTS = 400
LATENCY_REQUEST_COUNT = 600
RESPONSE_BYTES = 512
KEY = "stock-1"
_ROOT = Path(__file__).resolve().parents[1]

Send = Callable[[], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class HopFigures:
    """Figures of the benchmark `hop`.

    Attributes:
        direct_ratio: CPU per request of the owner's agent, divided by that of the plain proxy;
            goal 1.2.
        forwarded_ratio: CPU per request of both agents, divided by that of one plain proxy; goal
            1.3.
        forwarded_chain_ratio: CPU per request of both agents, divided by that of two chained
            plain proxies.
        library_ratio: CPU per request of the owner's agent when the caller uses the client
            library, divided by that of the plain proxy.
        proxy_ms: CPU of the plain proxy per request, in ms.
        direct_ms: CPU of the agent per direct request, in ms.
        forwarded_ms: CPU of both agents per forwarded request, in ms.
        quiet_direct_ratio: `direct_ratio` with log level WARNING.
        quiet_forwarded_ratio: `forwarded_ratio` with log level WARNING.
        log_ms: CPU for the log lines of a direct request, in ms.
        added_p50_ms: Median latency of a direct hop minus that without a hop, in ms.
        added_p99_ms: 99th percentile of the latency of a direct hop minus that without a hop, in
            ms.
        failures: Number of requests that failed; the figures are valid only if it is 0.
    """

    direct_ratio: float
    forwarded_ratio: float
    forwarded_chain_ratio: float
    library_ratio: float
    proxy_ms: float
    direct_ms: float
    forwarded_ms: float
    quiet_direct_ratio: float
    quiet_forwarded_ratio: float
    log_ms: float
    added_p50_ms: float
    added_p99_ms: float
    failures: int


@dataclass(slots=True)
class _Path:
    """One path of a request to the upstream, with the CPU and latency measured on it."""

    name: str
    send: Send
    processes: Callable[[], tuple[ManagedProcess, ...]]
    rounds_ms: list[float] = field(default_factory=list)
    failures: int = 0
    latencies_ms: list[float] = field(default_factory=list)

    @property
    def cpu_ms(self) -> float:
        """CPU per request in ms: the mean over the middle half of the rounds.

        The other rounds are left out because other load on the machine disturbs single rounds.
        """
        quarter = len(self.rounds_ms) // 4
        return statistics.fmean(sorted(self.rounds_ms)[quarter : len(self.rounds_ms) - quarter])


def hop_deployment(log_level: str) -> DeploymentSpec:
    """Returns a deployment of two members whose upstreams check no grants.

    Args:
        log_level: Lowest level that the agents log.
    """
    template = MemberSpec(name="", failure_domain="", slots=64, connections=200)
    service = service_spec(
        Entry("depot", "benchmarks", shard_count=16),
        2,
        ("lowell", "nashua"),
        replace(template, checks_grants=False),
    )
    return DeploymentSpec(services=(service,), log_level=log_level, journals=False)


def run() -> HopFigures:
    """Measures two deployments that differ in their log level."""
    return uvloop.run(_run())


async def _run() -> HopFigures:
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(
            without_retries(aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)))
        )
        ports = PortReservations()
        stack.callback(ports.close)
        info_pair = await _start_pair(stack, "INFO")
        warning_pair = await _start_pair(stack, "WARNING")
        upstream_url = info_pair.owner.upstream_url
        first_proxy = await _plain_proxy(stack, ports, info_pair.deployment, upstream_url)
        second_proxy = await _plain_proxy(stack, ports, info_pair.deployment, first_proxy.url)

        def via(url: str) -> Send:
            return lambda: _send(session, url, KEY)

        no_hop = _Path("none", via(upstream_url), tuple)
        proxy = _Path("proxy", via(first_proxy.url), lambda: (first_proxy.process,))
        chain = _Path(
            "chain", via(second_proxy.url), lambda: (first_proxy.process, second_proxy.process)
        )
        direct, forwarded = _router_paths(info_pair, session)
        quiet_direct, quiet_forwarded = _router_paths(warning_pair, session)
        library = await _library_path(stack, info_pair)
        paths = (no_hop, proxy, chain, direct, forwarded, library, quiet_direct, quiet_forwarded)
        for path in paths:
            await _run_round(path, WARM_UP_REQUESTS)
            path.rounds_ms.clear()
        # Short rounds alternate between the paths, so that other load on the machine affects all
        # paths equally.
        for _ in range(ROUND_COUNT):
            await info_pair.find_owner()
            await warning_pair.find_owner()
            for path in paths:
                await _run_round(path, REQUESTS_PER_ROUND)
        for _ in range(LATENCY_REQUEST_COUNT):
            for path in (no_hop, direct):
                await _measure_latency(path)
    return HopFigures(
        direct_ratio=round(direct.cpu_ms / proxy.cpu_ms, 3),
        forwarded_ratio=round(forwarded.cpu_ms / proxy.cpu_ms, 3),
        forwarded_chain_ratio=round(forwarded.cpu_ms / chain.cpu_ms, 3),
        library_ratio=round(library.cpu_ms / proxy.cpu_ms, 3),
        proxy_ms=round(proxy.cpu_ms, 4),
        direct_ms=round(direct.cpu_ms, 4),
        forwarded_ms=round(forwarded.cpu_ms, 4),
        quiet_direct_ratio=round(quiet_direct.cpu_ms / proxy.cpu_ms, 3),
        quiet_forwarded_ratio=round(quiet_forwarded.cpu_ms / proxy.cpu_ms, 3),
        log_ms=round(direct.cpu_ms - quiet_direct.cpu_ms, 4),
        added_p50_ms=round(_added_ms(no_hop, direct, 50), 3),
        added_p99_ms=round(_added_ms(no_hop, direct, 99), 3),
        failures=sum(path.failures for path in paths),
    )


class _AgentPair:
    """Two agents, one of which currently owns the key. Placement can move the key."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.owner, self.other = deployment.members

    async def find_owner(self) -> None:
        if await self.deployment.owner("depot", KEY) is not self.owner:
            self.owner, self.other = self.other, self.owner


async def _start_pair(stack: contextlib.AsyncExitStack, log_level: str) -> _AgentPair:
    deployment = await stack.enter_async_context(Deployment(hop_deployment(log_level)))
    await deployment.wait_ready()
    pair = _AgentPair(deployment)
    await pair.find_owner()
    return pair


def _router_paths(pair: _AgentPair, session: aiohttp.ClientSession) -> tuple[_Path, _Path]:
    direct = _Path(
        "direct",
        lambda: _send(session, f"{pair.owner.url}/depot", KEY),
        lambda: (pair.owner.agent,),
    )
    forwarded = _Path(
        "forwarded",
        lambda: _send(session, f"{pair.other.url}/depot", KEY),
        lambda: (pair.owner.agent, pair.other.agent),
    )
    return direct, forwarded


async def _library_path(stack: contextlib.AsyncExitStack, pair: _AgentPair) -> _Path:
    seeds = [("127.0.0.1", member.ports.advertised_peers) for member in (pair.owner, pair.other)]
    client = await stack.enter_async_context(Client(seeds, SECRET))

    async def send() -> bool:
        try:
            response = await client.request("depot", KEY, path=f"/stock?size={RESPONSE_BYTES}")
        except FescuewardError:
            return False
        return response.status == 200 and len(response.body) == RESPONSE_BYTES

    return _Path("library", send, lambda: (pair.owner.agent,))


def _added_ms(without: _Path, hop: _Path, percent: float) -> float:
    return percentile(hop.latencies_ms, percent) - percentile(without.latencies_ms, percent)


@dataclass(frozen=True, slots=True)
class _RunningProxy:
    process: ManagedProcess
    url: str


async def _plain_proxy(
    stack: contextlib.AsyncExitStack, ports: PortReservations, deployment: Deployment, target: str
) -> _RunningProxy:
    port = ports.reserve()
    arguments = (sys.executable, "-m", "benchmarks._plain_proxy", target, str(port))
    environment = {**os.environ, "PYTHONPATH": str(_ROOT)}
    log = deployment.directory / f"proxy-{port}.log"
    process = ManagedProcess(f"proxy-{port}", arguments, log, environment)
    await process.start()
    stack.push_async_callback(process.stop)

    async def listens() -> bool:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return False
        writer.close()
        return True

    await wait_until(listens, 10.0, "the plain proxy listens")
    return _RunningProxy(process, f"http://127.0.0.1:{port}")


async def _send(session: aiohttp.ClientSession, url: str, key: str) -> bool:
    headers = {"Fescueward-Request-Id": new_request_id(), "Fescueward-Key": key}
    try:
        async with session.get(f"{url}/stock?size={RESPONSE_BYTES}", headers=headers) as response:
            return response.status == 200 and len(await response.read()) == RESPONSE_BYTES
    except (aiohttp.ClientError, TimeoutError):
        return False


async def _run_round(path: _Path, requests: int) -> None:
    remaining = requests

    async def caller() -> None:
        nonlocal remaining
        while remaining > 0:
            remaining -= 1
            path.failures += not await path.send()

    processes = path.processes()
    before = _cpu_s(processes)
    await asyncio.gather(*(caller() for _ in range(CALLER_COUNT)))
    path.rounds_ms.append((_cpu_s(processes) - before) / requests * 1000)


async def _measure_latency(path: _Path) -> None:
    started_s = time.perf_counter()
    path.failures += not await path.send()
    path.latencies_ms.append((time.perf_counter() - started_s) * 1000)


def _cpu_s(processes: tuple[ManagedProcess, ...]) -> float:
    times = (psutil.Process(process.pid).cpu_times() for process in processes)
    return sum(time.user + time.system for time in times)
