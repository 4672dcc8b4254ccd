"""Group objects: newest versions, edits, and what agents tell each other of them."""

from .store import GroupStore

__all__ = ["GroupStore"]
