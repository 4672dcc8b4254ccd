"""Lines as agents write them, for tests of the `logs` command."""

from __future__ import annotations

import json
from typing import Any

# Events of the samples with their numbers.
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


def line(at: float, event: str, **fields: Any) -> str:
    """Returns a line.

    Args:
        at: Seconds after a fixed minute.
        event: Name of the event.
        **fields: Its values.
    """
    head = {"time": f"2026-04-16T16:55:{at:06.3f}+00:00", "level": "INFO"}
    return json.dumps({**head, "event": EVENTS[event], "name": event, **fields}) + "\n"


def started(at: float, agent: str) -> str:
    """Returns the first line of a process."""
    return line(at, "agent_started", agent=agent)
