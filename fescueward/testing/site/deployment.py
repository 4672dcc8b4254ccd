"""Store, upstreams, operator, callers and real agents on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import tempfile
import time
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
from .operator import GRACE_S, AgentProcess, Configurator
from .records import STARVED, Disturbance, Evidence, Stall
from .store import SiteStore
from .upstream import HEARTBEAT_S, SiteUpstream, UpstreamSpec

_ROOT = Path(__file__).resolve().parents[3]
_READY_TIMEOUT_S = 20.0
_LAG_PERIOD_S = 0.02
# Half of the loss slack, the shortest bound of a rule, in seconds.
_STALL_S = 0.1
# An agent that waits for a processor for so long of each period, in seconds, is a machine that was
# made slow; the rules count this as a disturbance.
_STARVED_PERIOD_S = 0.5
_STARVED_S = 0.25


@dataclass(frozen=True, slots=True)
class SiteSpec:
    """What a deployment consists of.

    Attributes:
        services: Number of machines by service.
        keyed: Services that are divided by key.
        failure_domains: Failure domains, which machines take in turn.
        slots: Slots of each upstream.
        seed: Seed of callers, upstreams and store.
    """

    services: dict[str, int] = field(
        default_factory=lambda: {"catalogue": 2, "orders": 2, "proofing": 2}
    )
    keyed: frozenset[str] = frozenset({"catalogue"})
    failure_domains: tuple[str, ...] = ("ahmedabad", "gandhinagar", "vadodara")
    slots: int = 12
    seed: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Machine:
    """One machine: agent, upstream, callers, and the proxies on the agent's links.

    Attributes:
        name: Its name.
        service: Service of its upstream.
        agent: The agent.
        upstream: The upstream.
        callers: Callers on it.
        store_proxy: Between agent and store.
        upstream_proxy: Between agent and upstream.
    """

    name: str
    service: str
    agent: AgentProcess
    upstream: SiteUpstream
    callers: AgentCallers
    store_proxy: FaultProxy
    upstream_proxy: FaultProxy


class SiteDeployment:
    """An async context in which all parts run.

    Args:
        spec: What to start.
        directory: Where settings and logs go; a temporary directory without it.

    Attributes:
        evidence: What callers, upstreams and the operator saw.
        store: The store.
        configurator: Writes configurations.
        machines: All machines by name.
    """

    def __init__(self, spec: SiteSpec, directory: Path | None = None) -> None:
        self.evidence = Evidence()
        self.store = SiteStore(spec.seed)
        services = {name: name in spec.keyed for name in spec.services}
        self.configurator = Configurator(self.store, services, self.evidence)
        self.machines: dict[str, Machine] = {}
        self._spec = spec
        self._directory = directory
        self._ports = PortReservations()
        self._cleanup = contextlib.AsyncExitStack()
        self._loads: list[asyncio.Task[None]] = []
        self._sending = True

    async def __aenter__(self) -> SiteDeployment:
        if self._directory is None:
            temporary = tempfile.TemporaryDirectory(prefix="fescueward-site-")
            self._directory = Path(self._cleanup.enter_context(temporary))
        self._cleanup.callback(self._ports.close)
        try:
            for watching in (_note_stalls(self.evidence), self._note_starved()):
                self._cleanup.callback(asyncio.create_task(watching).cancel)
            await self.store.start()
            self._cleanup.push_async_callback(self.store.stop)
            self.configurator.change()
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
    def directory(self) -> Path:
        """Directory of settings and logs."""
        assert self._directory is not None
        return self._directory

    async def wait_ready(self, timeout_s: float = _READY_TIMEOUT_S) -> None:
        """Waits until all agents are ready.

        Args:
            timeout_s: How long, in seconds.

        Raises:
            ConditionTimeoutError: One is not.
        """
        await wait_until(
            lambda: all(machine.callers.ready for machine in self.machines.values()),
            timeout_s,
            "all agents are ready",
        )

    async def wait_served(self, loads: Iterable[Load], within_s: float) -> None:
        """Waits until each kind of request is served by each agent.

        Raises:
            ConditionTimeoutError: One is not.
        """
        loads = tuple(loads)
        since = time.monotonic()
        missing: set[tuple[str, str]] = set()

        def served() -> bool:
            missing.clear()
            missing.update((name, load.route) for name in self.machines for load in loads)
            for attempt in reversed(self.evidence.attempts):
                if attempt.ended < since:
                    break
                if attempt.served and attempt.sent >= since:
                    missing.discard((attempt.agent, attempt.route))
            return not missing

        try:
            await wait_until(served, within_s, "every agent serves every route")
        except ConditionTimeoutError as error:
            raise ConditionTimeoutError(f"{error}; not served: {sorted(missing)}") from None

    def log_lines(self, name: str, count: int = 5) -> str:
        """Returns the last lines of an agent's log."""
        lines = (self.directory / f"{name}.log").read_text(errors="replace").splitlines()
        return "\n".join(lines[-count:])

    def start_load(self, loads: Iterable[Load]) -> None:
        """Starts the callers of all machines."""
        for machine in self.machines.values():
            for load in loads:
                for _ in range(load.connections):
                    sending = machine.callers.send_all(load, lambda: not self._sending)
                    self._loads.append(asyncio.create_task(sending))

    def start_probes(self) -> None:
        """Starts requests on the routes of the newest versions of the configuration."""
        for machine in self.machines.values():
            probing = machine.callers.probe(
                lambda: self.configurator.newest_routes, lambda: not self._sending
            )
            self._loads.append(asyncio.create_task(probing))

    async def stop_load(self) -> None:
        """Lets all callers end after their present request; closes the book of holds."""
        self._sending = False
        await asyncio.gather(*self._loads)
        self._loads.clear()
        for machine in self.machines.values():
            machine.upstream.holds.end()

    async def _note_starved(self) -> None:
        """Notes when an agent was ready to run and got no processor from the kernel."""
        waited: dict[int, float] = {}
        at = time.monotonic()
        while True:
            await asyncio.sleep(_STARVED_PERIOD_S)
            since, at = at, time.monotonic()
            for machine in self.machines.values():
                pid, total_s = machine.agent.pid, machine.agent.waited_s
                if total_s - waited.get(pid, total_s) > _STARVED_S:
                    fault = Disturbance(machine=machine.name, since=since, until=at, what=STARVED)
                    self.evidence.disturbances.append(fault)
                waited[pid] = total_s

    async def _add_machine(self, number: int, service: str) -> None:
        name = f"{service}-{number}"
        domain = self._spec.failure_domains[number % len(self._spec.failure_domains)]
        names = ("inbound", "outbound", "ready", "admin", "first", "last", "upstream")
        ports = {one: self._ports.reserve() for one in names}
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
        environment = {**os.environ, "PYTHONPATH": str(_ROOT), SETTINGS_VARIABLE: str(settings)}
        process = ManagedProcess(
            name,
            (sys.executable, "-m", "fescueward.daemons.platform_agent"),
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
            name, ports["outbound"], ports["ready"], self.evidence, lambda: agent.life, seed
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
        self._cleanup.push_async_callback(agent.end)
        await upstream.start()
        self._cleanup.push_async_callback(upstream.crash)
        asking = asyncio.create_task(callers.ask_readiness())
        self._cleanup.callback(asking.cancel)


async def _note_stalls(evidence: Evidence) -> None:
    """Notes when the event loop runs late."""
    while True:
        due = time.monotonic() + _LAG_PERIOD_S
        await asyncio.sleep(_LAG_PERIOD_S)
        now = time.monotonic()
        if now - due > _STALL_S:
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
        "heartbeatS": HEARTBEAT_S,
        "bounds": f"drainS=2,graceS={GRACE_S:g},retryRatio=0.2,budgetWindowS=10,retryBurst=64,"
        "holdMaxS=10,thawSlackS=0.3",
        "grants": "call",
        "appAddr": upstream,
        "service": service,
        "infra.address": f"{LOOPBACK}:{store_port}",
        "infra.form": "objects",
    }
    return "".join(f"{key}={value}\n" for key, value in lines.items())
