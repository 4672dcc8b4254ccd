"""Catalogue changes: time until a change is in effect on every agent, and reverted changes."""

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

CHANGE_COUNT = 20
IN_EFFECT_BOUND_MS = 5000
IN_EFFECT_GOAL_MS = 1000
# Changes alternate between a small and a large limit, so that an agent's refusals show which one
# it applies.
_SMALL_LIMIT_BYTES, _LARGE_LIMIT_BYTES = 10, 10_000
_BODY = b"b" * 1000


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of the benchmark.

    Attributes:
        changes: Number of changes.
        in_force_ms_max: Longest time from the accepted write until all agents apply it, in
            milliseconds.
        in_force_ms_p50: Median of this time in milliseconds.
        reverts: Number of times that an agent applied an older version after a newer one.
        bound_ms: The users' bound for this time in milliseconds.
        goal_ms: The project's goal for this time in milliseconds.
    """

    changes: int
    in_force_ms_max: float
    in_force_ms_p50: float
    reverts: int
    bound_ms: int = IN_EFFECT_BOUND_MS
    goal_ms: int = IN_EFFECT_GOAL_MS


async def _applies(deployment: Deployment, member: DeployedMember, key: str, small: bool) -> bool:
    request = CallerRequest(service="depot", key=key, method="PUT", body=_BODY)
    response = await deployment.send(request, member)
    return (response.label == "body_too_large") is small


async def _owned_keys(deployment: Deployment) -> dict[str, str]:
    """Returns one key of each member, because only the owner applies the limits of the entry."""
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
    times_ms, reverts = [], 0
    spec = replace(benchmark_spec(), settings=(("placement", "round_ms", "60000"),))
    async with Deployment(spec) as deployment:
        await deployment.wait_ready()
        await asyncio.sleep(1.0)
        keys = await _owned_keys(deployment)
        members = [member for member in deployment.members if member.name in keys]
        for number in range(CHANGE_COUNT):
            small = number % 2 == 0
            entry = Entry(
                "depot",
                "benchmarks",
                shard_count=64,
                limits=Limits(max_body_bytes=_SMALL_LIMIT_BYTES if small else _LARGE_LIMIT_BYTES),
            )
            found = await deployment.platform.get(entry_object_key("depot"))
            assert found is not None
            await deployment.platform.put(entry_object_key("depot"), entry, found.version)
            started_s = time.monotonic()
            pending = list(members)
            while pending and time.monotonic() - started_s < IN_EFFECT_BOUND_MS / 1000 * 2:
                results = await asyncio.gather(
                    *(_applies(deployment, found, keys[found.name], small) for found in pending)
                )
                pending = [
                    found for found, applied in zip(pending, results, strict=True) if not applied
                ]
            times_ms.append((time.monotonic() - started_s) * 1000)
            second_results = await asyncio.gather(
                *(_applies(deployment, found, keys[found.name], small) for found in members)
            )
            reverts += second_results.count(False)
    return Figures(
        changes=CHANGE_COUNT,
        in_force_ms_max=round(max(times_ms), 1),
        in_force_ms_p50=round(percentile(times_ms, 50), 1),
        reverts=reverts,
    )


def run() -> Figures:
    """Changes the entry of a service 20 times and measures each change."""
    return asyncio.run(_measure())
