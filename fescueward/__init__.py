"""Router for servers that own keys exclusively."""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .client import Client
    from .kernel import FescuewardError
    from .messages import Entry, Group

__all__ = ["Client", "Entry", "FescuewardError", "Group"]

_MODULES = {
    "Client": ".client",
    "Entry": ".messages",
    "FescuewardError": ".kernel",
    "Group": ".messages",
}


def __getattr__(name: str) -> Any:
    # Imported on first use, because an agent imports this package and needs no routing client.
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_MODULES[name], __name__), name)
