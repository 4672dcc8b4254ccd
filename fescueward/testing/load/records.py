"""Records of the attempts of a load, and files of them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ...kernel.errors import Outcome
from ...messages.codec import encode_json
from ..errors import JournalError


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """One attempt of a request. Times are seconds of CLOCK_BOOTTIME.

    Attributes:
        begun_s: When the request was due; the same for all its attempts.
        start_s: When this attempt was sent.
        end_s: When the response was complete or the attempt had failed.
        final: Whether this is the last attempt of the request.
        target: Base URL of the agent that it was sent to.
        request_id: Id of the attempt.
        key: Key of the request.
        token: Idempotency token, or None.
        status: HTTP status, 0 without a response.
        label: Label of the refusal or failure, empty for a response of the upstream.
        outcome: Reported outcome of the run, None for a response of the upstream.
        served_by: Name of the upstream that ran the request, empty if the response lacks it.
        run_request_id: Id of the attempt that ran, empty if the response lacks it.
        digest_ok: Whether the response is intact and belongs to this request; None if it carries
            no digest to check.
        succeeded: Whether it is an intact response of the upstream with a status below 400.
    """

    begun_s: float
    start_s: float
    end_s: float
    final: bool
    target: str
    request_id: str
    key: str
    token: str | None
    status: int
    label: str
    outcome: Outcome | None
    served_by: str
    run_request_id: str
    digest_ok: bool | None
    succeeded: bool


def write_records(path: Path, records: Iterable[Record]) -> None:
    """Writes records to a file of JSON lines.

    Raises:
        OSError: The file cannot be written.
    """
    path.write_bytes(b"".join(encode_json(record) + b"\n" for record in records))


def read_records(path: Path) -> tuple[Record, ...]:
    """Reads a file that `write_records` wrote.

    Raises:
        JournalError: A line is malformed.
        OSError: The file cannot be read.
    """
    try:
        return tuple(
            msgspec.json.decode(line, type=Record) for line in path.read_bytes().splitlines()
        )
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise JournalError(f"malformed line in {path}: {error}") from error
