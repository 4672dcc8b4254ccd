"""Shards of their own for hot keys."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from ...interfaces.placement import GroupLoad
from ...messages import Group, MemberState, Shard
from ...messages.group import group_of, key_hash
from .ledger import clean_work
from .losses import active_members, unused_slots

MAX_EXCEPTIONS = 64
# Keys stand in the group object, which has to stay small.
MAX_KEY_BYTES = 200
# A key is hot above both shares; the first keeps idle services free of exceptions.
_HOT_OF_SLOTS = 0.005
_HOT_OF_MEAN = 0.05
# An exception below this part of the threshold is cool. The gap prevents that a key around the
# threshold gains and loses its shard in turn.
_COOL = 0.5
# Exceptions created in one write; each makes its key wait for an instant.
_NEW_PER_ROUND = 8


@dataclass(frozen=True, slots=True)
class _Hot:
    key: str
    hash_shard: int
    work: float


def place_hot_keys(group: Group, load: GroupLoad, groups: int) -> Group:
    """Gives hot keys exceptions and takes slots back from cool ones where slots are short.

    A fresh exception starts at the owner of its hash shard, with an epoch above that of the hash
    shard and above all that its slot has had. An exception is dissolved only at the owner of its
    hash shard, whose epoch then rises above that of the exception.

    Args:
        group: The group.
        load: Measured work.
        groups: Number of groups of the service.
    """
    group = _release_unused(group)
    work = clean_work(load.work, group)
    mean = sum(work.values()) / max(len(active_members(group)), 1)
    wanted = _hot_keys(group, load, groups, mean)[:_NEW_PER_ROUND]
    if not wanted:
        return group
    free = sorted(
        slot for slot in unused_slots(group) if group.shards[slot] == _empty(group.shards[slot])
    )
    fresh = group.shard_count + MAX_EXCEPTIONS - len(group.shards)
    short = len(wanted) - len(free) - max(fresh, 0)
    shards, exceptions = list(group.shards), dict(group.exceptions)
    for hot in wanted:
        parent = shards[hot.hash_shard]
        if free:
            slot = free.pop(0)
        elif len(shards) < group.shard_count + MAX_EXCEPTIONS:
            slot = len(shards)
            shards.append(Shard())
        else:
            break
        shards[slot] = Shard(parent.owner, max(shards[slot].epoch, parent.epoch) + 1)
        exceptions[hot.key] = slot
    group = replace(group, shards=tuple(shards), exceptions=exceptions)
    return _make_room(group, work, groups, mean, short) if short > 0 else group


def _threshold(mean: float, slots: int) -> float:
    return max(_HOT_OF_SLOTS * slots, _HOT_OF_MEAN * mean)


def hash_shard(group: Group, key: str, groups: int) -> int:
    """Returns the shard that a key has without an exception."""
    return (key_hash(key) // groups) % group.shard_count


def _release_unused(group: Group) -> Group:
    # The owner kept the shard for requests that were in flight when the exception was dissolved.
    shards = list(group.shards)
    for slot in unused_slots(group):
        if shards[slot].successor is None:
            shards[slot] = _empty(shards[slot])
    return replace(group, shards=tuple(shards))


def _empty(shard: Shard) -> Shard:
    return Shard(None, shard.epoch)


def _hot_keys(group: Group, load: GroupLoad, groups: int, mean: float) -> list[_Hot]:
    found = []
    for key, work in load.hot_keys.items():
        if key in group.exceptions or not math.isfinite(work):
            continue
        if not key or len(key.encode()) > MAX_KEY_BYTES:
            continue
        if group_of(group.service, key, groups) != group.id:
            continue
        shard_id = hash_shard(group, key, groups)
        shard = group.shards[shard_id]
        owner = group.members.get(shard.owner or "")
        if owner is None or owner.state is not MemberState.ACTIVE or shard.successor is not None:
            continue
        # The new owner may still be waiting for runs of the lost one, which could be of this key.
        if shard.hold_ms:
            continue
        if work > _threshold(mean, owner.slots):
            found.append(_Hot(key, shard_id, work))
    return sorted(found, key=lambda hot: (-hot.work, hot.key))


def _make_room(
    group: Group, work: dict[int, float], groups: int, mean: float, short: int
) -> Group:
    shards, exceptions = list(group.shards), dict(group.exceptions)
    coolest = sorted(exceptions, key=lambda key: (work.get(exceptions[key], 0.0), key))
    slots = min((member.slots for member in active_members(group)), default=1)
    limit = _COOL * _threshold(mean, slots)
    for key in coolest:
        slot, parent_id = exceptions[key], hash_shard(group, key, groups)
        shard, parent = shards[slot], shards[parent_id]
        if short == 0 or work.get(slot, 0.0) >= limit:
            break
        if shard.successor is not None or parent.successor is not None or shard.owner is None:
            continue
        if shard.owner == parent.owner:
            del exceptions[key]
            epoch = max(parent.epoch, shard.epoch) + 1
            shards[parent_id] = replace(parent, epoch=epoch)
        elif parent.owner in {member.id for member in active_members(group)}:
            shards[slot] = replace(shard, successor=parent.owner)
        else:
            continue
        short -= 1
    return replace(group, shards=tuple(shards), exceptions=exceptions)
