"""Process harness: runs a whole deployment on loopback as separate processes."""

from .deployment import PROBE_KEY, READY_TIMEOUT_S, Deployment
from .members import (
    ADMINISTRATION_TOKEN,
    SECRET,
    DeployedMember,
    MemberPorts,
    agent_settings,
)
from .platform import PlatformHandle

__all__ = [
    "ADMINISTRATION_TOKEN",
    "PROBE_KEY",
    "READY_TIMEOUT_S",
    "SECRET",
    "DeployedMember",
    "Deployment",
    "MemberPorts",
    "PlatformHandle",
    "agent_settings",
]
