"""Cost of an agent by the size of its fleet, on the emulated platform with real processes.

All agents hold all groups there, so whatever each of them does for each other one shows as growth
from one size to the next. Figures are read from the process table. Bytes are those of all read and
write calls except the log's; without requests they are those of peers, platform and the upstream's
heartbeats.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from statistics import fmean

import psutil

from fescueward.testing.site.deployment import SiteDeployment, SiteSpec

SIZES = (16, 40)
# Half of the machines belong to the service with keys, as on the users' deployments.
KEYED = "catalogue"
OTHER = "orders"
READY_TIMEOUT_S = 120.0
# The groups have settled by then: all members have joined, and the keys are dealt.
SETTLE_S = 10.0
IDLE_S = 10.0


@dataclass(frozen=True, slots=True)
class FleetPoint:
    """Means over the agents of one fleet, per agent.

    Attributes:
        agents: Number of agents.
        start_cpu_s: Processor time from the start until the groups have settled, in seconds.
        idle_cpu_percent: Processor time without requests, in % of a core.
        idle_cpu_percent_most: The same of the agent that takes most, which is a watcher.
        idle_switches_s: Times that the process is woken, per second.
        idle_sent_bytes_s: Bytes sent per second.
        files: Open files.
        files_most: Open files of the agent that has most.
        resident_mb: Resident memory in MB.
        group_versions: Versions of groups that an agent took until the groups had settled.
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
    """Result of the benchmark.

    Attributes:
        points: Figures by size.
    """

    points: tuple[FleetPoint, ...]


@dataclass(frozen=True, slots=True)
class _Sample:
    cpu_s: float
    switches: int
    sent: int


def run() -> FleetFigures:
    """Measures all sizes one after the other."""
    return FleetFigures(tuple(asyncio.run(_measure(size)) for size in SIZES))


async def _measure(size: int) -> FleetPoint:
    spec = SiteSpec(services={KEYED: size // 2, OTHER: size - size // 2}, keyed=frozenset({KEYED}))
    async with SiteDeployment(spec) as site:
        await site.wait_ready(READY_TIMEOUT_S)
        await asyncio.sleep(SETTLE_S)
        before = {name: _sample(site, name) for name in site.machines}
        versions = [_versions(site, name) for name in site.machines]
        await asyncio.sleep(IDLE_S)
        after = {name: _sample(site, name) for name in site.machines}
        processes = [psutil.Process(machine.agent.pid) for machine in site.machines.values()]
        files = [process.num_fds() for process in processes]
        resident = [process.memory_info().rss / 1e6 for process in processes]
    cpu = [100 * (after[name].cpu_s - before[name].cpu_s) / IDLE_S for name in before]
    return FleetPoint(
        agents=size,
        start_cpu_s=round(fmean(sample.cpu_s for sample in before.values()), 3),
        idle_cpu_percent=round(fmean(cpu), 2),
        idle_cpu_percent_most=round(max(cpu), 2),
        idle_switches_s=round(
            fmean(after[name].switches - before[name].switches for name in before) / IDLE_S, 1
        ),
        idle_sent_bytes_s=round(
            fmean(after[name].sent - before[name].sent for name in before) / IDLE_S, 1
        ),
        files=round(fmean(files), 1),
        files_most=max(files),
        resident_mb=round(fmean(resident), 1),
        group_versions=round(fmean(versions), 1),
    )


def _sample(site: SiteDeployment, name: str) -> _Sample:
    process = psutil.Process(site.machines[name].agent.pid)
    times = process.cpu_times()
    logged = (site.directory / f"{name}.log").stat().st_size
    return _Sample(
        cpu_s=times.user + times.system,
        switches=process.num_ctx_switches().voluntary,
        sent=process.io_counters().write_chars - logged,
    )


def _versions(site: SiteDeployment, name: str) -> int:
    return (site.directory / f"{name}.log").read_text(errors="replace").count('"group_changed"')
