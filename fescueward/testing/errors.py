"""Exception types of the test harness, codes 9xxx."""

from __future__ import annotations

from ..kernel.errors import FescuewardError


class HarnessError(FescuewardError):
    """Base class of the errors of the test harness."""

    code = 9000
    label = "harness_error"


class ConditionTimeoutError(HarnessError):
    """A condition did not hold within its timeout."""

    code = 9001
    label = "condition_timeout"


class ProcessStateError(HarnessError):
    """A process was started while it ran, or used or signalled while it did not run."""

    code = 9002
    label = "process_state"


class UnknownMemberError(HarnessError):
    """A deployment has no member with this name, or the member has no such proxy."""

    code = 9003
    label = "unknown_member"


class ControlError(HarnessError):
    """A stand-in rejected a control call."""

    code = 9004
    label = "control_refused"


class NoFreePortError(HarnessError):
    """No free port was found in the range for tests."""

    code = 9005
    label = "no_free_port"


class JournalError(HarnessError):
    """A line of a journal, record file or trace is malformed."""

    code = 9006
    label = "bad_journal"


class RunAbortedError(HarnessError):
    """An upstream aborts a run before it is complete.

    Attributes:
        reason: Reason of the abort, as it is written to the journal.
    """

    code = 9007
    label = "run_aborted"

    def __init__(self, reason: str) -> None:
        super().__init__(f"the run was aborted: {reason}")
        self.reason = reason
