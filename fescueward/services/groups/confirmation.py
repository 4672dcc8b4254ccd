"""Confirmation of groups after the store was restored from an older copy.

The copy lacks the last writes of the earlier era, which members still know. One member collects
the newest content that members know and writes it in the new era. Until then the copy is neither
cached nor edited.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from ...interfaces import Peers, Platform
from ...kernel import Clock, Event, Level, TaskOwner
from ...kernel.errors import (
    FescuewardError,
    ObjectNotFoundError,
    OutcomeUnknownError,
    PlatformAnswerError,
    PlatformUnavailableError,
    VersionConflictError,
)
from ...messages import Group, GroupId, Member, VersionedGroup
from ...messages.era import EPOCHS_PER_WRITE, epoch_after, era_of, to_version
from ...messages.peer import Fetch
from .watchers import WATCHER_COUNT

_CONFIRMED = Event(
    2207,
    "group_confirmed",
    Level.WARNING,
    "The store was restored from an older copy; this agent wrote the newest known group again.",
)
_CONFIRMATION_FAILED = Event(
    2208,
    "group_confirmation_failed",
    Level.WARNING,
    "A group of a restored store could not be confirmed yet.",
)

# Delay for each watcher before this one, which normally confirms first.
_WATCHER_TURN_S = 0.15
# Delay of an agent that does not watch, and the time over which these are spread.
_OTHERS_DELAY_S = 0.5
_OTHERS_SPREAD_S = 0.5
# Time for the replies of members with newer content. Without a version of its own an agent waits
# longer, because it first has to connect to the members.
_COLLECT_S = 0.2
_COLLECT_WITHOUT_VIEW_S = 1.0
# Time after which a request is sent again to members whose stream was not open.
_RESEND_S = 0.1
_MAX_ATTEMPTS = 8
_RETRY_S = 0.1
# Delay after the store has refused a confirmation with an unexpected status.
_REFUSED_RETRY_S = 10.0


class ConfirmationAccess(Protocol):
    """Cached versions, reads and writes that a confirmation is built on."""

    def view(self, group: GroupId) -> VersionedGroup | None:
        """Returns the cached version of a group, or None if none was received yet."""
        ...

    def observe(self, group: VersionedGroup) -> bool:
        """Caches a confirmed version if it is newer; returns whether it was cached."""
        ...

    async def read(self, group: GroupId) -> VersionedGroup:
        """Reads a group from the platform, confirmed or not.

        Raises:
            ObjectNotFoundError: The group does not exist.
            PlatformError: The platform could not be read.
        """
        ...

    async def write(self, base: VersionedGroup, group: Group) -> VersionedGroup:
        """Writes a group on condition that its version is that of `base`; see `Groups.write`."""
        ...

    async def wait_until_newer(self, group: GroupId, version: int, timeout_s: float) -> bool:
        """Waits for a version above `version`; see `Groups.wait_until_newer`."""
        ...


class GroupConfirmation:
    """Confirms groups; concurrent requests for a group share one attempt.

    Args:
        groups: Cached and stored groups.
        platform: The platform, which knows the era.
        peers: Streams to the members.
        tasks: Owner of the tasks that confirm.
        clock: Source of time.
        own_id: Returns the member id of this agent.
        preceding_watchers: Returns the number of watchers that confirm before this agent, or None
            if it does not watch.
    """

    def __init__(
        self,
        groups: ConfirmationAccess,
        platform: Platform,
        peers: Peers,
        tasks: TaskOwner,
        clock: Clock,
        own_id: Callable[[], str],
        preceding_watchers: Callable[[], int | None],
    ) -> None:
        self._groups = groups
        self._platform = platform
        self._peers = peers
        self._tasks = tasks
        self._clock = clock
        self._own_id = own_id
        self._preceding_watchers = preceding_watchers
        self._running: dict[GroupId, asyncio.Future[VersionedGroup]] = {}
        # Members that have sent a group or a reply since the last request to all of them.
        self._heard_ids: set[str] = set()

    def begin(self, group_id: GroupId) -> asyncio.Future[VersionedGroup]:
        """Starts a confirmation unless one is running; returns its result as a future."""
        result = self._running.get(group_id)
        if result is None:
            result = asyncio.get_running_loop().create_future()
            self._running[group_id] = result
            self._tasks.spawn(f"confirm {group_id}", self._run(group_id, result))
        return result

    def heard_from(self, member_id: str) -> None:
        """Records that a member is connected to this agent."""
        self._heard_ids.add(member_id)

    async def confirm(self, group_id: GroupId) -> VersionedGroup:
        """Returns a version of the group that is confirmed in the present era.

        Raises:
            ObjectNotFoundError: Neither the store nor a member knows the group.
            PlatformError: The platform could not be read or written.
        """
        return await asyncio.shield(self.begin(group_id))

    async def _run(self, group_id: GroupId, result: asyncio.Future[VersionedGroup]) -> None:
        try:
            confirmed = await self._confirm(group_id)
        except FescuewardError as error:
            _CONFIRMATION_FAILED.emit(group=group_id, era=self._platform.era, error=error)
            result.set_exception(error)
            # The error is logged, and a caller of `begin` need not read it.
            result.exception()
            if isinstance(error, PlatformAnswerError):
                # The watch does not list the store again for one group.
                self._tasks.spawn(f"confirm {group_id} again", self._begin_later(group_id))
        else:
            result.set_result(confirmed)
        finally:
            del self._running[group_id]
            result.cancel()

    async def _begin_later(self, group_id: GroupId) -> None:
        await self._clock.sleep(_REFUSED_RETRY_S)
        self.begin(group_id)

    async def _confirm(self, group_id: GroupId) -> VersionedGroup:
        confirmed = await self._wait_for_turn(group_id)
        if confirmed is not None:
            return confirmed
        for attempt in range(_MAX_ATTEMPTS):
            restored = await self._read(group_id)
            if restored is not None and restored.confirmed:
                self._groups.observe(restored)
                return self._groups.view(group_id) or restored
            newest = await self._collect(group_id, restored)
            if not attempt and self._is_isolated(newest):
                # Agents that reach the members have their turn first.
                await self._clock.sleep(_OTHERS_DELAY_S + _OTHERS_SPREAD_S)
                continue
            era = self._platform.era
            base_version = restored.version if restored is not None else 0
            view = self._groups.view(group_id)
            if view is not None and era_of(view.version) == era and view.version > base_version:
                return view
            content = _confirmed_content(newest, base_version or to_version(era, 1))
            try:
                written = await self._groups.write(VersionedGroup(base_version, newest), content)
            except (VersionConflictError, OutcomeUnknownError):
                # Another member has confirmed the group, or the next read shows this write.
                await self._clock.sleep(random.uniform(0, _RETRY_S))
                continue
            _CONFIRMED.emit(
                group=group_id, era=era, version=written.version, members=len(newest.members)
            )
            return written
        raise PlatformUnavailableError(f"group {group_id} was not confirmed in {era} yet")

    async def _wait_for_turn(self, group_id: GroupId) -> VersionedGroup | None:
        """Waits for the members that confirm before this one; returns their version, or None."""
        rank = self._preceding_watchers()
        if rank is None or rank >= WATCHER_COUNT:
            delay_s = _OTHERS_DELAY_S + random.uniform(0, _OTHERS_SPREAD_S)
        else:
            delay_s = rank * _WATCHER_TURN_S
        view = self._groups.view(group_id)
        known_version = view.version if view is not None else 0
        end = self._clock.now() + delay_s
        while (remaining_s := end - self._clock.now()) > 0:
            if not await self._groups.wait_until_newer(group_id, known_version, remaining_s):
                return None
            view = self._groups.view(group_id)
            assert view is not None
            if era_of(view.version) == self._platform.era:
                return view
            known_version = view.version
        return None

    async def _read(self, group_id: GroupId) -> VersionedGroup | None:
        try:
            return await self._groups.read(group_id)
        except ObjectNotFoundError:
            return None

    def _is_isolated(self, group: Group) -> bool:
        """Whether less than half of the other members have replied."""
        other_ids = group.members.keys() - {self._own_id()}
        return len(other_ids & self._heard_ids) * 2 < len(other_ids)

    async def _collect(self, group_id: GroupId, restored: VersionedGroup | None) -> Group:
        """Returns the newest content that members or the copy have.

        Raises:
            ObjectNotFoundError: There is none.
        """
        view = self._groups.view(group_id)
        known = [versioned for versioned in (view, restored) if versioned is not None]
        members: dict[str, Member] = {}
        for versioned in known:
            members |= versioned.group.members
        members.pop(self._own_id(), None)
        self._heard_ids.clear()
        known_version = view.version if view is not None else 0
        request = Fetch(group_id.service, group_id.number, known_version, confirming=True)
        missed = [member for member in members.values() if not self._peers.send(member, request)]
        await self._clock.sleep(_RESEND_S)
        for member in missed:
            self._peers.send(member, request)
        wait_s = _COLLECT_S if view is not None else _COLLECT_WITHOUT_VIEW_S
        await self._clock.sleep(wait_s if members else 0)
        latest = self._groups.view(group_id)
        known = [versioned for versioned in (latest, restored) if versioned is not None]
        if not known:
            raise ObjectNotFoundError(f"no member knows group {group_id}")
        return max(known, key=_content_order).group


def _content_order(versioned: VersionedGroup) -> tuple[int, int, bool]:
    # The version does not order contents: a late write of an earlier era gets a revision of the
    # present one.
    return (versioned.group.era, versioned.group.written_on, versioned.confirmed)


def _confirmed_content(newest: Group, base_version: int) -> Group:
    """Returns the content with epochs above all that were given before, by lost writes too.

    Ranges with different epochs keep different ones, so that a range without a grant is not merged
    with one that has a grant.
    """
    first_epoch = epoch_after(base_version)
    epochs = sorted({key_range.epoch for key_range in newest.ranges})
    ranks = {epoch: min(rank, EPOCHS_PER_WRITE // 2) for rank, epoch in enumerate(epochs)}
    ranges = tuple(
        replace(key_range, epoch=first_epoch + ranks[key_range.epoch])
        for key_range in newest.ranges
    )
    fence = first_epoch + max(ranks.values(), default=0)
    return replace(newest, ranges=ranges, fence=fence, recovering=first_epoch)
