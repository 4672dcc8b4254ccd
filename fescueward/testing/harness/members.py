"""Members of a deployment: their ports, processes and settings."""

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
    """Ports of one member.

    Attributes:
        callers: Callers' HTTP of the agent.
        peers: Peer streams of the agent.
        advertised_peers: Port of the fault proxy before `peers`; `peers` without one.
        administration: Administration API of the agent.
        announcements: Announcement address of the agent.
        upstream: HTTP of the upstream.
    """

    callers: int
    peers: int
    advertised_peers: int
    administration: int
    announcements: int
    upstream: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DeployedMember:
    """One member with its processes.

    Attributes:
        service: Its service.
        spec: Its spec.
        ports: Its ports.
        agent: Process of the agent.
        upstream: Process of the upstream.
        config: Settings file of the agent.
        journal: Journal of the upstream, or None.
        peers_proxy: Fault proxy before its peer port, or None.
        platform_proxy: Fault proxy between its agent and the platform, or None.
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
        """Name of the agent."""
        return self.spec.name

    @property
    def url(self) -> str:
        """URL that callers send to."""
        return f"http://{LOOPBACK}:{self.ports.callers}"

    @property
    def administration_url(self) -> str:
        """URL of the administration API."""
        return f"http://{LOOPBACK}:{self.ports.administration}"

    @property
    def upstream_url(self) -> str:
        """URL of the upstream."""
        return f"http://{LOOPBACK}:{self.ports.upstream}"


def agent_settings(
    spec: DeploymentSpec, member: MemberSpec, ports: MemberPorts, platform_url: str
) -> str:
    """Returns the settings file of an agent.

    Args:
        spec: The deployment.
        member: The member.
        ports: Its ports.
        platform_url: URL under which it reaches the platform.
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
