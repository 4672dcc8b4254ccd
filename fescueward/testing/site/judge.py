"""Judges what callers, upstreams and the operator saw by the platform's rules."""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations

from .operator import GRACE_S
from .records import Attempt, Evidence, Hold, Run, Signal, receipt

# Bounds of the platform's smaller deployments, in seconds.
DRAIN_S = 2.0
STABILITY_S = 3.0
LOSS_SLACK_S = 0.2
THAW_SLACK_S = 0.3
PROPAGATION_S = 2.0
REVERT_SLACK_S = 0.25
# On a machine that was paused, the slack of a version is so many times longer.
_SLOWED_FACTOR = 8
# Two holds on a key that overlap for longer break the rule also without requests, in seconds.
_OVERLAP_S = 0.5
# A request that was sent so early after SIGTERM may be cut in the last sixth of the grace time.
_EARLY_S = 3.0
_LAST_SHARE = 5 / 6
# Statuses that promise that a request has not run and never will.
_PROMISES = frozenset({408, 421, 429, 503})
_UNPLANNED = frozenset({Signal.KILL, Signal.PAUSE, Signal.CONTINUE})


class Rule(enum.StrEnum):
    """Rules of the platform, by their names there, and `GRACE`.

    `GRACE` breaks when an undisturbed agent does not end by itself within its grace time. The soak
    itself finds a broken `RECOVER`.
    """

    LOST = "LOST"
    TWICE = "TWICE"
    REFUSED = "REFUSED"
    OWNER = "OWNER"
    MIXED = "MIXED"
    DRAIN = "DRAIN"
    CONFIG = "CONFIG"
    GRACE = "GRACE"
    RECOVER = "RECOVER"


@dataclass(frozen=True, slots=True)
class Breach:
    """One broken rule.

    Attributes:
        rule: The rule.
        at: When, in seconds of `time.monotonic`.
        what: What was seen, with ids.
    """

    rule: Rule
    at: float
    what: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f}: {self.what}"


def judge(evidence: Evidence) -> tuple[Breach, ...]:
    """Returns all breaches in the order of time."""
    case = _Case(evidence)
    checks = (_lost, _runs, _mixed, _owner, _drain, _config, _grace)
    return tuple(sorted((b for check in checks for b in check(case)), key=lambda b: b.at))


class _Case:
    """The evidence with indexes."""

    def __init__(self, evidence: Evidence) -> None:
        self.evidence = evidence
        self.runs: dict[str, list[Run]] = defaultdict(list)
        for run in evidence.runs:
            self.runs[run.id].append(run)

    def disturbed(self, machine: str, since: float, until: float, store: bool = False) -> bool:
        """Tells whether an unplanned fault concerned a machine in a time.

        Args:
            machine: Name of the machine.
            since: Begin of the time.
            until: End of the time.
            store: Whether faults of the store count, too.
        """
        faults = (
            fault.machine in ("", machine)
            and fault.since <= until
            and since <= fault.until
            and (store or not fault.store)
            for fault in self.evidence.disturbances
        )
        signals = (
            event.agent == machine and event.signal in _UNPLANNED and since <= event.at <= until
            for event in self.evidence.processes
        )
        return any(faults) or any(signals) or self.paused(machine, since, until)

    def stalled(self, since: float, until: float) -> bool:
        """Tells whether the emulator stood still in a time, so that what it noted is late."""
        return any(one.since <= until and since <= one.until for one in self.evidence.stalls)

    def paused(self, machine: str, since: float, until: float) -> bool:
        """Tells whether an agent was paused at some time of a span."""
        began: float | None = None
        for event in self.evidence.processes:
            if event.agent != machine:
                continue
            if event.signal is Signal.PAUSE:
                began = event.at
            elif began is not None and event.signal in (Signal.CONTINUE, Signal.EXIT):
                if began <= until and since <= event.at:
                    return True
                began = None
        return began is not None and began <= until


def _lost(case: _Case) -> Iterator[Breach]:
    """Finds requests that a process read and left without an answer around planned work."""
    planned = [
        event for event in case.evidence.processes if event.signal in (Signal.TERM, Signal.HANGUP)
    ]
    for attempt in case.evidence.attempts:
        runs = case.runs.get(attempt.id, [])
        if not _unanswered(attempt, runs) or any(run.status == 0 for run in runs):
            continue
        if not runs and case.stalled(attempt.sent, attempt.ended):
            # Whether the process had read it is told by the time alone.
            continue
        machines = {attempt.agent, *(run.machine for run in runs)}
        since = attempt.sent - STABILITY_S
        if any(
            case.disturbed(one, since, attempt.ended, store=attempt.key is not None)
            for one in machines
        ):
            continue
        for event in planned:
            if event.agent != attempt.agent or event.life != attempt.life:
                continue
            bound_s = GRACE_S + 1 if event.signal is Signal.TERM else PROPAGATION_S
            if not event.at <= attempt.ended or attempt.sent > event.at + bound_s:
                continue
            late = event.at + GRACE_S * _LAST_SHARE
            if any(run.ended > late for run in runs) and attempt.sent <= event.at + _EARLY_S:
                continue
            yield Breach(
                Rule.LOST,
                attempt.ended,
                f"request {attempt.id} to {attempt.agent}, sent {attempt.sent - event.at:.2f} s "
                f"after {event.signal}, ended after {attempt.ended - attempt.sent:.2f} s with "
                f"status {attempt.status} {attempt.error}; runs {len(runs)}",
            )
            break


def _unanswered(attempt: Attempt, runs: list[Run]) -> bool:
    """Tells whether a request was read and then broken off before its time was over."""
    if attempt.receipt or not attempt.connected or attempt.error == "TimeoutError":
        return False
    if attempt.ended - attempt.sent >= attempt.timeout_s:
        return False
    if attempt.status:
        # An answer of the system in the place of that of an upstream which was at work.
        return any(run.started < attempt.ended < run.ended for run in runs)
    return bool(runs) or attempt.ended - attempt.sent > LOSS_SLACK_S


def _runs(case: _Case) -> Iterator[Breach]:
    """Finds non-repeatable requests that ran again, or although a refusal promised otherwise."""
    for attempt in case.evidence.attempts:
        runs = case.runs.get(attempt.id, [])
        if attempt.repeatable or not runs:
            continue
        where = ", ".join(run.machine for run in runs)
        if len(runs) > 1:
            what = f"request {attempt.id} ran at {where}"
            yield Breach(Rule.TWICE, runs[1].started, what)
        if attempt.status in _PROMISES:
            what = f"request {attempt.id} was answered {attempt.status} and ran at {where}"
            yield Breach(Rule.REFUSED, attempt.ended, what)


def _mixed(case: _Case) -> Iterator[Breach]:
    """Finds answers that are not those of an upstream to the same request."""
    for attempt in case.evidence.attempts:
        if not attempt.receipt and not 200 <= attempt.status < 300:
            continue
        instances = {run.instance.partition("@")[0] for run in case.runs.get(attempt.id, [])}
        proofs = {receipt(one, attempt.id, attempt.status) for one in instances}
        wrong = [
            name
            for name, right in (
                ("receipt", attempt.receipt in proofs),
                ("request id", attempt.echo == attempt.id),
                ("body", attempt.whole),
            )
            if not right
        ]
        if wrong:
            what = f"request {attempt.id} to {attempt.agent}, status {attempt.status}: {wrong}"
            yield Breach(Rule.MIXED, attempt.ended, what)


def _owner(case: _Case) -> Iterator[Breach]:
    """Finds keys that two starts held at the same time, and epochs that did not grow."""
    started: dict[str, list[Run]] = defaultdict(list)
    for run in case.evidence.runs:
        started[run.instance].append(run)
    holds = sorted(
        (hold for hold in case.evidence.holds if not _late_grant(case, hold)),
        key=lambda hold: hold.since,
    )
    for earlier, later in combinations(holds, 2):
        low, high = max(earlier.first, later.first), min(earlier.last, later.last)
        if earlier.service != later.service or earlier.instance == later.instance or low > high:
            continue
        what = f"keys {low} to {high} of {earlier.service}: {earlier} and {later}"
        if later.fence <= earlier.fence:
            yield Breach(Rule.OWNER, later.since, f"epoch does not grow, {what}")
        until = min(earlier.until, later.until)
        both = all(
            any(
                run.key is not None
                and low <= run.key <= high
                and later.since < run.started < until
                for run in started[hold.instance]
            )
            for hold in (earlier, later)
        )
        if until - later.since > _OVERLAP_S or both:
            what = f"held together for {until - later.since:.3f} s, {what}"
            yield Breach(Rule.OWNER, later.since, what)


def _late_grant(case: _Case, hold: Hold) -> bool:
    """Tells whether a grant may have been held up by a pause or a link."""
    since = hold.since - THAW_SLACK_S
    return case.disturbed(hold.machine, since, hold.since) or case.stalled(since, hold.since)


def _drain(case: _Case) -> Iterator[Breach]:
    """Finds work that began after a leave was acknowledged and the bound was over."""
    for departure in case.evidence.departures:
        for run in case.evidence.runs:
            late_s = run.started - departure.acknowledged
            if run.instance != departure.instance or late_s <= DRAIN_S:
                continue
            since = departure.acknowledged - STABILITY_S
            if case.disturbed(departure.machine, since, run.started):
                continue
            if case.stalled(departure.acknowledged + DRAIN_S, run.started):
                continue
            what = f"request {run.id} began at {run.machine} {late_s:.2f} s after its leave"
            yield Breach(Rule.DRAIN, run.started, what)


def _config(case: _Case) -> Iterator[Breach]:
    """Finds agents that serve a version after they have served a later one."""
    lives: dict[tuple[str, int], list[Attempt]] = defaultdict(list)
    for attempt in case.evidence.attempts:
        if attempt.route in case.evidence.versions and attempt.served:
            lives[attempt.agent, attempt.life].append(attempt)
    for (agent, _), attempts in lives.items():
        for attempt in attempts:
            version = case.evidence.versions[attempt.route]
            slowed = case.paused(agent, attempt.sent - STABILITY_S, attempt.ended)
            slack_s = REVERT_SLACK_S * (_SLOWED_FACTOR if slowed else 1)
            newest = max(
                (
                    case.evidence.versions[other.route]
                    for other in attempts
                    if other.ended + slack_s < attempt.sent
                ),
                default=0,
            )
            if version < newest:
                what = f"{agent} served version {version} after {newest}, request {attempt.id}"
                yield Breach(Rule.CONFIG, attempt.sent, what)


def _grace(case: _Case) -> Iterator[Breach]:
    """Finds agents that had to be killed at the end of an undisturbed stop."""
    for event in case.evidence.processes:
        if event.signal is not Signal.EXIT or not event.forced:
            continue
        since = event.at - GRACE_S
        if case.disturbed(event.agent, since - STABILITY_S, event.at):
            continue
        if not case.stalled(since, event.at):
            yield Breach(Rule.GRACE, event.at, f"{event.agent} was killed after {GRACE_S:g} s")
