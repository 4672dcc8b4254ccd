"""The platform's object API as the services see it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, runtime_checkable


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the platform.

    Attributes:
        key: Its key.
        version: Revision of the store at its last write.
        value: Its JSON text; empty when it was deleted.
        deleted: Whether it was deleted at this version.
    """

    key: str
    version: int
    value: bytes
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Changes:
    """Result of a watch.

    Attributes:
        revision: Revision of the store up to which `objects` is complete.
        objects: Objects that changed after the revision that was asked for.
    """

    revision: int
    objects: tuple[StoredObject, ...]


@runtime_checkable
class Platform(Protocol):
    """Objects with versions, conditional updates and watches. Every call has a timeout."""

    async def get(self, key: str) -> StoredObject:
        """Reads an object.

        Raises:
            ObjectNotFoundError: There is none.
            PlatformUnavailableError: The platform did not answer.
        """
        ...

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Writes an object if its version is the expected one; 0 creates it.

        Returns:
            The new version.

        Raises:
            VersionConflictError: The version is another one.
            OutcomeUnknownError: The response was lost; the write may take effect, also later.
            PlatformUnavailableError: The write had no effect and will have none.
        """
        ...

    async def delete(self, key: str, expected_version: int) -> int:
        """Deletes an object if its version is the expected one; raises as `put`."""
        ...

    async def watch(self, prefixes: tuple[str, ...], since: int, wait_s: float) -> Changes:
        """Waits for objects under the prefixes that changed after a revision.

        Args:
            prefixes: Beginnings of keys.
            since: Revision; 0 returns all objects at once.
            wait_s: Longest wait in seconds.

        Raises:
            PlatformUnavailableError: The platform did not answer.
        """
        ...
