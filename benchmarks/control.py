"""Cost of control per agent at several numbers of agents, with real processes.

Memory, CPU and bytes are read from the process table. Bytes are those of read and write calls,
which uvloop uses for all sockets. Without requests an upstream talks to its agent only, so the
agent's bytes without those of its upstream and without its log are the ones that leave the VM:
peers and platform. Groups have at most 32 members.
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

SIZES = (4, 8, 16, 32, 64)
GROUP_SIZE = 32
SETTLE_S = 12.0
IDLE_S = 12.0
CHANGE_S = 10.0
EDIT_PERIOD_S = 1.0
_START_TIMEOUT_S = 120.0


@dataclass(frozen=True, slots=True)
class ControlCost:
    """Means over the agents of one deployment, per agent.

    Attributes:
        cpu_percent: CPU in % of a core.
        cpu_percent_most: CPU of the agent that takes most, which is a planner as a rule.
        sent_bytes_s: Bytes sent to peers and platform per second.
        received_bytes_s: Bytes received from them per second.
        resident_mb: Resident memory in MB.
        resident_mb_most: Largest resident memory of an agent.
    """

    cpu_percent: float
    cpu_percent_most: float
    sent_bytes_s: float
    received_bytes_s: float
    resident_mb: float
    resident_mb_most: float


@dataclass(frozen=True, slots=True)
class ControlPoint:
    """Figures at one number of agents.

    Attributes:
        agents: Number of agents.
        groups: Number of groups.
        idle: Cost without requests and changes.
        change: Cost while an entry is edited each second and one member is killed and returns.
        idle_calls_s: Calls of all agents to the platform per second, without watches, in the
            idle time.
        idle_watches_s: Watch calls of all agents per second in the idle time.
    """

    agents: int
    groups: int
    idle: ControlCost
    change: ControlCost
    idle_calls_s: float
    idle_watches_s: float


@dataclass(frozen=True, slots=True)
class Slopes:
    """Growth per further agent by least squares.

    Attributes:
        idle_cpu_percent: CPU of an agent.
        idle_sent_bytes_s: Bytes that an agent sends.
        idle_received_bytes_s: Bytes that an agent receives.
        change_cpu_percent: CPU of an agent under change.
        change_sent_bytes_s: Bytes that an agent sends under change.
        resident_mb: Memory of an agent.
        idle_calls_s: Platform calls of all agents, without watches.
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
    """Result of the benchmark; bounds 3.3% of a core, 3 KB/s and 256 MB per agent.

    Attributes:
        cpu_percent: Largest mean CPU of any size, idle.
        bytes_s: Largest mean of bytes sent and received together of any size, idle.
        resident_mb: Largest memory of any agent.
        points: Figures by number of agents.
        slopes: Growth over the sizes whose groups are not divided yet.
    """

    cpu_percent: float
    bytes_s: float
    resident_mb: float
    points: tuple[ControlPoint, ...]
    slopes: Slopes


@dataclass(frozen=True, slots=True)
class _Sample:
    at: float
    cpu_s: float
    sent: int
    received: int


def run() -> ControlFigures:
    """Measures all sizes one after the other."""
    points = tuple(asyncio.run(_measure(size)) for size in SIZES)
    return ControlFigures(
        cpu_percent=max(point.idle.cpu_percent for point in points),
        bytes_s=max(point.idle.sent_bytes_s + point.idle.received_bytes_s for point in points),
        resident_mb=max(point.change.resident_mb_most for point in points),
        points=points,
        slopes=_slopes([point for point in points if point.groups == 1]),
    )


async def _measure(size: int) -> ControlPoint:
    clock = BootClock()
    groups = -(-size // GROUP_SIZE)
    template = MemberSpec(name="", failure_domain="", slots=12, connections=130)
    entry = Entry("catalogue", "benchmark", groups=groups)
    service = service_spec(entry, size, ("ahmedabad", "gandhinagar", "vadodara"), template)
    members = tuple(
        replace(member, group=number % groups) for number, member in enumerate(service.members)
    )
    spec = DeploymentSpec(services=(replace(service, members=members),), journals=False)
    async with Deployment(spec) as deployment:
        await deployment.wait_ready(_START_TIMEOUT_S)
        await clock.sleep(SETTLE_S)
        calls = await deployment.platform.counters()
        before = _samples(deployment.members)
        await clock.sleep(IDLE_S)
        idle = _cost(deployment.members, before)
        later = await deployment.platform.counters()
        before = _samples(deployment.members[:-1])
        await asyncio.gather(_edit(deployment), _restart(deployment))
        change = _cost(deployment.members[:-1], before)
    watches = later.watches - calls.watches
    # The reading of the counters is no call to the object API.
    others = later.total - calls.total - watches
    return ControlPoint(
        agents=size,
        groups=groups,
        idle=idle,
        change=change,
        idle_calls_s=round(others / IDLE_S, 3),
        idle_watches_s=round(watches / IDLE_S, 3),
    )


async def _edit(deployment: Deployment) -> None:
    clock = BootClock()
    key = entry_object_key("catalogue")
    for number in range(int(CHANGE_S / EDIT_PERIOD_S)):
        found = await deployment.platform.get(key)
        assert found is not None, "the entry exists"
        entry = decode_json(bytes(found.value), Entry)
        edited = replace(entry, operation_id=f"edit-{number}")
        await deployment.platform.put(key, edited, found.version)
        await clock.sleep(EDIT_PERIOD_S)


async def _restart(deployment: Deployment) -> None:
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
    mine, its = agent.io_counters(), upstream.io_counters()
    logged = os.path.getsize(member.agent.log), os.path.getsize(member.upstream.log)
    return _Sample(
        at=BootClock().now(),
        cpu_s=times.user + times.system,
        sent=mine.write_chars - logged[0] - its.read_chars,
        received=mine.read_chars - (its.write_chars - logged[1]),
    )


def _cost(members: tuple[DeployedMember, ...], before: dict[str, _Sample]) -> ControlCost:
    cpu, sent, received, resident = [], [], [], []
    for member in members:
        old, new = before[member.name], _sample(member)
        span = new.at - old.at
        cpu.append(100 * (new.cpu_s - old.cpu_s) / span)
        sent.append((new.sent - old.sent) / span)
        received.append((new.received - old.received) / span)
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
