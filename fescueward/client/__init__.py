"""The routing library: sends requests straight to the owners of their keys."""

from .client import Answer, Client

__all__ = ["Answer", "Client"]
