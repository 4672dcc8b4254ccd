"""Deployment of the emulated platform with real agent processes on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType

from ...platform.names import SETTINGS_VARIABLE
from ..errors import ConditionTimeoutError
from ..ports import PortReservations
from ..processes import ManagedProcess
from ..program import LOOPBACK
from ..proxy import FaultProxy
from ..waiting import wait_until
from .callers import AgentCallers, Load
from .judge import EVACUATE_S
from .operator import GRACE_S, AgentProcess, Configurator
from .records import STARVED, Disturbance, Evacuation, Evidence, Stall
from .store import SiteStore
from .upstream import HEARTBEAT_PERIOD_S, SiteUpstream, UpstreamSpec

_REPOSITORY_ROOT = Path(__file__).resolve().parents[3]
_EVACUATIONS_KIND = "evacuations"
_READY_TIMEOUT_S = 20.0
_STALL_CHECK_PERIOD_S = 0.02
# Delay of the event loop that counts as a stall: half of `judge.LOSS_SLACK_S`, the shortest bound
# of a rule.
_STALL_THRESHOLD_S = 0.1
# An agent that waits for a processor for longer than the threshold in one period counts as running
# on a slowed machine, which the platform's rules treat as a disturbance.
_STARVATION_PERIOD_S = 0.5
_STARVATION_THRESHOLD_S = 0.25


@dataclass(frozen=True, slots=True)
class SiteSpec:
    """Composition of a deployment.

    Attributes:
        services: Number of machines by service.
        keyed: Services whose keys are partitioned among their upstreams.
        failure_domains: Failure domains, assigned to machines round-robin.
        slots: Maximum number of concurrent requests per upstream.
        seed: Seed of callers, upstreams and store.
        settings: Further lines of each agent's settings file.
        limits: Limits in the configuration that differ from the usual ones.
    """

    services: dict[str, int] = field(
        default_factory=lambda: {"catalogue": 2, "orders": 2, "proofing": 2}
    )
    keyed: frozenset[str] = frozenset({"catalogue"})
    failure_domains: tuple[str, ...] = ("ahmedabad", "gandhinagar", "vadodara")
    slots: int = 12
    seed: int = 0
    settings: dict[str, float] = field(default_factory=dict)
    limits: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Machine:
    """One machine with its agent, upstream and callers, and the proxies on the agent's links.

    Attributes:
        name: Name of the machine and of its agent.
        service: Service of its upstream.
        agent: Agent process.
        upstream: Emulated upstream.
        callers: Emulated callers.
        store_proxy: Proxy between agent and store.
        upstream_proxy: Proxy between agent and upstream.
    """

    name: str
    service: str
    agent: AgentProcess
    upstream: SiteUpstream
    callers: AgentCallers
    store_proxy: FaultProxy
    upstream_proxy: FaultProxy


class SiteDeployment:
    """Async context manager that runs the emulator and the agents.

    Args:
        spec: Composition of the deployment.
        directory: Directory of settings files and logs; a temporary directory if None.

    Attributes:
        evidence: Evidence recorded so far.
        store: Emulated object store.
        configurator: Writes configuration versions to the store.
        machines: Machines by name.
    """

    def __init__(self, spec: SiteSpec, directory: Path | None = None) -> None:
        self.evidence = Evidence()
        self.store = SiteStore(spec.seed)
        services = {name: name in spec.keyed for name in spec.services}
        self.configurator = Configurator(self.store, services, self.evidence, spec.limits)
        self.machines: dict[str, Machine] = {}
        self._spec = spec
        self._directory = directory
        self._ports = PortReservations()
        self._cleanup = contextlib.AsyncExitStack()
        self._load_tasks: list[asyncio.Task[None]] = []
        self._sending = True
        # Number of evacuations in force by failure domain.
        self._evacuations: Counter[str] = Counter()

    async def __aenter__(self) -> SiteDeployment:
        if self._directory is None:
            temporary = tempfile.TemporaryDirectory(prefix="fescueward-site-")
            self._directory = Path(self._cleanup.enter_context(temporary))
        self._cleanup.callback(self._ports.close)
        try:
            for monitor in (_record_stalls(self.evidence), self._record_starvation()):
                self._cleanup.callback(asyncio.create_task(monitor).cancel)
            await self.store.start()
            self._cleanup.push_async_callback(self.store.stop)
            self.configurator.write_next_version()
            number = 0
            for service, count in self._spec.services.items():
                for _ in range(count):
                    await self._add_machine(number, service)
                    number += 1
        except BaseException:
            await self._cleanup.aclose()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop_load()
        await self._cleanup.aclose()

    @property
    def failure_domains(self) -> tuple[str, ...]:
        """Names of the failure domains."""
        return self._spec.failure_domains

    @property
    def directory(self) -> Path:
        """Directory of settings files and logs."""
        assert self._directory is not None
        return self._directory

    async def wait_ready(self, timeout_s: float = _READY_TIMEOUT_S) -> None:
        """Waits until all agents are ready.

        Args:
            timeout_s: Timeout in seconds.

        Raises:
            ConditionTimeoutError: An agent is not ready when the timeout is over.
        """
        await wait_until(
            lambda: all(machine.callers.ready for machine in self.machines.values()),
            timeout_s,
            "all agents are ready",
        )

    async def wait_served(self, loads: Iterable[Load], within_s: float) -> None:
        """Waits until each agent has served a request of each kind that was sent after the call.

        Args:
            loads: Kinds of requests.
            within_s: Timeout in seconds.

        Raises:
            ConditionTimeoutError: A pair of agent and route was not served in time. The message
                names these pairs.
        """
        loads = tuple(loads)
        since = time.monotonic()
        missing: set[tuple[str, str]] = set()

        def all_served() -> bool:
            missing.clear()
            missing.update((name, load.route) for name in self.machines for load in loads)
            for attempt in reversed(self.evidence.attempts):
                if attempt.ended < since:
                    break
                if attempt.served and attempt.sent >= since:
                    missing.discard((attempt.agent, attempt.route))
            return not missing

        try:
            await wait_until(all_served, within_s, "every agent serves every route")
        except ConditionTimeoutError as error:
            raise ConditionTimeoutError(f"{error}; not served: {sorted(missing)}") from None

    def log_lines(self, name: str, count: int = 5) -> str:
        """Returns the last lines of an agent's log.

        Args:
            name: Name of the agent.
            count: Maximum number of lines.
        """
        lines = (self.directory / f"{name}.log").read_text(errors="replace").splitlines()
        return "\n".join(lines[-count:])

    async def evacuate(self, domain: str, seconds: float) -> None:
        """Evacuates a failure domain for a number of seconds, as the operator.

        Evacuations of a domain may overlap; each is recorded when it ends.
        """
        self.store.write(_EVACUATIONS_KIND, domain, b"{}")
        acknowledged = time.monotonic()
        self._evacuations[domain] += 1
        await asyncio.sleep(seconds)
        self._evacuations[domain] -= 1
        self.evidence.evacuations.append(
            Evacuation(
                domain=domain,
                machines=tuple(
                    name
                    for name, machine in self.machines.items()
                    if machine.upstream.spec.failure_domain == domain
                ),
                acknowledged=acknowledged,
                removed=time.monotonic(),
            )
        )
        if not self._evacuations[domain]:
            self.store.remove(_EVACUATIONS_KIND, domain)

    def start_load(self, loads: Iterable[Load]) -> None:
        """Starts callers for each kind of request on all machines."""
        for machine in self.machines.values():
            for load in loads:
                for _ in range(load.connections):
                    load_run = machine.callers.run_load(load, lambda: not self._sending)
                    self._load_tasks.append(asyncio.create_task(load_run))

    def start_probes(self) -> None:
        """Starts requests to the routes of the newest configuration versions on all machines."""
        for machine in self.machines.values():
            probe = machine.callers.probe(
                lambda: self.configurator.newest_routes, lambda: not self._sending
            )
            self._load_tasks.append(asyncio.create_task(probe))

    async def stop_load(self) -> None:
        """Stops all callers after their current requests and ends all open holds.

        Ending the holds adds them to the evidence.
        """
        self._sending = False
        await asyncio.gather(*self._load_tasks)
        self._load_tasks.clear()
        for machine in self.machines.values():
            machine.upstream.holds.end_all()

    async def _record_starvation(self) -> None:
        """Records periods in which an agent was runnable but waited for a processor."""
        last_wait_s: dict[int, float] = {}
        checked_at = time.monotonic()
        while True:
            await asyncio.sleep(_STARVATION_PERIOD_S)
            since, checked_at = checked_at, time.monotonic()
            for machine in self.machines.values():
                pid, total_s = machine.agent.pid, machine.agent.processor_wait_s
                if total_s - last_wait_s.get(pid, total_s) > _STARVATION_THRESHOLD_S:
                    fault = Disturbance(
                        machine=machine.name, since=since, until=checked_at, what=STARVED
                    )
                    self.evidence.disturbances.append(fault)
                last_wait_s[pid] = total_s

    async def _add_machine(self, number: int, service: str) -> None:
        name = f"{service}-{number}"
        domain = self._spec.failure_domains[number % len(self._spec.failure_domains)]
        port_names = ("inbound", "outbound", "ready", "admin", "first", "last", "upstream")
        ports = {port_name: self._ports.reserve() for port_name in port_names}
        store_proxy = FaultProxy(self.store.port)
        upstream_proxy = FaultProxy(ports["upstream"])
        for proxy in (store_proxy, upstream_proxy):
            await proxy.start()
            self._cleanup.push_async_callback(proxy.stop)
        settings = self.directory / f"{name}.conf"
        address = f"{LOOPBACK}:{upstream_proxy.port}"
        settings.write_text(
            _settings(name, service, domain, ports, address, store_proxy.port, self._spec)
        )
        environment = {
            **os.environ,
            "PYTHONPATH": str(_REPOSITORY_ROOT),
            SETTINGS_VARIABLE: str(settings),
        }
        process = ManagedProcess(
            name,
            (sys.executable, "-m", "fescueward.daemons"),
            self.directory / f"{name}.log",
            environment,
        )
        agent = AgentProcess(process, settings, self.evidence)
        seed = self._spec.seed * 1000 + number
        upstream = SiteUpstream(
            UpstreamSpec(
                machine=name,
                service=service,
                failure_domain=domain,
                keyed=service in self._spec.keyed,
                slots=self._spec.slots,
                address=address,
                agent_port=ports["admin"],
            ),
            ports["upstream"],
            self.evidence,
            seed,
        )
        callers = AgentCallers(
            name,
            ports["outbound"],
            ports["ready"],
            self.evidence,
            lambda: agent.start_number,
            seed,
        )
        self.machines[name] = Machine(
            name=name,
            service=service,
            agent=agent,
            upstream=upstream,
            callers=callers,
            store_proxy=store_proxy,
            upstream_proxy=upstream_proxy,
        )
        agent.start()
        self._cleanup.push_async_callback(agent.stop)
        await upstream.start()
        self._cleanup.push_async_callback(upstream.crash)
        readiness = asyncio.create_task(callers.poll_readiness())
        self._cleanup.callback(readiness.cancel)


async def _record_stalls(evidence: Evidence) -> None:
    """Records periods in which the event loop was blocked."""
    while True:
        due = time.monotonic() + _STALL_CHECK_PERIOD_S
        await asyncio.sleep(_STALL_CHECK_PERIOD_S)
        now = time.monotonic()
        if now - due > _STALL_THRESHOLD_S:
            evidence.stalls.append(Stall(due, now))


def _settings(
    name: str,
    service: str,
    domain: str,
    ports: dict[str, int],
    upstream: str,
    store_port: int,
    spec: SiteSpec,
) -> str:
    """Returns the settings file of an agent."""
    lines = {
        "nodeName": name,
        "role": "agent",
        "machineClass": "sidecar",
        "serves": "sidecar",
        "ip": LOOPBACK,
        "zone": domain,
        "region": "gujarat",
        **{f"zones.{zone}": "gujarat" for zone in spec.failure_domains},
        "listen.inbound": f"{LOOPBACK}:{ports['inbound']}",
        "listen.outbound": f"{LOOPBACK}:{ports['outbound']}",
        "listen.ready": f"{LOOPBACK}:{ports['ready']}",
        "listen.admin": f"{LOOPBACK}:{ports['admin']}",
        "internalPorts": f"{ports['first']},{ports['last']}",
        "seeds": "",
        "bootstrap": "true",
        "heartbeatS": HEARTBEAT_PERIOD_S,
        "bounds": f"drainS=2,graceS={GRACE_S:g},retryRatio=0.2,budgetWindowS=10,retryBurst=64,"
        f"coldOver=1.5,coldSlack=8,evacuateS={EVACUATE_S:g},holdMaxS=10,thawSlackS=0.3",
        "grants": "call",
        "appAddr": upstream,
        "service": service,
        "infra.address": f"{LOOPBACK}:{store_port}",
        "infra.form": "objects",
        **spec.settings,
    }
    return "".join(f"{key}={value}\n" for key, value in lines.items())
