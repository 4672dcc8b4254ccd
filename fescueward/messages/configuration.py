"""The operator's configuration: routes, services and limits under one version."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

Name = Annotated[str, Meta(min_length=1, max_length=200)]


@dataclass(frozen=True, slots=True)
class Target:
    """One part of a route's traffic.

    Attributes:
        service: Service that serves this part.
        weight: Its share, relative to the other parts of the route.
    """

    service: Name
    weight: Annotated[float, Meta(gt=0)] = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path.

    Attributes:
        name: Name of the route.
        host: Host that callers name, in lower case and without a port.
        prefix: Beginning of the path; begins and ends with a slash.
        repeatable: Whether a request may run more than once.
        attempts: Most upstreams that one request may be sent to.
        timeout_s: Longest time until the final answer, in seconds.
        objective_s: Time within which an answer has its full value, in seconds.
        priority: Rank of its requests; 0 is served first.
        targets: Services and their shares.
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
    """What the operator says of one service.

    Attributes:
        name: Name of the service.
        health_path: Path of the upstreams' health page.
        connections: Connections that one upstream accepts from all callers together.
        keyed: Whether each request belongs to a key that one upstream owns.
        warmup_s: Time for which keys are slow that arrive without a handover, in seconds.
    """

    name: Name
    health_path: str = "/health"
    connections: Annotated[int, Meta(ge=1)] = 100
    keyed: bool = False
    warmup_s: Annotated[float, Meta(ge=0)] = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send and how long they may take.

    Attributes:
        header_bytes: Largest header block in bytes.
        body_bytes: Largest request body in bytes.
        header_timeout_s: Longest time until the header block is complete, in seconds.
        idle_timeout_s: Time after which an unused connection is closed, in seconds.
    """

    header_bytes: Annotated[int, Meta(ge=256)] = 16_384
    body_bytes: Annotated[int, Meta(ge=0)] = 64 * 1024 * 1024
    header_timeout_s: Annotated[float, Meta(gt=0)] = 5.0
    idle_timeout_s: Annotated[float, Meta(gt=0)] = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of all routes, services and limits; it is applied as a whole.

    Attributes:
        version: Grows with each change.
        routes: Routes by name.
        services: Services by name.
        limits: Limits of callers.
    """

    version: Annotated[int, Meta(ge=0)]
    routes: dict[str, Route] = field(default_factory=dict)
    services: dict[str, ServiceSpec] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True, slots=True)
class VersionedConfiguration:
    """A configuration with the platform version it was read at.

    Attributes:
        version: Version of the platform object.
        configuration: The configuration.
    """

    version: int
    configuration: Configuration


# Platform key of the configuration.
CONFIGURATION_KEY = "configuration"
