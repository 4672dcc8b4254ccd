"""What an agent held as true at a moment, derived from the earlier lines of its log."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from .files import LogLine

K = TypeVar("K", bound=Hashable)

# Most groups and grants that are kept for one agent. An agent follows the groups that its callers
# use, a few hundred, and owns a few thousand key ranges or shards; the oldest are left out first.
_MOST_GROUPS = 4096
_MOST_GRANTS = 16384

# Events that change what an agent is, and what it is after them.
_STATES = {
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
_LEASES = {
    "lease_held": "held",
    "lease_own_writes": "renewed by own writes",
    "lease_write_failed": "renewal failed",
    "lease_expired": "expired",
}
_RANGES = {
    "range_active": "held",
    "range_released": "released",
    "range_release_failed": "release not confirmed",
    "range_grant_refused": "refused by the upstream",
    "range_grant_failed": "not taken by the upstream",
}
_SHARDS = {
    "shard_taken": "taken over",
    "shard_releasing": "being handed over",
    "shard_released": "released",
}
_LOADS = ("request_not_run", "slots_reduced", "slow_start")
_OTHERS = ("configuration_applied", "entry_applied", "group_changed")

# Events that change a belief.
BELIEF_EVENTS = frozenset((*_STATES, *_LEASES, *_RANGES, *_SHARDS, *_LOADS, *_OTHERS))


@dataclass(frozen=True, slots=True)
class Belief:
    """One value and the time since which it held.

    Attributes:
        value: The value.
        age_s: Seconds from the line that told it to the line that it is shown with.
    """

    value: str
    age_s: float


@dataclass(frozen=True, slots=True)
class Beliefs:
    """What an agent held when it wrote a line; None where no earlier line of its file tells.

    Attributes:
        state: What the agent was: starting, ready, member, leaving, ...
        configuration: Version of the configuration, or of the catalogue entry of the service.
        group: Version and members of the group of the service.
        lease: State of the lease.
        grant: Grant of the key here; None also if this agent never had one.
        load: Load of the slots here.
    """

    state: Belief | None = None
    configuration: Belief | None = None
    group: Belief | None = None
    lease: Belief | None = None
    grant: Belief | None = None
    load: Belief | None = None


class _Latest(Generic[K]):
    """Latest line for each key, up to a bound."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._lines: OrderedDict[K, tuple[str, float]] = OrderedDict()

    def put(self, key: K, value: str, at: float) -> None:
        self._lines[key] = (value, at)
        self._lines.move_to_end(key)
        if len(self._lines) > self._most:
            self._lines.popitem(last=False)

    def get(self, key: K) -> tuple[str, float] | None:
        return self._lines.get(key)

    def newest(self, matches: Callable[[K], bool]) -> tuple[str, float] | None:
        found = [key for key in reversed(self._lines) if matches(key)]
        return self._lines[found[0]] if found else None


class BeliefTracker:
    """Follows the lines of one process."""

    def __init__(self) -> None:
        self._values: dict[str, tuple[str, float]] = {}
        self._entries: _Latest[str] = _Latest(_MOST_GROUPS)
        self._groups: _Latest[str] = _Latest(_MOST_GROUPS)
        self._ranges: _Latest[tuple[int, int]] = _Latest(_MOST_GRANTS)
        self._shards: _Latest[int] = _Latest(_MOST_GRANTS)

    def observe(self, line: LogLine) -> None:
        """Takes the next line of the process."""
        event, at, fields = line.event, line.at, line.fields
        if event not in BELIEF_EVENTS:
            return
        if event in _STATES:
            self._values["state"] = (state_after(line), at)
        elif event in _LEASES:
            self._values["lease"] = (_LEASES[event], at)
        elif event in _LOADS:
            self._observe_load(event, at, fields)
        elif event == "configuration_applied":
            self._values["configuration"] = (f"version {fields.get('version')}", at)
        elif event == "entry_applied":
            value = f"entry version {fields.get('version')}"
            self._entries.put(str(fields.get("service")), value, at)
        elif event == "group_changed":
            value = f"version {fields.get('version')}, {fields.get('members')} members"
            self._groups.put(str(fields.get("group")), value, at)
        else:
            self._observe_grant(event, at, fields)

    def beliefs(self, at: float, service: str, key: str, shard: int | None) -> Beliefs:
        """Returns what held at a moment.

        Args:
            at: The moment, in seconds since 1970.
            service: Service of the request.
            key: Key of the request, or empty.
            shard: Its shard, where the line tells it.
        """

        def belief(found: tuple[str, float] | None) -> Belief | None:
            return None if found is None else Belief(found[0], round(at - found[1], 3))

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
        point = int(key)
        return self._ranges.newest(lambda found: found[0] <= point <= found[1])

    def _observe_load(self, event: str, at: float, fields: dict[str, Any]) -> None:
        if event == "request_not_run":
            occupancy = fields.get("occupancy")
            if occupancy:
                self._values["load"] = (str(occupancy), at)
        elif event == "slots_reduced":
            self._values["load"] = (f"{fields.get('limit')} of {fields.get('slots')} slots", at)
        else:
            self._values["load"] = (f"{fields.get('usable')} of {fields.get('slots')} slots", at)

    def _observe_grant(self, event: str, at: float, fields: dict[str, Any]) -> None:
        epoch = fields.get("epoch")
        if event in _SHARDS:
            shard = fields.get("shard")
            if isinstance(shard, int):
                self._shards.put(shard, f"shard {shard} {_SHARDS[event]}, epoch {epoch}", at)
            return
        first, last = fields.get("first"), fields.get("last")
        if isinstance(first, int) and isinstance(last, int):
            value = f"range {first}-{last} {_RANGES[event]}, epoch {epoch}"
            self._ranges.put((first, last), value, at)


def state_after(line: LogLine) -> str:
    """Returns what an agent is after a line, or empty if the line does not tell it."""
    if line.event == "not_ready" and line.fields.get("stopping") is True:
        return "stopping"
    if line.event == "shutdown_phase":
        return f"stopping, {line.fields.get('phase')}"
    return _STATES.get(line.event, "")
