"""Search for the lines of one request, for the beliefs that held then, and for its end."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import zip_longest
from pathlib import Path
from typing import Generic, TypeVar

from ...kernel import FescuewardError
from .answer import Change, ProcessEnd, RequestLine, RequestLog, Summary
from .beliefs import Beliefs, BeliefTracker
from .files import LogLine, read_lines
from .route import ANSWERED, CALLER_LEFT, RECEIVED, LogFile, Route, place

T = TypeVar("T")

# Most lines that are kept, of the request and of changes near it. A request that is tried again
# until its deadline leaves about ten lines on each agent that it reaches.
MOST_LINES = 1000

_REFUSED = ("request_refused", "request_not_served")


class RequestNotLoggedError(FescuewardError):
    """No line of the files is about the request."""

    code = 6011
    label = "request_not_logged"


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
    files = [LogFile(path, number) for number, path in enumerate(paths)]
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
    first_files = {line.file for line in found.items if line.event == RECEIVED}
    lines = sorted(
        found.items, key=lambda line: (line.at, line.file not in first_files, place(line))
    )
    route = Route(lines, files)
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
            RequestLine(files[line.file].agent, line, beliefs.get(place(line), Beliefs()))
            for line in lines
        ),
        tuple(sorted(changes.items, key=lambda change: (change.line.at, place(change.line)))),
        _summary(lines, files, route, found.beyond + changes.beyond),
    )


def _read_again(
    file: LogFile,
    route: Route,
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
        known = route.places.get(place(line))
        if known is not None and known.time == line.time:
            shard = line.fields.get("shard")
            number = shard if isinstance(shard, int) else None
            beliefs[place(line)] = tracker.beliefs(line.at, route.service, route.key, number)
        tracker.observe(line)
        if (
            around_s is not None
            and route.first_at - around_s <= line.at <= route.last_at + around_s
            and route.concerns(file.agent, line)
        ):
            changes.add(Change(file.agent, line))


def _summary(
    lines: Sequence[LogLine], files: Sequence[LogFile], route: Route, not_shown: int
) -> Summary:
    refusals = [line.fields for line in lines if line.event in _REFUSED]
    answers = [line.fields.get("status") for line in lines if line.event == ANSWERED]
    refusal = refusals[-1] if refusals else {}
    outcome = "no_answer"
    if answers:
        outcome = "answered"
    elif any(line.event == CALLER_LEFT for line in lines):
        outcome = CALLER_LEFT
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


def _ends(files: Sequence[LogFile], route: Route) -> Iterator[ProcessEnd]:
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
