"""Protocols of the room that upstreams have for requests, as other agents know it."""

from __future__ import annotations

from typing import Protocol, runtime_checkable

from ..messages import Request
from ..messages.request import Occupancy


@runtime_checkable
class Room(Protocol):
    """Room of the fleet's upstreams by reports, which lose their weight with age."""

    def observe(self, member_id: str, occupancy: Occupancy, age_s: float = 0.0) -> None:
        """Records a measurement of the agent beside an upstream, unless a newer one is known.

        Args:
            member_id: Member id of that agent.
            occupancy: Load of its slots.
            age_s: Time since the measurement, in seconds.
        """
        ...

    def occupancy(self, member_id: str) -> tuple[Occupancy, float] | None:
        """Returns the newest measurement and its age in seconds, or None if none is recent."""
        ...

    def check(self, request: Request, member_id: str) -> None:
        """Checks whether an upstream can be expected to serve a request in time.

        A share of the requests passes in any case, so that a report that is wrong is corrected.

        Raises:
            OverloadedError: A recent report shows that it cannot. The request has not run.
        """
        ...


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


class CallRoom(Protocol):
    """Room of the services that runs of a route call."""

    def check(self, request: Request) -> None:
        """Checks whether the calls of a run can be expected to be served.

        Raises:
            OverloadedError: Recent calls of this route's runs were refused. The request has not
                run.
        """
        ...
