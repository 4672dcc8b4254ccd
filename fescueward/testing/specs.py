"""Descriptions of deployments, among them those of section 1.4 of docs/design.md."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from ..kernel.errors import DuplicateNameError
from ..kernel.settings import LeaseSection
from ..messages import Entry, Limits, RequestClass, Weight
from .upstream import ReportKind


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberSpec:
    """One VM: an agent and its upstream.

    Attributes:
        name: Name of the agent and of the upstream.
        failure_domain: Failure domain of the VM.
        slots: Requests that the upstream runs at a time.
        connections: Connections that the upstream accepts.
        checks_grants: Whether the upstream checks grants.
        work_ms: Time that a request takes.
        cold_start_ms: Time after its start in which the upstream is slower.
        linger_ms: Time that a leaving upstream serves on.
        report: How truthful the upstream's health page is.
        group: Number of the group that it joins.
    """

    name: str
    failure_domain: str
    slots: int = 6
    connections: int = 110
    checks_grants: bool = True
    work_ms: int = 0
    cold_start_ms: int = 0
    linger_ms: int = 3000
    report: ReportKind = ReportKind.HONEST
    group: int = 0


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One service.

    Attributes:
        entry: Its catalogue entry.
        members: Its VMs.
    """

    entry: Entry
    members: tuple[MemberSpec, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentSpec:
    """A whole deployment.

    Attributes:
        services: Its services.
        lease: Lease settings of all agents.
        proxy_peers: Whether a fault proxy stands before the peer port of each agent.
        proxy_platform: Whether a fault proxy stands between each agent and the platform.
        domain_latency_ms: One-way latency between failure domains; needs `proxy_peers`.
        settings: Further settings of all agents: section, option and value.
        log_level: Lowest level that agents log.
        journals: Whether the upstreams keep journals.
    """

    services: tuple[ServiceSpec, ...]
    lease: LeaseSection = field(default_factory=LeaseSection)
    proxy_peers: bool = False
    proxy_platform: bool = False
    domain_latency_ms: float = 0.0
    settings: tuple[tuple[str, str, str], ...] = ()
    log_level: str = "INFO"
    journals: bool = True

    def __post_init__(self) -> None:
        names = [member.name for service in self.services for member in service.members]
        repeated = sorted({name for name in names if names.count(name) > 1})
        if repeated:
            raise DuplicateNameError(f"member names are used twice: {', '.join(repeated)}")


def service_spec(
    entry: Entry, count: int, failure_domains: tuple[str, ...], template: MemberSpec
) -> ServiceSpec:
    """Returns a service whose members are spread over failure domains in turn.

    Args:
        entry: Its catalogue entry.
        count: Number of members; they are named `SERVICE-1` and so on.
        failure_domains: The failure domains.
        template: All else about each member.
    """
    members = []
    for number in range(count):
        domain = failure_domains[number % len(failure_domains)]
        name = f"{entry.service}-{number + 1}"
        members.append(replace(template, name=name, failure_domain=domain))
    return ServiceSpec(entry, tuple(members))


def small_deployment(
    request_class: RequestClass = RequestClass.REPEATABLE, shard_count: int = 64
) -> DeploymentSpec:
    """Returns one service of four upstreams in two failure domains."""
    entry = Entry("depot", "tests", request_class, shard_count=shard_count)
    template = MemberSpec(name="", failure_domain="")
    return DeploymentSpec(services=(service_spec(entry, 4, ("lowell", "nashua"), template),))


def kagaz_deployment() -> DeploymentSpec:
    """Returns the deployment of Kagaz Chhaap Labs.

    Orders carry payments and press jobs, so they are of class `once`. Artwork takes uploads of
    up to 256 MB.
    """
    domains = ("ahmedabad", "gandhinagar", "vadodara")
    template = MemberSpec(name="", failure_domain="", slots=12, connections=130)
    once = RequestClass.ONCE
    uploads = Limits(max_request_ms=60_000, max_body_bytes=256 * 1024 * 1024)
    entries = (
        (Entry("catalogue", "press-floor"), 6),
        (Entry("orders", "press-floor", once), 4),
        (Entry("artwork", "press-floor", limits=uploads), 3),
        (Entry("proofing", "press-floor"), 3),
    )
    return DeploymentSpec(
        services=tuple(service_spec(entry, count, domains, template) for entry, count in entries),
        domain_latency_ms=1.0,
    )


def merrimack_deployment() -> DeploymentSpec:
    """Returns the deployment of Merrimack Siphon Works.

    Refill orders are charged, so they are of class `once`. Every move of a key risks a stale
    answer, so all entries are weighted `churn`.
    """
    domains = ("lowell", "nashua", "worcester", "portland")
    template = MemberSpec(name="", failure_domain="", slots=6, connections=110)
    churn = Weight.CHURN
    uploads = Limits(max_request_ms=60_000, max_body_bytes=256 * 1024 * 1024)
    entries = (
        Entry("depot", "siphon-works", weight=churn),
        Entry("orders", "siphon-works", RequestClass.ONCE, weight=churn),
        Entry("routes", "siphon-works", limits=uploads, weight=churn),
        Entry("bottling", "siphon-works", weight=churn),
    )
    return DeploymentSpec(
        services=tuple(service_spec(entry, 4, domains, template) for entry in entries),
        domain_latency_ms=0.5,
    )
