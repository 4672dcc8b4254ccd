"""Status of agents, services and single keys for operators."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from ..interfaces import (
    Catalogue,
    Groups,
    Lease,
    Membership,
    Monitor,
    Ownership,
    Peers,
    PlatformState,
    WatchState,
    WorkState,
)
from ..kernel import Clock, Event, Level, Registry
from ..kernel.errors import (
    MalformedMessageError,
    ObjectNotFoundError,
    PeerError,
    PlatformError,
)
from ..kernel.settings import Settings
from ..messages import GroupId, Member, Shard, VersionedEntry, VersionedGroup
from ..messages.codec import from_map, to_map
from ..messages.group import group_of
from ..messages.peer import StatusQuery, StatusReply
from ..messages.status import (
    AgentState,
    AgentStatus,
    Explanation,
    FleetStatus,
    OriginStatus,
    ServiceStatus,
)
from .explanations import explain_key
from .history import GroupHistories, ShardOrigin
from .problems import AgentResponses, GroupView, fleet_problems, service_status

_STATUS_UNANSWERED = Event(
    3701, "status_unanswered", Level.INFO, "An agent did not respond to a status query."
)

# Below the 3 s that operators accept for a response; a live peer replies within milliseconds.
_QUERY_TIMEOUT_S = 1.0
# Limits on the groups and agents of one status, which bound its cost in a large fleet.
_MAX_GROUPS = 64
_MAX_AGENTS = 256
# Limit on the entry versions in a reply, so that it fits into one frame.
_MAX_ENTRY_VERSIONS = 4_000


class FleetStatusReports:
    """The `status` service.

    Every agent can report on every service: it reads the group objects and queries the members.
    """

    name = "status"
    requires = ("catalogue", "groups", "peers", "membership", "lease", "monitor", "ownership")

    def __init__(self) -> None:
        self._histories = GroupHistories()
        self._started_at = 0.0

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses and registers for changes and queries."""
        self._clock = registry.find("clock", Clock)
        self._settings = registry.find("settings", Settings)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._groups = registry.find("groups", Groups)
        self._watch = registry.find("groups", WatchState)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        self._lease = registry.find("lease", Lease)
        self._monitor = registry.find("monitor", Monitor)
        self._ownership = registry.find("ownership", Ownership)
        self._work = registry.find("ownership", WorkState)
        self._platform = registry.find("platform", PlatformState)
        self._groups.subscribe(self)
        self._peers.on(StatusQuery, self._on_query)

    async def start(self) -> None:
        """Records the start time for the uptime."""
        self._started_at = self._clock.now()

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    def group_changed(self, group: VersionedGroup) -> None:
        """Records a new version of a group in its history."""
        self._histories.observe(group, self._clock.now())

    def agent(self) -> AgentStatus:
        """Returns the status of this agent."""
        now = self._clock.now()
        own_member = self._membership.own_member()
        own_group_id = self._membership.own_group_id
        view = self._groups.view(own_group_id) if own_group_id is not None else None
        shards = self._ownership.active()
        return AgentStatus(
            member_id=self._membership.member_id,
            failure_domain=self._settings.agent.failure_domain,
            group=str(own_group_id) if own_group_id is not None else "",
            state=self._agent_state(),
            uptime_s=round(now - self._started_at, 3),
            lease_held=self._lease.held,
            lease_remaining_s=round(max(self._lease.expires_at - now, 0.0), 3),
            monitors=own_member.monitors if own_member is not None else (),
            monitored_s={
                member: round(seconds, 3) for member, seconds in self._monitor.monitored().items()
            },
            shards=shards,
            origins=self._origins(own_group_id, shards, now),
            in_flight=self._work.in_flight,
            platform_unavailable_s=self._platform_unavailable_s(),
            watching=self._watch.watching,
            group_version=view.version if view is not None else 0,
            entry_versions=self._entry_versions(own_group_id),
            entry_versions_complete=len(self._catalogue.versions()) <= _MAX_ENTRY_VERSIONS,
        )

    async def fleet(self, service: str | None = None) -> FleetStatus:
        """Returns the status of one or all services; see `StatusReports.fleet`."""
        if service is None:
            entries = self._catalogue.entries()
        else:
            entries = (self._catalogue.entry(service),)
        views = await self._views(entries)
        responses = await self._query_agents(
            member for view in views if view.group for member in view.group.group.members.values()
        )
        now = self._clock.now()
        services: list[ServiceStatus] = []
        for entry in entries:
            service_views = tuple(view for view in views if view.id.service == entry.entry.service)
            services.append(service_status(entry, service_views, responses, self._histories, now))
        unavailable_s = self._platform_unavailable_s()
        return FleetStatus(
            told_by=self._membership.member_id,
            platform_unavailable_s=unavailable_s,
            agents_asked=len(responses.queried),
            agents_answered=len(responses.statuses),
            services=tuple(services),
            problems=fleet_problems(responses, unavailable_s),
        )

    async def explain(self, service: str, key: str) -> Explanation:
        """Returns where a key is placed, and why; see `StatusReports.explain`."""
        entry = self._catalogue.entry(service).entry
        view = await self._view(group_of(service, key, entry.groups))
        responses = AgentResponses(self._membership.member_id)
        if view.group is not None:
            shard_id = view.group.group.shard_of(key, entry.groups)
            shards = view.group.group.shards
            shard = shards[shard_id] if shard_id < len(shards) else Shard()
            members = view.group.group.members
            owner_ids = {shard.owner, shard.successor}
            responses = await self._query_agents(
                member for member in members.values() if member.id in owner_ids
            )
        return explain_key(entry, key, view, responses, self._membership.member_id)

    def _agent_state(self) -> AgentState:
        if self._membership.leaving:
            return AgentState.LEAVING
        if self._membership.announcement is None:
            return AgentState.WAITING
        return (
            AgentState.ACTIVE if self._membership.own_member() is not None else AgentState.JOINING
        )

    def _platform_unavailable_s(self) -> float | None:
        since = self._platform.unavailable_since
        return round(self._clock.now() - since, 3) if since is not None else None

    def _entry_versions(self, own_group_id: GroupId | None) -> dict[str, int]:
        versions = self._catalogue.versions()
        if len(versions) <= _MAX_ENTRY_VERSIONS:
            return versions
        # In a larger catalogue an agent reports only the entry of the service that it serves.
        return (
            {own_group_id.service: versions[own_group_id.service]}
            if own_group_id and own_group_id.service in versions
            else {}
        )

    def _origins(
        self, own_group_id: GroupId | None, shards: dict[int, int], now: float
    ) -> dict[int, OriginStatus]:
        if own_group_id is None:
            return {}
        origins = self._histories.of(own_group_id).origins
        return {
            shard: _origin_status(origins[shard], now)
            for shard in sorted(shards)
            if shard in origins
        }

    async def _views(self, entries: tuple[VersionedEntry, ...]) -> tuple[GroupView, ...]:
        group_ids = [
            GroupId(entry.entry.service, number)
            for entry in entries
            for number in range(min(entry.entry.groups, _MAX_GROUPS))
        ]
        return tuple(await asyncio.gather(*map(self._view, group_ids[:_MAX_GROUPS])))

    async def _view(self, group: GroupId) -> GroupView:
        if (
            group == self._membership.own_group_id
            and (cached_group := self._groups.view(group)) is not None
        ):
            return GroupView(group, cached_group, True, "")
        try:
            return GroupView(group, await self._groups.refresh(group), True, "")
        except ObjectNotFoundError:
            return GroupView(group, None, True, "")
        except (PlatformError, MalformedMessageError) as error:
            return GroupView(group, self._groups.view(group), False, str(error))

    async def _query_agents(self, members: Iterable[Member]) -> AgentResponses:
        local_id = self._membership.member_id
        remote_members = {member.id: member for member in members if member.id != local_id}
        queried = list(remote_members.values())[: _MAX_AGENTS - 1]
        replies = await asyncio.gather(*map(self._query_agent, queried))
        statuses = {reply.member_id: reply for reply in replies if reply is not None}
        statuses[local_id] = self.agent()
        return AgentResponses(
            local_id, frozenset({local_id, *(member.id for member in queried)}), statuses
        )

    async def _query_agent(self, member: Member) -> AgentStatus | None:
        call = self._peers.next_call()
        try:
            async with asyncio.timeout(_QUERY_TIMEOUT_S):
                reply = await self._peers.call(member, StatusQuery(call), call)
            if not isinstance(reply, StatusReply):
                raise MalformedMessageError(
                    f"the reply has type {type(reply).__name__} instead of StatusReply"
                )
            status = from_map(reply.status, AgentStatus)
        except (PeerError, TimeoutError) as error:
            _STATUS_UNANSWERED.emit(member=member.id, error=repr(error))
            return None
        return status if status.member_id == member.id else None

    def _on_query(self, sender: str, message: StatusQuery) -> None:
        self._peers.reply(sender, StatusReply(message.call, to_map(self.agent())))


def _origin_status(origin: ShardOrigin, now: float) -> OriginStatus:
    return OriginStatus(
        origin.previous_owner, origin.taken_over, round(now - origin.observed_at, 3)
    )
