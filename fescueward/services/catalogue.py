"""The catalogue: entries at the newest version seen, and conditional edits."""

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

_APPLIED = Event(2101, "entry_applied", Level.INFO, "A newer version of an entry is in effect.")
_ACCEPTED = Event(2102, "entry_accepted", Level.INFO, "An edit of an entry was accepted.")
_CONFLICT = Event(
    2103, "entry_conflict", Level.WARNING, "An edit was made from a version that is not current."
)

_READ_BACK_ATTEMPTS = 3


class EntryCatalogue:
    """The `catalogue` service.

    An edit is accepted when its conditional write is confirmed, or read back by its operation id
    after a lost response. Versions only grow, so a change never reverts.
    """

    name = "catalogue"
    requires = ("platform",)

    def __init__(self) -> None:
        self._entries: dict[str, VersionedEntry] = {}
        self._digest: int | None = None
        self._loaded = asyncio.Event()

    @property
    def digest(self) -> int:
        """Hash of all entry versions."""
        if self._digest is None:
            self._digest = version_digest(self.versions())
        return self._digest

    def bind(self, registry: Registry) -> None:
        """Finds the platform."""
        self._platform = registry.find("platform", Platform)

    async def start(self) -> None:
        """Does nothing; entries arrive by the watch of `groups`."""

    async def stop(self) -> None:
        """Does nothing."""

    async def wait_until_loaded(self) -> None:
        """Waits until the entries have been read once."""
        await self._loaded.wait()

    def mark_loaded(self) -> None:
        """States that all entries of the platform have been read."""
        self._loaded.set()

    def entry(self, service: str) -> VersionedEntry:
        """Returns the entry of a service; see `Catalogue.entry`."""
        held = self._entries.get(service)
        if held is None or held.entry.deleted:
            raise UnknownServiceError(f"no catalogue entry has the service name {service!r}")
        return held

    def entries(self) -> tuple[VersionedEntry, ...]:
        """Returns all entries that are not deleted, by name."""
        return tuple(
            self._entries[name]
            for name in sorted(self._entries)
            if not self._entries[name].entry.deleted
        )

    def versions(self) -> dict[str, int]:
        """Returns the version of every entry, tombstones included."""
        return {name: held.version for name, held in self._entries.items()}

    def newer_than(self, versions: dict[str, int]) -> tuple[VersionedEntry, ...]:
        """Returns the entries whose version is higher than the given one."""
        return tuple(
            held for name, held in self._entries.items() if held.version > versions.get(name, 0)
        )

    def observe(self, entry: VersionedEntry) -> bool:
        """Applies an entry if its version is higher than the one held."""
        held = self._entries.get(entry.entry.service)
        if held is not None and held.version >= entry.version:
            return False
        self._entries[entry.entry.service] = entry
        self._digest = None
        _APPLIED.emit(service=entry.entry.service, version=entry.version)
        return True

    async def apply(self, entry: Entry, expected_version: int) -> VersionedEntry:
        """Writes an entry; see `Catalogue.apply`."""
        entry = replace(entry, operation_id=uuid.uuid4().hex)
        held = await self._read(entry.service)
        _check_fixed_values(held, entry)
        version = await self._write(entry, expected_version)
        accepted = VersionedEntry(version, entry)
        _ACCEPTED.emit(service=entry.service, version=version, owner=entry.owner)
        self.observe(accepted)
        return accepted

    async def delete(self, service: str, expected_version: int) -> VersionedEntry:
        """Replaces an entry by a tombstone; see `Catalogue.delete`."""
        held = await self._read(service)
        if held is None or held.entry.deleted:
            raise UnknownServiceError(f"no catalogue entry has the service name {service!r}")
        return await self.apply(replace(held.entry, deleted=True), expected_version)

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

    async def _read_back(self, entry: Entry, expected: int, lost: OutcomeUnknownError) -> int:
        for _ in range(_READ_BACK_ATTEMPTS):
            try:
                stored = await self._read(entry.service)
            except PlatformError:
                continue
            if stored is not None and stored.entry.operation_id == entry.operation_id:
                return stored.version
            if stored is not None and stored.version > expected:
                # Another edit is in place. Ours either came before it or can no longer succeed,
                # so it must not be reported as accepted.
                raise EntryConflictError(
                    f"entry {entry.service!r} is at version {stored.version}, not {expected}",
                    version=stored.version,
                )
        raise lost


def _check_fixed_values(held: VersionedEntry | None, entry: Entry) -> None:
    if held is None:
        return
    for name in ("groups", "shard_count"):
        before, after = getattr(held.entry, name), getattr(entry, name)
        if before != after:
            raise InvalidEntryError(
                f"{name} of entry {entry.service!r} is {before} and cannot become {after}"
            )
