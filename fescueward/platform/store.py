"""Client of the platform's object store, as the `platform` service."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Annotated, Any
from urllib.parse import quote

import aiohttp
import msgspec
from cachetools import LRUCache

from ..interfaces.platform import Changes, StoredObject
from ..kernel import Clock, Event, Level, Registry
from ..kernel.availability import PlatformAvailability
from ..kernel.errors import (
    MalformedMessageError,
    ObjectNotFoundError,
    OutcomeUnknownError,
    PlatformAnswerError,
    PlatformUnavailableError,
    VersionConflictError,
)
from ..kernel.http_client import ReceptionBudget, bounded_session, read_body
from ..kernel.settings import Settings
from ..messages.codec import decode_json, decode_list, encode_json
from ..messages.configuration import CONFIGURATION_KEY
from ..messages.era import MAX_ERA, MAX_REVISION, era_of, revision_of, to_version
from ..messages.evacuations import EVACUATIONS_PREFIX
from .configuration import decode_configuration
from .names import OBJECTS_PATH, STORE_ERA

_BAD_CONFIGURATION = Event(
    2210, "bad_configuration", Level.ERROR, "A stored configuration is malformed and was skipped."
)
_UNREADABLE_ENTRY = Event(
    2211,
    "unreadable_entry",
    Level.WARNING,
    "An entry in a response of the store cannot be read and was skipped.",
)
_BAD_EVACUATION = Event(
    2212,
    "bad_evacuation",
    Level.WARNING,
    "A request to evacuate a failure domain is malformed and was skipped.",
)

_CONFIGURATION_KIND = "config"
_CONFIGURATION_NAME = "main"
_GROUPS_PREFIX = "groups/"
_GROUPS_KIND = "fescueward-groups"
_EVACUATIONS_KIND = "evacuations"
# The response to a watch must arrive within its wait and this time.
_WATCH_SLACK_S = 0.5
# Delay before the next watch call after a failed one.
_WATCH_RETRY_DELAY_S = 0.5
# uvloop raises RuntimeError for a write to a connection that ended while the process was paused.
_CALL_FAILURES = (aiohttp.ClientError, OSError, RuntimeError)
# Idle connections are closed after this time.
_KEEPALIVE_TIMEOUT_S = 30.0
# Responses of the largest size that fit in memory at a time.
_LARGEST_RESPONSES = 2
# Statuses of calls that the store refused, so that they had no effect.
_REFUSED_STATUSES = frozenset({429, 503})
# Number of skipped entries that are remembered, so that each is logged once.
_MAX_LOGGED_ENTRIES = 1000
# Longest part of an unreadable entry in a log line.
_MAX_LOGGED_BYTES = 200

_Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


@dataclass(frozen=True, slots=True)
class Response:
    """Response of the store, with the era in which it was given."""

    status: int
    body: bytes
    era: int


class _Metadata(msgspec.Struct):
    name: str
    revision: _Revision
    deleting: bool = False


class _StoreObject(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Name(msgspec.Struct):
    name: str


class _NamedEntry(msgspec.Struct):
    metadata: _Name


class _List(msgspec.Struct, rename="camel"):
    # Revision of the whole store, not of one object.
    current_rev: _Revision
    # Each a `_StoreObject`, unless another program wrote it.
    items: list[msgspec.Raw] = []
    has_more: bool = False


class _ChangedObject(msgspec.Struct):
    object: _StoreObject
    deleted: bool = False


class _Events(msgspec.Struct, rename="camel"):
    # Revision of the whole store, from which the next watch continues.
    current_rev: _Revision
    # Each a `_ChangedObject`, unless another program wrote it.
    events: list[msgspec.Raw] = []


class ObjectStore:
    """The `platform` service, which keeps its objects in the platform's object store."""

    name = "platform"
    requires: tuple[str, ...] = ()

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None
        self._logged_entries: LRUCache[object, None] = LRUCache(_MAX_LOGGED_ENTRIES)
        self._era = 0

    @property
    def era(self) -> int:
        """Newest era of the store that is known; see `Platform.era`."""
        return self._era

    @property
    def unavailable_since(self) -> float | None:
        """Start of the present outage, or None; see `PlatformAvailability.unavailable_since`."""
        return self._availability.unavailable_since

    def bind(self, registry: Registry) -> None:
        """Reads the address, timeouts and limits from the settings."""
        section = registry.find("settings", Settings).platform
        self._url = section.url + OBJECTS_PATH
        self._timeout_s = section.timeout_ms / 1000
        self._max_answer_bytes = section.max_answer_bytes
        max_call_s = section.watch_ms / 1000 + _WATCH_SLACK_S + _WATCH_RETRY_DELAY_S
        clock = registry.find("clock", Clock)
        self._availability = PlatformAvailability(clock, self._url, max_call_s)

    async def start(self) -> None:
        """Opens the HTTP session."""
        self._session = bounded_session(
            self._max_answer_bytes,
            keepalive_s=_KEEPALIVE_TIMEOUT_S,
            budget=ReceptionBudget(_LARGEST_RESPONSES * self._max_answer_bytes),
            trust_env=False,
        )

    async def stop(self) -> None:
        """Closes the HTTP session."""
        if self._session is not None:
            await self._session.close()

    async def get(self, key: str) -> StoredObject:
        """Reads an object; see `Platform.get`."""
        kind, name = _object_path(key)
        response = await self._read(f"{self._url}/{kind}/{name}", self._timeout_s)
        if response.status == 404:
            raise ObjectNotFoundError(f"{key!r} does not exist")
        item = _decode(response.body, _StoreObject)
        return _in_era(response.era, _to_stored_object(kind, item))

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Writes an object if its version is the expected one; see `Platform.put`."""
        kind, name = _object_path(key)
        self._check_era(key, expected_version)
        metadata: dict[str, Any] = {"name": name}
        if expected_version:
            metadata["revision"] = revision_of(expected_version)
        body = msgspec.json.encode({"metadata": metadata, "spec": msgspec.Raw(value)})
        if expected_version:
            response = await self._write("PUT", f"{self._url}/{kind}/{name}", body)
        else:
            response = await self._write("POST", f"{self._url}/{kind}", body)
        if response.status in (404, 409):
            raise _version_conflict(key, expected_version, response)
        _check_era_of_write(key, expected_version, response.era)
        return to_version(response.era, _decode(response.body, _StoreObject).metadata.revision)

    async def delete(self, key: str, expected_version: int) -> int:
        """Deletes an object if its version is the expected one; see `Platform.delete`."""
        kind, name = _object_path(key)
        self._check_era(key, expected_version)
        url = f"{self._url}/{kind}/{name}?revision={revision_of(expected_version)}"
        response = await self._write("DELETE", url, b"")
        if response.status in (404, 409):
            raise _version_conflict(key, expected_version, response)
        _check_era_of_write(key, expected_version, response.era)
        return expected_version

    async def watch(self, prefixes: tuple[str, ...], since: int, wait_s: float) -> Changes:
        """Waits for changes of objects under one prefix; see `Platform.watch`."""
        kind = _kind(prefixes[0])
        if era_of(since) < self._era or not since:
            return await self._list(kind)
        url = f"{self._url}/{kind}?watch={revision_of(since)}&waitMs={int(wait_s * 1000)}"
        response = await self._read(url, wait_s + _WATCH_SLACK_S)
        if response.status == 410 or response.era != era_of(since):
            return await self._list(kind)
        events = _decode(response.body, _Events)
        changed = self._decode_entries(kind, events.events, _ChangedObject)
        objects = (self._decode_or_skip(kind, event.object, event.deleted) for event in changed)
        changes = Changes(
            events.current_rev, tuple(stored for stored in objects if stored is not None)
        )
        return _changes_in_era(response.era, changes)

    async def _list(self, kind: str) -> Changes:
        items: list[_StoreObject] = []
        after = ""
        era: int | None = None
        while True:
            url = f"{self._url}/{kind}" + (f"?after={quote(after, safe='')}" if after else "")
            response = await self._read(url, self._timeout_s)
            if era is not None and response.era != era:
                raise PlatformUnavailableError(
                    "the store was restored between two pages of a list"
                )
            era = response.era
            page = _decode(response.body, _List)
            items += self._decode_entries(kind, page.items, _StoreObject)
            last_name = _last_name(page.items)
            # After a page without a readable name, the next page would be the same.
            if not page.has_more or last_name in ("", after):
                break
            after = last_name
        objects = (self._decode_or_skip(kind, item, False) for item in items)
        listed = tuple(stored for stored in objects if stored is not None)
        return _changes_in_era(era, Changes(page.current_rev, listed, complete=True))

    def _decode_entries(
        self, kind: str, entries: Sequence[msgspec.Raw], entry_type: Any
    ) -> list[Any]:
        decoded: list[Any] = []
        for entry in entries:
            try:
                decoded.append(decode_json(bytes(entry), entry_type))
            except MalformedMessageError as error:
                content = bytes(entry)
                if self._is_first_report((kind, hash(content))):
                    _UNREADABLE_ENTRY.emit(
                        kind=kind, error=error, entry=repr(content[:_MAX_LOGGED_BYTES])
                    )
        return decoded

    def _decode_or_skip(self, kind: str, item: _StoreObject, deleted: bool) -> StoredObject | None:
        name, revision = item.metadata.name, item.metadata.revision
        if kind == _CONFIGURATION_KIND and name != _CONFIGURATION_NAME:
            return None
        try:
            return _to_stored_object(kind, item, deleted)
        except MalformedMessageError as error:
            if self._is_first_report((kind, name, revision)):
                event = _BAD_EVACUATION if kind == _EVACUATIONS_KIND else _BAD_CONFIGURATION
                event.emit(
                    kind=kind, object=name[:_MAX_LOGGED_BYTES], revision=revision, error=error
                )
            return None

    def _is_first_report(self, entry: object) -> bool:
        if entry in self._logged_entries:
            return False
        self._logged_entries[entry] = None
        return True

    def _check_era(self, key: str, expected_version: int) -> None:
        """Refuses a write whose expected version the store has lost.

        The store may have given out its revision again.

        Raises:
            VersionConflictError: The expected version is of an earlier era.
        """
        era = era_of(expected_version)
        if expected_version and era < self._era:
            raise VersionConflictError(
                f"version {expected_version} of {key!r} is of an earlier era", version=0
            )
        # Another agent may have told this one of the era.
        self._era = max(self._era, era)

    async def _read(self, url: str, timeout_s: float) -> Response:
        try:
            response = await self._request("GET", url, b"", timeout_s)
        except _CALL_FAILURES as error:
            raise PlatformUnavailableError(f"no response: {type(error).__name__}") from error
        if response.status not in (200, 404, 410):
            raise PlatformUnavailableError(f"the store responded with status {response.status}")
        if response.era < self._era:
            raise PlatformUnavailableError(f"the response is of the old era {response.era}")
        return response

    async def _write(self, method: str, url: str, body: bytes) -> Response:
        try:
            response = await self._request(method, url, body, self._timeout_s)
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnavailableError(f"no connection to the store: {error}") from error
        except _CALL_FAILURES as error:
            raise OutcomeUnknownError(f"no response: {type(error).__name__}") from error
        if response.status in _REFUSED_STATUSES:
            raise PlatformUnavailableError(f"the store responded with status {response.status}")
        if response.status not in (200, 201, 404, 409):
            raise PlatformAnswerError(
                f"the store responded with status {response.status}: {response.body[:200]!r}"
            )
        return response

    async def _request(self, method: str, url: str, body: bytes, timeout_s: float) -> Response:
        assert self._session is not None
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            async with (
                asyncio.timeout(timeout_s) as timeout,
                self._session.request(method, url, data=body or None, headers=headers) as response,
            ):
                content = await read_body(response, timeout, self._timeout_s)
        except _CALL_FAILURES:
            self._availability.record_call(False)
            raise
        self._availability.record_call(
            response.status < 500 and response.status not in _REFUSED_STATUSES
        )
        era = _decode_era(response.headers.get(STORE_ERA, ""), self._era)
        self._era = max(self._era, era)
        return Response(response.status, content, era)


def _decode_era(text: str, known_era: int) -> int:
    """Returns the era that a response names, or the known one if it names none."""
    if not (text.isascii() and text.isdecimal() and len(text) <= len(str(MAX_ERA))):
        return known_era
    return min(int(text), MAX_ERA)


def _in_era(era: int, stored: StoredObject) -> StoredObject:
    return replace(stored, version=to_version(era, stored.version))


def _changes_in_era(era: int, changes: Changes) -> Changes:
    objects = tuple(_in_era(era, stored) for stored in changes.objects)
    return replace(changes, revision=to_version(era, changes.revision), objects=objects)


def _check_era_of_write(key: str, expected_version: int, era: int) -> None:
    """Checks that the store was not restored between the expected version and the write.

    Raises:
        OutcomeUnknownError: It was, so the write may have replaced another object.
    """
    if expected_version and era != era_of(expected_version):
        raise OutcomeUnknownError(f"{key!r} was written in era {era}, not at {expected_version}")


def _object_path(key: str) -> tuple[str, str]:
    if key == CONFIGURATION_KEY:
        return _CONFIGURATION_KIND, _CONFIGURATION_NAME
    if key.startswith(EVACUATIONS_PREFIX):
        return _EVACUATIONS_KIND, quote(key.removeprefix(EVACUATIONS_PREFIX), safe="")
    service, _, number = key.removeprefix(_GROUPS_PREFIX).rpartition("/")
    return _GROUPS_KIND, f"{service}.{number}"


def _kind(prefix: str) -> str:
    kinds = {CONFIGURATION_KEY: _CONFIGURATION_KIND, EVACUATIONS_PREFIX: _EVACUATIONS_KIND}
    return kinds.get(prefix, _GROUPS_KIND)


def _key(kind: str, name: str) -> str:
    if kind == _CONFIGURATION_KIND:
        return CONFIGURATION_KEY
    if kind == _EVACUATIONS_KIND:
        return EVACUATIONS_PREFIX + name
    service, _, number = name.rpartition(".")
    return f"{_GROUPS_PREFIX}{service}/{number}"


def _to_stored_object(kind: str, item: _StoreObject, deleted: bool = False) -> StoredObject:
    value = bytes(item.spec)
    if kind == _CONFIGURATION_KIND and not deleted:
        value = encode_json(decode_configuration(value))
    elif kind == _EVACUATIONS_KIND and not deleted and not value.lstrip().startswith(b"{"):
        raise MalformedMessageError(f"its specification is {value[:_MAX_LOGGED_BYTES]!r}")
    name = item.metadata.name
    return StoredObject(_key(kind, name), item.metadata.revision, value, deleted)


def _last_name(items: Sequence[msgspec.Raw]) -> str:
    """Returns the name of the last item that has a readable one, or an empty string."""
    for item in reversed(items):
        with suppress(MalformedMessageError):
            if name := decode_json(bytes(item), _NamedEntry).metadata.name:
                return name
    return ""


def _version_conflict(key: str, expected_version: int, response: Response) -> VersionConflictError:
    """Returns the error of a refused write, with the current object if the store returned it."""
    message = f"{key!r} is not at version {expected_version}"
    if response.status == 404:
        return VersionConflictError(message, version=0)
    try:
        current = decode_list(response.body, _StoreObject)
    except MalformedMessageError:
        return VersionConflictError(message, version=0)
    return VersionConflictError(
        message,
        version=to_version(response.era, current.metadata.revision),
        value=bytes(current.spec),
    )


def _decode(body: bytes, kind: Any) -> Any:
    try:
        return decode_list(body, kind)
    except MalformedMessageError as error:
        raise PlatformAnswerError(f"the store's response is malformed: {error}") from error
