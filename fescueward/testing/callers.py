"""A caller: sends requests to agents and checks the answers."""

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

# Labels of failures that the caller sees itself, beside the labels that agents report.
UNREACHABLE = "unreachable"
CONNECTION_LOST = "connection_lost"
TIMEOUT = "timeout"
TOKEN_REQUIRED = "token_required"


def new_request_id() -> str:
    """Returns a request id that no other request has."""
    return uuid.uuid4().hex


def without_retries(session: aiohttp.ClientSession) -> aiohttp.ClientSession:
    """Returns a session that sends each request once.

    aiohttp repeats GET, PUT and DELETE by itself when a kept connection is lost. That hides lost
    answers and runs a request twice under one id. There is no public option against it.

    Args:
        session: The session, which is changed.
    """
    session._retry_connection = False
    return session


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """One request of a caller.

    Attributes:
        service: Service it is for.
        key: Its key.
        method: HTTP method.
        path: Path below the service, without a slash at the start.
        query: Query; see `fescueward.testing.upstream`.
        body: Its body.
        deadline_ms: Deadline from when it is sent, or None for the one of the entry.
        token: Idempotency token, or None.
        request_id: Its id. An attempt that is sent again needs an id of its own, so that the
            answer to one attempt is not judged by the runs of another.
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
    """What the caller got.

    Attributes:
        request_id: Id of the request.
        status: HTTP status, 0 without an answer.
        label: Label of the refusal or of the failure, empty for an answer of the upstream.
        outcome: What the caller knows about the run, None for an answer of the upstream.
        served_by: Name of the upstream that ran it, if the body tells.
        epoch: Epoch that it ran under, if the body tells.
        run_request_id: Request id of the run, if the body tells. With a token it can be that of
            an earlier attempt, whose answer the owner has kept.
        digest_ok: Whether body and request id are those of this request; None if the answer
            carries no digest.
        token: Token that a refusal carries, or None.
        retry_after_s: Retry-After of a refusal in seconds, or None.
        body: Body of the answer.
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
        """Whether the upstream answered with a status below 400 and nothing was mixed up."""
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
    """Keeps connections to agents and sends requests. Used as an async context manager.

    Args:
        timeout_s: Time after which it gives up on an answer, in seconds.
        connections: Most connections at a time; 0 means no limit.
    """

    def __init__(self, timeout_s: float = 15.0, connections: int = 0) -> None:
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._connections = connections
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Caller:
        connector = aiohttp.TCPConnector(limit=self._connections)
        self._session = without_retries(
            aiohttp.ClientSession(connector=connector, timeout=self._timeout)
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def send(self, base_url: str, request: CallerRequest) -> CallerResponse:
        """Sends one request once.

        Args:
            base_url: URL of the agent that it is sent to.
            request: The request.

        Returns:
            The answer; failures are told by its label.
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
                return _answer(request, response, await response.read())
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


def _answer(
    request: CallerRequest, response: aiohttp.ClientResponse, body: bytes
) -> CallerResponse:
    request_id = request.request_id
    own = response.headers.get(REQUEST_ID_HEADER, request_id) == request_id
    digest = response.headers.get(DIGEST_HEADER)
    answer: dict[str, Any] = {
        "request_id": request_id,
        "status": response.status,
        "body": body,
        "retry_after_s": _seconds(response.headers.get("Retry-After")),
    }
    if digest is None:
        return CallerResponse(**answer, **_refusal(body), digest_ok=None if own else False)
    intact = own and hashlib.sha256(body).hexdigest() == digest
    told = _upstream_answer(response, body)
    if told is None:
        return CallerResponse(**answer, digest_ok=intact)
    return CallerResponse(
        **answer,
        digest_ok=intact and (request.token is not None or told.request_id == request_id),
        served_by=told.upstream,
        epoch=told.epoch,
        run_request_id=told.request_id,
    )


def _seconds(text: str | None) -> float | None:
    try:
        return None if text is None else float(text)
    except ValueError:
        return None


def _refusal(body: bytes) -> dict[str, Any]:
    try:
        error = msgspec.json.decode(body, type=_ErrorBody).error
    except (msgspec.DecodeError, UnicodeDecodeError):
        return {}
    return {"label": error.label, "outcome": error.outcome, "token": error.token}


def _upstream_answer(response: aiohttp.ClientResponse, body: bytes) -> UpstreamAnswer | None:
    if response.content_type != "application/json":
        return None
    try:
        return msgspec.json.decode(body, type=UpstreamAnswer)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
