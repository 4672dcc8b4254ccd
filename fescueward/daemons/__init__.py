"""Thin daemons: settings to kernel, nothing else."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .agent import Agent

__all__ = ["Agent"]


def __getattr__(name: str) -> Any:
    # The agents have few services in common, and each start imports only its own.
    if name == "Agent":
        from .agent import Agent

        return Agent
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
