"""Daemons: each assembles the services of a process from its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .agent import Agent

__all__ = ["Agent"]


def __getattr__(name: str) -> Any:
    # The agents share few services, so each process imports only the modules of its own agent.
    if name == "Agent":
        from .agent import Agent

        return Agent
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
