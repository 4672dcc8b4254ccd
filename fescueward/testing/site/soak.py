"""Fault soak: plays a plan of faults on an emulated deployment and judges what was seen.

Run by `scripts/soak`. Exits 0 if no rule was broken, else 1.
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
from .plan import Action, Step, draw_plan
from .records import STARVED, Disturbance
from .store import StoreFaults, StoreMode
from .upstream import UpstreamFaults

SERVICES = ("catalogue", "orders", "proofing")
KEYED = frozenset({"catalogue"})
LOADS = (
    Load(route="catalogue", repeatable=True, keys=64, connections=1, work_ms=(5, 200)),
    Load(route="catalogue-once", repeatable=False, keys=64, connections=1, work_ms=(5, 400)),
    Load(route="orders-once", repeatable=False, pause_s=0.05, work_ms=(5, 2_000), timeout_s=3.0),
    Load(route="proofing", repeatable=True, connections=1, work_ms=(5, 300)),
    Load(route="proofing-once", repeatable=False, connections=1, work_ms=(5, 60)),
)
# Time within which all is served again after the last fault, by the platform's `recoveryS`.
RECOVERY_S = 15.0
_FIRST_SERVED_S = 20.0
_STORE_DELAY_S = 0.4
_LOST_SHARE = 0.4
_LATE_S = 1.5
_SLOW_FACTOR = 4.0
_LINK_DELAY_MS = 300.0
# How long an upstream serves after its leave was acknowledged, and is away then, in seconds.
_SERVE_S = 2.2


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What one seed showed.

    Attributes:
        seed: The seed.
        plan: Its plan.
        attempts: Requests of callers.
        served: Those that an upstream answered with success.
        runs: Runs of the upstreams.
        breaches: Broken rules.
        longest_stall_s: Longest time for which the emulator stood still.
        stalled_s: Sum of such times while the plan was played.
        starved: Half seconds in which an agent got too little processor time.
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
        rules = Counter(str(breach.rule) for breach in self.breaches)
        return (
            f"seed {self.seed}: {len(self.plan)} steps, {self.attempts} requests, "
            f"{self.served} served, {self.runs} runs, longest stall "
            f"{self.longest_stall_s * 1000:.0f} ms of {self.stalled_s:.1f} s, "
            f"starved {self.starved}, " + (f"broken {dict(rules)}" if rules else "no rule broken")
        )


async def run_soak(seed: int, seconds: float, agents: int, directory: Path) -> SoakResult:
    """Plays one seed.

    Args:
        seed: Seed of plan, load and faults.
        seconds: Length of the plan.
        agents: Number of agents, at least one for each service.
        directory: Where settings and logs go.

    Raises:
        ConditionTimeoutError: Not all was served before the first fault.
    """
    counts = {
        service: len(range(number, agents, len(SERVICES)))
        for number, service in enumerate(SERVICES)
    }
    spec = SiteSpec(services=counts, keyed=KEYED, seed=seed)
    async with SiteDeployment(spec, directory) as site:
        plan = draw_plan(seed, seconds, tuple(site.machines))
        (directory / "plan.json").write_bytes(msgspec.json.format(msgspec.json.encode(plan)))
        breaches: list[Breach] = []
        await site.wait_ready()
        site.start_load(LOADS)
        await site.wait_served(LOADS, _FIRST_SERVED_S)
        site.start_probes()
        began = time.monotonic()
        try:
            await _Player(site).play(plan)
            await site.wait_served(LOADS, RECOVERY_S)
        except ConditionTimeoutError as error:
            breaches.append(Breach(Rule.RECOVER, time.monotonic(), str(error)))
        await site.stop_load()
        breaches += judge(site.evidence)
        evidence = site.evidence
        stalls = [one.until - one.since for one in evidence.stalls if one.since >= began]
        (directory / "evidence.json").write_bytes(msgspec.json.encode(evidence))
        return SoakResult(
            seed=seed,
            plan=plan,
            attempts=len(evidence.attempts),
            served=sum(attempt.served for attempt in evidence.attempts),
            runs=len(evidence.runs),
            breaches=tuple(breaches),
            longest_stall_s=max(stalls, default=0.0),
            stalled_s=sum(stalls),
            starved=sum(fault.what == STARVED for fault in evidence.disturbances),
        )


class _Player:
    """Carries out the steps of a plan, each in a task of its own."""

    def __init__(self, site: SiteDeployment) -> None:
        self._site = site
        self._open: Counter[tuple[str, str]] = Counter()

    async def play(self, plan: tuple[Step, ...]) -> None:
        """Returns when the last step has ended."""
        began = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for step in plan:
                await asyncio.sleep(max(began + step.at_s - time.monotonic(), 0))
                tasks.create_task(self._act(step))

    async def _act(self, step: Step) -> None:
        machine = self._site.machines.get(step.machine)
        if machine is None:
            await self._on_store(step)
        elif step.action is Action.TERM:
            await machine.agent.terminate()
        elif step.action is Action.KILL:
            await machine.agent.kill()
        elif step.action is Action.PAUSE:
            await machine.agent.pause(step.seconds)
        elif step.action is Action.HANGUP:
            machine.agent.request_reload()
        else:
            await self._on_links(step, machine)

    async def _on_store(self, step: Step) -> None:
        store = self._site.store
        if step.action is Action.CONFIGURE:
            self._site.configurator.change()
            return
        if step.action is Action.STORE_FORGET:
            store.forget_history()
            return
        if step.action is Action.STORE_DOWN:
            change = {"mode": StoreMode(step.value)}
        elif step.action is Action.STORE_SLOW:
            change = {"delay_s": _STORE_DELAY_S}
        else:
            late_s = _LATE_S if step.value == "late" else 0.0
            change = {"lost_share": _LOST_SHARE, "late_s": late_s}
        store.set_faults(replace(store.faults, **change))
        await self._last(step, store=True)
        if self._ended(step):
            normal = StoreFaults()
            change = {name: getattr(normal, name) for name in change}
            store.set_faults(replace(store.faults, **change))

    async def _on_links(self, step: Step, machine: Machine) -> None:
        upstream = machine.upstream
        if step.action is Action.LEAVE:
            if not self._begun(step):
                await upstream.leave(_SERVE_S)
                await asyncio.sleep(step.seconds)
                await upstream.start()
            self._ended(step)
        elif step.action is Action.CRASH:
            if not self._begun(replace(step, action=Action.LEAVE)):
                await upstream.crash()
                await self._last(step, count=False)
                await upstream.start(same_id=step.value == "same id")
            self._ended(replace(step, action=Action.LEAVE))
        elif step.action in (Action.LINK, Action.STORE_PART):
            proxy = machine.upstream_proxy
            if step.action is Action.STORE_PART:
                proxy = machine.store_proxy
            await self._on_proxy(step, proxy)
        else:
            change = {"slow_factor": _SLOW_FACTOR}
            if step.action is Action.ANSWERS_LOST:
                change = {"lost_share": _LOST_SHARE}
            upstream.faults = replace(upstream.faults, **change)
            await self._last(step)
            if self._ended(step):
                normal = UpstreamFaults()
                change = {name: getattr(normal, name) for name in change}
                upstream.faults = replace(upstream.faults, **change)

    async def _on_proxy(self, step: Step, proxy: FaultProxy) -> None:
        plan = ProxyPlan.both(ProxyMode.PASS, _LINK_DELAY_MS)
        if step.value != "delay":
            plan = ProxyPlan.both(ProxyMode(step.value))
        await proxy.set_plan(plan)
        await self._last(step, store=step.action is Action.STORE_PART)
        if self._ended(step):
            await proxy.set_plan(PASS)

    async def _last(self, step: Step, store: bool = False, count: bool = True) -> None:
        """Waits for the time of a fault and notes it for the judge."""
        if count:
            self._begun(step)
        since = time.monotonic()
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

    def _begun(self, step: Step) -> bool:
        """Counts a fault; returns whether one of its kind is in force already."""
        self._open[step.action, step.machine] += 1
        return self._open[step.action, step.machine] > 1

    def _ended(self, step: Step) -> bool:
        """Counts the end of a fault; returns whether it was the last of its kind."""
        self._open[step.action, step.machine] -= 1
        return self._open[step.action, step.machine] == 0


def main(
    seed: Annotated[int, typer.Option(min=0, help="Seed of plan, load and faults.")],
    seconds: Annotated[float, typer.Option(min=5, max=3600, help="Length of the plan.")] = 30.0,
    agents: Annotated[int, typer.Option(min=3, max=100, help="Number of agents.")] = 6,
    keep: Annotated[Path, typer.Option(help="Directory for logs.")] = Path("runs/soak"),
) -> None:
    """Plays one seed; plan and logs of a seed that breaks a rule are kept."""
    directory = keep / f"seed-{seed}"
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    result = uvloop.run(run_soak(seed, seconds, agents, directory))
    typer.echo(str(result))
    if not result.breaches:
        shutil.rmtree(directory)
        return
    lines = [str(breach) for breach in result.breaches]
    (directory / "breaches.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")
    typer.echo("\n".join(lines))
    typer.echo(f"plan, evidence and logs: {directory}")
    typer.echo(f"repeat: scripts/soak --seed {seed} --seconds {seconds:g} --agents {agents}")
    sys.exit(1)


if __name__ == "__main__":
    typer.run(main)
