"""Reports of suspected and quarantined requests to the members of a group."""

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

# Delay in which the requests of one crash are collected into one report.
_REPORT_DELAY_S = 0.01
# A report is repeated until it is confirmed: most pairs of members have no open stream, and a new
# member may not have a group version that contains the sender.
_REPORT_ATTEMPTS = 30
_REPORT_RETRY_S = 0.05
# Longest time for which the response to a request waits for the confirmations.
_CONFIRM_S = 0.25


class _Delivery:
    """The confirmations of one report."""

    def __init__(self) -> None:
        self.confirmed_ids: set[str] = set()
        self.unconfirmed_ids: set[str] = set()
        self.all_confirmed = asyncio.Event()


class CrashReports:
    """Sends crash reports to the members of this agent's group until they are confirmed.

    Args:
        tasks: Owner of the tasks.
        without_outdated: Returns a report without its outdated fingerprints; called before each
            attempt.
    """

    def __init__(
        self, tasks: TaskOwner, without_outdated: Callable[[CrashReport], CrashReport]
    ) -> None:
        self._tasks = tasks
        self._without_outdated = without_outdated
        self._report_numbers = itertools.count(1)
        self._deliveries: dict[int, _Delivery] = {}
        # Reports that are not sent yet, by the number of the crash.
        self._pending_reports: dict[int, CrashReport] = {}
        self._latest_task: asyncio.Task[None] | None = None

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._membership = registry.find("membership", Membership)
        self._peers = registry.find("peers", Peers)
        self._peers.on(CrashNoted, self._on_confirmed)

    def report(
        self,
        crash: int,
        suspects: tuple[int, ...] = (),
        quarantined: tuple[int, ...] = (),
        cleared: tuple[int, ...] = (),
    ) -> None:
        """Reports fingerprints to all members of the group.

        Args:
            crash: Number of the crash of this agent's upstream.
            suspects: Fingerprints of requests that were in flight during it.
            quarantined: Fingerprints that are refused from now on.
            cleared: Fingerprints of former suspects.
        """
        if not self._pending_reports:
            self._latest_task = self._tasks.spawn("report", self._send_pending())
        pending = self._pending_reports.get(crash) or CrashReport(
            self._membership.member_id, crash=crash
        )
        self._pending_reports[crash] = replace(
            pending,
            fingerprints=pending.fingerprints + suspects,
            quarantined=pending.quarantined + quarantined,
            cleared=pending.cleared + cleared,
        )

    async def wait_for_confirmations(self) -> None:
        """Waits until all members confirmed the newest report, at most for `_CONFIRM_S`."""
        if self._latest_task is not None:
            await asyncio.wait({self._latest_task}, timeout=_CONFIRM_S)

    def send_to(self, member_ids: frozenset[str], reports: tuple[CrashReport, ...]) -> None:
        """Sends earlier reports to members that joined after them."""
        for report in reports:
            self._tasks.spawn("inform", self._send(report, member_ids))

    async def _send_pending(self) -> None:
        await self._clock.sleep(_REPORT_DELAY_S)
        reports, self._pending_reports = self._pending_reports, {}
        await asyncio.gather(*(self._send(report) for report in reports.values()))

    async def _send(self, report: CrashReport, recipients: frozenset[str] | None = None) -> None:
        number = next(self._report_numbers)
        delivery = self._deliveries[number] = _Delivery()
        try:
            for _ in range(_REPORT_ATTEMPTS):
                # Members may have joined since the last attempt.
                members = [
                    member
                    for member in self._other_members()
                    if member.id not in delivery.confirmed_ids
                    and (recipients is None or member.id in recipients)
                ]
                if not members:
                    return
                delivery.unconfirmed_ids = {member.id for member in members}
                delivery.all_confirmed.clear()
                message = replace(self._without_outdated(report), number=number)
                for member in members:
                    self._peers.send(member, message)
                with suppress(TimeoutError):
                    async with asyncio.timeout(_REPORT_RETRY_S):
                        await delivery.all_confirmed.wait()
        finally:
            del self._deliveries[number]

    def _other_members(self) -> tuple[Member, ...]:
        own_group_id = self._membership.own_group_id
        view = self._groups.view(own_group_id) if own_group_id is not None else None
        if view is None:
            return ()
        own_id = self._membership.member_id
        return tuple(member for member in view.group.members.values() if member.id != own_id)

    def _on_confirmed(self, sender: str, message: CrashNoted) -> None:
        delivery = self._deliveries.get(message.number)
        if delivery is None:
            return
        delivery.confirmed_ids.add(sender)
        delivery.unconfirmed_ids.discard(sender)
        if not delivery.unconfirmed_ids:
            delivery.all_confirmed.set()
