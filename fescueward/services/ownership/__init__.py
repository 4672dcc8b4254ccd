"""Ownership of shards by this agent."""

from .hash_shards import ShardOwnership

__all__ = ["ShardOwnership"]
