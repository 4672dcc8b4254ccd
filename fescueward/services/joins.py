"""Group joins: one member writes the joins of all agents that start at about the same time."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import replace

from ..interfaces import Groups, Lease, Membership, Peers, Placement
from ..kernel import Clock, Event, Level, Registry, TaskOwner
from ..kernel.errors import (
    FescuewardError,
    OutcomeUnknownError,
    OutdatedIncarnationError,
    PeerError,
    PeerTimeoutError,
    PeerUnavailableError,
    PlatformError,
    PlatformUnavailableError,
    UnwritableGroupError,
)
from ..kernel.retries import report_reading_failure
from ..kernel.settings import Settings
from ..messages import Group, GroupId, Member, Shard, VersionedGroup
from ..messages.peer import JoinReply, JoinRequest, RecordAccepted
from .keyspace.moves import with_transferred_ranges
from .peer_links import SEED_SUFFIX
from .recorders import Recorders, SecondReplies
from .ring import fill_monitors

_JOINS_RECORDED = Event(
    2412, "joins_recorded", Level.INFO, "Agents that requested a join are members of the group."
)
_JOINS_NOT_RECORDED = Event(
    2413,
    "joins_not_recorded",
    Level.WARNING,
    "The write that adds joining agents to the group failed.",
)

# Join requests that arrive within this time of each other share one write, because each version of
# a group is sent to all agents. The processes of a fleet start within some tenths of a second.
_JOIN_BATCH_S = 0.1
# Longest delay of the first request of a batch; short against the timeout of its call.
_MAX_JOIN_BATCH_S = 0.4
# Time within which a stream to a recorder has to open, and the pause between two looks. All agents
# of a fleet can start together, and connecting then takes some tenths of a second.
_RECORDER_DIAL_S = 1.6
_DIAL_CHECK_S = 0.02
# After each of these periods twice as many recorders are dialled, since the first may not return.
# The first recorder is preferred for the first period, so that most joins have the same one.
_MORE_RECORDERS_S = 0.4
_RECORDERS_DIALLED = 3
# Time within which a recorder that has accepted a join has to write it. A large group on a slow
# link takes several attempts, and more of them if the agents write their own joins meanwhile.
_RECORDED_WITHIN_S = 4.0
# Period in which an agent looks whether the stream to its recorder is still open.
_REPLY_CHECK_S = 0.1
# Time for which an agent tries to write its own join before it asks a recorder again. On a slow
# link it may never succeed while a member on a faster one writes.
_OWN_WRITE_S = 2.0
# Agents of earlier members that join in one write from which many have ended together.
_MIN_RESTARTED = 3


class JoinRecorder:
    """Writes joins to the group object, for this agent and for agents that request it.

    Args:
        tasks: Owner of the task that writes the joins of other agents.
    """

    def __init__(self, tasks: TaskOwner) -> None:
        self._tasks = tasks
        self._recorders = Recorders()
        # Senders and requests whose joins the next write records.
        self._pending_requests: list[tuple[str, JoinRequest]] = []
        self._replies: SecondReplies[JoinReply] = SecondReplies()
        self._recording = False

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        settings = registry.find("settings", Settings)
        self._name = settings.agent.name
        self._takeover_wait_ms = settings.lease.lease_ms + settings.lease.drift_margin_ms
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._lease = registry.find("lease", Lease)
        self._membership = registry.find("membership", Membership)
        self._peers = registry.find("peers", Peers)
        self._placement = registry.find("placement", Placement)
        self._recorders.bind(registry)
        self._peers.on(JoinRequest, self._on_join_request)
        self._peers.on(JoinReply, self._on_join_reply)

    async def record(
        self, own_group_id: GroupId, member: Member, write_directly: bool
    ) -> VersionedGroup:
        """Adds this agent to the group, through another member if there is one.

        Many agents start at the same time. One writer for all of them needs few writes, whereas
        the conditional writes of agents that each write their own join conflict.

        Args:
            own_group_id: Id of the group.
            member: Member record of this agent.
            write_directly: Whether this agent writes its join without a request to a member.

        Returns:
            A version of the group that contains the member.

        Raises:
            PlatformError: The platform did not respond.
            PeerError: The member that was sent the request did not respond.
            OutdatedIncarnationError: The group has a higher incarnation of this agent.
        """
        self._lease.start_from_join(member.id, self._clock.now())
        if write_directly:
            return await self._write_own_join(own_group_id, member)
        current = await self._groups.edit(
            own_group_id, lambda group: self._with_own_join(group, member, through_recorder=True)
        )
        recorders = self._candidates(current.group)
        if member.id in current.group.members or not recorders:
            return current
        recorder = await self._reachable_recorder(recorders)
        self._lease.start_from_join(member.id, self._clock.now())
        recorded = (
            None if recorder is None else await self._request_join(recorder, own_group_id, member)
        )
        return recorded or await self._write_own_join(own_group_id, member)

    async def _write_own_join(self, own_group_id: GroupId, member: Member) -> VersionedGroup:
        try:
            async with asyncio.timeout(_OWN_WRITE_S):
                return await self._groups.edit(
                    own_group_id,
                    lambda group: self._with_own_join(group, member, through_recorder=False),
                )
        except TimeoutError:
            raise OutcomeUnknownError("the join was not written in time") from None

    def _with_own_join(
        self, group: Group, member: Member, *, through_recorder: bool
    ) -> Group | None:
        """Returns the group with this agent, or None if it is a member or a recorder adds it.

        Raises:
            OutdatedIncarnationError: The group has a higher incarnation. Incarnations are times
                of day, which may have been set back; peers refuse the streams of the lower one.
        """
        newest = max(
            (other.incarnation for other in group.members.values() if other.name == self._name),
            default=0,
        )
        if newest > member.incarnation:
            raise OutdatedIncarnationError(
                f"the group has incarnation {newest} of {self._name!r}", newest=newest
            )
        if through_recorder and self._candidates(group):
            return None
        return self.with_members(group, (member,))

    async def _request_join(
        self, recorder: Member, own_group_id: GroupId, member: Member
    ) -> VersionedGroup | None:
        """Returns a version with the member, or None if the recorder does not add it.

        Raises:
            PeerError: The recorder did not respond, or has not written the join in time.
        """
        call = self._peers.next_call()
        request = JoinRequest(call, own_group_id.service, own_group_id.number, member)
        try:
            with self._replies.expect(call) as second_reply:
                reply = await self._peers.call(recorder, request, call)
                if isinstance(reply, RecordAccepted):
                    reply = await self._wait_for_write(recorder, request, second_reply)
        except PeerError:
            self._recorders.pass_over(recorder)
            raise
        if isinstance(reply, JoinReply) and reply.group is not None:
            self._groups.observe(reply.group)
            if member.id in reply.group.group.members:
                return reply.group
        self._recorders.pass_over(recorder)
        return None

    async def _wait_for_write(
        self, recorder: Member, request: JoinRequest, reply: asyncio.Future[JoinReply]
    ) -> JoinReply:
        """Returns the reply that a recorder sends after its write of an accepted join.

        Raises:
            PeerError: The stream has closed, or the recorder has not written the join in time.
        """
        group_id = GroupId(request.service, request.number)
        end = self._clock.now() + _RECORDED_WITHIN_S
        while not reply.done():
            view = self._groups.view(group_id)
            if view is not None and request.member.id in view.group.members:
                # Another member has sent the version.
                return JoinReply(request.call, view)
            if not self._peers.dial(recorder):
                raise PeerUnavailableError(f"the stream to {recorder.id} has closed")
            if self._clock.now() >= end:
                raise PeerTimeoutError(f"{recorder.id} did not write the join in time")
            await asyncio.wait((reply,), timeout=_REPLY_CHECK_S)
        return reply.result()

    def _on_join_reply(self, sender: str, message: JoinReply) -> None:
        """Stores the group of a reply that arrives after its call has ended."""
        if message.group is not None:
            self._groups.observe(message.group)
        self._replies.receive(message)

    def _candidates(self, group: Group) -> tuple[Member, ...]:
        """Returns the members that write joins, the first one that is reachable for all.

        It is empty if this agent writes its own: there is no member, or the first one is an
        earlier process of this agent. After the end of all agents all members are earlier
        processes, and the agent at the address of the first one writes.
        """
        planner = self._placement.planner(group)
        if planner is None or planner.name == self._name:
            return ()
        others = [other for other in self._recorders.candidates(group) if other.name != self._name]
        return tuple(sorted(others, key=lambda other: other.id != planner.id))

    async def _reachable_recorder(self, recorders: tuple[Member, ...]) -> Member | None:
        """Returns a recorder to which a stream opens, or None if none opens in time.

        Many agents that write their own joins hinder each other for seconds, so the time is long.
        """
        begun_at = self._clock.now()
        while (elapsed_s := self._clock.now() - begun_at) < _RECORDER_DIAL_S:
            periods = int(elapsed_s / _MORE_RECORDERS_S)
            dialled = recorders[: _RECORDERS_DIALLED << periods]
            open_streams = [self._open_stream(recorder) for recorder in dialled]
            for target in open_streams if periods else open_streams[:1]:
                if target is not None:
                    return target
            await self._clock.sleep(_DIAL_CHECK_S)
        return None

    def _open_stream(self, recorder: Member) -> Member | None:
        """Dials a recorder; returns the member id to which a stream is open, if any."""
        for target in (recorder, recorder.any_incarnation()):
            if self._peers.dial(target):
                return target
        return None

    def _on_join_request(self, sender: str, message: JoinRequest) -> None:
        group_id = GroupId(message.service, message.number)
        # An agent that has not joined itself knows the group as well as its members do.
        accepts_joins = (
            self._membership.own_group_id in (None, group_id) and not self._membership.leaving
        )
        if not accepts_joins or not is_sent_by(sender, message.member):
            self._peers.reply(sender, JoinReply(message.call))
            return
        if message.member.records_edits:
            self._peers.reply(sender, RecordAccepted(message.call))
        self._pending_requests.append((sender, message))
        if not self._recording:
            self._recording = True
            self._tasks.spawn("record-joins", self._record_joins(group_id))

    async def _record_joins(self, group_id: GroupId) -> None:
        # Requests that arrive while a write is in flight go into the next one.
        while self._pending_requests:
            await self._wait_for_batch()
            requests, self._pending_requests = tuple(self._pending_requests), []
            members = tuple(request.member for _, request in requests)
            written: VersionedGroup | None = None
            try:
                written = await self._groups.edit(
                    group_id,
                    lambda group, members=members: self._with_requested(group, members),
                    member_count=len(members),
                )
            except FescuewardError as error:
                _JOINS_NOT_RECORDED.emit(group=group_id, members=len(members), error=error)
                if isinstance(error, PlatformError) and not isinstance(
                    error, PlatformUnavailableError | UnwritableGroupError
                ):
                    # The write may still take effect, so no reply reports a failure.
                    continue
            except Exception as error:  # joins of others must not end this agent
                report_reading_failure("membership:record-joins", error)
            else:
                _JOINS_RECORDED.emit(group=group_id, version=written.version, members=len(members))
            for sender, request in requests:
                self._peers.reply(sender, JoinReply(request.call, written))
        self._recording = False

    async def _wait_for_batch(self) -> None:
        """Waits until no further request has arrived for a while, or for the longest delay."""
        end = self._clock.now() + _MAX_JOIN_BATCH_S
        count = 0
        while len(self._pending_requests) > count and self._clock.now() < end:
            count = len(self._pending_requests)
            await self._clock.sleep(_JOIN_BATCH_S)

    def _with_requested(self, group: Group, joining: tuple[Member, ...]) -> Group | None:
        """Adds the joining agents, except those that are members with a newer incarnation."""
        eligible = tuple(
            member
            for member in joining
            if not any(
                other.incarnation > member.incarnation for other in _same_process(group, member)
            )
        )
        return self.with_members(group, eligible)

    def with_members(self, group: Group, joining: tuple[Member, ...]) -> Group | None:
        """Returns the group with the joining members added, or None if it contains all of them."""
        added: dict[str, Member] = {}
        # New member ids by those of earlier processes.
        replacements: dict[str, str] = {}
        restarted_ids: set[str] = set()
        for member in joining:
            if member.id in group.members or member.id in added:
                continue
            # The old process of this boot has ended: the new one has bound its port.
            old_ids = frozenset(other.id for other in _same_process(group, member))
            group = with_transferred_ranges(group, old_ids, member.id)
            replacements.update(dict.fromkeys(old_ids, member.id))
            if old_ids:
                restarted_ids.add(member.id)
            added[member.id] = replace(member, restarted=bool(old_ids))
        if not added:
            return None
        shards = group.shards or (Shard(),) * group.shard_count
        group = replace(group, shards=shards, members={**group.members, **added})
        # If many agents ended together, other members may have ended as well. Without a monitor
        # that runs an agent renews its lease by writes of the group, which conflict with joins.
        preferred_ids = restarted_ids if len(restarted_ids) >= _MIN_RESTARTED else ()
        assigned = self._placement.assign(group, frozenset(replacements))
        assigned = _with_waits(group, assigned, replacements, self._takeover_wait_ms)
        return fill_monitors(assigned, preferred_ids)


def is_sent_by(sender: str, member: Member) -> bool:
    """Returns whether a stream belongs to a member's process, also one dialled by address."""
    return sender in (member.id, f"{member.name}{SEED_SUFFIX}:{member.incarnation}")


def _with_waits(
    before: Group, after: Group, replacements: Mapping[str, str], wait_ms: int
) -> Group:
    """Lets members wait before they activate shards of a process that has ended on another VM.

    Its upstream has grants, and may run requests under them, until the lease of the process ends.
    The next process on its VM need not wait, since its upstream is the same.
    """
    shards = tuple(
        replace(shard, hold_ms=max(shard.hold_ms, wait_ms))
        if old_shard.owner in replacements
        and shard.owner not in (None, replacements[old_shard.owner])
        else shard
        for old_shard, shard in zip(before.shards, after.shards, strict=True)
    )
    return replace(after, shards=shards)


def _same_process(group: Group, member: Member) -> tuple[Member, ...]:
    """Returns the members of the same name and boot, of which only the newest can run."""
    return tuple(
        other
        for other in group.members.values()
        if other.name == member.name and other.boot_id == member.boot_id
    )
