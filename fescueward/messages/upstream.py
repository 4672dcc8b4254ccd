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
# The upstream refused the request before the run, or aborted the run; the value is the reason.
REFUSAL_HEADER = "Fescueward-Refusal"
ABORTED_HEADER = "Fescueward-Aborted"
DEADLINE_MS_HEADER = "Fescueward-Deadline-Ms"


class AnnouncedState(enum.StrEnum):
    """State of the upstream as announced by itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Announcement:
    """Registration of an upstream with the agent on its VM.

    Attributes:
        service: Service that the upstream serves.
        host: Address of its HTTP server.
        port: Port of its HTTP server.
        slots: Requests that it runs concurrently.
        connections: Connections that it accepts.
        checks_grants: Whether it rejects requests without a valid grant.
        state: Whether it accepts requests.
        group: Number of the group that it joins.
        instance: Identity of this start of the upstream, or empty.
        started_ms: Time of its start in Unix milliseconds, or 0 if not announced.
        cold_s: Remaining warm-up time in seconds, or None if not announced.
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
        """Identity of this start, or empty; a restarted upstream may reuse its instance id."""
        return f"{self.instance}@{self.started_ms}" if self.instance else ""


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that an upstream reports of itself.

    Attributes:
        running: Number of running requests.
        waiting: Number of waiting requests.
        slots: Requests that may run concurrently.
        slowness: How long work takes at present in proportion to the usual time, or None if the
            upstream does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """What an upstream says of itself in a response.

    Attributes:
        start: Identity of the start that responded; see `Announcement.start`.
        per_second: Requests per second that it takes from all agents together, or None.
        leaving: Whether it leaves.
        load: Load that it reports, or None without a readable report.
        cold_s: Remaining time for which it is cold, in seconds, or None if not stated.
    """

    start: str
    per_second: float | None = None
    leaving: bool = False
    load: ReportedLoad | None = None
    cold_s: float | None = None


@dataclass(frozen=True, slots=True)
class GrantSet:
    """All grants of an upstream; replaces the previous set.

    Attributes:
        holder: Member id of the agent.
        sequence: Number that increases with each set, so that a delayed older set is ignored.
        expires_ns: End of all grants in CLOCK_BOOTTIME nanoseconds, which agent and upstream
            share because they run on the same VM.
        epochs: Epoch by shard id. The grants of absent shards are revoked.
    """

    holder: str
    sequence: Annotated[int, Meta(ge=0)]
    expires_ns: Annotated[int, Meta(ge=0)]
    epochs: dict[int, int]


def upstream_url(announcement: Announcement, path: str) -> URL:
    """Returns the URL of a path on the upstream; the path is not encoded again."""
    return URL(f"http://{announcement.host}:{announcement.port}{path}", encoded=True)
