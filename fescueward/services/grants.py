"""Fencing grants of the upstream, sent with each renewal and after each change of the shards."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from ..interfaces import Lease, Membership, Ownership, Upstream
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.settings import Settings
from ..messages import GrantSet

_NOT_CONFIRMED = Event(
    2708, "grant_failed", Level.WARNING, "The upstream did not confirm its grants."
)

_SEND_RETRY_S = 0.05


class UpstreamGrants:
    """The `grants` service.

    Each set of grants replaces the previous one, so the confirmation of a set that was sent after
    the release of a shard also confirms that the grant of the shard is revoked.
    """

    name = "grants"
    requires = ("membership", "lease", "upstream")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._sequence = 0
        self._latest_expiry_at = 0.0
        self._send_requested = asyncio.Event()
        self._waiters: list[asyncio.Future[None]] = []

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._membership = registry.find("membership", Membership)
        self._lease = registry.find("lease", Lease)
        self._upstream = registry.find("upstream", Upstream)
        self._ownership = registry.find("ownership", Ownership)
        self._renewal_s = registry.find("settings", Settings).lease.renewal_ms / 1000

    async def start(self) -> None:
        """Starts the task that sends and renews grants."""
        self._tasks.spawn("renew", self._run())

    async def stop(self) -> None:
        """Cancels the task that sends and renews grants."""
        await self._tasks.cancel()

    def send_soon(self) -> None:
        """Sends the current grants without waiting for the next renewal."""
        self._send_requested.set()

    async def wait_until_confirmed(self) -> None:
        """Waits until the upstream has confirmed grants for the shards that are owned now."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._send_requested.set()
        await waiter

    async def wait_until_revoked(self) -> None:
        """Waits until no grant is in force for a shard that is not owned now."""
        # An upstream that confirms nothing keeps its grants until the latest expiry sent to it.
        wait_s = max(self._latest_expiry_at - self._clock.now(), 0)
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self.wait_until_confirmed()

    async def _run(self) -> None:
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(self._renewal_s):
                    await self._send_requested.wait()
            self._send_requested.clear()
            waiters, self._waiters = self._waiters, []
            if self._membership.announcement is None:
                self._waiters = waiters + self._waiters
                continue
            self._sequence += 1
            self._latest_expiry_at = max(self._latest_expiry_at, self._lease.expires_at)
            grants = GrantSet(
                holder=self._membership.member_id,
                sequence=self._sequence,
                expires_ns=int(self._lease.expires_at * 1e9),
                epochs=self._ownership.owned(),
            )
            if await self._upstream.grant(grants):
                for waiter in waiters:
                    if not waiter.done():
                        waiter.set_result(None)
                continue
            self._waiters = waiters + self._waiters
            if waiters:
                _NOT_CONFIRMED.emit(member=self._membership.member_id, waiting=len(waiters))
                self._send_requested.set()
                await self._clock.sleep(_SEND_RETRY_S)
