"""The platform's settings file: lines `a.b=value`, read into the product's own settings."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from ..kernel.bounds import Bounds
from ..kernel.errors import SettingsError
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

# The platform keeps its machines' ports apart from others, so agents share a fixed secret.
_PEER_SECRET = "fescueward-agents-on-the-platform"
_ADMINISTRATION_TOKEN = "fescueward-local"
# Three renewals fit into a lease; loss of a member is noticed within about two seconds.
_LEASE_MS = 1800
_RENEWAL_MS = 400
_DRIFT_MARGIN_MS = 150
_PEER_TIMEOUT_MS = 700
_STORE_TIMEOUT_MS = 700
# Share of the time within which a configuration must be in force that a watch waits. One that went
# silent without a reset is noticed after its wait; the rest is for the next call and for telling
# the fleet. Two agents watch, so that short waits cost few calls.
_WATCH_SHARE = 0.5
# An answer is held whole until its receipt and length are checked. Those of 12 slots, the most
# of the known deployments, take 96 MiB together; a machine has 300 MB.
_UPSTREAM_ANSWER_BYTES = 8 * 1024 * 1024
# The store's pages have 1 MB at most; events of a watch are not paged.
_STORE_ANSWER_BYTES = 16 * 1024 * 1024


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
    """What the platform tells a process of its place.

    Attributes:
        settings: The product's settings.
        bounds: Bounds of the deployment.
        readiness: Where the platform asks whether this agent is ready.
        heartbeats: Where the upstream on this machine reports.
        application: Address of the upstream on this machine.
        service: Service that runs on this machine.
    """

    settings: Settings
    bounds: Bounds
    readiness: Address
    heartbeats: Address
    application: Address
    service: str


def settings_path() -> Path:
    """Returns the path of the settings file.

    Raises:
        SettingsError: The variable that names it is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"the variable {SETTINGS_VARIABLE} is not set")
    return Path(path)


def load_site(path: Path) -> Site:
    """Reads the settings file.

    Raises:
        SettingsError: The file cannot be read, or a value is missing or bad.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"cannot read {path}: {error}") from error
    return parse_site(text)


def parse_site(text: str) -> Site:
    """Builds the settings from the lines of the file; see `load_site`."""
    values = dict(
        (key.strip(), value.strip())
        for key, found, value in (line.partition("=") for line in text.splitlines())
        if found
    )
    try:
        return _site(values)
    except KeyError as error:
        raise SettingsError(f"the settings file has no line {error.args[0]!r}") from error
    except ValueError as error:
        raise SettingsError(f"a value of the settings file is bad: {error}") from error


def _site(values: dict[str, str]) -> Site:
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
        ),
        administration=AdministrationSection(
            host=values["ip"], port=min(first_port + 1, last_port), token=_ADMINISTRATION_TOKEN
        ),
        announcements=AnnouncementsSection(host=heartbeats.host, port=heartbeats.port),
        platform=PlatformSection(
            url=f"http://{values['infra.address']}",
            timeout_ms=_STORE_TIMEOUT_MS,
            watch_ms=round(bounds.propagation_s * 1000 * _WATCH_SHARE),
            max_answer_bytes=_STORE_ANSWER_BYTES,
        ),
        lease=LeaseSection(
            lease_ms=_LEASE_MS, renewal_ms=_RENEWAL_MS, drift_margin_ms=_DRIFT_MARGIN_MS
        ),
        placement=PlacementSection(),
        routing=RoutingSection(),
        log=LogSection(level="INFO", format="json"),
        upstream=UpstreamSection(max_answer_bytes=_UPSTREAM_ANSWER_BYTES),
    )
    return Site(
        settings=settings,
        bounds=bounds,
        readiness=_address(values["listen.ready"]),
        heartbeats=heartbeats,
        application=_address(values["appAddr"]),
        service=values["service"],
    )


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def _bounds(text: str) -> Bounds:
    given = dict(part.partition("=")[::2] for part in text.split(",") if part)
    default = Bounds()

    def seconds(name: str, fallback: float) -> float:
        return float(given.get(name, fallback))

    return Bounds(
        retry_ratio=seconds("retryRatio", default.retry_ratio),
        retry_burst=seconds("retryBurst", default.retry_burst),
        retry_window_s=seconds("budgetWindowS", default.retry_window_s),
        drain_s=seconds("drainS", default.drain_s),
        grace_s=seconds("graceS", default.grace_s),
        max_hold_s=seconds("holdMaxS", default.max_hold_s),
        propagation_s=seconds("propagationS", default.propagation_s),
    )
