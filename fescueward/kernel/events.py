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
from .text import encodable_text


class Level(enum.StrEnum):
    """Severity of an event, with loguru's names."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


@dataclass(frozen=True, slots=True)
class Event:
    """One kind of log line.

    Attributes:
        number: Unique number; its hundreds identify the module.
        name: Stable name.
        level: Severity.
        text: Description of what happened, for docs/events.md.
        frequent: Whether the event is emitted for single requests. The rate of such lines is
            limited, and they are the first to be dropped when the reader is too slow.
    """

    number: int
    name: str
    level: Level
    text: str
    frequent: bool = False

    def __post_init__(self) -> None:
        existing = _EVENTS.get(self.number)
        if existing is not None and existing.name != self.name:
            raise DuplicateNameError(
                f"event number {self.number} of {self.name!r} is taken by {existing.name!r}"
            )
        _EVENTS[self.number] = self

    def emit(self, **fields: Any) -> None:
        """Writes one log line.

        Args:
            **fields: Fields of the line; they are formatted only if the level is enabled.
        """
        if _SEVERITIES[self.level] < _threshold.severity:
            return
        if self.frequent:
            _output.write_frequent(self, fields)
        else:
            _LOGGER.log(self.level.value, self.name, event=self, fields=fields)


_EVENTS: dict[int, Event] = {}
# Created once, because options and bound values cost as much as the rest of a suppressed line.
_LOGGER = logger.opt(depth=1)
_SEVERITIES = {level: logger.level(level.value).no for level in Level}
# A program that uses the library gets no log lines of it unless it enables them.
_PACKAGE = __name__.partition(".")[0]
logger.disable(_PACKAGE)


class _Threshold:
    """Lowest severity of the sink, checked first: loguru's check follows half of a line's cost."""

    def __init__(self) -> None:
        self.severity = 0


_threshold = _Threshold()
_JSON_TYPES = (str, int, float, bool, list, tuple, dict, type(None))
_ENCODER = msgspec.json.Encoder(enc_hook=str)


def events() -> tuple[Event, ...]:
    """Returns all declared events in the order of their numbers."""
    return tuple(_EVENTS[number] for number in sorted(_EVENTS))


class _Output:
    """The line output of the process; `lines` is None until logging is configured."""

    def __init__(self) -> None:
        self.lines: LineOutput | None = None
        self.is_json = False
        # Formatted once: the fields that are the same in each line of an event, by its number, and
        # the time up to the second.
        self._heads: dict[int, bytes] = {}
        self._second = -1.0
        self._second_text = ""

    def write(self, message: Any) -> None:
        """Writes a record of loguru."""
        assert self.lines is not None
        record = message.record
        event: Event | None = record["extra"].get("event")
        urgent = record["level"].no >= _SEVERITIES[Level.WARNING]
        if event is not None:
            self.lines.add(event.name, self._line(event, record["extra"]["fields"]), urgent)
        else:
            # Lines of libraries.
            line = self._library_line(record["level"].name, record["message"])
            self.lines.add("", line, urgent)

    def write_frequent(self, event: Event, fields: dict[str, Any]) -> None:
        """Writes the line of a frequent event, without the cost of a loguru record."""
        if self.lines is None or not self.lines.permits(event.name):
            return
        self.lines.add(event.name, self._line(event, fields), False)

    def dropped_lines_line(self, counts: dict[str, int]) -> bytes:
        """Returns a line with the number of dropped lines by event name."""
        return self._line(_LINES_DROPPED, counts)

    def _line(self, event: Event, fields: dict[str, Any]) -> bytes:
        if not self.is_json:
            return self._render_text(event.level.value, f"{event.number} {event.name}", fields)
        head = self._heads.get(event.number)
        if head is None:
            names = {"level": event.level, "event": event.number, "name": event.name}
            head = self._heads[event.number] = b"," + _ENCODER.encode(names)[1:-1]
        if not all(type(value) in _JSON_TYPES for value in fields.values()):
            fields = {name: _json_value(value) for name, value in fields.items()}
        tail = b"," + _encode_fields(fields)[1:] if fields else b"}"
        return b'{"time":"%b"%b%b\n' % (self._time().encode(), head, tail)

    def _library_line(self, level: str, text: str) -> bytes:
        if not self.is_json:
            return self._render_text(level, text, {})
        line = {"time": self._time(), "level": level, "message": text}
        return _encode_fields(line) + b"\n"

    def _render_text(self, level: str, text: str, fields: dict[str, Any]) -> bytes:
        values = "".join(f" {name}={value}" for name, value in fields.items())
        return encodable_text(f"{self._time()} {level} {text}{values}\n").encode()

    def _time(self) -> str:
        """Returns the current time in UTC with milliseconds, in the form of ISO 8601."""
        second, fraction = divmod(time.time(), 1)
        if second != self._second:
            self._second = second
            self._second_text = datetime.fromtimestamp(second, UTC).isoformat()[: -len("+00:00")]
        return f"{self._second_text}.{int(fraction * 1000):03d}+00:00"


def _encode_fields(fields: dict[str, Any]) -> bytes:
    """Returns fields as JSON; bytes that were no UTF-8 where they were received are escaped."""
    try:
        return _ENCODER.encode(fields)
    except UnicodeEncodeError:
        return _ENCODER.encode({name: encodable_text(value) for name, value in fields.items()})


def _json_value(value: Any) -> Any:
    """Converts a value for a JSON line: data classes and errors are written as text."""
    return value if isinstance(value, _JSON_TYPES) else str(value)


_output = _Output()
_LINES_DROPPED = Event(
    9001,
    "log_lines_left_out",
    Level.WARNING,
    "Log lines were dropped, too many in one second or a slow reader; fields count them by event.",
)


def dropped_log_lines() -> int:
    """Returns the number of log lines that this process has dropped."""
    return _output.lines.dropped if _output.lines is not None else 0


def configure_logging(level: str, line_format: str, stream: TextIO | None = None) -> None:
    """Configures the only log sink of the process.

    Args:
        level: Lowest level that is written.
        line_format: `text` or `json`.
        stream: Stream to write to; standard error by default.
    """
    if _output.lines is not None:
        _output.lines.close()
    _output.is_json = line_format == "json"
    _output.lines = LineOutput(stream or sys.stderr, time.monotonic, _output.dropped_lines_line)
    _threshold.severity = _SEVERITIES[Level(level)]
    logger.remove()
    logger.enable(_PACKAGE)
    logger.add(
        _output.write, level=level, format="{message}", backtrace=False, diagnose=False, catch=True
    )
