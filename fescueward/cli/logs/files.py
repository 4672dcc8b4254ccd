"""Reading of log files of agents."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from ...kernel import FescuewardError

# Limit on the length of a line. The longest lines of an agent list a few thousand ranges.
_MAX_LINE_BYTES = 1024 * 1024


class LogFileError(FescuewardError):
    """A log file cannot be read."""

    code = 6010
    label = "log_file_unreadable"


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line of an agent.

    Attributes:
        file: Index of the file in the order of the arguments.
        number: Line number in the file, from 1.
        at: Time in seconds since 1970 by the clock of the agent's machine.
        time: The time as written in the line.
        event: Name of the event, or empty for a line that a library wrote.
        request: Id of the request that the line is about, or empty.
        fields: All values of the line by field name.
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
        path: The file. Pipes are rejected, because each file is read twice.
        file: Index of the file, for `LogLine.file`.

    Yields:
        Each line, or None for a line that is not a JSON object with a time.

    Raises:
        LogFileError: The file cannot be read.
    """
    try:
        if path.exists() and not path.is_file():
            raise LogFileError(f"{path}: not a regular file")
        with path.open("rb") as stream:
            for number, data in enumerate(_raw_lines(stream), start=1):
                yield _parse(data, file, number)
    except OSError as error:
        raise LogFileError(f"{path}: {error.strerror or error}") from error


def _raw_lines(stream: BinaryIO) -> Iterator[bytes]:
    """Yields the lines; one above the length limit is truncated, so it is not valid JSON."""
    while data := stream.readline(_MAX_LINE_BYTES):
        chunk = data
        while chunk and not chunk.endswith(b"\n"):
            chunk = stream.readline(_MAX_LINE_BYTES)
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
