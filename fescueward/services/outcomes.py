"""Tokens and outcomes of requests that run at most once."""

from __future__ import annotations

import secrets
from dataclasses import dataclass

from ..interfaces.requests import Runner
from ..kernel import Event, Level, Registry
from ..kernel.errors import (
    AnswerNotRetainedError,
    InProgressError,
    InvalidRequestError,
    Outcome,
    OutcomeLostError,
    RefusalError,
)
from ..messages import Request, Response
from ..messages.peer import RetainedOutcome
from ..messages.request import BytesBody

_UNKNOWN = Event(3201, "outcome_unknown", Level.WARNING, "A token's outcome is not known here.")

_RETAINED_PER_SHARD = 4096
_RETAINED_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Token:
    """A token in its parts.

    Attributes:
        shard: Shard id it was issued for.
        epoch: Epoch it was issued in.
        sequence: Its number in the shard.
    """

    shard: int
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class ExportedOutcomes:
    """What a successor needs to know of a shard; see `ShardOutcomes`."""

    lineage: tuple[int, ...] = ()
    next_sequence: int = 0
    floor: int = 0
    outcomes: tuple[RetainedOutcome, ...] = ()


class _ShardRecord:
    def __init__(self, epoch: int, lineage: tuple[int, ...], floor: int, sequence: int) -> None:
        self.epoch = epoch
        self.lineage = lineage
        self.floor = floor
        self.next_sequence = sequence
        self.running: set[str] = set()
        self.outcomes: dict[str, RetainedOutcome] = {}


class RetainedOutcomes:
    """The `outcomes` service."""

    name = "outcomes"
    requires: tuple[str, ...] = ()

    def __init__(self) -> None:
        self._records: dict[int, _ShardRecord] = {}

    def bind(self, registry: Registry) -> None:
        """Finds nothing."""

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    def begin_epoch(
        self, shard: int, epoch: int, lineage: tuple[int, ...], floor: int, next_sequence: int
    ) -> None:
        """Starts an epoch of a shard; outcomes stay only if its epochs are in `lineage`."""
        record = _ShardRecord(epoch, lineage, floor, next_sequence)
        before = self._records.get(shard)
        if before is not None and before.epoch in lineage:
            record.outcomes = before.outcomes
        self._records[shard] = record

    def end_epoch(self, shard: int) -> None:
        """Forgets a shard that is owned elsewhere."""
        self._records.pop(shard, None)

    def issue(self, shard: int, epoch: int) -> str:
        """Returns a new token."""
        record = self._records[shard]
        sequence = record.next_sequence
        record.next_sequence += 1
        return f"{shard}.{epoch}.{sequence}.{secrets.token_hex(8)}"

    async def run_once(self, request: Request, shard: int, epoch: int, run: Runner) -> Response:
        """Runs a request under its token unless it ran before; see `Outcomes.run_once`."""
        assert request.token is not None
        token = _parse(request.token)
        record = self._records.get(shard)
        if record is None or token.shard != shard or token.sequence < record.floor:
            raise self._unknown(request)
        if token.epoch != record.epoch and token.epoch not in record.lineage:
            raise self._unknown(request)
        if request.token in record.running:
            raise InProgressError(f"token {request.token} is running")
        kept = record.outcomes.get(request.token)
        if kept is not None:
            return _repeat(kept, request, epoch)
        record.running.add(request.token)
        try:
            response = await run(request)
        except RefusalError as error:
            if error.outcome is not Outcome.NOT_RUN:
                self._keep(record, RetainedOutcome(request.token, "lost"))
            raise
        except BaseException:
            self._keep(record, RetainedOutcome(request.token, "lost"))
            raise
        finally:
            record.running.discard(request.token)
        return self._retain(record, request.token, response)

    def export(self, shard: int) -> ExportedOutcomes:
        """Returns all outcomes of a shard for its successor."""
        record = self._records.get(shard)
        if record is None:
            return ExportedOutcomes()
        return ExportedOutcomes(
            record.lineage, record.next_sequence, record.floor, tuple(record.outcomes.values())
        )

    def import_outcomes(self, shard: int, outcomes: tuple[RetainedOutcome, ...]) -> None:
        """Takes over the outcomes of a shard."""
        record = self._records[shard]
        record.outcomes.update({outcome.token: outcome for outcome in outcomes})

    def _retain(self, record: _ShardRecord, token: str, response: Response) -> Response:
        if isinstance(response.body, BytesBody) and len(response.body.data) <= _RETAINED_BYTES:
            kept = RetainedOutcome(
                token, "done", response.status, response.headers, response.body.data
            )
            self._keep(record, kept)
            return response
        self._keep(record, RetainedOutcome(token, "too_large", response.status))
        return response

    def _keep(self, record: _ShardRecord, outcome: RetainedOutcome) -> None:
        record.outcomes[outcome.token] = outcome
        while len(record.outcomes) > _RETAINED_PER_SHARD:
            oldest = next(iter(record.outcomes))
            del record.outcomes[oldest]
            record.floor = max(record.floor, _parse(oldest).sequence + 1)

    def _unknown(self, request: Request) -> OutcomeLostError:
        _UNKNOWN.emit(request=request.id, token=request.token)
        return OutcomeLostError(f"the outcome of token {request.token} is not known here")


def _parse(text: str) -> Token:
    parts = text.split(".")
    if len(parts) != 4 or not all(part.isdecimal() and len(part) < 20 for part in parts[:3]):
        raise InvalidRequestError(f"bad token {text!r}; valid is SHARD.EPOCH.SEQUENCE.RANDOM")
    return Token(int(parts[0]), int(parts[1]), int(parts[2]))


def _repeat(kept: RetainedOutcome, request: Request, epoch: int) -> Response:
    if kept.state == "done":
        return Response(request.id, kept.status, kept.headers, BytesBody(kept.body), "", epoch)
    if kept.state == "too_large":
        raise AnswerNotRetainedError(f"token {kept.token} ran; its response is not kept")
    raise OutcomeLostError(f"token {kept.token} may have run; its outcome was lost")
