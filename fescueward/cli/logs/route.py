"""The route of a request: the agents that it was sent to, found in their log files."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from pathlib import Path

from .beliefs import state_after
from .files import LogLine, read_lines

# Limit on the processes that are recorded for one file; the oldest are dropped first.
_MAX_PROCESSES = 64
RECEIVED = "request_received"
ANSWERED = "request_answered"
CALLER_LEFT = "caller_left"
_SENT_EVENTS = ("request_sent", "request_forwarded")
# Events after which an agent has finished its part of a request.
_FINAL_EVENTS = (
    ANSWERED,
    CALLER_LEFT,
    "request_executed",
    "request_run",
    "request_not_run",
)
# Fields with ids of group members.
_MEMBER_FIELDS = ("member", "members", "owner", "ranges", "moving", "to")
# Events that every agent logs, so they are shown only for the agents of the route: new versions of
# a group, and events of the streams between agents, given by the hundreds of their numbers.
_GROUP_CHANGED = "group_changed"
_PEER_EVENT_HUNDREDS = 23


class _Process:
    """One agent process in a log file, up to the line that was read last.

    Args:
        line: First line of the process.
    """

    def __init__(self, line: LogLine) -> None:
        self.first_at_s = line.at
        self.state = ""
        self.observe(line)

    def observe(self, line: LogLine) -> None:
        """Updates the times and the state from the next line."""
        self.last_at_s, self.last_time = line.at, line.time
        self.state = state_after(line) or self.state


class LogFile:
    """One log file, with the agent name and the processes that `lines_of` finds in it.

    Args:
        path: The file.
        number: Index of the file.
    """

    def __init__(self, path: Path, number: int) -> None:
        self.path, self.number = path, number
        # The file name is used as the agent's name until a line names the agent.
        self.agent = path.stem
        self.processes: list[_Process] = []
        self.not_json = self.left_out = 0

    def lines_of(self, request: str) -> Iterator[LogLine]:
        """Reads the whole file, records its processes and yields the lines of a request."""
        for line in read_lines(self.path, self.number):
            if line is None:
                self.not_json += 1
                continue
            self._observe(line)
            if line.request == request:
                yield line

    def _observe(self, line: LogLine) -> None:
        if line.event == "agent_started":
            self.agent = str(line.fields.get("agent", self.agent))
        if line.event == "agent_started" or not self.processes:
            self.processes.append(_Process(line))
            del self.processes[:-_MAX_PROCESSES]
        self.processes[-1].observe(line)
        if line.event == "log_lines_left_out":
            counts = {**line.fields, "event": 0}.values()
            self.left_out += sum(count for count in counts if isinstance(count, int))


class Route:
    """The route of a request.

    Args:
        lines: Lines of the request in order.
        files: The files that were read.
    """

    def __init__(self, lines: Sequence[LogLine], files: Sequence[LogFile]) -> None:
        self.first_at_s, self.last_at_s = lines[0].at, lines[-1].at
        self.open_until_s = self._find_open_until_s(lines)
        self.lines_by_position = {position(line): line for line in lines}
        self.service = _first_value(lines, "service")
        self.key = _first_value(lines, "key")
        # A dict keeps the order of first appearance.
        self.agents = tuple({files[line.file].agent: None for line in lines})
        sent_to = [
            str(line.fields.get("member", line.fields.get("owner")))
            for line in lines
            if line.event in _SENT_EVENTS
        ]
        names = {member.rpartition(":")[0]: None for member in sent_to}
        self.without_lines = tuple(name for name in names if name not in self.agents)
        self.finished_agents = frozenset(
            files[line.file].agent for line in lines if line.event in _FINAL_EVENTS
        )

    def _find_open_until_s(self, lines: Sequence[LogLine]) -> float:
        """Returns the time of the last line, or of the deadline if no line ends the request.

        Lines of requests are written up to 20 ms late and are lost if the process is killed.
        """
        if any(line.event in (ANSWERED, CALLER_LEFT) for line in lines):
            return self.last_at_s
        timeouts_ms = [line.fields.get("timeout_ms") for line in lines]
        timeouts_s = [value / 1000 for value in timeouts_ms if isinstance(value, int)]
        return max(self.last_at_s, self.first_at_s + max(timeouts_s, default=0.0))

    def may_be_affected_by(self, agent: str, line: LogLine) -> bool:
        """Returns whether a change of a belief, logged by `agent`, may affect the request."""
        first, last = line.fields.get("first"), line.fields.get("last")
        if line.request or not may_contain(self.key, first, last):
            return False
        if agent in self.agents or agent in self.without_lines:
            return True
        number = line.fields.get("event")
        is_peer_event = isinstance(number, int) and number // 100 == _PEER_EVENT_HUNDREDS
        if is_peer_event or line.event == _GROUP_CHANGED:
            return False
        if str(line.fields.get("group", "")).rpartition("/")[0] == self.service:
            return True
        values = [str(line.fields.get(name, "")) for name in _MEMBER_FIELDS]
        route_agents = (*self.agents, *self.without_lines)
        return any(f"{name}:" in value for name in route_agents for value in values)


def may_contain(key: str, first: object, last: object) -> bool:
    """Returns whether a range may contain a key: True unless numeric bounds exclude it."""
    if not key.isdecimal() or not isinstance(first, int) or not isinstance(last, int):
        return True
    return first <= int(key) <= last


def _first_value(lines: Sequence[LogLine], name: str) -> str:
    values = (str(line.fields.get(name, "")) for line in lines)
    return next((value for value in values if value), "")


def position(line: LogLine) -> tuple[int, int]:
    """Returns the index of the file of a line and the line number."""
    return line.file, line.number
