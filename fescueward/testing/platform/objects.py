"""Versioned objects of the platform stand-in and the response bodies that contain them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec

from ...kernel.errors import ObjectNotFoundError, VersionConflictError


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """State of an object in a listing.

    Attributes:
        key: Key of the object.
        version: Revision of the store at its last write.
        value: JSON value of the object, null if it is deleted.
        deleted: Whether the last write was a deletion.
    """

    key: str
    version: int
    value: msgspec.Raw
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class ObjectEnvelope:
    """Body of the response to `GET /objects/KEY`.

    Attributes:
        key: Key of the object.
        version: Revision of the store at its last write.
        value: JSON value of the object.
    """

    key: str
    version: int
    value: msgspec.Raw


@dataclass(frozen=True, slots=True)
class WrittenVersion:
    """Body of the response to a write.

    Attributes:
        version: The new version or, on a conflict, the current version; 0 if the object does not
            exist.
    """

    version: int


@dataclass(frozen=True, slots=True)
class Listing:
    """Body of the response to a listing.

    Attributes:
        revision: Revision of the store, for `since` of the next call.
        objects: Changed objects in ascending order of version.
    """

    revision: int
    objects: tuple[ObjectChange, ...]


class ObjectStore:
    """In-memory store of versioned objects in which every write is conditional."""

    def __init__(self) -> None:
        self._objects: dict[str, ObjectChange] = {}
        self._revision = 0
        self._waiters: dict[asyncio.Future[None], tuple[str, ...]] = {}

    @property
    def revision(self) -> int:
        """Number of writes so far."""
        return self._revision

    @property
    def waiting(self) -> int:
        """Number of watches that are waiting for a change."""
        return len(self._waiters)

    def get(self, key: str) -> ObjectChange:
        """Returns an object.

        Raises:
            ObjectNotFoundError: The object does not exist.
        """
        stored = self._objects.get(key)
        if stored is None or stored.deleted:
            raise ObjectNotFoundError(f"no object {key!r}")
        return stored

    def put(self, key: str, value: bytes, if_version: int) -> int:
        """Writes an object.

        Args:
            key: Key of the object.
            value: Value of the object as JSON.
            if_version: Expected current version, 0 if the object must not exist.

        Returns:
            The new version.

        Raises:
            VersionConflictError: The current version differs from `if_version`.
        """
        return self._write(key, msgspec.Raw(value), if_version, deleted=False)

    def delete(self, key: str, if_version: int) -> int:
        """Deletes an object.

        Args:
            key: Key of the object.
            if_version: Expected current version.

        Returns:
            The version that the deletion created.

        Raises:
            ObjectNotFoundError: The object does not exist.
            VersionConflictError: The current version differs from `if_version`.
        """
        self.get(key)
        return self._write(key, msgspec.Raw(b"null"), if_version, deleted=True)

    def changes(self, prefixes: tuple[str, ...], since: int) -> tuple[ObjectChange, ...]:
        """Returns the objects that changed after a revision, in ascending order of version.

        Args:
            prefixes: Prefixes of the keys to return.
            since: Revision; 0 returns all existing objects and leaves out deleted ones.
        """
        changed = [
            item
            for item in self._objects.values()
            if item.version > since
            and item.key.startswith(prefixes)
            and not (since == 0 and item.deleted)
        ]
        return tuple(sorted(changed, key=lambda item: item.version))

    async def wait(self, prefixes: tuple[str, ...], timeout_s: float) -> None:
        """Waits for the next write to a key with one of the prefixes, `wake_all` or the timeout.

        Args:
            prefixes: Prefixes of the watched keys.
            timeout_s: Timeout in seconds.
        """
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = prefixes
        try:
            await asyncio.wait((waiter,), timeout=timeout_s)
        finally:
            del self._waiters[waiter]

    def wake_all(self) -> None:
        """Wakes all waiting watches, so that they apply the current faults."""
        self._wake(list(self._waiters))

    def _write(self, key: str, value: msgspec.Raw, if_version: int, *, deleted: bool) -> int:
        stored = self._objects.get(key)
        current = 0 if stored is None or stored.deleted else stored.version
        if if_version != current:
            raise VersionConflictError(f"{key!r} has version {current}", version=current)
        self._revision += 1
        self._objects[key] = ObjectChange(key, self._revision, value, deleted)
        self._wake(
            [waiter for waiter, prefixes in self._waiters.items() if key.startswith(prefixes)]
        )
        return self._revision

    @staticmethod
    def _wake(waiters: list[asyncio.Future[None]]) -> None:
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
