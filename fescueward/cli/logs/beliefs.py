"""Beliefs: the state that an agent acted on at a point in time.

They are derived from the earlier lines of its log, and may differ from the state of other agents.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from .files import LogLine

K = TypeVar("K", bound=Hashable)

# Limits on the groups and grants that are cached for one agent; the oldest are evicted first. An
# agent caches the groups that its callers use, a few hundred, and owns a few thousand key ranges
# or shards.
_MAX_GROUPS = 4096
_MAX_GRANTS = 16384

# Events that change the state of an agent, and the state after each.
_STATE_AFTER_EVENT = {
    "agent_started": "starting",
    "ready": "ready",
    "not_ready": "not ready",
    "shutdown_phase": "stopping",
    "group_joined": "member",
    "member_removed": "removed by others",
    "leaving": "leaving",
    "leave_failed": "leaving",
    "left": "left",
    "agent_stopped": "stopped",
}
_LEASE_AFTER_EVENT = {
    "lease_held": "held",
    "lease_own_writes": "renewed by own writes",
    "lease_write_failed": "renewal failed",
    "lease_expired": "expired",
}
_RANGE_AFTER_EVENT = {
    "range_active": "held",
    "range_released": "released",
    "range_release_failed": "release not confirmed",
    "range_grant_refused": "refused by the upstream",
    "range_grant_failed": "not taken by the upstream",
}
_SHARD_AFTER_EVENT = {
    "shard_taken": "taken over",
    "shard_releasing": "being handed over",
    "shard_released": "released",
}
_LOAD_EVENTS = ("request_not_run", "slots_reduced", "slow_start")
_VERSION_EVENTS = ("configuration_applied", "entry_applied", "group_changed")

# Events that change a belief.
BELIEF_EVENTS = frozenset(
    (
        *_STATE_AFTER_EVENT,
        *_LEASE_AFTER_EVENT,
        *_RANGE_AFTER_EVENT,
        *_SHARD_AFTER_EVENT,
        *_LOAD_EVENTS,
        *_VERSION_EVENTS,
    )
)


@dataclass(frozen=True, slots=True)
class Belief:
    """One value and its age.

    Attributes:
        value: The value.
        age_s: Seconds from the line that set the value to the line with which it is shown.
    """

    value: str
    age_s: float


@dataclass(frozen=True, slots=True)
class Beliefs:
    """Beliefs of an agent when it wrote a line; None where no earlier line sets a value.

    Attributes:
        state: State of the agent: starting, ready, member, leaving, ...
        configuration: Version of the service's catalogue entry, or else of the configuration.
        group: Version and number of members of the service's group.
        lease: State of the lease.
        grant: This agent's grant for the key; None also if it never had one.
        load: Load of the slots of this agent's upstream.
    """

    state: Belief | None = None
    configuration: Belief | None = None
    group: Belief | None = None
    lease: Belief | None = None
    grant: Belief | None = None
    load: Belief | None = None


class _LatestValues(Generic[K]):
    """Latest value for each key with its time in seconds; evicts the oldest beyond a limit."""

    def __init__(self, max_keys: int) -> None:
        self._max_keys = max_keys
        self._values_by_key: OrderedDict[K, tuple[str, float]] = OrderedDict()

    def put(self, key: K, value: str, at_s: float) -> None:
        self._values_by_key[key] = (value, at_s)
        self._values_by_key.move_to_end(key)
        if len(self._values_by_key) > self._max_keys:
            self._values_by_key.popitem(last=False)

    def get(self, key: K) -> tuple[str, float] | None:
        return self._values_by_key.get(key)

    def newest(self, matches: Callable[[K], bool]) -> tuple[str, float] | None:
        matching_keys = [key for key in reversed(self._values_by_key) if matches(key)]
        return self._values_by_key[matching_keys[0]] if matching_keys else None


class BeliefTracker:
    """Derives the beliefs of one process from its log lines in order."""

    def __init__(self) -> None:
        self._values: dict[str, tuple[str, float]] = {}
        self._entries: _LatestValues[str] = _LatestValues(_MAX_GROUPS)
        self._groups: _LatestValues[str] = _LatestValues(_MAX_GROUPS)
        self._ranges: _LatestValues[tuple[int, int]] = _LatestValues(_MAX_GRANTS)
        self._shards: _LatestValues[int] = _LatestValues(_MAX_GRANTS)

    def observe(self, line: LogLine) -> None:
        """Updates the beliefs from the next line of the process."""
        event, at_s, fields = line.event, line.at, line.fields
        if event not in BELIEF_EVENTS:
            return
        if event in _STATE_AFTER_EVENT:
            self._values["state"] = (state_after(line), at_s)
        elif event in _LEASE_AFTER_EVENT:
            self._values["lease"] = (_LEASE_AFTER_EVENT[event], at_s)
        elif event in _LOAD_EVENTS:
            self._observe_load(event, at_s, fields)
        elif event == "configuration_applied":
            self._values["configuration"] = (f"version {fields.get('version')}", at_s)
        elif event == "entry_applied":
            value = f"entry version {fields.get('version')}"
            self._entries.put(str(fields.get("service")), value, at_s)
        elif event == "group_changed":
            value = f"version {fields.get('version')}, {fields.get('members')} members"
            self._groups.put(str(fields.get("group")), value, at_s)
        else:
            self._observe_grant(event, at_s, fields)

    def beliefs(self, at_s: float, service: str, key: str, shard: int | None) -> Beliefs:
        """Returns the beliefs at a point in time.

        Args:
            at_s: Time in seconds since 1970.
            service: Service of the request.
            key: Key of the request, or empty.
            shard: Shard of the key, or None if the line has no shard.
        """

        def belief(latest: tuple[str, float] | None) -> Belief | None:
            return None if latest is None else Belief(latest[0], round(at_s - latest[1], 3))

        return Beliefs(
            belief(self._values.get("state")),
            belief(self._entries.get(service) or self._values.get("configuration")),
            belief(self._groups.newest(lambda group: group.rpartition("/")[0] == service)),
            belief(self._values.get("lease")),
            belief(self._grant(key, shard)),
            belief(self._values.get("load")),
        )

    def _grant(self, key: str, shard: int | None) -> tuple[str, float] | None:
        if shard is not None:
            return self._shards.get(shard)
        if not key.isdecimal():
            return None
        key_number = int(key)
        return self._ranges.newest(lambda bounds: bounds[0] <= key_number <= bounds[1])

    def _observe_load(self, event: str, at_s: float, fields: dict[str, Any]) -> None:
        if event == "request_not_run":
            occupancy = fields.get("occupancy")
            if occupancy:
                self._values["load"] = (str(occupancy), at_s)
        elif event == "slots_reduced":
            self._values["load"] = (f"{fields.get('limit')} of {fields.get('slots')} slots", at_s)
        else:
            self._values["load"] = (f"{fields.get('usable')} of {fields.get('slots')} slots", at_s)

    def _observe_grant(self, event: str, at_s: float, fields: dict[str, Any]) -> None:
        epoch = fields.get("epoch")
        if event in _SHARD_AFTER_EVENT:
            shard = fields.get("shard")
            if isinstance(shard, int):
                self._shards.put(
                    shard, f"shard {shard} {_SHARD_AFTER_EVENT[event]}, epoch {epoch}", at_s
                )
            return
        first, last = fields.get("first"), fields.get("last")
        if isinstance(first, int) and isinstance(last, int):
            value = f"range {first}-{last} {_RANGE_AFTER_EVENT[event]}, epoch {epoch}"
            self._ranges.put((first, last), value, at_s)


def state_after(line: LogLine) -> str:
    """Returns the state of an agent after a line, or empty if the line does not set it."""
    if line.event == "not_ready" and line.fields.get("stopping") is True:
        return "stopping"
    if line.event == "shutdown_phase":
        return f"stopping, {line.fields.get('phase')}"
    return _STATE_AFTER_EVENT.get(line.event, "")
