"""Log lines in the format of the agents, for tests of the `logs` command."""

from __future__ import annotations

import json
from typing import Any

# Numbers of the events in the samples, by event name.
EVENTS = {
    "agent_started": 1010,
    "agent_stopped": 1011,
    "shutdown_phase": 1020,
    "request_open_at_end": 1021,
    "entry_applied": 2101,
    "configuration_applied": 2110,
    "group_changed": 2201,
    "peer_disconnected": 2302,
    "group_joined": 2403,
    "leaving": 2406,
    "left": 2407,
    "lease_held": 2501,
    "lease_expired": 2502,
    "member_taken_over": 2602,
    "shard_taken": 2704,
    "shard_releasing": 2702,
    "range_active": 2820,
    "range_released": 2823,
    "ranges_moving": 2830,
    "slots_reduced": 3101,
    "slow_start": 3102,
    "request_executed": 3401,
    "request_run": 3410,
    "request_not_run": 3411,
    "request_sent": 3510,
    "request_not_served": 3512,
    "not_ready": 3711,
    "request_received": 3712,
    "request_answered": 3713,
    "caller_left": 3715,
    "log_lines_left_out": 9001,
}


def line(at_s: float, event: str, **fields: Any) -> str:
    """Returns a log line.

    Args:
        at_s: Time in seconds after the start of a fixed minute.
        event: Name of the event.
        **fields: Further fields of the line.
    """
    head = {"time": f"2026-04-16T16:55:{at_s:06.3f}+00:00", "level": "INFO"}
    return json.dumps({**head, "event": EVENTS[event], "name": event, **fields}) + "\n"


def start_line(at_s: float, agent: str) -> str:
    """Returns the first log line of an agent process."""
    return line(at_s, "agent_started", agent=agent)
