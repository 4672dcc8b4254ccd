"""Configuration by the operator: routes, services and limits under one version."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

Name = Annotated[str, Meta(min_length=1, max_length=200)]


@dataclass(frozen=True, slots=True)
class Target:
    """Service that gets a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Weight of the service, relative to the other targets of the route.
    """

    service: Name
    weight: Annotated[float, Meta(gt=0)] = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Rule for the requests to one host whose paths have one prefix.

    Attributes:
        name: Name of the route.
        host: Host of the requests, in lower case and without a port.
        prefix: Path prefix; begins and ends with a slash.
        repeatable: Whether a request may run more than once.
        attempts: Most upstreams that one request may be sent to.
        timeout_s: Longest time until the final response, in seconds.
        objective_s: Time within which a response has its full value, in seconds.
        priority: Rank of the requests; 0 is served first.
        targets: Services and their weights.
    """

    name: Name
    host: Name
    prefix: Annotated[str, Meta(pattern=r"^/(.*/)?$")]
    repeatable: bool
    attempts: Annotated[int, Meta(ge=1, le=100)]
    timeout_s: Annotated[float, Meta(gt=0, le=3600)]
    objective_s: Annotated[float, Meta(ge=0, le=3600)]
    priority: Annotated[int, Meta(ge=0, le=1000)]
    targets: Annotated[tuple[Target, ...], Meta(min_length=1)]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Configuration of one service.

    Attributes:
        name: Name of the service.
        health_path: Path of the upstreams' health endpoint.
        connections: Connections that one upstream accepts from all callers together.
        keyed: Whether each request has a key that exactly one upstream owns.
        warmup_s: Time for which keys taken over without a handover are slow, in seconds.
        cold_start_s: Time for which an upstream is cold after its start, in seconds; 0 if never.
        cold_per_s: Requests per second that a cold upstream takes; 0 if there is no limit.
    """

    name: Name
    health_path: str = "/health"
    connections: Annotated[int, Meta(ge=1)] = 100
    keyed: bool = False
    warmup_s: Annotated[float, Meta(ge=0)] = 0.0
    cold_start_s: Annotated[float, Meta(ge=0, le=3600)] = 0.0
    cold_per_s: Annotated[float, Meta(ge=0, le=1_000_000)] = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of what callers send.

    Attributes:
        header_bytes: Largest header block in bytes.
        body_bytes: Largest request body in bytes.
        header_timeout_s: Longest time until the header block is complete, in seconds.
        idle_timeout_s: Time after which an idle connection is closed, in seconds.
    """

    header_bytes: Annotated[int, Meta(ge=256)] = 16_384
    body_bytes: Annotated[int, Meta(ge=0)] = 64 * 1024 * 1024
    header_timeout_s: Annotated[float, Meta(gt=0)] = 5.0
    idle_timeout_s: Annotated[float, Meta(gt=0)] = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of all routes, services and limits; it is applied as a whole.

    Attributes:
        version: Number that increases with each change.
        routes: Routes by name.
        services: Services by name.
        limits: Limits on callers.
    """

    version: Annotated[int, Meta(ge=0)]
    routes: dict[str, Route] = field(default_factory=dict)
    services: dict[str, ServiceSpec] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True, slots=True)
class VersionedConfiguration:
    """A configuration with the version that orders it among others.

    Attributes:
        version: Number given by the operator, which increases with each change.
        configuration: The configuration.
    """

    version: int
    configuration: Configuration


# Platform key of the configuration.
CONFIGURATION_KEY = "configuration"
