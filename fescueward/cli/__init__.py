"""The command line of fescueward."""

from .main import app, main

__all__ = ["app", "main"]
