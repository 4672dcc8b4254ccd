"""A deployment on loopback with its processes and partitions."""

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

    All processes are killed by id on every way out. Without a given directory, files are kept
    only if the context ends with an exception, whose notes then name the directory.

    Args:
        spec: What to start.
        directory: Where settings, logs and journals go; by default a temporary directory.
    """

    def __init__(self, spec: DeploymentSpec, directory: Path | None = None) -> None:
        self._spec = spec
        self._given_directory = directory
        self._directory: Path | None = directory
        self._members: dict[str, DeployedMember] = {}
        self._platform: PlatformHandle | None = None
        self._session: aiohttp.ClientSession | None = None
        self._caller: Caller | None = None
        self._cleanup = contextlib.AsyncExitStack()
        self._ports = PortReservations()

    @property
    def spec(self) -> DeploymentSpec:
        """What was started."""
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
        """Returns a member.

        Raises:
            UnknownMemberError: There is none of this name.
        """
        if name not in self._members:
            raise UnknownMemberError(f"no member {name!r}; there are {', '.join(self._members)}")
        return self._members[name]

    def members_of(self, service: str) -> tuple[DeployedMember, ...]:
        """Returns the members of a service."""
        return tuple(found for found in self.members if found.service.entry.service == service)

    def members_in_domain(self, failure_domain: str) -> tuple[DeployedMember, ...]:
        """Returns the members in a failure domain."""
        return tuple(
            found for found in self.members if found.spec.failure_domain == failure_domain
        )

    async def __aenter__(self) -> Deployment:
        try:
            await self.start()
        except BaseException as error:
            await self._leave(error)
            raise
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        await self._leave(error)

    async def start(self) -> None:
        """Starts the platform, seeds the entries, then starts all agents and upstreams.

        Raises:
            ConditionTimeoutError: The platform stand-in does not answer.
            BadSettingsError: The spec makes bad settings.
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
        preparation = DeploymentBuilder(self._spec, self.directory, self._ports, self._cleanup)
        await self._start_platform(preparation)
        for service in self._spec.services:
            for member in service.members:
                self._members[member.name] = await preparation.member(
                    service, member, self.platform.url
                )
        await self.heal()
        starts = []
        for member in self.members:
            starts += [member.agent.start(), member.upstream.start()]
        await asyncio.gather(*starts)

    async def stop(self) -> None:
        """Kills all processes by id and frees all ports."""
        await self._cleanup.aclose()

    async def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until all members have joined, all shards have owners and all agents serve.

        Args:
            timeout_s: Longest wait in seconds.

        Raises:
            ConditionTimeoutError: It took longer.
            ProcessStateError: A process has ended; the error shows the end of its log.
        """

        async def ready() -> bool:
            for process in self.processes():
                if not process.running:
                    raise ProcessStateError(f"{process.name} has ended:\n{process.log_tail()}")
            return await self._placed() and await self._serving()

        await wait_until(ready, timeout_s, "the deployment is ready")

    async def group(self, service: str, number: int = 0) -> VersionedGroup | None:
        """Returns a group object as the platform holds it, or None."""
        found = await self.platform.get(GroupId(service, number).object_key)
        if found is None:
            return None
        return VersionedGroup(found.version, decode_json(bytes(found.value), Group))

    async def owner(self, service: str, key: str) -> DeployedMember | None:
        """Returns the member that owns a key by the platform's group object, or None."""
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
        """Sends one caller request once.

        Args:
            request: The request.
            via: Member whose agent it is sent to; by default the first.
        """
        assert self._caller is not None, "the deployment is not started"
        return await self._caller.send((via or self.members[0]).url, request)

    async def set_switches(self, member: DeployedMember, switches: Switches) -> None:
        """Replaces the behaviour of a member's upstream.

        Raises:
            ControlError: The upstream refuses it.
        """
        assert self._session is not None, "the deployment is not started"
        await post_json(self._session, f"{member.upstream_url}/control", switches)

    async def health(self, member: DeployedMember) -> Health:
        """Returns the health page of a member's upstream.

        Raises:
            aiohttp.ClientError: The upstream does not answer.
        """
        assert self._session is not None, "the deployment is not started"
        async with self._session.get(f"{member.upstream_url}/health") as response:
            return decode_json(await response.read(), Health)

    async def kill_member(self, member: DeployedMember) -> None:
        """Kills agent and upstream of a member, as the loss of its VM does."""
        await asyncio.gather(member.agent.stop(), member.upstream.stop())

    async def pause_member(self, member: DeployedMember) -> None:
        """Stops agent and upstream of a member, as the suspension of its VM does."""
        await asyncio.gather(member.agent.pause(), member.upstream.pause())

    def resume_member(self, member: DeployedMember) -> None:
        """Continues agent and upstream of a member."""
        member.agent.resume()
        member.upstream.resume()

    async def start_member(self, member: DeployedMember) -> None:
        """Starts agent and upstream of a member again if they do not run."""
        stopped = (found for found in (member.agent, member.upstream) if not found.running)
        await asyncio.gather(*(found.start() for found in stopped))

    async def partition(
        self, some: Iterable[str], others: Iterable[str], plan: ProxyPlan = DROP
    ) -> None:
        """Applies a plan to the peer streams between two sets of members, in both directions.

        Args:
            some: Names of members.
            others: Names of other members.
            plan: The plan; by default nothing flows.

        Raises:
            UnknownMemberError: A member has no peer proxy.
        """
        ends = tuple(others)
        for name in some:
            for other in ends:
                await self.block(name, other, plan)
                await self.block(other, name, plan)

    async def block(self, source: str, target: str, plan: ProxyPlan = DROP) -> None:
        """Applies a plan to the streams that one member has dialled to another.

        Raises:
            UnknownMemberError: The target has no peer proxy.
        """
        proxy = self.member(target).peers_proxy
        if proxy is None:
            raise UnknownMemberError(f"member {target!r} has no peer proxy")
        await proxy.set_plan(plan, self.member(source).name)

    async def block_platform(self, name: str, plan: ProxyPlan = DROP) -> None:
        """Applies a plan to the connections of a member's agent to the platform.

        Raises:
            UnknownMemberError: The member has no platform proxy.
        """
        proxy = self.member(name).platform_proxy
        if proxy is None:
            raise UnknownMemberError(f"member {name!r} has no platform proxy")
        await proxy.set_plan(plan)

    async def isolate(self, name: str) -> None:
        """Partitions a member from all other members and from the platform.

        Raises:
            UnknownMemberError: The deployment has no proxies.
        """
        await self.partition([name], [other for other in self._members if other != name])
        await self.block_platform(name)

    async def heal(self) -> None:
        """Ends all partitions."""
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
        """Returns the events of all upstreams in the order of their times.

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
        """Yields all processes."""
        yield self.platform.process
        for member in self.members:
            yield member.agent
            yield member.upstream

    async def _start_platform(self, preparation: DeploymentBuilder) -> None:
        port = self._ports.reserve()
        arguments = ("fescueward.testing.platform", "--port", str(port))
        process = preparation.process("platform", arguments)
        assert self._session is not None
        platform = PlatformHandle(process, f"http://{LOOPBACK}:{port}", self._session)
        await process.start()
        self._platform = platform

        async def answers() -> bool:
            with contextlib.suppress(aiohttp.ClientError):
                await platform.counters()
                return True
            return False

        await wait_until(answers, READY_TIMEOUT_S, "the platform stand-in answers")
        for service in self._spec.services:
            await platform.put(entry_object_key(service.entry.service), service.entry)

    async def _placed(self) -> bool:
        for service in self._spec.services:
            entry = service.entry
            for number in range(entry.groups):
                found = await self.group(entry.service, number)
                if found is None:
                    return False
                expected = {spec.name for spec in service.members if spec.group == number}
                if {member.name for member in found.group.members.values()} != expected:
                    return False
                owners = [shard.owner for shard in found.group.shards]
                if len(owners) < found.group.shard_count or None in owners:
                    return False
        return True

    async def _serving(self) -> bool:
        answers = await asyncio.gather(
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
        return all(answer.succeeded or answer.label == TOKEN_REQUIRED for answer in answers)

    async def _leave(self, error: BaseException | None) -> None:
        try:
            await self.stop()
        finally:
            if error is not None:
                error.add_note(f"settings, logs and journals: {self._directory}")
            elif self._given_directory is None and self._directory is not None:
                shutil.rmtree(self._directory, ignore_errors=True)
