"""Recent versions of groups and of the configuration, sent to members behind them as deltas."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Generic, TypeVar

from ...messages import GroupId, VersionedGroup
from ...messages.configuration import VersionedConfiguration
from ...messages.peer import Publish
from .relay import build_configuration_publish, build_publish

# Versions of a group that are kept. A fleet that starts writes some 20 versions a second, and a
# member fetches what it has missed within a second.
_VERSIONS_LIMIT = 32
# Versions of the configuration that are kept; operators write a few in a second at most.
_CONFIGURATION_VERSIONS_LIMIT = 8

Versioned = TypeVar("Versioned", VersionedGroup, VersionedConfiguration)


class VersionHistory(Generic[Versioned]):
    """Builds the responses to members that fetch one object.

    A group of 90 members takes 0.9 ms to compress as a whole, a configuration of 1,000 routes has
    180 KB, and each missed version makes many members fetch it.

    Args:
        build: Returns the message to members that have cached the first version, None for none.
        limit: Number of versions that are kept.
    """

    def __init__(
        self, build: Callable[[Versioned | None, Versioned], Publish], limit: int
    ) -> None:
        self._build = build
        self._limit = limit
        self._versions: OrderedDict[int, Versioned] = OrderedDict()
        # Messages to the newest version, by the version that they apply to.
        self._messages: dict[int, Publish] = {}

    def record(self, newest: Versioned) -> None:
        """Adds the newest version, unless it is the last one, and drops the oldest one."""
        if newest.version in self._versions:
            return
        self._versions[newest.version] = newest
        if len(self._versions) > self._limit:
            self._versions.popitem(last=False)
        self._messages = {}

    def changes_since(self, version: int) -> Publish:
        """Returns the newest version for a member that has an earlier one.

        Args:
            version: Version that the member has, 0 for none.

        Returns:
            A message with a delta, or with the whole object if the version is not kept.
        """
        if version not in self._messages:
            newest = next(reversed(self._versions.values()))
            self._messages[version] = self._build(self._versions.get(version), newest)
        return self._messages[version]


class ConfigurationHistory(VersionHistory[VersionedConfiguration]):
    """Recent versions of the configuration."""

    def __init__(self) -> None:
        super().__init__(build_configuration_publish, _CONFIGURATION_VERSIONS_LIMIT)


class GroupHistory:
    """Recent versions of all groups."""

    def __init__(self) -> None:
        self._histories: dict[GroupId, VersionHistory[VersionedGroup]] = {}

    def record(self, newest: VersionedGroup) -> None:
        """Adds the newest version of a group; see `VersionHistory.record`."""
        history = self._histories.get(newest.group.id)
        if history is None:
            history = VersionHistory(build_publish, _VERSIONS_LIMIT)
            self._histories[newest.group.id] = history
        history.record(newest)

    def changes_since(self, group_id: GroupId, version: int) -> Publish:
        """Returns the newest version of a recorded group; see `VersionHistory.changes_since`."""
        return self._histories[group_id].changes_since(version)
