"""Promises of other monitors that a takeover needs, requested for one version of a group."""

from __future__ import annotations

import asyncio

from ..interfaces import Groups, Peers
from ..kernel import Event, Level
from ..kernel.errors import PeerError
from ..messages import Member, VersionedGroup
from ..messages.peer import Promise, PromiseQuery, PromiseRelease

_PROMISE_MISSING = Event(
    2607, "promise_missing", Level.INFO, "A monitor did not respond to a promise query."
)

# Longest wait for a newer group version beside a query; the timeout of the call ends it earlier.
_NEWER_VERSION_WAIT_S = 60.0


class PromiseRound:
    """Promise queries of one takeover attempt.

    Args:
        groups: The `groups` service.
        peers: The `peers` service.
        base: Group version that the takeover is conditional on.
        requester_id: Member id of this agent, which needs no promise of its own.
    """

    def __init__(
        self, groups: Groups, peers: Peers, base: VersionedGroup, requester_id: str
    ) -> None:
        self._groups = groups
        self._peers = peers
        self._base = base
        self._requester_id = requester_id
        self._calls: dict[str, list[tuple[Member, int]]] = {}

    async def request(
        self, member_ids: list[str], exempt_ids: frozenset[str] = frozenset()
    ) -> frozenset[str]:
        """Returns the ids of the members whose other monitors all agree to a takeover.

        Args:
            member_ids: Members to take over. Their monitors are queried concurrently, because
                each lost monitor takes the whole timeout of a call.
            exempt_ids: Monitors whose promise is not needed.
        """
        results = await asyncio.gather(
            *(self._request_from_monitors(member_id, exempt_ids) for member_id in member_ids)
        )
        return frozenset(
            member_id for member_id, agreed in zip(member_ids, results, strict=True) if agreed
        )

    def release(self, keep_ids: frozenset[str] = frozenset()) -> None:
        """Releases the promises, except for members that a write may still remove.

        Args:
            keep_ids: Those members.
        """
        for member_id, queries in self._calls.items():
            if member_id in keep_ids:
                continue
            for monitor, call in queries:
                self._peers.send(monitor, PromiseRelease(call, member_id))

    async def _request_from_monitors(self, member_id: str, exempt_ids: frozenset[str]) -> bool:
        members = self._base.group.members
        member = members.get(member_id)
        if member is None:
            return False
        queries = self._calls.setdefault(member_id, [])
        for monitor_id in member.monitors:
            monitor = members.get(monitor_id)
            if monitor is None or monitor_id == self._requester_id or monitor_id in exempt_ids:
                continue
            call = self._peers.next_call()
            group_id = self._base.group.id
            query = PromiseQuery(
                call, group_id.service, group_id.number, member_id, self._base.version
            )
            queries.append((monitor, call))
            try:
                reply = await self._call(monitor, query)
            except PeerError as error:
                _PROMISE_MISSING.emit(member=member_id, monitor=monitor_id, error=error)
                return False
            if not isinstance(reply, Promise) or not reply.granted:
                return False
        return True

    async def _call(self, monitor: Member, query: PromiseQuery) -> object:
        # The attempt is conditional on the version of `base`, so a newer one ends the wait.
        version_change = self._groups.changed(
            self._base.group.id, self._base.version, _NEWER_VERSION_WAIT_S
        )
        reply_task = asyncio.ensure_future(self._peers.call(monitor, query, query.call))
        newer_task = asyncio.ensure_future(version_change)
        try:
            await asyncio.wait((reply_task, newer_task), return_when=asyncio.FIRST_COMPLETED)
            return await reply_task if reply_task.done() else None
        finally:
            for task in (reply_task, newer_task):
                task.cancel()
