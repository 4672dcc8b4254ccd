"""Way of new group versions through the fleet: from their writer to a watcher, and on to all."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ...interfaces import Peers
from ...kernel import Clock, TaskOwner
from ...messages import GroupId, Member, VersionedGroup
from ...messages.configuration import VersionedConfiguration
from ...messages.delta import configuration_delta, group_delta
from ...messages.peer import Publish

# Versions that follow within this time, in seconds, leave in one message to each member. A start
# writes some dozens of versions in a second, and each of them goes to the whole fleet.
_RELAY_PERIOD_S = 0.05

Fleet = Callable[[], dict[str, Member]]


class GroupRelay:
    """Tells the members of a fleet of new versions on few streams.

    A watcher has streams to all members anyway. A writer tells the watchers, so that the other
    members need no streams to each other; what the first watcher learns it sends to all.

    Args:
        tasks: Owner of the tasks.
        clock: Source of time.
        peers: Streams to the members.
        fleet: Returns the other members by id.
    """

    def __init__(self, tasks: TaskOwner, clock: Clock, peers: Peers, fleet: Fleet) -> None:
        self._tasks = tasks
        self._clock = clock
        self._peers = peers
        self._fleet = fleet
        self._sent_at = 0.0
        # The versions that the fleet has, of groups with newer ones, and the newest ones.
        self._waiting: dict[GroupId, tuple[VersionedGroup | None, VersionedGroup]] = {}

    def tell_watchers(
        self, watchers: Iterable[Member], base: VersionedGroup, written: VersionedGroup
    ) -> None:
        """Tells the watchers of a write of this agent.

        Members that are removed concern all others, and a watcher that is lost brings nothing on,
        so in these cases all members are told that a stream is open to.
        """
        message = publication(base, written)
        sent = {watcher.id: self._peers.send(watcher, message) for watcher in watchers}
        removed = base.group.members.keys() - written.group.members.keys()
        if removed or not sent or not all(sent.values()):
            for member_id in self._fleet():
                if not sent.get(member_id):
                    self._peers.reply(member_id, message)

    def tell_fleet(self, base: VersionedGroup | None, newest: VersionedGroup) -> None:
        """Tells all members of a version, together with others that follow soon.

        Args:
            base: Version that was held before, or None.
            newest: The version.
        """
        group_id = newest.group.id
        if group_id in self._waiting:
            base = self._waiting[group_id][0]
        scheduled = bool(self._waiting)
        self._waiting[group_id] = (base, newest)
        if not scheduled:
            self._tasks.spawn("relay", self._send_later())

    async def _send_later(self) -> None:
        await self._clock.sleep(max(self._sent_at + _RELAY_PERIOD_S - self._clock.now(), 0.0))
        waiting, self._waiting = self._waiting, {}
        self._sent_at = self._clock.now()
        members = tuple(self._fleet().values())
        for base, newest in waiting.values():
            message = publication(base, newest)
            for member in members:
                self._peers.send(member, message)


def publication(base: VersionedGroup | None, newer: VersionedGroup) -> Publish:
    """Returns what tells a newer version to agents that hold `base`."""
    delta = group_delta(base, newer) if base is not None else None
    return Publish(deltas=(delta,)) if delta is not None else Publish(groups=(newer,))


def configuration_publication(
    base: VersionedConfiguration | None, newer: VersionedConfiguration
) -> Publish:
    """Returns what tells a newer configuration to agents that hold `base`."""
    delta = configuration_delta(base, newer) if base is not None else None
    if delta is None:
        return Publish(configuration=newer)
    return Publish(configuration_delta=delta)
