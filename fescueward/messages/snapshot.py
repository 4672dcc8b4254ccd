"""Snapshots of a planner's state, from which the next planner starts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from .group import GroupId

_NonNegativeInt = Annotated[int, Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State of a group's planner, written to the platform periodically.

    Attributes:
        service: Service of the group.
        number: Number of the group.
        work: Microseconds of upstream time per second, by shard id in decimal.
        hot_keys: Microseconds of upstream time per second of the hottest keys, by key.
    """

    service: str
    number: _NonNegativeInt
    work: dict[str, _NonNegativeInt] = field(default_factory=dict)
    hot_keys: dict[str, _NonNegativeInt] = field(default_factory=dict)


def snapshot_object_key(group: GroupId) -> str:
    """Returns the key of the platform object of a group's snapshot."""
    return f"snapshots/{group.service}/{group.number}"
