"""Reports of suspects and quarantined requests to the members of a group."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace

from ..interfaces import Groups, Membership, Peers
from ..kernel import Clock, Registry, TaskOwner
from ..messages import Member
from ..messages.peer import CrashNoted, CrashReport

# Requests that end in the same crash are reported in one message.
_REPORT_DELAY_S = 0.01
# A report is repeated until it is confirmed: most pairs of members have no stream yet, and a
# member that has just joined may not know the sender.
_REPORT_ATTEMPTS = 30
_REPORT_RETRY_S = 0.05
# Longest time, in seconds, for which the answer to a request waits for the confirmations.
_CONFIRM_S = 0.25


class _Delivery:
    """One report that is being confirmed."""

    def __init__(self) -> None:
        self.confirmed: set[str] = set()
        self.waiting: set[str] = set()
        self.done = asyncio.Event()


class CrashReports:
    """Tells the members of this agent's group of crashes, and repeats what is not confirmed.

    Args:
        tasks: Owner of the tasks.
        revise: Takes out of a report what is no longer so when it is repeated.
    """

    def __init__(self, tasks: TaskOwner, revise: Callable[[CrashReport], CrashReport]) -> None:
        self._tasks = tasks
        self._revise = revise
        self._numbers = itertools.count(1)
        self._deliveries: dict[int, _Delivery] = {}
        # What is not sent yet, by crash.
        self._news: dict[int, CrashReport] = {}
        self._latest: asyncio.Task[None] | None = None

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._membership = registry.find("membership", Membership)
        self._peers = registry.find("peers", Peers)
        self._peers.on(CrashNoted, self._on_noted)

    def tell(
        self,
        crash: int,
        suspects: tuple[int, ...] = (),
        quarantined: tuple[int, ...] = (),
        cleared: tuple[int, ...] = (),
    ) -> None:
        """Tells all members.

        Args:
            crash: Number of the crash of this agent's upstream.
            suspects: Fingerprints of requests that were in flight in it.
            quarantined: Fingerprints that are refused from now on.
            cleared: Fingerprints of former suspects.
        """
        if not self._news:
            self._latest = self._tasks.spawn("report", self._send_news())
        report = self._news.get(crash) or CrashReport(self._membership.member_id, crash=crash)
        self._news[crash] = replace(
            report,
            fingerprints=report.fingerprints + suspects,
            quarantined=report.quarantined + quarantined,
            cleared=report.cleared + cleared,
        )

    async def delivered(self) -> None:
        """Waits until the members have confirmed the newest report, for a bounded time."""
        if self._latest is not None:
            await asyncio.wait({self._latest}, timeout=_CONFIRM_S)

    def inform(self, member_ids: frozenset[str], reports: tuple[CrashReport, ...]) -> None:
        """Tells some members what was reported before they joined."""
        for report in reports:
            self._tasks.spawn("inform", self._send(report, member_ids))

    async def _send_news(self) -> None:
        await self._clock.sleep(_REPORT_DELAY_S)
        news, self._news = self._news, {}
        await asyncio.gather(*(self._send(report) for report in news.values()))

    async def _send(self, report: CrashReport, only: frozenset[str] | None = None) -> None:
        number = next(self._numbers)
        delivery = self._deliveries[number] = _Delivery()
        try:
            for _ in range(_REPORT_ATTEMPTS):
                # Members may have joined since the last attempt.
                pending = [
                    member
                    for member in self._others()
                    if member.id not in delivery.confirmed and (only is None or member.id in only)
                ]
                if not pending:
                    return
                delivery.waiting = {member.id for member in pending}
                delivery.done.clear()
                message = replace(self._revise(report), number=number)
                for member in pending:
                    self._peers.send(member, message)
                with suppress(TimeoutError):
                    async with asyncio.timeout(_REPORT_RETRY_S):
                        await delivery.done.wait()
        finally:
            del self._deliveries[number]

    def _others(self) -> tuple[Member, ...]:
        home = self._membership.home
        view = self._groups.view(home) if home is not None else None
        if view is None:
            return ()
        me = self._membership.member_id
        return tuple(member for member in view.group.members.values() if member.id != me)

    def _on_noted(self, sender: str, message: CrashNoted) -> None:
        delivery = self._deliveries.get(message.number)
        if delivery is None:
            return
        delivery.confirmed.add(sender)
        delivery.waiting.discard(sender)
        if not delivery.waiting:
            delivery.done.set()
