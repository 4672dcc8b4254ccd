"""Joins of a group: one member records those of all agents that start together."""

from __future__ import annotations

from dataclasses import replace

from ..interfaces import Groups, Membership, Peers, Placement
from ..kernel import Clock, Event, Level, Registry, TaskOwner
from ..kernel.errors import (
    FescuewardError,
    PeerTimeoutError,
    PlatformError,
    PlatformUnavailableError,
)
from ..kernel.settings import Settings
from ..messages import Group, GroupId, Member, Shard, VersionedGroup
from ..messages.peer import JoinReply, JoinRequest
from .keyspace.moves import inherit
from .ring import fill_monitors

_JOINS_RECORDED = Event(
    2412, "joins_recorded", Level.INFO, "Agents that asked for it are members of the group."
)
_JOINS_NOT_RECORDED = Event(
    2413, "joins_not_recorded", Level.WARNING, "A write for agents that asked to join failed."
)

# Time in which a member collects joins for one write, in seconds. Each version of a group goes to
# all agents, and the processes of a fleet start within some tenths of a second.
_COLLECT_S = 0.1


class JoinRecords:
    """Records the join of this agent, and those of agents that ask it.

    Args:
        tasks: Owner of the task that records joins for others.
    """

    def __init__(self, tasks: TaskOwner) -> None:
        self._tasks = tasks
        # Agents whose joins the next write records.
        self._asked: list[JoinRequest] = []
        self._recording = False

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        settings = registry.find("settings", Settings)
        self._name = settings.agent.name
        self._lease_s = settings.lease.lease_ms / 1000
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._membership = registry.find("membership", Membership)
        self._peers = registry.find("peers", Peers)
        self._placement = registry.find("placement", Placement)
        self._peers.on(JoinRequest, self._on_join_request)
        self._peers.on(JoinReply, self._on_join_reply)

    async def record(self, home: GroupId, member: Member, alone: bool) -> VersionedGroup:
        """Returns the group with this agent, recorded by a member or, without one, by itself.

        Many agents start at a time. One writer for all of them needs few writes, while agents
        that all write for themselves make each other's writes fail.

        Args:
            home: The group.
            member: This agent in it.
            alone: Whether no other member is asked.

        Raises:
            PlatformError: The platform did not answer.
            PeerError: The member that was asked did not answer.
        """

        def add(group: Group) -> Group | None:
            return self.with_members(group, (member,))

        def add_first(group: Group) -> Group | None:
            return None if self._recorder(group) is not None else add(group)

        found = await self._groups.edit(home, add if alone else add_first)
        recorder = self._recorder(found.group)
        if member.id in found.group.members or recorder is None:
            return found
        call = self._peers.next_call()
        request = JoinRequest(call, home.service, home.number, member)
        until = self._clock.now() + self._lease_s
        try:
            reply = await self._peers.call(recorder, request, call)
        except PeerTimeoutError:
            if await self._recorded_late(home, member.id, until):
                return self._groups.view(home) or found
            raise
        if isinstance(reply, JoinReply) and reply.group is not None:
            self._groups.observe(reply.group)
            if member.id in reply.group.group.members:
                return reply.group
        return await self._groups.edit(home, add)

    async def _recorded_late(self, home: GroupId, member_id: str, until: float) -> bool:
        """Waits for a recorder that is busy; one that is silent for a lease is as good as lost."""
        while True:
            view = self._groups.view(home)
            if view is not None and member_id in view.group.members:
                return True
            version = view.version if view is not None else 0
            if not await self._groups.changed(home, version, until - self._clock.now()):
                return False

    def _on_join_reply(self, sender: str, message: JoinReply) -> None:
        """Takes the group of a reply that comes after the call has timed out."""
        if message.group is not None:
            self._groups.observe(message.group)

    def _recorder(self, group: Group) -> Member | None:
        """Returns the member that records joins, or None if this agent has to."""
        others = {
            member_id: other
            for member_id, other in group.members.items()
            if other.name != self._name
        }
        return self._placement.planner(replace(group, members=others))

    def _on_join_request(self, sender: str, message: JoinRequest) -> None:
        home = GroupId(message.service, message.number)
        me = self._membership.own_member()
        here = home == self._membership.home and me is not None and not self._membership.leaving
        if not here or sender != message.member.id:
            self._peers.reply(sender, JoinReply(message.call))
            return
        self._asked.append(message)
        if not self._recording:
            self._recording = True
            self._tasks.spawn("record-joins", self._record_joins(home))

    async def _record_joins(self, home: GroupId) -> None:
        # What comes while a write is on its way goes into the next one.
        while self._asked:
            await self._clock.sleep(_COLLECT_S)
            requests, self._asked = tuple(self._asked), []
            members = tuple(request.member for request in requests)
            written: VersionedGroup | None = None
            try:
                written = await self._groups.edit(
                    home, lambda group, members=members: self._with_asking(group, members)
                )
            except FescuewardError as error:
                _JOINS_NOT_RECORDED.emit(group=home, members=len(members), error=error)
                if isinstance(error, PlatformError) and not isinstance(
                    error, PlatformUnavailableError
                ):
                    # The write may still take effect, so nobody is told that it was not made.
                    continue
            else:
                _JOINS_RECORDED.emit(group=home, version=written.version, members=len(members))
            for request in requests:
                self._peers.reply(request.member.id, JoinReply(request.call, written))
        self._recording = False

    def _with_asking(self, group: Group, joining: tuple[Member, ...]) -> Group | None:
        """Returns the group with agents that asked, but for those that have joined as newer."""
        present = tuple(
            member
            for member in joining
            if not any(
                other.incarnation > member.incarnation for other in _same_process(group, member)
            )
        )
        return self.with_members(group, present)

    def with_members(self, group: Group, joining: tuple[Member, ...]) -> Group | None:
        """Returns the group with new members, or None if they are in it already."""
        added: dict[str, Member] = {}
        replaced: set[str] = set()
        for member in joining:
            if member.id in group.members or member.id in added:
                continue
            # The old process of this boot is dead: the new one holds its port.
            old = frozenset(other.id for other in _same_process(group, member))
            group = inherit(group, old, member.id)
            replaced |= old
            added[member.id] = member
        if not added:
            return None
        shards = group.shards or (Shard(),) * group.shard_count
        group = replace(group, shards=shards, members={**group.members, **added})
        return fill_monitors(self._placement.assign(group, frozenset(replaced)))


def _same_process(group: Group, member: Member) -> tuple[Member, ...]:
    """Returns the members of the same name and boot, of which only the newest can run."""
    return tuple(
        other
        for other in group.members.values()
        if other.name == member.name and other.boot_id == member.boot_id
    )
