"""Edits of members that one member, the recorder, writes to the group object for many.

The object takes some ten conditional writes a second of members on slow links. After the end of
many agents most members renew their leases by writes, and many upstreams can leave at the same
moment. If each member wrote the object itself, nearly all writes would conflict.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, replace

from ..interfaces import Groups, Membership, Peers, Placement
from ..kernel import Clock, Kernel, Registry
from ..kernel.errors import FescuewardError
from ..kernel.retries import report_reading_failure
from ..messages import Group, GroupId, Member, MemberState, VersionedGroup
from ..messages.era import era_of
from ..messages.peer import MemberEdit, RecordAccepted, RecordOutcome, RecordRequest
from .departures import with_departure
from .recorders import Recorders, SecondReplies

# Shortest time between two writes of one recorder. A recorder on a fast link would otherwise write
# so often that all edits of agents on slower links conflict.
_WRITE_PERIOD_S = 0.25
# Time within which a recorder has to accept a request.
_ACCEPT_TIMEOUT_S = 0.25
# Time within which a recorder that has accepted a request has to write the edit. A member that
# wrote it itself instead would delay that write, and those for all others.
_WRITE_TIMEOUT_S = 1.5
# Candidates that are dialled before this agent writes its own edit.
_MAX_DIALLED = 3
# Recorders that are asked for one edit, one after the other.
_MAX_ASKED = 2


@dataclass(frozen=True, slots=True)
class _PendingEdit:
    """An edit that waits for the next write.

    Attributes:
        edit: The edit.
        era: Era of the group that the member knows.
        recorded: Set to whether the group object has the edit.
    """

    edit: MemberEdit
    era: int
    recorded: asyncio.Future[bool]

    def finish(self, written: VersionedGroup | None) -> None:
        """Sets the outcome, for which the caller may have stopped waiting."""
        if not self.recorded.done():
            has_edit = written is not None and _has_edit(written.group, self.edit, self.era)
            self.recorded.set_result(has_edit)


class EditRecorder:
    """The `recorder` service."""

    name = "recorder"
    requires = ("groups", "peers")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._recorders = Recorders()
        self._outcomes: SecondReplies[RecordOutcome] = SecondReplies()
        self._pending: list[_PendingEdit] = []
        self._writing = False
        self._next_write_at = 0.0

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._membership = registry.find("membership", Membership)
        self._placement = registry.find("placement", Placement)
        self._peers = registry.find("peers", Peers)
        self._recorders.bind(registry)
        self._peers.on(RecordRequest, self._on_request)
        self._peers.on(RecordOutcome, self._on_outcome)

    async def start(self) -> None:
        """Starts nothing: edits are written when there are any."""

    async def stop(self) -> None:
        """Cancels the tasks that write edits."""
        await self._tasks.cancel()

    async def record(self, edit: MemberEdit) -> bool | None:
        """Writes an edit of this agent through a recorder; see `Recorder.record`."""
        group_id = self._membership.own_group_id
        view = self._groups.view(group_id) if group_id is not None else None
        if view is None:
            return None
        for _ in range(_MAX_ASKED):
            recorder = self._reachable_recorder(view.group)
            if recorder is None:
                return None
            if recorder.id == self._membership.member_id:
                return await self._write_as_recorder(view, edit)
            call = self._peers.next_call()
            with self._outcomes.expect(call) as outcome, suppress(TimeoutError, FescuewardError):
                if await self._is_accepted(recorder, view, edit, call):
                    async with asyncio.timeout(_WRITE_TIMEOUT_S):
                        return (await outcome).recorded
            self._recorders.pass_over(recorder)
        return None

    async def _write_as_recorder(self, view: VersionedGroup, edit: MemberEdit) -> bool | None:
        try:
            async with asyncio.timeout(_WRITE_TIMEOUT_S):
                return await self._write(view.group.id, edit, era_of(view.version))
        except TimeoutError:
            return None

    async def _is_accepted(
        self, recorder: Member, view: VersionedGroup, edit: MemberEdit, call: int
    ) -> bool:
        group_id = view.group.id
        request = RecordRequest(
            call, group_id.service, group_id.number, era_of(view.version), edit
        )
        async with asyncio.timeout(_ACCEPT_TIMEOUT_S):
            reply = await self._peers.call(recorder, request, call)
        return isinstance(reply, RecordAccepted)

    def _reachable_recorder(self, group: Group) -> Member | None:
        """Returns the first recorder that is reachable, which may be this agent."""
        dialled = 0
        for candidate in self._recorders.candidates(group):
            if not candidate.records_edits:
                continue
            if candidate.id == self._membership.member_id or self._peers.dial(candidate):
                return candidate
            dialled += not self._peers.unreachable(candidate)
            if dialled == _MAX_DIALLED:
                break
        return None

    def _on_request(self, sender: str, message: RecordRequest) -> None:
        group_id = GroupId(message.service, message.number)
        if message.edit.member_id != sender or group_id != self._membership.own_group_id:
            self._peers.reply(sender, RecordOutcome(message.call, False))
            return
        self._peers.reply(sender, RecordAccepted(message.call))
        self._tasks.spawn("record", self._write_and_reply(group_id, message))

    async def _write_and_reply(self, group_id: GroupId, message: RecordRequest) -> None:
        recorded = await self._write(group_id, message.edit, message.era)
        self._peers.reply(message.edit.member_id, RecordOutcome(message.call, recorded))

    def _on_outcome(self, sender: str, message: RecordOutcome) -> None:
        self._outcomes.receive(message)

    async def _write(self, group_id: GroupId, edit: MemberEdit, era: int) -> bool:
        recorded: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingEdit(edit, era, recorded))
        if not self._writing:
            self._writing = True
            self._tasks.spawn("write", self._write_pending(group_id))
        return await recorded

    async def _write_pending(self, group_id: GroupId) -> None:
        try:
            while self._pending:
                if (wait_s := self._next_write_at - self._clock.now()) > 0:
                    await self._clock.sleep(wait_s)
                self._next_write_at = self._clock.now() + _WRITE_PERIOD_S
                edits, self._pending = tuple(self._pending), []
                # Edits that are queued together share one write.
                await asyncio.gather(*(self._write_edit(group_id, pending) for pending in edits))
        finally:
            self._writing = False

    async def _write_edit(self, group_id: GroupId, pending: _PendingEdit) -> None:
        """Writes one edit; if that fails, its member learns so and writes itself."""
        written: VersionedGroup | None = None
        try:
            written = await self._groups.edit(
                group_id, lambda group: self._with_edit(group, pending.edit, pending.era)
            )
        except FescuewardError:
            pass
        except Exception as error:  # an edit of another member must not end this agent
            report_reading_failure("recorder:write", error)
        pending.finish(written)

    def _with_edit(self, group: Group, edit: MemberEdit, era: int) -> Group | None:
        """Returns the group with an edit of a member, or None if it has the edit."""
        if _has_edit(group, edit, era):
            return None
        member = group.members.get(edit.member_id)
        if edit.instance:
            group = with_departure(group, edit.instance, edit.started_until_ms) or group
        if member is None:
            return group
        if edit.removed:
            return self._membership.fill_monitors(
                self._placement.assign(group, frozenset({member.id}))
            )
        if edit.leaves and member.state is MemberState.ACTIVE:
            group = self._placement.drain_member(group, member.id)
        # A member that does not know of a later era may have grants that the group lacks.
        if edit.stamp > member.stamp and group.era == era:
            group = group.with_member(replace(group.members[member.id], stamp=edit.stamp))
        return group


def _has_edit(group: Group, edit: MemberEdit, era: int) -> bool:
    """Returns whether a group has an edit."""
    member = group.members.get(edit.member_id)
    stamped = not edit.stamp or (
        member is not None and member.stamp == edit.stamp and group.era == era
    )
    departed = not edit.instance or (
        group.departures.get(edit.instance, -1) >= edit.started_until_ms
    )
    left = not edit.leaves or member is None or member.state is MemberState.LEAVING
    return stamped and departed and left and not (edit.removed and member is not None)
