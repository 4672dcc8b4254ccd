"""Which shards this agent serves now."""

from .hash_shards import ShardOwnership

__all__ = ["ShardOwnership"]
