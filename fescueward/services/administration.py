"""The administration API: HTTP and JSON for operators, and the metrics page."""

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

_REFUSED = Event(3801, "administration_refused", Level.INFO, "An operator's call was refused.")
_FAILED = Event(3802, "administration_failed", Level.ERROR, "An operator's call failed here.")
_MALFORMED = Event(
    3803, "administration_malformed", Level.INFO, "An operator sent bytes that are no HTTP."
)

MAX_ENTRY_BYTES = 65_536
_MAX_KEY_CHARACTERS = 1024
_SHOWN_CHARACTERS = 200
# Longest time that open calls get when the agent stops.
_SHUTDOWN_S = 5.0
_MAX_VERSION = (1 << 63) - 1

# HTTP status by error type; the first type that matches counts.
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
    """An operator's connection. Bytes that are no HTTP are answered in JSON as all failures."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the answer to a call that could not be read."""
        _MALFORMED.emit(status=status, error=repr(exc))
        text = " ".join((message or type(exc).__name__).split())[:_SHOWN_CHARACTERS]
        failure = InvalidAdministrationRequestError(f"malformed HTTP: {text}")
        answer = _json(_error_answer(failure), status=status)
        answer.force_close()
        return answer


class _Server(web.Server):
    """Makes a `_Connection` for each operator."""

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        return _Connection(self, loop=asyncio.get_running_loop(), access_log=None)


class HttpAdministration:
    """The `administration` service. aiohttp runs one task for each connection of an operator."""

    name = "administration"
    requires = ("catalogue", "status", "metrics")

    def __init__(self) -> None:
        self._runners: tuple[web.BaseRunner, ...] = ()

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._catalogue = registry.find("catalogue", Catalogue)
        self._platform = registry.find("platform", Platform)
        self._status = registry.find("status", StatusReports)
        self._metrics = registry.find("metrics", Metrics)
        section = registry.find("settings", Settings).administration
        self._host, self._port = section.host, section.port
        self._token = section.token.encode()

    async def start(self) -> None:
        """Listens for operators."""
        app = web.Application(client_max_size=MAX_ENTRY_BYTES, middlewares=[self._errors])
        app.router.add_get("/v1/entries", self._list_entries)
        app.router.add_get("/v1/entries/{service}", self._get_entry)
        app.router.add_put("/v1/entries/{service}", self._put_entry)
        app.router.add_delete("/v1/entries/{service}", self._delete_entry)
        app.router.add_get("/v1/status", self._fleet_status)
        app.router.add_get("/v1/status/{service}", self._service_status)
        app.router.add_get("/v1/explain/{service}", self._explain)
        app.router.add_get("/v1/agent", self._agent_status)
        app.router.add_get("/metrics", self._metrics_page)
        routes = web.AppRunner(app, access_log=None)
        await routes.setup()
        assert routes.server is not None
        server = _Server(
            routes.server.request_handler, request_factory=routes.server.request_factory
        )
        listener = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_S)
        await listener.setup()
        self._runners = (listener, routes)
        await web.TCPSite(listener, self._host, self._port).start()

    async def stop(self) -> None:
        """Stops listening and lets open calls end."""
        for runner in self._runners:
            await runner.cleanup()

    async def _list_entries(self, http: web.Request) -> web.Response:
        return _json(EntryList(tuple(_answer(entry) for entry in self._catalogue.entries())))

    async def _get_entry(self, http: web.Request) -> web.Response:
        found = self._catalogue.entry(http.match_info["service"])
        return _json(_answer(found), headers={"ETag": f'"{found.version}"'})

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
        return _json(_answer(accepted), headers={"ETag": f'"{accepted.version}"'})

    async def _delete_entry(self, http: web.Request) -> web.Response:
        self._authorize(http)
        service = http.match_info["service"]
        deleted = await self._catalogue.delete(service, _if_match(http))
        return _json(DeletedAnswer(service, deleted.version))

    async def _fleet_status(self, http: web.Request) -> web.Response:
        return _json(await self._status.fleet())

    async def _service_status(self, http: web.Request) -> web.Response:
        return _json(await self._status.fleet(http.match_info["service"]))

    async def _explain(self, http: web.Request) -> web.Response:
        key = http.query.get("key", "")
        if not 1 <= len(key) <= _MAX_KEY_CHARACTERS:
            raise InvalidAdministrationRequestError(
                f"the parameter key has {len(key)} characters; allowed: 1 to {_MAX_KEY_CHARACTERS}"
            )
        return _json(await self._status.explain(http.match_info["service"], key))

    async def _agent_status(self, http: web.Request) -> web.Response:
        return _json(self._status.agent())

    async def _metrics_page(self, http: web.Request) -> web.Response:
        page = self._metrics.render()
        return web.Response(body=page.content, headers={"Content-Type": page.content_type})

    def _authorize(self, http: web.Request) -> None:
        given = http.headers.get("Authorization", "").encode("utf-8", "surrogateescape")
        if not hmac.compare_digest(given, b"Bearer " + self._token):
            raise NotAuthorizedError(
                "changes need the header Authorization: Bearer TOKEN with the administration token"
            )

    def _tombstone_version(self, service: str) -> int:
        # A deleted entry leaves a tombstone, and a new entry of that name replaces it.
        try:
            self._catalogue.entry(service)
        except UnknownServiceError:
            return self._catalogue.versions().get(service, 0)
        return 0

    async def _present(self, service: str) -> VersionedEntry | None:
        """Returns the entry as the platform holds it now, else as it was last seen here."""
        try:
            stored = await self._platform.get(entry_object_key(service))
            read = VersionedEntry(stored.version, decode_json(stored.value, Entry))
        except ObjectNotFoundError:
            return None
        except (PlatformError, MalformedMessageError):
            try:
                return self._catalogue.entry(service)
            except UnknownServiceError:
                return None
        self._catalogue.observe(read)
        return None if read.entry.deleted else read

    @web.middleware
    async def _errors(self, http: web.Request, handler: Handler) -> web.StreamResponse:
        """Turns every failure into a typed JSON error."""
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
            failure = InvalidAdministrationRequestError(f"the body broke: {type(error).__name__}")
            status = 400
        except Exception as error:  # a fault of this program also gets a typed answer
            _FAILED.emit(method=http.method, path=http.path, error=repr(error))
            failure, status = FescuewardError(f"internal error: {type(error).__name__}"), 500
        _REFUSED.emit(method=http.method, path=http.path, code=failure.code, message=failure)
        answer = _error_answer(failure)
        if isinstance(failure, EntryConflictError):
            present = await self._present(http.match_info["service"])
            version = max(failure.version, present.version if present is not None else 0)
            entry = _document(present.entry) if present is not None else None
            answer = ErrorAnswer(replace(answer.error, version=version, entry=entry))
        return _json(answer, status=status, headers=headers)


def _error_answer(failure: FescuewardError) -> ErrorAnswer:
    return ErrorAnswer(ErrorDetail(failure.code, failure.label, str(failure)))


def _http_failure(http: web.Request, error: web.HTTPException) -> FescuewardError:
    if isinstance(error, web.HTTPRequestEntityTooLarge):
        return InvalidAdministrationRequestError(f"the body exceeds {MAX_ENTRY_BYTES} bytes")
    if isinstance(error, web.HTTPMethodNotAllowed):
        allowed = ", ".join(sorted(error.allowed_methods))
        return UnknownPathError(f"{http.path} has no method {http.method}; allowed: {allowed}")
    return UnknownPathError(f"{http.path}: {error.reason}; docs/administration.md lists all paths")


def _if_match(http: web.Request) -> int:
    text = http.headers.get("If-Match")
    given = (text or "").strip().strip('"')
    if not (given.isascii() and given.isdecimal()) or len(given) > 19:
        shown = "missing" if text is None else repr(text[:80])
        raise InvalidAdministrationRequestError(
            f"the header If-Match is {shown}; allowed: the version that the change is made from, "
            "0 to create"
        )
    return min(int(given), _MAX_VERSION)


def _entry(document: EntryDocument) -> Entry:
    return Entry(**{item.name: getattr(document, item.name) for item in fields(document)})


def _document(entry: Entry) -> EntryDocument:
    return EntryDocument(
        **{item.name: getattr(entry, item.name) for item in fields(EntryDocument)}
    )


def _answer(found: VersionedEntry) -> EntryAnswer:
    return EntryAnswer(found.version, _document(found.entry))


def _json(value: Any, status: int = 200, headers: dict[str, str] | None = None) -> web.Response:
    return web.Response(
        body=encode_json(value), status=status, headers=headers, content_type="application/json"
    )
