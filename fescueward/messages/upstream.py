"""Messages between an agent and its upstream."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta
from yarl import URL

from .entry import ServiceName

SHARD_HEADER = "Fescueward-Shard"
EPOCH_HEADER = "Fescueward-Epoch"
DEADLINE_HEADER = "Fescueward-Deadline"
REQUEST_ID_HEADER = "Fescueward-Request-Id"
KEY_HEADER = "Fescueward-Key"
TOKEN_HEADER = "Fescueward-Token"
# A refusal before the run, and a run that was ended early, with their reasons.
REFUSAL_HEADER = "Fescueward-Refusal"
ABORTED_HEADER = "Fescueward-Aborted"
DEADLINE_MS_HEADER = "Fescueward-Deadline-Ms"


class AnnouncedState(enum.StrEnum):
    """What the upstream says about itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Announcement:
    """An upstream introduces itself to the agent on its VM.

    Attributes:
        service: Service that it serves.
        host: Address of its HTTP server.
        port: Port of its HTTP server.
        slots: Requests that it runs at a time.
        connections: Connections that it accepts.
        checks_grants: Whether it rejects requests without a valid grant.
        state: Whether it takes work.
        group: Number of the group that it joins.
        instance: Identity of this start of the upstream, or empty.
        started_ms: When it started, in Unix milliseconds; 0 if it does not say.
        cold_s: How much longer it is slow after its start, in seconds; None if it does not say.
    """

    service: ServiceName
    host: Annotated[str, Meta(min_length=1, max_length=255)]
    port: Annotated[int, Meta(ge=1, le=65_535)]
    slots: Annotated[int, Meta(ge=1, le=100_000)]
    connections: Annotated[int, Meta(ge=1, le=1_000_000)]
    checks_grants: bool = True
    state: AnnouncedState = AnnouncedState.READY
    group: Annotated[int, Meta(ge=0, le=100_000)] = 0
    instance: str = ""
    started_ms: Annotated[int, Meta(ge=0)] = 0
    cold_s: Annotated[float, Meta(ge=0)] | None = None

    @property
    def start(self) -> str:
        """Identity of this start; an upstream may start again under the id that it had."""
        return f"{self.instance}@{self.started_ms}" if self.instance else ""


@dataclass(frozen=True, slots=True)
class GrantSet:
    """All grants of an upstream; replaces the set sent before.

    Attributes:
        holder: Member id of the agent.
        sequence: Grows with each set, so that a delayed older set is ignored.
        expires_ns: End of all grants, in CLOCK_BOOTTIME nanoseconds of the shared VM.
        epochs: Epoch by shard id. A shard that is absent is revoked.
    """

    holder: str
    sequence: Annotated[int, Meta(ge=0)]
    expires_ns: Annotated[int, Meta(ge=0)]
    epochs: dict[int, int]


def upstream_url(announcement: Announcement, path: str) -> URL:
    """Returns the URL of a path on the upstream; the path stays as it was written."""
    return URL(f"http://{announcement.host}:{announcement.port}{path}", encoded=True)
