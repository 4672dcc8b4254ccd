"""Protocol of the platform's object API and its data classes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, runtime_checkable


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the platform.

    Attributes:
        key: Key of the object.
        version: Store revision of the last write of the object.
        value: JSON text; empty if the object is deleted.
        deleted: Whether the object was deleted at this version.
    """

    key: str
    version: int
    value: bytes
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Changes:
    """Result of a watch.

    Attributes:
        revision: Store revision up to which `objects` is complete.
        objects: Objects that changed after the requested revision.
    """

    revision: int
    objects: tuple[StoredObject, ...]


@runtime_checkable
class Platform(Protocol):
    """Store of versioned objects with conditional writes and watches. Every call has a timeout."""

    async def get(self, key: str) -> StoredObject:
        """Reads an object.

        Raises:
            ObjectNotFoundError: No object has this key.
            PlatformUnavailableError: The platform did not respond.
        """
        ...

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Writes an object if its version equals `expected_version`; 0 creates it.

        Returns:
            The new version.

        Raises:
            VersionConflictError: The object has another version.
            OutcomeUnknownError: The response was lost; the write may still take effect later.
            PlatformUnavailableError: The write had no effect and will have none.
        """
        ...

    async def delete(self, key: str, expected_version: int) -> int:
        """Deletes an object if its version equals `expected_version`; raises the errors of `put`.

        Returns:
            The version of the deletion.
        """
        ...

    async def watch(self, prefixes: tuple[str, ...], since: int, wait_s: float) -> Changes:
        """Waits for changes after a store revision to objects whose keys have one of the prefixes.

        Args:
            prefixes: Key prefixes.
            since: Store revision; 0 returns all objects at once.
            wait_s: Longest wait in seconds.

        Raises:
            PlatformUnavailableError: The platform did not respond.
        """
        ...
