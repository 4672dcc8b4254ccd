"""Group objects: cached versions, conditional edits and their propagation among agents."""

from .store import GroupStore

__all__ = ["GroupStore"]
