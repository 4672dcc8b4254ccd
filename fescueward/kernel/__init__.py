"""The micro-kernel: registry, service life cycle, settings, errors, log events and clock."""

from .clock import BootClock, Clock
from .errors import FescuewardError, Outcome, RefusalError
from .events import Event, Level, configure_logging, events
from .kernel import Kernel, StopLimits
from .registry import Registry, Service
from .tasks import TaskOwner

__all__ = [
    "BootClock",
    "Clock",
    "Event",
    "FescuewardError",
    "Kernel",
    "Level",
    "Outcome",
    "RefusalError",
    "Registry",
    "Service",
    "StopLimits",
    "TaskOwner",
    "configure_logging",
    "events",
]
