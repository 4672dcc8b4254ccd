"""Model of two services whose upstreams call each other's upstreams, on simulated time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import replace

from fescueward.kernel.errors import RefusalError
from fescueward.messages import Announcement, Request
from fescueward.messages.request import BytesBody
from fescueward.services.admission import SlotAdmission
from fescueward.services.routing.balancer import Balancer, RequestProfile
from fescueward.services.routing.search import SlotSearch
from tests.services.fakes import StubRegistry, make_entry
from tests.services.groups_for_tests import member
from tests.services.timed_fakes import AgentLoop, ManualClock, World

_SLOTS = 3
_SENDS = 6
_TIMELY_SENDS = 2
_ROUTERS = 86
_NETWORK_S = 0.002
# Run time of upstreams in proportion to the mean.
_SPEEDS = (0.6, 1.0, 1.4)
_WORK_SPREAD = 0.4
# Share of the runs that make two calls at the same time.
_CALLING_SHARE = 0.7


class CallingFleet:
    """Gates of upstreams: `pages` whose runs call `orders`, and `orders` with own work."""

    def __init__(self, page_gates: int, order_gates: int, seed: int) -> None:
        self._world = World()
        self._loop = AgentLoop(self._world, 0.0, 1.0)
        self._world.loops["model"] = self._loop
        self._clock = ManualClock(self._loop)
        self._random = random.Random(seed)
        self._gates: dict[str, dict[str, SlotAdmission]] = {}
        self._balancers: dict[str, list[Balancer]] = {}
        self._searches: dict[str, list[SlotSearch]] = {}
        self._members: dict[str, list] = {}
        for service, count in (("pages", page_gates), ("orders", order_gates)):
            members = [member(f"{service}{number}", _SLOTS) for number in range(count)]
            self._members[service] = members
            self._gates[service] = {each.id: self._make_gate(service) for each in members}
            self._balancers[service] = [
                Balancer("d0", random.Random(seed + router)) for router in range(_ROUTERS)
            ]
            self._searches[service] = [
                SlotSearch(random.Random(seed + router)) for router in range(_ROUTERS)
            ]
        self.ends: Counter[tuple[str, str]] = Counter()
        self.times_s: dict[str, list[float]] = {"page": [], "order": [], "call": []}

    def _make_gate(self, service: str) -> SlotAdmission:
        gate = SlotAdmission()
        gate.bind(StubRegistry(clock=self._clock))
        gate.observe_announcement(Announcement(service, "h", 1, _SLOTS, 110, cold_s=0.0))
        return gate

    def run(self, pages_per_s: float, orders_per_s: float, duration_s: float) -> None:
        """Plays Poisson arrivals of both kinds of requests."""
        tasks = []

        def arrive(kind: str, per_s: float) -> None:
            tasks.append(self._loop.create_task(self._caller(kind)))
            delay_s = self._random.expovariate(per_s)
            if self._world.now + delay_s < duration_s:
                self._world.call_later(delay_s, lambda: arrive(kind, per_s))

        self._world.call_later(0.0, lambda: arrive("page", pages_per_s))
        self._world.call_later(0.0, lambda: arrive("order", orders_per_s))
        self._world.advance(duration_s + 10.0)
        for task in tasks:
            task.result()

    async def _caller(self, kind: str) -> None:
        started_at = self._clock.now()
        objective_s, timeout_s = (0.6, 2.0) if kind == "page" else (0.8, 2.5)
        request = self._request(kind, started_at + objective_s, started_at + timeout_s)
        try:
            served = await self._route(request)
        except RefusalError:
            self.ends[kind, "refused"] += 1
            return
        elapsed_s = self._clock.now() - started_at
        self.times_s[kind].append(elapsed_s)
        outcome = "failed" if not served else "late" if elapsed_s > objective_s else "on time"
        self.ends[kind, outcome] += 1

    def _request(self, kind: str, useful_until: float, deadline: float) -> Request:
        service = "pages" if kind == "page" else "orders"
        priority = {"page": 2, "order": 1, "call": 1}[kind]
        return Request(
            kind, service, "", "GET", "/", (), BytesBody(b""), deadline,
            priority=priority, useful_until=useful_until, route=kind,
        )  # fmt: skip

    async def _route(self, request: Request) -> bool:
        tried: frozenset[str] = frozenset()
        router = self._random.randrange(_ROUTERS)
        balancer = self._balancers[request.service][router]
        search = self._searches[request.service][router]
        seeks_free_slot = search.begin()
        for send in range(_SENDS):
            now = self._clock.now()
            useful_ms = (request.useful_until - now) * 1000
            profile = RequestProfile(0, useful_ms, request.route)
            chosen = balancer.choose(self._members[request.service], tried, now, profile)
            assert chosen is not None
            gate = self._gates[request.service][chosen.id]
            balancer.record_start(chosen.id)
            run_ms = None
            try:
                await asyncio.sleep(_NETWORK_S)
                searching = send < _TIMELY_SENDS
                seeks_free_slot = seeks_free_slot and searching
                sent = replace(
                    request, has_alternatives=searching, seeks_free_slot=seeks_free_slot
                )
                async with gate.slot(sent, make_entry(queue_length=256)):
                    if seeks_free_slot:
                        search.record(refused=False)
                    served = await self._work(
                        request,
                        _SPEEDS[self._members[request.service].index(chosen) % len(_SPEEDS)],
                    )
                run_ms = (self._clock.now() - now) * 1000
                return served
            except RefusalError:
                if seeks_free_slot:
                    search.record(refused=True)
                balancer.avoid(chosen.id, self._clock.now(), False)
                tried |= {chosen.id}
                if send == _SENDS - 1 or self._clock.now() >= request.deadline - 0.01:
                    raise
            finally:
                balancer.record_end(
                    chosen.id, gate.occupancy, run_ms, self._clock.now(), 400, request.route
                )
        raise AssertionError("unreachable")

    async def _work(self, request: Request, speed: float) -> bool:
        mean_s = {"page": 0.17, "order": 0.22, "call": 0.042}[request.route]
        await asyncio.sleep(mean_s * speed * self._random.lognormvariate(-0.08, _WORK_SPREAD))
        if request.route != "page" or self._random.random() > _CALLING_SHARE:
            return True
        return all(await asyncio.gather(self._call(request), self._call(request)))

    async def _call(self, parent: Request) -> bool:
        now = self._clock.now()
        deadline = min(parent.deadline, now + 0.7)
        try:
            await self._route(self._request("call", now + 0.229, deadline))
        except RefusalError:
            self.ends["call", "refused"] += 1
            return False
        self.times_s["call"].append(self._clock.now() - now)
        self.ends["call", "on time"] += 1
        return True
