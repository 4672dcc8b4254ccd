"""The lines of one request from the logs of many agents, in order, with beliefs and summary."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import zip_longest
from pathlib import Path
from typing import Generic, TypeVar

from ..kernel import FescuewardError
from .beliefs import Beliefs, BeliefTracker, state_after
from .log_files import LogLine, read_lines

T = TypeVar("T")

# Most lines that are kept, of the request and of changes near it. A request that is tried again
# until its deadline leaves about ten lines on each agent that it reaches.
MOST_LINES = 1000
# Most processes that are kept of one file, the latest ones.
_MOST_PROCESSES = 64

_RECEIVED = "request_received"
_ANSWERED = "request_answered"
_CALLER_LEFT = "caller_left"
_REFUSED = ("request_refused", "request_not_served")
_SENT = ("request_sent", "request_forwarded")
# After one of these an agent has nothing more to do for a request.
_LAST_OF_AN_AGENT = (
    _ANSWERED,
    _CALLER_LEFT,
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


class RequestNotLoggedError(FescuewardError):
    """No line of the files is about the request."""

    code = 6011
    label = "request_not_logged"


@dataclass(frozen=True, slots=True)
class RequestLine:
    """A line of the request.

    Attributes:
        agent: Name of the agent that wrote it.
        line: The line.
        beliefs: What the agent held then.
    """

    agent: str
    line: LogLine
    beliefs: Beliefs


@dataclass(frozen=True, slots=True)
class Change:
    """A belief of an agent that changed near the request."""

    agent: str
    line: LogLine


@dataclass(frozen=True, slots=True)
class ProcessEnd:
    """The end of a process that the request went to, seen between its first and last line.

    Attributes:
        agent: Name of the agent.
        last_time: Time of the last line of that process.
        how: `stopped` in order, `replaced` by a new process without that, or `silent`: the file
            has no later line.
        state: State of the agent in its last line that told one.
    """

    agent: str
    last_time: str
    how: str
    state: str


@dataclass(frozen=True, slots=True)
class Summary:
    """What became of the request.

    Attributes:
        code: Code of its last refusal, or None.
        label: Label of that refusal, or empty.
        outcome: `answered`, `caller_left`, an outcome of docs/errors.md, or `no_answer` if no
            agent tells an end.
        status: HTTP status that the caller got, or None.
        agents: Agents that it went through, in order.
        without_lines: Agents that it was sent to and whose files have no line of it.
        ends: Processes that ended meanwhile.
        lines: Number of its lines.
        files: Number of files that were read.
        not_json: Lines of the files that are no JSON lines of an agent.
        left_out: Lines that the agents themselves left out of these files (event 9001).
        not_shown: Lines that were found beyond the bound.
    """

    code: int | None
    label: str
    outcome: str
    status: int | None
    agents: tuple[str, ...]
    without_lines: tuple[str, ...]
    ends: tuple[ProcessEnd, ...]
    lines: int
    files: int
    not_json: int
    left_out: int
    not_shown: int


@dataclass(frozen=True, slots=True)
class RequestLog:
    """The answer of the command.

    Attributes:
        request: Id of the request.
        service: Its service, as far as a line tells it.
        key: Its key, or empty.
        lines: Its lines in order.
        changes: Beliefs that changed near it, in order.
        summary: What became of it.
    """

    request: str
    service: str
    key: str
    lines: tuple[RequestLine, ...]
    changes: tuple[Change, ...]
    summary: Summary


@dataclass(slots=True)
class _Process:
    """One process in a file, as far as it was read."""

    first_at: float
    last_at: float
    last_time: str
    state: str = ""


class _File:
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
            self.processes.append(_Process(line.at, line.at, line.time))
            del self.processes[:-_MOST_PROCESSES]
        process = self.processes[-1]
        process.last_at, process.last_time = line.at, line.time
        process.state = state_after(line) or process.state
        if line.event == "log_lines_left_out":
            counts = {**line.fields, "event": 0}.values()
            self.left_out += sum(count for count in counts if isinstance(count, int))


class _Bounded(Generic[T]):
    """Items up to a bound, and the number of those beyond it."""

    def __init__(self) -> None:
        self.items: list[T] = []
        self.beyond = 0

    def add(self, item: T) -> None:
        if len(self.items) < MOST_LINES:
            self.items.append(item)
        else:
            self.beyond += 1


def search(request: str, paths: Sequence[Path], around_s: float | None = None) -> RequestLog:
    """Finds the lines of a request and what the agents held then.

    The files are read as streams: once for the lines, and those that matter once more for the
    beliefs, because the key is known only after the first reading.

    Args:
        request: Id of the request.
        paths: Log files, one for each agent.
        around_s: Also finds beliefs that changed up to so many seconds before the first line of
            the request or after the last one.

    Raises:
        LogFileError: A file cannot be read.
        RequestNotLoggedError: No line is about the request.
    """
    files = [_File(path, number) for number, path in enumerate(paths)]
    found: _Bounded[LogLine] = _Bounded()
    for file in files:
        for line in file.lines_of(request):
            found.add(line)
    if not found.items:
        unread = sum(file.not_json for file in files)
        raise RequestNotLoggedError(
            f"no line of request {request!r} in {len(files)} files; {unread} lines are not JSON"
        )
    # Times are in milliseconds. In one of them the agent that took the request wrote first.
    first_files = {line.file for line in found.items if line.event == _RECEIVED}
    lines = sorted(
        found.items, key=lambda line: (line.at, line.file not in first_files, _place(line))
    )
    route = _Route(lines, files)
    beliefs: dict[tuple[int, int], Beliefs] = {}
    changes: _Bounded[Change] = _Bounded()
    for file in files:
        if around_s is not None or file.agent in route.agents:
            _read_again(file, route, around_s, beliefs, changes)
    return RequestLog(
        request,
        route.service,
        route.key,
        tuple(
            RequestLine(files[line.file].agent, line, beliefs.get(_place(line), Beliefs()))
            for line in lines
        ),
        tuple(sorted(changes.items, key=lambda change: (change.line.at, _place(change.line)))),
        _summary(lines, files, route, found.beyond + changes.beyond),
    )


class _Route:
    """Where the request went.

    Args:
        lines: Its lines in order.
        files: The files that were read.
    """

    def __init__(self, lines: Sequence[LogLine], files: Sequence[_File]) -> None:
        self.first_at, self.last_at = lines[0].at, lines[-1].at
        self.open_until = self._open_until(lines)
        self.places = {_place(line): line for line in lines}
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
        if any(line.event in (_ANSWERED, _CALLER_LEFT) for line in lines):
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


def _read_again(
    file: _File,
    route: _Route,
    around_s: float | None,
    beliefs: dict[tuple[int, int], Beliefs],
    changes: _Bounded[Change],
) -> None:
    tracker = BeliefTracker()
    for line in read_lines(file.path, file.number):
        if line is None:
            continue
        if line.event == "agent_started":
            # A process that starts knows nothing of the one before.
            tracker = BeliefTracker()
        known = route.places.get(_place(line))
        if known is not None and known.time == line.time:
            shard = line.fields.get("shard")
            number = shard if isinstance(shard, int) else None
            beliefs[_place(line)] = tracker.beliefs(line.at, route.service, route.key, number)
        tracker.observe(line)
        if (
            around_s is not None
            and route.first_at - around_s <= line.at <= route.last_at + around_s
            and route.concerns(file.agent, line)
        ):
            changes.add(Change(file.agent, line))


def _summary(
    lines: Sequence[LogLine], files: Sequence[_File], route: _Route, not_shown: int
) -> Summary:
    refusals = [line.fields for line in lines if line.event in _REFUSED]
    answers = [line.fields.get("status") for line in lines if line.event == _ANSWERED]
    refusal = refusals[-1] if refusals else {}
    outcome = "no_answer"
    if answers:
        outcome = "answered"
    elif any(line.event == _CALLER_LEFT for line in lines):
        outcome = _CALLER_LEFT
    return Summary(
        refusal.get("code"),
        str(refusal.get("label", "")),
        str(refusal.get("outcome", outcome)),
        answers[-1] if answers else None,
        route.agents,
        route.without_lines,
        tuple(_ends(files, route)),
        len(lines),
        len(files),
        sum(file.not_json for file in files),
        sum(file.left_out for file in files),
        not_shown,
    )


def _ends(files: Sequence[_File], route: _Route) -> Iterator[ProcessEnd]:
    """Yields the ends of processes while the request was on its way."""
    for file in files:
        if file.agent not in (*route.agents, *route.without_lines):
            continue
        following = [process.first_at for process in file.processes[1:]]
        for process, next_at in zip_longest(file.processes, following):
            if process.last_at > route.open_until:
                continue
            if process.state == "stopped":
                how, at = "stopped", process.last_at
            elif next_at is not None:
                how, at = "replaced", next_at
            elif file.agent in route.ended or process.first_at > route.first_at:
                # It has done its part, or was not there when the request came.
                continue
            else:
                how, at = "silent", route.open_until
            if at >= route.first_at:
                yield ProcessEnd(file.agent, process.last_time, how, process.state)


def covers(key: str, first: object, last: object) -> bool:
    """Tells whether a key range holds a key; without numbers that deny it, it may."""
    if not key.isdecimal() or not isinstance(first, int) or not isinstance(last, int):
        return True
    return first <= int(key) <= last


def _first_value(lines: Sequence[LogLine], name: str) -> str:
    values = (str(line.fields.get(name, "")) for line in lines)
    return next((value for value in values if value), "")


def _place(line: LogLine) -> tuple[int, int]:
    return line.file, line.number
