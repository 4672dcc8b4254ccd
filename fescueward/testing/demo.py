"""Demo: four agents serve keyed traffic, one owner is killed, its keys are served again.

Run as `python -m fescueward.testing.demo`, or by `scripts/demo`. Exits 0 if every key is served
again within the bound, else 1 with a reason.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import time
from collections import Counter
from dataclasses import dataclass, field, replace

from ..kernel import FescuewardError
from .callers import UNREACHABLE, CallerRequest, CallerResponse
from .errors import ConditionTimeoutError
from .harness import DeployedMember, Deployment
from .specs import DeploymentSpec, small_deployment
from .waiting import wait_until

_KEYS = 64
_CALLERS = 8
_PAUSE_S = 0.01
# Shorter than a takeover, so that the demo shows refusals and not only waits.
_DEADLINE_MS = 500
_TRAFFIC_BEFORE_S = 3.0
_TRAFFIC_AFTER_S = 2.0
# Requirement: a key is served again within 4 s of a loss.
_BOUND_S = 4.0
_SERVED_AGAIN_TIMEOUT_S = 12.0
_SPREAD_TIMEOUT_S = 8.0
_TOTAL_TIMEOUT_S = 40.0
# Rounds are shortened from 2 s so that the shards are spread within the time of the demo.
_ROUND_MS = "200"


class DemoFailedError(FescuewardError):
    """The demo did not show what it is meant to show."""

    code = 9101
    label = "demo_failed"


@dataclass(slots=True)
class Phase:
    """Counts of a part of the traffic.

    Attributes:
        served: Served requests by upstream.
        refused: Refused requests by label.
    """

    served: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)

    @property
    def requests(self) -> int:
        """All requests."""
        return self.served.total() + self.refused.total()


class Traffic:
    """Callers that send keyed requests through every agent in turn."""

    def __init__(self, deployment: Deployment) -> None:
        self.phases = {"before": Phase(), "after": Phase()}
        self.phase = "before"
        self.mixed_up = 0
        self.unavailable_s: dict[str, float] = {}
        self._deployment = deployment
        self._last_served: dict[str, float] = {}
        self._failed: set[str] = set()
        self._stopped = asyncio.Event()

    async def run(self) -> None:
        """Sends until `stop`."""
        await asyncio.gather(*(self._call(number) for number in range(_CALLERS)))

    def stop(self) -> None:
        """Ends the traffic."""
        self._stopped.set()

    def served_since(self, started: float) -> int:
        """Returns the number of keys that were served after a time and are served still."""
        return sum(
            served > started and key not in self._failed
            for key, served in self._last_served.items()
        )

    async def _call(self, caller: int) -> None:
        keys = [f"depot-{number}" for number in range(caller, _KEYS, _CALLERS)]
        number = caller
        while not self._stopped.is_set():
            members = self._deployment.members
            for key in keys:
                number += 1
                await self._send(key, members, number)
                await asyncio.sleep(_PAUSE_S)

    async def _send(self, key: str, members: tuple[DeployedMember, ...], first: int) -> None:
        request = CallerRequest(service="depot", key=key, deadline_ms=_DEADLINE_MS)
        answer = CallerResponse(request_id=request.request_id)
        for offset in range(len(members)):
            via = members[(first + offset) % len(members)]
            answer = await self._deployment.send(request, via)
            if answer.label != UNREACHABLE:
                break  # as a client library does, the caller goes on to the next agent
        self._count(key, answer)

    def _count(self, key: str, answer: CallerResponse) -> None:
        now = time.monotonic()
        phase = self.phases[self.phase]
        if answer.digest_ok is False:
            self.mixed_up += 1
        if not answer.succeeded:
            phase.refused[answer.label or str(answer.status)] += 1
            self._failed.add(key)
            return
        phase.served[answer.served_by] += 1
        if key in self._failed and key in self._last_served:
            gap = now - self._last_served[key]
            self.unavailable_s[key] = max(self.unavailable_s.get(key, 0.0), gap)
        self._failed.discard(key)
        self._last_served[key] = now


async def _spread(deployment: Deployment) -> bool:
    found = await deployment.group("depot")
    if found is None:
        return False
    owners = {shard.owner for shard in found.group.shards}
    return len(owners) == len(deployment.members)


async def _busiest_owner(deployment: Deployment) -> DeployedMember:
    counts: Counter[str] = Counter()
    for number in range(_KEYS):
        owner = await deployment.owner("depot", f"depot-{number}")
        if owner is not None:
            counts[owner.name] += 1
    if not counts:
        raise DemoFailedError("no key has an owner")
    return deployment.member(counts.most_common(1)[0][0])


async def _show(deployment: Deployment) -> Traffic:
    await deployment.wait_ready()
    try:
        await wait_until(
            lambda: _spread(deployment), _SPREAD_TIMEOUT_S, "every member owns a shard"
        )
    except ConditionTimeoutError as error:
        print(f"note: {error}")
    traffic = Traffic(deployment)
    running = asyncio.create_task(traffic.run())
    try:
        await asyncio.sleep(_TRAFFIC_BEFORE_S)
        if traffic.served_since(0.0) < _KEYS:
            raise DemoFailedError(f"not every key is served: {traffic.phases['before'].refused}")
        lost = await _busiest_owner(deployment)
        print(f"killing agent and upstream {lost.name} ({lost.spec.failure_domain})")
        traffic.phase = "after"
        await deployment.kill_member(lost)
        killed = time.monotonic()
        await wait_until(
            lambda: traffic.served_since(killed) == _KEYS or running.done(),
            _SERVED_AGAIN_TIMEOUT_S,
            "every key is served again",
        )
        await asyncio.sleep(_TRAFFIC_AFTER_S)
    finally:
        traffic.stop()
        await running
    return traffic


def _rows(traffic: Traffic) -> list[tuple[str, str, str]]:
    before, after = traffic.phases["before"], traffic.phases["after"]
    rows = [
        ("requests", str(before.requests), str(after.requests)),
        ("served", str(before.served.total()), str(after.served.total())),
        ("refused or lost", str(before.refused.total()), str(after.refused.total())),
    ]
    for label in sorted(before.refused | after.refused):
        rows.append((f"  {label}", str(before.refused[label]), str(after.refused[label])))
    rows += [
        (f"served by {name}", str(before.served[name]), str(after.served[name]))
        for name in sorted(before.served | after.served)
    ]
    return rows


def _report(traffic: Traffic) -> None:
    print(f"{'':24}{'before the loss':>18}{'after the loss':>18}")
    for name, before, after in _rows(traffic):
        print(f"{name:24}{before:>18}{after:>18}")
    times = list(traffic.unavailable_s.values())
    longest = max(times, default=0.0)
    median = statistics.median(times) if times else 0.0
    print(
        f"keys that were unavailable: {len(times)} of {_KEYS}; "
        f"longest {longest:.2f} s, median {median:.2f} s (bound {_BOUND_S:.0f} s)"
    )
    if traffic.mixed_up:
        raise DemoFailedError(f"{traffic.mixed_up} answers belong to other requests")
    if longest > _BOUND_S:
        raise DemoFailedError(f"a key was unavailable for {longest:.2f} s; bound {_BOUND_S:.0f} s")


def _spec() -> DeploymentSpec:
    return replace(
        small_deployment(), settings=(("placement", "round_ms", _ROUND_MS),), log_level="WARNING"
    )


async def _run() -> None:
    started = time.monotonic()
    async with asyncio.timeout(_TOTAL_TIMEOUT_S), Deployment(_spec()) as deployment:
        print("starting the platform stand-in, 4 upstreams in 2 failure domains and 4 agents")
        traffic = await _show(deployment)
    _report(traffic)
    print(f"done in {time.monotonic() - started:.0f} s; all processes have ended")


def main() -> int:
    """Runs the demo and returns the exit code."""
    try:
        asyncio.run(_run())
    except (FescuewardError, TimeoutError) as error:
        reason = str(error) or f"not done within {_TOTAL_TIMEOUT_S:.0f} s"
        print(f"demo failed: {reason}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
