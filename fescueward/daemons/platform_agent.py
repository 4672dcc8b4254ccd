"""The agent on the users' platform."""

from __future__ import annotations

import sys
import time

from ..kernel import BootClock, Event, Kernel, Level, StopLimits, configure_logging
from ..kernel.body_budget import BodyBudget
from ..kernel.caller_budget import CallerBudget
from ..kernel.errors import FescuewardError
from ..platform.announcements import Heartbeats
from ..platform.frontend import CallerFrontend
from ..platform.settings import Site, load_site, settings_path
from ..platform.store import ObjectStore
from ..platform.upstream import LocalUpstream
from ..services.admission import SlotAdmission
from ..services.evacuation import EvacuatedDomains
from ..services.gate.execution import GateExecution
from ..services.gate.liveness import UpstreamLiveness
from ..services.gate.notices import UpstreamNotices
from ..services.gate.run_calls import RunCalls
from ..services.groups import GroupStore
from ..services.keyspace.load import KeyBlockLoad
from ..services.keyspace.ownership import RangeOwnership
from ..services.keyspace.placement import RangePlacement
from ..services.lease import MonitoredLease
from ..services.membership import LEAVING_GRACE_S, GroupMembership
from ..services.metrics import PrometheusMetrics
from ..services.monitor import LeaseMonitor
from ..services.peers import MsgpackPeers
from ..services.quarantine import CrashQuarantine
from ..services.recorder import EditRecorder
from ..services.room import CallerReturns
from ..services.routing.dispatcher import DispatchRouter
from ..services.routing.routes import ConfiguredCatalogue, RouteTable
from ..services.shutdown import GracefulShutdown
from ..services.warmup import ColdStartLimit
from .process import run_until_stopped

_STARTED = Event(1010, "agent_started", Level.INFO, "The agent starts with these settings.")
_STOPPED = Event(1011, "agent_stopped", Level.INFO, "The agent has shut down in an orderly way.")
_RELOADED = Event(
    1012,
    "settings_read_again",
    Level.INFO,
    "The settings file was read again on SIGHUP; changes take effect after a restart.",
)
_RELOAD_FAILED = Event(
    1013,
    "settings_not_read",
    Level.ERROR,
    "The settings file that was read on SIGHUP is not valid; the agent keeps its settings.",
)

# Share of `drain_s`, the bound on new work after an announced departure, during which a leaving
# upstream accepts new requests; the rest is left for requests in transit.
_LEAVING_GRACE_SHARE = 0.5
# Upstream crashes after which a request is refused: the platform counts each one that an agent
# sends after the third crash.
_CRASH_LIMIT = 3
# Time after a successful run during which the same request is not suspected of a crash. A request
# that crashes an upstream crashes every upstream that starts it, and many callers request the
# same page.
_SUCCESS_WINDOW_S = 60.0


class PlatformAgent:
    """Registers the services of an agent on the platform and runs them.

    Attributes:
        kernel: The kernel; further services can be added before `run`.
    """

    def __init__(self, site: Site) -> None:
        bounds = site.bounds
        self.kernel = Kernel(StopLimits(bounds.drain_until_s, bounds.stop_until_s))
        self._site = site
        incarnation = int(time.time() * 1000)
        kernel = self.kernel
        settings = site.settings
        # This process has bound the port, so an earlier one with this name and address has ended.
        peer_address = f"{settings.peers.host}:{settings.peers.port}"
        kernel.provide("settings", settings)
        kernel.provide("bounds", bounds)
        kernel.provide("clock", BootClock())
        kernel.provide("bodies", BodyBudget(site.memory_bytes))
        held = CallerBudget(site.memory_bytes)
        kernel.add(ObjectStore())
        kernel.add(RouteTable())
        kernel.add(ConfiguredCatalogue())
        kernel.add(MsgpackPeers(kernel, settings.agent.name, incarnation, held))
        if bounds.can_evacuate:
            kernel.add(EvacuatedDomains(kernel))
        kernel.add(GroupStore(kernel, fleet_wide=True))
        leaving_grace_s = min(LEAVING_GRACE_S, bounds.drain_s * _LEAVING_GRACE_SHARE)
        kernel.add(
            GroupMembership(
                kernel,
                incarnation,
                boot_id=peer_address,
                stop_timeout_s=bounds.leave_until_s,
                leaving_grace_s=leaving_grace_s,
            )
        )
        kernel.add(EditRecorder(kernel))
        kernel.add(MonitoredLease(kernel))
        kernel.add(LeaseMonitor(kernel))
        kernel.add(RangePlacement(kernel))
        kernel.add(KeyBlockLoad(kernel))
        kernel.add(UpstreamLiveness(kernel))
        kernel.add(LocalUpstream(site))
        kernel.add(RangeOwnership(kernel))
        kernel.add(ColdStartLimit(kernel, site.heartbeat_period_s))
        kernel.add(SlotAdmission(upstream_names_limits=True))
        kernel.add(
            CrashQuarantine(kernel, crash_limit=_CRASH_LIMIT, success_window_s=_SUCCESS_WINDOW_S)
        )
        kernel.add(GracefulShutdown(kernel))
        kernel.add(GateExecution())
        kernel.add(UpstreamNotices())
        kernel.add(CallerReturns())
        kernel.add(DispatchRouter())
        kernel.add(RunCalls())
        kernel.add(PrometheusMetrics())
        kernel.add(Heartbeats(site))
        kernel.add(CallerFrontend(site, held))

    def run(self) -> None:
        """Runs until SIGTERM or SIGINT.

        Raises:
            ServiceFailedError: A service failed.
        """
        settings = self._site.settings
        configure_logging(settings.log.level, settings.log.format, sys.stdout)
        _STARTED.emit(
            agent=settings.agent.name,
            failure_domain=settings.agent.failure_domain,
            service=self._site.service,
            store=settings.platform.url,
        )
        run_until_stopped(self.kernel, self._reload)
        _STOPPED.emit(agent=settings.agent.name)

    def _reload(self) -> None:
        """Reads the settings file again and logs whether it changed; a restart applies it."""
        try:
            site = load_site(settings_path())
        except FescuewardError as error:
            _RELOAD_FAILED.emit(label=error.label, error=error)
            return
        _RELOADED.emit(changed=site != self._site, bounds=site.bounds)


def main() -> int:
    """Runs the agent with the settings file whose path the platform supplies.

    Returns:
        Exit code: 0 after an orderly shutdown, 1 after a failure.
    """
    try:
        PlatformAgent(load_site(settings_path())).run()
    except FescuewardError as error:
        print(f"{error.label}: {error}", file=sys.stderr)
        return 1
    return 0
