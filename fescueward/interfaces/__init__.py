"""Protocol types of the services, one module for each area.

Services import these types and never each other; the registry connects them by name.
"""

from .catalogue import Catalogue
from .groups import GroupListener, Groups
from .leases import Lease, Membership, Monitor
from .ownership import Grants, Ownership, Ticket
from .peers import Peers
from .placement import Load, Placement, PlacementPolicy
from .platform import Changes, Platform, StoredObject
from .requests import Admission, Execution, Outcomes, Quarantine, Router, Upstream

__all__ = [
    "Admission",
    "Catalogue",
    "Changes",
    "Execution",
    "Grants",
    "GroupListener",
    "Groups",
    "Lease",
    "Load",
    "Membership",
    "Monitor",
    "Outcomes",
    "Ownership",
    "Peers",
    "Placement",
    "PlacementPolicy",
    "Platform",
    "Quarantine",
    "Router",
    "StoredObject",
    "Ticket",
    "Upstream",
]
