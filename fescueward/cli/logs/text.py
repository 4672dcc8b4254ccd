"""Text output of the `logs` command."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields
from typing import Any

from ..tables import wrap
from .answer import RequestLog, Summary
from .beliefs import Beliefs
from .files import LogLine
from .route import may_contain

# Fields that the head of a line shows already, or that add nothing for one request.
_HEAD_FIELDS = frozenset(("time", "level", "event", "name", "request"))
_INDENT = "      "


def request_log_lines(log: RequestLog) -> list[str]:
    """Returns the lines of the request and the changes in order of time, then the summary."""
    entries = [(record.line, record.agent, record.beliefs) for record in log.lines]
    entries += [(record.line, record.agent, None) for record in log.changes]
    lines: list[str] = []
    for line, agent, beliefs in sorted(entries, key=lambda record: record[0].at):
        lines += _format_line(line, agent, log.key, is_change=beliefs is None)
        if beliefs is not None:
            lines += wrap("beliefs: " + "; ".join(_format_beliefs(beliefs)), _INDENT)
    return [*lines, "", *_summary_lines(log.summary)]


def _format_line(line: LogLine, agent: str, key: str, *, is_change: bool) -> list[str]:
    prefix = "+ " if is_change else ""
    head = f"{prefix}{line.time[11:23]} {agent} {line.fields.get('event')} {line.event}"
    values = " ".join(
        f"{name}={_format_value(value, key)}"
        for name, value in line.fields.items()
        if name not in _HEAD_FIELDS
    )
    return [*wrap(head), *(wrap(values, "    ") if values else [])]


def _format_value(value: Any, key: str) -> str:
    if isinstance(value, list):
        # A plan lists up to a few hundred ranges; those without the key are only counted.
        matching = [item for item in value if _may_contain_key(item, key)]
        omitted_count = len(value) - len(matching)
        return f"{matching}" + (f" and {omitted_count} others" if omitted_count else "")
    text = str(value)
    return repr(text) if " " in text or not text else text


def _may_contain_key(item: object, key: str) -> bool:
    return not isinstance(item, list) or len(item) < 2 or may_contain(key, item[0], item[1])


def _format_beliefs(beliefs: Beliefs) -> Iterator[str]:
    for field in fields(beliefs):
        belief = getattr(beliefs, field.name)
        if belief is None:
            yield f"{field.name} unknown"
        else:
            yield f"{field.name} {belief.value} ({belief.age_s:.3f} s)"


def _summary_lines(summary: Summary) -> list[str]:
    code = f"{summary.code} {summary.label}" if summary.code is not None else "none"
    status = summary.status if summary.status is not None else "none"
    lines = wrap(
        f"code {code}; outcome {summary.outcome}; status {status}; "
        f"through {' -> '.join(summary.agents)}"
    )
    for name in summary.without_lines:
        lines += wrap(f"sent to {name}, whose log files have no line of the request")
    for end in summary.ends:
        state = f", last state {end.state}" if end.state else ""
        lines += wrap(
            f"{end.agent} ended during the request ({end.how}), last line {end.last_time}{state}"
        )
    lines += wrap(
        f"{summary.lines} lines in {summary.files} files; {summary.not_json} lines are not JSON; "
        f"{summary.left_out} dropped by the agents; {summary.not_shown} not shown"
    )
    return lines
