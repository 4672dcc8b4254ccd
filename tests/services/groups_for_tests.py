"""Groups and invariants for the tests of placement."""

from __future__ import annotations

from dataclasses import replace

from fescueward.interfaces.placement import GroupLoad
from fescueward.messages import Entry, Group, Member, Shard, Weight
from fescueward.messages.group import key_hash
from fescueward.services.policies import BoundedLoadPolicy
from fescueward.services.policies.exceptions import MAX_EXCEPTIONS

SHARDS = 64


def member(name: str, slots: int = 6, incarnation: int = 1, checks_grants: bool = True) -> Member:
    return Member(
        f"{name}:{incarnation}",
        name,
        incarnation,
        "boot",
        "127.0.0.1",
        1,
        "127.0.0.1",
        2,
        "lowell",
        slots,
        110,
        checks_grants,
    )


def entry(weight: Weight = Weight.UNAVAILABILITY) -> Entry:
    return Entry("depot", "tests", shard_count=SHARDS, weight=weight)


def joined(group: Group, *members: Member) -> Group:
    added = {found.id: found for found in members}
    return replace(group, members={**group.members, **added})


def placed(*members: Member) -> Group:
    """Returns a group whose shards are placed on the members."""
    group = joined(Group("depot", 0, SHARDS, {}, (Shard(),) * SHARDS), *members)
    return BoundedLoadPolicy().assign(group, frozenset(), GroupLoad(), entry())


def settled(group: Group) -> Group:
    """Ends all handovers as their successors do."""
    shards = tuple(
        Shard(shard.successor, shard.epoch + 1) if shard.successor else shard
        for shard in group.shards
    )
    return replace(group, shards=shards)


def run_rebalance_rounds(
    group: Group, load: GroupLoad, rounds: int, found: Entry | None = None
) -> Group:
    for _ in range(rounds):
        group = settled(BoundedLoadPolicy().rebalance(group, load, found or entry()))
    return group


def owners(group: Group) -> list[str | None]:
    return [shard.owner for shard in group.shards[: group.shard_count]]


def counts(group: Group) -> dict[str, int]:
    return {found: owners(group).count(found) for found in group.members}


def faults(before: Group, after: Group) -> list[str]:
    """Returns what a placement decision must not have done."""
    found = []
    if len(after.exceptions) > MAX_EXCEPTIONS:
        found.append("too many exceptions")
    if len(set(after.exceptions.values())) < len(after.exceptions):
        found.append("two keys share an exception shard")
    for shard_id, new in enumerate(after.shards):
        old = before.shards[shard_id] if shard_id < len(before.shards) else Shard()
        if new.epoch < old.epoch:
            found.append(f"epoch of {shard_id} fell")
        if old.successor is not None and new != old:
            found.append(f"{shard_id} changed during its handover")
        if new.owner not in (None, old.owner) and new.epoch <= old.epoch:
            found.append(f"{shard_id} changed owner at the same epoch")
        if new.successor is not None and new.successor not in after.members:
            found.append(f"successor of {shard_id} is no member")
    for key, shard_id in after.exceptions.items():
        parent = after.shards[key_hash(key) % after.shard_count]
        if key not in before.exceptions:
            if after.shards[shard_id].owner != parent.owner:
                found.append(f"{key} changed owner without a handover")
            if after.shards[shard_id].epoch <= parent.epoch:
                found.append(f"epoch of {key} is not above that of its hash shard")
    for key, shard_id in before.exceptions.items():
        if key in after.exceptions:
            continue
        parent_id = key_hash(key) % after.shard_count
        if before.shards[shard_id].owner != before.shards[parent_id].owner:
            found.append(f"{key} was dissolved at another owner")
        if after.shards[parent_id].epoch <= before.shards[shard_id].epoch:
            found.append(f"epoch of the hash shard of {key} did not rise above the exception")
    return found
