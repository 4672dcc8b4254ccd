"""Encoding of refusals as HTTP responses for callers."""

from __future__ import annotations

from typing import Any

from aiohttp import web

from ...kernel import RefusalError
from ...kernel.errors import (
    TokenRequiredError,
)
from ...messages.codec import encode_json
from ...messages.upstream import (
    REQUEST_ID_HEADER,
)
from .requests import MAX_ID_CHARACTERS


def refusal_response(error: RefusalError, request_id: str, close: bool = False) -> web.Response:
    """Returns the HTTP response for a refusal, with a JSON body.

    Args:
        error: The refusal.
        request_id: Id of the request, or empty if it is not known.
        close: Whether to close the connection after the response.
    """
    content: dict[str, Any] = {
        "code": error.code,
        "label": error.label,
        "outcome": error.outcome,
        "message": str(error).encode(errors="replace").decode(),
        "request_id": request_id.encode(errors="replace").decode()[:MAX_ID_CHARACTERS],
    }
    if isinstance(error, TokenRequiredError):
        content["token"] = error.token
    headers = {REQUEST_ID_HEADER: content["request_id"]}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(error.retry_after_s)))
    response = web.Response(
        status=error.http_status,
        headers=headers,
        body=encode_json({"error": content}),
        content_type="application/json",
    )
    if close:
        response.force_close()
    return response
