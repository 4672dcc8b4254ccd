"""Client of the administration API."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar
from urllib.parse import quote

import aiohttp

from ..kernel import FescuewardError
from ..kernel.errors import (
    AdministrationAnswerError,
    AdministrationAnswerLostError,
    AdministrationUnavailableError,
    MalformedMessageError,
    PlatformUnavailableError,
)
from ..kernel.http_client import bounded_session
from ..messages.codec import decode_json, encode_json
from ..messages.status import (
    DeletedAnswer,
    EntryAnswer,
    EntryDocument,
    EntryList,
    ErrorAnswer,
    ErrorDetail,
    Explanation,
    FleetStatus,
)

T = TypeVar("T")

_CONNECT_TIMEOUT_S = 1.0
# A status request waits up to 1 s for agents that do not respond. A change waits for two calls to
# the platform, and for up to three more that read back a write whose response was lost.
_CALL_TIMEOUT_S = 10.0
# Limit on one response. The status of 4,600 agents takes a few MB.
_MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class AnsweredError(FescuewardError):
    """An agent returned an error response.

    Attributes:
        detail: The error in the response.
    """

    def __init__(self, detail: ErrorDetail) -> None:
        super().__init__(detail.message)
        self.detail = detail


class AdministrationClient:
    """Calls the administration API of several agents in turn until one responds.

    Args:
        urls: Base URLs of administration APIs.
        token: Administration token, needed for changes; or empty.
    """

    def __init__(self, urls: tuple[str, ...], token: str = "") -> None:
        self._urls = urls
        self._token = token

    def entries(self) -> EntryList:
        """Returns all entries; raises the errors of `entry`."""
        return self._get("/v1/entries", EntryList)

    def entry(self, service: str) -> EntryAnswer:
        """Returns one entry.

        Raises:
            AnsweredError: The service has no entry.
            AdministrationUnavailableError: No agent responded.
        """
        return self._get(f"/v1/entries/{quote(service, safe='')}", EntryAnswer)

    def apply(self, document: EntryDocument, version: int) -> EntryAnswer:
        """Writes an entry.

        Args:
            document: The entry.
            version: Version on which the change is based; 0 creates the entry.

        Raises:
            AnsweredError: The change was refused.
            AdministrationAnswerLostError: No response; the change may have been accepted.
            AdministrationUnavailableError: No agent could be reached; nothing was changed.
        """
        path = f"/v1/entries/{quote(document.service, safe='')}"
        return self._run(self._change("PUT", path, version, encode_json(document), EntryAnswer))

    def delete(self, service: str, version: int) -> DeletedAnswer:
        """Deletes an entry; raises the errors of `apply`."""
        path = f"/v1/entries/{quote(service, safe='')}"
        return self._run(self._change("DELETE", path, version, None, DeletedAnswer))

    def status(self, service: str | None) -> FleetStatus:
        """Returns the status of one service, or of all services for None."""
        path = "/v1/status" if service is None else f"/v1/status/{quote(service, safe='')}"
        return self._get(path, FleetStatus)

    def explain(self, service: str, key: str) -> Explanation:
        """Returns which member owns a key, and why."""
        path = f"/v1/explain/{quote(service, safe='')}?key={quote(key, safe='')}"
        return self._get(path, Explanation)

    def _get(self, path: str, answer_type: type[T]) -> T:
        return self._run(self._read(path, answer_type))

    def _run(self, call: Coroutine[Any, Any, T]) -> T:
        return asyncio.run(call)

    async def _read(self, path: str, answer_type: type[T]) -> T:
        failures = []
        async with self._session() as session:
            for url in self._urls:
                try:
                    async with session.get(url + path) as response:
                        return _decode(url, response.status, await response.read(), answer_type)
                except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
                    failures.append(f"{url}: {_error_text(error)}")
        raise AdministrationUnavailableError("; ".join(failures))

    async def _change(
        self, method: str, path: str, version: int, data: bytes | None, answer_type: type[T]
    ) -> T:
        headers = {"If-Match": str(version), "Authorization": f"Bearer {self._token}"}
        failures = []
        refusal: AnsweredError | None = None
        async with self._session() as session:
            for url in self._urls:
                try:
                    async with session.request(
                        method, url + path, data=data, headers=headers
                    ) as response:
                        return _decode(url, response.status, await response.read(), answer_type)
                except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
                    failures.append(f"{url}: {_error_text(error)}")
                except AnsweredError as error:
                    # Nothing was changed, and another agent may be able to reach the platform.
                    if error.detail.code != PlatformUnavailableError.code:
                        raise
                    refusal = error
                except (aiohttp.ClientError, TimeoutError, OSError) as error:
                    # If the change was accepted, a retry would report a conflict with it.
                    raise AdministrationAnswerLostError(
                        f"{url}: {_error_text(error)}; the change may have been accepted"
                    ) from error
        raise refusal or AdministrationUnavailableError("; ".join(failures))

    def _session(self) -> aiohttp.ClientSession:
        timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S, connect=_CONNECT_TIMEOUT_S)
        return bounded_session(
            _MAX_RESPONSE_BYTES, timeout=timeout, skip_auto_headers=("Accept-Encoding",)
        )


def _decode(url: str, status: int, data: bytes, answer_type: type[T]) -> T:
    try:
        if status == 200:
            return decode_json(data, answer_type)
        error_answer = decode_json(data, ErrorAnswer)
    except MalformedMessageError as error:
        raise AdministrationAnswerError(f"{url}: HTTP status {status}: {error}") from error
    raise AnsweredError(error_answer.error)


def _error_text(error: BaseException) -> str:
    return "timeout" if isinstance(error, TimeoutError) else str(error) or type(error).__name__
