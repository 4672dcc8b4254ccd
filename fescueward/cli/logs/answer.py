"""What the `logs` command answers."""

from __future__ import annotations

from dataclasses import dataclass

from .beliefs import Beliefs
from .files import LogLine


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
