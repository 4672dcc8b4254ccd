"""The administration API for operators, over HTTP with JSON, and the metrics page."""

from __future__ import annotations

import asyncio
import hmac
from collections.abc import Awaitable, Callable
from dataclasses import fields, replace
from typing import Any

from aiohttp import web

from ..interfaces import Catalogue, Metrics, Platform, StatusReports
from ..kernel import Event, Level, RefusalError, Registry
from ..kernel.errors import (
    EntryConflictError,
    FescuewardError,
    InvalidAdministrationRequestError,
    InvalidEntryError,
    MalformedMessageError,
    NotAuthorizedError,
    ObjectNotFoundError,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailableError,
    UnknownPathError,
    UnknownServiceError,
)
from ..kernel.settings import Settings
from ..messages import Entry, VersionedEntry
from ..messages.codec import decode_json, encode_json, from_json
from ..messages.group import entry_object_key
from ..messages.status import (
    DeletedAnswer,
    EntryAnswer,
    EntryDocument,
    EntryList,
    ErrorAnswer,
    ErrorDetail,
)

_REFUSED = Event(3801, "administration_refused", Level.INFO, "An operator's request was refused.")
_FAILED = Event(
    3802,
    "administration_failed",
    Level.ERROR,
    "An operator's request failed with an unexpected exception.",
)
_MALFORMED = Event(
    3803, "administration_malformed", Level.INFO, "An operator sent malformed HTTP."
)

MAX_ENTRY_BYTES = 65_536
_MAX_KEY_CHARACTERS = 1024
_MAX_DETAIL_CHARACTERS = 200
# Requests in flight may finish within this time when the agent stops.
_SHUTDOWN_TIMEOUT_S = 5.0
_MAX_VERSION = (1 << 63) - 1

# HTTP status by error type; the first matching type applies.
_STATUSES: tuple[tuple[type[FescuewardError], int], ...] = (
    (NotAuthorizedError, 401),
    (UnknownServiceError, 404),
    (UnknownPathError, 404),
    (EntryConflictError, 409),
    (InvalidEntryError, 400),
    (InvalidAdministrationRequestError, 400),
    (MalformedMessageError, 400),
    (PlatformUnavailableError, 503),
    (OutcomeUnknownError, 504),
    (PlatformError, 502),
    (RefusalError, 503),
    (FescuewardError, 500),
)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class _Connection(web.RequestHandler):
    """An operator's connection, which responds to malformed HTTP with an error in JSON."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the response to a request that could not be parsed."""
        _MALFORMED.emit(status=status, error=repr(exc))
        text = " ".join((message or type(exc).__name__).split())[:_MAX_DETAIL_CHARACTERS]
        failure = InvalidAdministrationRequestError(f"malformed HTTP: {text}")
        response = _json_response(_error_answer(failure), status=status)
        response.force_close()
        return response


class _Server(web.Server):
    """Creates a `_Connection` for each accepted connection."""

    def __call__(self) -> web.RequestHandler:
        """Returns the aiohttp protocol of a new connection."""
        return _Connection(self, loop=asyncio.get_running_loop(), access_log=None)


class HttpAdministration:
    """The `administration` service; aiohttp runs one task for each connection of an operator."""

    name = "administration"
    requires = ("catalogue", "status", "metrics")

    def __init__(self) -> None:
        self._runners: tuple[web.BaseRunner, ...] = ()

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._catalogue = registry.find("catalogue", Catalogue)
        self._platform = registry.find("platform", Platform)
        self._status = registry.find("status", StatusReports)
        self._metrics = registry.find("metrics", Metrics)
        section = registry.find("settings", Settings).administration
        self._host, self._port = section.host, section.port
        self._token = section.token.encode()

    async def start(self) -> None:
        """Starts to listen for operators."""
        app = web.Application(client_max_size=MAX_ENTRY_BYTES, middlewares=[self._handle_errors])
        app.router.add_get("/v1/entries", self._list_entries)
        app.router.add_get("/v1/entries/{service}", self._get_entry)
        app.router.add_put("/v1/entries/{service}", self._put_entry)
        app.router.add_delete("/v1/entries/{service}", self._delete_entry)
        app.router.add_get("/v1/status", self._fleet_status)
        app.router.add_get("/v1/status/{service}", self._service_status)
        app.router.add_get("/v1/explain/{service}", self._explain)
        app.router.add_get("/v1/agent", self._agent_status)
        app.router.add_get("/metrics", self._metrics_page)
        app_runner = web.AppRunner(app, access_log=None)
        await app_runner.setup()
        assert app_runner.server is not None
        server = _Server(
            app_runner.server.request_handler, request_factory=app_runner.server.request_factory
        )
        listener = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_TIMEOUT_S)
        await listener.setup()
        self._runners = (listener, app_runner)
        await web.TCPSite(listener, self._host, self._port).start()

    async def stop(self) -> None:
        """Stops listening and lets the requests in flight finish within a timeout."""
        for runner in self._runners:
            await runner.cleanup()

    async def _list_entries(self, http: web.Request) -> web.Response:
        return _json_response(
            EntryList(tuple(_entry_answer(entry) for entry in self._catalogue.entries()))
        )

    async def _get_entry(self, http: web.Request) -> web.Response:
        entry = self._catalogue.entry(http.match_info["service"])
        return _json_response(_entry_answer(entry), headers={"ETag": f'"{entry.version}"'})

    async def _put_entry(self, http: web.Request) -> web.Response:
        self._authorize(http)
        service = http.match_info["service"]
        version = _if_match(http)
        try:
            document = from_json(await http.read(), EntryDocument)
        except MalformedMessageError as error:
            raise InvalidEntryError(str(error)) from error
        if document.service != service:
            raise InvalidEntryError(
                f"service is {document.service!r}; allowed: {service!r} as in the path"
            )
        if version == 0:
            version = self._tombstone_version(service)
        accepted = await self._catalogue.apply(_entry(document), version)
        return _json_response(_entry_answer(accepted), headers={"ETag": f'"{accepted.version}"'})

    async def _delete_entry(self, http: web.Request) -> web.Response:
        self._authorize(http)
        service = http.match_info["service"]
        deleted = await self._catalogue.delete(service, _if_match(http))
        return _json_response(DeletedAnswer(service, deleted.version))

    async def _fleet_status(self, http: web.Request) -> web.Response:
        return _json_response(await self._status.fleet())

    async def _service_status(self, http: web.Request) -> web.Response:
        return _json_response(await self._status.fleet(http.match_info["service"]))

    async def _explain(self, http: web.Request) -> web.Response:
        key = http.query.get("key", "")
        if not 1 <= len(key) <= _MAX_KEY_CHARACTERS:
            raise InvalidAdministrationRequestError(
                f"the parameter key has {len(key)} characters; allowed: 1 to {_MAX_KEY_CHARACTERS}"
            )
        return _json_response(await self._status.explain(http.match_info["service"], key))

    async def _agent_status(self, http: web.Request) -> web.Response:
        return _json_response(self._status.agent())

    async def _metrics_page(self, http: web.Request) -> web.Response:
        page = self._metrics.render()
        return web.Response(body=page.content, headers={"Content-Type": page.content_type})

    def _authorize(self, http: web.Request) -> None:
        authorization = http.headers.get("Authorization", "").encode("utf-8", "surrogateescape")
        if not hmac.compare_digest(authorization, b"Bearer " + self._token):
            raise NotAuthorizedError(
                "changes require the header Authorization: Bearer TOKEN with the administration "
                "token"
            )

    def _tombstone_version(self, service: str) -> int:
        # A deleted entry leaves a tombstone, which a new entry of the same name replaces.
        try:
            self._catalogue.entry(service)
        except UnknownServiceError:
            return self._catalogue.versions().get(service, 0)
        return 0

    async def _current_entry(self, service: str) -> VersionedEntry | None:
        """Returns the entry that the platform stores, or the cached one if it cannot be read."""
        try:
            stored = await self._platform.get(entry_object_key(service))
            current = VersionedEntry(stored.version, decode_json(stored.value, Entry))
        except ObjectNotFoundError:
            return None
        except (PlatformError, MalformedMessageError):
            try:
                return self._catalogue.entry(service)
            except UnknownServiceError:
                return None
        self._catalogue.observe(current)
        return None if current.entry.deleted else current

    @web.middleware
    async def _handle_errors(self, http: web.Request, handler: Handler) -> web.StreamResponse:
        """Converts every exception into a typed JSON error."""
        headers: dict[str, str] = {}
        try:
            return await handler(http)
        except FescuewardError as error:
            failure: FescuewardError = error
            status = next(status for kind, status in _STATUSES if isinstance(error, kind))
        except web.HTTPException as error:
            failure, status = _http_failure(http, error), error.status
            if isinstance(error, web.HTTPMethodNotAllowed):
                headers["Allow"] = ", ".join(sorted(error.allowed_methods))
        except (ConnectionError, web.RequestPayloadError) as error:
            failure = InvalidAdministrationRequestError(
                f"reading the body failed: {type(error).__name__}"
            )
            status = 400
        except Exception as error:  # an unexpected exception also gets a typed response
            _FAILED.emit(method=http.method, path=http.path, error=repr(error))
            failure, status = FescuewardError(f"internal error: {type(error).__name__}"), 500
        _REFUSED.emit(method=http.method, path=http.path, code=failure.code, message=failure)
        answer = _error_answer(failure)
        if isinstance(failure, EntryConflictError):
            current_entry = await self._current_entry(http.match_info["service"])
            version = max(
                failure.version, current_entry.version if current_entry is not None else 0
            )
            entry = _document(current_entry.entry) if current_entry is not None else None
            answer = ErrorAnswer(replace(answer.error, version=version, entry=entry))
        return _json_response(answer, status=status, headers=headers)


def _error_answer(failure: FescuewardError) -> ErrorAnswer:
    return ErrorAnswer(ErrorDetail(failure.code, failure.label, str(failure)))


def _http_failure(http: web.Request, error: web.HTTPException) -> FescuewardError:
    if isinstance(error, web.HTTPRequestEntityTooLarge):
        return InvalidAdministrationRequestError(f"the body exceeds {MAX_ENTRY_BYTES} bytes")
    if isinstance(error, web.HTTPMethodNotAllowed):
        allowed = ", ".join(sorted(error.allowed_methods))
        return UnknownPathError(
            f"{http.path} does not support method {http.method}; allowed: {allowed}"
        )
    return UnknownPathError(f"{http.path}: {error.reason}; docs/administration.md lists all paths")


def _if_match(http: web.Request) -> int:
    text = http.headers.get("If-Match")
    version_text = (text or "").strip().strip('"')
    if not (version_text.isascii() and version_text.isdecimal()) or len(version_text) > 19:
        shown = "missing" if text is None else repr(text[:80])
        raise InvalidAdministrationRequestError(
            f"the header If-Match is {shown}; allowed: the version on which the change is based, "
            "0 to create"
        )
    return min(int(version_text), _MAX_VERSION)


def _entry(document: EntryDocument) -> Entry:
    return Entry(**{item.name: getattr(document, item.name) for item in fields(document)})


def _document(entry: Entry) -> EntryDocument:
    return EntryDocument(
        **{item.name: getattr(entry, item.name) for item in fields(EntryDocument)}
    )


def _entry_answer(versioned_entry: VersionedEntry) -> EntryAnswer:
    return EntryAnswer(versioned_entry.version, _document(versioned_entry.entry))


def _json_response(
    value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    return web.Response(
        body=encode_json(value), status=status, headers=headers, content_type="application/json"
    )
