"""Protocol of the catalogue."""

from __future__ import annotations

from typing import Protocol, runtime_checkable

from ..messages import Entry, VersionedEntry


@runtime_checkable
class Catalogue(Protocol):
    """Newest known version of the entry of each service."""

    @property
    def digest(self) -> int:
        """Hash of the versions of all entries; agents with equal versions have equal digests."""
        ...

    async def wait_until_loaded(self) -> None:
        """Waits until all entries have been read from the platform once."""
        ...

    def entry(self, service: str) -> VersionedEntry:
        """Returns the entry of a service.

        Raises:
            UnknownServiceError: The service has no entry, or its entry is deleted.
        """
        ...

    def entries(self) -> tuple[VersionedEntry, ...]:
        """Returns all entries that are not deleted, in the order of service names."""
        ...

    def versions(self) -> dict[str, int]:
        """Returns the version of every entry by service name, tombstones included."""
        ...

    def newer_than(self, versions: dict[str, int]) -> tuple[VersionedEntry, ...]:
        """Returns the entries that `versions` lacks or lists at a lower version."""
        ...

    def mark_loaded(self) -> None:
        """Records that all entries have been read from the platform."""
        ...

    def observe(self, entry: VersionedEntry) -> bool:
        """Applies an entry if it is newer than the cached one; returns whether it was applied."""
        ...

    async def apply(self, entry: Entry, expected_version: int) -> VersionedEntry:
        """Writes an entry to the platform; it is accepted once this returns.

        Raises:
            EntryConflictError: The entry is at another version.
            InvalidEntryError: The entry changes a value that cannot change once set.
            OutcomeUnknownError: The response was lost and the result could not be read back.
            PlatformUnavailableError: The write had no effect.
        """
        ...

    async def delete(self, service: str, expected_version: int) -> VersionedEntry:
        """Replaces an entry with a tombstone; raises the errors of `apply`."""
        ...
