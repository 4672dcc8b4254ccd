"""Propagation of new group versions: the writer sends to watchers, a watcher to the fleet."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ...interfaces import Peers
from ...kernel import Clock, TaskOwner
from ...messages import GroupId, Member, VersionedGroup
from ...messages.configuration import VersionedConfiguration
from ...messages.delta import configuration_delta, group_delta
from ...messages.peer import Publish

# Versions of a group within this period are combined into one message per member. While a fleet
# starts, some dozens of versions per second are written, and each is sent to all members.
_BATCH_PERIOD_S = 0.05

MembersById = Callable[[], dict[str, Member]]


class GroupRelay:
    """Publishes new group versions to the members of a fleet over few streams.

    Watchers have streams to all members anyway. A writer publishes to the watchers only, so that
    other members need no streams to each other; the first watcher publishes to all members.

    Args:
        tasks: Owner of the task that sends the combined versions.
        clock: Source of time.
        peers: Streams to the members.
        other_members: Returns the other members by id.
    """

    def __init__(
        self, tasks: TaskOwner, clock: Clock, peers: Peers, other_members: MembersById
    ) -> None:
        self._tasks = tasks
        self._clock = clock
        self._peers = peers
        self._other_members = other_members
        self._sent_at = 0.0
        # By group: the version last published to the fleet, or None, and the newest version.
        self._pending: dict[GroupId, tuple[VersionedGroup | None, VersionedGroup]] = {}

    def publish_to_watchers(
        self, watchers: Iterable[Member], base: VersionedGroup, written: VersionedGroup
    ) -> None:
        """Publishes a group version that this agent has written to the watchers.

        A removal of members concerns every member, and an unreachable or missing watcher
        relays nothing. In these cases the version also goes to all members with an open stream.
        """
        message = build_publish(base, written)
        sent = {watcher.id: self._peers.send(watcher, message) for watcher in watchers}
        removed = base.group.members.keys() - written.group.members.keys()
        if removed or not sent or not all(sent.values()):
            for member_id in self._other_members():
                if not sent.get(member_id):
                    self._peers.reply(member_id, message)

    def publish_to_fleet(self, base: VersionedGroup | None, newest: VersionedGroup) -> None:
        """Publishes a version to all members, combined with versions that follow shortly.

        Args:
            base: The previously cached version, or None.
            newest: The new version.
        """
        group_id = newest.group.id
        if group_id in self._pending:
            base = self._pending[group_id][0]
        scheduled = bool(self._pending)
        self._pending[group_id] = (base, newest)
        if not scheduled:
            self._tasks.spawn("relay", self._send_pending())

    async def _send_pending(self) -> None:
        await self._clock.sleep(max(self._sent_at + _BATCH_PERIOD_S - self._clock.now(), 0.0))
        pending, self._pending = self._pending, {}
        self._sent_at = self._clock.now()
        members = tuple(self._other_members().values())
        for base, newest in pending.values():
            message = build_publish(base, newest)
            for member in members:
                self._peers.send(member, message)


def build_publish(base: VersionedGroup | None, newer: VersionedGroup) -> Publish:
    """Returns the message with a newer group version for agents that have cached `base`.

    It has the whole group if `base` is None or no delta can be made.
    """
    delta = group_delta(base, newer) if base is not None else None
    return Publish(deltas=(delta,)) if delta is not None else Publish(groups=(newer,))


def build_configuration_publish(
    base: VersionedConfiguration | None, newer: VersionedConfiguration
) -> Publish:
    """Returns the message with a newer configuration for agents that have cached `base`.

    It has the whole configuration if `base` is None or no delta can be made.
    """
    delta = configuration_delta(base, newer) if base is not None else None
    if delta is None:
        return Publish(configuration=newer)
    return Publish(configuration_delta=delta)
