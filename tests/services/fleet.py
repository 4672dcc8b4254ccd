"""Simulated agents that run the real ownership services on fakes, and the safety check."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, ClassVar

from loguru import logger

from fescueward.interfaces import StoredObject
from fescueward.interfaces.placement import GroupLoad
from fescueward.kernel import Kernel
from fescueward.kernel.errors import RefusalError, UnknownServiceError
from fescueward.kernel.settings import (
    AdministrationSection,
    AgentSection,
    AnnouncementsSection,
    CallersSection,
    LeaseSection,
    LogSection,
    PeersSection,
    PlacementSection,
    PlatformSection,
    RoutingSection,
    Settings,
)
from fescueward.messages import AnnouncedState, Announcement, Entry, Group, GroupId, VersionedEntry
from fescueward.messages.codec import decode_json
from fescueward.services.grants import UpstreamGrants
from fescueward.services.groups import GroupStore
from fescueward.services.lease import MonitoredLease
from fescueward.services.membership import GroupMembership
from fescueward.services.monitor import LeaseMonitor
from fescueward.services.outcomes import RetainedOutcomes
from fescueward.services.ownership import ShardOwnership
from fescueward.services.placement import ShardPlacement
from fescueward.services.recorder import EditRecorder
from fescueward.services.recovery import MemberRecovery

from .timed_fakes import (
    AgentLoop,
    FakePeers,
    FakePlatform,
    ManualClock,
    Network,
    PlatformClient,
    ResponseMode,
    World,
)

GROUP_ID = GroupId("depot", 0)
SHARDS = 6
SERVICES: dict[str, type[Any]] = {
    "groups": GroupStore,
    "membership": GroupMembership,
    "recorder": EditRecorder,
    "lease": MonitoredLease,
    "monitor": LeaseMonitor,
    "placement": ShardPlacement,
    "recovery": MemberRecovery,
    "grants": UpstreamGrants,
    "ownership": ShardOwnership,
}


class SafetyError(AssertionError):
    """Two members own a shard, or an epoch was used twice."""


class FakeCatalogue:
    """A catalogue of one entry, which all agents share."""

    digest = 1

    async def wait_until_loaded(self) -> None:
        pass

    def mark_loaded(self) -> None:
        pass

    def __init__(self) -> None:
        self.current: VersionedEntry | None = VersionedEntry(
            1, Entry("depot", "team", shard_count=SHARDS)
        )

    def entry(self, service: str) -> VersionedEntry:
        if self.current is None:
            raise UnknownServiceError(service)
        return self.current

    def entries(self) -> tuple[VersionedEntry, ...]:
        return () if self.current is None else (self.current,)

    def versions(self) -> dict[str, int]:
        return {}

    def newer_than(self, versions: dict[str, int]) -> tuple[VersionedEntry, ...]:
        return ()

    def observe(self, entry: VersionedEntry) -> bool:
        return False

    async def apply(self, entry: Entry, expected_version: int) -> VersionedEntry:
        raise NotImplementedError

    async def delete(self, service: str, expected_version: int) -> VersionedEntry:
        raise NotImplementedError


class FakeUpstream:
    """Confirms grants while `confirms` is set."""

    crashes = 0

    def __init__(self) -> None:
        self.confirms = True
        self.granted: list[Any] = []

    async def grant(self, grants: Any) -> bool:
        self.granted.append(grants)
        del self.granted[:-4]
        return self.confirms

    async def run(self, request: Any, shard: int, epoch: int, deadline: float) -> Any:
        raise NotImplementedError


class FakeAdmission:
    capacity = 1.0

    def begin_slow_start(self) -> None:
        pass

    def check(self, request: Any, entry: Any) -> None:
        """Admits every request."""

    def slot(self, request: Any, entry: Any) -> Any:
        raise NotImplementedError

    def observe_announcement(self, announcement: Announcement) -> None:
        pass


class FakeLoad:
    """Reports complete loads, which the planner needs, while `Fleet.planning` is set."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def record(self, shard: int, key: str, seconds: float) -> None:
        pass

    def group_load(self) -> GroupLoad:
        return GroupLoad()

    def end_round(self) -> GroupLoad:
        return GroupLoad(complete=self._fleet.planning)

    def restore(self, work: dict[int, float], hot_keys: dict[str, float]) -> None:
        pass


def settings(name: str, domain: str) -> Settings:
    return Settings(
        agent=AgentSection(name=name, failure_domain=domain),
        callers=CallersSection(port=1),
        peers=PeersSection(port=1, secret="x" * 16),
        administration=AdministrationSection(port=1, token="x" * 8),
        announcements=AnnouncementsSection(port=1),
        platform=PlatformSection(url="http://platform"),
        lease=LeaseSection(),
        placement=PlacementSection(),
        routing=RoutingSection(),
        log=LogSection(),
    )


class SimulatedAgent:
    """One agent process."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        domain: str,
        boot: str,
        incarnation: int,
        checks_grants: bool,
    ) -> None:
        self.fleet, self.name, self.domain, self.boot = fleet, name, domain, boot
        self.checks_grants = checks_grants
        # Identity of the upstream's start; upstreams without one cannot be told from a new start.
        self.instance, self.started_ms = "", 0
        self._tasks: set[Any] = set()
        generator = random.Random(f"{name}{incarnation}")
        # The drift margin of 100 ms in 1200 ms permits clock rates that differ by up to 8%.
        self.loop = AgentLoop(
            fleet.world, generator.uniform(1000, 5000), generator.uniform(0.98, 1.02)
        )
        self.kernel = kernel = Kernel()
        self.platform = PlatformClient(fleet.platform, self.loop)
        self.peers = FakePeers(fleet.network, self.loop, name, incarnation)
        self.upstream = fleet.upstream(self)
        provided_services = {
            "settings": settings(name, domain),
            "clock": ManualClock(self.loop),
            "platform": self.platform,
            "catalogue": fleet.catalogue,
            "peers": self.peers,
            "upstream": self.upstream,
            "admission": FakeAdmission(),
            "outcomes": RetainedOutcomes(),
            **fleet.extra_services(),
        }
        for key, value in provided_services.items():
            kernel.provide(key, value)
        factories = {**fleet.services, **fleet.overrides}
        instances = {
            key: factory(kernel, incarnation, boot, fleet.next_incarnation)
            if key == "membership"
            else factory(kernel)
            for key, factory in factories.items()
        }
        self.groups, self.membership = instances["groups"], instances["membership"]
        self.lease, self.monitor = instances["lease"], instances["monitor"]
        self.placement, self.ownership = instances["placement"], instances["ownership"]
        self.recovery, self.grants = instances.get("recovery"), instances.get("grants")
        services = list(instances.values())
        for service in services:
            kernel.add(service)
        for service in services:
            service.bind(kernel.registry)
        fleet.world.loops[name] = self.loop
        self.spawn(lambda: self._start(services))

    async def _start(self, services: list[Any]) -> None:
        for service in services:
            await service.start()
        self.announce(AnnouncedState.READY)

    def spawn(self, body: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        """Starts a task of this agent once its loop runs."""
        self.loop.call_soon(lambda: self._tasks.add(self.loop.create_task(body())))

    def announce(self, state: AnnouncedState) -> None:
        self.membership.announce(
            Announcement(
                "depot",
                "h",
                1,
                4,
                9,
                checks_grants=self.checks_grants,
                state=state,
                instance=self.instance,
                started_ms=self.started_ms,
            )
        )

    def leave(self) -> None:
        self.loop.call_soon(self.announce, AnnouncedState.LEAVING)

    async def request(self, key: str, seconds: float) -> None:
        """Runs one request on the shard of a key for some time, if it is admitted."""
        clock = ManualClock(self.loop)
        try:
            with await self.ownership.admit("depot", key, clock.now() + 2) as ticket:
                await clock.sleep(seconds)
                ticket.check()
        except RefusalError:
            pass

    @property
    def member_id(self) -> str:
        return self.membership.member_id

    def serving(self) -> dict[int, int]:
        """Returns the epoch of each shard that the agent serves now, by shard id."""
        return self.ownership.active() if self.lease.held else {}


class Fleet:
    """Agents of one group, platform and network.

    `check` raises `SafetyError` as soon as two agents serve a shard at the same time, an epoch
    gets a second owner, an epoch does not grow, or a shard is served again at a released epoch.

    Attributes:
        services: Services of each agent by their names in the registry, in the order of start.
    """

    services: ClassVar[dict[str, Callable[..., Any]]] = SERVICES

    def __init__(self, overrides: dict[str, type[Any]] | None = None) -> None:
        logger.remove()
        self.overrides = overrides or {}
        self.planning = True
        self.world = World()
        self.platform = FakePlatform(self.world)
        self.network = Network(self.world)
        self.catalogue = FakeCatalogue()
        self.agents: dict[str, SimulatedAgent] = {}
        self._incarnations = 0
        self._owner_by_epoch: dict[tuple[int, int], str] = {}
        self._ended_epochs: set[tuple[str, int, int]] = set()
        self._last_active: dict[str, dict[int, int]] = {}
        self.world.after_step = self._check_step
        self._last_state: dict[str, tuple[dict[int, int], float]] = {}
        self.platform.on_write = self._check_write

    def upstream(self, agent: SimulatedAgent) -> Any:
        """Returns the upstream of an agent that starts."""
        return FakeUpstream()

    def extra_services(self) -> dict[str, Any]:
        """Returns additional objects for the registry of an agent that starts."""
        return {"load": FakeLoad(self)}

    def next_incarnation(self) -> int:
        self._incarnations += 1
        return self._incarnations

    def start(
        self, name: str, domain: str, boot: str = "", checks_grants: bool = True
    ) -> SimulatedAgent:
        """Starts a process; it replaces a running one of the same name."""
        self.kill(name)
        boot = boot or f"boot-{self.next_incarnation()}"
        agent = SimulatedAgent(self, name, domain, boot, self.next_incarnation(), checks_grants)
        self.agents[name] = agent
        return agent

    def kill(self, name: str) -> None:
        """Ends a process without a shutdown."""
        if name in self.agents:
            del self.agents[name]
            del self.world.loops[name]
            del self.network.peers[name]
            self.world.paused.discard(name)

    def close(self) -> None:
        """Ends the simulation, also after a failed check has ended a step."""
        for agent in self.agents.values():
            agent.loop.abandon()

    def heal(self) -> None:
        """Ends all faults; killed agents are not restarted."""
        self.world.paused.clear()
        self.network.cut.clear()
        self.network.delays.clear()
        for agent in self.agents.values():
            agent.platform.response_mode, agent.platform.write_response_mode = (
                ResponseMode.NORMAL,
                None,
            )

    def cut(self, name: str, others: Iterable[str]) -> None:
        self.network.cut |= {frozenset((name, other)) for other in others if other != name}

    def group(self) -> Group:
        return decode_json(self.platform.read(GROUP_ID.object_key).value, Group)

    def owners(self) -> dict[int, list[str]]:
        """Returns the names of the agents that serve each shard now."""
        names: dict[int, list[str]] = {shard: [] for shard in range(SHARDS)}
        for name, agent in self.agents.items():
            for shard in agent.serving():
                names[shard].append(name)
        return names

    def served(self) -> bool:
        return all(len(names) == 1 for names in self.owners().values())

    def time_until_served(self, limit_s: float) -> float | None:
        """Advances until each shard is served; returns the duration in seconds, or None."""
        started_at_s = self.world.now
        while self.world.now - started_at_s < limit_s:
            self.world.advance(0.05)
            if self.served():
                return self.world.now - started_at_s
        return None

    def _check_step(self, name: str) -> None:
        agent = self.agents[name]
        failure = agent.kernel._failure or next(iter(agent.peers.errors), None)
        if failure is not None:
            raise SafetyError(f"{name} failed") from failure
        # An agent serves more shards only after a step of its own that activates one or renews.
        state = (agent.ownership.active(), agent.lease.expires_at)
        if self._last_state.get(name) != state:
            self._last_state[name] = state
            self.check()

    def check(self) -> None:
        serving: dict[int, str] = {}
        for agent in self.agents.values():
            active = agent.ownership.active()
            member_id = agent.ownership._member_id
            self._record_ended_epochs(member_id, active)
            if not active or not agent.lease.held:
                continue
            for shard, epoch in active.items():
                if shard in serving:
                    raise SafetyError(
                        f"shard {shard} is served by {serving[shard]} and {member_id} at {epoch}"
                    )
                serving[shard] = member_id
                owner = self._owner_by_epoch.setdefault((shard, epoch), member_id)
                if owner != member_id:
                    raise SafetyError(f"epoch {epoch} of {shard}: {owner} and {member_id}")
                if (member_id, shard, epoch) in self._ended_epochs:
                    raise SafetyError(f"{member_id} serves {shard} again at {epoch}")

    def _record_ended_epochs(self, member_id: str, active: dict[int, int]) -> None:
        before = self._last_active.get(member_id)
        if before == active:
            return
        for shard, epoch in (before or {}).items():
            if active.get(shard) != epoch:
                self._ended_epochs.add((member_id, shard, epoch))
        self._last_active[member_id] = active

    def _check_write(self, old: StoredObject | None, new: StoredObject) -> None:
        if old is None:
            return
        before, after = (decode_json(stored.value, Group) for stored in (old, new))
        for shard, (old_shard, new_shard) in enumerate(
            zip(before.shards, after.shards, strict=False)
        ):
            if new_shard.epoch < old_shard.epoch or (
                new_shard.owner != old_shard.owner and new_shard.epoch == old_shard.epoch
            ):
                raise SafetyError(f"shard {shard}: {old_shard} became {new_shard}")
