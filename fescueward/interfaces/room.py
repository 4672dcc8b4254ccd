"""Protocols of the order in which callers return, and of the room for the calls of runs."""

from __future__ import annotations

from typing import Protocol, runtime_checkable

from ..kernel import RefusalError
from ..messages import Request


@runtime_checkable
class Returns(Protocol):
    """Callers that were told when to come back."""

    def told(self, request: Request, retry_after_s: float) -> float:
        """Records a refusal and returns the time after which its caller is to come back.

        Args:
            request: The refused request.
            retry_after_s: Time until there is room, in seconds, before it is spread over callers.
        """
        ...

    def is_returning(self, request: Request) -> bool:
        """Returns whether the caller of a request comes back at the time that it was told."""
        ...


@runtime_checkable
class CallRoom(Protocol):
    """Room of the services that runs of a route call."""

    def check(self, request: Request) -> None:
        """Checks whether the calls of a run can be expected to be served.

        Raises:
            OverloadedError: Recent calls of this route's runs were refused. The request has not
                run.
        """
        ...

    def run_began(self, request: Request, deadline: float) -> None:
        """Called when a run begins on the upstream of this VM.

        Args:
            request: The request.
            deadline: Latest end of the run, in seconds of CLOCK_BOOTTIME.
        """
        ...

    def run_ended(self, request: Request, deadline: float) -> None:
        """Called once at the end of each run, with the arguments of its beginning."""
        ...


@runtime_checkable
class RunGate(Protocol):
    """The place that all runs on the upstream of this VM pass."""

    def watch_runs(self, room: CallRoom) -> None:
        """Asks for room before each run, and reports the runs, from now on."""
        ...


@runtime_checkable
class CallListener(Protocol):
    """Recognises the requests that runs on the upstream of this VM have made."""

    def arrived(self, request: Request) -> bool:
        """Called for each request that originates on this VM; returns whether it is a call."""
        ...

    def call_ended(self, request: Request, error: RefusalError | None, seconds: float) -> None:
        """Called at the end of each call.

        Args:
            request: The call.
            error: The refusal, or None if the call was served.
            seconds: Time since the call arrived, in seconds.
        """
        ...


@runtime_checkable
class CallSource(Protocol):
    """The place that all requests which originate on this VM pass."""

    def watch_calls(self, listener: CallListener) -> None:
        """Asks the listener about each request, and tells it of calls, from now on."""
        ...
