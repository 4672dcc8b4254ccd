"""Client of the platform's object API over HTTP."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Annotated, Any

import aiohttp
import msgspec
from cachetools import LRUCache

from ..interfaces import Changes, StoredObject
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
from ..messages.codec import DECODE_FAILURES, decode_json, decode_list

_UNREADABLE_ENVELOPE = Event(
    2003,
    "unreadable_object",
    Level.WARNING,
    "An object in a response of the platform cannot be read and was skipped.",
)

# The platform responds to a watch by the end of its wait; the slack allows for the round trip.
_WATCH_SLACK_S = 2.0
# A failed call indicates an outage for the wait of a watch plus this time: the slack above and the
# pause before the next watch.
_FAILURE_SLACK_S = _WATCH_SLACK_S + 3.0

_MAX_CONNECTIONS = 100
# Responses of the largest size that fit in memory at a time.
_LARGEST_RESPONSES = 2
_KEEPALIVE_S = 15.0
# Number of skipped objects that are remembered, so that each is logged once.
_MAX_LOGGED_OBJECTS = 1000
# Longest part of an unreadable object in a log line.
_MAX_LOGGED_BYTES = 200

# uvloop raises RuntimeError for a write to a connection that closed while the process was paused.
_CALL_FAILURES = (aiohttp.ClientError, TimeoutError, OSError, RuntimeError)


_Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _Envelope(msgspec.Struct, frozen=True):
    key: str
    version: _Revision
    value: msgspec.Raw = msgspec.Raw(b"null")
    deleted: bool = False


class _Listing(msgspec.Struct, frozen=True):
    revision: _Revision
    # Each an `_Envelope`, unless another program wrote it.
    objects: list[msgspec.Raw]


@dataclass(frozen=True, slots=True)
class _WriteResult:
    version: _Revision


class HttpPlatform:
    """The `platform` service.

    Reads and writes are bounded by the timeout of the settings, and a watch by its wait and a
    slack. A write without a response on an established connection raises `OutcomeUnknownError`.
    """

    name = "platform"
    requires: tuple[str, ...] = ()

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None
        self._logged_objects: LRUCache[int, None] = LRUCache(_MAX_LOGGED_OBJECTS)

    @property
    def era(self) -> int:
        """Always 0: this platform is never restored from an older copy."""
        return 0

    @property
    def available(self) -> bool:
        """Whether the last call got a response other than a server error."""
        return self._availability.available

    @property
    def unavailable_since(self) -> float | None:
        """Time since which calls fail, or None; see `PlatformAvailability.unavailable_since`."""
        return self._availability.unavailable_since

    def bind(self, registry: Registry) -> None:
        """Reads the URL, the timeouts and the response limit from the settings."""
        clock = registry.find("clock", Clock)
        section = registry.find("settings", Settings).platform
        self._url = section.url
        self._timeout_s = section.timeout_ms / 1000
        self._max_response_bytes = section.max_answer_bytes
        max_failure_age_s = section.watch_ms / 1000 + _FAILURE_SLACK_S
        self._availability = PlatformAvailability(clock, self._url, max_failure_age_s)

    async def start(self) -> None:
        """Opens the HTTP client session."""
        self._session = bounded_session(
            self._max_response_bytes,
            connections=_MAX_CONNECTIONS,
            keepalive_s=_KEEPALIVE_S,
            budget=ReceptionBudget(_LARGEST_RESPONSES * self._max_response_bytes),
            skip_auto_headers=("Accept-Encoding",),
        )

    async def stop(self) -> None:
        """Closes the HTTP client session and its connections."""
        if self._session is not None:
            await self._session.close()

    async def get(self, key: str) -> StoredObject:
        """Reads an object; see `Platform.get`."""
        status, data = await self._read(f"/objects/{key}", {}, self._timeout_s)
        if status == 404:
            raise ObjectNotFoundError(f"the platform has no object {key!r}")
        if status != 200:
            raise PlatformUnavailableError(f"reading {key!r}: HTTP status {status}")
        try:
            return _stored(_decode(data, _Envelope))
        except MalformedMessageError as error:
            raise PlatformAnswerError(f"malformed object {key!r}: {error}") from error

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Writes an object with a condition on its version; see `Platform.put`."""
        return await self._write("PUT", key, value, expected_version)

    async def delete(self, key: str, expected_version: int) -> int:
        """Deletes an object with a condition on its version; see `Platform.delete`."""
        return await self._write("DELETE", key, None, expected_version)

    async def watch(self, prefixes: tuple[str, ...], since: int, wait_s: float) -> Changes:
        """Waits for changes of objects under key prefixes; see `Platform.watch`."""
        query = {"prefix": list(prefixes), "since": str(since), "wait_ms": str(int(wait_s * 1000))}
        status, data = await self._read("/objects", query, wait_s + _WATCH_SLACK_S)
        if status != 200:
            raise PlatformUnavailableError(f"watching {prefixes}: HTTP status {status}")
        listing = _decode(data, _Listing)
        stored = (self._decode_or_skip(content) for content in listing.objects)
        return Changes(listing.revision, tuple(item for item in stored if item is not None))

    def _decode_or_skip(self, content: msgspec.Raw) -> StoredObject | None:
        try:
            return _stored(decode_json(bytes(content), _Envelope))
        except MalformedMessageError as error:
            text = bytes(content)
            if hash(text) not in self._logged_objects:
                self._logged_objects[hash(text)] = None
                _UNREADABLE_ENVELOPE.emit(error=error, content=repr(text[:_MAX_LOGGED_BYTES]))
            return None

    async def _read(self, path: str, query: dict[str, Any], timeout_s: float) -> tuple[int, bytes]:
        assert self._session is not None
        connecting = aiohttp.ClientTimeout(total=None, connect=self._timeout_s)
        try:
            async with (
                asyncio.timeout(timeout_s) as timeout,
                self._session.get(self._url + path, params=query, timeout=connecting) as response,
            ):
                data = await read_body(response, timeout, self._timeout_s)
        except _CALL_FAILURES as error:
            self._availability.record_call(False)
            raise PlatformUnavailableError(f"reading {path}: {_describe(error)}") from error
        self._availability.record_call(response.status < 500)
        return response.status, data

    async def _write(
        self, method: str, key: str, value: bytes | None, expected_version: int
    ) -> int:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        headers = {"If-Match": str(expected_version), "Content-Type": "application/json"}
        try:
            async with self._session.request(
                method, f"{self._url}/objects/{key}", data=value, headers=headers, timeout=timeout
            ) as response:
                data = await response.read()
        except aiohttp.ClientConnectorError as error:
            self._availability.record_call(False)
            raise PlatformUnavailableError(f"writing {key!r}: {_describe(error)}") from error
        except _CALL_FAILURES as error:
            self._availability.record_call(False)
            raise OutcomeUnknownError(f"writing {key!r}: {_describe(error)}") from error
        self._availability.record_call(response.status < 500)
        if response.status == 409:
            version = _decode(data, _WriteResult).version
            raise VersionConflictError(f"{key!r} is at version {version}", version=version)
        if response.status == 503:
            raise PlatformUnavailableError(f"writing {key!r}: HTTP status 503")
        if response.status >= 500:
            raise OutcomeUnknownError(f"writing {key!r}: HTTP status {response.status}")
        if response.status != 200:
            raise PlatformAnswerError(f"writing {key!r}: HTTP status {response.status}")
        return _decode(data, _WriteResult).version


def _stored(envelope: _Envelope) -> StoredObject:
    try:
        # Without the whitespace of its writer.
        value = b"" if envelope.deleted else msgspec.json.format(bytes(envelope.value), indent=-1)
    except DECODE_FAILURES as error:
        raise MalformedMessageError(f"bad value of {envelope.key!r}: {error}") from error
    return StoredObject(envelope.key, envelope.version, value, envelope.deleted)


def _decode(data: bytes, kind: type[Any]) -> Any:
    try:
        return decode_list(data, kind)
    except MalformedMessageError as error:
        raise PlatformAnswerError(f"malformed response of the platform: {error}") from error


def _describe(error: BaseException) -> str:
    if isinstance(error, asyncio.TimeoutError):
        return "timeout"
    return f"{type(error).__name__}: {error}"
