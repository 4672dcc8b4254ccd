"""The kinds of objects that the watchers of a fleet read."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ...interfaces import EvacuationState, Membership
from ...interfaces.platform import Changes, StoredObject
from ...kernel.errors import PlatformUnavailableError
from ...messages import GroupId, VersionedGroup
from ...messages.configuration import CONFIGURATION_KEY
from ...messages.era import era_of
from ...messages.evacuations import EVACUATIONS_PREFIX
from ...messages.peer import Publish
from .confirmation import GroupConfirmation
from .relay import GroupRelay
from .watch_duty import WatchDuty

GROUPS_PREFIX = "groups/"

# Pauses between two watch calls. Changes come in bursts, and each response costs a platform call.
_WATCH_PAUSE_S = 0.05
# Writers publish groups to the watchers themselves, so the watch only finds what was lost.
_GROUPS_WATCH_PAUSE_S = 0.5
# Pause of an agent that has not joined: all agents may start at the same time and join one after
# the other.
_WATCH_START_PAUSE_S = 1.0


def operator_pause_s(membership: Membership) -> float:
    """Returns the pause between two watch calls for objects that the operator writes."""
    return _WATCH_START_PAUSE_S if membership.own_member() is None else _WATCH_PAUSE_S


class ConfigurationObject:
    """The configuration as `WatchedObjects`.

    Args:
        membership: Membership of this agent.
        observe: Called with the changed object.
    """

    prefix = CONFIGURATION_KEY

    def __init__(self, membership: Membership, observe: Callable[[StoredObject], object]) -> None:
        self._membership = membership
        self._observe = observe

    @property
    def pause_s(self) -> float:
        """Pause between two watch calls, in seconds."""
        return operator_pause_s(self._membership)

    def is_left_to_watchers(self) -> bool:
        """Returns True: readiness depends on the configuration itself."""
        return True

    async def apply(self, changes: Changes) -> bool:
        """Applies the changed object; see `WatchedObjects.apply`."""
        for stored in changes.objects:
            self._observe(stored)
        return True


class GroupObjects:
    """All groups as `WatchedObjects`.

    Args:
        membership: Membership of this agent.
        observe: Called with a changed object; returns the id of a group to confirm, or None.
        confirmation: Confirms groups after the store was restored.
        views: Returns the cached groups.
    """

    prefix = GROUPS_PREFIX

    def __init__(
        self,
        membership: Membership,
        observe: Callable[[StoredObject], GroupId | None],
        confirmation: GroupConfirmation,
        views: Callable[[], tuple[VersionedGroup, ...]],
    ) -> None:
        self._membership = membership
        self._observe = observe
        self._confirmation = confirmation
        self._views = views
        self._loaded = False

    @property
    def loaded(self) -> bool:
        """Whether all groups have been read, or this agent gets them from the watchers."""
        return self._loaded

    @property
    def pause_s(self) -> float:
        """Pause between two watch calls, in seconds."""
        joined = self._membership.own_member() is not None
        return _GROUPS_WATCH_PAUSE_S if joined else _WATCH_START_PAUSE_S

    def mark_loaded(self) -> None:
        """Records that this agent has all groups."""
        self._loaded = True

    def is_left_to_watchers(self) -> bool:
        """Returns True: an agent that is no watcher is a member, so it knows other members."""
        self._loaded = True
        return True

    async def apply(self, changes: Changes) -> bool:
        """Applies changed groups and confirms those of an earlier era.

        Cached groups that the store has lost since are confirmed too.

        Returns:
            Whether the store could be read and written. A group that cannot be confirmed for
            another reason does not hold up the others.
        """
        unconfirmed_ids = [
            group_id
            for stored in changes.objects
            if (group_id := self._observe(stored)) is not None
        ]
        era = era_of(changes.revision)
        keys = {stored.key for stored in changes.objects}
        lost_ids = [
            view.group.id
            for view in self._views()
            if changes.complete
            and view.group.id.object_key not in keys
            and era_of(view.version) < era
        ]
        results = [
            self._confirmation.begin(group_id) for group_id in (*unconfirmed_ids, *lost_ids)
        ]
        if results:
            await asyncio.wait(results)
        confirmed = not any(
            result.cancelled() or isinstance(result.exception(), PlatformUnavailableError)
            for result in results
        )
        self._loaded = self._loaded or confirmed
        return confirmed


class EvacuationObjects:
    """The evacuations as `WatchedObjects`.

    Args:
        membership: Membership of this agent.
        evacuations: The known evacuations.
        relay: Publishes to the fleet.
        duty: Knows how many watchers publish before this agent.
    """

    prefix = EVACUATIONS_PREFIX

    def __init__(
        self,
        membership: Membership,
        evacuations: EvacuationState,
        relay: GroupRelay,
        duty: WatchDuty,
    ) -> None:
        self._membership = membership
        self._evacuations = evacuations
        self._relay = relay
        self._duty = duty

    @property
    def pause_s(self) -> float:
        """Pause between two watch calls, in seconds."""
        return operator_pause_s(self._membership)

    def is_left_to_watchers(self) -> bool:
        """Whether the evacuations are known; watchers of an earlier version do not read them."""
        return self._evacuations.known

    async def apply(self, changes: Changes) -> bool:
        """Applies changed evacuations and publishes them; see `WatchedObjects.apply`."""
        learned = self._evacuations.observe_changes(changes)
        if learned and self._membership.own_member() is not None:
            message = Publish(evacuations=self._evacuations.current)
            self._relay.broadcast(message, self._duty.rank)
        return True
