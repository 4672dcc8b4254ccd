"""Figures of a load."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import accumulate, pairwise

from .records import Record


@dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """Figures of a load. Only the last attempt of each request counts.

    Attributes:
        requests: Requests that were answered or given up.
        successes: Requests that succeeded.
        skipped: Requests of an open loop that were due and not sent.
        refusals: Numbers of failed requests by label; `status_N` without one.
        wrong_answers: Answers, of all attempts, that were not intact or for another request.
        duration_s: Seconds from the first request to the last answer.
        throughput: Successes per second.
        latency_p50_ms: Median latency of successes.
        latency_p99_ms: 99th percentile of it.
        unavailable_max_ms: Longest unavailable time of any key: the longest gap between
            successes of the key, or between one and an end of the load, during which a request
            for it failed.
        unavailable_p99_ms: 99th percentile, over the keys, of the longest gap of each key.
    """

    requests: int = 0
    successes: int = 0
    skipped: int = 0
    refusals: dict[str, int] = field(default_factory=dict)
    wrong_answers: int = 0
    duration_s: float = 0.0
    throughput: float = 0.0
    latency_p50_ms: float = 0.0
    latency_p99_ms: float = 0.0
    unavailable_max_ms: float = 0.0
    unavailable_p99_ms: float = 0.0


def summarize(records: Iterable[Record], skipped: int = 0) -> Summary:
    """Computes the figures of a load.

    Args:
        records: All attempts.
        skipped: Requests that were due and not sent.
    """
    attempts = tuple(records)
    finals = [record for record in attempts if record.final]
    if not finals:
        return Summary(skipped=skipped)
    successes = [record for record in finals if record.succeeded]
    failures = (record for record in finals if not record.succeeded)
    begin_s = min(record.begun_s for record in finals)
    end_s = max(record.end_s for record in finals)
    duration_s = max(end_s - begin_s, 1e-9)
    latencies = [(record.end_s - record.begun_s) * 1000 for record in successes]
    gaps = [gap_s * 1000 for gap_s in unavailable_times(finals).values()]
    return Summary(
        requests=len(finals),
        successes=len(successes),
        skipped=skipped,
        refusals=dict(Counter(record.label or f"status_{record.status}" for record in failures)),
        wrong_answers=sum(record.digest_ok is False for record in attempts),
        duration_s=duration_s,
        throughput=len(successes) / duration_s,
        latency_p50_ms=percentile(latencies, 50),
        latency_p99_ms=percentile(latencies, 99),
        unavailable_max_ms=max(gaps),
        unavailable_p99_ms=percentile(gaps, 99),
    )


def unavailable_times(finals: Sequence[Record]) -> dict[str, float]:
    """Returns the longest unavailable time of each key in seconds, 0 if no request failed.

    Args:
        finals: Last attempts of all requests.
    """
    if not finals:
        return {}
    begin_s = min(record.begun_s for record in finals)
    end_s = max(record.end_s for record in finals)
    by_key: dict[str, list[Record]] = {}
    for record in finals:
        by_key.setdefault(record.key, []).append(record)
    return {key: _longest_gap(found, begin_s, end_s) for key, found in by_key.items()}


def _longest_gap(records: list[Record], begin_s: float, end_s: float) -> float:
    ends = sorted(record.end_s for record in records if record.succeeded)
    failures = sorted((r.begun_s, r.end_s) for r in records if not r.succeeded)
    if not failures:
        return 0.0
    begins = [begun_s for begun_s, _ in failures]
    latest_ends = list(accumulate((failed_s for _, failed_s in failures), max))
    longest = 0.0
    for from_s, to_s in pairwise([begin_s, *ends, end_s]):
        begun_before = bisect_left(begins, to_s)
        if begun_before and latest_ends[begun_before - 1] > from_s:
            longest = max(longest, to_s - from_s)
    return longest


def percentile(values: Iterable[float], percent: float) -> float:
    """Returns the smallest value that at least so many percent of the values do not exceed."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(0, int(rank) - 1)]
