"""Catalogue changes: time until they are in effect on every agent, and reverts."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, replace

from fescueward.messages import Entry, Limits
from fescueward.messages.group import entry_object_key
from fescueward.testing.callers import CallerRequest
from fescueward.testing.harness import DeployedMember, Deployment
from fescueward.testing.load import percentile

from .failover import benchmark_spec

CHANGES = 20
BOUND_MS = 5000
GOAL_MS = 1000
# Small and large limits take turns, so that each agent shows by its refusals which one it applies.
_SMALL, _LARGE = 10, 10_000
_BODY = b"b" * 1000


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of the benchmark.

    Attributes:
        changes: Number of changes.
        in_force_ms_max: Longest time from the accepted write until all agents apply it.
        in_force_ms_p50: Median of it.
        reverts: Times that an agent applied an older version after a newer one.
        bound_ms: Bound of the users.
        goal_ms: Goal of the project.
    """

    changes: int
    in_force_ms_max: float
    in_force_ms_p50: float
    reverts: int
    bound_ms: int = BOUND_MS
    goal_ms: int = GOAL_MS


async def _applies(deployment: Deployment, member: DeployedMember, key: str, small: bool) -> bool:
    request = CallerRequest(service="depot", key=key, method="PUT", body=_BODY)
    answer = await deployment.send(request, member)
    return (answer.label == "body_too_large") is small


async def _own_keys(deployment: Deployment) -> dict[str, str]:
    """Returns a key that each member owns; the owner applies the limits of the entry."""
    keys: dict[str, str] = {}
    for number in range(400):
        key = f"key-{number}"
        owner = await deployment.owner("depot", key)
        if owner is not None:
            keys.setdefault(owner.name, key)
        if len(keys) == len(deployment.members):
            break
    return keys


async def _measure() -> Figures:
    times, reverts = [], 0
    spec = replace(benchmark_spec(), settings=(("placement", "round_ms", "60000"),))
    async with Deployment(spec) as deployment:
        await deployment.wait_ready()
        await asyncio.sleep(1.0)
        keys = await _own_keys(deployment)
        members = [member for member in deployment.members if member.name in keys]
        for number in range(CHANGES):
            small = number % 2 == 0
            entry = Entry(
                "depot",
                "benchmarks",
                shard_count=64,
                limits=Limits(max_body_bytes=_SMALL if small else _LARGE),
            )
            found = await deployment.platform.get(entry_object_key("depot"))
            assert found is not None
            await deployment.platform.put(entry_object_key("depot"), entry, found.version)
            started = time.monotonic()
            pending = list(members)
            while pending and time.monotonic() - started < BOUND_MS / 1000 * 2:
                applied = await asyncio.gather(
                    *(_applies(deployment, found, keys[found.name], small) for found in pending)
                )
                pending = [found for found, done in zip(pending, applied, strict=True) if not done]
            times.append((time.monotonic() - started) * 1000)
            again = await asyncio.gather(
                *(_applies(deployment, found, keys[found.name], small) for found in members)
            )
            reverts += again.count(False)
    return Figures(
        changes=CHANGES,
        in_force_ms_max=round(max(times), 1),
        in_force_ms_p50=round(percentile(times, 50), 1),
        reverts=reverts,
    )


def run() -> Figures:
    """Changes the entry of a service twenty times."""
    return asyncio.run(_measure())
