"""Versioned objects of the platform stand-in, and the bodies that carry them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec

from ...kernel.errors import ObjectNotFoundError, VersionConflictError


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """State of an object as listings report it.

    Attributes:
        key: Key of the object.
        version: Revision of the store at its last write.
        value: The JSON value, null once deleted.
        deleted: Whether the last write was a deletion.
    """

    key: str
    version: int
    value: msgspec.Raw
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class ObjectEnvelope:
    """An object as `GET /objects/KEY` returns it.

    Attributes:
        key: Key of the object.
        version: Revision of the store at its last write.
        value: The JSON value.
    """

    key: str
    version: int
    value: msgspec.Raw


@dataclass(frozen=True, slots=True)
class WrittenVersion:
    """Body of the response to a write: the new version, or the present one on a conflict.

    Attributes:
        version: The version, 0 if the object does not exist.
    """

    version: int


@dataclass(frozen=True, slots=True)
class Listing:
    """Body of the response to a listing.

    Attributes:
        revision: Revision of the store, to be used as `since` of the next call.
        objects: Changed objects in the order of their versions.
    """

    revision: int
    objects: tuple[ObjectChange, ...]


class ObjectStore:
    """Versioned objects in memory. Every change is conditional."""

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
        """Number of watches that wait for a change."""
        return len(self._waiters)

    def get(self, key: str) -> ObjectChange:
        """Returns an object.

        Raises:
            ObjectNotFoundError: There is none.
        """
        found = self._objects.get(key)
        if found is None or found.deleted:
            raise ObjectNotFoundError(f"no object {key!r}")
        return found

    def put(self, key: str, value: bytes, if_version: int) -> int:
        """Writes an object.

        Args:
            key: Key of the object.
            value: JSON text.
            if_version: Present version, 0 if the object must not exist.

        Returns:
            The new version.

        Raises:
            VersionConflictError: The present version is another one.
        """
        return self._write(key, msgspec.Raw(value), if_version, deleted=False)

    def delete(self, key: str, if_version: int) -> int:
        """Deletes an object.

        Args:
            key: Key of the object.
            if_version: Present version.

        Returns:
            The version of the deletion.

        Raises:
            ObjectNotFoundError: There is no such object.
            VersionConflictError: The present version is another one.
        """
        self.get(key)
        return self._write(key, msgspec.Raw(b"null"), if_version, deleted=True)

    def changes(self, prefixes: tuple[str, ...], since: int) -> tuple[ObjectChange, ...]:
        """Returns the objects that changed after a revision, in the order of their versions.

        Args:
            prefixes: Prefixes of the keys that are wanted.
            since: Revision; at 0 all present objects are returned and deletions left out.
        """
        found = [
            item
            for item in self._objects.values()
            if item.version > since
            and item.key.startswith(prefixes)
            and not (since == 0 and item.deleted)
        ]
        return tuple(sorted(found, key=lambda item: item.version))

    async def wait(self, prefixes: tuple[str, ...], timeout_s: float) -> None:
        """Returns after the next write below one of the prefixes, `wake_all` or the timeout."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = prefixes
        try:
            await asyncio.wait((waiter,), timeout=timeout_s)
        finally:
            del self._waiters[waiter]

    def wake_all(self) -> None:
        """Ends all waits, so that watches see a changed mode."""
        self._wake(list(self._waiters))

    def _write(self, key: str, value: msgspec.Raw, if_version: int, *, deleted: bool) -> int:
        found = self._objects.get(key)
        present = 0 if found is None or found.deleted else found.version
        if if_version != present:
            raise VersionConflictError(f"{key!r} has version {present}", version=present)
        self._revision += 1
        self._objects[key] = ObjectChange(key, self._revision, value, deleted)
        self._wake([waiter for waiter, wanted in self._waiters.items() if key.startswith(wanted)])
        return self._revision

    @staticmethod
    def _wake(waiters: list[asyncio.Future[None]]) -> None:
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
