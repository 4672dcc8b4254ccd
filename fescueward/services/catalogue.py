"""The catalogue: cached entries of all services, and conditional edits of entries."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import replace

from ..interfaces import Platform
from ..kernel import Event, Level, Registry
from ..kernel.errors import (
    EntryConflictError,
    InvalidEntryError,
    ObjectNotFoundError,
    OutcomeUnknownError,
    PlatformError,
    UnknownServiceError,
    VersionConflictError,
)
from ..messages import Entry, VersionedEntry
from ..messages.codec import decode_json, encode_json
from ..messages.group import entry_object_key
from ..messages.peer import version_digest

_APPLIED = Event(
    2101, "entry_applied", Level.INFO, "A newer version of an entry was cached and is in effect."
)
_ACCEPTED = Event(2102, "entry_accepted", Level.INFO, "An edit of an entry was accepted.")
_CONFLICT = Event(
    2103,
    "entry_conflict",
    Level.WARNING,
    "An edit was rejected: its expected version is not the current one.",
)

_READ_BACK_ATTEMPTS = 3


class EntryCatalogue:
    """The `catalogue` service.

    An edit is accepted when its conditional write is confirmed. If the response is lost, the entry
    is read back and recognised by its operation id. Cached versions only increase, so an accepted
    change is never reverted.
    """

    name = "catalogue"
    requires = ("platform",)

    def __init__(self) -> None:
        self._entries: dict[str, VersionedEntry] = {}
        self._digest: int | None = None
        self._loaded = asyncio.Event()

    @property
    def digest(self) -> int:
        """Hash of all entry versions, equal on agents with the same versions."""
        if self._digest is None:
            self._digest = version_digest(self.versions())
        return self._digest

    def bind(self, registry: Registry) -> None:
        """Looks up the `platform` service."""
        self._platform = registry.find("platform", Platform)

    async def start(self) -> None:
        """Starts nothing: the platform watch of the `groups` service delivers the entries."""

    async def stop(self) -> None:
        """Stops nothing: the service has no tasks."""

    async def wait_until_loaded(self) -> None:
        """Waits until all entries have been read from the platform once."""
        await self._loaded.wait()

    def mark_loaded(self) -> None:
        """Marks the entries as read, which ends `wait_until_loaded`."""
        self._loaded.set()

    def entry(self, service: str) -> VersionedEntry:
        """Returns the cached entry of a service; see `Catalogue.entry`."""
        cached = self._entries.get(service)
        if cached is None or cached.entry.deleted:
            raise UnknownServiceError(f"no catalogue entry has the service name {service!r}")
        return cached

    def entries(self) -> tuple[VersionedEntry, ...]:
        """Returns the cached entries that are not deleted, sorted by service name."""
        return tuple(
            self._entries[name]
            for name in sorted(self._entries)
            if not self._entries[name].entry.deleted
        )

    def versions(self) -> dict[str, int]:
        """Returns the cached versions by service name, including those of tombstones."""
        return {name: cached.version for name, cached in self._entries.items()}

    def newer_than(self, versions: dict[str, int]) -> tuple[VersionedEntry, ...]:
        """Returns the entries that are newer than in `versions` or missing from it."""
        return tuple(
            cached
            for name, cached in self._entries.items()
            if cached.version > versions.get(name, 0)
        )

    def observe(self, entry: VersionedEntry) -> bool:
        """Caches an entry if it is newer than the cached one; returns whether it was."""
        cached = self._entries.get(entry.entry.service)
        if cached is not None and cached.version >= entry.version:
            return False
        self._entries[entry.entry.service] = entry
        self._digest = None
        _APPLIED.emit(service=entry.entry.service, version=entry.version)
        return True

    async def apply(self, entry: Entry, expected_version: int) -> VersionedEntry:
        """Writes an entry with a condition on its version; see `Catalogue.apply`."""
        entry = replace(entry, operation_id=uuid.uuid4().hex)
        stored = await self._read(entry.service)
        _check_immutable_fields(stored, entry)
        version = await self._write(entry, expected_version)
        accepted = VersionedEntry(version, entry)
        _ACCEPTED.emit(service=entry.service, version=version, owner=entry.owner)
        self.observe(accepted)
        return accepted

    async def delete(self, service: str, expected_version: int) -> VersionedEntry:
        """Replaces an entry with a tombstone; see `Catalogue.delete`."""
        stored = await self._read(service)
        if stored is None or stored.entry.deleted:
            raise UnknownServiceError(f"no catalogue entry has the service name {service!r}")
        return await self.apply(replace(stored.entry, deleted=True), expected_version)

    async def _read(self, service: str) -> VersionedEntry | None:
        try:
            stored = await self._platform.get(entry_object_key(service))
        except ObjectNotFoundError:
            return None
        return VersionedEntry(stored.version, decode_json(stored.value, Entry))

    async def _write(self, entry: Entry, expected_version: int) -> int:
        key = entry_object_key(entry.service)
        try:
            return await self._platform.put(key, encode_json(entry), expected_version)
        except VersionConflictError as error:
            _CONFLICT.emit(service=entry.service, expected=expected_version, version=error.version)
            raise EntryConflictError(
                f"entry {entry.service!r} is at version {error.version}, not {expected_version}",
                version=error.version,
            ) from error
        except OutcomeUnknownError as error:
            return await self._read_back(entry, expected_version, error)

    async def _read_back(
        self, entry: Entry, expected_version: int, outcome_unknown: OutcomeUnknownError
    ) -> int:
        for _ in range(_READ_BACK_ATTEMPTS):
            try:
                stored = await self._read(entry.service)
            except PlatformError:
                continue
            if stored is not None and stored.entry.operation_id == entry.operation_id:
                return stored.version
            if stored is not None and stored.version > expected_version:
                # Another edit was written. This edit was either overwritten or can no longer
                # succeed, so it must not be reported as accepted.
                raise EntryConflictError(
                    f"entry {entry.service!r} is at version {stored.version}, "
                    f"not {expected_version}",
                    version=stored.version,
                )
        raise outcome_unknown


def _check_immutable_fields(stored: VersionedEntry | None, entry: Entry) -> None:
    if stored is None:
        return
    for name in ("groups", "shard_count"):
        before, after = getattr(stored.entry, name), getattr(entry, name)
        if before != after:
            raise InvalidEntryError(
                f"{name} of entry {entry.service!r} is {before} and cannot be changed to {after}"
            )
