"""Bounds that the operator of a deployment sets for the whole fleet."""

from __future__ import annotations

from dataclasses import dataclass

# Part of the grace time in which a stopped agent closes its connections, in seconds.
_CLOSING_S = 0.8
# Share of the grace time in which a stopped agent still takes requests; the rest is for finishing
# them.
_TAKING_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that all agents of a fleet keep together; all times are in seconds.

    Attributes:
        retry_ratio: Repeated sends permitted for each request.
        retry_burst: Repeated sends permitted beyond the ratio, in one window.
        retry_window_s: Length of that window.
        drain_s: Latest time after an announced departure at which new work reaches an upstream.
        grace_s: Time between the stop signal and the end of the process by force.
        longest_hold_s: Longest grant of keys.
    """

    retry_ratio: float = 0.1
    retry_burst: float = 20.0
    retry_window_s: float = 10.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    longest_hold_s: float = 10.0

    @property
    def take_until_s(self) -> float:
        """Time after the stop signal until which new requests are taken, in seconds.

        The stopped agent tries to leave its group for as long.
        """
        return self.grace_s * _TAKING_SHARE

    @property
    def drain_until_s(self) -> float:
        """Time after the stop signal until which open requests may finish, in seconds."""
        return self.grace_s - _CLOSING_S
