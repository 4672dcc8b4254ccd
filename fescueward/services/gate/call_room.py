"""Limits the runs of a route whose calls fail."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from ...kernel import Event, Level

_RUNS_LIMITED = Event(
    3420,
    "runs_limited",
    Level.INFO,
    "Calls of the runs of a route fail, so a share of its runs is begun.",
)
_RUNS_UNLIMITED = Event(3421, "runs_unlimited", Level.INFO, "All runs of a route are begun again.")

# Time in which counts of calls lose two thirds of their weight.
_COUNT_S = 3.0
# A limit is lowered when this many recent calls and this share of them have failed: single
# failures say nothing about room.
_MIN_FAILED = 1.5
_MIN_FAILED_SHARE = 0.1
# The share of runs is multiplied by this factor, at most once in the time that a call takes:
# failures of calls that overlap report the same shortage.
_REDUCTION_FACTOR = 0.75
# Recovery of the share per second.
_RECOVERY_PER_S = 0.15
# Share of the runs that is begun in any case. They show when there is room again, and keep the
# route from being starved.
_PROBING_SHARE = 0.4
# Weight of the newest call in the mean time of calls.
_SAMPLE_WEIGHT = 0.1
_MIN_RETRY_AFTER_S = 0.1


@dataclass(slots=True)
class _RouteLimit:
    """Limit of the runs of one route.

    Attributes:
        share: Share of the runs that may begin.
        call_s: Mean time of a call in seconds.
        failed: Recent failed calls.
        ended: All recent calls.
        retry_after_s: Time until the called service has room, as its last refusal said.
        lowered_at: When the share was lowered last, in seconds of CLOCK_BOOTTIME.
        updated_at: Until when counts and share are computed, in seconds of CLOCK_BOOTTIME.
    """

    share: float = 1.0
    call_s: float = 0.0
    failed: float = 0.0
    ended: float = 0.0
    retry_after_s: float = 0.0
    lowered_at: float = 0.0
    updated_at: float = 0.0


class RunLimits:
    """Shares of the runs that begin, by route, as the recent calls of these runs have fared.

    It answers a called service that is short of room: a run whose call fails has taken a slot and
    the room of its other calls in vain, so that fewer runs serve more callers. What is learned
    fades within 5 s.
    """

    def __init__(self) -> None:
        self._limits: dict[str, _RouteLimit] = {}

    def record_call(
        self, route: str, seconds: float, now: float, failed: bool, retry_after_s: float = 0.0
    ) -> None:
        """Counts the end of a call.

        Args:
            route: Route of the run that has made it.
            seconds: Its time in seconds.
            now: Current time in seconds of CLOCK_BOOTTIME.
            failed: Whether it was refused or failed.
            retry_after_s: Time until there is room, as a refusal said.
        """
        limit = self._limits.setdefault(route, _RouteLimit(updated_at=now))
        self._recover(route, limit, now)
        limit.ended += 1
        limit.call_s += _SAMPLE_WEIGHT * (seconds - limit.call_s)
        if not failed:
            return
        limit.failed += 1
        limit.retry_after_s = retry_after_s
        if limit.failed < max(_MIN_FAILED, limit.ended * _MIN_FAILED_SHARE):
            return
        if now - limit.lowered_at < limit.call_s:
            return
        if limit.share == 1.0:
            _RUNS_LIMITED.emit(
                route=route, failed=round(limit.failed, 1), ended=round(limit.ended, 1)
            )
        limit.share = max(limit.share * _REDUCTION_FACTOR, _PROBING_SHARE)
        limit.lowered_at = now

    def retry_after_s(self, route: str, request_id: str, now: float) -> float | None:
        """Decides whether a run begins.

        Agents with the same limit decide alike on a request, so that one which is offered to
        several of them does not begin after all. An attempt that comes back has a new id.

        Args:
            route: Route of the request.
            request_id: Id of the request.
            now: Current time in seconds of CLOCK_BOOTTIME.

        Returns:
            None if it begins, else the time in seconds after which its caller is to come back.
        """
        limit = self._limits.get(route)
        if limit is None:
            return None
        self._recover(route, limit, now)
        if xxhash.xxh32_intdigest(request_id.encode()) < limit.share * 2**32:
            return None
        return max(limit.retry_after_s, limit.call_s, _MIN_RETRY_AFTER_S)

    def _recover(self, route: str, limit: _RouteLimit, now: float) -> None:
        elapsed_s = now - limit.updated_at
        limit.updated_at = now
        kept_share = max(1 - elapsed_s / _COUNT_S, 0.0)
        limit.failed *= kept_share
        limit.ended *= kept_share
        if limit.share < 1.0:
            limit.share = min(limit.share + elapsed_s * _RECOVERY_PER_S, 1.0)
            if limit.share == 1.0:
                _RUNS_UNLIMITED.emit(route=route)
