"""Members of a deployment: ports, processes and settings files."""

from __future__ import annotations

import configparser
import io
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from ..processes import ManagedProcess
from ..program import LOOPBACK
from ..proxy import FaultProxy
from ..specs import DeploymentSpec, MemberSpec, ServiceSpec

SECRET = "loopback-peer-secret"
ADMINISTRATION_TOKEN = "loopback-administration"


@dataclass(frozen=True, slots=True)
class MemberPorts:
    """TCP ports of one member on loopback.

    Attributes:
        callers: HTTP port of the agent for callers.
        peers: Port of the agent for peer streams.
        advertised_peers: Port that other agents connect to: that of the fault proxy in front of
            `peers`, or `peers` if there is no proxy.
        administration: Port of the agent's administration API.
        announcements: Port on which the agent receives announcements of its upstream.
        upstream: HTTP port of the upstream.
    """

    callers: int
    peers: int
    advertised_peers: int
    administration: int
    announcements: int
    upstream: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DeployedMember:
    """One member of a deployment with its processes.

    Attributes:
        service: Service that the member belongs to.
        spec: Description of the member.
        ports: Ports of the member.
        agent: Process of the agent.
        upstream: Process of the upstream.
        config: Settings file of the agent.
        journal: Journal file of the upstream, None if it keeps none.
        peers_proxy: Fault proxy in front of the peer port, None if there is none.
        platform_proxy: Fault proxy between the agent and the platform, None if there is none.
    """

    service: ServiceSpec
    spec: MemberSpec
    ports: MemberPorts
    agent: ManagedProcess
    upstream: ManagedProcess
    config: Path
    journal: Path | None
    peers_proxy: FaultProxy | None
    platform_proxy: FaultProxy | None

    @property
    def name(self) -> str:
        """Name of the member, which its agent and its upstream share."""
        return self.spec.name

    @property
    def url(self) -> str:
        """Base URL of the agent for callers."""
        return f"http://{LOOPBACK}:{self.ports.callers}"

    @property
    def administration_url(self) -> str:
        """Base URL of the agent's administration API."""
        return f"http://{LOOPBACK}:{self.ports.administration}"

    @property
    def upstream_url(self) -> str:
        """Base URL of the upstream."""
        return f"http://{LOOPBACK}:{self.ports.upstream}"


def agent_settings(
    spec: DeploymentSpec, member: MemberSpec, ports: MemberPorts, platform_url: str
) -> str:
    """Returns the content of an agent's settings file.

    Args:
        spec: Description of the deployment.
        member: Description of the member.
        ports: Ports of the member.
        platform_url: Base URL of the platform, or of the fault proxy in front of it.
    """
    parser = configparser.ConfigParser(interpolation=None)
    sections: dict[str, dict[str, Any]] = {
        "agent": {"name": member.name, "failure_domain": member.failure_domain},
        "callers": {"host": LOOPBACK, "port": ports.callers},
        "peers": {
            "host": LOOPBACK,
            "port": ports.peers,
            "secret": SECRET,
            "advertised_port": ports.advertised_peers,
        },
        "administration": {
            "host": LOOPBACK,
            "port": ports.administration,
            "token": ADMINISTRATION_TOKEN,
        },
        "announcements": {"host": LOOPBACK, "port": ports.announcements},
        "platform": {"url": platform_url},
        "lease": asdict(spec.lease),
        "log": {"level": spec.log_level},
    }
    for section, option, value in spec.settings:
        sections.setdefault(section, {})[option] = value
    parser.read_dict(sections)
    text = io.StringIO()
    parser.write(text)
    return text.getvalue()
