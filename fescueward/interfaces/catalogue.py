"""The catalogue as the services see it."""

from __future__ import annotations

from typing import Protocol, runtime_checkable

from ..messages import Entry, VersionedEntry


@runtime_checkable
class Catalogue(Protocol):
    """Entries of all services, by name, at the newest version seen."""

    @property
    def digest(self) -> int:
        """Hash of all entry versions, equal on agents that know the same ones."""
        ...

    async def wait_until_loaded(self) -> None:
        """Waits until the entries have been read once."""
        ...

    def entry(self, service: str) -> VersionedEntry:
        """Returns the entry of a service.

        Raises:
            UnknownServiceError: There is none, or it was deleted.
        """
        ...

    def entries(self) -> tuple[VersionedEntry, ...]:
        """Returns all entries that are not deleted, by name."""
        ...

    def versions(self) -> dict[str, int]:
        """Returns the version of every entry, tombstones included."""
        ...

    def newer_than(self, versions: dict[str, int]) -> tuple[VersionedEntry, ...]:
        """Returns the entries whose version is higher than the given one or not given."""
        ...

    def mark_loaded(self) -> None:
        """States that all entries of the platform have been read."""
        ...

    def observe(self, entry: VersionedEntry) -> bool:
        """Applies an entry if its version is higher than the one held; tells whether it was."""
        ...

    async def apply(self, entry: Entry, expected_version: int) -> VersionedEntry:
        """Writes an entry to the platform; it is accepted once this returns.

        Raises:
            EntryConflictError: The entry is at another version.
            InvalidEntryError: A value that cannot change was changed.
            OutcomeUnknownError: The response was lost and could not be read back.
            PlatformUnavailableError: Nothing was changed.
        """
        ...

    async def delete(self, service: str, expected_version: int) -> VersionedEntry:
        """Replaces an entry by a tombstone; raises as `apply`."""
        ...
