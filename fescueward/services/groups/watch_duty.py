"""Whether this agent watches the platform, and the statuses that watchers send."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ...interfaces import Membership, Peers
from ...kernel import Clock
from ...messages import Member, VersionedGroup
from ...messages.peer import Versions, WatchStatus
from .watchers import (
    DEPUTY_STATUS_TIMEOUT_S,
    STATUS_TIMEOUT_S,
    WATCHER_COUNT,
    WatcherRoster,
)

_STATUS_PERIOD_S = DEPUTY_STATUS_TIMEOUT_S / 3
# Number of statuses of which one goes to all members and the rest to other watchers and deputies.
_STATUSES_PER_ROUND = round(STATUS_TIMEOUT_S / DEPUTY_STATUS_TIMEOUT_S)
# Members to which an agent sends its status during a platform outage. More than the monitors of a
# member, so that a restarted agent gets a status even if several others are restarted with it.
_OUTAGE_STATUS_RECIPIENTS = 4


class WatchDuty:
    """Decides from the statuses of the watchers whether this agent watches, and sends its own.

    Args:
        clock: Source of time.
        peers: Streams to the members.
        membership: Membership of this agent.
        own_view: Returns the cached version of this agent's group, or None.
        fleet_members: Returns all members of all groups, or None where each group has watchers of
            its own.
        versions: Returns the versions that this agent has.
    """

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        membership: Membership,
        own_view: Callable[[], VersionedGroup | None],
        fleet_members: Callable[[], Mapping[str, Member]] | None,
        versions: Callable[[], Versions],
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._membership = membership
        self._own_view = own_view
        self._fleet_members = fleet_members
        self._versions = versions
        self._roster = WatcherRoster()
        self._healthy = False
        # Members that the last status to all members went to.
        self._informed_ids: frozenset[str] = frozenset()

    @property
    def healthy(self) -> bool:
        """Whether the last watch call of this agent succeeded."""
        return self._healthy

    @property
    def watching(self) -> bool:
        """Whether this agent is a watcher and its last watch call succeeded."""
        return self._healthy and self.is_watcher()

    @property
    def rank(self) -> int:
        """Number of known watchers whose member id is lower than this agent's."""
        view = self._own_view()
        own_id = self._membership.member_id
        if view is None or own_id not in view.group.members:
            return 0
        watchers = self.watchers()
        if all(member.id != own_id for member in watchers):
            # This agent's turn has not come, or its own watch failed a moment ago.
            return WATCHER_COUNT
        return sum(member.id < own_id for member in watchers)

    def is_watcher(self) -> bool:
        """Whether this agent is one of the watchers, or has not joined a group yet."""
        return self.rank < WATCHER_COUNT

    def is_first_watcher(self) -> bool:
        """Whether this agent is the watcher that publishes groups to the fleet."""
        # An agent that has not joined watches for itself but does not publish. When a fleet
        # starts, all agents watch, and publishing from each to all would grow with its square.
        return self._membership.own_member() is not None and self.rank == 0

    def watchers(self) -> tuple[Member, ...]:
        """Returns the members that are believed to watch the platform, by member id."""
        view = self._own_view()
        if view is None:
            return ()
        members = self._members(view)
        return self._roster.watchers(members, self._membership.member_id, self._clock.now())

    def expect_statuses(self) -> None:
        """Takes the first members for watchers until they had time to send a status."""
        self._roster.expect_statuses(self._clock.now())

    def record_status(self, status: WatchStatus) -> None:
        """Records the status that a member has sent of itself, if that member watches."""
        if not status.timeout_ms:
            return
        self._roster.record_status(
            status.member_id, status.healthy, self._clock.now(), status.timeout_ms / 1000
        )

    def record_call(self, healthy: bool) -> None:
        """Records the result of a watch call and tells the fleet when it differs from the last."""
        own_id = self._membership.member_id
        self._roster.record_status(own_id, healthy, self._clock.now())
        changed = healthy != self._healthy
        self._healthy = healthy
        if changed and self._fleet_members and self._membership.own_member() is not None:
            # The next watcher starts at once instead of after the missing statuses.
            status = self._own_status()
            for member_id in self._fleet_members():
                if member_id != own_id:
                    self._peers.reply(member_id, status)

    def end(self) -> None:
        """Records that this agent makes no watch calls now."""
        self._healthy = False

    async def run_statuses(self) -> None:
        """Sends the status of this agent while it watches or no watcher does."""
        while True:
            deputies = self._send_to_all()
            await self._clock.sleep(_STATUS_PERIOD_S)
            for _ in range(_STATUSES_PER_ROUND - 1):
                if deputies and self.watching:
                    self.send_status(deputies, self._own_status(DEPUTY_STATUS_TIMEOUT_S))
                    self._send_to_new_members()
                await self._clock.sleep(_STATUS_PERIOD_S)

    def _send_to_new_members(self) -> None:
        """Sends a status to members that have joined in this round; the first may open a stream.

        Without a status they would not notice the silence of this watcher.
        """
        view = self._own_view()
        if view is None:
            return
        members = self._members(view)
        joined = {id_: members[id_] for id_ in members.keys() - self._informed_ids}
        if not joined:
            return
        deputies = self._roster.deputies(members, self._membership.member_id, self._clock.now())
        new_deputies = {member.id: member for member in deputies if member.id in joined}
        others = {id_: member for id_, member in joined.items() if id_ not in new_deputies}
        self.send_status(new_deputies, self._own_status(DEPUTY_STATUS_TIMEOUT_S))
        self.send_status(others, self._own_status())

    def _send_to_all(self) -> dict[str, Member]:
        """Sends a status to all members, or to few of them while no member watches.

        Returns:
            The other watchers and the deputies, which get further statuses in this round. Only a
            status to all changes them, so that none waits for a status that goes to another one.
        """
        view = self._own_view()
        if view is None:
            return {}
        members = self._members(view)
        if not self.watching:
            has_watcher = self._roster.has_healthy_watcher(members, self._clock.now())
            if self._fleet_members and not has_watcher:
                self.send_status(self.outage_status_recipients(members), self._own_status(0.0))
            return {}
        own_id, now = self._membership.member_id, self._clock.now()
        deputies = {
            member.id: member
            for member in (*self.watchers(), *self._roster.deputies(members, own_id, now))
        }
        others = {id_: member for id_, member in members.items() if id_ not in deputies}
        self._informed_ids = frozenset(members)
        self.send_status(deputies, self._own_status(DEPUTY_STATUS_TIMEOUT_S))
        self.send_status(others, self._own_status())
        return deputies

    def send_status(self, members: Mapping[str, Member], status: WatchStatus) -> None:
        """Sends a status to members, in a fleet also to their unknown incarnations."""
        own_id = self._membership.member_id
        for member in members.values():
            if member.id == own_id or self._peers.send(member, status) or not self._fleet_members:
                continue
            if self._peers.unreachable(member):
                # An agent that was restarted while the platform is unavailable has an unknown
                # incarnation. The status at its address lets it fetch from this agent.
                self._peers.send(member.any_incarnation(), status)

    def outage_status_recipients(self, members: Mapping[str, Member]) -> dict[str, Member]:
        """Returns the members that get this agent's status while its platform watch fails.

        While the platform is unavailable to all agents, no watcher updates agents that were
        restarted. Each agent then sends its status to the agents before it in the order of names,
        whether it was itself restarted or not, so that a large fleet does not connect to one
        agent at once.
        """
        own_name = self._membership.member_id.rpartition(":")[0]
        names = sorted({member.name for member in members.values()} | {own_name})
        own_index = names.index(own_name)
        recipient_names = {
            names[own_index - offset]
            for offset in range(1, min(_OUTAGE_STATUS_RECIPIENTS, len(names) - 1) + 1)
        }
        return {member.id: member for member in members.values() if member.name in recipient_names}

    def _members(self, view: VersionedGroup) -> Mapping[str, Member]:
        return self._fleet_members() if self._fleet_members else view.group.members

    def _own_status(self, timeout_s: float = STATUS_TIMEOUT_S) -> WatchStatus:
        return WatchStatus(
            self._membership.member_id, self._healthy, self._versions(), round(timeout_s * 1000)
        )
