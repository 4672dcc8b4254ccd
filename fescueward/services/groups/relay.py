"""Propagation of new versions: the writer sends to watchers, a watcher to the fleet.

A watcher sends each version to the members of its own failure domain and to one relay in each of
the others, which passes it on there. Traffic between failure domains then grows with their number
instead of the number of members. A member that a lost relay leaves out fetches the version from
the watcher, whose status names it every second.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from ...interfaces import Peers
from ...kernel import Clock, Event, Level, TaskOwner
from ...messages import GroupId, Member, VersionedGroup
from ...messages.configuration import VersionedConfiguration
from ...messages.delta import configuration_delta, group_delta
from ...messages.frames import is_sendable
from ...messages.peer import Publish

_NOT_SENT = Event(
    2209,
    "objects_not_sent",
    Level.WARNING,
    "Objects are too large for a message; the receivers read them from the platform.",
)

# Versions of a group within this period are combined into one message per member. While a fleet
# starts, some dozens of versions per second are written, and each is sent to all members.
_BATCH_PERIOD_S = 0.05
# Time after which a message is sent again to members whose stream was not open yet.
_RESEND_DELAY_S = 0.1
# A failure domain with fewer members gets each message directly: a relay would save nothing.
_MIN_RELAYED_MEMBERS = 2

MembersById = Callable[[], dict[str, Member]]


class GroupRelay:
    """Publishes new group versions to the members of a fleet over few streams.

    A writer publishes to the watchers only, so that other members need no streams to each other;
    the first watcher publishes to all members.

    Args:
        tasks: Owner of the task that sends the combined versions.
        clock: Source of time.
        peers: Streams to the members.
        other_members: Returns the other members by id.
        failure_domain: Failure domain of this agent.
    """

    def __init__(
        self,
        tasks: TaskOwner,
        clock: Clock,
        peers: Peers,
        other_members: MembersById,
        failure_domain: str,
    ) -> None:
        self._tasks = tasks
        self._clock = clock
        self._peers = peers
        self._other_members = other_members
        self._failure_domain = failure_domain
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
        message = sendable(build_publish(base, written))
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
        for base, newest in pending.values():
            self.broadcast(build_publish(base, newest), 0)

    def broadcast(self, message: Publish, watcher_rank: int) -> None:
        """Sends a message to all members, through relays in the other failure domains.

        Args:
            message: The message.
            watcher_rank: Number of watchers before this one, which use other relays where there
                are several.
        """
        message = sendable(message)
        relayed = replace(message, relay=True)
        direct: list[Member] = []
        for domain, members in self._members_by_domain().items():
            if domain == self._failure_domain or len(members) < _MIN_RELAYED_MEMBERS:
                direct += members
                continue
            first = watcher_rank % len(members)
            relays = members[first:] + members[:first]
            if not any(self._peers.send(relay, relayed) for relay in relays):
                direct += members
        self._send_directly(direct, message)

    def pass_on(self, sender: str, message: Publish) -> None:
        """Sends a message that was received as a relay to the members of the failure domain."""
        neighbours = self._members_by_domain().get(self._failure_domain, [])
        recipients = [member for member in neighbours if member.id != sender]
        self._send_directly(recipients, replace(message, relay=False))

    def _members_by_domain(self) -> dict[str, list[Member]]:
        members_by_domain: dict[str, list[Member]] = {}
        for _, member in sorted(self._other_members().items()):
            members_by_domain.setdefault(member.failure_domain, []).append(member)
        return members_by_domain

    def _send_directly(self, members: list[Member], message: Publish) -> None:
        missed = [member for member in members if not self._peers.send(member, message)]
        if missed:
            self._tasks.spawn("resend", self._send_again(missed, message))

    async def _send_again(self, members: list[Member], message: Publish) -> None:
        await self._clock.sleep(_RESEND_DELAY_S)
        for member in members:
            self._peers.send(member, message)


def sendable(message: Publish) -> Publish:
    """Returns a message, or one that names its objects if it is too large to be sent."""
    if is_sendable(message):
        return message
    _NOT_SENT.emit(keys=",".join(message.object_keys))
    return Publish(relay=message.relay, unsent=message.object_keys)


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
