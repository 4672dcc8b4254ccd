"""Router for servers that own keys exclusively."""

from .kernel import FescuewardError
from .messages import Entry, Group

__all__ = ["Entry", "FescuewardError", "Group"]
