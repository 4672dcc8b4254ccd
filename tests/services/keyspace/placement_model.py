"""Model of keyed servers for the decisions on moves: queues of slots, reports and handovers.

It runs the planner's and the measurement's own code without a network. Requests arrive at random,
wait for a slot of the member that owns their key, and are dropped if they would wait too long.
"""

from __future__ import annotations

import heapq
import random
import statistics
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

from fescueward.kernel import Kernel
from fescueward.messages import Group
from fescueward.messages.group import LAST_KEY
from fescueward.messages.request import Occupancy
from fescueward.services.keyspace import moves
from fescueward.services.keyspace.load import KeyBlockLoad
from fescueward.services.keyspace.moves import BLOCK_KEYS
from fescueward.services.keyspace.placement import RangePlacement
from tests.services.fakes import StubRegistry
from tests.services.groups_for_tests import member, with_added_members

SLOTS = 6
ROUND_S = 0.4
WORK_S = 0.18
OBJECTIVE_S = 0.58
# Time from a plan to the first release, and from a release to the start of the new owner.
NOTICE_S, RECORD_S = 0.05, 0.12
# Passing slowness: a fifth of the members take this many times as long for 0.4 s.
SLOWNESS, SLOW_SHARE = 3.0, 0.2
REPORTS_SLOWNESS = True


@dataclass(frozen=True)
class Phase:
    """Load of some seconds: a share of the requests goes to keys from `first` on."""

    seconds: float
    hot_keys: int = 0
    hot_share: float = 0.0
    first: int = 30_004


@dataclass
class Result:
    """Figures of one phase.

    Attributes:
        late: Requests that waited for more than half of the objective, or were dropped.
        work_s: Work by member id.
    """

    waits_s: list[float] = field(default_factory=list)
    late: int = 0
    work_s: Counter[str] = field(default_factory=Counter)
    moved_blocks: int = 0
    moved_ranges: int = 0
    ranges: int = 0
    seconds: float = 0.0

    @property
    def late_share(self) -> float:
        """Share of the requests that waited too long."""
        return self.late / len(self.waits_s)

    @property
    def imbalance(self) -> float:
        """Work of the busiest member in proportion to the mean."""
        return max(self.work_s.values()) / statistics.mean(self.work_s.values())

    def __str__(self) -> str:
        cuts = statistics.quantiles(self.waits_s, n=100)
        return (
            f"wait p50 {cuts[49]:.3f} s, p99 {cuts[98]:.3f} s, late {self.late_share:.3f}, "
            f"busiest by mean {self.imbalance:.2f}, moved per second "
            f"{self.moved_ranges / self.seconds:.1f} ranges {self.moved_blocks / self.seconds:.1f}"
            f" blocks, {self.ranges} ranges"
        )


class Server:
    """One member: slots, running work and its own measurement."""

    def __init__(self, model: Model, member_id: str, factor: float) -> None:
        self.factor, self.slowness = factor, 1.0
        # As of the last response.
        self.reported_slowness = 1.0
        self.free_at = [0.0] * SLOTS
        self.running: list[tuple[float, int, float]] = []
        self.mean_s = WORK_S * factor
        self.load = KeyBlockLoad(Kernel())
        self.load.bind(
            StubRegistry(
                clock=SimpleNamespace(now=lambda: model.now),
                groups=None,
                peers=SimpleNamespace(on=lambda kind, handler: None),
                membership=SimpleNamespace(member_id=member_id),
                placement=None,
                admission=self,
            )
        )

    @property
    def occupancy(self) -> Occupancy:
        return Occupancy(
            min(len(self.running), SLOTS),
            max(len(self.running) - SLOTS, 0),
            SLOTS,
            self.mean_s * 1000,
            slowness=self.reported_slowness,
        )

    def end_runs(self, now: float) -> None:
        while self.running and self.running[0][0] <= now:
            _, key, run_s = heapq.heappop(self.running)
            self.reported_slowness = self.slowness if REPORTS_SLOWNESS else 1.0
            self.mean_s += 0.1 * (run_s - self.mean_s)
            self.load.record(key, str(key), run_s)

    def serve(self, key: int, now: float, run_s: float) -> float:
        """Returns the wait for a slot; a longer one than the objective drops the request."""
        wait_s = max(self.free_at[0] - now, 0.0)
        if wait_s > OBJECTIVE_S:
            self.load.record(key, str(key), self.mean_s)
            return wait_s
        heapq.heapreplace(self.free_at, now + wait_s + run_s)
        heapq.heappush(self.running, (now + wait_s + run_s, key, run_s))
        return wait_s


class Model:
    """39 servers of uneven speed and their planner."""

    def __init__(self, factors: list[float], seed: int = 5) -> None:
        self.now = 0.0
        self._random = random.Random(seed)
        names = [f"a{number:02}" for number in range(len(factors))]
        members = (replace(member(name), slots=SLOTS) for name in names)
        self.group = moves.assigned(with_added_members(Group("depot", 0, 1), *members))
        self.servers = {
            f"{name}:1": Server(self, f"{name}:1", factor)
            for name, factor in zip(names, factors, strict=True)
        }
        self._placement = RangePlacement(Kernel())
        self._placement._clock = SimpleNamespace(now=lambda: self.now)
        self._reports = {}
        # Time at which a range with a successor has its new owner, by first key.
        self._served_at: dict[int, float] = {}
        self._released_at: dict[int, float] = {}

    def play(self, phase: Phase, rate: Callable[[float], float]) -> Result:
        """Plays a phase; `rate` returns the requests per second at a time."""
        result = Result(seconds=phase.seconds)
        end = self.now + phase.seconds
        next_round = self.now + ROUND_S
        while self.now < end:
            self.now += self._random.expovariate(rate(self.now))
            if self.now >= next_round:
                next_round += ROUND_S
                self._run_round(result)
            self._complete_handovers()
            self._request(self._key(phase), result)
        result.ranges = len(self.group.ranges)
        return result

    def _key(self, phase: Phase) -> int:
        if self._random.random() < phase.hot_share:
            return phase.first + self._random.randrange(phase.hot_keys)
        return self._random.randint(0, LAST_KEY)

    def _request(self, key: int, result: Result) -> None:
        key_range = self.group.range_of(key)
        gap_s = 0.0
        owner_id = key_range.owner
        if key_range.successor and self.now >= self._released_at[key_range.first]:
            gap_s = self._served_at[key_range.first] - self.now
            owner_id = key_range.successor
        server = self.servers[owner_id]
        server.end_runs(self.now)
        run_s = WORK_S * server.factor * server.slowness * self._random.uniform(0.7, 1.3)
        result.work_s[owner_id] += run_s
        wait_s = gap_s + server.serve(key, self.now, run_s)
        result.waits_s.append(wait_s)
        result.late += wait_s > OBJECTIVE_S / 2

    def _run_round(self, result: Result) -> None:
        for server in self.servers.values():
            server.slowness = SLOWNESS if self._random.random() < SLOW_SHARE else 1.0
            server.end_runs(self.now)
        planned = self._placement._planned_moves(self.group, self._reports)
        self._reports = {id_: server.load.measure() for id_, server in self.servers.items()}
        if planned is None:
            return
        self._placement._record_moves(planned)
        known = {each.first for each in self.group.ranges if each.successor}
        self.group = planned
        for moved in planned.ranges:
            if moved.successor and moved.first not in known:
                result.moved_ranges += 1
                result.moved_blocks += -(-moved.width // BLOCK_KEYS)
                server = self.servers[moved.owner]
                ends = [at for at, key, _ in server.running if moved.first <= key <= moved.last]
                released_at = self.now + NOTICE_S
                self._released_at[moved.first] = released_at
                self._served_at[moved.first] = max([released_at, *ends]) + RECORD_S

    def _complete_handovers(self) -> None:
        due = [first for first, at in self._served_at.items() if at <= self.now]
        for first in due:
            moved = self.group.range_of(first)
            released = {(moved.first, moved.last, moved.epoch): ""}
            self.group = moves.handed_over(self.group, released, moved.owner)
            del self._served_at[first], self._released_at[first]
