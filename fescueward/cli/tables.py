"""Text for an 80-column terminal."""

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

WIDTH = 80
_GAP = 2


def table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Returns a table that fits into the width; the widest columns are cut if it is too wide.

    Args:
        header: Titles of the columns.
        rows: The cells.
    """
    lines = [header, *rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    while sum(widths) + _GAP * (len(widths) - 1) > WIDTH:
        widths[widths.index(max(widths))] -= 1
    return [
        (" " * _GAP)
        .join(_cut(cell, width).ljust(width) for cell, width in zip(line, widths, strict=True))
        .rstrip()
        for line in lines
    ]


def wrap(text: str, indent: str = "") -> list[str]:
    """Returns a text in lines of the width; words that are longer are broken, names are not."""
    return textwrap.wrap(
        text,
        WIDTH,
        initial_indent=indent,
        subsequent_indent=" " * len(indent),
        break_on_hyphens=False,
    ) or [indent.rstrip()]


def entry_lines(entries: EntryList) -> list[str]:
    """Returns the list of entries."""
    rows = [
        (
            found.entry.service,
            str(found.version),
            found.entry.request_class.value,
            found.entry.weight.value,
            found.entry.owner,
        )
        for found in entries.entries
    ]
    return table(("SERVICE", "VERSION", "CLASS", "WEIGHT", "OWNER"), rows)


def fleet_lines(status: FleetStatus) -> list[str]:
    """Returns the status of all services, one line each, and all problems."""
    rows = []
    for service in status.services:
        members = [member for group in service.groups for member in group.members]
        held = sum(member.lease is LeaseState.HELD for member in members)
        rows.append(
            (
                service.service,
                str(service.version),
                f"{service.agents_applying}/{service.agents_asked}",
                f"{held}/{len(members)}",
                str(sum(group.shards for group in service.groups)),
                str(sum(_unowned(group) for group in service.groups)),
                str(sum(len(group.moves) for group in service.groups)),
            )
        )
    header = ("SERVICE", "VERSION", "IN EFFECT", "LEASES HELD", "SHARDS", "NO OWNER", "MOVING")
    problems = [
        *status.problems,
        *(problem for service in status.services for problem in service.problems),
    ]
    return [*table(header, rows), *_head(status), *_problem_lines(problems)]


def service_lines(status: FleetStatus) -> list[str]:
    """Returns the status of one service with its members."""
    lines: list[str] = []
    for service in status.services:
        lines += _service_head(service)
        for group in service.groups:
            lines += ["", *_group_lines(group)]
    problems = [
        *status.problems,
        *(problem for service in status.services for problem in service.problems),
    ]
    return [*lines, "", *_head(status), *_problem_lines(problems)]


def explanation_lines(explanation: Explanation) -> list[str]:
    """Returns where a key is and why."""
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


def _service_head(service: ServiceStatus) -> list[str]:
    return wrap(
        f"{service.service}: entry version {service.version}, in effect on "
        f"{service.agents_applying} of {service.agents_asked} agents; "
        f"{service.request_class}, weight {service.weight}, owner {service.owner}"
    )


def _group_lines(group: GroupStatus) -> list[str]:
    state = "" if group.fresh else " (not fresh)"
    watchers = ", ".join(map(_name, group.watchers)) or "none"
    lines = wrap(
        f"group {group.group} version {group.version}{state}: {group.shards} shards, "
        f"{_unowned(group)} without owner, {len(group.moves)} moving, "
        f"{group.exceptions} single keys; watchers: {watchers}"
    )
    header = ("MEMBER", "DOMAIN", "STATE", "LEASE", "SHARDS", "SLOTS", "IN FLIGHT", "ENTRY")
    rows = [_member_row(member) for member in group.members]
    lines += table(header, rows)
    for move in group.moves[:10]:
        source = _name(move.from_id) if move.from_id is not None else "nobody"
        lines += wrap(
            f"shard {move.shard} moves from {source} to {_name(move.to_id)} "
            f"since {move.since_s:.1f} s",
            "  ",
        )
    if len(group.moves) > 10:
        lines.append(f"  and {len(group.moves) - 10} more moves")
    return lines


def _member_row(member: MemberStatus) -> tuple[str, ...]:
    return (
        _name(member.id),
        member.failure_domain,
        member.state,
        member.lease.value.replace("_", " "),
        str(member.shards),
        str(member.slots),
        "-" if member.in_flight is None else str(member.in_flight),
        "-" if member.entry_version is None else str(member.entry_version),
    )


def _head(status: FleetStatus) -> list[str]:
    platform = (
        "platform answers"
        if status.platform_unavailable_s is None
        else f"platform does not answer since {status.platform_unavailable_s:.1f} s"
    )
    return wrap(
        f"told by {status.told_by}; {status.agents_answered} of {status.agents_asked} agents "
        f"answered; {platform}"
    )


def _problem_lines(problems: Sequence[Problem]) -> list[str]:
    if not problems:
        return ["no problems"]
    lines = [f"{len(problems)} problem" + ("s" if len(problems) > 1 else "")]
    for problem in problems:
        lines += wrap(problem.text, "  - ")
    return lines


def _unowned(group: GroupStatus) -> int:
    return max(group.shards - sum(member.shards for member in group.members), 0)


def _name(member_id: str) -> str:
    return member_id.rpartition(":")[0] or member_id


def _cut(cell: str, width: int) -> str:
    return cell if len(cell) <= width else cell[: width - 3] + "..."
