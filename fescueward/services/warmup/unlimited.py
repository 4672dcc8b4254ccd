"""The `warmup` service where upstreams have no limit while they are cold."""

from __future__ import annotations

from ...interfaces.warmup import WarmupListener
from ...kernel import Registry
from ...messages import Announcement


class NoColdStarts:
    """The `warmup` service of platforms whose upstreams name no cold time; see `Warmup`."""

    name = "warmup"
    requires: tuple[str, ...] = ()
    cold_left_s = 0.0
    per_second: float | None = None

    def bind(self, registry: Registry) -> None:
        """Looks up nothing: this service uses no other."""

    async def start(self) -> None:
        """Starts nothing: this service has no background task."""

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    def subscribe(self, listener: WarmupListener) -> None:
        """Ignores the listener: nothing changes."""

    def wait_s(self, ahead: int, now: float) -> float:
        """Returns 0.0."""
        return 0.0

    def take(self, now: float) -> None:
        """Counts nothing."""

    def begin_send(self) -> float:
        """Returns 0.0: every request is permitted."""
        return 0.0

    def observe_announcement(self, announcement: Announcement) -> None:
        """Ignores the announcement."""

    def observe_cold(self, cold_left_s: float) -> None:
        """Ignores the remaining time."""

    def suspect_cold(self) -> None:
        """Ignores the suspicion."""
