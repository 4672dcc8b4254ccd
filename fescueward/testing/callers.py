"""A caller: sends requests to agents and checks the responses."""

from __future__ import annotations

import hashlib
import io
import uuid
from dataclasses import dataclass, field
from typing import Annotated, Any

import aiohttp
import msgspec
from msgspec import Meta

from ..kernel.errors import Outcome
from ..messages.request import Headers
from ..messages.upstream import (
    DEADLINE_MS_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
    TOKEN_HEADER,
)
from .upstream import DIGEST_HEADER, UpstreamAnswer

# Labels of failures that the caller itself detects, in addition to those that agents report.
UNREACHABLE = "unreachable"
CONNECTION_LOST = "connection_lost"
TIMEOUT = "timeout"
TOKEN_REQUIRED = "token_required"


def new_request_id() -> str:
    """Returns a new unique request id."""
    return uuid.uuid4().hex


def without_retries(session: aiohttp.ClientSession) -> aiohttp.ClientSession:
    """Changes a session so that it sends each request once, and returns it.

    By default aiohttp repeats GET, PUT and DELETE when a kept-alive connection is lost. That
    hides lost responses and runs a request twice under one id. There is no public option to
    switch it off.

    Args:
        session: The session, which is changed in place.
    """
    session._retry_connection = False
    return session


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """One request of a caller.

    Attributes:
        service: Service that the request is for.
        key: Key of the request.
        method: HTTP method.
        path: Path below the service, without a leading slash.
        query: Query parameters; see `fescueward.testing.upstream`.
        body: Request body.
        deadline_ms: Deadline in milliseconds after the request is sent, None for the deadline of
            the entry.
        token: Idempotency token, or None.
        request_id: Id of the request. Each attempt needs its own id, so that the response to one
            attempt is not matched with the run of another.
        headers: Further headers.
    """

    service: str
    key: str
    method: str = "GET"
    path: str = ""
    query: Headers = ()
    body: bytes = b""
    deadline_ms: int | None = None
    token: str | None = None
    request_id: str = field(default_factory=new_request_id)
    headers: Headers = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerResponse:
    """Response to a request, or the failure to get one.

    Attributes:
        request_id: Id of the request.
        status: HTTP status, 0 without a response.
        label: Label of the refusal or of the failure, empty for a response of the upstream.
        outcome: Reported outcome of the run, None for a response of the upstream.
        served_by: Name of the upstream that ran the request, empty if the body lacks it.
        epoch: Epoch that the request ran under, None if the body lacks it.
        run_request_id: Request id of the run, empty if the body lacks it. With a token it can be
            that of an earlier attempt, whose response the owner has stored.
        digest_ok: Whether body and request id are those of this request; None if the response
            carries no digest.
        token: Token that a refusal carries, or None.
        retry_after_s: Retry-After of a refusal in seconds, or None.
        body: Body of the response.
    """

    request_id: str
    status: int = 0
    label: str = ""
    outcome: Outcome | None = None
    served_by: str = ""
    epoch: int | None = None
    run_request_id: str = ""
    digest_ok: bool | None = None
    token: str | None = None
    retry_after_s: float | None = None
    body: bytes = b""

    @property
    def succeeded(self) -> bool:
        """Whether it is an intact response to this request with a status from 200 to 399."""
        return 200 <= self.status < 400 and not self.label and self.digest_ok is not False


@dataclass(frozen=True, slots=True)
class _ErrorDetail:
    code: Annotated[int, Meta(ge=1000)]
    label: str
    outcome: Outcome
    message: str = ""
    request_id: str = ""
    token: str | None = None


@dataclass(frozen=True, slots=True)
class _ErrorBody:
    error: _ErrorDetail


class Caller:
    """Sends requests over a pool of connections to agents. Used as an async context manager.

    Args:
        timeout_s: Time in seconds after which a request without a complete response fails.
        max_connections: Largest number of open connections; 0 means no limit.
    """

    def __init__(self, timeout_s: float = 15.0, max_connections: int = 0) -> None:
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._max_connections = max_connections
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Caller:
        connector = aiohttp.TCPConnector(limit=self._max_connections)
        self._session = without_retries(
            aiohttp.ClientSession(connector=connector, timeout=self._timeout)
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def send(self, base_url: str, request: CallerRequest) -> CallerResponse:
        """Sends a request, without retries.

        Args:
            base_url: Base URL of the agent.
            request: The request.

        Returns:
            The response; its label names a refusal or failure.
        """
        assert self._session is not None, "the caller is not open"
        try:
            async with self._session.request(
                request.method,
                f"{base_url}/{request.service}/{request.path}",
                params=request.query,
                headers=_headers(request),
                data=io.BytesIO(request.body) if request.body else None,
            ) as response:
                return _parse_response(request, response, await response.read())
        except aiohttp.ClientConnectorError:
            label, outcome = UNREACHABLE, Outcome.NOT_RUN
        except TimeoutError:
            label, outcome = TIMEOUT, Outcome.OUTCOME_UNKNOWN
        except (aiohttp.ClientError, ConnectionError):
            label, outcome = CONNECTION_LOST, Outcome.OUTCOME_UNKNOWN
        return CallerResponse(request_id=request.request_id, label=label, outcome=outcome)


def _headers(request: CallerRequest) -> dict[str, str]:
    headers = {KEY_HEADER: request.key, REQUEST_ID_HEADER: request.request_id}
    if request.deadline_ms is not None:
        headers[DEADLINE_MS_HEADER] = str(request.deadline_ms)
    if request.token is not None:
        headers[TOKEN_HEADER] = request.token
    headers.update(request.headers)
    return headers


def _parse_response(
    request: CallerRequest, response: aiohttp.ClientResponse, body: bytes
) -> CallerResponse:
    request_id = request.request_id
    same_request_id = response.headers.get(REQUEST_ID_HEADER, request_id) == request_id
    digest = response.headers.get(DIGEST_HEADER)
    fields: dict[str, Any] = {
        "request_id": request_id,
        "status": response.status,
        "body": body,
        "retry_after_s": _parse_seconds(response.headers.get("Retry-After")),
    }
    if digest is None:
        return CallerResponse(
            **fields, **_decode_refusal(body), digest_ok=None if same_request_id else False
        )
    intact = same_request_id and hashlib.sha256(body).hexdigest() == digest
    upstream_answer = _decode_upstream_answer(response, body)
    if upstream_answer is None:
        return CallerResponse(**fields, digest_ok=intact)
    return CallerResponse(
        **fields,
        digest_ok=intact
        and (request.token is not None or upstream_answer.request_id == request_id),
        served_by=upstream_answer.upstream,
        epoch=upstream_answer.epoch,
        run_request_id=upstream_answer.request_id,
    )


def _parse_seconds(text: str | None) -> float | None:
    try:
        return None if text is None else float(text)
    except ValueError:
        return None


def _decode_refusal(body: bytes) -> dict[str, Any]:
    try:
        error = msgspec.json.decode(body, type=_ErrorBody).error
    except (msgspec.DecodeError, UnicodeDecodeError):
        return {}
    return {"label": error.label, "outcome": error.outcome, "token": error.token}


def _decode_upstream_answer(
    response: aiohttp.ClientResponse, body: bytes
) -> UpstreamAnswer | None:
    if response.content_type != "application/json":
        return None
    try:
        return msgspec.json.decode(body, type=UpstreamAnswer)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
