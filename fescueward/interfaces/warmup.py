"""Protocols of the warm-up of an upstream, during which it takes few requests."""

from __future__ import annotations

from typing import Protocol, runtime_checkable

from ..messages import Announcement


class WarmupListener(Protocol):
    """Subscriber to changes of the limit on a cold upstream."""

    def warmup_changed(self) -> None:
        """Called when requests that wait may be able to begin earlier."""
        ...


@runtime_checkable
class Warmup(Protocol):
    """Whether the upstream on this VM is cold, and how many requests it takes then.

    Without a limit in the configuration of the service an upstream counts as warm.
    """

    @property
    def cold_left_s(self) -> float:
        """Remaining time for which the upstream is or may be cold, in seconds; 0.0 once warm."""
        ...

    @property
    def per_second(self) -> float | None:
        """Requests per second that may begin now, or None without a limit."""
        ...

    def subscribe(self, listener: WarmupListener) -> None:
        """Notifies a listener of each change from now on."""
        ...

    def wait_s(self, ahead: int, now: float) -> float:
        """Returns the time until a request may begin after `ahead` others, in seconds."""
        ...

    def take(self, now: float) -> None:
        """Counts a request that begins, also while the upstream is warm."""
        ...

    def begin_send(self) -> float:
        """Counts a request that is about to be sent and returns 0.0.

        It may have waited since it was taken. If a cold upstream could get more requests in a
        second than permitted, nothing is counted, and the time in seconds is returned after which
        to ask again.
        """
        ...

    def observe_announcement(self, announcement: Announcement) -> None:
        """Applies a heartbeat of the upstream, which may have been sent seconds ago."""
        ...

    def observe_cold(self, cold_left_s: float) -> None:
        """Applies what the upstream has said of itself, in seconds.

        It can begin or prolong a cold time. Only a heartbeat or a health check ends one.
        """
        ...

    def suspect_cold(self) -> None:
        """Takes the upstream for cold until it says otherwise.

        Called for a new start, after failed connections and at the end of an evacuation.
        """
        ...
