"""Reading of the log files of many agent processes."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from ...kernel import FescuewardError

# Longest line that is read, in bytes. The longest lines of an agent name a few thousand ranges.
_LINE_BYTES = 1024 * 1024


class LogFileError(FescuewardError):
    """A log file cannot be read."""

    code = 6010
    label = "log_file_unreadable"


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of an agent.

    Attributes:
        file: Number of its file in the order of the arguments.
        number: Number of the line in its file, from 1.
        at: Seconds since 1970 by the clock of the agent's machine.
        time: The same as the line has it.
        event: Name of the event, or empty for lines of libraries.
        request: Id of the request that the line is about, or empty.
        fields: All values of the line by name.
    """

    file: int
    number: int
    at: float
    time: str
    event: str
    request: str
    fields: dict[str, Any]


def read_lines(path: Path, file: int) -> Iterator[LogLine | None]:
    """Reads one file as a stream.

    Args:
        path: The file. Pipes are refused, because the files are read twice.
        file: Its number.

    Yields:
        Each line; None for one that is no JSON object with a time.

    Raises:
        LogFileError: The file cannot be read.
    """
    try:
        if path.exists() and not path.is_file():
            raise LogFileError(f"{path}: no regular file")
        with path.open("rb") as stream:
            for number, data in enumerate(_raw_lines(stream), start=1):
                yield _parse(data, file, number)
    except OSError as error:
        raise LogFileError(f"{path}: {error.strerror or error}") from error


def _raw_lines(stream: BinaryIO) -> Iterator[bytes]:
    """Yields the lines; one that is too long is cut and so is no JSON."""
    while data := stream.readline(_LINE_BYTES):
        rest = data
        while rest and not rest.endswith(b"\n"):
            rest = stream.readline(_LINE_BYTES)
        yield data


def _parse(data: bytes, file: int, number: int) -> LogLine | None:
    try:
        fields = msgspec.json.decode(data)
        written_at = datetime.fromisoformat(fields["time"])
    except (ValueError, KeyError, TypeError):
        return None
    event, request = fields.get("name", ""), fields.get("request", "")
    if not isinstance(event, str) or not isinstance(request, str):
        return None
    return LogLine(file, number, written_at.timestamp(), fields["time"], event, request, fields)
