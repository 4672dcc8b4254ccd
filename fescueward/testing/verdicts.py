"""Checks of the invariants on the journals of upstreams and the records of callers.

All times are CLOCK_BOOTTIME of one machine, so events of different processes are comparable.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from ..kernel.errors import Outcome
from .journal import EventKind, JournalEvent
from .load import Record


class Rule(enum.StrEnum):
    """Rules that can be violated. The numbers are those of docs/design.md, section 1.1."""

    TWO_OWNERS = "two_owners"  # 1: runs of one key overlap at two upstreams or two epochs
    EPOCH_REVERTED = "epoch_reverted"  # 1: a run starts below an epoch that has run before
    EPOCH_SHARED = "epoch_shared"  # 1: two upstreams run the same epoch of a shard
    OUTSIDE_GRANT = "outside_grant"  # 1: a run starts or ends without a valid grant
    WRONG_ANSWER = "wrong_answer"  # 3: a response is not intact or belongs to another request
    ANSWER_WITHOUT_RUN = "answer_without_run"  # 3: no completed run can have sent the response
    RAN_THOUGH_NOT_RUN = "ran_though_not_run"  # 4: a request ran that was reported as not run
    TOKEN_RAN_TWICE = "token_ran_twice"  # 5: a token was started more than once


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """One run of a request in an upstream. Times are CLOCK_BOOTTIME nanoseconds.

    Attributes:
        upstream: Name of the upstream.
        pid: Process id of the upstream.
        service: Service of the upstream.
        group: Number of the upstream's group.
        shard: Shard that the request names, or None.
        epoch: Epoch that the request names, or None.
        key: Key of the request.
        request_id: Id of the request.
        token: Idempotency token, or None.
        start_ns: Start of the run.
        end_ns: End of the run, complete or not; None if the journal contains no end.
        ended_by: `end`, `aborted` or `exit`; None if the journal contains no end.
        grant_expiry_at_start_ns: Expiry of the grants of the process when the run started; 0 if
            the upstream checks no grants.
        grant_expiry_at_end_ns: Expiry of the newest grants of the process when the run ended.
    """

    upstream: str
    pid: int
    service: str
    group: int
    shard: int | None
    epoch: int | None
    key: str
    request_id: str
    token: str | None
    start_ns: int
    end_ns: int | None = None
    ended_by: EventKind | None = None
    grant_expiry_at_start_ns: int = 0
    grant_expiry_at_end_ns: int = 0

    def active_until_ns(self, now_ns: int) -> int:
        """Returns the time until which the run could have an effect.

        A process that was paused writes the abort of a run to its journal only after it was
        resumed. The run has no effect after the expiry of the grant, so it counts until then.

        Args:
            now_ns: Time of the verdict, for runs without an end.
        """
        end_ns = now_ns if self.end_ns is None else self.end_ns
        if self.grant_expiry_at_end_ns and self.ended_by is not EventKind.END:
            return min(end_ns, self.grant_expiry_at_end_ns)
        return end_ns


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule.

    Attributes:
        rule: The violated rule.
        detail: Keys, requests, upstreams and times involved.
    """

    rule: Rule
    detail: str


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of the checks on a test run.

    Attributes:
        violations: All violations.
        runs: Number of runs.
        completed: Number of runs that were neither aborted nor ended by an exit.
        requests: Number of distinct request ids that ran.
        runs_per_request: Runs divided by requests; 0 without runs.
    """

    violations: tuple[Violation, ...]
    runs: int
    completed: int
    requests: int
    runs_per_request: float

    @property
    def holds(self) -> bool:
        """Whether no rule was violated."""
        return not self.violations

    def __str__(self) -> str:
        lines = [f"{violation.rule}: {violation.detail}" for violation in self.violations[:20]]
        return "\n".join([f"{len(self.violations)} violations in {self.runs} runs", *lines])


def judge(events: Iterable[JournalEvent], records: Iterable[Record] = ()) -> Verdict:
    """Checks all rules and returns the verdict.

    Args:
        events: Journal events of all upstreams, in any order.
        records: Records of all callers.
    """
    ordered_events = sorted(events, key=lambda event: event.time_ns)
    all_records = tuple(records)
    runs = collect_runs(ordered_events)
    now_ns = ordered_events[-1].time_ns if ordered_events else 0
    violations = (
        *find_overlapping_runs(runs, now_ns),
        *find_epoch_violations(runs),
        *find_runs_outside_grant(runs),
        *find_repeated_tokens(runs),
        *find_wrong_responses(all_records, runs),
        *find_runs_reported_as_not_run(all_records, runs),
    )
    requests = len({run.request_id for run in runs})
    return Verdict(
        violations=violations,
        runs=len(runs),
        completed=sum(run.ended_by is EventKind.END for run in runs),
        requests=requests,
        runs_per_request=len(runs) / requests if requests else 0.0,
    )


def collect_runs(events: Sequence[JournalEvent]) -> tuple[Run, ...]:
    """Returns the runs that journal events describe, in the order of their starts.

    Args:
        events: Events in the order of their times.
    """
    collected_runs: list[Run] = []
    open_runs: dict[tuple[str, int], dict[int, Run]] = {}
    grant_expiries_ns: dict[tuple[str, int], int] = {}
    for event in events:
        process = (event.upstream, event.pid)
        running = open_runs.setdefault(process, {})
        grant_expiries_ns[process] = event.valid_until_ns or grant_expiries_ns.get(process, 0)
        if event.kind is EventKind.START:
            running[event.run] = _run_from_start(event)
        elif event.kind in (EventKind.END, EventKind.ABORTED) and event.run in running:
            collected_runs.append(_finish_run(running.pop(event.run), event, event.valid_until_ns))
        elif event.kind is EventKind.EXIT:
            collected_runs += [
                _finish_run(run, event, grant_expiries_ns[process]) for run in running.values()
            ]
            running.clear()
    for process, running in open_runs.items():
        collected_runs += [
            replace(run, grant_expiry_at_end_ns=grant_expiries_ns[process])
            for run in running.values()
        ]
    return tuple(sorted(collected_runs, key=lambda run: run.start_ns))


def find_overlapping_runs(runs: Iterable[Run], now_ns: int) -> tuple[Violation, ...]:
    """Finds runs of one key that overlap at two upstreams or under two epochs.

    Args:
        runs: Runs in the order of their starts.
        now_ns: Time of the verdict, for runs without an end.
    """
    violations = []
    # The run of each owner that is active longest, by service and key.
    latest_runs: dict[tuple[str, str], dict[tuple[str, int, int | None], Run]] = {}
    for run in runs:
        runs_by_owner = latest_runs.setdefault((run.service, run.key), {})
        run_owner = (run.upstream, run.pid, run.epoch)
        for owner, other in runs_by_owner.items():
            until_ns = other.active_until_ns(now_ns)
            if owner != run_owner and until_ns > run.start_ns:
                detail = (
                    f"{_describe_run(run)} started {(until_ns - run.start_ns) / 1e6:.3f} ms "
                    f"before the end of {_describe_run(other)}"
                )
                violations.append(Violation(Rule.TWO_OWNERS, detail))
        latest = runs_by_owner.get(run_owner)
        if latest is None or latest.active_until_ns(now_ns) < run.active_until_ns(now_ns):
            runs_by_owner[run_owner] = run
    return tuple(violations)


def find_epoch_violations(runs: Iterable[Run]) -> tuple[Violation, ...]:
    """Finds epochs of a shard that decrease, and epochs that two upstreams run.

    Args:
        runs: Runs in the order of their starts.
    """
    violations = []
    highest: dict[tuple[str, int, int], Run] = {}
    holders: dict[tuple[str, int, int, int], str] = {}
    for run in runs:
        if run.shard is None or run.epoch is None:
            continue
        shard = (run.service, run.group, run.shard)
        newest = highest.get(shard)
        if newest is not None and newest.epoch is not None and run.epoch < newest.epoch:
            detail = f"{_describe_run(run)} started after {_describe_run(newest)}"
            violations.append(Violation(Rule.EPOCH_REVERTED, detail))
        else:
            highest[shard] = run
        holder = holders.setdefault((*shard, run.epoch), run.upstream)
        if holder != run.upstream:
            detail = f"{_describe_run(run)} shares its epoch with {holder}"
            violations.append(Violation(Rule.EPOCH_SHARED, detail))
    return tuple(violations)


def find_runs_outside_grant(runs: Iterable[Run]) -> tuple[Violation, ...]:
    """Finds runs that start or end without a valid grant, at upstreams that check grants."""
    violations = []
    for run in runs:
        if not run.grant_expiry_at_start_ns:
            continue
        if run.start_ns >= run.grant_expiry_at_start_ns:
            violations.append(
                Violation(Rule.OUTSIDE_GRANT, f"{_describe_run(run)} started without a grant")
            )
        completed = run.ended_by is EventKind.END and run.end_ns is not None
        if completed and run.end_ns >= run.grant_expiry_at_end_ns:
            violations.append(
                Violation(Rule.OUTSIDE_GRANT, f"{_describe_run(run)} ended without a grant")
            )
    return tuple(violations)


def find_repeated_tokens(runs: Iterable[Run]) -> tuple[Violation, ...]:
    """Finds tokens for which more than one run was started."""
    first_runs: dict[tuple[str, str], Run] = {}
    violations = []
    for run in runs:
        if run.token is None:
            continue
        first_run = first_runs.setdefault((run.service, run.token), run)
        if first_run is not run:
            detail = (
                f"token {run.token} ran as {_describe_run(first_run)} and as {_describe_run(run)}"
            )
            violations.append(Violation(Rule.TOKEN_RAN_TWICE, detail))
    return tuple(violations)


def find_wrong_responses(records: Iterable[Record], runs: Iterable[Run]) -> tuple[Violation, ...]:
    """Finds responses that are not intact, or that no completed run can have sent.

    The response to a request with a token may come from an earlier attempt with the same token.
    """
    completed = [run for run in runs if run.ended_by is EventKind.END]
    request_ids = {run.request_id for run in completed}
    tokens = {run.token for run in completed if run.token is not None}
    violations = []
    for record in records:
        if record.digest_ok is False:
            violations.append(Violation(Rule.WRONG_ANSWER, _describe_attempt(record)))
        elif record.digest_ok and not (record.request_id in request_ids or record.token in tokens):
            violations.append(Violation(Rule.ANSWER_WITHOUT_RUN, _describe_attempt(record)))
    return tuple(violations)


def find_runs_reported_as_not_run(
    records: Iterable[Record], runs: Iterable[Run]
) -> tuple[Violation, ...]:
    """Finds requests that ran although they were reported to the caller as not run."""
    runs_by_request = {run.request_id: run for run in runs}
    violations = []
    for record in records:
        run = runs_by_request.get(record.request_id)
        if record.outcome is Outcome.NOT_RUN and run is not None:
            detail = f"{_describe_attempt(record)} ran as {_describe_run(run)}"
            violations.append(Violation(Rule.RAN_THOUGH_NOT_RUN, detail))
    return tuple(violations)


def _run_from_start(event: JournalEvent) -> Run:
    return Run(
        upstream=event.upstream,
        pid=event.pid,
        service=event.service,
        group=event.group,
        shard=event.shard,
        epoch=event.epoch,
        key=event.key,
        request_id=event.request_id,
        token=event.token,
        start_ns=event.time_ns,
        grant_expiry_at_start_ns=event.valid_until_ns,
    )


def _finish_run(run: Run, event: JournalEvent, grant_expiry_ns: int) -> Run:
    return replace(
        run, end_ns=event.time_ns, ended_by=event.kind, grant_expiry_at_end_ns=grant_expiry_ns
    )


def _describe_run(run: Run) -> str:
    return (
        f"request {run.request_id} of key {run.key!r} at {run.upstream} (shard {run.shard}, "
        f"epoch {run.epoch}, {run.start_ns} ns)"
    )


def _describe_attempt(record: Record) -> str:
    return (
        f"request {record.request_id} of key {record.key!r}, status {record.status}, label "
        f"{record.label!r}, sent to {record.target}"
    )
