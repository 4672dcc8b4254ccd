"""Control cost per agent for several numbers of agents, with real processes.

Memory, CPU and bytes are read from the process table. Bytes are those of read and write calls,
which uvloop uses for all sockets. Without requests, an upstream only exchanges data with its
agent. The agent's bytes minus those of its upstream and of its log are therefore the traffic that
leaves the VM, to and from peers and the platform. Groups have at most 32 members.
"""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass, replace
from statistics import fmean, linear_regression

import psutil

from fescueward.kernel import BootClock
from fescueward.messages import Entry
from fescueward.messages.codec import decode_json
from fescueward.messages.group import entry_object_key
from fescueward.testing.harness import DeployedMember, Deployment
from fescueward.testing.specs import DeploymentSpec, MemberSpec, service_spec

AGENT_COUNTS = (4, 8, 16, 32, 64)
MAX_GROUP_SIZE = 32
SETTLE_DURATION_S = 12.0
IDLE_DURATION_S = 12.0
CHANGE_DURATION_S = 10.0
EDIT_PERIOD_S = 1.0
_START_TIMEOUT_S = 120.0


@dataclass(frozen=True, slots=True)
class ControlCost:
    """Cost per agent, as the mean over the agents of one deployment unless noted.

    Attributes:
        cpu_percent: CPU in % of a core.
        cpu_percent_most: Largest CPU of an agent in % of a core, usually that of a planner.
        sent_bytes_s: Bytes sent to peers and platform per second.
        received_bytes_s: Bytes received from peers and platform per second.
        resident_mb: Resident memory in MB.
        resident_mb_most: Largest resident memory of an agent in MB.
    """

    cpu_percent: float
    cpu_percent_most: float
    sent_bytes_s: float
    received_bytes_s: float
    resident_mb: float
    resident_mb_most: float


@dataclass(frozen=True, slots=True)
class ControlPoint:
    """Figures for one number of agents.

    Attributes:
        agents: Number of agents.
        groups: Number of groups.
        idle: Cost without requests and changes.
        change: Cost while an entry is edited every second and one member is killed and restarted.
        idle_calls_s: Calls of all agents to the platform per second without requests and changes,
            except watches.
        idle_watches_s: Watch calls of all agents per second without requests and changes.
    """

    agents: int
    groups: int
    idle: ControlCost
    change: ControlCost
    idle_calls_s: float
    idle_watches_s: float


@dataclass(frozen=True, slots=True)
class Slopes:
    """Growth per additional agent, by linear regression.

    Attributes:
        idle_cpu_percent: CPU of an agent in % of a core, idle.
        idle_sent_bytes_s: Bytes per second that an agent sends, idle.
        idle_received_bytes_s: Bytes per second that an agent receives, idle.
        change_cpu_percent: CPU of an agent in % of a core, during changes.
        change_sent_bytes_s: Bytes per second that an agent sends during changes.
        resident_mb: Resident memory of an agent in MB.
        idle_calls_s: Platform calls of all agents per second except watches, idle.
    """

    idle_cpu_percent: float
    idle_sent_bytes_s: float
    idle_received_bytes_s: float
    change_cpu_percent: float
    change_sent_bytes_s: float
    resident_mb: float
    idle_calls_s: float


@dataclass(frozen=True, slots=True)
class ControlFigures:
    """Figures of the benchmark; bounds 3.3% of a core, 3 KB/s and 256 MB per agent.

    Attributes:
        cpu_percent: Largest mean CPU for any number of agents in % of a core, idle.
        bytes_s: Largest mean of bytes sent and received per second for any number of agents, idle.
        resident_mb: Largest resident memory of any agent in MB.
        points: Figures by number of agents.
        slopes: Growth over the numbers of agents that fit into one group.
    """

    cpu_percent: float
    bytes_s: float
    resident_mb: float
    points: tuple[ControlPoint, ...]
    slopes: Slopes


@dataclass(frozen=True, slots=True)
class _Sample:
    at_s: float
    cpu_s: float
    sent_bytes: int
    received_bytes: int


def run() -> ControlFigures:
    """Measures all numbers of agents one after another."""
    points = tuple(asyncio.run(_measure(agent_count)) for agent_count in AGENT_COUNTS)
    return ControlFigures(
        cpu_percent=max(point.idle.cpu_percent for point in points),
        bytes_s=max(point.idle.sent_bytes_s + point.idle.received_bytes_s for point in points),
        resident_mb=max(point.change.resident_mb_most for point in points),
        points=points,
        slopes=_slopes([point for point in points if point.groups == 1]),
    )


async def _measure(agent_count: int) -> ControlPoint:
    clock = BootClock()
    groups = -(-agent_count // MAX_GROUP_SIZE)
    template = MemberSpec(name="", failure_domain="", slots=12, connections=130)
    entry = Entry("catalogue", "benchmark", groups=groups)
    service = service_spec(entry, agent_count, ("ahmedabad", "gandhinagar", "vadodara"), template)
    members = tuple(
        replace(member, group=number % groups) for number, member in enumerate(service.members)
    )
    spec = DeploymentSpec(services=(replace(service, members=members),), journals=False)
    async with Deployment(spec) as deployment:
        await deployment.wait_ready(_START_TIMEOUT_S)
        await clock.sleep(SETTLE_DURATION_S)
        counters_before = await deployment.platform.counters()
        before = _samples(deployment.members)
        await clock.sleep(IDLE_DURATION_S)
        idle = _cost(deployment.members, before)
        counters_after = await deployment.platform.counters()
        before = _samples(deployment.members[:-1])
        await asyncio.gather(_edit_entry(deployment), _restart_last_member(deployment))
        change = _cost(deployment.members[:-1], before)
    watches = counters_after.watches - counters_before.watches
    # Reading the counters does not count as a call to the object API.
    other_calls = counters_after.total - counters_before.total - watches
    return ControlPoint(
        agents=agent_count,
        groups=groups,
        idle=idle,
        change=change,
        idle_calls_s=round(other_calls / IDLE_DURATION_S, 3),
        idle_watches_s=round(watches / IDLE_DURATION_S, 3),
    )


async def _edit_entry(deployment: Deployment) -> None:
    clock = BootClock()
    key = entry_object_key("catalogue")
    for number in range(int(CHANGE_DURATION_S / EDIT_PERIOD_S)):
        envelope = await deployment.platform.get(key)
        assert envelope is not None, "the entry exists"
        entry = decode_json(bytes(envelope.value), Entry)
        edited = replace(entry, operation_id=f"edit-{number}")
        await deployment.platform.put(key, edited, envelope.version)
        await clock.sleep(EDIT_PERIOD_S)


async def _restart_last_member(deployment: Deployment) -> None:
    clock = BootClock()
    last = deployment.members[-1]
    await clock.sleep(1.0)
    await deployment.kill_member(last)
    await clock.sleep(3.0)
    await deployment.start_member(last)


def _samples(members: tuple[DeployedMember, ...]) -> dict[str, _Sample]:
    return {member.name: _sample(member) for member in members}


def _sample(member: DeployedMember) -> _Sample:
    agent = psutil.Process(member.agent.pid)
    upstream = psutil.Process(member.upstream.pid)
    times = agent.cpu_times()
    agent_io, upstream_io = agent.io_counters(), upstream.io_counters()
    log_bytes = os.path.getsize(member.agent.log), os.path.getsize(member.upstream.log)
    return _Sample(
        at_s=BootClock().now(),
        cpu_s=times.user + times.system,
        sent_bytes=agent_io.write_chars - log_bytes[0] - upstream_io.read_chars,
        received_bytes=agent_io.read_chars - (upstream_io.write_chars - log_bytes[1]),
    )


def _cost(members: tuple[DeployedMember, ...], before: dict[str, _Sample]) -> ControlCost:
    cpu, sent, received, resident = [], [], [], []
    for member in members:
        old, new = before[member.name], _sample(member)
        elapsed_s = new.at_s - old.at_s
        cpu.append(100 * (new.cpu_s - old.cpu_s) / elapsed_s)
        sent.append((new.sent_bytes - old.sent_bytes) / elapsed_s)
        received.append((new.received_bytes - old.received_bytes) / elapsed_s)
        resident.append(psutil.Process(member.agent.pid).memory_info().rss / 1e6)
    return ControlCost(
        cpu_percent=round(fmean(cpu), 3),
        cpu_percent_most=round(max(cpu), 3),
        sent_bytes_s=round(fmean(sent), 1),
        received_bytes_s=round(fmean(received), 1),
        resident_mb=round(fmean(resident), 1),
        resident_mb_most=round(max(resident), 1),
    )


def _slopes(points: list[ControlPoint]) -> Slopes:
    agents = [float(point.agents) for point in points]

    def slope(values: list[float]) -> float:
        return round(linear_regression(agents, values).slope, 5)

    return Slopes(
        idle_cpu_percent=slope([point.idle.cpu_percent for point in points]),
        idle_sent_bytes_s=slope([point.idle.sent_bytes_s for point in points]),
        idle_received_bytes_s=slope([point.idle.received_bytes_s for point in points]),
        change_cpu_percent=slope([point.change.cpu_percent for point in points]),
        change_sent_bytes_s=slope([point.change.sent_bytes_s for point in points]),
        resident_mb=slope([point.idle.resident_mb for point in points]),
        idle_calls_s=slope([point.idle_calls_s for point in points]),
    )
