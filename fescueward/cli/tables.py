"""Formatting of results as text for an 80-column terminal."""

from __future__ import annotations

import textwrap
from collections.abc import Sequence

from ..messages.status import (
    EntryList,
    Explanation,
    FleetStatus,
    GroupStatus,
    LeaseState,
    MemberStatus,
    Problem,
    ServiceStatus,
)

_WIDTH_COLUMNS = 80
_GAP_COLUMNS = 2


def table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Returns the lines of a table; the widest columns are truncated until it fits the width.

    Args:
        header: Column headings.
        rows: Cells of each row.
    """
    lines = [header, *rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    while sum(widths) + _GAP_COLUMNS * (len(widths) - 1) > _WIDTH_COLUMNS:
        widths[widths.index(max(widths))] -= 1
    return [
        (" " * _GAP_COLUMNS)
        .join(
            _truncate(cell, width).ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        .rstrip()
        for line in lines
    ]


def wrap(text: str, indent: str = "") -> list[str]:
    """Wraps a text to the width, at spaces only; a word longer than a line is broken."""
    return textwrap.wrap(
        text,
        _WIDTH_COLUMNS,
        initial_indent=indent,
        subsequent_indent=" " * len(indent),
        break_on_hyphens=False,
    ) or [indent.rstrip()]


def entry_lines(entries: EntryList) -> list[str]:
    """Returns the table of all entries."""
    rows = [
        (
            versioned.entry.service,
            str(versioned.version),
            versioned.entry.request_class.value,
            versioned.entry.weight.value,
            versioned.entry.owner,
        )
        for versioned in entries.entries
    ]
    return table(("SERVICE", "VERSION", "CLASS", "WEIGHT", "OWNER"), rows)


def fleet_lines(status: FleetStatus) -> list[str]:
    """Returns a table with a row for each service, and all problems."""
    rows = []
    for service in status.services:
        members = [member for group in service.groups for member in group.members]
        leases_held = sum(member.lease is LeaseState.HELD for member in members)
        rows.append(
            (
                service.service,
                str(service.version),
                f"{service.agents_applying}/{service.agents_asked}",
                f"{leases_held}/{len(members)}",
                str(sum(group.shards for group in service.groups)),
                str(sum(_unowned_shards(group) for group in service.groups)),
                str(sum(len(group.moves) for group in service.groups)),
            )
        )
    header = ("SERVICE", "VERSION", "IN EFFECT", "LEASES HELD", "SHARDS", "NO OWNER", "MOVING")
    problems = [
        *status.problems,
        *(problem for service in status.services for problem in service.problems),
    ]
    return [*table(header, rows), *_summary_lines(status), *_problem_lines(problems)]


def service_lines(status: FleetStatus) -> list[str]:
    """Returns the status of each service with its groups and members, and all problems."""
    lines: list[str] = []
    for service in status.services:
        lines += _service_summary_lines(service)
        for group in service.groups:
            lines += ["", *_group_lines(group)]
    problems = [
        *status.problems,
        *(problem for service in status.services for problem in service.problems),
    ]
    return [*lines, "", *_summary_lines(status), *_problem_lines(problems)]


def explanation_lines(explanation: Explanation) -> list[str]:
    """Returns the owner of a key with the reasons for its placement."""
    rows = [
        ("group", explanation.group),
        ("shard", str(explanation.shard)),
        ("owner", explanation.owner or "none"),
        ("failure domain", explanation.failure_domain or "none"),
        ("epoch", str(explanation.epoch)),
        ("successor", explanation.successor or "none"),
        ("reasons", ", ".join(explanation.reasons) or "none"),
        ("served now", "yes" if explanation.served else f"no ({explanation.refusal})"),
    ]
    title = f"{explanation.service} {explanation.key}"
    lines = wrap(title)
    for name, value in rows:
        lines += wrap(value, f"  {name.ljust(16)}")
    return [*lines, *wrap(explanation.text)]


def _service_summary_lines(service: ServiceStatus) -> list[str]:
    return wrap(
        f"{service.service}: entry version {service.version}, in effect on "
        f"{service.agents_applying} of {service.agents_asked} agents; "
        f"{service.request_class}, weight {service.weight}, owner {service.owner}"
    )


def _group_lines(group: GroupStatus) -> list[str]:
    state = "" if group.fresh else " (not fresh)"
    watchers = ", ".join(map(_member_name, group.watchers)) or "none"
    lines = wrap(
        f"group {group.group} version {group.version}{state}: {group.shards} shards, "
        f"{_unowned_shards(group)} without owner, {len(group.moves)} moving, "
        f"{group.exceptions} single keys; watchers: {watchers}"
    )
    header = ("MEMBER", "DOMAIN", "STATE", "LEASE", "SHARDS", "SLOTS", "IN FLIGHT", "ENTRY")
    rows = [_member_row(member) for member in group.members]
    lines += table(header, rows)
    for move in group.moves[:10]:
        source = _member_name(move.from_id) if move.from_id is not None else "nobody"
        lines += wrap(
            f"shard {move.shard} has been moving from {source} to {_member_name(move.to_id)} "
            f"for {move.since_s:.1f} s",
            "  ",
        )
    if len(group.moves) > 10:
        lines.append(f"  and {len(group.moves) - 10} more moves")
    return lines


def _member_row(member: MemberStatus) -> tuple[str, ...]:
    return (
        _member_name(member.id),
        member.failure_domain,
        member.state,
        member.lease.value.replace("_", " "),
        str(member.shards),
        str(member.slots),
        "-" if member.in_flight is None else str(member.in_flight),
        "-" if member.entry_version is None else str(member.entry_version),
    )


def _summary_lines(status: FleetStatus) -> list[str]:
    platform = (
        "the platform responds"
        if status.platform_unavailable_s is None
        else f"the platform has not responded for {status.platform_unavailable_s:.1f} s"
    )
    return wrap(
        f"reported by {status.told_by}; {status.agents_answered} of {status.agents_asked} agents "
        f"responded; {platform}"
    )


def _problem_lines(problems: Sequence[Problem]) -> list[str]:
    if not problems:
        return ["no problems"]
    lines = [f"{len(problems)} problem" + ("s" if len(problems) > 1 else "")]
    for problem in problems:
        lines += wrap(problem.text, "  - ")
    return lines


def _unowned_shards(group: GroupStatus) -> int:
    return max(group.shards - sum(member.shards for member in group.members), 0)


def _member_name(member_id: str) -> str:
    return member_id.rpartition(":")[0] or member_id


def _truncate(cell: str, width: int) -> str:
    return cell if len(cell) <= width else cell[: width - 3] + "..."
