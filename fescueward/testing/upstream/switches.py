"""Options of the stand-in, and the behaviour that can be changed while it runs."""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields
from pathlib import Path
from typing import Any

import msgspec

from ..errors import ControlError
from ..program import (
    LOOPBACK,
)
from .calls import Milliseconds
from .reports import ReportKind


@dataclass(frozen=True, slots=True)
class Switches:
    """Behaviour that can be changed while the upstream runs.

    Attributes:
        work_ms: Time that a request takes.
        report: How truthful the health page is.
        leaving: Whether it announces that it leaves; it then ends by itself.
        refuse_ms: Resets all connections and refuses new ones for this long, once.
    """

    work_ms: Milliseconds = 0
    report: ReportKind = ReportKind.HONEST
    leaving: bool = False
    refuse_ms: Milliseconds = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamOptions:
    """Options of an upstream.

    Attributes:
        service: Service that it serves.
        name: Name in answers and journal; by default made of service and port.
        host: Address to listen on.
        port: Port to listen on; 0 chooses a free one.
        announce: URL of the agent's announcement address, or empty.
        group: Number of the group that it joins.
        slots: Requests that it runs at a time; it sheds more.
        connections: Connections that it accepts; it resets more.
        checks_grants: Whether it rejects requests without a valid grant.
        journal: Journal file, or None.
        cold_start_ms: Time after the start in which requests take up to four times as long.
        linger_ms: Time that it takes requests after it has announced that it leaves.
        switches: Behaviour at the start.
    """

    service: str
    name: str = ""
    host: str = LOOPBACK
    port: int = 0
    announce: str = ""
    group: int = 0
    slots: int = 12
    connections: int = 130
    checks_grants: bool = True
    journal: Path | None = None
    cold_start_ms: int = 0
    linger_ms: int = 3000
    switches: Switches = Switches()


def merge_switches(switches: Switches, body: bytes) -> Switches:
    """Applies a change in JSON to switches.

    Args:
        switches: The switches in force.
        body: JSON object with some or all fields of `Switches`.

    Raises:
        ControlError: The body is no JSON object or a field is unknown or out of range.
    """
    try:
        changes = msgspec.json.decode(body, type=dict[str, Any])
        unknown = changes.keys() - {field.name for field in fields(Switches)}
        if unknown:
            raise ControlError(f"unknown switches: {', '.join(sorted(unknown))}")
        return msgspec.convert({**asdict(switches), **changes}, Switches)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ControlError(f"bad switches: {error}") from error
