"""Promises of monitors that a takeover needs, asked for one version of a group."""

from __future__ import annotations

import asyncio

from ..interfaces import Groups, Peers
from ..kernel import Event, Level
from ..kernel.errors import PeerError
from ..messages import Member, VersionedGroup
from ..messages.peer import Promise, PromiseQuery, PromiseRelease

_NOT_PROMISED = Event(2607, "promise_missing", Level.INFO, "A monitor gave no promise.")

# Longest wait for a promise; the timeout of a call ends it before.
_QUERY_LIMIT_S = 60.0


class PromiseRound:
    """The queries of one takeover attempt, conditional on the version of `base`."""

    def __init__(self, groups: Groups, peers: Peers, base: VersionedGroup, asker: str) -> None:
        self._groups = groups
        self._peers = peers
        self._base = base
        self._asker = asker
        self._calls: dict[str, list[tuple[Member, int]]] = {}

    async def ask(
        self, member_ids: list[str], excused: frozenset[str] = frozenset()
    ) -> frozenset[str]:
        """Returns the members that all their other monitors promised.

        Args:
            member_ids: Members whose monitors are asked, at the same time for all of them,
                because each lost monitor costs the whole timeout of a call.
            excused: Monitors that need not promise.
        """
        answers = await asyncio.gather(
            *(self._ask_monitors(member_id, excused) for member_id in member_ids)
        )
        return frozenset(
            member_id for member_id, agrees in zip(member_ids, answers, strict=True) if agrees
        )

    def release(self, keep: frozenset[str] = frozenset()) -> None:
        """Withdraws the queries, but for members under which a write may take effect."""
        for member_id, asked in self._calls.items():
            if member_id in keep:
                continue
            for monitor, call in asked:
                self._peers.send(monitor, PromiseRelease(call, member_id))

    async def _ask_monitors(self, member_id: str, excused: frozenset[str]) -> bool:
        members = self._base.group.members
        member = members.get(member_id)
        if member is None:
            return False
        asked = self._calls.setdefault(member_id, [])
        for monitor_id in member.monitors:
            monitor = members.get(monitor_id)
            if monitor is None or monitor_id == self._asker or monitor_id in excused:
                continue
            call = self._peers.next_call()
            home = self._base.group.id
            query = PromiseQuery(call, home.service, home.number, member_id, self._base.version)
            asked.append((monitor, call))
            try:
                reply = await self._call(monitor, query)
            except PeerError as error:
                _NOT_PROMISED.emit(member=member_id, monitor=monitor_id, error=error)
                return False
            if not isinstance(reply, Promise) or not reply.granted:
                return False
        return True

    async def _call(self, monitor: Member, query: PromiseQuery) -> object:
        # A newer version makes the attempt fail anyway.
        newer_version = self._groups.changed(
            self._base.group.id, self._base.version, _QUERY_LIMIT_S
        )
        reply = asyncio.ensure_future(self._peers.call(monitor, query, query.call))
        newer = asyncio.ensure_future(newer_version)
        try:
            await asyncio.wait((reply, newer), return_when=asyncio.FIRST_COMPLETED)
            return await reply if reply.done() else None
        finally:
            for task in (reply, newer):
                task.cancel()
