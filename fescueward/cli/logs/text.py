"""Text of the `logs` command."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields
from typing import Any

from ..tables import wrap
from .answer import RequestLog, Summary
from .beliefs import Beliefs
from .files import LogLine
from .route import covers

# Fields of a line that its head shows already, or that say nothing here.
_HEAD_FIELDS = frozenset(("time", "level", "event", "name", "request"))
_INDENT = "      "


def request_log_lines(log: RequestLog) -> list[str]:
    """Returns the lines of the request and the changes near it in order, and the summary."""
    shown = [(one.line, one.agent, one.beliefs) for one in log.lines]
    shown += [(one.line, one.agent, None) for one in log.changes]
    lines: list[str] = []
    for line, agent, beliefs in sorted(shown, key=lambda one: one[0].at):
        lines += _line(line, agent, log.key, is_change=beliefs is None)
        if beliefs is not None:
            lines += wrap("held: " + "; ".join(_beliefs(beliefs)), _INDENT)
    return [*lines, "", *_summary_lines(log.summary)]


def _line(line: LogLine, agent: str, key: str, *, is_change: bool) -> list[str]:
    mark = "+ " if is_change else ""
    head = f"{mark}{line.time[11:23]} {agent} {line.fields.get('event')} {line.event}"
    values = " ".join(
        f"{name}={_value(value, key)}"
        for name, value in line.fields.items()
        if name not in _HEAD_FIELDS
    )
    return [*wrap(head), *(wrap(values, "    ") if values else [])]


def _value(value: Any, key: str) -> str:
    if isinstance(value, list):
        # A plan names up to a few hundred ranges; those without the key are only counted.
        shown = [one for one in value if _may_hold(one, key)]
        left_out = len(value) - len(shown)
        return f"{shown}" + (f" and {left_out} others" if left_out else "")
    text = str(value)
    return repr(text) if " " in text or not text else text


def _may_hold(one: object, key: str) -> bool:
    return not isinstance(one, list) or len(one) < 2 or covers(key, one[0], one[1])


def _beliefs(beliefs: Beliefs) -> Iterator[str]:
    for item in fields(beliefs):
        belief = getattr(beliefs, item.name)
        if belief is None:
            yield f"{item.name} not told"
        else:
            yield f"{item.name} {belief.value} ({belief.age_s:.3f} s)"


def _summary_lines(summary: Summary) -> list[str]:
    code = f"{summary.code} {summary.label}" if summary.code is not None else "none"
    status = summary.status if summary.status is not None else "none"
    lines = wrap(
        f"code {code}; outcome {summary.outcome}; status {status}; "
        f"through {' -> '.join(summary.agents)}"
    )
    for name in summary.without_lines:
        lines += wrap(f"sent to {name}, whose files have no line of it")
    for end in summary.ends:
        state = f", {end.state} by its last state" if end.state else ""
        lines += wrap(f"{end.agent} ended meanwhile ({end.how}), last line {end.last_time}{state}")
    lines += wrap(
        f"{summary.lines} lines in {summary.files} files; {summary.not_json} lines are not JSON; "
        f"{summary.left_out} left out by the agents; {summary.not_shown} not shown"
    )
    return lines
