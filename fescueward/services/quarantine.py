"""Quarantine of requests that were in flight in upstream crashes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from dataclasses import replace
from types import TracebackType

import xxhash
from cachetools import TTLCache

from ..interfaces import Groups, Membership, Peers, Upstream
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.errors import (
    AnswerLostError,
    BodyTruncatedError,
    DeadlineExceededError,
    InvalidRequestError,
    OutcomeLostError,
    QuarantinedError,
)
from ..messages import Body, Request
from ..messages.peer import CrashReport
from ..messages.request import BytesBody

_SUSPECT = Event(
    3301, "request_suspected", Level.WARNING, "A request was in flight in an upstream crash."
)
_CLEARED = Event(3302, "suspect_cleared", Level.INFO, "A suspect ran to its end.")
_QUARANTINED = Event(
    3303,
    "request_quarantined",
    Level.ERROR,
    "A request was in flight in two upstream crashes and is refused in the whole group.",
)

# Section 4.5 of the design: a second crash quarantines the request for ten minutes.
_QUARANTINE_S = 600.0
_FINGERPRINTS = 10_000
# The fingerprint covers this much of the body, so that a long upload starts to run early.
_HEAD_BYTES = 65_536
# Requests that end in the same crash are reported in one message.
_REPORT_DELAY_S = 0.01

_CRASH_ERRORS = (OutcomeLostError, AnswerLostError, BodyTruncatedError)


class _Guard:
    """One run, as an async context manager."""

    __slots__ = ("_alone", "_crashes", "_fingerprint", "_owner", "_request")

    def __init__(self, owner: CrashQuarantine, request: Request) -> None:
        self._owner = owner
        self._request = request
        self._fingerprint = 0
        self._crashes = 0
        self._alone = False

    async def __aenter__(self) -> Request:
        request = self._request
        if not isinstance(request.body, BytesBody):
            request = await self._owner.with_read_head(request)
        self._fingerprint = fingerprint_of(request)
        self._alone = await self._owner.admit(request, self._fingerprint)
        self._crashes = self._owner.crashes
        return request

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if error is None:
            if self._alone:
                self._owner.clear(self._fingerprint)
        elif isinstance(error, _CRASH_ERRORS) and self._owner.crashes > self._crashes:
            self._owner.accuse(self._request, self._fingerprint)
        if self._alone:
            self._owner.end_alone()


class CrashQuarantine:
    """The `quarantine` service.

    Suspects and quarantined fingerprints are shared with the members of the group, because the
    keys of a crashed upstream move to them.
    """

    name = "quarantine"
    requires: tuple[str, ...] = ("peers", "groups", "membership", "upstream")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        # One suspect runs at a time, so that a second crash shows which of them caused it.
        self._alone = asyncio.Lock()
        self._report: CrashReport | None = None

    @property
    def crashes(self) -> int:
        """Number of upstream crashes seen so far."""
        return self._upstream.crashes

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
        self._groups = registry.find("groups", Groups)
        self._membership = registry.find("membership", Membership)
        self._peers = registry.find("peers", Peers)
        self._upstream = registry.find("upstream", Upstream)
        now = self._clock.now
        self._suspects: TTLCache[int, bool] = TTLCache(_FINGERPRINTS, _QUARANTINE_S, now)
        self._quarantined: TTLCache[int, bool] = TTLCache(_FINGERPRINTS, _QUARANTINE_S, now)
        self._peers.on(CrashReport, self._on_report)

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Ends all tasks."""
        await self._tasks.cancel()

    def guard(self, request: Request) -> _Guard:
        """Watches one run; see `Quarantine.guard`."""
        return _Guard(self, request)

    async def admit(self, request: Request, fingerprint: int) -> bool:
        """Refuses a quarantined request and makes a suspect wait for its turn.

        Returns:
            Whether the request runs as the only suspect; `end_alone` must be called then.

        Raises:
            QuarantinedError: The request was in flight in two crashes.
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

    def clear(self, fingerprint: int) -> None:
        """Takes a fingerprint from the suspects, because its request ran to the end."""
        if self._suspects.pop(fingerprint, None) is not None:
            _CLEARED.emit(fingerprint=f"{fingerprint:016x}")
            self._tell(cleared=fingerprint)

    def accuse(self, request: Request, fingerprint: int) -> None:
        """Notes that a request was in flight in a crash."""
        details = {
            "request": request.id,
            "service": request.service,
            "key": request.key,
            "fingerprint": f"{fingerprint:016x}",
        }
        if self._suspects.pop(fingerprint, None) is None:
            self._suspects[fingerprint] = True
            _SUSPECT.emit(**details)
            self._tell(suspect=fingerprint)
        else:
            self._quarantined[fingerprint] = True
            _QUARANTINED.emit(**details)
            self._tell(quarantined=fingerprint)

    async def with_read_head(self, request: Request) -> Request:
        """Reads the beginning of a streamed body, which the fingerprint covers."""
        head: list[bytes] = []
        size = 0
        rest = request.body.chunks()
        try:
            async with asyncio.timeout(max(request.deadline - self._clock.now(), 0)):
                while size < _HEAD_BYTES:
                    chunk = await anext(rest, None)
                    if chunk is None:
                        return replace(request, body=BytesBody(b"".join(head)))
                    head.append(chunk)
                    size += len(chunk)
        except TimeoutError:
            raise DeadlineExceededError("the deadline passed before the body arrived") from None
        except BodyTruncatedError as error:
            raise InvalidRequestError(f"the request body broke: {error}") from error
        return replace(request, body=_HeadedBody(b"".join(head), rest, request.body))

    def _refuse_quarantined(self, fingerprint: int) -> None:
        if fingerprint in self._quarantined:
            raise QuarantinedError(
                "the request was in flight in two upstream crashes", retry_after_s=_QUARANTINE_S
            )

    def _tell(self, suspect: int = 0, quarantined: int = 0, cleared: int = 0) -> None:
        report = self._report
        if report is None:
            report = CrashReport(self._membership.member_id)
            self._tasks.spawn("report", self._send_report())
        self._report = replace(
            report,
            fingerprints=report.fingerprints + ((suspect,) if suspect else ()),
            quarantined=report.quarantined + ((quarantined,) if quarantined else ()),
            cleared=report.cleared + ((cleared,) if cleared else ()),
        )

    async def _send_report(self) -> None:
        await self._clock.sleep(_REPORT_DELAY_S)
        report, self._report = self._report, None
        home = self._membership.home
        view = self._groups.view(home) if home is not None else None
        if view is None or report is None:
            return
        for member in view.group.members.values():
            if member.id != self._membership.member_id:
                self._peers.send(member, report)

    def _on_report(self, sender: str, message: CrashReport) -> None:
        home = self._membership.home
        view = self._groups.view(home) if home is not None else None
        if view is None or sender not in view.group.members:
            return
        for fingerprint in message.fingerprints[:_FINGERPRINTS]:
            self._suspects[fingerprint] = True
        for fingerprint in message.cleared:
            self._suspects.pop(fingerprint, None)
        for fingerprint in message.quarantined[:_FINGERPRINTS]:
            self._suspects.pop(fingerprint, None)
            self._quarantined[fingerprint] = True


class _HeadedBody:
    """A body whose beginning has been read."""

    def __init__(self, head: bytes, rest: AsyncGenerator[bytes, None], body: Body) -> None:
        self.head = head
        self.length = body.length
        self.started = True
        self._rest = rest
        self._body = body

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        yield self.head
        async for chunk in self._rest:
            yield chunk

    async def close(self) -> None:
        await self._rest.aclose()
        await self._body.close()


def fingerprint_of(request: Request) -> int:
    """Returns the hash of service, key, method, path, beginning and length of the body."""
    body = request.body
    head = b""
    if isinstance(body, BytesBody):
        head = body.data[:_HEAD_BYTES]
    elif isinstance(body, _HeadedBody):
        head = body.head[:_HEAD_BYTES]
    names = "\n".join(
        (request.service, request.method, str(body.length), request.path, request.key)
    )
    return xxhash.xxh64_intdigest(names.encode() + b"\n" + head) or 1
