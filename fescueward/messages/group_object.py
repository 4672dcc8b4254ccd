"""Encoding of group objects, and reading of those that other programs may have written."""

from __future__ import annotations

from typing import Any

import msgspec

from ..kernel.errors import MalformedMessageError
from .codec import DECODE_FAILURES, ENCODE_FAILURES, decode_json, encode_json
from .group import LAST_KEY, Group, KeyRange, Member


class _Members(msgspec.Struct):
    members: dict[str, msgspec.Raw]


def encode_group(group: Group) -> bytes:
    """Returns a group as JSON text that every agent can decode.

    Raises:
        MalformedMessageError: A value cannot be encoded or is out of range, or the group is
            inconsistent.
    """
    try:
        value = encode_json(group)
    except ENCODE_FAILURES as error:
        raise MalformedMessageError(f"bad Group: {error}") from error
    # Data classes do not check the values that they are built with.
    decode_json(value, Group)
    check_group(group)
    return value


def decode_group(key: str, value: bytes) -> Group:
    """Decodes a group object.

    A member that cannot be read is left out if it owns nothing; the others stay in use.

    Args:
        key: Platform key of the object.
        value: The object in JSON.

    Raises:
        MalformedMessageError: The object is no group, is inconsistent, or belongs to another key.
    """
    try:
        group = decode_json(value, Group)
        check_group(group)
    except MalformedMessageError:
        group = _decode_without_odd_members(value)
    if group.id.object_key != key:
        raise MalformedMessageError(f"the object contains the group {group.id}")
    return group


def check_group(group: Group) -> None:
    """Checks the rules of a group that its types do not declare.

    Raises:
        MalformedMessageError: A member has another id than its own, an exception names no shard,
            or the key ranges are not in ascending order without gaps.
    """
    for member_id, member in group.members.items():
        if member_id != member.id:
            raise MalformedMessageError(f"member {member.id!r} is listed as {member_id!r}")
    for shard_id in group.exceptions.values():
        if shard_id >= len(group.shards):
            raise MalformedMessageError(f"an exception names the unknown shard {shard_id}")
    if group.ranges:
        _check_ranges(group.ranges)


def _check_ranges(ranges: tuple[KeyRange, ...]) -> None:
    next_key = 0
    for key_range in ranges:
        if key_range.first != next_key or key_range.last < key_range.first:
            raise MalformedMessageError(
                f"the key range {key_range.first} to {key_range.last} follows key {next_key - 1}"
            )
        next_key = key_range.last + 1
    if next_key != LAST_KEY + 1:
        raise MalformedMessageError(f"no key range follows key {next_key - 1}")


def _decode_without_odd_members(value: bytes) -> Group:
    listed = decode_json(value, _Members).members
    members = {
        member_id: member
        for member_id, content in listed.items()
        if (member := _decode_member(content)) is not None and member.id == member_id
    }
    content: dict[str, Any] = decode_json(value, dict[str, msgspec.Raw])
    content["members"] = members
    group = decode_json(msgspec.json.encode(content), Group)
    check_group(group)
    odd_ids = listed.keys() - members.keys()
    for held in (*group.shards, *group.ranges):
        if held.owner in odd_ids or held.successor in odd_ids:
            raise MalformedMessageError("a member that owns keys cannot be read")
    return group


def _decode_member(content: msgspec.Raw) -> Member | None:
    try:
        return msgspec.json.decode(content, type=Member)
    except DECODE_FAILURES:
        return None
