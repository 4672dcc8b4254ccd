"""Search for the log lines of one request, the beliefs of its agents and its outcome."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import zip_longest
from pathlib import Path
from typing import Generic, TypeVar

from ...kernel import FescuewardError
from .answer import Change, ProcessEnd, RequestLine, RequestLog, Summary
from .beliefs import Beliefs, BeliefTracker
from .files import LogLine, read_lines
from .route import ANSWERED, CALLER_LEFT, RECEIVED, LogFile, Route, position

T = TypeVar("T")

# Limit on the lines of the request, and on those of changes close to it in time. A request that is
# retried until its deadline leaves about ten lines on each agent that it reaches.
MAX_LINES = 1000

_REFUSAL_EVENTS = ("request_refused", "request_not_served")


class RequestNotLoggedError(FescuewardError):
    """The log files have no line of the request."""

    code = 6011
    label = "request_not_logged"


class _BoundedList(Generic[T]):
    """A list with a limit on its length, which counts the items above it."""

    def __init__(self) -> None:
        self.items: list[T] = []
        self.excess_count = 0

    def add(self, item: T) -> None:
        if len(self.items) < MAX_LINES:
            self.items.append(item)
        else:
            self.excess_count += 1


def search(request: str, paths: Sequence[Path], around_s: float | None = None) -> RequestLog:
    """Finds the log lines of a request and the beliefs of the agents at each of them.

    The files are streamed: first all of them for the lines, then those of the agents on the route
    again for the beliefs, because the key is unknown until the first pass is complete.

    Args:
        request: Id of the request.
        paths: Log files, one for each agent.
        around_s: If not None, also finds changes of beliefs, in all files, up to this many seconds
            before the first or after the last line of the request.

    Raises:
        LogFileError: A file cannot be read.
        RequestNotLoggedError: The files have no line of the request.
    """
    files = [LogFile(path, number) for number, path in enumerate(paths)]
    request_lines: _BoundedList[LogLine] = _BoundedList()
    for file in files:
        for line in file.lines_of(request):
            request_lines.add(line)
    if not request_lines.items:
        not_json = sum(file.not_json for file in files)
        raise RequestNotLoggedError(
            f"no log line of request {request!r} in {len(files)} files; "
            f"{not_json} lines are not JSON"
        )
    # Times have a resolution of 1 ms. Of lines with equal times, those of the agent that received
    # the request from the caller come first.
    receiving_files = {line.file for line in request_lines.items if line.event == RECEIVED}
    lines = sorted(
        request_lines.items,
        key=lambda line: (line.at, line.file not in receiving_files, position(line)),
    )
    route = Route(lines, files)
    beliefs: dict[tuple[int, int], Beliefs] = {}
    changes: _BoundedList[Change] = _BoundedList()
    for file in files:
        if around_s is not None or file.agent in route.agents:
            _read_beliefs(file, route, around_s, beliefs, changes)
    return RequestLog(
        request,
        route.service,
        route.key,
        tuple(
            RequestLine(files[line.file].agent, line, beliefs.get(position(line), Beliefs()))
            for line in lines
        ),
        tuple(sorted(changes.items, key=lambda change: (change.line.at, position(change.line)))),
        _summary(lines, files, route, request_lines.excess_count + changes.excess_count),
    )


def _read_beliefs(
    file: LogFile,
    route: Route,
    around_s: float | None,
    beliefs: dict[tuple[int, int], Beliefs],
    changes: _BoundedList[Change],
) -> None:
    tracker = BeliefTracker()
    for line in read_lines(file.path, file.number):
        if line is None:
            continue
        if line.event == "agent_started":
            # A new process does not have the state of the previous one.
            tracker = BeliefTracker()
        request_line = route.lines_by_position.get(position(line))
        if request_line is not None and request_line.time == line.time:
            shard_field = line.fields.get("shard")
            shard = shard_field if isinstance(shard_field, int) else None
            beliefs[position(line)] = tracker.beliefs(line.at, route.service, route.key, shard)
        tracker.observe(line)
        if (
            around_s is not None
            and route.first_at_s - around_s <= line.at <= route.last_at_s + around_s
            and route.may_be_affected_by(file.agent, line)
        ):
            changes.add(Change(file.agent, line))


def _summary(
    lines: Sequence[LogLine], files: Sequence[LogFile], route: Route, not_shown: int
) -> Summary:
    refusals = [line.fields for line in lines if line.event in _REFUSAL_EVENTS]
    statuses = [line.fields.get("status") for line in lines if line.event == ANSWERED]
    refusal = refusals[-1] if refusals else {}
    outcome = "no_answer"
    if statuses:
        outcome = "answered"
    elif any(line.event == CALLER_LEFT for line in lines):
        outcome = CALLER_LEFT
    return Summary(
        refusal.get("code"),
        str(refusal.get("label", "")),
        str(refusal.get("outcome", outcome)),
        statuses[-1] if statuses else None,
        route.agents,
        route.without_lines,
        tuple(_process_ends(files, route)),
        len(lines),
        len(files),
        sum(file.not_json for file in files),
        sum(file.left_out for file in files),
        not_shown,
    )


def _process_ends(files: Sequence[LogFile], route: Route) -> Iterator[ProcessEnd]:
    """Yields the ends of processes of the route's agents while the request was open."""
    for file in files:
        if file.agent not in (*route.agents, *route.without_lines):
            continue
        next_starts_s = [process.first_at_s for process in file.processes[1:]]
        for process, next_start_s in zip_longest(file.processes, next_starts_s):
            if process.last_at_s > route.open_until_s:
                continue
            if process.state == "stopped":
                how, ended_at_s = "stopped", process.last_at_s
            elif next_start_s is not None:
                how, ended_at_s = "replaced", next_start_s
            elif file.agent in route.finished_agents or process.first_at_s > route.first_at_s:
                # It finished its part of the request, or started after the request was received.
                continue
            else:
                how, ended_at_s = "silent", route.open_until_s
            if ended_at_s >= route.first_at_s:
                yield ProcessEnd(file.agent, process.last_time, how, process.state)
