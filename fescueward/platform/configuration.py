"""The operator's configuration as the store holds it, decoded into the product's own types."""

from __future__ import annotations

import msgspec

from ..kernel.errors import MalformedMessageError
from ..messages.codec import decode_json, encode_json
from ..messages.configuration import CallerLimits, Configuration, Route, ServiceSpec, Target

_REPEATABLE_KINDS = frozenset({"idempotent"})


class _Part(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    host: str
    prefix: str
    # The kind of request: whether it may run again.
    kind: str
    # Longest time until the final answer, in seconds.
    timeout_s: float
    attempts: int
    # Time within which an answer has its full value, in seconds.
    slo_s: float = 0.0
    priority: int = 0
    service: str | None = None
    split: list[_Part] = []


class _Service(msgspec.Struct, rename="camel"):
    health_path: str = "/health"
    max_conns: int = 100
    sharded: bool = False
    warmup_s: float = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


class _Configuration(msgspec.Struct):
    version: int
    routes: dict[str, _Route]
    services: dict[str, _Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_configuration(text: bytes) -> Configuration:
    """Decodes and checks the operator's configuration.

    Raises:
        MalformedMessageError: A field is missing, out of range or names an unknown service.
    """
    try:
        read = msgspec.json.decode(text, type=_Configuration)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedMessageError(f"bad configuration: {error}") from error
    configuration = Configuration(
        version=read.version,
        routes={name: _route(name, route) for name, route in read.routes.items()},
        services={name: _service(name, found) for name, found in read.services.items()},
        limits=CallerLimits(
            header_bytes=read.limits.max_header_bytes,
            body_bytes=read.limits.max_body_bytes,
            header_timeout_s=read.limits.header_timeout_s,
            idle_timeout_s=read.limits.idle_timeout_s,
        ),
    )
    for route in configuration.routes.values():
        for target in route.targets:
            if target.service not in configuration.services:
                raise MalformedMessageError(
                    f"route {route.name} names the unknown service {target.service!r}"
                )
    # The product's own types check their ranges when they are decoded.
    return decode_json(encode_json(configuration), Configuration)


def _route(name: str, route: _Route) -> Route:
    if route.service is not None:
        targets = (Target(route.service),)
    else:
        targets = tuple(Target(part.service, part.weight) for part in route.split)
    return Route(
        name=name,
        host=route.host,
        prefix=route.prefix,
        repeatable=route.kind in _REPEATABLE_KINDS,
        attempts=route.attempts,
        timeout_s=route.timeout_s,
        objective_s=route.slo_s,
        priority=route.priority,
        targets=targets,
    )


def _service(name: str, found: _Service) -> ServiceSpec:
    return ServiceSpec(
        name=name,
        health_path=found.health_path,
        connections=found.max_conns,
        keyed=found.sharded,
        warmup_s=found.warmup_s,
    )
