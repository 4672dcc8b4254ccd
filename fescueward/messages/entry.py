"""Catalogue entries."""

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
    """The measure that a service weighs most in placement."""

    UNAVAILABILITY = "unavailability"
    CHURN = "churn"


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a service. All of them hold for each server.

    Attributes:
        deadline_ms: Deadline of a request whose caller names none.
        max_request_ms: Longest permitted run of a request.
        max_body_bytes: Largest request body.
        queue_length: Most requests that wait for a slot.
        requests_per_second: Highest request rate; 0 means no limit.
        retry_after_ms: Shortest time after which a refused caller is told to come back.
    """

    deadline_ms: Annotated[int, Meta(ge=1, le=600_000)] = 5_000
    max_request_ms: Annotated[int, Meta(ge=1, le=600_000)] = 10_000
    max_body_bytes: Annotated[int, Meta(ge=0, le=1 << 40)] = 64 * 1024 * 1024
    queue_length: Annotated[int, Meta(ge=0, le=100_000)] = 64
    requests_per_second: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    retry_after_ms: Annotated[int, Meta(ge=0, le=60_000)] = 1_000


@dataclass(frozen=True, slots=True)
class Entry:
    """One service as its operators describe it.

    Attributes:
        service: Name of the service.
        owner: Team that answers for it.
        request_class: Whether requests may run more than once.
        groups: Number of groups that its keys are divided into. Cannot change once set.
        shard_count: Shards per group. Cannot change once set.
        limits: Limits of each server.
        weight: Measure that placement weighs most.
        recovery: Counter; raising it states that all members known so far that do not
            answer are gone for good.
        deleted: Whether the entry is a tombstone. Tombstones keep versions from reverting.
        operation_id: Identifier of the edit, by which a lost response is read back.
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
    """An entry with the platform version it was read at.

    Attributes:
        version: Version of the platform object.
        entry: The entry.
    """

    version: int
    entry: Entry
