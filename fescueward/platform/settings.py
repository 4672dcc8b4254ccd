"""Reads the platform's settings file, lines of `a.b=value`, into `Settings` and `Bounds`."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from ..kernel.bounds import Bounds
from ..kernel.errors import SettingsError
from ..kernel.http_port import BACKLOG_CONNECTIONS
from ..kernel.settings import (
    AdministrationSection,
    AgentSection,
    AnnouncementsSection,
    CallersSection,
    LeaseSection,
    LogSection,
    PeersSection,
    PlacementSection,
    PlatformSection,
    RoutingSection,
    Settings,
    UpstreamSection,
)
from .names import SETTINGS_VARIABLE

# Only the platform's own machines can reach the peer ports, so the secret is fixed.
_PEER_SECRET = "fescueward-agents-on-the-platform"
_ADMINISTRATION_TOKEN = "fescueward-local"
# Three renewals fit into a lease, and the loss of a member is detected within about 2 s.
_LEASE_MS = 1800
_RENEWAL_MS = 400
_DRIFT_MARGIN_MS = 150
_PEER_TIMEOUT_MS = 700
_STORE_TIMEOUT_MS = 700
# Wait of one watch call, as a share of the bound on the propagation of a configuration. A watch
# whose connection failed without a reset is detected only after this wait; the rest of the bound
# is left for the next call and for publishing to the fleet. Only two agents watch, so short waits
# cost few calls.
_WATCH_WAIT_RATIO = 0.5
# A response is buffered completely until its signature and length are verified. 12 slots, the
# most in a known deployment, buffer 96 MiB in total; a machine has 300 MB.
_MAX_UPSTREAM_ANSWER_BYTES = 8 * 1024 * 1024
# A page of the store has at most 1 MB, but the events of a watch are not paged.
_MAX_STORE_ANSWER_BYTES = 16 * 1024 * 1024
# Memory of a process if the settings name none.
_DEFAULT_MEMORY_BYTES = 256_000_000
# Period of the heartbeats if the settings name none.
_DEFAULT_HEARTBEAT_PERIOD_S = 0.87
# Other periods are taken for mistakes.
_MIN_HEARTBEAT_PERIOD_S = 0.05
_MAX_HEARTBEAT_PERIOD_S = 60.0
# Descriptors of a process if the settings name none, and those of them that are for files only.
_DEFAULT_DESCRIPTORS = 4_100
_FILE_DESCRIPTORS = 200
# The other sockets are for the upstream, other agents and the store.
_CALLER_CONNECTIONS_SHARE = 0.7
_BACKLOG_SHARE = 0.2
_MIN_CALLER_CONNECTIONS = 16


@dataclass(frozen=True, slots=True)
class Address:
    """An address to listen on or to call.

    Attributes:
        host: IP address.
        port: Port.
    """

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Site:
    """Settings that the platform gives to the agent of one machine.

    Attributes:
        settings: Settings of the agent.
        bounds: Bounds that apply to the whole deployment.
        readiness: Address to listen on for the platform's readiness probe.
        heartbeats: Address to listen on for heartbeats of the upstream on this machine.
        application: Address of the upstream on this machine.
        service: Name of the service that the upstream on this machine runs.
        memory_bytes: Memory of the process, in bytes.
        heartbeat_period_s: Time between two heartbeats of the upstream, in seconds.
        descriptors: Descriptors of the process for sockets and files.
    """

    settings: Settings
    bounds: Bounds
    readiness: Address
    heartbeats: Address
    application: Address
    service: str
    memory_bytes: int = _DEFAULT_MEMORY_BYTES
    heartbeat_period_s: float = _DEFAULT_HEARTBEAT_PERIOD_S
    descriptors: int = _DEFAULT_DESCRIPTORS

    @property
    def caller_connections(self) -> int:
        """Connections of callers that may be open at a time."""
        return max(int(self._sockets * _CALLER_CONNECTIONS_SHARE), _MIN_CALLER_CONNECTIONS)

    @property
    def caller_backlog(self) -> int:
        """Connections of callers that may wait to be accepted, beyond those that are open."""
        backlog = max(int(self._sockets * _BACKLOG_SHARE), _MIN_CALLER_CONNECTIONS)
        return min(backlog, BACKLOG_CONNECTIONS)

    @property
    def _sockets(self) -> int:
        return self.descriptors - _FILE_DESCRIPTORS


def settings_path() -> Path:
    """Returns the path of the settings file.

    Raises:
        SettingsError: The environment variable with the path is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"the environment variable {SETTINGS_VARIABLE} is not set")
    return Path(path)


def load_site(path: Path) -> Site:
    """Reads the settings file.

    Raises:
        SettingsError: The file cannot be read, or a value is missing or invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"cannot read {path}: {error}") from error
    return parse_site(text)


def parse_site(text: str) -> Site:
    """Parses the text of the settings file; see `load_site` for the errors."""
    values = dict(
        (key.strip(), value.strip())
        for key, separator, value in (line.partition("=") for line in text.splitlines())
        if separator
    )
    try:
        return _build_site(values)
    except KeyError as error:
        raise SettingsError(f"the settings file has no value for {error.args[0]!r}") from error
    except ValueError as error:
        raise SettingsError(f"the settings file has an invalid value: {error}") from error


def _build_site(values: dict[str, str]) -> Site:
    outbound = _address(values["listen.outbound"])
    heartbeats = _address(values["listen.admin"])
    bounds = _bounds(values.get("bounds", ""))
    first_port, last_port = (int(port) for port in values["internalPorts"].split(",")[:2])
    settings = Settings(
        agent=AgentSection(
            name=values["nodeName"],
            failure_domain=values["zone"],
            region=values.get("region", "default"),
        ),
        callers=CallersSection(host=outbound.host, port=outbound.port),
        peers=PeersSection(
            host=values["ip"],
            port=first_port,
            secret=_PEER_SECRET,
            timeout_ms=_PEER_TIMEOUT_MS,
            link_kbps=max(int(float(values.get("limits.linkMbps", 0)) * 1000), 0),
        ),
        administration=AdministrationSection(
            host=values["ip"], port=min(first_port + 1, last_port), token=_ADMINISTRATION_TOKEN
        ),
        announcements=AnnouncementsSection(host=heartbeats.host, port=heartbeats.port),
        platform=PlatformSection(
            url=f"http://{values['infra.address']}",
            timeout_ms=_STORE_TIMEOUT_MS,
            watch_ms=round(bounds.propagation_s * 1000 * _WATCH_WAIT_RATIO),
            max_answer_bytes=_MAX_STORE_ANSWER_BYTES,
        ),
        lease=LeaseSection(
            lease_ms=_LEASE_MS, renewal_ms=_RENEWAL_MS, drift_margin_ms=_DRIFT_MARGIN_MS
        ),
        placement=PlacementSection(),
        routing=RoutingSection(),
        log=LogSection(level="INFO", format="json"),
        upstream=UpstreamSection(max_answer_bytes=_MAX_UPSTREAM_ANSWER_BYTES),
    )
    return Site(
        settings=settings,
        bounds=bounds,
        readiness=_address(values["listen.ready"]),
        heartbeats=heartbeats,
        application=_address(values["appAddr"]),
        service=values["service"],
        memory_bytes=int(float(values["limits.memoryMb"]) * 1_000_000)
        if "limits.memoryMb" in values
        else _DEFAULT_MEMORY_BYTES,
        heartbeat_period_s=_heartbeat_period_s(values.get("heartbeatS", "")),
        descriptors=int(float(values.get("limits.maxFds", _DEFAULT_DESCRIPTORS))),
    )


def _heartbeat_period_s(text: str) -> float:
    """Returns the period, or the usual one if it is missing or unlikely."""
    try:
        period_s = float(text)
    except ValueError:
        return _DEFAULT_HEARTBEAT_PERIOD_S
    likely = _MIN_HEARTBEAT_PERIOD_S <= period_s <= _MAX_HEARTBEAT_PERIOD_S
    return period_s if likely else _DEFAULT_HEARTBEAT_PERIOD_S


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def _bounds(text: str) -> Bounds:
    values = dict(part.partition("=")[::2] for part in text.split(",") if part)
    default = Bounds()

    def number(name: str, default_value: float) -> float:
        return float(values.get(name, default_value))

    return Bounds(
        retry_ratio=number("retryRatio", default.retry_ratio),
        retry_burst=number("retryBurst", default.retry_burst),
        retry_window_s=number("budgetWindowS", default.retry_window_s),
        drain_s=number("drainS", default.drain_s),
        grace_s=number("graceS", default.grace_s),
        max_hold_s=number("holdMaxS", default.max_hold_s),
        propagation_s=number("propagationS", default.propagation_s),
        cold_over=number("coldOver", default.cold_over),
        cold_slack=number("coldSlack", default.cold_slack),
        evacuate_s=number("evacuateS", default.evacuate_s),
        can_evacuate="evacuateS" in values,
    )
