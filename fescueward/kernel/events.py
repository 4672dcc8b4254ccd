"""Numbered log events.

Each module declares its events as constants. docs/events.md lists all of them and is checked by
a test.
"""

from __future__ import annotations

import enum
import sys
import time
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any, TextIO

import msgspec
from loguru import logger

from .errors import DuplicateNameError
from .log_lines import LineOutput


class Level(enum.StrEnum):
    """Severity of an event, by loguru's names."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


@dataclass(frozen=True, slots=True)
class Event:
    """One kind of log line.

    Attributes:
        number: Unique number; the hundreds name the module.
        name: Stable name.
        level: Severity.
        text: What happened, for docs/events.md.
        frequent: Whether it tells of one request. Such lines are limited in each second and are
            the first to be left out when nobody reads them.
    """

    number: int
    name: str
    level: Level
    text: str
    frequent: bool = False

    def __post_init__(self) -> None:
        known = _EVENTS.get(self.number)
        if known is not None and known.name != self.name:
            raise DuplicateNameError(
                f"event number {self.number} of {self.name!r} is taken by {known.name!r}"
            )
        _EVENTS[self.number] = self

    def emit(self, **fields: Any) -> None:
        """Writes one log line.

        Args:
            **fields: Values of the line; they are formatted only when the level is enabled.
        """
        if _NUMBERS[self.level] < _threshold.number:
            return
        if self.frequent:
            _output.write_frequent(self, fields)
        else:
            _LOGGER.log(self.level.value, self.name, event=self, fields=fields)


_EVENTS: dict[int, Event] = {}
# Made once, because options and bound values cost as much as the rest of a suppressed line.
_LOGGER = logger.opt(depth=1)
_NUMBERS = {level: logger.level(level.value).no for level in Level}
# A program that uses the library gets no lines of it unless it asks for them.
_PACKAGE = __name__.partition(".")[0]
logger.disable(_PACKAGE)


class _Threshold:
    """Lowest level of the sink. loguru finds it out later, after half of the cost of a line."""

    def __init__(self) -> None:
        self.number = 0


_threshold = _Threshold()
_PLAIN = (str, int, float, list, tuple, dict, type(None))


def events() -> tuple[Event, ...]:
    """Returns all declared events in the order of their numbers."""
    return tuple(_EVENTS[number] for number in sorted(_EVENTS))


class _Output:
    """The line output of the process; there is none until logging is set up."""

    def __init__(self) -> None:
        self.lines: LineOutput | None = None
        self.is_json = False

    def write(self, message: Any) -> None:
        """Takes a line from loguru."""
        assert self.lines is not None
        record = message.record
        event: Event | None = record["extra"].get("event")
        urgent = record["level"].no >= _NUMBERS[Level.WARNING]
        if event is not None:
            self.lines.add(event.name, self._line(event, record["extra"]["fields"]), urgent)
        else:
            # Lines of libraries.
            line = self._render(record["level"].name, record["message"], {})
            self.lines.add("", line, urgent)

    def write_frequent(self, event: Event, fields: dict[str, Any]) -> None:
        """Takes a line about a request, without the cost of a loguru record."""
        if self.lines is None or not self.lines.permits(event.name):
            return
        self.lines.add(event.name, self._line(event, fields), False)

    def left_out_line(self, counts: dict[str, int]) -> bytes:
        """Returns the line that tells which lines were left out."""
        return self._line(_LEFT_OUT, counts)

    def _line(self, event: Event, fields: dict[str, Any]) -> bytes:
        if not self.is_json:
            return self._render(event.level.value, f"{event.number} {event.name}", fields)
        return self._render(
            event.level.value, event.name, {"event": event.number, "name": event.name, **fields}
        )

    def _render(self, level: str, text: str, fields: dict[str, Any]) -> bytes:
        written_at = datetime.now(UTC).isoformat(timespec="milliseconds")
        if not self.is_json:
            values = "".join(f" {name}={value}" for name, value in fields.items())
            return f"{written_at} {level} {text}{values}\n".encode()
        line = {"time": written_at, "level": level}
        if fields:
            line.update((name, _plain(value)) for name, value in fields.items())
        else:
            line["message"] = text
        return msgspec.json.encode(line, enc_hook=str) + b"\n"


def _plain(value: Any) -> Any:
    """Returns a value as it stands in a line: data classes and errors by their text."""
    return value if isinstance(value, _PLAIN) else str(value)


_output = _Output()
_LEFT_OUT = Event(
    9001,
    "log_lines_left_out",
    Level.WARNING,
    "These numbers of lines, by event, were not written: too many in a second, or no reader.",
)


def dropped_log_lines() -> int:
    """Returns the number of log lines that this process did not write."""
    return _output.lines.left_out if _output.lines is not None else 0


def configure_logging(level: str, form: str, stream: TextIO | None = None) -> None:
    """Sets up the one log sink of the process.

    Args:
        level: Lowest level that is written.
        form: `text` or `json`.
        stream: Where lines go; standard error by default.
    """
    if _output.lines is not None:
        _output.lines.close()
    _output.is_json = form == "json"
    _output.lines = LineOutput(stream or sys.stderr, time.monotonic, _output.left_out_line)
    _threshold.number = _NUMBERS[Level(level)]
    logger.remove()
    logger.enable(_PACKAGE)
    logger.add(
        _output.write, level=level, format="{message}", backtrace=False, diagnose=False, catch=True
    )
