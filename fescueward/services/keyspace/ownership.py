"""Key ranges that this agent owns: grants and requests."""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from contextlib import suppress
from dataclasses import dataclass
from types import TracebackType

from ...interfaces import Groups, Lease, Membership, RangeGrants
from ...kernel import Clock, Event, Kernel, Level, Outcome, Registry
from ...kernel.bounds import Bounds
from ...kernel.errors import (
    LeaseExpiredError,
    NotOwnerError,
    RefusalError,
    ShardMovingError,
)
from ...kernel.settings import Settings
from ...messages import MemberState, VersionedGroup
from ...messages.group import KeyRange
from .handover import RangeHandover, RangeId, range_id
from .moves import KEYS

_ACTIVE = Event(2820, "range_active", Level.INFO, "A key range is served here from now on.")
_GRANT_REFUSED = Event(
    2821, "range_grant_refused", Level.WARNING, "The upstream has seen a higher epoch."
)
_GRANT_FAILED = Event(2822, "range_grant_failed", Level.WARNING, "The upstream took no grant.")

# The upstream's clock may run this much slow, so its hold lasts this many times as long.
SLOW_CLOCK = 1.02
# The grant must end before the lease, also with the delay of a timer.
_HOLD_MARGIN_S = 0.03
# A shorter grant would end before it is of use.
_LEAST_HOLD_S = 0.1
# A request waits this long, in seconds, while its key is being activated here.
_ACTIVATION_WAIT_S = 0.4
# A grant is renewed when this share of the lease is left of it; two tries fit into the rest.
_RENEWED_SHARE = 0.55


@dataclass(frozen=True, slots=True)
class RangeTicket:
    """Permission to run one request; see `Ticket`."""

    shard: int
    epoch: int

    def __enter__(self) -> RangeTicket:
        """Returns the ticket."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Does nothing: the upstream ends its work before it confirms a release."""

    def check(self) -> None:
        """Does nothing: the upstream ends work that outlasts its grant."""


class RangeOwnership:
    """The `ownership` service for numeric keys.

    The upstream itself stops work on keys whose grant has ended, and confirms a release only when
    their work has ended. So no request needs to be counted here: what is sent after a release is
    refused by the upstream without a run.
    """

    name = "ownership"
    requires = ("groups", "membership", "lease", "upstream", "peers")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._wanted: dict[RangeId, KeyRange] = {}
        self._expires: dict[RangeId, float] = {}
        self._handing: set[RangeId] = set()
        self._starts: list[tuple[int, RangeId]] = []
        self._changed = asyncio.Event()
        self._renew = asyncio.Event()
        self._upstream_start = ""
        # Grants that were sent and not answered yet.
        self._on_their_way: dict[RangeId, asyncio.Task[None]] = {}
        self._handover = RangeHandover(self._tasks)
        # Ranges that a leaving upstream gives back although nobody takes them yet.
        self._withheld: set[RangeId] = set()
        self._returning: asyncio.Task[None] | None = None

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._bounds = registry.find("bounds", Bounds)
        self._groups = registry.find("groups", Groups)
        self._membership = registry.find("membership", Membership)
        self._lease = registry.find("lease", Lease)
        self._upstream = registry.find("upstream", RangeGrants)
        section = registry.find("settings", Settings).lease
        self._renewal_s = section.renewal_ms / 1000
        self._lease_s = section.lease_ms / 1000
        self._handover.bind(registry)
        self._groups.subscribe(self)

    async def start(self) -> None:
        """Starts the renewal of grants."""
        self._tasks.spawn("grants", self._run_grants())

    async def stop(self) -> None:
        """Ends all tasks."""
        await self._tasks.cancel()

    @property
    def in_flight(self) -> int:
        """Always 0: the upstream counts what runs."""
        return 0

    def active(self) -> dict[int, int]:
        """Returns the epoch of each active range by its first key."""
        now = self._clock.now()
        return {first: epoch for (first, _, epoch), end in self._expires.items() if end > now}

    def owned(self) -> dict[int, int]:
        """Returns the epoch of each range that is owned here by its first key."""
        return {first: epoch for first, _, epoch in self._wanted}

    async def admit(self, service: str, key: str, deadline: float) -> RangeTicket:
        """Waits while the range of the key is being activated; see `Ownership.admit`."""
        number = int(key)
        until = min(deadline, self._clock.now() + _ACTIVATION_WAIT_S)
        while True:
            found = self._find(number)
            if found is not None:
                if not self._lease.held:
                    raise LeaseExpiredError("the lease of this agent has ended")
                return RangeTicket(found[0], found[2])
            self._refuse_if_foreign(number)
            remaining = until - self._clock.now()
            if remaining <= 0:
                raise ShardMovingError(f"key {key} is not active here yet")
            changed = self._changed
            with suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await changed.wait()

    async def drained(self) -> None:
        """Waits until others own the ranges of here, or the upstream holds none if there are none.

        The next member that joins is granted the ranges at once.
        """
        while True:
            if self._handing or (self._owns_any() and self._others_exist()):
                changed = self._changed
                await changed.wait()
                continue
            held = [
                one for found_id, one in self._wanted.items() if found_id not in self._withheld
            ]
            if held:
                self._withheld.update(map(range_id, held))
                self._returning = self._tasks.spawn("return", self._give_back(held))
            if self._returning is None or self._returning.done():
                return
            # The caller asks again after a time limit, which must not end the release.
            await asyncio.wait((self._returning,))

    async def _give_back(self, held: list[KeyRange]) -> None:
        for found in held:
            self._expires.pop(range_id(found), None)
        self._index()
        if self._on_their_way:
            await asyncio.wait(self._on_their_way.values())
        await self._handover.give_back(held)

    def group_changed(self, group: VersionedGroup) -> None:
        """Activates, hands over and drops ranges as the group object says."""
        if group.group.id != self._membership.home:
            return
        self._forget_earlier_start()
        me = self._membership.member_id
        mine = [found for found in group.group.ranges if found.owner == me]
        wanted = {range_id(found): found for found in mine if found.successor is None}
        self._handing &= {range_id(found) for found in mine}
        member = group.group.members.get(me)
        if member is None or member.state is MemberState.ACTIVE:
            # The leave has ended or was taken back.
            self._withheld.clear()
        expires: dict[RangeId, float] = {}
        for found_id in wanted:
            if found_id not in self._handing:
                end = self._end_of(found_id)
                if end is not None:
                    expires[found_id] = end
        self._wanted, self._expires = wanted, expires
        self._index()
        leaving = [
            found for found in mine if found.successor and range_id(found) not in self._handing
        ]
        if leaving:
            self._handing.update(range_id(found) for found in leaving)
            self._tasks.spawn("handover", self._hand_over(leaving))
        self._renew.set()
        self._wake()

    def _end_of(self, wanted: RangeId) -> float | None:
        """Returns the end of the grants that cover a range, or None.

        A grant at a lower epoch still holds: keys never leave this member without a release here.
        """
        first, last, epoch = wanted
        ends = []
        reach = first
        for low, high, known in sorted(self._expires):
            if known <= epoch and low <= reach <= high:
                ends.append(self._expires[(low, high, known)])
                reach = high + 1
                if reach > last:
                    return min(ends)
        return None

    def _index(self) -> None:
        self._starts = sorted((found_id[0], found_id) for found_id in self._expires)

    def _find(self, key: int) -> RangeId | None:
        index = bisect_right(self._starts, (key, (KEYS, 0, 0))) - 1
        if index < 0:
            return None
        found = self._starts[index][1]
        if key > found[1] or self._expires[found] <= self._clock.now():
            return None
        return found

    def _refuse_if_foreign(self, key: int) -> None:
        view = self._view()
        found = view.group.range_of(key) if view is not None else None
        me = self._membership.member_id
        if found is None or (found.owner != me and found.successor != me):
            owner = found.owner if found is not None else None
            raise NotOwnerError(f"key {key} is owned by {owner}", owner_id=owner)
        if found.owner == me and found.successor is not None:
            raise ShardMovingError(f"key {key} is being handed over")

    def _view(self) -> VersionedGroup | None:
        home = self._membership.home
        return self._groups.view(home) if home is not None else None

    def _owns_any(self) -> bool:
        view = self._view()
        me = self._membership.member_id
        return view is not None and any(found.owner == me for found in view.group.ranges)

    def _others_exist(self) -> bool:
        view = self._view()
        me = self._membership.member_id
        return view is not None and any(
            member.id != me and member.state is MemberState.ACTIVE
            for member in view.group.members.values()
        )

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _run_grants(self) -> None:
        while True:
            # wait_for() of Python 3.11 loses a cancellation that comes with the event.
            with suppress(TimeoutError):
                async with asyncio.timeout(self._renewal_s):
                    await self._renew.wait()
            self._renew.clear()
            announced = self._membership.announcement
            if announced is None or not self._wanted or not self._lease.held:
                continue
            self._forget_earlier_start()
            if not self._epochs_are_of(announced.start):
                continue
            due = self._due()
            for found in due:
                if range_id(found) not in self._on_their_way:
                    self._on_their_way[range_id(found)] = self._tasks.spawn(
                        "grant", self._grant(found)
                    )
            if due:
                await asyncio.wait(self._on_their_way.values())

    def _forget_earlier_start(self) -> None:
        """Drops the grants of an earlier start of the upstream; the new one holds nothing."""
        announced = self._membership.announcement
        if announced is not None and announced.start != self._upstream_start:
            self._upstream_start = announced.start
            self._expires.clear()
            self._index()

    def _epochs_are_of(self, start: str) -> bool:
        """Tells whether the epochs in the group object may be granted to a start of the upstream.

        Keys move to another start with a higher epoch only, which the group object has once it
        names that start.
        """
        view = self._view()
        me = view.group.members.get(self._membership.member_id) if view is not None else None
        return me is None or me.instance in ("", start)

    def _due(self) -> list[KeyRange]:
        """Returns the ranges whose grant is missing or has passed its middle."""
        soon = self._clock.now() + self._lease_s * _RENEWED_SHARE
        return [
            found
            for found_id, found in self._wanted.items()
            if found_id not in self._handing
            and found_id not in self._withheld
            and self._expires.get(found_id, 0.0) < soon
        ]

    async def _grant(self, found: KeyRange) -> None:
        try:
            await self._send_grant(found)
        finally:
            del self._on_their_way[range_id(found)]

    async def _send_grant(self, found: KeyRange) -> None:
        found_id = range_id(found)
        sent = self._clock.now()
        lease_left_s = self._lease.expires_at - sent
        hold_s = min(self._bounds.max_hold_s, lease_left_s / SLOW_CLOCK - _HOLD_MARGIN_S)
        if hold_s < _LEAST_HOLD_S:
            return
        try:
            accepted = await self._upstream.grant_range(found, hold_s)
        except RefusalError as error:
            if error.outcome is not Outcome.NOT_RUN:
                self._handover.grant_unanswered(found, sent + lease_left_s)
            _GRANT_FAILED.emit(first=found.first, last=found.last, epoch=found.epoch, error=error)
            return
        if not accepted:
            _GRANT_REFUSED.emit(first=found.first, last=found.last, epoch=found.epoch)
            self._expires.pop(found_id, None)
            self._index()
            return
        self._handover.grant_confirmed(sent + lease_left_s)
        if found_id not in self._wanted or found_id in self._handing:
            return
        fresh = found_id not in self._expires
        self._expires[found_id] = sent + hold_s
        if fresh:
            _ACTIVE.emit(
                first=found.first,
                last=found.last,
                epoch=found.epoch,
                hold_s=round(hold_s, 3),
                warm=bool(found.handover),
            )
            self._index()
            self._wake()

    async def _hand_over(self, leaving: list[KeyRange]) -> None:
        home = self._membership.home
        assert home is not None
        # A grant that reaches the upstream after the release would make it hold the keys again.
        if self._on_their_way:
            await asyncio.wait(self._on_their_way.values())
        await self._handover.run(home, leaving)
        self._handing -= set(map(range_id, leaving))
        self._wake()
