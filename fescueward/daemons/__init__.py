"""Thin daemons: settings to kernel, nothing else."""

from .agent import Agent

__all__ = ["Agent"]
