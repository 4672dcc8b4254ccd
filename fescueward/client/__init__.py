"""The routing library: sends requests directly to the owners of their keys."""

from .client import Answer, Client

__all__ = ["Answer", "Client"]
