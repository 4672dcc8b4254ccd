"""The agent: the process that runs beside each upstream."""

from __future__ import annotations

import time

from ..kernel import BootClock, Kernel, configure_logging
from ..kernel.settings import Settings
from ..services.administration import HttpAdministration
from ..services.admission import SlotAdmission
from ..services.announcements import HttpAnnouncements
from ..services.catalogue import EntryCatalogue
from ..services.execution import OwnerExecution
from ..services.frontend import HttpFrontend
from ..services.grants import UpstreamGrants
from ..services.groups import GroupStore
from ..services.lease import MonitoredLease
from ..services.load import MeasuredLoad
from ..services.membership import GroupMembership
from ..services.metrics import PrometheusMetrics
from ..services.monitor import LeaseMonitor
from ..services.outcomes import RetainedOutcomes
from ..services.ownership import ShardOwnership
from ..services.peers import MsgpackPeers
from ..services.placement import ShardPlacement
from ..services.platform import HttpPlatform
from ..services.quarantine import CrashQuarantine
from ..services.recorder import EditRecorder
from ..services.recovery import MemberRecovery
from ..services.router import OwnerRouter
from ..services.snapshots import PlannerSnapshots
from ..services.status import FleetStatusReports
from ..services.upstream import HttpUpstream
from ..services.warmup import NoColdStarts
from .process import run_until_stopped


class Agent:
    """Registers the services of an agent and runs them.

    Attributes:
        kernel: The kernel; further services can be added before `run`.
    """

    def __init__(self, settings: Settings) -> None:
        self.kernel = Kernel()
        self._settings = settings
        # Milliseconds of wall-clock time, so that a restarted agent has a higher incarnation.
        incarnation = int(time.time() * 1000)
        kernel = self.kernel
        kernel.provide("settings", settings)
        kernel.provide("clock", BootClock())
        kernel.add(HttpPlatform())
        kernel.add(EntryCatalogue())
        kernel.add(MsgpackPeers(kernel, settings.agent.name, incarnation))
        kernel.add(GroupStore(kernel))
        kernel.add(GroupMembership(kernel, incarnation))
        kernel.add(EditRecorder(kernel))
        kernel.add(MonitoredLease(kernel))
        kernel.add(LeaseMonitor(kernel))
        kernel.add(MemberRecovery(kernel))
        kernel.add(ShardPlacement(kernel))
        kernel.add(MeasuredLoad(kernel))
        kernel.add(PrometheusMetrics())
        kernel.add(FleetStatusReports())
        kernel.add(HttpAdministration())
        kernel.add(HttpUpstream(kernel))
        kernel.add(RetainedOutcomes())
        kernel.add(UpstreamGrants(kernel))
        kernel.add(ShardOwnership(kernel))
        kernel.add(NoColdStarts())
        kernel.add(SlotAdmission())
        kernel.add(CrashQuarantine(kernel))
        kernel.add(OwnerExecution())
        kernel.add(OwnerRouter())
        kernel.add(PlannerSnapshots(kernel))
        kernel.add(HttpAnnouncements())
        kernel.add(HttpFrontend(kernel))

    def run(self) -> None:
        """Runs until SIGTERM or SIGINT.

        Raises:
            ServiceFailedError: A service failed.
        """
        configure_logging(self._settings.log.level, self._settings.log.format)
        run_until_stopped(self.kernel)

    def check(self) -> None:
        """Binds the services to each other without starting them.

        Raises:
            FescuewardError: A setting names a plugin that does not exist.
        """
        self.kernel.bind()
