"""The metrics of an agent, exported with aioprometheus.

Each request and each run is observed once, when it ends. All other metrics are gauges, which are
computed when the page is rendered.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

import aioprometheus
from aioprometheus.histogram import Histogram

from ..interfaces import (
    Admission,
    Catalogue,
    Lease,
    Membership,
    MetricsPage,
    Ownership,
    Peers,
    PlatformState,
    RequestSource,
    RunSource,
    SlotLoad,
    Upstream,
    Warmup,
    WatchState,
    WorkState,
)
from ..kernel import Clock, RefusalError, Registry
from ..kernel.events import dropped_log_lines
from .evacuation import find_gate

SERVED = "served"
# Label of requests to services without an entry. Service names that callers send must not become
# labels, because each label set uses memory until the process ends.
UNKNOWN_SERVICE = "unknown"
# The bound of 9 ms on the 99th percentile of requests lies between two of these buckets.
_DURATION_BUCKETS_S = (0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.25, 1.0, 4.0, 16.0)


class MetricType(enum.StrEnum):
    """Types of Prometheus metrics that the agent exports."""

    HISTOGRAM = "histogram"
    GAUGE = "gauge"


@dataclass(frozen=True, slots=True)
class MetricSpec:
    """Specification of one metric.

    Attributes:
        name: Name of the metric, which ends with the unit.
        type: Prometheus type.
        labels: Names of the labels.
        text: What the metric measures, for its help line and docs/operators.md.
    """

    name: str
    type: MetricType
    labels: tuple[str, ...]
    text: str


def _gauge(name: str, text: str) -> MetricSpec:
    return MetricSpec(f"fescueward_{name}", MetricType.GAUGE, (), text)


REQUESTS = MetricSpec(
    "fescueward_request_duration_seconds",
    MetricType.HISTOGRAM,
    ("service", "outcome"),
    "Time from the arrival of a request at this agent to its response or refusal. The outcome is "
    "served or the label of the refusal.",
)
RUNS = MetricSpec(
    "fescueward_run_duration_seconds",
    MetricType.HISTOGRAM,
    ("service",),
    "Time of a run on the upstream of this agent until its response begins. Its count divided by "
    "the count of requests, both summed over all agents, is the number of attempts per request.",
)
UPTIME = _gauge("uptime_seconds", "Time since the start of the agent.")
IN_FLIGHT = _gauge("in_flight_requests", "Requests that run or wait on the upstream.")
SHARDS = _gauge("active_shards", "Shards that the agent serves.")
LEASE = _gauge(
    "lease_remaining_seconds", "Time until the lease ends without a renewal; 0 if ended."
)
PLATFORM = _gauge(
    "platform_unavailable_seconds", "Time since the platform stopped answering; 0 if it answers."
)
WATCHING = _gauge("watching_bool", "1 if the agent watches the platform for its group, else 0.")
LEAVING = _gauge("leaving_bool", "1 if the agent or its upstream leaves, else 0.")
PEERS = _gauge("connected_peers", "Agents that a stream exists to.")
ENTRIES = _gauge("catalogue_entries", "Entries that the agent applies.")
CAPACITY = _gauge("usable_slots_ratio", "Usable share of the slots; below 1 on a cold upstream.")
COLD_LEFT = _gauge(
    "upstream_cold_seconds", "Time for which the upstream is or may be cold; 0 once it is warm."
)
COLD_RATE = _gauge(
    "cold_limit_requests",
    "Requests per second that a cold upstream gets at present; 0 without a limit.",
)
LOG_LINES = _gauge(
    "left_out_log_lines", "Log lines that were not written: too many in a second, or no reader."
)
EVACUATED = _gauge(
    "evacuated_bool",
    "1 if the failure domain of the agent is evacuated or it does not know yet, else 0.",
)
EVACUATED_SHARDS = _gauge(
    "evacuated_shards",
    "Shards that the agent serves while its failure domain is evacuated; else 0.",
)
EVACUATED_REQUESTS = _gauge(
    "evacuated_requests",
    "Requests that run or wait on the upstream while its failure domain is evacuated; else 0.",
)
CRASHES = _gauge("upstream_crashes", "Crashes of the upstream that the agent has seen.")

METRICS: tuple[MetricSpec, ...] = (
    REQUESTS,
    RUNS,
    UPTIME,
    IN_FLIGHT,
    SHARDS,
    LEASE,
    PLATFORM,
    WATCHING,
    LEAVING,
    PEERS,
    ENTRIES,
    CAPACITY,
    EVACUATED,
    EVACUATED_SHARDS,
    EVACUATED_REQUESTS,
    CRASHES,
    COLD_LEFT,
    COLD_RATE,
    LOG_LINES,
)


class PrometheusMetrics:
    """The `metrics` service."""

    name = "metrics"
    requires = ("catalogue", "router", "execution")

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._histograms: dict[str, aioprometheus.Histogram] = {}
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        for spec in METRICS:
            if spec.type is MetricType.HISTOGRAM:
                self._histograms[spec.name] = aioprometheus.Histogram(
                    spec.name, spec.text, registry=self._registry, buckets=_DURATION_BUCKETS_S
                )
            else:
                self._gauges[spec.name] = aioprometheus.Gauge(
                    spec.name, spec.text, registry=self._registry
                )
        # aioprometheus encodes labels as JSON on each lookup, so each histogram is looked up once.
        self._requests: dict[tuple[str, str], Histogram] = {}
        self._runs: dict[str, Histogram] = {}
        self._started_at = 0.0

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one reads, and subscribes to requests and runs."""
        self._clock = registry.find("clock", Clock)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._membership = registry.find("membership", Membership)
        self._lease = registry.find("lease", Lease)
        self._ownership = registry.find("ownership", Ownership)
        self._work = registry.find("ownership", WorkState)
        self._peers = registry.find("peers", Peers)
        self._platform = registry.find("platform", PlatformState)
        self._watch = registry.find("groups", WatchState)
        self._admission = registry.find("admission", Admission)
        self._slots = registry.find("admission", SlotLoad)
        self._upstream = registry.find("upstream", Upstream)
        self._warmup = registry.find("warmup", Warmup)
        self._evacuation = find_gate(registry)
        registry.find("router", RequestSource).subscribe(self)
        registry.find("execution", RunSource).subscribe(self)

    async def start(self) -> None:
        """Records the start time for the uptime."""
        self._started_at = self._clock.now()

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    def request_ended(self, service: str, error: RefusalError | None, seconds: float) -> None:
        """Observes a request; see `RequestListener.request_ended`."""
        labels = (service, SERVED if error is None else error.label)
        histogram = self._requests.get(labels)
        if histogram is None:
            histogram = self._request_histogram(*labels)
        histogram.observe(seconds)

    def run_ended(self, service: str, seconds: float) -> None:
        """Observes a run; see `RunListener.run_ended`."""
        histogram = self._runs.get(service)
        if histogram is None:
            # Only requests to services with an entry are run, so the name is safe as a label.
            histogram = self._create_histogram(RUNS, {"service": service})
            self._runs[service] = histogram
        histogram.observe(seconds)

    def render(self) -> MetricsPage:
        """Computes the gauges and returns the page with all metrics; see `Metrics.render`."""
        for spec, value in self._read_gauges().items():
            self._gauges[spec.name].set({}, value)
        content, headers = aioprometheus.render(self._registry, [])
        return MetricsPage(content, headers["Content-Type"])

    def _read_gauges(self) -> dict[MetricSpec, float]:
        now = self._clock.now()
        unavailable = self._platform.unavailable_since
        shards = len(self._ownership.active())
        evacuated = self._evacuation.begun
        return {
            UPTIME: round(now - self._started_at, 3),
            IN_FLIGHT: self._work.in_flight,
            SHARDS: shards,
            LEASE: round(max(self._lease.expires_at - now, 0.0), 3),
            PLATFORM: 0.0 if unavailable is None else round(now - unavailable, 3),
            WATCHING: int(self._watch.watching),
            LEAVING: int(self._membership.leaving),
            PEERS: len(self._peers.connected()),
            ENTRIES: len(self._catalogue.entries()),
            CAPACITY: self._admission.capacity,
            EVACUATED: int(evacuated),
            EVACUATED_SHARDS: shards if evacuated else 0,
            EVACUATED_REQUESTS: self._pending_requests() if evacuated else 0,
            CRASHES: self._upstream.crashes,
            COLD_LEFT: round(self._warmup.cold_left_s, 3),
            COLD_RATE: round(self._warmup.per_second or 0.0, 2),
            LOG_LINES: dropped_log_lines(),
        }

    def _pending_requests(self) -> int:
        """Returns the requests that run or wait; not all services of ownership count them."""
        occupancy = self._slots.occupancy
        return occupancy.running + occupancy.waiting

    def _request_histogram(self, service: str, outcome: str) -> Histogram:
        if service not in self._catalogue.versions():
            histogram_of_unknown = self._requests.get((UNKNOWN_SERVICE, outcome))
            if histogram_of_unknown is not None:
                return histogram_of_unknown
            service = UNKNOWN_SERVICE
        histogram = self._create_histogram(REQUESTS, {"service": service, "outcome": outcome})
        self._requests[service, outcome] = histogram
        return histogram

    def _create_histogram(self, spec: MetricSpec, labels: dict[str, str]) -> Histogram:
        histogram = Histogram(*_DURATION_BUCKETS_S)
        self._histograms[spec.name].set_value(labels, histogram)
        return histogram
