"""Decodes the operator's configuration from its stored form into `Configuration`."""

from __future__ import annotations

import msgspec

from ..kernel import Event, Level
from ..kernel.errors import MalformedMessageError
from ..messages.codec import DECODE_FAILURES, decode_json, encode_json
from ..messages.configuration import CallerLimits, Configuration, Route, ServiceSpec, Target

_LIMIT_IGNORED = Event(
    2111,
    "service_limit_ignored",
    Level.WARNING,
    "A limit of a service in the configuration has an invalid value; the service has none.",
)

# Kinds of requests that may run more than once; a download is one with a large response.
_REPEATABLE_KINDS = frozenset({"idempotent", "download"})
# Highest values that `ServiceSpec` accepts.
_MAX_COLD_START_S = 3600.0
_MAX_COLD_PER_S = 1_000_000.0
# Characters of an invalid value in the log.
_LOGGED_CHARACTERS = 40
_ABSENT = msgspec.Raw(b"0")


class _SplitTarget(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    host: str
    prefix: str
    # Kind of the requests, which determines whether they may run more than once.
    kind: str
    # Time limit for the final response, in seconds.
    timeout_s: float
    attempts: int
    # Service level objective: response time in seconds up to which a response has its full value.
    slo_s: float = 0.0
    priority: int = 0
    service: str | None = None
    split: list[_SplitTarget] = []


class _Service(msgspec.Struct, rename="camel"):
    health_path: str = "/health"
    max_conns: int = 100
    sharded: bool = False
    warmup_s: float = 0.0
    # Decoded by themselves: a bad value must not make the whole configuration invalid.
    cold_start_s: msgspec.Raw = _ABSENT
    cold_per_s: msgspec.Raw = _ABSENT


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
    """Decodes and validates the operator's configuration.

    Args:
        text: The stored object in JSON.

    Raises:
        MalformedMessageError: A field is missing or out of range, or a route names an unknown
            service.
    """
    try:
        stored = msgspec.json.decode(text, type=_Configuration)
    except DECODE_FAILURES as error:
        raise MalformedMessageError(f"the configuration is malformed: {error}") from error
    configuration = Configuration(
        version=stored.version,
        routes={name: _route(name, route) for name, route in stored.routes.items()},
        services={name: _service(name, service) for name, service in stored.services.items()},
        limits=CallerLimits(
            header_bytes=stored.limits.max_header_bytes,
            body_bytes=stored.limits.max_body_bytes,
            header_timeout_s=stored.limits.header_timeout_s,
            idle_timeout_s=stored.limits.idle_timeout_s,
        ),
    )
    for route in configuration.routes.values():
        for target in route.targets:
            if target.service not in configuration.services:
                raise MalformedMessageError(
                    f"route {route.name} refers to the unknown service {target.service!r}"
                )
    # Decoding validates the ranges that the types declare.
    return decode_json(encode_json(configuration), Configuration)


def _route(name: str, route: _Route) -> Route:
    if route.service is not None:
        targets = (Target(route.service),)
    else:
        targets = tuple(Target(target.service, target.weight) for target in route.split)
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


def _service(name: str, service: _Service) -> ServiceSpec:
    return ServiceSpec(
        name=name,
        health_path=service.health_path,
        connections=service.max_conns,
        keyed=service.sharded,
        warmup_s=service.warmup_s,
        cold_start_s=_limit(name, "coldStartS", service.cold_start_s, _MAX_COLD_START_S),
        cold_per_s=_limit(name, "coldPerS", service.cold_per_s, _MAX_COLD_PER_S),
    )


def _limit(service: str, field: str, text: msgspec.Raw, highest: float) -> float:
    """Decodes a limit that counts as absent if its value is invalid."""
    try:
        value = msgspec.json.decode(text, type=float)
    except DECODE_FAILURES:
        value = -1.0
    if 0 <= value <= highest:
        return value
    shown = bytes(text)[:_LOGGED_CHARACTERS].decode(errors="replace")
    _LIMIT_IGNORED.emit(service=service[:_LOGGED_CHARACTERS], field=field, value=shown)
    return 0.0
