"""A deployment on loopback: its processes, requests and network partitions."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import tempfile
from collections.abc import Iterable, Iterator
from pathlib import Path
from types import TracebackType

import aiohttp

from ...messages import Group, GroupId, VersionedGroup
from ...messages.codec import decode_json
from ...messages.group import entry_object_key, group_of
from ..callers import TOKEN_REQUIRED, Caller, CallerRequest, CallerResponse
from ..errors import ProcessStateError, UnknownMemberError
from ..journal import JournalEvent, read_journal
from ..ports import PortReservations
from ..processes import ManagedProcess
from ..program import LOOPBACK
from ..proxy import DROP, PASS, ProxyMode, ProxyPlan
from ..specs import DeploymentSpec
from ..upstream import Health, Switches
from ..waiting import wait_until
from .members import DeployedMember
from .platform import PlatformHandle, post_json
from .preparation import DeploymentBuilder

PROBE_KEY = "probe"
READY_TIMEOUT_S = 30.0


class Deployment:
    """A running deployment. Used as an async context manager.

    All processes are killed by id when the context ends, also after an exception. Files in the
    temporary directory are kept only if the context ends with an exception; a note on the
    exception then names the directory.

    Args:
        spec: Services, members and settings to start.
        directory: Directory for settings, logs and journals, which is kept; by default a
            temporary directory.
    """

    def __init__(self, spec: DeploymentSpec, directory: Path | None = None) -> None:
        self._spec = spec
        self._requested_directory = directory
        self._directory: Path | None = directory
        self._members: dict[str, DeployedMember] = {}
        self._platform: PlatformHandle | None = None
        self._session: aiohttp.ClientSession | None = None
        self._caller: Caller | None = None
        self._cleanup = contextlib.AsyncExitStack()
        self._ports = PortReservations()

    @property
    def spec(self) -> DeploymentSpec:
        """Services, members and settings of the deployment."""
        return self._spec

    @property
    def directory(self) -> Path:
        """Directory of settings, logs and journals."""
        assert self._directory is not None, "the deployment is not started"
        return self._directory

    @property
    def platform(self) -> PlatformHandle:
        """The platform stand-in."""
        assert self._platform is not None, "the deployment is not started"
        return self._platform

    @property
    def members(self) -> tuple[DeployedMember, ...]:
        """All members in the order of the spec."""
        return tuple(self._members.values())

    @property
    def urls(self) -> tuple[str, ...]:
        """URLs of all agents that callers can send to."""
        return tuple(member.url for member in self.members)

    def member(self, name: str) -> DeployedMember:
        """Returns the member with a name.

        Raises:
            UnknownMemberError: No member has this name.
        """
        if name not in self._members:
            raise UnknownMemberError(f"no member {name!r}; there are {', '.join(self._members)}")
        return self._members[name]

    def members_of(self, service: str) -> tuple[DeployedMember, ...]:
        """Returns the members of a service."""
        return tuple(member for member in self.members if member.service.entry.service == service)

    def members_in_domain(self, failure_domain: str) -> tuple[DeployedMember, ...]:
        """Returns the members in a failure domain."""
        return tuple(
            member for member in self.members if member.spec.failure_domain == failure_domain
        )

    async def __aenter__(self) -> Deployment:
        try:
            await self.start()
        except BaseException as error:
            await self._close(error)
            raise
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        await self._close(error)

    async def start(self) -> None:
        """Starts the platform, writes the entries to it, then starts all agents and upstreams.

        Raises:
            ConditionTimeoutError: The platform stand-in does not respond.
            BadSettingsError: The spec results in invalid agent settings.
        """
        if self._directory is None:
            self._directory = Path(tempfile.mkdtemp(prefix="fescueward-"))
        self._directory.mkdir(parents=True, exist_ok=True)
        self._cleanup.callback(self._ports.close)
        timeout = aiohttp.ClientTimeout(total=5.0)
        self._session = await self._cleanup.enter_async_context(
            aiohttp.ClientSession(timeout=timeout)
        )
        self._caller = await self._cleanup.enter_async_context(Caller())
        builder = DeploymentBuilder(self._spec, self.directory, self._ports, self._cleanup)
        await self._start_platform(builder)
        for service in self._spec.services:
            for member in service.members:
                self._members[member.name] = await builder.build_member(
                    service, member, self.platform.url
                )
        await self.heal()
        process_starts = []
        for member in self.members:
            process_starts += [member.agent.start(), member.upstream.start()]
        await asyncio.gather(*process_starts)

    async def stop(self) -> None:
        """Kills all processes by id and releases all ports."""
        await self._cleanup.aclose()

    async def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until all members have joined, all shards have owners and all agents serve.

        Args:
            timeout_s: Longest wait in seconds.

        Raises:
            ConditionTimeoutError: The deployment was not ready in time.
            ProcessStateError: A process has exited; the error contains the end of its log.
        """

        async def ready() -> bool:
            for process in self.processes():
                if not process.running:
                    raise ProcessStateError(f"{process.name} has exited:\n{process.log_tail()}")
            return await self._all_shards_owned() and await self._all_agents_serving()

        await wait_until(ready, timeout_s, "the deployment is ready")

    async def group(self, service: str, number: int = 0) -> VersionedGroup | None:
        """Returns the group object that is stored on the platform, None if there is none."""
        envelope = await self.platform.get(GroupId(service, number).object_key)
        if envelope is None:
            return None
        return VersionedGroup(envelope.version, decode_json(bytes(envelope.value), Group))

    async def owner(self, service: str, key: str) -> DeployedMember | None:
        """Returns the member that owns a key according to the platform's group object.

        The result is None if the key has no owner there.
        """
        entry = next(
            found.entry for found in self._spec.services if found.entry.service == service
        )
        found = await self.group(service, group_of(service, key, entry.groups).number)
        if found is None:
            return None
        shard = found.group.shard_of(key, entry.groups)
        if shard >= len(found.group.shards):
            return None
        owner = found.group.shards[shard].owner
        return None if owner is None else self.member(owner.rpartition(":")[0])

    async def send(
        self, request: CallerRequest, via: DeployedMember | None = None
    ) -> CallerResponse:
        """Sends a request as a caller does, without retries.

        Args:
            request: The request.
            via: Member whose agent receives it; by default the first member.
        """
        assert self._caller is not None, "the deployment is not started"
        return await self._caller.send((via or self.members[0]).url, request)

    async def set_switches(self, member: DeployedMember, switches: Switches) -> None:
        """Replaces the switches of a member's upstream.

        Raises:
            ControlError: The upstream rejects them.
        """
        assert self._session is not None, "the deployment is not started"
        await post_json(self._session, f"{member.upstream_url}/control", switches)

    async def health(self, member: DeployedMember) -> Health:
        """Returns the health page of a member's upstream.

        Raises:
            aiohttp.ClientError: The upstream does not respond.
        """
        assert self._session is not None, "the deployment is not started"
        async with self._session.get(f"{member.upstream_url}/health") as response:
            return decode_json(await response.read(), Health)

    async def kill_member(self, member: DeployedMember) -> None:
        """Kills agent and upstream of a member, which emulates the loss of its VM."""
        await asyncio.gather(member.agent.stop(), member.upstream.stop())

    async def pause_member(self, member: DeployedMember) -> None:
        """Pauses agent and upstream of a member, which emulates the suspension of its VM."""
        await asyncio.gather(member.agent.pause(), member.upstream.pause())

    def resume_member(self, member: DeployedMember) -> None:
        """Resumes agent and upstream of a paused member."""
        member.agent.resume()
        member.upstream.resume()

    async def start_member(self, member: DeployedMember) -> None:
        """Starts those of a member's agent and upstream that do not run."""
        stopped = (process for process in (member.agent, member.upstream) if not process.running)
        await asyncio.gather(*(process.start() for process in stopped))

    async def partition(
        self, names: Iterable[str], other_names: Iterable[str], plan: ProxyPlan = DROP
    ) -> None:
        """Applies a plan to the peer streams between two sets of members, in both directions.

        Args:
            names: Names of the members of one set.
            other_names: Names of the members of the other set.
            plan: The plan; by default all bytes are dropped.

        Raises:
            UnknownMemberError: A member is unknown or has no peer proxy.
        """
        others = tuple(other_names)
        for name in names:
            for other in others:
                await self.block(name, other, plan)
                await self.block(other, name, plan)

    async def block(self, source: str, target: str, plan: ProxyPlan = DROP) -> None:
        """Applies a plan to the peer streams that one member has opened to another.

        Raises:
            UnknownMemberError: A member is unknown, or the target has no peer proxy.
        """
        proxy = self.member(target).peers_proxy
        if proxy is None:
            raise UnknownMemberError(f"member {target!r} has no peer proxy")
        await proxy.set_plan(plan, self.member(source).name)

    async def block_platform(self, name: str, plan: ProxyPlan = DROP) -> None:
        """Applies a plan to the connections of a member's agent to the platform.

        Raises:
            UnknownMemberError: The member is unknown or has no platform proxy.
        """
        proxy = self.member(name).platform_proxy
        if proxy is None:
            raise UnknownMemberError(f"member {name!r} has no platform proxy")
        await proxy.set_plan(plan)

    async def isolate(self, name: str) -> None:
        """Partitions a member from all other members and from the platform.

        Raises:
            UnknownMemberError: The member is unknown, or the deployment has no proxies.
        """
        await self.partition([name], [other for other in self._members if other != name])
        await self.block_platform(name)

    async def heal(self) -> None:
        """Ends all partitions; only the latency between failure domains stays."""
        latency = ProxyPlan.both(ProxyMode.PASS, self._spec.domain_latency_ms)
        for member in self.members:
            if member.platform_proxy is not None:
                await member.platform_proxy.set_plan(PASS)
            if member.peers_proxy is None:
                continue
            await member.peers_proxy.set_plan(PASS)
            for other in self.members:
                if other.spec.failure_domain != member.spec.failure_domain:
                    await member.peers_proxy.set_plan(latency, other.name)

    def journal_events(self) -> tuple[JournalEvent, ...]:
        """Returns the journal events of all upstreams in the order of their times.

        Raises:
            JournalError: A journal is malformed.
        """
        events = [
            event
            for member in self.members
            if member.journal is not None
            for event in read_journal(member.journal)
        ]
        return tuple(sorted(events, key=lambda event: event.time_ns))

    def processes(self) -> Iterator[ManagedProcess]:
        """Yields the processes of the platform, the agents and the upstreams."""
        yield self.platform.process
        for member in self.members:
            yield member.agent
            yield member.upstream

    async def _start_platform(self, builder: DeploymentBuilder) -> None:
        port = self._ports.reserve()
        arguments = ("fescueward.testing.platform", "--port", str(port))
        process = builder.build_process("platform", arguments)
        assert self._session is not None
        platform = PlatformHandle(process, f"http://{LOOPBACK}:{port}", self._session)
        await process.start()
        self._platform = platform

        async def platform_responds() -> bool:
            with contextlib.suppress(aiohttp.ClientError):
                await platform.counters()
                return True
            return False

        await wait_until(platform_responds, READY_TIMEOUT_S, "the platform stand-in responds")
        for service in self._spec.services:
            await platform.put(entry_object_key(service.entry.service), service.entry)

    async def _all_shards_owned(self) -> bool:
        for service in self._spec.services:
            entry = service.entry
            for number in range(entry.groups):
                stored = await self.group(entry.service, number)
                if stored is None:
                    return False
                expected = {spec.name for spec in service.members if spec.group == number}
                if {member.name for member in stored.group.members.values()} != expected:
                    return False
                owners = [shard.owner for shard in stored.group.shards]
                if len(owners) < stored.group.shard_count or None in owners:
                    return False
        return True

    async def _all_agents_serving(self) -> bool:
        responses = await asyncio.gather(
            *(
                self.send(
                    CallerRequest(
                        service=member.service.entry.service, key=PROBE_KEY, deadline_ms=2000
                    ),
                    member,
                )
                for member in self.members
            )
        )
        return all(
            response.succeeded or response.label == TOKEN_REQUIRED for response in responses
        )

    async def _close(self, error: BaseException | None) -> None:
        try:
            await self.stop()
        finally:
            if error is not None:
                error.add_note(f"settings, logs and journals: {self._directory}")
            elif self._requested_directory is None and self._directory is not None:
                shutil.rmtree(self._directory, ignore_errors=True)
