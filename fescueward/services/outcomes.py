"""Tokens and outcomes of requests that run at most once."""

from __future__ import annotations

import secrets
from collections import OrderedDict
from dataclasses import dataclass, replace

import xxhash
from sortedcontainers import SortedDict

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
_MISUSED = Event(
    3202, "token_misused", Level.WARNING, "A token was sent with another request than before."
)

# A Release frame carries all outcomes of a shard and may take 1 MiB, so a shard keeps less.
_SHARD_COUNT = 4096
_SHARD_BYTES = 768 * 1024
_RESPONSE_BYTES = 65_536
# Limits over all shards, so that an agent stays within its 256 MB.
_TOTAL_COUNT = 100_000
_TOTAL_BYTES = 48 * 1024 * 1024
# Field names and numbers of one outcome in a Release frame, and of one header.
_OUTCOME_OVERHEAD = 96
_HEADER_OVERHEAD = 12
# Older epochs are forgotten, so that a shard that moves often has a lineage of bounded length.
_LINEAGE = 64

Place = tuple[int, str]


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
    """Tokens of one shard that this agent owns."""

    def __init__(self, epoch: int, lineage: tuple[int, ...], floor: int, sequence: int) -> None:
        self.epoch = epoch
        self.lineage = lineage
        self.floor = floor
        self.next_sequence = sequence
        self.running: dict[str, int] = {}
        self.outcomes: SortedDict = SortedDict()
        # Places of the outcomes that hold a response, oldest first.
        self.answers: dict[Place, None] = {}
        self.size = 0

    def inherit(self, before: _ShardRecord) -> None:
        """Takes over the outcomes of the epoch before."""
        self.outcomes, self.answers, self.size = before.outcomes, before.answers, before.size


class RetainedOutcomes:
    """The `outcomes` service.

    When a limit is reached, the responses of the oldest outcomes are dropped first, which a
    repeat sees as `answer_not_retained`. Then the lowest sequences are forgotten and the floor
    is raised, so that their tokens are refused as `outcome_unknown`. Neither can run again.
    """

    name = "outcomes"
    requires: tuple[str, ...] = ()

    def __init__(self) -> None:
        self._records: dict[int, _ShardRecord] = {}
        # All outcomes in the order in which they were kept.
        self._order: OrderedDict[tuple[int, Place], None] = OrderedDict()
        # Those of them that hold a response.
        self._answers: OrderedDict[tuple[int, Place], None] = OrderedDict()
        self._size = 0

    @property
    def size(self) -> int:
        """Estimated bytes of all outcomes."""
        return self._size

    @property
    def count(self) -> int:
        """Number of outcomes."""
        return len(self._order)

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
        record = _ShardRecord(epoch, lineage[-_LINEAGE:], floor, next_sequence)
        before = self._records.get(shard)
        if before is not None and before.epoch in lineage:
            record.inherit(before)
        else:
            self.end_epoch(shard)
        self._records[shard] = record

    def end_epoch(self, shard: int) -> None:
        """Forgets a shard that is owned elsewhere."""
        record = self._records.pop(shard, None)
        if record is not None:
            for place in tuple(record.outcomes):
                self._forget(shard, record, place)

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
        if token.sequence >= record.next_sequence:
            raise InvalidRequestError(f"token {request.token} was never issued")
        fingerprint = _fingerprint(request)
        running = record.running.get(request.token)
        if running is not None:
            self._check_fingerprint(request, running, fingerprint)
            raise InProgressError(f"token {request.token} is running", retry_after_s=1.0)
        kept = record.outcomes.get((token.sequence, request.token))
        if kept is not None:
            self._check_fingerprint(request, kept.fingerprint, fingerprint)
            return _repeat(kept, request, epoch)
        record.running[request.token] = fingerprint
        try:
            response = await run(request)
        except RefusalError as error:
            if error.outcome is not Outcome.NOT_RUN:
                self._keep(shard, record, RetainedOutcome(request.token, "lost"), fingerprint)
            raise
        except BaseException:
            self._keep(shard, record, RetainedOutcome(request.token, "lost"), fingerprint)
            raise
        finally:
            del record.running[request.token]
        self._keep(shard, record, _retained(request.token, response), fingerprint)
        return response

    def export(self, shard: int) -> ExportedOutcomes:
        """Returns all outcomes of a shard for its successor.

        Raises:
            KeyError: The shard has no record. An empty export would let its tokens run again.
        """
        record = self._records[shard]
        return ExportedOutcomes(
            record.lineage, record.next_sequence, record.floor, tuple(record.outcomes.values())
        )

    def import_outcomes(self, shard: int, outcomes: tuple[RetainedOutcome, ...]) -> None:
        """Takes over the outcomes of a shard."""
        record = self._records[shard]
        for outcome in outcomes:
            self._keep(shard, record, outcome, outcome.fingerprint)

    def _keep(
        self, shard: int, record: _ShardRecord, outcome: RetainedOutcome, fingerprint: int
    ) -> None:
        if self._records.get(shard) is not record:
            # The shard was dropped during the run; its tokens are refused by epoch elsewhere.
            return
        place = (_parse(outcome.token).sequence, outcome.token)
        if place[0] < record.floor:
            return
        self._set(shard, record, place, replace(outcome, fingerprint=fingerprint))
        while record.size > _SHARD_BYTES and record.answers:
            self._drop_answer(shard, next(iter(record.answers)))
        while record.size > _SHARD_BYTES or len(record.outcomes) > _SHARD_COUNT:
            self._raise_floor(shard, record, record.outcomes.peekitem(0)[0])
        while self._size > _TOTAL_BYTES and self._answers:
            self._drop_answer(*next(iter(self._answers)))
        while len(self._order) > _TOTAL_COUNT:
            oldest, place = next(iter(self._order))
            self._raise_floor(oldest, self._records[oldest], place)

    def _set(
        self, shard: int, record: _ShardRecord, place: Place, outcome: RetainedOutcome
    ) -> None:
        size = _size(outcome)
        before = record.outcomes.get(place)
        if before is not None:
            size -= _size(before)
        record.outcomes[place] = outcome
        record.size += size
        self._size += size
        self._order[(shard, place)] = None
        if outcome.state == "done":
            self._answers[(shard, place)] = record.answers[place] = None
        else:
            self._answers.pop((shard, place), None)
            record.answers.pop(place, None)

    def _drop_answer(self, shard: int, place: Place) -> None:
        record = self._records[shard]
        outcome = record.outcomes[place]
        without = replace(outcome, state="too_large", headers=(), body=b"")
        self._set(shard, record, place, without)

    def _raise_floor(self, shard: int, record: _ShardRecord, place: Place) -> None:
        record.floor = max(record.floor, place[0] + 1)
        while record.outcomes and record.outcomes.peekitem(0)[0][0] < record.floor:
            self._forget(shard, record, record.outcomes.peekitem(0)[0])

    def _forget(self, shard: int, record: _ShardRecord, place: Place) -> None:
        size = _size(record.outcomes.pop(place))
        record.size -= size
        self._size -= size
        del self._order[(shard, place)]
        self._answers.pop((shard, place), None)
        record.answers.pop(place, None)

    def _unknown(self, request: Request) -> OutcomeLostError:
        _UNKNOWN.emit(request=request.id, token=request.token)
        return OutcomeLostError(f"the outcome of token {request.token} is not known here")

    def _check_fingerprint(self, request: Request, used: int, fingerprint: int) -> None:
        if used != fingerprint:
            _MISUSED.emit(request=request.id, token=request.token)
            raise InvalidRequestError(f"token {request.token} belongs to another request")


def _parse(text: str) -> Token:
    parts = text.split(".")
    numbers = parts[:3]
    if len(parts) != 4 or len(text) > 100 or not all(part.isascii() for part in parts):
        raise InvalidRequestError("bad token; valid is SHARD.EPOCH.SEQUENCE.RANDOM")
    if not all(part.isdecimal() and len(part) < 20 for part in numbers):
        raise InvalidRequestError("bad token; valid is SHARD.EPOCH.SEQUENCE.RANDOM")
    return Token(int(parts[0]), int(parts[1]), int(parts[2]))


def _fingerprint(request: Request) -> int:
    """Hashes what a repeat must have in common; a streamed body counts by its length only."""
    digest = xxhash.xxh64()
    body = request.body
    content = body.data if isinstance(body, BytesBody) else str(body.length).encode()
    for part in (request.method.encode(), request.path.encode(), request.key.encode()):
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(content)
    return digest.intdigest()


def _size(outcome: RetainedOutcome) -> int:
    headers = sum(len(name) + len(value) + _HEADER_OVERHEAD for name, value in outcome.headers)
    return _OUTCOME_OVERHEAD + len(outcome.token) + headers + len(outcome.body)


def _retained(token: str, response: Response) -> RetainedOutcome:
    body = response.body
    if isinstance(body, BytesBody):
        kept = RetainedOutcome(token, "done", response.status, response.headers, body.data)
        if _size(kept) <= _RESPONSE_BYTES + _OUTCOME_OVERHEAD:
            return kept
    return RetainedOutcome(token, "too_large", response.status)


def _repeat(kept: RetainedOutcome, request: Request, epoch: int) -> Response:
    if kept.state == "done":
        return Response(request.id, kept.status, kept.headers, BytesBody(kept.body), "", epoch)
    if kept.state == "too_large":
        raise AnswerNotRetainedError(f"token {kept.token} ran; its response is not kept")
    raise OutcomeLostError(f"token {kept.token} may have run; its outcome was lost")
