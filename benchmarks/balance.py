"""Load balance and churn over 16 servers with skewed keys whose popularity changes.

The benchmark runs the production policies and the planner's table of reports on an in-memory
group, at the rates of the target scale. Handovers complete within the round. Work is drawn from
Poisson distributions, so the planner's input has the noise of a real measurement. The imbalance is
computed from the expected work, which the planner does not receive.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

import numpy as np

from fescueward.interfaces import PlacementPolicy
from fescueward.messages import Entry, Group, Member, Shard, Weight
from fescueward.messages.group import key_hash
from fescueward.messages.peer import LoadReport
from fescueward.services.load import DECAY_S
from fescueward.services.policies import POLICIES
from fescueward.services.reports import ReportTable

SERVER_COUNT = 16
KEY_COUNT = 20_000
SLOTS = 12
REQUEST_RATE_PER_SERVER = 2022.0
REQUEST_WORK_S = 0.002
# With this exponent the hottest key has about half of the mean work of a server. No placement
# could balance a key with more than the mean.
ZIPF_EXPONENT = 0.8
ROUND_S = 2.0
WARM_UP_ROUNDS = 40
MEASURED_ROUNDS = 300
SETTLE_ROUNDS = 30
# Every 30 s a tenth of the 190 hottest keys is replaced, so all of them change within minutes.
HOTTEST_COUNT = 190
REPLACED_COUNT = 19
REPLACE_PERIOD_ROUNDS = 15
_REPORTED_KEY_COUNT = 12
_MAX_PLANS_PER_ROUND = 2


@dataclass(frozen=True, slots=True)
class PolicyFigures:
    """Figures of one policy with one weight.

    Attributes:
        imbalance_mean: Imbalance, the largest work of a server divided by the mean, averaged over
            the rounds.
        imbalance_p99: 99th percentile of the imbalance over the rounds.
        churn: Keys moved per hour, divided by the number of keys.
        join_moved_ratio: Keys moved after a join, divided by the keys that the new server owns.
        leave_moved_ratio: Keys moved after a loss, divided by the keys of the lost server.
        exceptions: Number of keys with their own shard at the end.
    """

    imbalance_mean: float
    imbalance_p99: float
    churn: float
    join_moved_ratio: float
    leave_moved_ratio: float
    exceptions: int


@dataclass(frozen=True, slots=True)
class BalanceFigures:
    """Figures of the benchmark.

    Attributes:
        imbalance: Mean imbalance of `bounded-load`, the larger of both weights; goal 1.10.
        unavailability: Figures of `bounded-load` for entries with the weight `unavailability`.
        churn: Figures of `bounded-load` for entries with the weight `churn`.
        static_hash: Figures of the baseline `static-hash`.
    """

    imbalance: float
    unavailability: PolicyFigures
    churn: PolicyFigures
    static_hash: PolicyFigures


class _KeyPopularity:
    """Keys whose request rates change, and the measured work of each key."""

    def __init__(self, seed: int) -> None:
        self._rng = np.random.default_rng(seed)
        self.names = [f"motif-{number:06d}" for number in range(KEY_COUNT)]
        self.indexes = {name: number for number, name in enumerate(self.names)}
        weights = 1.0 / np.arange(1, KEY_COUNT + 1) ** ZIPF_EXPONENT
        self.rates_per_s = weights / weights.sum() * SERVER_COUNT * REQUEST_RATE_PER_SERVER
        self._rng.shuffle(self.rates_per_s)
        hashes = np.array([key_hash(name) for name in self.names], dtype=np.uint64)
        self.hash_shards = (hashes % np.uint64(256)).astype(int)
        self.decayed_work = self.rates_per_s * REQUEST_WORK_S

    def replace_hottest(self) -> None:
        hottest = np.argsort(self.rates_per_s)[-HOTTEST_COUNT:]
        demoted = self._rng.choice(hottest, REPLACED_COUNT, replace=False)
        promoted = self._rng.choice(KEY_COUNT, REPLACED_COUNT, replace=False)
        self.rates_per_s[demoted], self.rates_per_s[promoted] = (
            self.rates_per_s[promoted].copy(),
            self.rates_per_s[demoted].copy(),
        )

    def measure_round(self) -> None:
        work = self._rng.poisson(self.rates_per_s * ROUND_S) * REQUEST_WORK_S / ROUND_S
        decay = math.exp(-ROUND_S / DECAY_S)
        self.decayed_work = self.decayed_work * decay + work * (1 - decay)

    def shards(self, group: Group) -> np.ndarray:
        shards = self.hash_shards.copy()
        for name, shard_id in group.exceptions.items():
            shards[self.indexes[name]] = shard_id
        return shards


class _PolicyRun:
    """A run of one policy with its group, table of reports and keys."""

    def __init__(self, policy: PlacementPolicy, weight: Weight) -> None:
        self._policy = policy
        self._entry = Entry("catalogue", "benchmark", weight=weight)
        self._keys = _KeyPopularity(seed=7)
        self._table = ReportTable(0.0, ROUND_S)
        self._now_s = 0.0
        self.keys_moved = 0
        members = {member.id: member for member in map(_member, range(SERVER_COUNT))}
        empty = Group("catalogue", 0, 256, members, (Shard(),) * 256)
        self.group = policy.assign(empty, frozenset(), self._table.load, self._entry)

    def run_rounds(self, count: int, *, change_keys: bool) -> list[float]:
        imbalances = []
        for number in range(count):
            if change_keys and number % REPLACE_PERIOD_ROUNDS == 0:
                self._keys.replace_hottest()
            imbalances.append(self._run_round())
        return imbalances

    def measure_join(self) -> float:
        member = _member(SERVER_COUNT)
        self.group = replace(self.group, members={**self.group.members, member.id: member})
        before = self._owners()
        self.run_rounds(40, change_keys=False)
        after = self._owners()
        return float((before != after).sum() / max((after == member.id).sum(), 1))

    def measure_leave(self) -> float:
        lost = _member(3).id
        before = self._owners()
        load = self._table.load
        self.group = self._policy.assign(self.group, frozenset({lost}), load, self._entry)
        self.run_rounds(40, change_keys=False)
        after = self._owners()
        return float((before != after).sum() / max((before == lost).sum(), 1))

    def _run_round(self) -> float:
        self._now_s += ROUND_S
        self._keys.measure_round()
        self._report_load()
        for _ in range(_MAX_PLANS_PER_ROUND):
            before = self.group
            planned = self._policy.rebalance(before, self._table.load, self._entry)
            for key, shard_id in planned.exceptions.items():
                if key not in before.exceptions:
                    self._table.split(key_hash(key) % 256, shard_id, key)
            owners = self._owners()
            self.group = _complete_handovers(planned)
            self.keys_moved += int((owners != self._owners()).sum())
            if planned.exceptions == before.exceptions:
                break
        return self._imbalance()

    def _report_load(self) -> None:
        owners, shards = self._owners(), self._keys.shards(self.group)
        for member_id in self.group.members:
            owned = np.flatnonzero(owners == member_id)
            work = np.bincount(shards[owned], weights=self._keys.decayed_work[owned])
            hottest = owned[np.argsort(self._keys.decayed_work[owned])[-_REPORTED_KEY_COUNT:]]
            self._table.add(
                LoadReport(
                    member_id,
                    {int(i): int(work[i] * 1e6) for i in np.flatnonzero(work)},
                    {
                        self._keys.names[key]: int(self._keys.decayed_work[key] * 1e6)
                        for key in hottest
                    },
                ),
                self._now_s,
            )
        self._table.update(self.group, self._now_s)

    def _owners(self) -> np.ndarray:
        owners = np.array([shard.owner or "" for shard in self.group.shards])
        return owners[self._keys.shards(self.group)]

    def _imbalance(self) -> float:
        owners = self._owners()
        work = [
            self._keys.rates_per_s[owners == member_id].sum() for member_id in self.group.members
        ]
        return float(max(work) / (sum(work) / len(work)))


def run() -> BalanceFigures:
    """Runs all policies with the same sequence of keys."""
    unavailability = _figures("bounded-load", Weight.UNAVAILABILITY)
    churn = _figures("bounded-load", Weight.CHURN)
    static_hash = _figures("static-hash", Weight.UNAVAILABILITY)
    max_imbalance = max(unavailability.imbalance_mean, churn.imbalance_mean)
    return BalanceFigures(max_imbalance, unavailability, churn, static_hash)


def _figures(policy: str, weight: Weight) -> PolicyFigures:
    policy_run = _PolicyRun(POLICIES[policy](), weight)
    policy_run.run_rounds(WARM_UP_ROUNDS, change_keys=True)
    policy_run.keys_moved = 0
    imbalances = policy_run.run_rounds(MEASURED_ROUNDS, change_keys=True)
    churn = policy_run.keys_moved / KEY_COUNT / (MEASURED_ROUNDS * ROUND_S / 3600)
    exceptions = len(policy_run.group.exceptions)
    # Lets the moves after the last change of keys finish, so that they do not count for the join.
    policy_run.run_rounds(SETTLE_ROUNDS, change_keys=False)
    join = policy_run.measure_join()
    leave = policy_run.measure_leave()
    return PolicyFigures(
        imbalance_mean=round(float(np.mean(imbalances)), 4),
        imbalance_p99=round(float(np.percentile(imbalances, 99)), 4),
        churn=round(churn, 4),
        join_moved_ratio=round(join, 3),
        leave_moved_ratio=round(leave, 3),
        exceptions=exceptions,
    )


def _member(number: int) -> Member:
    name = f"catalogue-{number + 1}"
    address = ("127.0.0.1", 1, "127.0.0.1", 1)
    return Member(f"{name}:1", name, 1, "boot", *address, "ahmedabad", SLOTS, 130)


def _complete_handovers(group: Group) -> Group:
    shards = tuple(
        Shard(shard.successor, shard.epoch + 1) if shard.successor else shard
        for shard in group.shards
    )
    return replace(group, shards=shards)
