"""Callers' HTTP."""

from .service import HttpFrontend

__all__ = ["HttpFrontend"]
