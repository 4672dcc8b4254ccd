"""Protocol of the warm-up of an upstream, during which it takes few requests."""

from __future__ import annotations

from typing import Protocol, runtime_checkable


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

    def wait_s(self, ahead: int, now: float) -> float:
        """Returns the time until a request may begin after `ahead` others, in seconds."""
        ...

    def take(self, now: float) -> None:
        """Counts a request that begins, also while the upstream is warm."""
        ...

    def observe_cold(self, cold_left_s: float) -> None:
        """Applies what the upstream has just said of itself, in seconds; 0.0 means warm."""
        ...

    def suspect_cold(self) -> None:
        """Takes the upstream for cold until it says otherwise.

        Called for a new start, after failed connections and at the end of an evacuation.
        """
        ...
