"""Specifications of deployments, including those of section 1.4 of docs/design.md."""

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
        slots: Number of requests that the upstream runs concurrently.
        connections: Number of connections that the upstream accepts.
        checks_grants: Whether the upstream checks grants.
        work_ms: Run time of a request in milliseconds.
        cold_start_ms: Time after its start in which the upstream is slower, in milliseconds.
        linger_ms: Time for which a leaving upstream continues to serve, in milliseconds.
        report: How accurate the upstream's health page is.
        group: Number of the group that the member joins.
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
    """One service of a deployment.

    Attributes:
        entry: Catalogue entry of the service.
        members: VMs of the service.
    """

    entry: Entry
    members: tuple[MemberSpec, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentSpec:
    """All services of a deployment and the settings of its agents.

    Attributes:
        services: Services of the deployment.
        lease: Lease settings of all agents.
        proxy_peers: Whether each agent has a fault proxy in front of its peer port.
        proxy_platform: Whether each agent has a fault proxy between itself and the platform.
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
        duplicates = sorted({name for name in names if names.count(name) > 1})
        if duplicates:
            raise DuplicateNameError(f"duplicate member names: {', '.join(duplicates)}")


def service_spec(
    entry: Entry, count: int, failure_domains: tuple[str, ...], template: MemberSpec
) -> ServiceSpec:
    """Returns a service whose members are assigned to failure domains round-robin.

    Args:
        entry: Catalogue entry of the service.
        count: Number of members, which are named `SERVICE-1`, `SERVICE-2` and so on.
        failure_domains: Names of the failure domains.
        template: Member with the other attributes of all members.
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
    """Returns a deployment of one service with four members in two failure domains."""
    entry = Entry("depot", "tests", request_class, shard_count=shard_count)
    template = MemberSpec(name="", failure_domain="")
    return DeploymentSpec(services=(service_spec(entry, 4, ("lowell", "nashua"), template),))


def kagaz_deployment() -> DeploymentSpec:
    """Returns the deployment of Kagaz Chhaap Labs.

    Orders contain payments and press jobs, so they are of class `once`. Artwork accepts uploads
    of up to 256 MB.
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
    response, so all entries have the weight `churn`.
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
