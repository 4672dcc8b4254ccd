"""Ownership of hash shards: activation, tickets for requests, and handover."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace

from ...interfaces import Catalogue, Grants, Groups, Lease, Membership, Outcomes, Peers
from ...kernel import Clock, Event, Kernel, Level, Registry
from ...kernel.errors import (
    DrainingError,
    LeaseExpiredError,
    NotOwnerError,
    ShardMovingError,
)
from ...messages import Group, GroupId, MemberState, Shard, VersionedGroup
from ...messages.group import group_of
from ...messages.peer import Release, Released
from .releases import ReleaseSender
from .settlement import HandoverSettlement
from .tickets import HeldShard, ShardState, ShardTicket

_ACTIVE = Event(2701, "shards_active", Level.INFO, "Shards are served here from now on.")
_RELEASING = Event(2702, "shard_releasing", Level.INFO, "A shard is being handed over.")
_TAKEN = Event(2704, "shard_taken", Level.INFO, "A shard was taken over from its owner.")
_DROPPED = Event(2705, "shards_dropped", Level.WARNING, "Shards are owned by others now.")

# A leaving server that cannot hand over, because the platform is down, refuses new work after
# this time, well below the bound of 3 s.
_LEAVING_GRACE_S = 2.0


class ShardOwnership:
    """The `ownership` service.

    What is active here follows from the group object, the lease and the releases of earlier
    owners. A shard that was released at an epoch is never served again at that epoch.
    """

    name = "ownership"
    requires = ("groups", "peers", "membership", "lease", "grants", "outcomes")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._held: dict[int, HeldShard] = {}
        self._released: dict[int, int] = {}
        self._keys: Counter[str] = Counter()
        self._member_id = ""
        self._changed = asyncio.Event()
        self._leaving_since: float | None = None
        self._handovers = 0

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._groups = registry.find("groups", Groups)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        self._lease = registry.find("lease", Lease)
        self._grants = registry.find("grants", Grants)
        self._outcomes = registry.find("outcomes", Outcomes)
        self._releases = ReleaseSender(self._clock, self._peers, self._view)
        self._settlement = HandoverSettlement(
            self._clock, self._groups, self._membership, self._settle
        )
        self._groups.subscribe(self)
        self._peers.on(Release, self._on_release)

    async def start(self) -> None:
        """Starts the record of handovers."""
        self._tasks.spawn("settle", self._settlement.run())

    async def stop(self) -> None:
        """Ends all tasks."""
        await self._tasks.cancel()

    def active(self) -> dict[int, int]:
        """Returns the epoch of each active shard by shard id."""
        return {
            shard: held.epoch
            for shard, held in self._held.items()
            if held.state is not ShardState.ACTIVATING
        }

    @property
    def in_flight(self) -> int:
        """Number of requests that hold a ticket."""
        return self._keys.total()

    def owned(self) -> dict[int, int]:
        """Returns the epoch of each shard that is active or being activated."""
        return {shard: held.epoch for shard, held in self._held.items()}

    async def admit(self, service: str, key: str, deadline: float) -> ShardTicket:
        """Waits while the shard of the key moves; see `Ownership.admit`."""
        while True:
            shard, held = self._find(service, key)
            if held is not None and held.state is ShardState.ACTIVE:
                self._refuse_if_draining()
                self._lease.check()
                held.in_flight += 1
                held.idle.clear()
                self._keys[key] += 1
                return ShardTicket(self, shard, held, key)
            changed = self._changed
            try:
                async with asyncio.timeout(max(deadline - self._clock.now(), 0)):
                    await changed.wait()
            except TimeoutError:
                raise ShardMovingError(
                    f"shard {shard} of {service!r} did not become active before the deadline"
                ) from None

    def check(self, shard: int, held: HeldShard) -> None:
        """Raises `LeaseExpiredError` unless the lease is held and `held` is still current."""
        self._lease.check()
        if self._held.get(shard) is not held:
            raise LeaseExpiredError(f"shard {shard} at epoch {held.epoch} is owned elsewhere now")

    def give_back(self, held: HeldShard, key: str) -> None:
        """Counts a request as finished."""
        held.in_flight -= 1
        self._keys[key] -= 1
        if self._keys[key] <= 0:
            del self._keys[key]
        if held.in_flight == 0:
            held.idle.set()
            self._wake()

    async def wait_until_drained(self) -> None:
        """Waits until no request is in flight and no shard is active that others could take.

        A handover ends when the successor has confirmed it: until then the grants may still
        hold and only this agent has the outcomes.
        """
        while self._keys or self._handovers or (self._held and self._others_exist()):
            changed = self._changed
            await changed.wait()

    def group_changed(self, group: VersionedGroup) -> None:
        """Activates, hands over and drops shards as the group object says."""
        if group.group.id != self._membership.home:
            return
        me = self._membership.member_id
        if me != self._member_id or me not in group.group.members:
            self._drop_all(group.version)
            self._member_id = me
        if me not in group.group.members:
            return
        new: dict[int, HeldShard] = {}
        dropped = []
        for shard_id, shard in enumerate(group.group.shards):
            held = self._held.get(shard_id)
            if shard.owner == me:
                self._own(shard_id, shard, held, new)
            elif held is not None and not _released_to_me(shard, held, me):
                del self._held[shard_id]
                self._outcomes.end_epoch(shard_id)
                dropped.append(shard_id)
            if shard.owner != me and shard.successor is None:
                self._released.pop(shard_id, None)
        if dropped:
            _DROPPED.emit(shards=len(dropped), version=group.version)
        for ready_at in {held.ready_at for held in new.values()}:
            batch = {shard: held for shard, held in new.items() if held.ready_at == ready_at}
            self._tasks.spawn("activate", self._activate(batch))
        self._wake()

    def _own(
        self, shard_id: int, shard: Shard, held: HeldShard | None, new: dict[int, HeldShard]
    ) -> None:
        if self._released.get(shard_id, -1) >= shard.epoch:
            return
        if held is None:
            ready_at = self._clock.now() + shard.hold_ms / 1000 if shard.hold_ms else 0.0
            held = HeldShard(shard.epoch, ready_at)
            self._held[shard_id] = held
            self._outcomes.begin_epoch(shard_id, shard.epoch, (), 0, 0)
            new[shard_id] = held
        elif held.epoch < shard.epoch and held.state is not ShardState.RELEASING:
            # The epoch grew without a change of owner: requests under the old one finish first.
            held.state = ShardState.RELEASING
            self._tasks.spawn("epoch", self._raise_epoch(shard_id, held))
        if shard.successor is not None and held.state is ShardState.ACTIVE:
            held.state = ShardState.RELEASING
            self._tasks.spawn("handover", self._hand_over(shard_id, held))

    def _drop_all(self, version: int) -> None:
        if self._held:
            _DROPPED.emit(shards=len(self._held), version=version)
        for shard_id in self._held:
            self._outcomes.end_epoch(shard_id)
        self._held.clear()
        self._released.clear()
        self._grants.send_soon()

    def _find(self, service: str, key: str) -> tuple[int, HeldShard | None]:
        home = self._membership.home
        groups = self._catalogue.entry(service).entry.groups
        if home is None or group_of(service, key, groups) != home:
            raise NotOwnerError(f"this agent serves no keys of {service!r} like {key!r}")
        view = self._groups.view(home)
        if view is None:
            raise NotOwnerError(f"group {home} is not known yet")
        shard_id = view.group.shard_of(key, groups)
        held = self._held.get(shard_id)
        if held is not None:
            return shard_id, held
        shard = view.group.shards[shard_id]
        released = self._released.get(shard_id)
        if released is not None and shard.owner == self._member_id:
            raise NotOwnerError(f"shard {shard_id} was released", owner_id=shard.successor)
        if self._member_id in (shard.owner, shard.successor):
            return shard_id, None
        raise NotOwnerError(f"shard {shard_id} is owned by {shard.owner}", owner_id=shard.owner)

    def _refuse_if_draining(self) -> None:
        if not self._membership.leaving:
            self._leaving_since = None
            return
        now = self._clock.now()
        if self._leaving_since is None:
            self._leaving_since = now
        if now - self._leaving_since > _LEAVING_GRACE_S:
            raise DrainingError("this server is leaving and its shards could not be handed over")

    def _others_exist(self) -> bool:
        view = self._view()
        return view is not None and any(
            member.id != self._member_id and member.state is MemberState.ACTIVE
            for member in view.group.members.values()
        )

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _activate(self, batch: dict[int, HeldShard]) -> None:
        wait_s = max(held.ready_at for held in batch.values()) - self._clock.now()
        if wait_s > 0:
            await self._clock.sleep(wait_s)
        await self._await_other_shards(batch)
        # Grants sent before the lease is held have ended already and admit no request.
        await self._lease.wait_until_held()
        await self._grants.confirmed()
        ready = [
            held
            for shard_id, held in batch.items()
            if self._held.get(shard_id) is held and held.state is ShardState.ACTIVATING
        ]
        for held in ready:
            held.state = ShardState.ACTIVE
        _ACTIVE.emit(shards=len(ready), member=self._member_id)
        self._wake()
        self._recheck()

    async def _await_other_shards(self, ready: dict[int, HeldShard]) -> None:
        # A key that gets a shard of its own may still be running under its hash shard here.
        view = self._view()
        if view is None:
            return
        keys = [key for key, shard_id in view.group.exceptions.items() if shard_id in ready]
        while any(self._keys[key] for key in keys):
            changed = self._changed
            await changed.wait()

    async def _raise_epoch(self, shard_id: int, held: HeldShard) -> None:
        await held.idle.wait()
        shard = self._shard(shard_id)
        if self._held.get(shard_id) is not held or shard is None:
            return
        if shard.owner != self._member_id:
            return
        exported = self._outcomes.export(shard_id)
        lineage = (*exported.lineage, held.epoch)
        renewed = HeldShard(shard.epoch, held.ready_at)
        self._held[shard_id] = renewed
        self._outcomes.begin_epoch(
            shard_id, shard.epoch, lineage, exported.floor, exported.next_sequence
        )
        await self._activate({shard_id: renewed})

    def _recheck(self) -> None:
        view = self._view()
        if view is not None:
            self.group_changed(view)

    def _view(self) -> VersionedGroup | None:
        home = self._membership.home
        return self._groups.view(home) if home is not None else None

    def _shard(self, shard_id: int) -> Shard | None:
        view = self._view()
        if view is None or shard_id >= len(view.group.shards):
            return None
        return view.group.shards[shard_id]

    async def _hand_over(self, shard_id: int, held: HeldShard) -> None:
        self._handovers += 1
        try:
            await self._release(shard_id, held)
        finally:
            self._handovers -= 1
            self._wake()

    async def _release(self, shard_id: int, held: HeldShard) -> None:
        _RELEASING.emit(shard=shard_id, epoch=held.epoch)
        await held.idle.wait()
        shard = self._shard(shard_id)
        home = self._membership.home
        if self._held.get(shard_id) is not held or shard is None or home is None:
            return
        if shard.owner == self._member_id and shard.epoch > held.epoch:
            # The successor was lost before anything was sent to it.
            await self._raise_epoch(shard_id, held)
            return
        if shard.owner != self._member_id or shard.successor is None:
            return
        # From here on the successor may be active, so this epoch ends here.
        exported = self._outcomes.export(shard_id)
        del self._held[shard_id]
        self._released[shard_id] = held.epoch
        await self._grants.revoked()
        release = Release(
            call=0,
            service=home.service,
            number=home.number,
            shard=shard_id,
            epoch=held.epoch,
            from_id=self._member_id,
            to_id=shard.successor,
            lineage=(*exported.lineage, held.epoch),
            next_sequence=exported.next_sequence,
            floor=exported.floor,
            outcomes=exported.outcomes,
        )
        await self._releases.send(release, lambda: self._released.get(shard_id) == held.epoch)
        if shard_id not in self._held:
            self._outcomes.end_epoch(shard_id)

    def _on_release(self, sender: str, message: Release) -> None:
        self._tasks.spawn("take", self._take(sender, message))

    async def _take(self, sender: str, message: Release) -> None:
        accepted = await self._accept_release(sender, message)
        self._peers.reply(sender, Released(message.call, accepted))

    async def _accept_release(self, sender: str, message: Release) -> bool:
        home = self._membership.home
        if home != GroupId(message.service, message.number) or message.to_id != self._member_id:
            return False
        held = self._held.get(message.shard)
        if held is not None and held.epoch == message.epoch + 1:
            return True
        shard = self._shard(message.shard)
        if shard is None or shard.epoch != message.epoch or shard.successor != self._member_id:
            if shard is None or shard.epoch <= message.epoch:
                await self._groups.update(home)
            return False
        if sender != message.from_id or shard.owner != sender or held is not None:
            return False
        taken = HeldShard(message.epoch + 1, 0.0)
        self._held[message.shard] = taken
        self._outcomes.begin_epoch(
            message.shard, taken.epoch, message.lineage, message.floor, message.next_sequence
        )
        self._outcomes.import_outcomes(message.shard, message.outcomes)
        _TAKEN.emit(shard=message.shard, epoch=taken.epoch, source=sender)
        self._tasks.spawn("activate", self._activate({message.shard: taken}))
        self._settlement.request()
        return True

    def _settle(self, group: Group) -> Group | None:
        shards = list(group.shards)
        for shard_id, held in self._held.items():
            shard = shards[shard_id]
            if shard.successor == self._member_id and shard.epoch + 1 == held.epoch:
                shards[shard_id] = Shard(self._member_id, held.epoch)
        if tuple(shards) == group.shards:
            return None
        return replace(group, shards=tuple(shards))


def _released_to_me(shard: Shard, held: HeldShard, me: str) -> bool:
    return shard.successor == me and held.epoch == shard.epoch + 1
