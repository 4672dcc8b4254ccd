"""Fault soak: runs a fault plan against an emulated deployment and checks the platform's rules.

Run by `scripts/soak`. The exit status is 0 if no rule was violated, else 1.
"""

from __future__ import annotations

import asyncio
import shutil
import sys
import time
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated

import msgspec
import typer
import uvloop

from ..errors import ConditionTimeoutError
from ..proxy import PASS, FaultProxy, ProxyMode, ProxyPlan
from .callers import Load
from .deployment import Machine, SiteDeployment, SiteSpec
from .judge import Breach, Rule, judge
from .odd_entries import write_odd_entry
from .plan import Action, Step, draw_plan
from .records import STARVED, Disturbance
from .store import StoreFaults, StoreMode
from .upstream import HEARTBEAT_PERIOD_S, UpstreamFaults

SERVICES = ("catalogue", "orders", "proofing")
KEYED = frozenset({"catalogue"})
LOADS = (
    Load(route="catalogue", repeatable=True, keys=64, connections=1, work_ms=(5, 200)),
    Load(route="catalogue-once", repeatable=False, keys=64, connections=1, work_ms=(5, 400)),
    Load(route="orders-once", repeatable=False, pause_s=0.05, work_ms=(5, 2_000), timeout_s=3.0),
    Load(route="proofing", repeatable=True, connections=1, work_ms=(5, 300)),
    Load(route="proofing-once", repeatable=False, connections=1, work_ms=(5, 60)),
)
# Time after the last fault within which each agent serves each route, the platform's `recoveryS`.
RECOVERY_TIMEOUT_S = 15.0
_WARMUP_TIMEOUT_S = 20.0
_STORE_DELAY_S = 0.4
_LOST_RESPONSE_SHARE = 0.4
_STUTTER_SHARE = 0.4
_LATE_WRITE_DELAY_S = 1.5
_SLOW_FACTOR = 4.0
_LINK_DELAY_MS = 300.0
# Time for which an upstream continues to serve after its departure was acknowledged.
_LEAVE_SERVE_S = 2.2


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of a soak with one seed.

    Attributes:
        seed: The seed.
        plan: Plan drawn from the seed.
        attempts: Number of requests of callers.
        served: Number of requests to which an upstream responded with a 2xx status.
        runs: Number of executions by the upstreams.
        breaches: Violations of rules.
        longest_stall_s: Longest stall of the emulator since the start of the plan, in seconds.
        stalled_s: Sum of these stalls, in seconds.
        starved: Number of half seconds in which an agent waited too long for a processor.
    """

    seed: int
    plan: tuple[Step, ...]
    attempts: int
    served: int
    runs: int
    breaches: tuple[Breach, ...]
    longest_stall_s: float
    stalled_s: float
    starved: int

    def __str__(self) -> str:
        rule_counts = Counter(str(breach.rule) for breach in self.breaches)
        return (
            f"seed {self.seed}: {len(self.plan)} steps, {self.attempts} requests, "
            f"{self.served} served, {self.runs} runs, longest stall "
            f"{self.longest_stall_s * 1000:.0f} ms of {self.stalled_s:.1f} s, "
            f"starved {self.starved}, "
            + (f"broken {dict(rule_counts)}" if rule_counts else "no rule broken")
        )


async def run_soak(
    seed: int,
    seconds: float,
    agents: int,
    directory: Path,
    restores: bool = False,
    evacuations: bool = False,
) -> SoakResult:
    """Runs the soak with one seed.

    Args:
        seed: Seed of plan, load and faults.
        seconds: Length of the plan.
        agents: Number of agents, at least one for each service.
        directory: Directory of plan, evidence, settings files and logs.
        restores: Whether the store is also restored from older copies.
        evacuations: Whether failure domains are also evacuated.

    Raises:
        ConditionTimeoutError: An agent was not ready or did not serve each route before the first
            fault.
    """
    counts = {
        service: len(range(index, agents, len(SERVICES))) for index, service in enumerate(SERVICES)
    }
    spec = SiteSpec(services=counts, keyed=KEYED, seed=seed)
    async with SiteDeployment(spec, directory) as site:
        plan = draw_plan(seed, seconds, tuple(site.machines), restores, evacuations)
        (directory / "plan.json").write_bytes(msgspec.json.format(msgspec.json.encode(plan)))
        breaches: list[Breach] = []
        await site.wait_ready()
        site.start_load(LOADS)
        await site.wait_served(LOADS, _WARMUP_TIMEOUT_S)
        site.start_probes()
        started_at = time.monotonic()
        try:
            await _PlanRunner(site).run(plan)
            await site.wait_served(LOADS, RECOVERY_TIMEOUT_S)
        except ConditionTimeoutError as error:
            breaches.append(Breach(Rule.RECOVER, time.monotonic(), str(error)))
        await site.stop_load()
        breaches += judge(site.evidence)
        evidence = site.evidence
        stalls_s = [
            stall.until - stall.since for stall in evidence.stalls if stall.since >= started_at
        ]
        (directory / "evidence.json").write_bytes(msgspec.json.encode(evidence))
        return SoakResult(
            seed=seed,
            plan=plan,
            attempts=len(evidence.attempts),
            served=sum(attempt.served for attempt in evidence.attempts),
            runs=len(evidence.runs),
            breaches=tuple(breaches),
            longest_stall_s=max(stalls_s, default=0.0),
            stalled_s=sum(stalls_s),
            starved=sum(disturbance.what == STARVED for disturbance in evidence.disturbances),
        )


class _PlanRunner:
    """Executes the steps of a plan, each in its own task."""

    def __init__(self, site: SiteDeployment) -> None:
        self._site = site
        self._active_counts: Counter[tuple[str, str]] = Counter()

    async def run(self, plan: tuple[Step, ...]) -> None:
        """Executes all steps at their times; returns when the last step has ended."""
        started_at = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for step in plan:
                await asyncio.sleep(max(started_at + step.at_s - time.monotonic(), 0))
                tasks.create_task(self._execute(step))

    async def _execute(self, step: Step) -> None:
        machine = self._site.machines.get(step.machine)
        if machine is None:
            await self._apply_store_fault(step)
        elif step.action is Action.TERM:
            await machine.agent.terminate()
        elif step.action is Action.KILL:
            await machine.agent.kill()
        elif step.action is Action.PAUSE:
            await machine.agent.pause(step.seconds)
        elif step.action is Action.HANGUP:
            machine.agent.request_reload()
        else:
            await self._apply_machine_fault(step, machine)

    async def _apply_store_fault(self, step: Step) -> None:
        store = self._site.store
        if step.action is Action.CONFIGURE:
            self._site.configurator.write_next_version()
            return
        if step.action is Action.STORE_FORGET:
            store.drop_history()
            return
        if step.action is Action.EVACUATE:
            domain = self._site.failure_domains[int(step.value)]
            await self._site.evacuate(domain, step.seconds)
            return
        if step.action is Action.ODD_ENTRY:
            write_odd_entry(store, step.value)
            return
        if step.action is Action.STORE_RESTORED:
            changes = {"mode": StoreMode.REFUSE}
        elif step.action is Action.STORE_DOWN:
            changes = {"mode": StoreMode(step.value)}
        elif step.action is Action.STORE_SLOW:
            changes = {"delay_s": _STORE_DELAY_S}
        else:
            late_s = _LATE_WRITE_DELAY_S if step.value == "late" else 0.0
            changes = {"lost_share": _LOST_RESPONSE_SHARE, "late_s": late_s}
        store.set_faults(replace(store.faults, **changes))
        await self._wait_and_record(step, store=True)
        if step.action is Action.STORE_RESTORED:
            store.restore(float(step.value) + step.seconds)
        if self._end_fault(step):
            defaults = StoreFaults()
            changes = {name: getattr(defaults, name) for name in changes}
            store.set_faults(replace(store.faults, **changes))

    async def _apply_machine_fault(self, step: Step, machine: Machine) -> None:
        upstream = machine.upstream
        if step.action is Action.LEAVE:
            if not self._begin_fault(step):
                await upstream.leave(_LEAVE_SERVE_S, drains=_varies(step, 2) == 0)
                await asyncio.sleep(step.seconds)
                await upstream.start()
            self._end_fault(step)
        elif step.action is Action.CRASH:
            if not self._begin_fault(replace(step, action=Action.LEAVE)):
                since = time.monotonic()
                await upstream.crash()
                await self._wait_and_record(step, count=False, since=since)
                first_heartbeat_s = HEARTBEAT_PERIOD_S * _varies(step, 4) / 4
                await upstream.start(step.value == "same id", first_heartbeat_s)
            self._end_fault(replace(step, action=Action.LEAVE))
        elif step.action in (Action.LINK, Action.STORE_PART):
            proxy = machine.upstream_proxy
            if step.action is Action.STORE_PART:
                proxy = machine.store_proxy
            await self._apply_proxy_fault(step, proxy)
        else:
            changes = {"slow_factor": _SLOW_FACTOR}
            if step.action is Action.ANSWERS_LOST:
                changes = {"lost_share": _LOST_RESPONSE_SHARE}
            elif step.action is Action.STUTTER:
                changes = {"stutter_share": _STUTTER_SHARE}
            upstream.faults = replace(upstream.faults, **changes)
            await self._wait_and_record(step)
            if self._end_fault(step):
                defaults = UpstreamFaults()
                changes = {name: getattr(defaults, name) for name in changes}
                upstream.faults = replace(upstream.faults, **changes)

    async def _apply_proxy_fault(self, step: Step, proxy: FaultProxy) -> None:
        plan = ProxyPlan.both(ProxyMode.PASS, _LINK_DELAY_MS)
        if step.value != "delay":
            plan = ProxyPlan.both(ProxyMode(step.value))
        await proxy.set_plan(plan)
        await self._wait_and_record(step, store=step.action is Action.STORE_PART)
        if self._end_fault(step):
            await proxy.set_plan(PASS)

    async def _wait_and_record(
        self,
        step: Step,
        store: bool = False,
        count: bool = True,
        since: float | None = None,
    ) -> None:
        """Waits for the duration of a fault and records it as a disturbance.

        Args:
            step: Step of the fault.
            store: Whether the fault affects only the store or the link to it.
            count: Whether to count the fault as active.
            since: When the fault began, in seconds of `time.monotonic`; now if None.
        """
        if count:
            self._begin_fault(step)
        since = time.monotonic() if since is None else since
        await asyncio.sleep(step.seconds)
        self._site.evidence.disturbances.append(
            Disturbance(
                machine=step.machine,
                since=since,
                until=time.monotonic(),
                what=step.action,
                store=store,
            )
        )

    def _begin_fault(self, step: Step) -> bool:
        """Counts a fault as active; returns whether another of its kind was active already."""
        self._active_counts[step.action, step.machine] += 1
        return self._active_counts[step.action, step.machine] > 1

    def _end_fault(self, step: Step) -> bool:
        """Ends an active fault; returns whether no other of its kind is active."""
        self._active_counts[step.action, step.machine] -= 1
        return self._active_counts[step.action, step.machine] == 0


def _varies(step: Step, count: int) -> int:
    """Returns a number below `count` that follows from the time of a step.

    It takes no random number, so that the plans of earlier seeds stay as they are.
    """
    return int(step.at_s * 1000) % count


def main(
    seed: Annotated[int, typer.Option(min=0, help="Seed of plan, load and faults.")],
    seconds: Annotated[float, typer.Option(min=5, max=3600, help="Length of the plan.")] = 30.0,
    agents: Annotated[int, typer.Option(min=3, max=100, help="Number of agents.")] = 6,
    restores: Annotated[
        bool, typer.Option(help="Also restore the store from older copies.")
    ] = False,
    evacuations: Annotated[bool, typer.Option(help="Also evacuate failure domains.")] = False,
    keep: Annotated[Path, typer.Option(help="Directory for logs.")] = Path("runs/soak"),
) -> None:
    """Runs the soak with one seed; keeps plan, evidence and logs if a rule is violated."""
    directory = keep / f"seed-{seed}"
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    result = uvloop.run(run_soak(seed, seconds, agents, directory, restores, evacuations))
    typer.echo(str(result))
    if not result.breaches:
        shutil.rmtree(directory)
        return
    lines = [str(breach) for breach in result.breaches]
    (directory / "breaches.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")
    typer.echo("\n".join(lines))
    typer.echo(f"plan, evidence and logs: {directory}")
    option = (" --restores" if restores else "") + (" --evacuations" if evacuations else "")
    typer.echo(
        f"repeat: scripts/soak --seed {seed} --seconds {seconds:g} --agents {agents}{option}"
    )
    sys.exit(1)


if __name__ == "__main__":
    typer.run(main)
