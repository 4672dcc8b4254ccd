"""Frozen data classes of every protocol, and their encoding; no decisions are made here."""

from .entry import Entry, Limits, RequestClass, VersionedEntry, Weight
from .group import (
    Group,
    GroupId,
    Member,
    MemberState,
    RecordedCrashes,
    Shard,
    VersionedGroup,
)
from .request import Body, Request, Response
from .upstream import AnnouncedState, Announcement, GrantSet

__all__ = [
    "AnnouncedState",
    "Announcement",
    "Body",
    "Entry",
    "GrantSet",
    "Group",
    "GroupId",
    "Limits",
    "Member",
    "MemberState",
    "RecordedCrashes",
    "Request",
    "RequestClass",
    "Response",
    "Shard",
    "VersionedEntry",
    "VersionedGroup",
    "Weight",
]
