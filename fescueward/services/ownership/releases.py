"""Releases of shards to their successors."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from ...interfaces import Peers
from ...kernel import Clock, Event, Level
from ...kernel.errors import PeerError
from ...messages import VersionedGroup
from ...messages.peer import Release, Released

_RELEASED = Event(2703, "shard_released", Level.INFO, "The successor has taken over a shard.")
_RELEASE_RETRY = Event(
    2709, "release_retried", Level.INFO, "A successor has not confirmed a release yet."
)

_RELEASE_RETRY_S = 0.05


class ReleaseSender:
    """Sends releases until their successors confirm them.

    Args:
        clock: Clock for the pauses between attempts.
        peers: The `peers` service.
        view: Returns the newest known version of the agent's group, or None.
    """

    def __init__(
        self, clock: Clock, peers: Peers, view: Callable[[], VersionedGroup | None]
    ) -> None:
        self._clock, self._peers, self._view = clock, peers, view

    async def send(self, release: Release, is_pending: Callable[[], bool]) -> None:
        """Returns once the successor has confirmed, has left, or is no longer the successor.

        Args:
            release: The release.
            is_pending: Returns whether the release is still to be sent.
        """
        while is_pending():
            view = self._view()
            member = view.group.members.get(release.to_id) if view is not None else None
            if member is None or view is None:
                return
            if view.group.shards[release.shard].successor != release.to_id:
                return
            call = self._peers.next_call()
            try:
                reply = await self._peers.call(member, replace(release, call=call), call)
                if isinstance(reply, Released) and reply.accepted:
                    _RELEASED.emit(shard=release.shard, epoch=release.epoch, to=release.to_id)
                    return
            except PeerError as error:
                _RELEASE_RETRY.emit(shard=release.shard, to=release.to_id, error=error)
            await self._clock.sleep(_RELEASE_RETRY_S)
