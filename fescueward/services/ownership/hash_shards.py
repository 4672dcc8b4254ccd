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
from ...kernel.settings import Settings
from ...messages import Group, GroupId, MemberState, Shard, VersionedGroup
from ...messages.group import group_of
from ...messages.peer import Release, Released
from ..earlier_grants import EarlierGrants
from .releases import ReleaseSender
from .settlement import HandoverRecorder
from .tickets import OwnedShard, ShardState, ShardTicket

_ACTIVE = Event(2701, "shards_active", Level.INFO, "Shards are active on this agent.")
_RELEASING = Event(2702, "shard_releasing", Level.INFO, "A shard is being handed over.")
_TAKEN_OVER = Event(2704, "shard_taken", Level.INFO, "A shard was taken over from its owner.")
_DROPPED = Event(
    2705, "shards_dropped", Level.WARNING, "Shards were dropped, because others own them."
)

# A leaving server that cannot hand over its shards, because the platform is unavailable, refuses
# new work after this time, which is well below the bound of 3 s.
_LEAVING_GRACE_S = 2.0


class ShardOwnership:
    """The `ownership` service.

    The active shards follow from the group object, the lease and the releases of previous owners.
    A shard that was released at an epoch is never served again at that epoch.
    """

    name = "ownership"
    requires = ("groups", "peers", "membership", "lease", "grants", "outcomes")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._owned_shards: dict[int, OwnedShard] = {}
        self._released_epochs: dict[int, int] = {}
        self._keys_in_flight: Counter[str] = Counter()
        self._member_id = ""
        self._state_changed = asyncio.Event()
        self._leaving_since: float | None = None
        self._handovers_in_progress = 0

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._groups = registry.find("groups", Groups)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        self._lease = registry.find("lease", Lease)
        self._grants = registry.find("grants", Grants)
        self._outcomes = registry.find("outcomes", Outcomes)
        lease_s = registry.find("settings", Settings).lease.lease_ms / 1000
        self._earlier_grants = EarlierGrants(self._clock, lease_s, self._tasks)
        self._releases = ReleaseSender(self._clock, self._peers, self._view)
        self._handover_recorder = HandoverRecorder(
            self._clock, self._groups, self._membership, self._record_handovers
        )
        self._groups.subscribe(self)
        self._peers.on(Release, self._on_release)

    async def start(self) -> None:
        """Starts the task that records handovers."""
        self._earlier_grants.start()
        self._tasks.spawn("settle", self._handover_recorder.run())

    async def stop(self) -> None:
        """Cancels all tasks."""
        await self._tasks.cancel()

    def active(self) -> dict[int, int]:
        """Returns the epoch of each active shard by shard id."""
        return {
            shard: owned_shard.epoch
            for shard, owned_shard in self._owned_shards.items()
            if owned_shard.state is not ShardState.ACTIVATING
        }

    @property
    def in_flight(self) -> int:
        """Number of requests that have a ticket."""
        return self._keys_in_flight.total()

    def owned(self) -> dict[int, int]:
        """Returns the epoch of each shard that is active or being activated."""
        return {shard: owned_shard.epoch for shard, owned_shard in self._owned_shards.items()}

    async def admit(self, service: str, key: str, deadline: float) -> ShardTicket:
        """Waits until the shard of the key is active; see `Ownership.admit`."""
        while True:
            shard, owned_shard = self._find_shard(service, key)
            if owned_shard is not None and owned_shard.state is ShardState.ACTIVE:
                self._refuse_if_draining()
                self._lease.check()
                owned_shard.in_flight += 1
                owned_shard.idle.clear()
                self._keys_in_flight[key] += 1
                return ShardTicket(self, shard, owned_shard, key)
            state_changed = self._state_changed
            try:
                async with asyncio.timeout(max(deadline - self._clock.now(), 0)):
                    await state_changed.wait()
            except TimeoutError:
                raise ShardMovingError(
                    f"shard {shard} of {service!r} did not become active before the deadline"
                ) from None

    def check(self, shard: int, owned_shard: OwnedShard) -> None:
        """Raises `LeaseExpiredError` unless the lease is held and `owned_shard` is current."""
        self._lease.check()
        if self._owned_shards.get(shard) is not owned_shard:
            raise LeaseExpiredError(
                f"shard {shard} at epoch {owned_shard.epoch} is no longer owned here"
            )

    def finish_request(self, owned_shard: OwnedShard, key: str) -> None:
        """Counts a request as finished."""
        owned_shard.in_flight -= 1
        self._keys_in_flight[key] -= 1
        if self._keys_in_flight[key] <= 0:
            del self._keys_in_flight[key]
        if owned_shard.in_flight == 0:
            owned_shard.idle.set()
            self._notify_waiters()

    async def wait_until_drained(self) -> None:
        """Waits until no request is in flight and no shard is left that others could take over.

        A handover ends when the successor has confirmed it: until then the grants may still be
        in force and only this agent has the outcomes.
        """
        while (
            self._keys_in_flight
            or self._handovers_in_progress
            or (self._owned_shards and self._other_active_members_exist())
        ):
            state_changed = self._state_changed
            await state_changed.wait()

    def group_changed(self, group: VersionedGroup) -> None:
        """Activates, hands over and drops shards according to the group object."""
        if group.group.id != self._membership.own_group_id:
            return
        member_id = self._membership.member_id
        if member_id != self._member_id or member_id not in group.group.members:
            self._drop_all(group.version)
            self._member_id = member_id
        if member_id not in group.group.members:
            return
        self._earlier_grants.observe(group.group.members[member_id])
        activating: dict[int, OwnedShard] = {}
        dropped_ids = []
        for shard_id, shard in enumerate(group.group.shards):
            owned_shard = self._owned_shards.get(shard_id)
            if shard.owner == member_id:
                self._update_own_shard(shard_id, shard, owned_shard, activating)
            elif owned_shard is not None and not _is_released_to(shard, owned_shard, member_id):
                del self._owned_shards[shard_id]
                self._outcomes.end_epoch(shard_id)
                dropped_ids.append(shard_id)
            if shard.owner != member_id and shard.successor is None:
                self._released_epochs.pop(shard_id, None)
        if dropped_ids:
            _DROPPED.emit(shards=len(dropped_ids), version=group.version)
        for ready_at in {owned_shard.ready_at for owned_shard in activating.values()}:
            batch = {
                shard: owned_shard
                for shard, owned_shard in activating.items()
                if owned_shard.ready_at == ready_at
            }
            self._tasks.spawn("activate", self._activate(batch))
        self._notify_waiters()

    def _update_own_shard(
        self,
        shard_id: int,
        shard: Shard,
        owned_shard: OwnedShard | None,
        activating: dict[int, OwnedShard],
    ) -> None:
        if self._released_epochs.get(shard_id, -1) >= shard.epoch:
            return
        if owned_shard is None:
            ready_at = self._clock.now() + shard.hold_ms / 1000 if shard.hold_ms else 0.0
            owned_shard = OwnedShard(shard.epoch, ready_at)
            self._owned_shards[shard_id] = owned_shard
            self._outcomes.begin_epoch(shard_id, shard.epoch, (), 0, 0)
            activating[shard_id] = owned_shard
        elif owned_shard.epoch < shard.epoch and owned_shard.state is not ShardState.RELEASING:
            # The epoch rose without a change of owner: requests at the old epoch finish first.
            owned_shard.state = ShardState.RELEASING
            self._tasks.spawn("epoch", self._raise_epoch(shard_id, owned_shard))
        if shard.successor is not None and owned_shard.state is ShardState.ACTIVE:
            # The upstream may still run requests of the earlier process.
            if self._earlier_grants.postpone(self._apply_newest_group):
                return
            owned_shard.state = ShardState.RELEASING
            self._tasks.spawn("handover", self._hand_over(shard_id, owned_shard))

    def _drop_all(self, version: int) -> None:
        if self._owned_shards:
            _DROPPED.emit(shards=len(self._owned_shards), version=version)
        for shard_id in self._owned_shards:
            self._outcomes.end_epoch(shard_id)
        self._owned_shards.clear()
        self._released_epochs.clear()
        self._grants.send_soon()

    def _find_shard(self, service: str, key: str) -> tuple[int, OwnedShard | None]:
        own_group_id = self._membership.own_group_id
        group_count = self._catalogue.entry(service).entry.groups
        if own_group_id is None or group_of(service, key, group_count) != own_group_id:
            raise NotOwnerError(
                f"this agent does not belong to the group of service {service!r} for key {key!r}"
            )
        view = self._groups.view(own_group_id)
        if view is None:
            raise NotOwnerError(f"group {own_group_id} is not known yet")
        shard_id = view.group.shard_of(key, group_count)
        owned_shard = self._owned_shards.get(shard_id)
        if owned_shard is not None:
            return shard_id, owned_shard
        shard = view.group.shards[shard_id]
        released_epoch = self._released_epochs.get(shard_id)
        if released_epoch is not None and shard.owner == self._member_id:
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

    def _other_active_members_exist(self) -> bool:
        view = self._view()
        return view is not None and any(
            member.id != self._member_id and member.state is MemberState.ACTIVE
            for member in view.group.members.values()
        )

    def _notify_waiters(self) -> None:
        state_changed, self._state_changed = self._state_changed, asyncio.Event()
        state_changed.set()

    async def _activate(self, batch: dict[int, OwnedShard]) -> None:
        wait_s = max(owned_shard.ready_at for owned_shard in batch.values()) - self._clock.now()
        if wait_s > 0:
            await self._clock.sleep(wait_s)
        await self._wait_for_other_shards(batch)
        # Grants that are sent without a lease have already expired and admit no request.
        await self._lease.wait_until_held()
        await self._grants.wait_until_confirmed()
        ready_shards = [
            owned_shard
            for shard_id, owned_shard in batch.items()
            if self._owned_shards.get(shard_id) is owned_shard
            and owned_shard.state is ShardState.ACTIVATING
        ]
        for owned_shard in ready_shards:
            owned_shard.state = ShardState.ACTIVE
        _ACTIVE.emit(shards=len(ready_shards), member=self._member_id)
        self._notify_waiters()
        self._apply_newest_group()

    async def _wait_for_other_shards(self, batch: dict[int, OwnedShard]) -> None:
        # Requests for a key that gets a shard of its own may still run on its hash shard here.
        view = self._view()
        if view is None:
            return
        keys = [key for key, shard_id in view.group.exceptions.items() if shard_id in batch]
        while any(self._keys_in_flight[key] for key in keys):
            state_changed = self._state_changed
            await state_changed.wait()

    async def _raise_epoch(self, shard_id: int, owned_shard: OwnedShard) -> None:
        await owned_shard.idle.wait()
        shard = self._shard(shard_id)
        if self._owned_shards.get(shard_id) is not owned_shard or shard is None:
            return
        if shard.owner != self._member_id:
            return
        exported = self._outcomes.export(shard_id)
        lineage = (*exported.lineage, owned_shard.epoch)
        raised_shard = OwnedShard(shard.epoch, owned_shard.ready_at)
        self._owned_shards[shard_id] = raised_shard
        self._outcomes.begin_epoch(
            shard_id, shard.epoch, lineage, exported.floor, exported.next_sequence
        )
        await self._activate({shard_id: raised_shard})

    def _apply_newest_group(self) -> None:
        view = self._view()
        if view is not None:
            self.group_changed(view)

    def _view(self) -> VersionedGroup | None:
        own_group_id = self._membership.own_group_id
        return self._groups.view(own_group_id) if own_group_id is not None else None

    def _shard(self, shard_id: int) -> Shard | None:
        view = self._view()
        if view is None or shard_id >= len(view.group.shards):
            return None
        return view.group.shards[shard_id]

    async def _hand_over(self, shard_id: int, owned_shard: OwnedShard) -> None:
        self._handovers_in_progress += 1
        try:
            await self._release(shard_id, owned_shard)
        finally:
            self._handovers_in_progress -= 1
            self._notify_waiters()

    async def _release(self, shard_id: int, owned_shard: OwnedShard) -> None:
        _RELEASING.emit(shard=shard_id, epoch=owned_shard.epoch)
        await owned_shard.idle.wait()
        shard = self._shard(shard_id)
        own_group_id = self._membership.own_group_id
        if (
            self._owned_shards.get(shard_id) is not owned_shard
            or shard is None
            or own_group_id is None
        ):
            return
        if shard.owner == self._member_id and shard.epoch > owned_shard.epoch:
            # The successor was lost before anything was sent to it.
            await self._raise_epoch(shard_id, owned_shard)
            return
        if shard.owner != self._member_id or shard.successor is None:
            return
        # The successor may be active from here on, so the epoch of this agent ends here.
        exported = self._outcomes.export(shard_id)
        del self._owned_shards[shard_id]
        self._released_epochs[shard_id] = owned_shard.epoch
        await self._grants.wait_until_revoked()
        release = Release(
            call=0,
            service=own_group_id.service,
            number=own_group_id.number,
            shard=shard_id,
            epoch=owned_shard.epoch,
            from_id=self._member_id,
            to_id=shard.successor,
            lineage=(*exported.lineage, owned_shard.epoch),
            next_sequence=exported.next_sequence,
            floor=exported.floor,
            outcomes=exported.outcomes,
        )
        await self._releases.send(
            release, lambda: self._released_epochs.get(shard_id) == owned_shard.epoch
        )
        if shard_id not in self._owned_shards:
            self._outcomes.end_epoch(shard_id)

    def _on_release(self, sender: str, message: Release) -> None:
        self._tasks.spawn("take", self._handle_release(sender, message))

    async def _handle_release(self, sender: str, message: Release) -> None:
        accepted = await self._accept_release(sender, message)
        self._peers.reply(sender, Released(message.call, accepted))

    async def _accept_release(self, sender: str, message: Release) -> bool:
        own_group_id = self._membership.own_group_id
        if (
            own_group_id != GroupId(message.service, message.number)
            or message.to_id != self._member_id
        ):
            return False
        owned_shard = self._owned_shards.get(message.shard)
        if owned_shard is not None and owned_shard.epoch == message.epoch + 1:
            return True
        shard = self._shard(message.shard)
        if shard is None or shard.epoch != message.epoch or shard.successor != self._member_id:
            if shard is None or shard.epoch <= message.epoch:
                await self._groups.update(own_group_id)
            return False
        if sender != message.from_id or shard.owner != sender or owned_shard is not None:
            return False
        new_shard = OwnedShard(message.epoch + 1, 0.0)
        self._owned_shards[message.shard] = new_shard
        self._outcomes.begin_epoch(
            message.shard, new_shard.epoch, message.lineage, message.floor, message.next_sequence
        )
        self._outcomes.import_outcomes(message.shard, message.outcomes)
        _TAKEN_OVER.emit(shard=message.shard, epoch=new_shard.epoch, source=sender)
        self._tasks.spawn("activate", self._activate({message.shard: new_shard}))
        self._handover_recorder.request()
        return True

    def _record_handovers(self, group: Group) -> Group | None:
        shards = list(group.shards)
        for shard_id, owned_shard in self._owned_shards.items():
            shard = shards[shard_id]
            if shard.successor == self._member_id and shard.epoch + 1 == owned_shard.epoch:
                shards[shard_id] = Shard(self._member_id, owned_shard.epoch)
        if tuple(shards) == group.shards:
            return None
        return replace(group, shards=tuple(shards))


def _is_released_to(shard: Shard, owned_shard: OwnedShard, member_id: str) -> bool:
    return shard.successor == member_id and owned_shard.epoch == shard.epoch + 1
