"""Data classes of the result of the `logs` command; `--json` prints them under these names."""

from __future__ import annotations

from dataclasses import dataclass

from .beliefs import Beliefs
from .files import LogLine


@dataclass(frozen=True, slots=True)
class RequestLine:
    """A log line of the request.

    Attributes:
        agent: Name of the agent that wrote the line.
        line: The line.
        beliefs: Beliefs of the agent when it wrote the line.
    """

    agent: str
    line: LogLine
    beliefs: Beliefs


@dataclass(frozen=True, slots=True)
class Change:
    """A log line, close in time to the request, that changes a belief of an agent."""

    agent: str
    line: LogLine


@dataclass(frozen=True, slots=True)
class ProcessEnd:
    """The end, while the request was open, of an agent process that the request was sent to.

    Attributes:
        agent: Name of the agent.
        last_time: Time of the last log line of the process.
        how: `stopped` after an orderly shutdown, `replaced` by a new process without one, or
            `silent` if the file has no later line.
        state: Last logged state of the agent, or empty.
    """

    agent: str
    last_time: str
    how: str
    state: str


@dataclass(frozen=True, slots=True)
class Summary:
    """Outcome of the request, and how complete the search was.

    Attributes:
        code: Error code of the last refusal, or None.
        label: Label of that refusal, or empty.
        outcome: `answered`, `caller_left`, an outcome of docs/errors.md, or `no_answer` if no
            agent logged an end.
        status: HTTP status of the response to the caller, or None.
        agents: Agents with log lines of the request, in the order of their first lines.
        without_lines: Agents that the request was sent to, but that have no line of it.
        ends: Agent processes that ended while the request was open.
        lines: Number of lines of the request.
        files: Number of files that were read.
        not_json: Number of lines that are not JSON lines of an agent.
        left_out: Number of lines that the agents dropped instead of writing them (event 9001).
        not_shown: Number of matching lines above the limit on lines.
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
    """The result of the command.

    Attributes:
        request: Id of the request.
        service: Service of the request, or empty if no line names it.
        key: Key of the request, or empty.
        lines: Lines of the request in order.
        changes: Changes of beliefs close in time to the request, in order.
        summary: Outcome of the request.
    """

    request: str
    service: str
    key: str
    lines: tuple[RequestLine, ...]
    changes: tuple[Change, ...]
    summary: Summary
