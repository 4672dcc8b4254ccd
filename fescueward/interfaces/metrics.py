"""Protocols of the metrics and of the services that supply their observations."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, runtime_checkable

from ..kernel import RefusalError


@dataclass(frozen=True, slots=True)
class MetricsPage:
    """All metrics, rendered for a scraper.

    Attributes:
        content: Body of the page.
        content_type: Media type of the body.
    """

    content: bytes
    content_type: str


@runtime_checkable
class Metrics(Protocol):
    """Counters, histograms and gauges of this agent."""

    def render(self) -> MetricsPage:
        """Computes the gauges and returns all metrics in the Prometheus text format."""
        ...


@runtime_checkable
class RequestListener(Protocol):
    """Subscriber to the end of each request that this agent routed."""

    def request_ended(self, service: str, error: RefusalError | None, seconds: float) -> None:
        """Called once per request, when its response begins or it is refused.

        Args:
            service: Service named by the request; it need not exist.
            error: The refusal, or None if the request was served.
            seconds: Time since the request arrived, in seconds.
        """
        ...


@runtime_checkable
class RunListener(Protocol):
    """Subscriber to the end of each run on the local upstream."""

    def run_ended(self, service: str, seconds: float) -> None:
        """Called once per run, when its response begins.

        Args:
            service: Service of the request.
            seconds: Time since the run began, in seconds.
        """
        ...


@runtime_checkable
class RequestSource(Protocol):
    """A service that notifies listeners of the end of requests."""

    def subscribe(self, listener: RequestListener) -> None:
        """Calls the listener at the end of each request from now on."""
        ...


@runtime_checkable
class RunSource(Protocol):
    """A service that notifies listeners of the end of runs."""

    def subscribe(self, listener: RunListener) -> None:
        """Calls the listener at the end of each run from now on."""
        ...
