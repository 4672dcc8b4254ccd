"""Agents of a group with numeric keys over the fakes, and upstreams that check their owners."""

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
from fescueward.services.keyspace.moves import KEYS
from fescueward.services.keyspace.ownership import RangeOwnership
from fescueward.services.keyspace.placement import RangePlacement
from fescueward.services.lease import MonitoredLease
from fescueward.services.membership import GroupMembership
from fescueward.services.monitor import LeaseMonitor
from tests.services.fleet import FakeAdmission, Fleet, SafetyError, SimulatedAgent

_ANSWER_S = 0.002


def fleet_wide_groups(kernel: Kernel) -> GroupStore:
    return GroupStore(kernel, fleet_wide=True)


class RangeUpstream:
    """An upstream that holds granted keys until their grants have run out.

    It outlives its agent.
    """

    def __init__(self, fleet: KeyedFleet, name: str) -> None:
        self._fleet, self.name = fleet, name
        self.granted: list[tuple[int, int, int, float]] = []

    def holds(self) -> list[tuple[int, int, int, float]]:
        now = self._fleet.world.now
        self.granted = [grant for grant in self.granted if grant[3] > now]
        return self.granted

    async def grant_range(self, found: KeyRange, hold_s: float) -> bool:
        await asyncio.sleep(_ANSWER_S)
        self._fleet.check_grant(self, found)
        until = self._fleet.world.now + hold_s
        self.granted = [
            grant for grant in self.holds() if grant[:3] != (found.first, found.last, found.epoch)
        ]
        self.granted.append((found.first, found.last, found.epoch, until))
        return True

    async def release_range(self, found: KeyRange) -> str:
        self.granted = [
            part
            for first, last, epoch, until in self.holds()
            for part in (
                (first, min(last, found.first - 1), epoch, until),
                (max(first, found.last + 1), last, epoch, until),
            )
            if part[0] <= part[1]
        ]
        await asyncio.sleep(_ANSWER_S)
        return "token"


class IdleAdmission(FakeAdmission):
    """Slots that no request takes."""

    occupancy = Occupancy(0, 0, 4, 0.0)


class KeyedFleet(Fleet):
    """Agents of one group whose upstreams own numeric keys.

    Raises `SafetyError` as soon as two upstreams hold a key, or one gets it at an epoch that is
    not above all that others have had.
    """

    services = {
        "groups": fleet_wide_groups,
        "membership": GroupMembership,
        "lease": MonitoredLease,
        "monitor": LeaseMonitor,
        "placement": RangePlacement,
        "load": KeyBlockLoad,
        "ownership": RangeOwnership,
    }

    def __init__(self) -> None:
        super().__init__()
        self.upstreams: dict[str, RangeUpstream] = {}
        self._epochs: set[tuple[int, int, int, str]] = set()
        configuration = Configuration(1, services={"depot": ServiceSpec("depot", keyed=True)})
        self._routes = SimpleNamespace(
            current=VersionedConfiguration(1, configuration),
            observe=lambda found: False,
            select=None,
            target=None,
        )

    def upstream(self, agent: SimulatedAgent) -> RangeUpstream:
        return self.upstreams.setdefault(agent.name, RangeUpstream(self, agent.name))

    def provided(self) -> dict[str, Any]:
        return {"routes": self._routes, "bounds": Bounds(), "admission": IdleAdmission()}

    def check(self) -> None:
        """Does nothing: the upstreams check each grant."""

    def check_grant(self, upstream: RangeUpstream, found: KeyRange) -> None:
        for other in self.upstreams.values():
            for first, last, epoch, until in other.holds() if other is not upstream else ():
                if first <= found.last and found.first <= last:
                    raise SafetyError(
                        f"{upstream.name} gets {found}; {other.name} holds {first} to {last} "
                        f"at {epoch} for {until - self.world.now:.3f} s"
                    )
        for first, last, epoch, name in self._epochs:
            overlaps = first <= found.last and found.first <= last
            if overlaps and name != upstream.name and epoch >= found.epoch:
                raise SafetyError(f"{upstream.name} gets {found}; {name} had {epoch}")
        self._epochs.add((found.first, found.last, found.epoch, upstream.name))

    def held(self) -> dict[str, int]:
        """Returns the number of keys that each running agent serves at this instant."""
        return {
            name: sum(last - first + 1 for first, last, _ in agent.ownership._expires)
            if agent.lease.held
            else 0
            for name, agent in self.agents.items()
        }

    def shared_out(self) -> bool:
        """Whether all keys are served and each member serves at least half of its share."""
        held = self.held()
        return sum(held.values()) == KEYS and min(held.values()) * len(held) * 2 >= KEYS

    def time_until_shared_out(self, limit_s: float) -> float | None:
        """Advances until each member serves its share; returns the time, or None."""
        start = self.world.now
        while self.world.now - start < limit_s:
            if self.shared_out():
                return self.world.now - start
            self.world.advance(0.02)
        return None

    def _check_write(self, old: StoredObject | None, new: StoredObject) -> None:
        super()._check_write(old, new)
        before = decode_json(old.value, Group) if old is not None else None
        after = decode_json(new.value, Group)
        if before is None or not before.ranges:
            return
        for found in after.ranges:
            for was in before.ranges:
                if was.first > found.last or found.first > was.last or was.owner is None:
                    continue
                if found.epoch < was.epoch or (
                    found.owner != was.owner and found.epoch == was.epoch
                ):
                    raise SafetyError(f"{was} became {found}")
