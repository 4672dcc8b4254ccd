"""Checks the recorded evidence against the platform's rules."""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations

from .operator import GRACE_S
from .records import Attempt, Departure, Evidence, Hold, Run, Signal, receipt

# Bounds of the platform's smaller deployments.
DRAIN_S = 2.0
STABILITY_S = 3.0
LOSS_SLACK_S = 0.2
THAW_SLACK_S = 0.3
PROPAGATION_S = 2.0
EVACUATE_S = 5.0
REVERT_SLACK_S = 0.25
# Factor on `REVERT_SLACK_S` for a machine that was paused.
_PAUSED_SLACK_FACTOR = 8
# Two holds of a key that overlap for longer break `OWNER` even if no request ran meanwhile.
_MAX_OVERLAP_S = 0.5
# A request sent up to this time after SIGTERM may be cut off in the last sixth of the grace time.
_EARLY_REQUEST_S = 3.0
_CUTOFF_SHARE = 5 / 6
# Window in which the requests to an upstream with a limit are counted, the factor on what the
# limit allows in it, and the requests that are allowed besides.
_LIMIT_WINDOW_S = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5
# Statuses which state that a request has not run and never will.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_UNPLANNED_SIGNALS = frozenset({Signal.KILL, Signal.PAUSE, Signal.CONTINUE})


class Rule(enum.StrEnum):
    """Rules of the platform under its names, and `GRACE`.

    `GRACE` requires an undisturbed agent to exit by itself within its grace time. `RECOVER` is
    checked by the soak instead of the judge.
    """

    LOST = "LOST"
    TWICE = "TWICE"
    REFUSED = "REFUSED"
    OWNER = "OWNER"
    MIXED = "MIXED"
    DRAIN = "DRAIN"
    EVAC = "EVAC"
    LIMIT = "LIMIT"
    CONFIG = "CONFIG"
    GRACE = "GRACE"
    RECOVER = "RECOVER"


@dataclass(frozen=True, slots=True)
class Breach:
    """A violation of a rule.

    Attributes:
        rule: The violated rule.
        at: Time of the violation, in seconds of `time.monotonic`.
        detail: What happened, with the ids of requests and agents.
    """

    rule: Rule
    at: float
    detail: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f}: {self.detail}"


def judge(evidence: Evidence) -> tuple[Breach, ...]:
    """Returns all breaches of the evidence, in order of time."""
    index = _EvidenceIndex(evidence)
    checks = (
        _find_lost,
        _find_forbidden_runs,
        _find_mixed,
        _find_double_owners,
        _find_late_runs,
        _find_evacuated_runs,
        _find_excess,
        _find_reverted_versions,
        _find_forced_exits,
    )
    return tuple(
        sorted(
            (breach for check in checks for breach in check(index)), key=lambda breach: breach.at
        )
    )


class _EvidenceIndex:
    """The evidence with an index of the runs and queries for faults."""

    def __init__(self, evidence: Evidence) -> None:
        self.evidence = evidence
        self.runs: dict[str, list[Run]] = defaultdict(list)
        for run in evidence.runs:
            self.runs[run.id].append(run)
        self.origins = {attempt.id: attempt.agent for attempt in evidence.attempts}

    def responses(self, agent: str, departure: Departure) -> int:
        """Returns how many responses of a leaving upstream an agent has passed on."""
        instance = departure.instance.partition("@")[0]
        return sum(
            attempt.agent == agent
            and attempt.receipt.startswith(f"{instance}.")
            and attempt.ended >= departure.acknowledged
            for attempt in self.evidence.attempts
        )

    def disturbed(self, machine: str, since: float, until: float, store: bool = False) -> bool:
        """Returns whether an unplanned fault affected a machine in a period.

        Args:
            machine: Name of the machine.
            since: Start of the period.
            until: End of the period.
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
            event.agent == machine
            and event.signal in _UNPLANNED_SIGNALS
            and since <= event.at <= until
            for event in self.evidence.processes
        )
        return any(faults) or any(signals) or self.paused(machine, since, until)

    def stalled(self, since: float, until: float) -> bool:
        """Returns whether the emulator stalled in a period, which makes its timestamps late."""
        return any(stall.since <= until and since <= stall.until for stall in self.evidence.stalls)

    def paused(self, machine: str, since: float, until: float) -> bool:
        """Returns whether an agent was paused during some part of a period."""
        paused_at: float | None = None
        for event in self.evidence.processes:
            if event.agent != machine:
                continue
            if event.signal is Signal.PAUSE:
                paused_at = event.at
            elif paused_at is not None and event.signal in (Signal.CONTINUE, Signal.EXIT):
                if paused_at <= until and since <= event.at:
                    return True
                paused_at = None
        return paused_at is not None and paused_at <= until


def _find_lost(index: _EvidenceIndex) -> Iterator[Breach]:
    """Finds requests that an agent read and did not respond to around a planned stop or reload."""
    planned_signals = [
        event for event in index.evidence.processes if event.signal in (Signal.TERM, Signal.HANGUP)
    ]
    for attempt in index.evidence.attempts:
        runs = index.runs.get(attempt.id, [])
        if not _cut_off(attempt, runs) or any(run.status == 0 for run in runs):
            continue
        if not runs and index.stalled(attempt.sent, attempt.ended):
            # Without a run only the elapsed time shows whether the agent read the request, and a
            # stall falsifies it.
            continue
        machines = {attempt.agent, *(run.machine for run in runs)}
        since = attempt.sent - STABILITY_S
        if any(
            index.disturbed(machine, since, attempt.ended, store=attempt.key is not None)
            for machine in machines
        ):
            continue
        for event in planned_signals:
            if event.agent != attempt.agent or event.life != attempt.life:
                continue
            bound_s = GRACE_S + 1 if event.signal is Signal.TERM else PROPAGATION_S
            if not event.at <= attempt.ended or attempt.sent > event.at + bound_s:
                continue
            cutoff = event.at + GRACE_S * _CUTOFF_SHARE
            if (
                any(run.ended > cutoff for run in runs)
                and attempt.sent <= event.at + _EARLY_REQUEST_S
            ):
                continue
            yield Breach(
                Rule.LOST,
                attempt.ended,
                f"request {attempt.id} to {attempt.agent}, sent {attempt.sent - event.at:.2f} s "
                f"after {event.signal}, ended after {attempt.ended - attempt.sent:.2f} s with "
                f"status {attempt.status} {attempt.error}; runs {len(runs)}",
            )
            break


def _cut_off(attempt: Attempt, runs: list[Run]) -> bool:
    """Returns whether a request was read and cut off before the caller's timeout."""
    if attempt.receipt or not attempt.connected or attempt.error == "TimeoutError":
        return False
    if attempt.ended - attempt.sent >= attempt.timeout_s:
        return False
    if attempt.status:
        # The agent sent a response of its own although an upstream was still executing the
        # request.
        return any(run.started < attempt.ended < run.ended for run in runs)
    return bool(runs) or attempt.ended - attempt.sent > LOSS_SLACK_S


def _find_forbidden_runs(index: _EvidenceIndex) -> Iterator[Breach]:
    """Finds non-idempotent requests that ran twice, or that ran and were reported as not run."""
    for attempt in index.evidence.attempts:
        runs = index.runs.get(attempt.id, [])
        if attempt.repeatable or not runs:
            continue
        machines = ", ".join(run.machine for run in runs)
        if len(runs) > 1:
            detail = f"request {attempt.id} ran at {machines}"
            yield Breach(Rule.TWICE, runs[1].started, detail)
        if attempt.status in _NOT_RUN_STATUSES:
            detail = f"request {attempt.id} was answered {attempt.status} and ran at {machines}"
            yield Breach(Rule.REFUSED, attempt.ended, detail)


def _find_mixed(index: _EvidenceIndex) -> Iterator[Breach]:
    """Finds responses that do not match the upstream's response to the same request."""
    for attempt in index.evidence.attempts:
        if not attempt.receipt and not 200 <= attempt.status < 300:
            continue
        instances = {run.instance.partition("@")[0] for run in index.runs.get(attempt.id, [])}
        receipts = {receipt(instance, attempt.id, attempt.status) for instance in instances}
        mismatches = [
            name
            for name, matches in (
                ("receipt", attempt.receipt in receipts),
                ("request id", attempt.echo == attempt.id),
                ("body", attempt.whole),
            )
            if not matches
        ]
        if mismatches:
            detail = (
                f"request {attempt.id} to {attempt.agent}, status {attempt.status}: {mismatches}"
            )
            yield Breach(Rule.MIXED, attempt.ended, detail)


def _find_double_owners(index: _EvidenceIndex) -> Iterator[Breach]:
    """Finds keys held by two starts at the same time, and epochs that did not increase."""
    runs_by_start: dict[str, list[Run]] = defaultdict(list)
    for run in index.evidence.runs:
        runs_by_start[run.instance].append(run)
    holds = sorted(
        (hold for hold in index.evidence.holds if not _may_be_delayed(index, hold)),
        key=lambda hold: hold.since,
    )
    for earlier, later in combinations(holds, 2):
        low, high = max(earlier.first, later.first), min(earlier.last, later.last)
        if earlier.service != later.service or earlier.instance == later.instance or low > high:
            continue
        detail = f"keys {low} to {high} of {earlier.service}: {earlier} and {later}"
        if later.fence <= earlier.fence:
            yield Breach(Rule.OWNER, later.since, f"epoch does not grow, {detail}")
        until = min(earlier.until, later.until)
        both_ran = all(
            any(
                run.key is not None
                and low <= run.key <= high
                and later.since < run.started < until
                for run in runs_by_start[hold.instance]
            )
            for hold in (earlier, later)
        )
        if until - later.since > _MAX_OVERLAP_S or both_ran:
            detail = f"held together for {until - later.since:.3f} s, {detail}"
            yield Breach(Rule.OWNER, later.since, detail)


def _may_be_delayed(index: _EvidenceIndex, hold: Hold) -> bool:
    """Returns whether a pause, a link fault or a stall may have delayed the grant of a hold."""
    since = hold.since - THAW_SLACK_S
    return index.disturbed(hold.machine, since, hold.since) or index.stalled(since, hold.since)


def _find_late_runs(index: _EvidenceIndex) -> Iterator[Breach]:
    """Finds runs that began more than `DRAIN_S` after a departure was acknowledged."""
    for departure in index.evidence.departures:
        for run in index.evidence.runs:
            late_s = run.started - departure.acknowledged
            if run.instance != departure.instance or late_s <= DRAIN_S:
                continue
            since = departure.acknowledged - STABILITY_S
            machine = departure.machine
            if departure.in_response:
                # Of the agents that passed responses on, only a restarted one may have forgotten.
                machine, since = index.origins.get(run.id, ""), departure.acknowledged
            if index.disturbed(machine, since, run.started):
                continue
            if index.stalled(departure.acknowledged + DRAIN_S, run.started):
                continue
            origin = index.origins.get(run.id, "an unknown agent")
            detail = (
                f"request {run.id} of {origin} began at {run.machine} {late_s:.2f} s after its "
                f"leave; {index.responses(origin, departure)} responses of it to {origin} since"
            )
            yield Breach(Rule.DRAIN, run.started, detail)


def _find_evacuated_runs(index: _EvidenceIndex) -> Iterator[Breach]:
    """Finds runs in a failure domain later than `EVACUATE_S` after it was to be evacuated.

    The agent beside the upstream sends the request. One that was disturbed may have learned of the
    evacuation that much later.
    """
    for evacuation in index.evidence.evacuations:
        for run in index.evidence.runs:
            late_s = run.started - evacuation.acknowledged
            if run.machine not in evacuation.machines or late_s <= EVACUATE_S:
                continue
            if run.started >= evacuation.removed:
                continue
            since = run.started - EVACUATE_S - STABILITY_S
            if index.disturbed(run.machine, since, run.started, store=True):
                continue
            if index.stalled(since, run.started):
                continue
            detail = (
                f"request {run.id} began at {run.machine} {late_s:.2f} s after the evacuation of "
                f"{evacuation.domain}"
            )
            yield Breach(Rule.EVAC, run.started, detail)


def _find_excess(index: _EvidenceIndex) -> Iterator[Breach]:
    """Finds upstreams that got more requests than the limit that they had named permits."""
    for limit in index.evidence.rate_limits:
        times = sorted(
            arrival.at
            for arrival in index.evidence.arrivals
            if arrival.instance == limit.instance
            and limit.since + STABILITY_S <= arrival.at <= limit.until
        )
        allowed = _LIMIT_FACTOR * _LIMIT_WINDOW_S * limit.per_second + _LIMIT_SLACK
        first = 0
        for last, at in enumerate(times):
            while times[first] < at - _LIMIT_WINDOW_S:
                first += 1
            if last - first + 1 > allowed:
                detail = f"{last - first + 1} requests at {limit.instance}, allowed {allowed:.0f}"
                yield Breach(Rule.LIMIT, at, detail)
                break


def _find_reverted_versions(index: _EvidenceIndex) -> Iterator[Breach]:
    """Finds agents that served a configuration version after a later one."""
    attempts_by_start: dict[tuple[str, int], list[Attempt]] = defaultdict(list)
    for attempt in index.evidence.attempts:
        if attempt.route in index.evidence.versions and attempt.served:
            attempts_by_start[attempt.agent, attempt.life].append(attempt)
    for (agent, _), attempts in attempts_by_start.items():
        for attempt in attempts:
            version = index.evidence.versions[attempt.route]
            paused = index.paused(agent, attempt.sent - STABILITY_S, attempt.ended)
            slack_s = REVERT_SLACK_S * (_PAUSED_SLACK_FACTOR if paused else 1)
            newest = max(
                (
                    index.evidence.versions[other.route]
                    for other in attempts
                    if other.ended + slack_s < attempt.sent
                ),
                default=0,
            )
            if version < newest:
                detail = f"{agent} served version {version} after {newest}, request {attempt.id}"
                yield Breach(Rule.CONFIG, attempt.sent, detail)


def _find_forced_exits(index: _EvidenceIndex) -> Iterator[Breach]:
    """Finds agents that were killed because an undisturbed stop exceeded the grace time."""
    for event in index.evidence.processes:
        if event.signal is not Signal.EXIT or not event.forced:
            continue
        since = event.at - GRACE_S
        if index.disturbed(event.agent, since - STABILITY_S, event.at):
            continue
        if not index.stalled(since, event.at):
            yield Breach(Rule.GRACE, event.at, f"{event.agent} was killed after {GRACE_S:g} s")
