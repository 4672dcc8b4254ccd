"""Options of the upstream stand-in, and switches that can be changed while it runs."""

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
        work_ms: Execution time of a request, in milliseconds.
        report: Accuracy of the load on the health page.
        leaving: Whether the upstream announces that it leaves. The stand-in's process then drains
            and exits.
        refuse_ms: Time in milliseconds for which all connections are reset and new ones refused,
            once.
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
        name: Name in responses and journal; `SERVICE-PORT` if empty.
        host: Address to listen on.
        port: Port to listen on; 0 chooses a free one.
        announce: URL to which announcements are sent; empty for none.
        group: Number of the group that it joins.
        slots: Maximum number of concurrent requests; more are shed.
        connections: Maximum number of connections; more are reset.
        checks_grants: Whether it rejects requests without a valid grant.
        journal: Path of the journal file, or None.
        cold_start_ms: Time after the start in which requests take up to four times as long, in
            milliseconds.
        linger_ms: Time for which it accepts requests after it has announced that it leaves, in
            milliseconds.
        switches: Initial switches.
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
    """Returns switches with the changes of a control call applied.

    Args:
        switches: Switches in force.
        body: JSON object with some or all fields of `Switches`.

    Raises:
        ControlError: The body is not a JSON object, or a field is unknown or out of range.
    """
    try:
        changes = msgspec.json.decode(body, type=dict[str, Any])
        unknown = changes.keys() - {field.name for field in fields(Switches)}
        if unknown:
            raise ControlError(f"unknown switches: {', '.join(sorted(unknown))}")
        return msgspec.convert({**asdict(switches), **changes}, Switches)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ControlError(f"bad switches: {error}") from error
