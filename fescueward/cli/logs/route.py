"""Where a request went: the files that were read and the agents that it reached."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from pathlib import Path

from .beliefs import state_after
from .files import LogLine, read_lines

# Most processes that are kept of one file, the latest ones.
_MOST_PROCESSES = 64
RECEIVED = "request_received"
ANSWERED = "request_answered"
CALLER_LEFT = "caller_left"
_SENT = ("request_sent", "request_forwarded")
# After one of these an agent has nothing more to do for a request.
_LAST_OF_AN_AGENT = (
    ANSWERED,
    CALLER_LEFT,
    "request_executed",
    "request_run",
    "request_not_run",
)
# Fields that name members of a group.
_MEMBER_FIELDS = ("member", "members", "owner", "ranges", "moving", "to")
# What all agents tell alike, so that only those that the request went to are shown with it: new
# versions of a group, and by the hundreds of their numbers the streams between agents.
_GROUP_CHANGED = "group_changed"
_PEER_EVENTS = 23


class _Process:
    """One process in a file, as far as it was read.

    Args:
        line: Its first line.
    """

    def __init__(self, line: LogLine) -> None:
        self.first_at = line.at
        self.state = ""
        self.follow(line)

    def follow(self, line: LogLine) -> None:
        """Takes its next line."""
        self.last_at, self.last_time = line.at, line.time
        self.state = state_after(line) or self.state


class LogFile:
    """What a first reading finds in one file.

    Args:
        path: The file.
        number: Its number.
    """

    def __init__(self, path: Path, number: int) -> None:
        self.path, self.number = path, number
        # Until a line names the agent, its file does.
        self.agent = path.stem
        self.processes: list[_Process] = []
        self.not_json = self.left_out = 0

    def lines_of(self, request: str) -> Iterator[LogLine]:
        """Reads the file to its end and yields the lines of a request."""
        for line in read_lines(self.path, self.number):
            if line is None:
                self.not_json += 1
                continue
            self._follow(line)
            if line.request == request:
                yield line

    def _follow(self, line: LogLine) -> None:
        if line.event == "agent_started":
            self.agent = str(line.fields.get("agent", self.agent))
        if line.event == "agent_started" or not self.processes:
            self.processes.append(_Process(line))
            del self.processes[:-_MOST_PROCESSES]
        self.processes[-1].follow(line)
        if line.event == "log_lines_left_out":
            counts = {**line.fields, "event": 0}.values()
            self.left_out += sum(count for count in counts if isinstance(count, int))


class Route:
    """Where the request went.

    Args:
        lines: Its lines in order.
        files: The files that were read.
    """

    def __init__(self, lines: Sequence[LogLine], files: Sequence[LogFile]) -> None:
        self.first_at, self.last_at = lines[0].at, lines[-1].at
        self.open_until = self._open_until(lines)
        self.places = {place(line): line for line in lines}
        self.service = _first_value(lines, "service")
        self.key = _first_value(lines, "key")
        # A dict keeps the order.
        self.agents = tuple({files[line.file].agent: None for line in lines})
        sent = [
            str(line.fields.get("member", line.fields.get("owner")))
            for line in lines
            if line.event in _SENT
        ]
        names = {member.rpartition(":")[0]: None for member in sent}
        self.without_lines = tuple(name for name in names if name not in self.agents)
        self.ended = frozenset(
            files[line.file].agent for line in lines if line.event in _LAST_OF_AN_AGENT
        )

    def _open_until(self, lines: Sequence[LogLine]) -> float:
        """Returns when the request was over: at its last line, or at its deadline without an end.

        Lines of requests are written up to 20 ms late and are lost with the process.
        """
        if any(line.event in (ANSWERED, CALLER_LEFT) for line in lines):
            return self.last_at
        timeouts = [line.fields.get("timeout_ms") for line in lines]
        known = [value / 1000 for value in timeouts if isinstance(value, int)]
        return max(self.last_at, self.first_at + max(known, default=0.0))

    def concerns(self, agent: str, line: LogLine) -> bool:
        """Tells whether a change of a belief may have touched the request."""
        first, last = line.fields.get("first"), line.fields.get("last")
        if line.request or not covers(self.key, first, last):
            return False
        if agent in self.agents or agent in self.without_lines:
            return True
        number = line.fields.get("event")
        is_of_peers = isinstance(number, int) and number // 100 == _PEER_EVENTS
        if is_of_peers or line.event == _GROUP_CHANGED:
            return False
        if str(line.fields.get("group", "")).rpartition("/")[0] == self.service:
            return True
        values = [str(line.fields.get(name, "")) for name in _MEMBER_FIELDS]
        touched = (*self.agents, *self.without_lines)
        return any(f"{name}:" in value for name in touched for value in values)


def covers(key: str, first: object, last: object) -> bool:
    """Tells whether a key range holds a key; without numbers that deny it, it may."""
    if not key.isdecimal() or not isinstance(first, int) or not isinstance(last, int):
        return True
    return first <= int(key) <= last


def _first_value(lines: Sequence[LogLine], name: str) -> str:
    values = (str(line.fields.get(name, "")) for line in lines)
    return next((value for value in values if value), "")


def place(line: LogLine) -> tuple[int, int]:
    """Returns the number of the line's file and its number there."""
    return line.file, line.number
