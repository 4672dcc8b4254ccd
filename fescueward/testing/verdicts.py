"""Verdicts on the invariants from the journals of upstreams and the records of callers.

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
    """What was violated. The numbers are those of docs/design.md, section 1.1."""

    TWO_OWNERS = "two_owners"  # 1: runs of one key overlap at two upstreams or two epochs
    EPOCH_REVERTED = "epoch_reverted"  # 1: a run starts below an epoch that has run before
    EPOCH_SHARED = "epoch_shared"  # 1: two upstreams run the same epoch of a shard
    OUTSIDE_GRANT = "outside_grant"  # 1: a run starts or ends without a valid grant
    WRONG_ANSWER = "wrong_answer"  # 3: an answer is not intact or belongs to another request
    ANSWER_WITHOUT_RUN = "answer_without_run"  # 3: no run ended that an answer can come from
    RAN_THOUGH_NOT_RUN = "ran_though_not_run"  # 4: a request ran that was reported as not run
    TOKEN_RAN_TWICE = "token_ran_twice"  # 5: a token was started more than once


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """One run of a request in an upstream. Times are CLOCK_BOOTTIME nanoseconds.

    Attributes:
        upstream: Name of the upstream.
        pid: Its process.
        service: Service.
        group: Number of the group.
        shard: Shard, or None.
        epoch: Epoch, or None.
        key: Key.
        request_id: Id of the request.
        token: Idempotency token, or None.
        start_ns: Start of the run.
        end_ns: When it ended in whatever way; None if the journal does not tell.
        ended_by: `end`, `aborted` or `exit`; None if the journal does not tell.
        grant_expiry_at_start_ns: End of the grant when it started; 0 if none is checked.
        grant_expiry_at_end_ns: End of the newest grant that the process had when the run ended.
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

        A process that was paused journals the abort of a run only after it was continued. The
        run has no effect after the end of the grant, so it does not count from then on.

        Args:
            now_ns: Time of the verdict, for runs without an end.
        """
        end_ns = now_ns if self.end_ns is None else self.end_ns
        if self.grant_expiry_at_end_ns and self.ended_by is not EventKind.END:
            return min(end_ns, self.grant_expiry_at_end_ns)
        return end_ns


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation.

    Attributes:
        rule: What was violated.
        detail: Keys, requests, upstreams and times involved.
    """

    rule: Rule
    detail: str


@dataclass(frozen=True, slots=True)
class Verdict:
    """Judgement of a test run.

    Attributes:
        violations: All violations.
        runs: Number of runs.
        ended: Number of runs that ended by themselves.
        requests: Number of request ids that ran.
        attempts: Runs divided by requests; 0 without runs.
    """

    violations: tuple[Violation, ...]
    runs: int
    ended: int
    requests: int
    attempts: float

    @property
    def holds(self) -> bool:
        """Whether nothing was violated."""
        return not self.violations

    def __str__(self) -> str:
        lines = [f"{found.rule}: {found.detail}" for found in self.violations[:20]]
        return "\n".join([f"{len(self.violations)} violations in {self.runs} runs", *lines])


def judge(events: Iterable[JournalEvent], records: Iterable[Record] = ()) -> Verdict:
    """Applies all rules.

    Args:
        events: Events of all upstreams.
        records: Records of all callers.
    """
    ordered = sorted(events, key=lambda event: event.time_ns)
    found = tuple(records)
    runs = collect_runs(ordered)
    now_ns = ordered[-1].time_ns if ordered else 0
    violations = (
        *find_overlapping_runs(runs, now_ns),
        *find_epoch_violations(runs),
        *find_runs_outside_grant(runs),
        *find_repeated_tokens(runs),
        *find_wrong_responses(found, runs),
        *find_runs_reported_as_not_run(found, runs),
    )
    requests = len({run.request_id for run in runs})
    return Verdict(
        violations=violations,
        runs=len(runs),
        ended=sum(run.ended_by is EventKind.END for run in runs),
        requests=requests,
        attempts=len(runs) / requests if requests else 0.0,
    )


def collect_runs(events: Sequence[JournalEvent]) -> tuple[Run, ...]:
    """Joins the events of each run.

    Args:
        events: Events in the order of their times.
    """
    done: list[Run] = []
    open_runs: dict[tuple[str, int], dict[int, Run]] = {}
    granted: dict[tuple[str, int], int] = {}
    for event in events:
        process = (event.upstream, event.pid)
        running = open_runs.setdefault(process, {})
        granted[process] = event.valid_until_ns or granted.get(process, 0)
        if event.kind is EventKind.START:
            running[event.run] = _started(event)
        elif event.kind in (EventKind.END, EventKind.ABORTED) and event.run in running:
            done.append(_ended(running.pop(event.run), event, event.valid_until_ns))
        elif event.kind is EventKind.EXIT:
            done += [_ended(run, event, granted[process]) for run in running.values()]
            running.clear()
    for process, running in open_runs.items():
        done += [replace(run, grant_expiry_at_end_ns=granted[process]) for run in running.values()]
    return tuple(sorted(done, key=lambda run: run.start_ns))


def find_overlapping_runs(runs: Iterable[Run], now_ns: int) -> tuple[Violation, ...]:
    """Finds runs of one key that overlap at two upstreams or under two epochs.

    Args:
        runs: Runs in the order of their starts.
        now_ns: Time of the verdict, for runs without an end.
    """
    violations = []
    latest: dict[tuple[str, str], dict[tuple[str, int, int | None], Run]] = {}
    for run in runs:
        owners = latest.setdefault((run.service, run.key), {})
        own = (run.upstream, run.pid, run.epoch)
        for owner, other in owners.items():
            until_ns = other.active_until_ns(now_ns)
            if owner != own and until_ns > run.start_ns:
                detail = (
                    f"{_name(run)} began {(until_ns - run.start_ns) / 1e6:.3f} ms before the end "
                    f"of {_name(other)}"
                )
                violations.append(Violation(Rule.TWO_OWNERS, detail))
        known = owners.get(own)
        if known is None or known.active_until_ns(now_ns) < run.active_until_ns(now_ns):
            owners[own] = run
    return tuple(violations)


def find_epoch_violations(runs: Iterable[Run]) -> tuple[Violation, ...]:
    """Finds epochs of a shard that go back or that two upstreams run.

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
            detail = f"{_name(run)} began after {_name(newest)}"
            violations.append(Violation(Rule.EPOCH_REVERTED, detail))
        else:
            highest[shard] = run
        holder = holders.setdefault((*shard, run.epoch), run.upstream)
        if holder != run.upstream:
            detail = f"{_name(run)} shares its epoch with {holder}"
            violations.append(Violation(Rule.EPOCH_SHARED, detail))
    return tuple(violations)


def find_runs_outside_grant(runs: Iterable[Run]) -> tuple[Violation, ...]:
    """Finds runs that start or end without a valid grant, at upstreams that check grants."""
    violations = []
    for run in runs:
        if not run.grant_expiry_at_start_ns:
            continue
        if run.start_ns >= run.grant_expiry_at_start_ns:
            violations.append(Violation(Rule.OUTSIDE_GRANT, f"{_name(run)} began without a grant"))
        ended = run.ended_by is EventKind.END and run.end_ns is not None
        if ended and run.end_ns >= run.grant_expiry_at_end_ns:
            violations.append(Violation(Rule.OUTSIDE_GRANT, f"{_name(run)} ended without a grant"))
    return tuple(violations)


def find_repeated_tokens(runs: Iterable[Run]) -> tuple[Violation, ...]:
    """Finds tokens that were started more than once."""
    first: dict[tuple[str, str], Run] = {}
    violations = []
    for run in runs:
        if run.token is None:
            continue
        known = first.setdefault((run.service, run.token), run)
        if known is not run:
            detail = f"token {run.token} ran as {_name(known)} and as {_name(run)}"
            violations.append(Violation(Rule.TOKEN_RAN_TWICE, detail))
    return tuple(violations)


def find_wrong_responses(records: Iterable[Record], runs: Iterable[Run]) -> tuple[Violation, ...]:
    """Finds answers that are not intact, or that no ended run can have given.

    An answer with a token may come from an earlier attempt with the same token.
    """
    ended = [run for run in runs if run.ended_by is EventKind.END]
    request_ids = {run.request_id for run in ended}
    tokens = {run.token for run in ended if run.token is not None}
    violations = []
    for record in records:
        if record.digest_ok is False:
            violations.append(Violation(Rule.WRONG_ANSWER, _attempt(record)))
        elif record.digest_ok and not (record.request_id in request_ids or record.token in tokens):
            violations.append(Violation(Rule.ANSWER_WITHOUT_RUN, _attempt(record)))
    return tuple(violations)


def find_runs_reported_as_not_run(
    records: Iterable[Record], runs: Iterable[Run]
) -> tuple[Violation, ...]:
    """Finds requests that ran although their caller was told that they did not."""
    ran = {run.request_id: run for run in runs}
    violations = []
    for record in records:
        run = ran.get(record.request_id)
        if record.outcome is Outcome.NOT_RUN and run is not None:
            detail = f"{_attempt(record)} ran as {_name(run)}"
            violations.append(Violation(Rule.RAN_THOUGH_NOT_RUN, detail))
    return tuple(violations)


def _started(event: JournalEvent) -> Run:
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


def _ended(run: Run, event: JournalEvent, granted_ns: int) -> Run:
    return replace(
        run, end_ns=event.time_ns, ended_by=event.kind, grant_expiry_at_end_ns=granted_ns
    )


def _name(run: Run) -> str:
    return (
        f"request {run.request_id} of key {run.key!r} at {run.upstream} (shard {run.shard}, "
        f"epoch {run.epoch}, {run.start_ns} ns)"
    )


def _attempt(record: Record) -> str:
    return (
        f"request {record.request_id} of key {record.key!r}, status {record.status}, label "
        f"{record.label!r}, sent to {record.target}"
    )
