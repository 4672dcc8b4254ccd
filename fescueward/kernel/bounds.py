"""Bounds that the operator of a deployment sets for the whole fleet."""

from __future__ import annotations

from dataclasses import dataclass

# Share of the grace time in which a stopped agent takes all requests, and its longest time in
# seconds. The platform sends callers elsewhere after two unanswered questions for readiness, one
# each second; after three seconds nothing excuses a request that is cut off.
_TAKING_SHARE = 0.5
_LONGEST_TAKING_S = 3.0
# Time in which a signal reaches a busy process, in seconds.
_SIGNAL_SLACK_S = 0.25
# Share of the grace time in which a stopped agent tries to leave its group.
_LEAVING_SHARE = 0.7
# Last parts of the grace time, in seconds: closing of connections, and the end of the interpreter.
_CLOSING_S = 0.8
# Time for a drain that ends by itself when open requests may no longer finish.
_DRAIN_SLACK_S = 0.1
_EXIT_S = 0.2


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that all agents of a fleet keep together; all times are in seconds.

    Attributes:
        retry_ratio: Repeated sends permitted for each request.
        retry_burst: Repeated sends permitted beyond the ratio, in one window.
        retry_window_s: Length of that window.
        drain_s: Latest time after an announced departure at which new work reaches an upstream.
        grace_s: Time between the stop signal and the end of the process by force.
        max_hold_s: Longest grant of keys.
        propagation_s: Latest time after which a configuration is in force everywhere.
    """

    retry_ratio: float = 0.1
    retry_burst: float = 20.0
    retry_window_s: float = 10.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    max_hold_s: float = 10.0
    propagation_s: float = 5.0

    @property
    def accept_until_s(self) -> float:
        """Time after the stop signal until which all requests are taken, in seconds."""
        return max(min(self.grace_s * _TAKING_SHARE, _LONGEST_TAKING_S) - _SIGNAL_SLACK_S, 0.0)

    @property
    def leave_until_s(self) -> float:
        """Time after the stop signal until which the agent tries to leave, in seconds."""
        return self.grace_s * _LEAVING_SHARE

    @property
    def finish_until_s(self) -> float:
        """Time after the stop signal until which open requests may finish, in seconds."""
        return self.grace_s - _CLOSING_S

    @property
    def drain_until_s(self) -> float:
        """Time after the stop signal until which services may drain, in seconds."""
        return self.finish_until_s + _DRAIN_SLACK_S

    @property
    def stop_until_s(self) -> float:
        """Time after the stop signal until which services may stop, in seconds."""
        return self.grace_s - _EXIT_S
