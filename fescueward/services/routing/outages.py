"""Recognises that many owners of keys are unreachable at the same time.

Answers the return of a fleet whose agents have all ended under full load: no owner serves until it
has joined its group again. A request that waited for its owner would be held until it is late, and
all callers of the fleet with it. The loss of one owner is different: its keys have a new owner, or
the agent is back, within about the time that a request can wait.
"""

from __future__ import annotations

# Observations older than this say nothing about the present.
_OBSERVED_S = 2.0
# Owners that have to be unreachable, and their share of the observed ones.
_MIN_UNREACHABLE = 3
_MIN_UNREACHABLE_SHARE = 0.3


class OwnerOutages:
    """What this agent has observed of the owners of one service lately."""

    def __init__(self) -> None:
        # Whether each owner responded to the last request, and when, by member id.
        self._observed: dict[str, tuple[bool, float]] = {}

    def record(self, member_id: str, reachable: bool, now: float) -> None:
        """Records whether the agent of an owner could be reached.

        Args:
            member_id: Member id of the owner.
            reachable: Whether it has responded, also with a refusal.
            now: Current time in seconds of CLOCK_BOOTTIME.
        """
        self._observed[member_id] = (reachable, now)

    def widespread(self, now: float) -> bool:
        """Returns whether so many owners are unreachable that waiting for one is futile."""
        self._observed = {
            member_id: (reachable, at)
            for member_id, (reachable, at) in self._observed.items()
            if now - at < _OBSERVED_S
        }
        unreachable = sum(not reachable for reachable, _ in self._observed.values())
        return unreachable >= max(_MIN_UNREACHABLE, _MIN_UNREACHABLE_SHARE * len(self._observed))
