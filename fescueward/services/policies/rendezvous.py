"""Rendezvous order of members for a shard, weighted by slots."""

from __future__ import annotations

import math
from collections.abc import Iterable
from functools import lru_cache

import xxhash

from ...messages import Member

_HASH_RANGE = float(1 << 64)


@lru_cache(maxsize=65_536)
def _distance(name: str, shard: int) -> float:
    uniform = (xxhash.xxh64_intdigest(f"{name}/{shard}".encode()) + 1) / (_HASH_RANGE + 2)
    return -math.log(uniform)


def rendezvous_order(shard: int, members: Iterable[Member]) -> list[Member]:
    """Returns the members in the preference order of a shard.

    The order depends on names and slots only, so a server that returns under its name is
    preferred for the shards that it had. A member is first for a share of the shards in
    proportion to its slots (weighted rendezvous hashing, Schindelhauer and Schomaker, 2005).

    Args:
        shard: Shard id.
        members: The members.
    """
    return sorted(members, key=lambda member: _distance(member.name, shard) / member.slots)
