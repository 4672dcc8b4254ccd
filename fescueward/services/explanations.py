"""Explains the placement of a key, and whether a request to it would be served."""

from __future__ import annotations

from ..kernel import RefusalError
from ..kernel.errors import (
    LeaseExpiredError,
    NoOwnerError,
    OwnerUnreachableError,
    ShardMovingError,
)
from ..messages import Entry, Shard
from ..messages.status import AgentStatus, Explanation, Reason
from .problems import AgentResponses, GroupView


def explain_key(
    entry: Entry, key: str, view: GroupView, responses: AgentResponses, told_by: str
) -> Explanation:
    """Explains the placement of one key.

    Args:
        entry: Catalogue entry of the service.
        key: The key.
        view: Group of the key, as this agent could read it.
        responses: Responses of its owner and successor.
        told_by: Member id of this agent.
    """
    if view.group is None:
        shard_id, shard, failure_domain = 0, Shard(), None
        cause = f"the group could not be read: {view.error}" if view.error else "it has no members"
        reasons, text = (Reason.NO_OWNER,), f"group {view.id} has no known owner: {cause}"
    else:
        group = view.group.group
        shard_id = group.shard_of(key, entry.groups)
        shard = group.shards[shard_id] if shard_id < len(group.shards) else Shard()
        owner = group.members.get(shard.owner or "")
        failure_domain = owner.failure_domain if owner is not None else None
        reasons, text = _placement_reasons(
            key, shard_id, shard, key in group.exceptions, responses
        )
    refusal, serving_state = _serving_state(shard_id, shard, responses)
    return Explanation(
        service=entry.service,
        key=key,
        group=str(view.id),
        shard=shard_id,
        owner=shard.owner,
        failure_domain=failure_domain,
        epoch=shard.epoch,
        successor=shard.successor,
        reasons=reasons,
        text=f"{text}; {serving_state}",
        served=refusal is None,
        refusal=refusal.label if refusal is not None else None,
        told_by=told_by,
    )


def _placement_reasons(
    key: str, shard_id: int, shard: Shard, is_exception: bool, responses: AgentResponses
) -> tuple[tuple[Reason, ...], str]:
    reasons: list[Reason] = []
    if is_exception:
        reasons.append(Reason.EXCEPTION)
        parts = [f"{key!r} has its own shard {shard_id}, because it is or was hot"]
    else:
        parts = [f"the hash of {key!r} selects shard {shard_id}"]
    if shard.owner is None:
        reasons.append(Reason.NO_OWNER)
        parts.append("the shard has no owner")
        return tuple(reasons), "; ".join(parts)
    owner_status = responses.statuses.get(shard.owner)
    origin = owner_status.origins.get(shard_id) if owner_status is not None else None
    if origin is None:
        reasons.append(Reason.PLACED)
        parts.append(f"the placement policy assigned the shard to {shard.owner}")
    elif origin.taken_over:
        reasons.append(Reason.TAKEN_OVER)
        parts.append(
            f"{shard.owner} took the shard over from {origin.before}, which was lost, "
            f"{origin.since_s:.1f} s ago"
        )
    else:
        reasons.append(Reason.HANDED_OVER)
        parts.append(
            f"{origin.before} handed the shard over to {shard.owner} {origin.since_s:.1f} s ago"
        )
    if shard.hold_ms:
        reasons.append(Reason.HOLD)
        parts.append(
            f"the owner waited {shard.hold_ms} ms before it activated the shard, because the "
            "previous upstream could still run requests"
        )
    if shard.successor is not None:
        reasons.append(Reason.MOVING)
        parts.append(f"the shard is being handed over to {shard.successor}")
    return tuple(reasons), "; ".join(parts)


def _serving_state(
    shard_id: int, shard: Shard, responses: AgentResponses
) -> tuple[type[RefusalError] | None, str]:
    if shard.owner is None:
        return NoOwnerError, "a request waits for an owner until its deadline and is then refused"
    for member_id, epoch in ((shard.owner, shard.epoch), (shard.successor, shard.epoch + 1)):
        agent_status = responses.statuses.get(member_id or "")
        if (
            agent_status is not None
            and agent_status.lease_held
            and _serves(agent_status, shard_id, epoch)
        ):
            if member_id == shard.owner and shard.successor is not None:
                continue
            return None, f"a request would be served by {member_id} now"
    agent_status = responses.statuses.get(shard.owner)
    if shard.successor is not None:
        return ShardMovingError, "a request waits for the handover until its deadline"
    if agent_status is None:
        return OwnerUnreachableError, f"{shard.owner} does not respond to this agent"
    if not agent_status.lease_held:
        return LeaseExpiredError, f"the lease of {shard.owner} has ended"
    return ShardMovingError, f"{shard.owner} has not activated the shard at this epoch yet"


def _serves(agent_status: AgentStatus, shard_id: int, epoch: int) -> bool:
    return agent_status.shards.get(shard_id) == epoch
