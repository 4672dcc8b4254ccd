"""Catalogue entries, one per service."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

ServiceName = Annotated[str, Meta(pattern=r"^[a-z][a-z0-9-]{0,62}$")]


class RequestClass(enum.StrEnum):
    """Whether requests of a service may run more than once."""

    REPEATABLE = "repeatable"
    ONCE = "once"


class Weight(enum.StrEnum):
    """Measure that placement weighs most for a service."""

    UNAVAILABILITY = "unavailability"
    CHURN = "churn"


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a service; each limit applies per server.

    Attributes:
        deadline_ms: Default deadline of a request, in milliseconds from its arrival.
        max_request_ms: Longest permitted run of a request in milliseconds.
        max_body_bytes: Largest request body in bytes.
        queue_length: Most requests that wait for a slot.
        requests_per_second: Highest request rate; 0 means no limit.
        retry_after_ms: Shortest time after which a refused caller should retry, in milliseconds.
    """

    deadline_ms: Annotated[int, Meta(ge=1, le=600_000)] = 5_000
    max_request_ms: Annotated[int, Meta(ge=1, le=600_000)] = 10_000
    max_body_bytes: Annotated[int, Meta(ge=0, le=1 << 40)] = 64 * 1024 * 1024
    queue_length: Annotated[int, Meta(ge=0, le=100_000)] = 64
    requests_per_second: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    retry_after_ms: Annotated[int, Meta(ge=0, le=60_000)] = 1_000


@dataclass(frozen=True, slots=True)
class Entry:
    """Description of one service by its operators.

    Attributes:
        service: Name of the service.
        owner: Team that is responsible for the service.
        request_class: Whether requests may run more than once.
        groups: Number of groups that the keys are divided into. Cannot change once set.
        shard_count: Shards per group. Cannot change once set.
        limits: Limits of each server.
        weight: Measure that placement weighs most.
        recovery: Counter; an operator raises it to declare that all members known so far that
            do not answer are permanently lost.
        deleted: Whether the entry is a tombstone. Tombstones keep versions from reverting.
        operation_id: Identifier of the edit; it shows whether a write whose response was lost
            took effect.
    """

    service: ServiceName
    owner: Annotated[str, Meta(min_length=1, max_length=200)]
    request_class: RequestClass = RequestClass.REPEATABLE
    groups: Annotated[int, Meta(ge=1, le=100_000)] = 1
    shard_count: Annotated[int, Meta(ge=1, le=4096)] = 256
    limits: Limits = field(default_factory=Limits)
    weight: Weight = Weight.UNAVAILABILITY
    recovery: Annotated[int, Meta(ge=0)] = 0
    deleted: bool = False
    operation_id: str = ""


@dataclass(frozen=True, slots=True)
class VersionedEntry:
    """An entry with the version of its platform object.

    Attributes:
        version: Version of the platform object.
        entry: The entry.
    """

    version: int
    entry: Entry
