"""Journals of upstreams: files with one JSON line for each event."""

from __future__ import annotations

import enum
import os
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ..messages.codec import encode_json
from .errors import JournalError


class EventKind(enum.StrEnum):
    """Kinds of events in a journal."""

    START = "start"
    END = "end"
    ABORTED = "aborted"
    REJECTED = "rejected"
    GRANT = "grant"
    EXIT = "exit"


@dataclass(frozen=True, slots=True, kw_only=True)
class JournalEvent:
    """One line of a journal.

    Attributes:
        kind: Kind of the event. `grant` is the receipt of a new set of grants; `exit` ends all
            runs of the process.
        time_ns: Time of the event in CLOCK_BOOTTIME nanoseconds.
        upstream: Name of the upstream.
        pid: Process id of the upstream.
        port: Port of the upstream's HTTP server.
        service: Service of the upstream.
        group: Number of the upstream's group.
        run: Number of the run in the process; 0 for `rejected`, `grant` and `exit`.
        request_id: Id of the request.
        key: Key of the request.
        shard: Shard that the request names, or None.
        epoch: Epoch that the request names, or None.
        token: Idempotency token, or None.
        valid_until_ns: Expiry of the grants that the upstream holds, in CLOCK_BOOTTIME
            nanoseconds; 0 if it checks none.
        reason: Why a run was aborted or a request was rejected.
    """

    kind: EventKind
    time_ns: int
    upstream: str
    pid: int
    port: int
    service: str
    group: int = 0
    run: int = 0
    request_id: str = ""
    key: str = ""
    shard: int | None = None
    epoch: int | None = None
    token: str | None = None
    valid_until_ns: int = 0
    reason: str = ""


class JournalWriter:
    """Appends events to a journal file, each with one write call, so that a kill loses none.

    Args:
        path: The journal file, which is created if it does not exist.

    Raises:
        OSError: The file cannot be opened.
    """

    def __init__(self, path: Path) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def append(self, event: JournalEvent) -> None:
        """Appends one event as a JSON line."""
        os.write(self._file, encode_json(event) + b"\n")

    def close(self) -> None:
        """Closes the journal file."""
        os.close(self._file)


def read_journal(path: Path) -> tuple[JournalEvent, ...]:
    """Returns the events of a journal; a file that does not exist has none.

    Raises:
        JournalError: A line is malformed.
    """
    if not path.exists():
        return ()
    try:
        lines = path.read_bytes().splitlines()
        return tuple(msgspec.json.decode(line, type=JournalEvent) for line in lines)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise JournalError(f"malformed line in {path}: {error}") from error
