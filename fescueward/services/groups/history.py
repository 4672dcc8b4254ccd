"""Recent versions of groups, from which members that are behind get deltas."""

from __future__ import annotations

from collections import OrderedDict

from ...messages import GroupId, VersionedGroup
from ...messages.peer import Publish
from .relay import build_publish

# Versions of a group that are kept. A fleet that starts writes some 20 versions a second, and a
# member fetches what it has missed within a second.
_VERSIONS_LIMIT = 32


class GroupHistory:
    """Builds the responses to members that fetch a group.

    A group of 90 members takes 0.9 ms to compress as a whole, and each missed version makes many
    members fetch it.
    """

    def __init__(self) -> None:
        self._versions: dict[GroupId, OrderedDict[int, VersionedGroup]] = {}
        # Messages to the newest version of each group, by the version that they apply to.
        self._messages: dict[GroupId, dict[int, Publish]] = {}

    def record(self, newest: VersionedGroup) -> None:
        """Adds the newest version of a group and drops the oldest one above the limit."""
        versions = self._versions.setdefault(newest.group.id, OrderedDict())
        versions[newest.version] = newest
        if len(versions) > _VERSIONS_LIMIT:
            versions.popitem(last=False)
        self._messages[newest.group.id] = {}

    def changes_since(self, group_id: GroupId, version: int) -> Publish:
        """Returns the newest version of a group for a member that has an earlier one.

        Args:
            group_id: A group that has been recorded.
            version: Version that the member has, 0 for none.

        Returns:
            A message with a delta, or with the whole group if the version is not kept.
        """
        messages = self._messages[group_id]
        if version not in messages:
            versions = self._versions[group_id]
            newest = next(reversed(versions.values()))
            messages[version] = build_publish(versions.get(version), newest)
        return messages[version]
