"""Protocol of the platform's object API and its data classes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, runtime_checkable


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the platform.

    Attributes:
        key: Key of the object.
        version: Era and store revision of the last write of the object; see `messages.era`.
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
        revision: Version of the store up to which `objects` is complete.
        objects: Objects that changed after the requested version.
        complete: Whether `objects` has all objects, changed or not.
    """

    revision: int
    objects: tuple[StoredObject, ...]
    complete: bool = False


@runtime_checkable
class Platform(Protocol):
    """Store of versioned objects with conditional writes and watches. Every call has a timeout.

    A store that is restored from an older copy begins a new era. Versions of a later era are
    higher; an object that was last written in an earlier era has a version of the present one.
    """

    @property
    def era(self) -> int:
        """Newest era of the store that is known, 0 if the store has none."""
        ...

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
            OutcomeUnknownError: The response was lost; the write may still take effect later. Or
                the store was restored since the expected version, so that the write may have
                met another object at that revision.
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
            since: Version of the store. 0, or a version of an earlier era, returns all objects
                at once.
            wait_s: Longest wait in seconds.

        Raises:
            PlatformUnavailableError: The platform did not respond.
        """
        ...
