"""Exception types of the test programs, codes 9xxx."""

from __future__ import annotations

from ..kernel.errors import FescuewardError


class HarnessError(FescuewardError):
    """Base of the errors of the test programs."""

    code = 9000
    label = "harness_error"


class ConditionTimeoutError(HarnessError):
    """An awaited condition did not hold in time."""

    code = 9001
    label = "condition_timeout"


class ProcessStateError(HarnessError):
    """A process is started twice, or signalled while it does not run."""

    code = 9002
    label = "process_state"


class UnknownMemberError(HarnessError):
    """A deployment has no member with this name, or the member has no such proxy."""

    code = 9003
    label = "unknown_member"


class ControlError(HarnessError):
    """A stand-in refused a control call."""

    code = 9004
    label = "control_refused"


class NoFreePortError(HarnessError):
    """No free port was found in the permitted range."""

    code = 9005
    label = "no_free_port"


class JournalError(HarnessError):
    """A line of an upstream journal is malformed."""

    code = 9006
    label = "bad_journal"


class RunAbortedError(HarnessError):
    """An upstream ends a run before its end.

    Attributes:
        reason: Why, as it stands in the journal.
    """

    code = 9007
    label = "run_aborted"

    def __init__(self, reason: str) -> None:
        super().__init__(f"the run was aborted: {reason}")
        self.reason = reason
