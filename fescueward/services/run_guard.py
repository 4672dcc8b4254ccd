"""Watch over one run on the upstream, for the quarantine of requests that crash it."""

from __future__ import annotations

from types import TracebackType
from typing import Protocol

from ..kernel.errors import (
    AnswerLostError,
    BodyTruncatedError,
    DeadlineExceededRunningError,
    OutcomeLostError,
)
from ..messages import Request
from ..messages.request import BytesBody
from .fingerprints import fingerprint_of

# Errors of a run that a crash may cause. After a crash without a connection reset, runs time out.
_CRASH_ERRORS = (
    OutcomeLostError,
    AnswerLostError,
    BodyTruncatedError,
    DeadlineExceededRunningError,
)


class CrashWatch(Protocol):
    """What a guard needs of the quarantine; see `CrashQuarantine`."""

    @property
    def crashes(self) -> int:
        """Number of upstream crashes."""
        ...

    @property
    def now(self) -> float:
        """Current time in seconds of CLOCK_BOOTTIME."""
        ...

    async def with_buffered_prefix(self, request: Request) -> Request:
        """Buffers the prefix of a streamed body that the fingerprint covers."""
        ...

    async def admit(self, request: Request, fingerprint: int) -> bool:
        """Refuses a quarantined request; returns whether it runs as the only suspect."""
        ...

    def record_success(self, fingerprint: int, started_at: float, is_only_suspect: bool) -> None:
        """Records a successful run."""
        ...

    def record_lost_run(self, request: Request, fingerprint: int) -> None:
        """Records a run without a response."""
        ...

    def add_suspect(self, request: Request, fingerprint: int) -> None:
        """Adds a request that was in flight during the newest crash."""
        ...

    def release_suspect_lock(self) -> None:
        """Allows the next suspect to run."""
        ...

    async def wait_until_known(self) -> None:
        """Waits until members and group object have the newest crash, for a bounded time."""
        ...


class RunGuard:
    """An async context manager around one run."""

    __slots__ = (
        "_crashes",
        "_fingerprint",
        "_is_only_suspect",
        "_owner",
        "_request",
        "_started_at",
    )

    def __init__(self, owner: CrashWatch, request: Request) -> None:
        self._owner = owner
        self._request = request
        self._fingerprint = 0
        self._crashes = 0
        self._started_at = 0.0
        self._is_only_suspect = False

    async def __aenter__(self) -> Request:
        request = self._request
        if not isinstance(request.body, BytesBody):
            request = await self._owner.with_buffered_prefix(request)
        self._fingerprint = fingerprint_of(request)
        self._is_only_suspect = await self._owner.admit(request, self._fingerprint)
        self._crashes = self._owner.crashes
        self._started_at = self._owner.now
        return request

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        without_response = isinstance(error, _CRASH_ERRORS)
        in_crash = without_response and self._owner.crashes > self._crashes
        if error is None:
            self._owner.record_success(self._fingerprint, self._started_at, self._is_only_suspect)
        elif in_crash:
            self._owner.add_suspect(self._request, self._fingerprint)
        elif without_response:
            self._owner.record_lost_run(self._request, self._fingerprint)
        if self._is_only_suspect:
            self._owner.release_suspect_lock()
        if in_crash:
            # The caller may retry as soon as it has the response, so the members must have the
            # report by then, and later processes the record.
            await self._owner.wait_until_known()
