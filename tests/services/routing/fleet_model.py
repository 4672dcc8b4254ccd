"""Model of a fleet whose routers choose among upstreams with slots, queues and speeds."""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field, replace

from fescueward.messages.request import Occupancy
from fescueward.services.routing.balancer import Balancer, RequestProfile
from tests.services.groups_for_tests import member


@dataclass
class Server:
    """An upstream that runs requests in the order of their arrival."""

    speed: float
    slots: int
    running: int = 0
    queue: deque = field(default_factory=deque)
    arrivals: int = 0
    mean_ms: float = 0.0


@dataclass(frozen=True)
class Result:
    """Outcome of a run: response times in seconds and requests by server."""

    response_times_s: tuple[float, ...]
    busiest_to_mean: float
    local_share: float

    def late_share(self, objective_s: float) -> float:
        return sum(time_s > objective_s for time_s in self.response_times_s) / len(
            self.response_times_s
        )


class RoutedFleet:
    """Routers and upstreams in several failure domains; each router sees its own responses."""

    def __init__(
        self,
        routers: int,
        servers: int,
        domains: int,
        speeds: tuple[float, ...],
        slots: int,
        run_s: float,
        objective_s: float,
        seed: int = 1,
    ) -> None:
        self._random = random.Random(seed)
        self._run_s = run_s
        self._objective_s = objective_s
        self.members = [
            replace(member(f"s{number:03}", slots), failure_domain=f"d{number % domains}")
            for number in range(servers)
        ]
        self.servers = {
            each.id: Server(speeds[number // domains % len(speeds)], slots)
            for number, each in enumerate(self.members)
        }
        self._routers = [
            Balancer(f"d{number % domains}", random.Random(seed + number))
            for number in range(routers)
        ]
        self._domains = domains

    def run(self, requests_per_s: float, duration_s: float) -> Result:
        """Plays Poisson arrivals at random routers."""
        events: list[tuple[float, int, tuple]] = []
        number = 0
        times: list[float] = []
        local = 0
        now = 0.0

        def push(at: float, event: tuple) -> None:
            nonlocal number
            number += 1
            heapq.heappush(events, (at, number, event))

        def begin(server_id: str, request: tuple, at: float) -> None:
            server = self.servers[server_id]
            server.running += 1
            run_s = self._random.lognormvariate(0.0, 0.3) * self._run_s / server.speed
            run_ms = run_s * 1000
            server.mean_ms += 0.2 * (run_ms - server.mean_ms) if server.mean_ms else run_ms
            push(at + run_s, ("end", server_id, request))

        push(0.0, ("arrive",))
        while events:
            now, _, event = heapq.heappop(events)
            if event[0] == "arrive":
                if now < duration_s:
                    push(now + self._random.expovariate(requests_per_s), ("arrive",))
                index = self._random.randrange(len(self._routers))
                router = self._routers[index]
                profile = RequestProfile(300, self._objective_s * 1000)
                chosen = router.choose(self.members, frozenset(), now, profile)
                router.record_start(chosen.id)
                local += chosen.failure_domain == f"d{index % self._domains}"
                server = self.servers[chosen.id]
                server.arrivals += 1
                request = (router, now)
                if server.running < server.slots:
                    begin(chosen.id, request, now)
                else:
                    server.queue.append(request)
                continue
            _, server_id, (router, arrived_at) = event
            server = self.servers[server_id]
            server.running -= 1
            if server.queue:
                begin(server_id, server.queue.popleft(), now)
            occupancy = Occupancy(
                server.running, len(server.queue), server.slots, round(server.mean_ms, 1)
            )
            times.append(now - arrived_at)
            router.record_end(server_id, occupancy, (now - arrived_at) * 1000, now, 5000)
        arrivals = [server.arrivals for server in self.servers.values()]
        mean = sum(arrivals) / len(arrivals)
        return Result(tuple(times), max(arrivals) / mean, local / sum(arrivals))
