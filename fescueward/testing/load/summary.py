"""Summary of a load: counts, latency and unavailable time."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import accumulate, pairwise

from .records import Record


@dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """Summary of a load. Only the last attempt of each request counts, unless noted.

    Attributes:
        requests: Requests that ended, with a response or without.
        successes: Requests that succeeded.
        skipped: Requests of an open loop that were due but were not sent.
        refusals: Numbers of failed requests by label, or by `status_N` if there is no label.
        wrong_answers: Responses to any attempt that were not intact or belonged to another
            request.
        duration_s: Seconds from the first request to the last response.
        throughput: Successes per second.
        latency_p50_ms: Median latency of successes.
        latency_p99_ms: 99th percentile of the latency of successes.
        unavailable_max_ms: Longest unavailable time of any key: the longest gap between
            successes of the key, or between a success and the start or end of the load, during
            which a request for the key failed.
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
    """Returns the summary of a load.

    Args:
        records: Records of all attempts.
        skipped: Number of requests that were due but were not sent.
    """
    attempts = tuple(records)
    final_attempts = [record for record in attempts if record.final]
    if not final_attempts:
        return Summary(skipped=skipped)
    successes = [record for record in final_attempts if record.succeeded]
    failures = (record for record in final_attempts if not record.succeeded)
    begin_s = min(record.begun_s for record in final_attempts)
    end_s = max(record.end_s for record in final_attempts)
    duration_s = max(end_s - begin_s, 1e-9)
    latencies_ms = [(record.end_s - record.begun_s) * 1000 for record in successes]
    gaps_ms = [gap_s * 1000 for gap_s in unavailable_times(final_attempts).values()]
    return Summary(
        requests=len(final_attempts),
        successes=len(successes),
        skipped=skipped,
        refusals=dict(Counter(record.label or f"status_{record.status}" for record in failures)),
        wrong_answers=sum(record.digest_ok is False for record in attempts),
        duration_s=duration_s,
        throughput=len(successes) / duration_s,
        latency_p50_ms=percentile(latencies_ms, 50),
        latency_p99_ms=percentile(latencies_ms, 99),
        unavailable_max_ms=max(gaps_ms),
        unavailable_p99_ms=percentile(gaps_ms, 99),
    )


def unavailable_times(final_attempts: Sequence[Record]) -> dict[str, float]:
    """Returns the longest unavailable time of each key in seconds, 0 if no request failed.

    Args:
        final_attempts: Records of the last attempts of all requests.
    """
    if not final_attempts:
        return {}
    begin_s = min(record.begun_s for record in final_attempts)
    end_s = max(record.end_s for record in final_attempts)
    records_by_key: dict[str, list[Record]] = {}
    for record in final_attempts:
        records_by_key.setdefault(record.key, []).append(record)
    return {
        key: _longest_gap_s(key_records, begin_s, end_s)
        for key, key_records in records_by_key.items()
    }


def _longest_gap_s(records: list[Record], begin_s: float, end_s: float) -> float:
    success_ends_s = sorted(record.end_s for record in records if record.succeeded)
    failures = sorted((r.begun_s, r.end_s) for r in records if not r.succeeded)
    if not failures:
        return 0.0
    failure_starts_s = [begun_s for begun_s, _ in failures]
    latest_failure_ends_s = list(accumulate((failure_end_s for _, failure_end_s in failures), max))
    longest_s = 0.0
    for from_s, to_s in pairwise([begin_s, *success_ends_s, end_s]):
        started_before = bisect_left(failure_starts_s, to_s)
        if started_before and latest_failure_ends_s[started_before - 1] > from_s:
            longest_s = max(longest_s, to_s - from_s)
    return longest_s


def percentile(values: Iterable[float], percent: float) -> float:
    """Returns a percentile of the values by the nearest-rank method, 0.0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(0, int(rank) - 1)]
