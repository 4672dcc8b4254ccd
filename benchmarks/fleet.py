"""Cost of an agent by the number of agents, on the emulated platform with real processes.

There every agent stores all groups, so work that each agent does for every other agent shows as
growth with the number of agents. Figures are read from the process table. Sent bytes are those of
all write calls except those to the log; without requests they are sent to peers and the platform,
and for the upstream's heartbeats.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from statistics import fmean

import psutil

from fescueward.testing.site.deployment import SiteDeployment, SiteSpec

AGENT_COUNTS = (16, 40)
# Half of the machines belong to the service with keys, as in the users' deployments.
KEYED_SERVICE = "catalogue"
OTHER_SERVICE = "orders"
READY_TIMEOUT_S = 120.0
# After this time the groups have settled: all members have joined, and the keys are assigned.
SETTLE_DURATION_S = 10.0
IDLE_DURATION_S = 10.0


@dataclass(frozen=True, slots=True)
class FleetPoint:
    """Cost per agent, as the mean over all agents unless noted.

    Attributes:
        agents: Number of agents.
        start_cpu_s: CPU time from the start until the groups have settled, in seconds.
        idle_cpu_percent: CPU without requests, in % of a core.
        idle_cpu_percent_most: Largest CPU of an agent without requests, that of a watcher.
        idle_switches_s: Voluntary context switches per second without requests, one for each
            wake-up of the process.
        idle_sent_bytes_s: Bytes sent per second without requests.
        files: Number of open files.
        files_most: Largest number of open files of an agent.
        resident_mb: Resident memory in MB.
        group_versions: Number of group versions that an agent applied until the groups had
            settled.
    """

    agents: int
    start_cpu_s: float
    idle_cpu_percent: float
    idle_cpu_percent_most: float
    idle_switches_s: float
    idle_sent_bytes_s: float
    files: float
    files_most: int
    resident_mb: float
    group_versions: float


@dataclass(frozen=True, slots=True)
class FleetFigures:
    """Figures of the benchmark.

    Attributes:
        points: Figures by number of agents.
    """

    points: tuple[FleetPoint, ...]


@dataclass(frozen=True, slots=True)
class _Sample:
    cpu_s: float
    switches: int
    sent_bytes: int


def run() -> FleetFigures:
    """Measures all numbers of agents one after another."""
    return FleetFigures(tuple(asyncio.run(_measure(agent_count)) for agent_count in AGENT_COUNTS))


async def _measure(agent_count: int) -> FleetPoint:
    spec = SiteSpec(
        services={KEYED_SERVICE: agent_count // 2, OTHER_SERVICE: agent_count - agent_count // 2},
        keyed=frozenset({KEYED_SERVICE}),
    )
    async with SiteDeployment(spec) as site:
        await site.wait_ready(READY_TIMEOUT_S)
        await asyncio.sleep(SETTLE_DURATION_S)
        before = {name: _sample(site, name) for name in site.machines}
        versions = [_count_group_versions(site, name) for name in site.machines]
        await asyncio.sleep(IDLE_DURATION_S)
        after = {name: _sample(site, name) for name in site.machines}
        processes = [psutil.Process(machine.agent.pid) for machine in site.machines.values()]
        files = [process.num_fds() for process in processes]
        resident = [process.memory_info().rss / 1e6 for process in processes]
    cpu = [100 * (after[name].cpu_s - before[name].cpu_s) / IDLE_DURATION_S for name in before]
    return FleetPoint(
        agents=agent_count,
        start_cpu_s=round(fmean(sample.cpu_s for sample in before.values()), 3),
        idle_cpu_percent=round(fmean(cpu), 2),
        idle_cpu_percent_most=round(max(cpu), 2),
        idle_switches_s=round(
            fmean(after[name].switches - before[name].switches for name in before)
            / IDLE_DURATION_S,
            1,
        ),
        idle_sent_bytes_s=round(
            fmean(after[name].sent_bytes - before[name].sent_bytes for name in before)
            / IDLE_DURATION_S,
            1,
        ),
        files=round(fmean(files), 1),
        files_most=max(files),
        resident_mb=round(fmean(resident), 1),
        group_versions=round(fmean(versions), 1),
    )


def _sample(site: SiteDeployment, name: str) -> _Sample:
    process = psutil.Process(site.machines[name].agent.pid)
    times = process.cpu_times()
    log_bytes = (site.directory / f"{name}.log").stat().st_size
    return _Sample(
        cpu_s=times.user + times.system,
        switches=process.num_ctx_switches().voluntary,
        sent_bytes=process.io_counters().write_chars - log_bytes,
    )


def _count_group_versions(site: SiteDeployment, name: str) -> int:
    return (site.directory / f"{name}.log").read_text(errors="replace").count('"group_changed"')
