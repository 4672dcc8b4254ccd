"""Journals of upstreams: one JSON line for each event of a run."""

from __future__ import annotations

import enum
import os
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ..messages.codec import encode_json
from .errors import JournalError


class EventKind(enum.StrEnum):
    """What an upstream journals."""

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
        kind: What happened. `grant` is a new set of grants; `exit` ends all runs of the process.
        time_ns: When, in CLOCK_BOOTTIME nanoseconds.
        upstream: Name of the upstream.
        pid: Its process.
        port: Port of its HTTP server.
        service: Service that it serves.
        group: Number of its group.
        run: Number of the run in the process; 0 for `rejected`, `grant` and `exit`.
        request_id: Id of the request.
        key: Its key.
        shard: Shard that the request names, or None.
        epoch: Epoch that the request names, or None.
        token: Idempotency token, or None.
        valid_until_ns: End of the grant that the upstream holds, in CLOCK_BOOTTIME nanoseconds;
            0 if it checks none.
        reason: Why a run was aborted or a request rejected.
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
    """Appends events to a journal file, each with one write call, so that none is lost in a kill.

    Args:
        path: The file.

    Raises:
        OSError: The file cannot be opened.
    """

    def __init__(self, path: Path) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def append(self, event: JournalEvent) -> None:
        """Appends one event."""
        os.write(self._file, encode_json(event) + b"\n")

    def close(self) -> None:
        """Closes the file."""
        os.close(self._file)


def read_journal(path: Path) -> tuple[JournalEvent, ...]:
    """Reads a journal; a file that does not exist is empty.

    Raises:
        JournalError: A line is malformed.
    """
    if not path.exists():
        return ()
    try:
        lines = path.read_bytes().splitlines()
        return tuple(msgspec.json.decode(line, type=JournalEvent) for line in lines)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise JournalError(f"bad line in {path}: {error}") from error
