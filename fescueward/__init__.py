"""Router for servers that own keys exclusively."""

from .client import Client
from .kernel import FescuewardError
from .messages import Entry, Group

__all__ = ["Client", "Entry", "FescuewardError", "Group"]
