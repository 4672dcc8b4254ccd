"""The HTTP front end for callers."""

from .service import HttpFrontend

__all__ = ["HttpFrontend"]
