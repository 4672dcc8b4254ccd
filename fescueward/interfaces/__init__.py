"""Protocol types of the services, one module per area.

Services import these types and never each other; the registry connects them by name.
"""

from .administration import PlatformState, StatusReports, WatchState, WorkState
from .catalogue import Catalogue
from .evacuations import EvacuationGate, EvacuationListener, EvacuationState
from .groups import Directory, GroupListener, Groups, Recorder
from .leases import Departure, DepartureRecord, Lease, Membership, Monitor
from .metrics import (
    Metrics,
    MetricsPage,
    RequestListener,
    RequestSource,
    RunListener,
    RunSource,
)
from .ownership import Grants, Ownership, Ticket
from .peers import BodyTransit, Peers
from .placement import Load, Placement, PlacementPolicy
from .platform import Changes, Platform, StoredObject
from .requests import (
    Admission,
    CrashListener,
    CrashSource,
    Execution,
    HealthSource,
    Liveness,
    NoticeListener,
    NoticeSource,
    Outcomes,
    Quarantine,
    RateControl,
    Router,
    SlotLoad,
    StartListener,
    Upstream,
)
from .room import CallListener, CallRoom, CallSource, Returns, RunGate
from .routes import RangeGrants, Routes
from .shutdown import Shutdown, ShutdownPhase
from .warmup import Warmup, WarmupListener

__all__ = [
    "Admission",
    "BodyTransit",
    "CallListener",
    "CallRoom",
    "CallSource",
    "Catalogue",
    "Changes",
    "CrashListener",
    "CrashSource",
    "Departure",
    "DepartureRecord",
    "Directory",
    "EvacuationGate",
    "EvacuationListener",
    "EvacuationState",
    "Execution",
    "Grants",
    "GroupListener",
    "Groups",
    "HealthSource",
    "Lease",
    "Liveness",
    "Load",
    "Membership",
    "Metrics",
    "MetricsPage",
    "Monitor",
    "NoticeListener",
    "NoticeSource",
    "Outcomes",
    "Ownership",
    "Peers",
    "Placement",
    "PlacementPolicy",
    "Platform",
    "PlatformState",
    "Quarantine",
    "RangeGrants",
    "RateControl",
    "Recorder",
    "RequestListener",
    "RequestSource",
    "Returns",
    "Router",
    "Routes",
    "RunGate",
    "RunListener",
    "RunSource",
    "Shutdown",
    "ShutdownPhase",
    "SlotLoad",
    "StartListener",
    "StatusReports",
    "StoredObject",
    "Ticket",
    "Upstream",
    "Warmup",
    "WarmupListener",
    "WatchState",
    "WorkState",
]
