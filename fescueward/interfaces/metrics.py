"""Metrics and the events that feed them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, runtime_checkable

from ..kernel import RefusalError


@dataclass(frozen=True, slots=True)
class MetricsPage:
    """The metrics in a form that a collector understands.

    Attributes:
        content: The bytes of the page.
        content_type: Its media type.
    """

    content: bytes
    content_type: str


@runtime_checkable
class Metrics(Protocol):
    """Counters, histograms and gauges of this agent."""

    def render(self) -> MetricsPage:
        """Computes the gauges and returns all metrics in Prometheus' text form."""
        ...


@runtime_checkable
class RequestListener(Protocol):
    """A service that is told of the end of each request that this agent routed."""

    def request_ended(self, service: str, error: RefusalError | None, seconds: float) -> None:
        """Called once for each request, when its response begins or it is refused.

        Args:
            service: Service that the request named; it need not exist.
            error: The refusal, or None if the request was served.
            seconds: Time since the request arrived.
        """
        ...


@runtime_checkable
class RunListener(Protocol):
    """A service that is told of the end of each run on the local upstream."""

    def run_ended(self, service: str, seconds: float) -> None:
        """Called once for each run whose response has begun.

        Args:
            service: Service of the request.
            seconds: Time since the run began.
        """
        ...


@runtime_checkable
class RequestSource(Protocol):
    """A service that tells of the end of requests."""

    def subscribe(self, listener: RequestListener) -> None:
        """Tells a service of the end of each request from now on."""
        ...


@runtime_checkable
class RunSource(Protocol):
    """A service that tells of the end of runs."""

    def subscribe(self, listener: RunListener) -> None:
        """Tells a service of the end of each run from now on."""
        ...
