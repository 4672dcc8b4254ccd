"""Simulated agents of a group with numeric keys, and upstreams that check their grants."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

from fescueward.interfaces import StoredObject
from fescueward.kernel import Kernel
from fescueward.kernel.bounds import Bounds
from fescueward.messages.codec import decode_json
from fescueward.messages.configuration import (
    Configuration,
    ServiceSpec,
    VersionedConfiguration,
)
from fescueward.messages.group import Group, KeyRange
from fescueward.messages.request import Occupancy
from fescueward.services.groups import GroupStore
from fescueward.services.keyspace.load import KeyBlockLoad
from fescueward.services.keyspace.moves import KEY_COUNT
from fescueward.services.keyspace.ownership import RangeOwnership
from fescueward.services.keyspace.placement import RangePlacement
from fescueward.services.lease import MonitoredLease
from fescueward.services.membership import GroupMembership
from fescueward.services.monitor import LeaseMonitor
from fescueward.services.recorder import EditRecorder
from tests.services.fleet import FakeAdmission, Fleet, SafetyError, SimulatedAgent

_RESPONSE_DELAY_S = 0.002


def fleet_wide_groups(kernel: Kernel) -> GroupStore:
    return GroupStore(kernel, fleet_wide=True)


class RangeUpstream:
    """An upstream whose grants are valid until they are released or expire.

    It keeps running when its agent ends.
    """

    process = 1

    def __init__(self, fleet: KeyedFleet, name: str) -> None:
        self._fleet, self.name = fleet, name
        self.release_delay_s = _RESPONSE_DELAY_S
        self.grants: list[tuple[int, int, int, float]] = []

    def valid_grants(self) -> list[tuple[int, int, int, float]]:
        now = self._fleet.world.now
        self.grants = [grant for grant in self.grants if grant[3] > now]
        return self.grants

    async def grant_range(self, key_range: KeyRange, hold_s: float, process: int) -> bool:
        await asyncio.sleep(_RESPONSE_DELAY_S)
        self.apply_grant(key_range, hold_s)
        return True

    def apply_grant(self, key_range: KeyRange, hold_s: float) -> None:
        """Checks and applies a grant, whose time counts from now."""
        self._fleet.check_grant(self, key_range)
        until = self._fleet.world.now + hold_s
        self.grants = [
            grant
            for grant in self.valid_grants()
            if grant[:3] != (key_range.first, key_range.last, key_range.epoch)
        ]
        self.grants.append((key_range.first, key_range.last, key_range.epoch, until))

    async def release_range(self, key_range: KeyRange) -> str:
        self.grants = [
            remainder
            for first, last, epoch, until in self.valid_grants()
            for remainder in (
                (first, min(last, key_range.first - 1), epoch, until),
                (max(first, key_range.last + 1), last, epoch, until),
            )
            if remainder[0] <= remainder[1]
        ]
        await asyncio.sleep(self.release_delay_s)
        return "token"


class IdleAdmission(FakeAdmission):
    """Admission without any requests."""

    occupancy = Occupancy(0, 0, 4, 0.0)


class KeyedFleet(Fleet):
    """Agents of one group whose upstreams own numeric keys.

    Raises `SafetyError` as soon as two upstreams have a grant for a key, or one is granted a key
    at an epoch that is not above all epochs of its earlier upstreams.
    """

    services = {
        "groups": fleet_wide_groups,
        "membership": GroupMembership,
        "recorder": EditRecorder,
        "lease": MonitoredLease,
        "monitor": LeaseMonitor,
        "placement": RangePlacement,
        "load": KeyBlockLoad,
        "ownership": RangeOwnership,
    }

    def __init__(self) -> None:
        super().__init__()
        self.upstreams: dict[str, RangeUpstream] = {}
        self._last_confirmed: StoredObject | None = None
        self._epochs: set[tuple[int, int, int, str]] = set()
        configuration = Configuration(1, services={"depot": ServiceSpec("depot", keyed=True)})
        self._routes = SimpleNamespace(
            current=VersionedConfiguration(1, configuration),
            observe=lambda newer: False,
            select=None,
            target=None,
        )

    def upstream(self, agent: SimulatedAgent) -> RangeUpstream:
        return self.upstreams.setdefault(agent.name, RangeUpstream(self, agent.name))

    def extra_services(self) -> dict[str, Any]:
        return {"routes": self._routes, "bounds": Bounds(), "admission": IdleAdmission()}

    def check(self) -> None:
        """Checks nothing: the upstreams check each grant."""

    def check_grant(self, upstream: RangeUpstream, key_range: KeyRange) -> None:
        for other in self.upstreams.values():
            for first, last, epoch, until in other.valid_grants() if other is not upstream else ():
                if first <= key_range.last and key_range.first <= last:
                    raise SafetyError(
                        f"{upstream.name} gets {key_range}; {other.name} holds {first} to {last} "
                        f"at {epoch} for {until - self.world.now:.3f} s"
                    )
        for first, last, epoch, name in self._epochs:
            overlaps = first <= key_range.last and key_range.first <= last
            if overlaps and name != upstream.name and epoch >= key_range.epoch:
                raise SafetyError(f"{upstream.name} gets {key_range}; {name} had {epoch}")
        self._epochs.add((key_range.first, key_range.last, key_range.epoch, upstream.name))

    def served_keys(self) -> dict[str, int]:
        """Returns the number of keys that each running agent currently serves."""
        return {
            name: sum(last - first + 1 for first, last, _ in agent.ownership._grant_ends)
            if agent.lease.held
            else 0
            for name, agent in self.agents.items()
        }

    def distributed(self) -> bool:
        """Returns whether all keys are served, and at least half of its share by each member."""
        key_counts = self.served_keys()
        return (
            sum(key_counts.values()) == KEY_COUNT
            and min(key_counts.values()) * len(key_counts) * 2 >= KEY_COUNT
        )

    def time_until_distributed(self, limit_s: float) -> float | None:
        """Advances until the keys are distributed; returns the seconds, or None at the limit."""
        start = self.world.now
        while self.world.now - start < limit_s:
            if self.distributed():
                return self.world.now - start
            self.world.advance(0.02)
        return None

    def _check_write(self, old: StoredObject | None, new: StoredObject) -> None:
        after = decode_json(new.value, Group)
        if after.era != self.platform.era:
            # A late write of an earlier era is stored, and no agent may believe it.
            return
        old, self._last_confirmed = self._last_confirmed, new
        super()._check_write(old, new)
        before = decode_json(old.value, Group) if old is not None else None
        if before is None or not before.ranges:
            return
        for key_range in after.ranges:
            for old_range in before.ranges:
                if (
                    old_range.first > key_range.last
                    or key_range.first > old_range.last
                    or old_range.owner is None
                ):
                    continue
                if key_range.epoch < old_range.epoch or (
                    key_range.owner != old_range.owner and key_range.epoch == old_range.epoch
                ):
                    raise SafetyError(f"{old_range} became {key_range}")
