"""Quarantine of requests that were in flight during upstream crashes."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, replace

from cachetools import TLRUCache, TTLCache

from ..interfaces import CrashSource, Groups, Membership, Peers
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.errors import (
    BodyTruncatedError,
    DeadlineExceededError,
    InvalidRequestError,
    QuarantinedError,
)
from ..messages import Group, RecordedCrashes, Request, VersionedGroup
from ..messages.peer import CrashNoted, CrashReport
from ..messages.request import BytesBody
from .crash_records import Crash, CrashRecords
from .crash_reports import CrashReports
from .fingerprints import PREFIX_BYTES, PrefixedBody
from .run_guard import RunGuard

_REQUEST_SUSPECTED = Event(
    3301, "request_suspected", Level.WARNING, "A request was in flight during an upstream crash."
)
_SUSPECT_CLEARED = Event(
    3302,
    "suspect_cleared",
    Level.INFO,
    "A suspected request ran without a crash and is no longer suspected.",
)
_REQUEST_QUARANTINED = Event(
    3303,
    "request_quarantined",
    Level.ERROR,
    "A request was in flight during too many crashes and is refused in the whole group.",
)

# By section 4.5 of the design, a second crash quarantines a request for ten minutes.
_CRASH_LIMIT = 2
_QUARANTINE_S = 600.0
_MAX_FINGERPRINTS = 10_000
# Crashes of a request from which on the group object has them. Many requests are in flight in one
# crash, few in two, and the record of the first one would cost a write for each crash.
_RECORDED_CRASHES = 2
# Longest time for which the response to a request waits until its crashes are recorded.
_RECORD_TIMEOUT_S = 0.25
# Longest time from a run without a response until the crash that caused it is detected. The
# upstreams of the users' platform restart within seconds and announce their new start then.
_CRASH_DETECTION_S = 10.0
_MAX_LOST_RUNS = 1000
# Time for which reports of a former member are accepted: the agent of a crashed upstream leaves
# the group, and its last reports arrive after that.
_FORMER_MEMBER_S = 60.0
_MAX_FORMER_MEMBERS = 1000


@dataclass(frozen=True, slots=True)
class _LostRun:
    """A run that ended without a complete response."""

    # Seconds of CLOCK_BOOTTIME.
    failed_at: float
    request: str
    service: str
    key: str
    fingerprint: int


class CrashQuarantine:
    """The `quarantine` service.

    A request that was in flight during a crash is a suspect. Suspects run one at a time; one that
    runs successfully is cleared, one with too many crashes is quarantined. Both lists are
    shared with the members of the group, because they take over the keys of a crashed upstream.
    The group object keeps requests of several crashes, because all agents can end together.

    Args:
        kernel: The kernel.
        crash_limit: Number of crashes after which a request is refused.
        success_window_s: Seconds after a successful run during which its request is not suspected.
    """

    name = "quarantine"
    requires: tuple[str, ...] = ("peers", "groups", "membership", "upstream")

    def __init__(
        self, kernel: Kernel, crash_limit: int = _CRASH_LIMIT, success_window_s: float = 0.0
    ) -> None:
        self._crash_limit = crash_limit
        self._success_window_s = success_window_s
        self._tasks = kernel.task_owner(self.name)
        # Suspects run one at a time, so that a second crash identifies the one that caused it.
        self._suspect_lock = asyncio.Lock()
        self._reports = CrashReports(self._tasks, self._without_outdated)
        self._records = CrashRecords(self._tasks, self._is_current, _QUARANTINE_S)
        # Records of the group object that were read last.
        self._read_records: dict[int, RecordedCrashes] = {}

    @property
    def crashes(self) -> int:
        """Number of upstream crashes since this agent started."""
        return self._upstream.crashes

    @property
    def now(self) -> float:
        """Current time in seconds of CLOCK_BOOTTIME."""
        return self._clock.now()

    @property
    def suspects(self) -> tuple[int, ...]:
        """Fingerprints of the current suspects."""
        return tuple(self._suspects)

    @property
    def quarantined(self) -> tuple[int, ...]:
        """Fingerprints that are currently refused."""
        return tuple(self._quarantined)

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._reports.bind(registry)
        self._records.bind(registry)
        self._groups = registry.find("groups", Groups)
        self._membership = registry.find("membership", Membership)
        self._peers = registry.find("peers", Peers)
        self._upstream = registry.find("upstream", CrashSource)
        now = self._clock.now
        self._quarantine_s = _QUARANTINE_S
        # Crashes during which each suspect was in flight, by fingerprint.
        self._suspects: TTLCache[int, frozenset[Crash]] = TTLCache(
            _MAX_FINGERPRINTS, _QUARANTINE_S, now
        )
        # Seconds for which each fingerprint is refused.
        self._quarantined: TLRUCache[int, float] = TLRUCache(
            _MAX_FINGERPRINTS, lambda _, seconds, now: now + seconds, now
        )
        self._recently_successful: TTLCache[int, bool] = TTLCache(
            _MAX_FINGERPRINTS, self._success_window_s, now
        )
        self._lost_runs: deque[_LostRun] = deque(maxlen=_MAX_LOST_RUNS)
        self._former_members: TTLCache[str, bool] = TTLCache(
            _MAX_FORMER_MEMBERS, _FORMER_MEMBER_S, now
        )
        self._member_ids: frozenset[str] = frozenset()
        self._peers.on(CrashReport, self._on_report)
        self._groups.subscribe(self)
        self._upstream.subscribe(self)

    async def start(self) -> None:
        """Starts nothing: tasks are spawned for each report."""

    async def stop(self) -> None:
        """Cancels all tasks."""
        await self._tasks.cancel()

    def group_changed(self, group: VersionedGroup) -> None:
        """Reads recorded crashes and follows the members of the group.

        Those that left are remembered, and those that joined are sent the current reports.
        """
        if group.group.id != self._membership.own_group_id:
            return
        self._read_recorded_crashes(group.group)
        member_ids = frozenset(group.group.members)
        for member_id in self._member_ids - member_ids:
            self._former_members[member_id] = True
        joined_ids = member_ids - self._member_ids - {self._membership.member_id}
        self._member_ids = member_ids
        if joined_ids:
            self._reports.send_to(joined_ids, self._current_reports())

    def guard(self, request: Request) -> RunGuard:
        """Returns a context that watches one run; see `Quarantine.guard`."""
        return RunGuard(self, request)

    async def admit(self, request: Request, fingerprint: int) -> bool:
        """Refuses a quarantined request and makes a suspect wait until no other suspect runs.

        Returns:
            Whether the request runs as the only suspect. If so, the caller must call
            `release_suspect_lock` after the run.

        Raises:
            QuarantinedError: The request was in flight during too many crashes.
            DeadlineExceededError: The deadline passed while another suspect ran.
        """
        own_group_id = self._membership.own_group_id
        view = self._groups.view(own_group_id) if own_group_id is not None else None
        if view is not None:
            # A version that preceded the first announcement has not been read.
            self._read_recorded_crashes(view.group)
        self._refuse_quarantined(fingerprint)
        if fingerprint not in self._suspects:
            return False
        try:
            async with asyncio.timeout(max(request.deadline - self._clock.now(), 0)):
                await self._suspect_lock.acquire()
        except TimeoutError:
            raise DeadlineExceededError(
                "the deadline passed while another suspected request ran"
            ) from None
        try:
            self._refuse_quarantined(fingerprint)
        except QuarantinedError:
            self._suspect_lock.release()
            raise
        if fingerprint not in self._suspects:
            self._suspect_lock.release()
            return False
        return True

    def release_suspect_lock(self) -> None:
        """Allows the next suspect to run."""
        self._suspect_lock.release()

    async def wait_until_known(self) -> None:
        """Waits until members and group object have the newest crash, for a bounded time."""
        await asyncio.gather(
            self._reports.wait_for_confirmations(),
            self._records.wait_until_written(_RECORD_TIMEOUT_S),
        )

    def record_success(self, fingerprint: int, started_at: float, is_only_suspect: bool) -> None:
        """Records a successful run and clears its request if it was the only running suspect.

        Args:
            fingerprint: Fingerprint of the request.
            started_at: When the run started, in seconds of CLOCK_BOOTTIME.
            is_only_suspect: Whether it was the only suspect that ran.
        """
        if self._success_window_s:
            self._recently_successful[fingerprint] = True
        # A run that started after them succeeded, so no crash of the upstream ended them.
        while self._lost_runs and self._lost_runs[0].failed_at < started_at:
            self._lost_runs.popleft()
        if is_only_suspect:
            self._clear_suspect(fingerprint)

    def record_lost_run(self, request: Request, fingerprint: int) -> None:
        """Records a run without a response; a crash may be detected later as its cause."""
        lost_run = _LostRun(self.now, request.id, request.service, request.key, fingerprint)
        self._lost_runs.append(lost_run)

    def upstream_crashed(self) -> None:
        """Adds the requests without a response since the last successful run as suspects."""
        window_start_at = self.now - _CRASH_DETECTION_S
        while self._lost_runs:
            lost_run = self._lost_runs.popleft()
            if lost_run.failed_at >= window_start_at:
                self._add_local_suspect(
                    lost_run.fingerprint, lost_run.request, lost_run.service, lost_run.key
                )

    def _clear_suspect(self, fingerprint: int) -> None:
        if self._suspects.pop(fingerprint, None) is not None:
            _SUSPECT_CLEARED.emit(fingerprint=f"{fingerprint:016x}")
            self._reports.report(self.crashes, cleared=(fingerprint,))
            self._records.remove(fingerprint)

    def add_suspect(self, request: Request, fingerprint: int) -> None:
        """Adds a request that was in flight during the newest crash of this agent's upstream."""
        self._add_local_suspect(fingerprint, request.id, request.service, request.key)

    def _add_local_suspect(self, fingerprint: int, request: str, service: str, key: str) -> None:
        if fingerprint in self._recently_successful:
            return
        crash = (self._membership.member_id, self.crashes)
        if not self._add_crash(
            fingerprint, crash, observed_here=True, request=request, service=service, key=key
        ):
            return
        if fingerprint in self._quarantined:
            self._reports.report(self.crashes, quarantined=(fingerprint,))
        else:
            self._reports.report(self.crashes, suspects=(fingerprint,))

    def _add_crash(
        self,
        fingerprint: int,
        crash: Crash,
        quarantine_s: float | None = None,
        observed_here: bool = False,
        **details: str,
    ) -> bool:
        """Adds a crash to a suspect; returns whether it was not counted before."""
        crashes = self._suspects.get(fingerprint, frozenset())
        if crash in crashes or fingerprint in self._quarantined:
            return False
        crashes |= {crash}
        event = _REQUEST_SUSPECTED
        if len(crashes) < self._crash_limit:
            self._suspects[fingerprint] = crashes
        else:
            event = _REQUEST_QUARANTINED
            self._suspects.pop(fingerprint, None)
            self._quarantined[fingerprint] = (
                self._quarantine_s if quarantine_s is None else quarantine_s
            )
        if len(crashes) >= _RECORDED_CRASHES:
            self._records.add(fingerprint, crashes, observed_here)
        event.emit(
            **details,
            fingerprint=f"{fingerprint:016x}",
            crashes=",".join(f"{member}#{number}" for member, number in sorted(crashes)),
        )
        return True

    async def with_buffered_prefix(self, request: Request) -> Request:
        """Buffers the prefix of a streamed body that the fingerprint covers."""
        prefix: list[bytes] = []
        size_bytes = 0
        rest = request.body.chunks()
        try:
            async with asyncio.timeout(max(request.deadline - self._clock.now(), 0)):
                while size_bytes < PREFIX_BYTES:
                    chunk = await anext(rest, None)
                    if chunk is None:
                        return replace(request, body=BytesBody(b"".join(prefix)))
                    prefix.append(chunk)
                    size_bytes += len(chunk)
        except TimeoutError:
            raise DeadlineExceededError(
                "the deadline passed before the start of the request body arrived"
            ) from None
        except BodyTruncatedError as error:
            raise InvalidRequestError(f"the request body was truncated: {error}") from error
        return replace(request, body=PrefixedBody(b"".join(prefix), rest, request.body))

    def _is_current(self, fingerprint: int) -> bool:
        return fingerprint in self._suspects or fingerprint in self._quarantined

    def _refuse_quarantined(self, fingerprint: int) -> None:
        if fingerprint in self._quarantined:
            raise QuarantinedError(
                f"the request was in flight during {self._crash_limit} upstream crashes",
                retry_after_s=_QUARANTINE_S,
            )

    def _on_report(self, sender: str, message: CrashReport) -> None:
        own_group_id = self._membership.own_group_id
        view = self._groups.view(own_group_id) if own_group_id is not None else None
        if view is None or (
            sender not in view.group.members and sender not in self._former_members
        ):
            return
        for fingerprint in message.fingerprints[:_MAX_FINGERPRINTS]:
            if fingerprint in self._recently_successful:
                self._reports.report(self.crashes, cleared=(fingerprint,))
            else:
                self._add_crash(fingerprint, (message.member_id, message.crash))
        for fingerprint in message.cleared:
            self._suspects.pop(fingerprint, None)
        for fingerprint in message.quarantined[:_MAX_FINGERPRINTS]:
            self._suspects.pop(fingerprint, None)
            self._quarantined[fingerprint] = self._quarantine_s
        self._peers.reply(sender, CrashNoted(message.number))

    def _read_recorded_crashes(self, group: Group) -> None:
        """Adds the crashes in the group object, and clears requests that were removed from it."""
        if group.crashes == self._read_records:
            return
        removed = self._read_records.keys() - group.crashes.keys()
        self._read_records = group.crashes
        for fingerprint in removed:
            self._suspects.pop(fingerprint, None)
        for fingerprint, (crashes, left_s) in self._records.current(group).items():
            if fingerprint in self._recently_successful:
                self._records.remove(fingerprint)
                continue
            for crash in sorted(crashes):
                self._add_crash(fingerprint, crash, left_s)

    def _current_reports(self) -> tuple[CrashReport, ...]:
        """Returns a report for each crash with suspects, and one for quarantined requests."""
        own_id = self._membership.member_id
        suspects: dict[Crash, list[int]] = {}
        for fingerprint, crashes in self._suspects.items():
            for crash in crashes:
                suspects.setdefault(crash, []).append(fingerprint)
        reports = [
            CrashReport(member_id, tuple(fingerprints), crash=number)
            for (member_id, number), fingerprints in suspects.items()
        ]
        if self._quarantined:
            reports.append(CrashReport(own_id, quarantined=tuple(self._quarantined)))
        return tuple(reports)

    def _without_outdated(self, report: CrashReport) -> CrashReport:
        return replace(
            report,
            fingerprints=tuple(
                fingerprint for fingerprint in report.fingerprints if fingerprint in self._suspects
            ),
            cleared=tuple(
                fingerprint for fingerprint in report.cleared if fingerprint not in self._suspects
            ),
        )
