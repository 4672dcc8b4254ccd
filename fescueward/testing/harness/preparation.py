"""Builds the processes and proxies of a deployment."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from pathlib import Path

import psutil

from ...kernel.settings import load_settings
from ..journal import EventKind, JournalEvent, JournalWriter
from ..ports import PortReservations
from ..processes import ExitHandler, ManagedProcess
from ..program import LOOPBACK
from ..proxy import FaultProxy
from ..specs import DeploymentSpec, MemberSpec, ServiceSpec
from .members import DeployedMember, MemberPorts, agent_settings

_ROOT = Path(__file__).resolve().parents[3]


class DeploymentBuilder:
    """Builds the processes and proxies of a deployment. Proxies are started, processes are not.

    Args:
        spec: Description of the deployment.
        directory: Directory for settings, logs and journals.
        ports: Source of free ports.
        cleanup: Stack on which the stops of processes and proxies are registered.
    """

    def __init__(
        self,
        spec: DeploymentSpec,
        directory: Path,
        ports: PortReservations,
        cleanup: contextlib.AsyncExitStack,
    ) -> None:
        self._spec, self._directory = spec, directory
        self._ports, self._cleanup = ports, cleanup
        self._agents: dict[str, ManagedProcess] = {}

    async def build_member(
        self, service: ServiceSpec, spec: MemberSpec, platform_url: str
    ) -> DeployedMember:
        """Reserves the ports of a member, writes its settings and starts its proxies.

        Raises:
            BadSettingsError: The spec results in invalid agent settings.
        """
        reserve = self._ports.reserve
        peers = reserve()
        platform_proxy = peers_proxy = None
        if self._spec.proxy_platform:
            port = int(platform_url.rpartition(":")[2])
            platform_proxy = await self._start_proxy(FaultProxy(port, reserve()))
            platform_url = f"http://{LOOPBACK}:{platform_proxy.port}"
        if self._spec.proxy_peers:
            proxy = FaultProxy(peers, reserve(), identify=self._identify_agent)
            peers_proxy = await self._start_proxy(proxy)
        ports = MemberPorts(
            callers=reserve(),
            peers=peers,
            advertised_peers=peers if peers_proxy is None else peers_proxy.port,
            administration=reserve(),
            announcements=reserve(),
            upstream=reserve(),
        )
        config = self._directory / f"{spec.name}.ini"
        config.write_text(agent_settings(self._spec, spec, ports, platform_url), encoding="utf-8")
        load_settings(config)
        journal = self._directory / f"{spec.name}.journal" if self._spec.journals else None
        agent = self.build_process(
            f"{spec.name}-agent", ("fescueward", "agent", "--config", str(config))
        )
        self._agents[spec.name] = agent
        return DeployedMember(
            service=service,
            spec=spec,
            ports=ports,
            agent=agent,
            upstream=self.build_process(
                f"{spec.name}-upstream",
                _upstream_arguments(service, spec, ports, journal),
                None
                if journal is None
                else _exit_handler(service.entry.service, spec, ports.upstream, journal),
            ),
            config=config,
            journal=journal,
            peers_proxy=peers_proxy,
            platform_proxy=platform_proxy,
        )

    def build_process(
        self, name: str, arguments: tuple[str, ...], on_exit: ExitHandler | None = None
    ) -> ManagedProcess:
        """Returns a process that is not started; the cleanup of the deployment kills it."""
        process = ManagedProcess(
            name,
            (sys.executable, "-m", *arguments),
            self._directory / f"{name}.log",
            {**os.environ, "PYTHONPATH": str(_ROOT)},
            on_exit,
        )
        self._cleanup.push_async_callback(process.stop)
        return process

    async def _start_proxy(self, proxy: FaultProxy) -> FaultProxy:
        await proxy.start()
        self._cleanup.push_async_callback(proxy.stop)
        return proxy

    async def _identify_agent(self, source_port: int) -> str:
        names_by_pid = {agent.pid: name for name, agent in self._agents.items() if agent.running}
        return await asyncio.to_thread(_agent_with_local_port, names_by_pid, source_port)


def _upstream_arguments(
    service: ServiceSpec, spec: MemberSpec, ports: MemberPorts, journal: Path | None
) -> tuple[str, ...]:
    announcements_url = f"http://{LOOPBACK}:{ports.announcements}/announcements"
    options: dict[str, object] = {
        "--service": service.entry.service,
        "--name": spec.name,
        "--port": ports.upstream,
        "--announce": announcements_url,
        "--group": spec.group,
        "--slots": spec.slots,
        "--connections": spec.connections,
        "--cold-start-ms": spec.cold_start_ms,
        "--work-ms": spec.work_ms,
        "--report": spec.report,
        "--linger-ms": spec.linger_ms,
    }
    if journal is not None:
        options["--journal"] = journal
    arguments = [str(part) for option in options.items() for part in option]
    if not spec.checks_grants:
        arguments.append("--no-grants")
    return ("fescueward.testing.upstream", *arguments)


def _exit_handler(service: str, spec: MemberSpec, port: int, journal: Path) -> ExitHandler:
    def append_exit(pid: int, time_ns: int) -> None:
        writer = JournalWriter(journal)
        writer.append(
            JournalEvent(
                kind=EventKind.EXIT,
                time_ns=time_ns,
                upstream=spec.name,
                pid=pid,
                port=port,
                service=service,
                group=spec.group,
            )
        )
        writer.close()

    return append_exit


def _agent_with_local_port(names_by_pid: dict[int, str], port: int) -> str:
    for pid, name in names_by_pid.items():
        with contextlib.suppress(psutil.Error):
            for connection in psutil.Process(pid).net_connections("tcp4"):
                if connection.laddr.port == port and connection.raddr:
                    return name
    return ""
