"""Fleet-wide bounds that the operator of a deployment sets."""

from __future__ import annotations

from dataclasses import dataclass

# Share of the grace time in which a stopping agent accepts all requests, and the upper limit of
# that time. The platform routes callers elsewhere after two failed readiness probes, one per
# second; a request that is aborted more than three seconds after the stop counts as a failure.
_ACCEPTING_SHARE = 0.5
_MAX_ACCEPTING_S = 3.0
# Allowance for the delay until a busy process handles the stop signal.
_SIGNAL_DELAY_S = 0.25
# Share of the grace time in which a stopping agent tries to leave its group.
_LEAVING_SHARE = 0.7
# Last part of the grace time, reserved for closing connections and for the exit.
_CLOSING_S = 0.8
# Allowance for a drain that ends by itself once open requests may no longer finish.
_DRAIN_SLACK_S = 0.1
# Last part of the closing time, reserved for the exit of the interpreter.
_EXIT_S = 0.2


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that apply to all agents of a fleet; all times are in seconds.

    Attributes:
        retry_ratio: Retries permitted per request.
        retry_burst: Retries permitted in addition to the ratio, within one window.
        retry_window_s: Length of that window.
        drain_s: Longest time after an upstream announces its departure in which new requests
            may be sent to it.
        grace_s: Time between the stop signal and the forced end of the process.
        max_hold_s: Longest grant of a key range.
        propagation_s: Longest time until a new configuration is in force on all agents.
        cold_over: Factor on the rate that a cold upstream takes, up to which it may be exceeded
            within one second.
        cold_slack: Requests that a cold upstream may get in one second beyond that.
        evacuate_s: Longest time after an evacuation was requested in which requests may be sent
            to the upstreams of the failure domain.
        can_evacuate: Whether operators evacuate failure domains at all.
    """

    retry_ratio: float = 0.1
    retry_burst: float = 20.0
    retry_window_s: float = 10.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    max_hold_s: float = 10.0
    propagation_s: float = 5.0
    cold_over: float = 1.0
    cold_slack: float = 1.0
    evacuate_s: float = 5.0
    can_evacuate: bool = False

    @property
    def accept_until_s(self) -> float:
        """Time after the stop signal until which all requests are accepted, in seconds."""
        return max(min(self.grace_s * _ACCEPTING_SHARE, _MAX_ACCEPTING_S) - _SIGNAL_DELAY_S, 0.0)

    @property
    def leave_until_s(self) -> float:
        """Time after the stop signal until which an agent tries to leave its group, in seconds."""
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
