"""Tokens and retained outcomes of requests that run at most once."""

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

_OUTCOME_UNKNOWN = Event(
    3201, "outcome_unknown", Level.WARNING, "The outcome of a token is not known to this agent."
)
_TOKEN_MISUSED = Event(
    3202, "token_misused", Level.WARNING, "A token was sent with a different request than before."
)

# Limits for each shard. A Release frame carries all outcomes of a shard and is limited to 1 MiB.
_MAX_SHARD_OUTCOMES = 4096
_MAX_SHARD_BYTES = 768 * 1024
_MAX_RESPONSE_BYTES = 65_536
# Limits over all shards, so that an agent stays within 256 MB of memory.
_MAX_TOTAL_OUTCOMES = 100_000
_MAX_TOTAL_BYTES = 48 * 1024 * 1024
# Encoded size of the field names and numbers of one outcome in a Release frame, and of one header.
_OUTCOME_OVERHEAD_BYTES = 96
_HEADER_OVERHEAD_BYTES = 12
# Longest lineage of a shard in epochs; the oldest are dropped when a shard moves often.
_MAX_LINEAGE = 64

# Sequence number and text of a token.
OutcomeKey = tuple[int, str]


@dataclass(frozen=True, slots=True)
class Token:
    """A parsed token.

    Attributes:
        shard: Shard id that it was issued for.
        epoch: Epoch in which it was issued.
        sequence: Its sequence number in the shard.
    """

    shard: int
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class ExportedOutcomes:
    """Token state of a shard that its successor imports; see `ShardOutcomes`."""

    lineage: tuple[int, ...] = ()
    next_sequence: int = 0
    floor: int = 0
    outcomes: tuple[RetainedOutcome, ...] = ()


class _ShardRecord:
    """Tokens and outcomes of one shard that this agent owns."""

    def __init__(
        self, epoch: int, lineage: tuple[int, ...], floor: int, next_sequence: int
    ) -> None:
        self.epoch = epoch
        self.lineage = lineage
        self.floor = floor
        self.next_sequence = next_sequence
        self.running: dict[str, int] = {}
        self.outcomes: SortedDict = SortedDict()
        # Keys of the outcomes that include a response, oldest first.
        self.with_response: dict[OutcomeKey, None] = {}
        self.size_bytes = 0

    def take_over_outcomes(self, previous_record: _ShardRecord) -> None:
        """Takes over the outcomes of the previous epoch."""
        self.outcomes, self.with_response, self.size_bytes = (
            previous_record.outcomes,
            previous_record.with_response,
            previous_record.size_bytes,
        )


class RetainedOutcomes:
    """The `outcomes` service.

    When a limit is reached, the responses of the oldest outcomes are dropped first; a repeated
    request is then refused as `answer_not_retained`. After that, the outcomes with the lowest
    sequence numbers are evicted and the floor is raised, so that their tokens are refused as
    `outcome_unknown`. In neither case can the request run again.
    """

    name = "outcomes"
    requires: tuple[str, ...] = ()

    def __init__(self) -> None:
        self._records: dict[int, _ShardRecord] = {}
        # Keys of all outcomes in insertion order.
        self._insertion_order: OrderedDict[tuple[int, OutcomeKey], None] = OrderedDict()
        # Keys of the outcomes that include a response, in insertion order.
        self._with_response: OrderedDict[tuple[int, OutcomeKey], None] = OrderedDict()
        self._size_bytes = 0

    @property
    def size(self) -> int:
        """Estimated encoded size of all outcomes in bytes."""
        return self._size_bytes

    @property
    def count(self) -> int:
        """Number of retained outcomes of all shards."""
        return len(self._insertion_order)

    def bind(self, registry: Registry) -> None:
        """Looks up nothing: this service uses no other."""

    async def start(self) -> None:
        """Starts nothing: this service has no background task."""

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    def begin_epoch(
        self, shard: int, epoch: int, lineage: tuple[int, ...], floor: int, next_sequence: int
    ) -> None:
        """Starts an epoch; keeps the outcomes if the previous epoch is in `lineage`."""
        record = _ShardRecord(epoch, lineage[-_MAX_LINEAGE:], floor, next_sequence)
        previous_record = self._records.get(shard)
        if previous_record is not None and previous_record.epoch in lineage:
            record.take_over_outcomes(previous_record)
        else:
            self.end_epoch(shard)
        self._records[shard] = record

    def end_epoch(self, shard: int) -> None:
        """Discards the outcomes of a shard that another member owns."""
        record = self._records.pop(shard, None)
        if record is not None:
            for key in tuple(record.outcomes):
                self._evict(shard, record, key)

    def issue(self, shard: int, epoch: int) -> str:
        """Returns a new token of the form `SHARD.EPOCH.SEQUENCE.RANDOM`."""
        record = self._records[shard]
        sequence = record.next_sequence
        record.next_sequence += 1
        return f"{shard}.{epoch}.{sequence}.{secrets.token_hex(8)}"

    async def run_once(self, request: Request, shard: int, epoch: int, run: Runner) -> Response:
        """Runs a request under its token unless it ran before; see `Outcomes.run_once`."""
        assert request.token is not None
        token = _parse_token(request.token)
        record = self._records.get(shard)
        if record is None or token.shard != shard or token.sequence < record.floor:
            raise self._unknown_outcome_error(request)
        if token.epoch != record.epoch and token.epoch not in record.lineage:
            raise self._unknown_outcome_error(request)
        if token.sequence >= record.next_sequence:
            raise InvalidRequestError(f"token {request.token} was never issued")
        fingerprint = _fingerprint(request)
        running_fingerprint = record.running.get(request.token)
        if running_fingerprint is not None:
            self._check_fingerprint(request, running_fingerprint, fingerprint)
            raise InProgressError(
                f"the request of token {request.token} is running", retry_after_s=1.0
            )
        outcome = record.outcomes.get((token.sequence, request.token))
        if outcome is not None:
            self._check_fingerprint(request, outcome.fingerprint, fingerprint)
            return _response_to_repeat(outcome, request, epoch)
        record.running[request.token] = fingerprint
        try:
            response = await run(request)
        except RefusalError as error:
            if error.outcome is not Outcome.NOT_RUN:
                self._retain(shard, record, RetainedOutcome(request.token, "lost"), fingerprint)
            raise
        except BaseException:
            self._retain(shard, record, RetainedOutcome(request.token, "lost"), fingerprint)
            raise
        finally:
            del record.running[request.token]
        self._retain(shard, record, _outcome_of(request.token, response), fingerprint)
        return response

    def export(self, shard: int) -> ExportedOutcomes:
        """Returns the token state of a shard for its successor.

        Raises:
            KeyError: The shard has no record. With an empty export, the successor could run its
                tokens again.
        """
        record = self._records[shard]
        return ExportedOutcomes(
            record.lineage, record.next_sequence, record.floor, tuple(record.outcomes.values())
        )

    def import_outcomes(self, shard: int, outcomes: tuple[RetainedOutcome, ...]) -> None:
        """Retains the outcomes that the previous owner of a shard exported."""
        record = self._records[shard]
        for outcome in outcomes:
            self._retain(shard, record, outcome, outcome.fingerprint)

    def _retain(
        self, shard: int, record: _ShardRecord, outcome: RetainedOutcome, fingerprint: int
    ) -> None:
        if self._records.get(shard) is not record:
            # This agent lost the shard during the run. The next owner has no outcomes of this
            # epoch and refuses its tokens.
            return
        key = (_parse_token(outcome.token).sequence, outcome.token)
        if key[0] < record.floor:
            return
        self._set(shard, record, key, replace(outcome, fingerprint=fingerprint))
        while record.size_bytes > _MAX_SHARD_BYTES and record.with_response:
            self._drop_response(shard, next(iter(record.with_response)))
        while record.size_bytes > _MAX_SHARD_BYTES or len(record.outcomes) > _MAX_SHARD_OUTCOMES:
            self._raise_floor(shard, record, record.outcomes.peekitem(0)[0])
        while self._size_bytes > _MAX_TOTAL_BYTES and self._with_response:
            self._drop_response(*next(iter(self._with_response)))
        while len(self._insertion_order) > _MAX_TOTAL_OUTCOMES:
            oldest_shard, key = next(iter(self._insertion_order))
            self._raise_floor(oldest_shard, self._records[oldest_shard], key)

    def _set(
        self, shard: int, record: _ShardRecord, key: OutcomeKey, outcome: RetainedOutcome
    ) -> None:
        added_bytes = _encoded_size(outcome)
        replaced_outcome = record.outcomes.get(key)
        if replaced_outcome is not None:
            added_bytes -= _encoded_size(replaced_outcome)
        record.outcomes[key] = outcome
        record.size_bytes += added_bytes
        self._size_bytes += added_bytes
        self._insertion_order[(shard, key)] = None
        if outcome.state == "done":
            self._with_response[(shard, key)] = record.with_response[key] = None
        else:
            self._with_response.pop((shard, key), None)
            record.with_response.pop(key, None)

    def _drop_response(self, shard: int, key: OutcomeKey) -> None:
        record = self._records[shard]
        outcome = record.outcomes[key]
        outcome_without_response = replace(outcome, state="too_large", headers=(), body=b"")
        self._set(shard, record, key, outcome_without_response)

    def _raise_floor(self, shard: int, record: _ShardRecord, key: OutcomeKey) -> None:
        record.floor = max(record.floor, key[0] + 1)
        while record.outcomes and record.outcomes.peekitem(0)[0][0] < record.floor:
            self._evict(shard, record, record.outcomes.peekitem(0)[0])

    def _evict(self, shard: int, record: _ShardRecord, key: OutcomeKey) -> None:
        evicted_bytes = _encoded_size(record.outcomes.pop(key))
        record.size_bytes -= evicted_bytes
        self._size_bytes -= evicted_bytes
        del self._insertion_order[(shard, key)]
        self._with_response.pop((shard, key), None)
        record.with_response.pop(key, None)

    def _unknown_outcome_error(self, request: Request) -> OutcomeLostError:
        _OUTCOME_UNKNOWN.emit(request=request.id, token=request.token)
        return OutcomeLostError(f"the outcome of token {request.token} is not known to this agent")

    def _check_fingerprint(
        self, request: Request, expected_fingerprint: int, fingerprint: int
    ) -> None:
        if expected_fingerprint != fingerprint:
            _TOKEN_MISUSED.emit(request=request.id, token=request.token)
            raise InvalidRequestError(
                f"token {request.token} was first used with a different request"
            )


def _parse_token(text: str) -> Token:
    parts = text.split(".")
    numbers = parts[:3]
    if len(parts) != 4 or len(text) > 100 or not all(part.isascii() for part in parts):
        raise InvalidRequestError("malformed token; the format is SHARD.EPOCH.SEQUENCE.RANDOM")
    if not all(part.isdecimal() and len(part) < 20 for part in numbers):
        raise InvalidRequestError("malformed token; the format is SHARD.EPOCH.SEQUENCE.RANDOM")
    return Token(int(parts[0]), int(parts[1]), int(parts[2]))


def _fingerprint(request: Request) -> int:
    """Hashes the parts that repeats must share; of a streamed body only the length."""
    digest = xxhash.xxh64()
    body = request.body
    content = body.data if isinstance(body, BytesBody) else str(body.length).encode()
    for part in (request.method.encode(), request.path.encode(), request.key.encode()):
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(content)
    return digest.intdigest()


def _encoded_size(outcome: RetainedOutcome) -> int:
    header_bytes = sum(
        len(name) + len(value) + _HEADER_OVERHEAD_BYTES for name, value in outcome.headers
    )
    return _OUTCOME_OVERHEAD_BYTES + len(outcome.token) + header_bytes + len(outcome.body)


def _outcome_of(token: str, response: Response) -> RetainedOutcome:
    body = response.body
    if isinstance(body, BytesBody):
        outcome = RetainedOutcome(token, "done", response.status, response.headers, body.data)
        if _encoded_size(outcome) <= _MAX_RESPONSE_BYTES + _OUTCOME_OVERHEAD_BYTES:
            return outcome
    return RetainedOutcome(token, "too_large", response.status)


def _response_to_repeat(outcome: RetainedOutcome, request: Request, epoch: int) -> Response:
    if outcome.state == "done":
        return Response(
            request.id, outcome.status, outcome.headers, BytesBody(outcome.body), "", epoch
        )
    if outcome.state == "too_large":
        raise AnswerNotRetainedError(
            f"the request of token {outcome.token} ran, but its response is not retained"
        )
    raise OutcomeLostError(
        f"the request of token {outcome.token} may have run; its outcome was lost"
    )
