"""Snapshots of what a planner knows, for the next planner."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from .group import GroupId

_Count = Annotated[int, Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A platform object that the planner of a group writes now and then.

    Attributes:
        service: Service of the group.
        number: Number of the group.
        work: Microseconds of upstream time per second by shard id in decimal.
        hot_keys: Microseconds of upstream time per second of the hottest keys.
        quarantine: Milliseconds that each fingerprint, in decimal, stays quarantined.
    """

    service: str
    number: _Count
    work: dict[str, _Count] = field(default_factory=dict)
    hot_keys: dict[str, _Count] = field(default_factory=dict)
    quarantine: dict[str, _Count] = field(default_factory=dict)


def snapshot_object_key(group: GroupId) -> str:
    """Returns the platform key of a group's snapshot."""
    return f"snapshots/{group.service}/{group.number}"
