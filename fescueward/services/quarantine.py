"""Quarantine of requests that were in flight in upstream crashes."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, replace
from types import TracebackType

from cachetools import TTLCache

from ..interfaces import CrashSource, Groups, Membership, Peers
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.errors import (
    AnswerLostError,
    BodyTruncatedError,
    DeadlineExceededError,
    DeadlineExceededRunningError,
    InvalidRequestError,
    OutcomeLostError,
    QuarantinedError,
)
from ..messages import Request, VersionedGroup
from ..messages.peer import CrashNoted, CrashReport
from ..messages.request import BytesBody
from .crash_reports import CrashReports
from .fingerprints import HEAD_BYTES, HeadedBody, fingerprint_of

_SUSPECT = Event(
    3301, "request_suspected", Level.WARNING, "A request was in flight in an upstream crash."
)
_CLEARED = Event(3302, "suspect_cleared", Level.INFO, "A suspect ran to its end.")
_QUARANTINED = Event(
    3303,
    "request_quarantined",
    Level.ERROR,
    "A request was in flight in too many crashes and is refused in the whole group.",
)

# Section 4.5 of the design: a second crash quarantines the request for ten minutes.
_CRASHES = 2
_QUARANTINE_S = 600.0
_FINGERPRINTS = 10_000
# Longest time, in seconds, from the loss of an answer until the crash behind it is known: the
# upstreams of the users' platform are back after some seconds and name their new start then.
_LOST_S = 10.0
_LOST_RUNS = 1000
# The agent of a crashed upstream leaves the group, and its last reports arrive after that.
_LEFT_S = 60.0
_LEFT_MEMBERS = 1000

# A crash: the member whose upstream ended, and the number of the crash there.
_Crash = tuple[str, int]
# An upstream that falls silent answers no run in time.
_CRASH_ERRORS = (
    OutcomeLostError,
    AnswerLostError,
    BodyTruncatedError,
    DeadlineExceededRunningError,
)


@dataclass(frozen=True, slots=True)
class _Lost:
    """A run without an answer."""

    # Seconds of CLOCK_BOOTTIME.
    at: float
    request: str
    service: str
    key: str
    fingerprint: int


class _Guard:
    """One run, as an async context manager."""

    __slots__ = ("_alone", "_began", "_crashes", "_fingerprint", "_owner", "_request")

    def __init__(self, owner: CrashQuarantine, request: Request) -> None:
        self._owner = owner
        self._request = request
        self._fingerprint = 0
        self._crashes = 0
        self._began = 0.0
        self._alone = False

    async def __aenter__(self) -> Request:
        request = self._request
        if not isinstance(request.body, BytesBody):
            request = await self._owner.with_read_head(request)
        self._fingerprint = fingerprint_of(request)
        self._alone = await self._owner.admit(request, self._fingerprint)
        self._crashes = self._owner.crashes
        self._began = self._owner.now
        return request

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        lost = isinstance(error, _CRASH_ERRORS)
        crashed = lost and self._owner.crashes > self._crashes
        if error is None:
            self._owner.note_success(self._fingerprint, self._began, self._alone)
        elif crashed:
            self._owner.accuse(self._request, self._fingerprint)
        elif lost:
            self._owner.note_loss(self._request, self._fingerprint)
        if self._alone:
            self._owner.end_alone()
        if crashed:
            # The caller may send the request again once it has its answer.
            await self._owner.delivered()


class CrashQuarantine:
    """The `quarantine` service.

    Suspects and quarantined fingerprints are shared with the members of the group, because the
    keys of a crashed upstream move to them.

    Args:
        kernel: The kernel.
        crashes: Crashes after which a request is refused.
        success_window_s: Seconds after a successful run during which its request is not suspected.
    """

    name = "quarantine"
    requires: tuple[str, ...] = ("peers", "groups", "membership", "upstream")

    def __init__(
        self, kernel: Kernel, crashes: int = _CRASHES, success_window_s: float = 0.0
    ) -> None:
        self._limit = crashes
        self._proven_s = success_window_s
        self._tasks = kernel.task_owner(self.name)
        # One suspect runs at a time, so that a second crash shows which of them caused it.
        self._alone = asyncio.Lock()
        self._reports = CrashReports(self._tasks, self._revise)

    @property
    def crashes(self) -> int:
        """Number of upstream crashes seen so far."""
        return self._upstream.crashes

    @property
    def now(self) -> float:
        """Time in seconds of CLOCK_BOOTTIME."""
        return self._clock.now()

    @property
    def suspects(self) -> tuple[int, ...]:
        """Fingerprints of the present suspects."""
        return tuple(self._suspects)

    @property
    def quarantined(self) -> tuple[int, ...]:
        """Fingerprints that are refused at present."""
        return tuple(self._quarantined)

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._reports.bind(registry)
        self._groups = registry.find("groups", Groups)
        self._membership = registry.find("membership", Membership)
        self._peers = registry.find("peers", Peers)
        self._upstream = registry.find("upstream", CrashSource)
        now = self._clock.now
        # Crashes in which each suspect was in flight.
        self._suspects: TTLCache[int, frozenset[_Crash]] = TTLCache(
            _FINGERPRINTS, _QUARANTINE_S, now
        )
        self._quarantined: TTLCache[int, bool] = TTLCache(_FINGERPRINTS, _QUARANTINE_S, now)
        self._proven: TTLCache[int, bool] = TTLCache(_FINGERPRINTS, self._proven_s, now)
        self._lost: deque[_Lost] = deque(maxlen=_LOST_RUNS)
        self._left: TTLCache[str, bool] = TTLCache(_LEFT_MEMBERS, _LEFT_S, now)
        self._members: frozenset[str] = frozenset()
        self._peers.on(CrashReport, self._on_report)
        self._groups.subscribe(self)
        self._upstream.subscribe(self)

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Ends all tasks."""
        await self._tasks.cancel()

    def group_changed(self, group: VersionedGroup) -> None:
        """Remembers who leaves this agent's group, and tells those who join what is known."""
        if group.group.id != self._membership.home:
            return
        members = frozenset(group.group.members)
        for member_id in self._members - members:
            self._left[member_id] = True
        joined = members - self._members - {self._membership.member_id}
        self._members = members
        if joined:
            self._reports.inform(joined, self._known())

    def guard(self, request: Request) -> _Guard:
        """Watches one run; see `Quarantine.guard`."""
        return _Guard(self, request)

    async def admit(self, request: Request, fingerprint: int) -> bool:
        """Refuses a quarantined request and makes a suspect wait for its turn.

        Returns:
            Whether the request runs as the only suspect; `end_alone` must be called then.

        Raises:
            QuarantinedError: The request was in flight in too many crashes.
            DeadlineExceededError: The deadline passed while it waited for another suspect.
        """
        self._refuse_quarantined(fingerprint)
        if fingerprint not in self._suspects:
            return False
        try:
            async with asyncio.timeout(max(request.deadline - self._clock.now(), 0)):
                await self._alone.acquire()
        except TimeoutError:
            raise DeadlineExceededError("the deadline passed behind another suspect") from None
        try:
            self._refuse_quarantined(fingerprint)
        except QuarantinedError:
            self._alone.release()
            raise
        if fingerprint not in self._suspects:
            self._alone.release()
            return False
        return True

    def end_alone(self) -> None:
        """Lets the next suspect run."""
        self._alone.release()

    async def delivered(self) -> None:
        """Waits until the members know of the newest crash, for a bounded time."""
        await self._reports.delivered()

    def note_success(self, fingerprint: int, began: float, alone: bool) -> None:
        """Notes that a request ran to its end.

        Args:
            fingerprint: Its fingerprint.
            began: When the run began, in seconds of CLOCK_BOOTTIME.
            alone: Whether it was the only suspect that ran.
        """
        if self._proven_s:
            self._proven[fingerprint] = True
        # The upstream has not ended between these losses and the run.
        while self._lost and self._lost[0].at < began:
            self._lost.popleft()
        if alone:
            self._clear(fingerprint)

    def note_loss(self, request: Request, fingerprint: int) -> None:
        """Notes a request without an answer, whose upstream may turn out to have ended."""
        lost = _Lost(self.now, request.id, request.service, request.key, fingerprint)
        self._lost.append(lost)

    def upstream_crashed(self) -> None:
        """Accuses the requests that were lost since the last run that ended well."""
        oldest = self.now - _LOST_S
        while self._lost:
            lost = self._lost.popleft()
            if lost.at >= oldest:
                self._accuse(lost.fingerprint, lost.request, lost.service, lost.key)

    def _clear(self, fingerprint: int) -> None:
        if self._suspects.pop(fingerprint, None) is not None:
            _CLEARED.emit(fingerprint=f"{fingerprint:016x}")
            self._reports.tell(self.crashes, cleared=(fingerprint,))

    def accuse(self, request: Request, fingerprint: int) -> None:
        """Notes that a request was in flight in the newest crash of this agent's upstream."""
        self._accuse(fingerprint, request.id, request.service, request.key)

    def _accuse(self, fingerprint: int, request: str, service: str, key: str) -> None:
        if fingerprint in self._proven:
            return
        crash = (self._membership.member_id, self.crashes)
        if not self._add(fingerprint, crash, request=request, service=service, key=key):
            return
        if fingerprint in self._quarantined:
            self._reports.tell(self.crashes, quarantined=(fingerprint,))
        else:
            self._reports.tell(self.crashes, suspects=(fingerprint,))

    def _add(self, fingerprint: int, crash: _Crash, **details: str) -> bool:
        """Adds a crash to a suspect; tells whether that is new."""
        crashes = self._suspects.get(fingerprint, frozenset())
        if crash in crashes or fingerprint in self._quarantined:
            return False
        crashes |= {crash}
        event = _SUSPECT
        if len(crashes) < self._limit:
            self._suspects[fingerprint] = crashes
        else:
            event = _QUARANTINED
            self._suspects.pop(fingerprint, None)
            self._quarantined[fingerprint] = True
        event.emit(
            **details,
            fingerprint=f"{fingerprint:016x}",
            crashes=",".join(f"{member}#{number}" for member, number in sorted(crashes)),
        )
        return True

    async def with_read_head(self, request: Request) -> Request:
        """Reads the beginning of a streamed body, which the fingerprint covers."""
        head: list[bytes] = []
        size = 0
        rest = request.body.chunks()
        try:
            async with asyncio.timeout(max(request.deadline - self._clock.now(), 0)):
                while size < HEAD_BYTES:
                    chunk = await anext(rest, None)
                    if chunk is None:
                        return replace(request, body=BytesBody(b"".join(head)))
                    head.append(chunk)
                    size += len(chunk)
        except TimeoutError:
            raise DeadlineExceededError("the deadline passed before the body arrived") from None
        except BodyTruncatedError as error:
            raise InvalidRequestError(f"the request body broke: {error}") from error
        return replace(request, body=HeadedBody(b"".join(head), rest, request.body))

    def _refuse_quarantined(self, fingerprint: int) -> None:
        if fingerprint in self._quarantined:
            raise QuarantinedError(
                f"the request was in flight in {self._limit} upstream crashes",
                retry_after_s=_QUARANTINE_S,
            )

    def _on_report(self, sender: str, message: CrashReport) -> None:
        home = self._membership.home
        view = self._groups.view(home) if home is not None else None
        if view is None or (sender not in view.group.members and sender not in self._left):
            return
        for fingerprint in message.fingerprints[:_FINGERPRINTS]:
            if fingerprint in self._proven:
                self._reports.tell(self.crashes, cleared=(fingerprint,))
            else:
                self._add(fingerprint, (message.member_id, message.crash))
        for fingerprint in message.cleared:
            self._suspects.pop(fingerprint, None)
        for fingerprint in message.quarantined[:_FINGERPRINTS]:
            self._suspects.pop(fingerprint, None)
            self._quarantined[fingerprint] = True
        self._peers.reply(sender, CrashNoted(message.number))

    def _known(self) -> tuple[CrashReport, ...]:
        """Returns reports of all that is suspected or refused, one for each crash."""
        me = self._membership.member_id
        suspects: dict[_Crash, list[int]] = {}
        for fingerprint, crashes in self._suspects.items():
            for crash in crashes:
                suspects.setdefault(crash, []).append(fingerprint)
        reports = [
            CrashReport(member_id, tuple(found), crash=number)
            for (member_id, number), found in suspects.items()
        ]
        if self._quarantined:
            reports.append(CrashReport(me, quarantined=tuple(self._quarantined)))
        return tuple(reports)

    def _revise(self, report: CrashReport) -> CrashReport:
        return replace(
            report,
            fingerprints=tuple(one for one in report.fingerprints if one in self._suspects),
            cleared=tuple(one for one in report.cleared if one not in self._suspects),
        )
