"""Groups for tests, and a check of placement decisions against the invariants of a group."""

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
    added = {new_member.id: new_member for new_member in members}
    return replace(group, members={**group.members, **added})


def assigned_group(*members: Member) -> Group:
    """Returns a group whose shards are assigned to the members."""
    group = joined(Group("depot", 0, SHARDS, {}, (Shard(),) * SHARDS), *members)
    return BoundedLoadPolicy().assign(group, frozenset(), GroupLoad(), entry())


def with_completed_handovers(group: Group) -> Group:
    """Completes all handovers: each successor becomes the owner at the next epoch."""
    shards = tuple(
        Shard(shard.successor, shard.epoch + 1) if shard.successor else shard
        for shard in group.shards
    )
    return replace(group, shards=shards)


def run_rebalance_rounds(
    group: Group, load: GroupLoad, rounds: int, custom_entry: Entry | None = None
) -> Group:
    for _ in range(rounds):
        group = with_completed_handovers(
            BoundedLoadPolicy().rebalance(group, load, custom_entry or entry())
        )
    return group


def owners(group: Group) -> list[str | None]:
    return [shard.owner for shard in group.shards[: group.shard_count]]


def counts(group: Group) -> dict[str, int]:
    return {member_id: owners(group).count(member_id) for member_id in group.members}


def violated_invariants(before: Group, after: Group) -> list[str]:
    """Returns the invariants that a placement decision has violated, as descriptions."""
    violations = []
    if len(after.exceptions) > MAX_EXCEPTIONS:
        violations.append("too many exceptions")
    if len(set(after.exceptions.values())) < len(after.exceptions):
        violations.append("two keys share an exception shard")
    for shard_id, new_shard in enumerate(after.shards):
        old_shard = before.shards[shard_id] if shard_id < len(before.shards) else Shard()
        if new_shard.epoch < old_shard.epoch:
            violations.append(f"epoch of {shard_id} decreased")
        if old_shard.successor is not None and new_shard != old_shard:
            violations.append(f"{shard_id} changed during its handover")
        if new_shard.owner not in (None, old_shard.owner) and new_shard.epoch <= old_shard.epoch:
            violations.append(f"{shard_id} changed owner at the same epoch")
        if new_shard.successor is not None and new_shard.successor not in after.members:
            violations.append(f"successor of {shard_id} is not a member")
    for key, shard_id in after.exceptions.items():
        hash_shard = after.shards[key_hash(key) % after.shard_count]
        if key not in before.exceptions:
            if after.shards[shard_id].owner != hash_shard.owner:
                violations.append(f"{key} changed owner without a handover")
            if after.shards[shard_id].epoch <= hash_shard.epoch:
                violations.append(f"epoch of {key} is not above that of its hash shard")
    for key, shard_id in before.exceptions.items():
        if key in after.exceptions:
            continue
        hash_shard_id = key_hash(key) % after.shard_count
        if before.shards[shard_id].owner != before.shards[hash_shard_id].owner:
            violations.append(
                f"exception of {key} was removed at another owner than that of its hash shard"
            )
        if after.shards[hash_shard_id].epoch <= before.shards[shard_id].epoch:
            violations.append(
                f"epoch of the hash shard of {key} is not above that of the exception"
            )
    return violations
