"""Exception types with numeric codes.

Codes are grouped by area: 1xxx settings and kernel, 2xxx refusals of requests, 3xxx platform,
4xxx peer protocol, 5xxx upstream, 6xxx catalogue and administration. docs/errors.md lists every
code and is checked against this module.
"""

from __future__ import annotations

import enum
import functools
from typing import Any, ClassVar


class Outcome(enum.StrEnum):
    """What is known about the run of a request that was refused."""

    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    FAILED_AFTER_RUNNING = "failed_after_running"


class FescuewardError(Exception):
    """Base class of all errors of this package.

    Attributes:
        code: Number of the error, unique in the package.
        label: Stable name of the error, as used in JSON responses.
    """

    code: ClassVar[int] = 1000
    label: ClassVar[str] = "internal_error"


class SettingsError(FescuewardError):
    """The settings file cannot be read or has at least one bad value."""

    code = 1001
    label = "bad_settings"


class UnknownNameError(FescuewardError):
    """A service or plugin name is not registered."""

    code = 1002
    label = "unknown_name"

    def __init__(self, kind: str, name: str, valid: tuple[str, ...]) -> None:
        super().__init__(f"unknown {kind} {name!r}; valid names are: {', '.join(valid) or 'none'}")
        self.name = name
        self.valid = valid


class DuplicateNameError(FescuewardError):
    """A name is registered twice."""

    code = 1003
    label = "duplicate_name"


class ServiceTypeError(FescuewardError):
    """A registered service does not satisfy the requested Protocol."""

    code = 1004
    label = "wrong_service_type"


class ServiceFailedError(FescuewardError):
    """A task of a service ended with an unexpected exception."""

    code = 1005
    label = "service_failed"


class RefusalError(FescuewardError):
    """A request is refused.

    Attributes:
        http_status: HTTP status code sent to the caller.
        outcome: What is known about the run of the request.
        retry_after_s: Seconds after which a retry is useful, or None.
        occupancy: `Occupancy` of the upstream of the refusing agent, or None.
    """

    code = 2000
    label = "refused"
    http_status: ClassVar[int] = 503
    outcome: ClassVar[Outcome] = Outcome.NOT_RUN

    def __init__(self, message: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s
        self.occupancy: Any = None


class UnknownServiceError(RefusalError):
    """No catalogue entry has the service name of the request."""

    code = 2001
    label = "unknown_service"
    http_status = 404


class MissingKeyError(RefusalError):
    """The request carries no key."""

    code = 2002
    label = "missing_key"
    http_status = 400


class NoOwnerError(RefusalError):
    """The shard of the key currently has no owner."""

    code = 2003
    label = "no_owner"


class LeaseExpiredError(RefusalError):
    """The lease of the owning agent has ended."""

    code = 2004
    label = "lease_expired"


class ShardMovingError(RefusalError):
    """The shard is being handed over and did not become active within the deadline."""

    code = 2005
    label = "shard_moving"


class OverloadedError(RefusalError):
    """The expected wait for a slot exceeds the deadline, or the queue is full."""

    code = 2006
    label = "overloaded"


class DeadlineExceededError(RefusalError):
    """The deadline passed before the request reached the upstream."""

    code = 2007
    label = "deadline_exceeded"
    http_status = 504


class DeadlineExceededRunningError(RefusalError):
    """The deadline passed while the upstream was running the request."""

    code = 2008
    label = "deadline_exceeded_running"
    http_status = 504
    outcome = Outcome.OUTCOME_UNKNOWN


class TokenRequiredError(RefusalError):
    """The request class of the service requires a token; the response carries one.

    Attributes:
        token: Idempotency token to send with the request.
    """

    code = 2009
    label = "token_required"
    http_status = 428

    def __init__(self, message: str, *, token: str = "") -> None:
        super().__init__(message)
        self.token = token


class OutcomeLostError(RefusalError):
    """The request may have run and its outcome is not known."""

    code = 2010
    label = "outcome_unknown"
    http_status = 502
    outcome = Outcome.OUTCOME_UNKNOWN


class InProgressError(RefusalError):
    """A request with the same token is still running."""

    code = 2011
    label = "in_progress"
    http_status = 409
    outcome = Outcome.OUTCOME_UNKNOWN


class QuarantinedError(RefusalError):
    """The request was in flight in several upstream crashes."""

    code = 2012
    label = "quarantined"
    http_status = 422


class BodyTooLargeError(RefusalError):
    """The request body exceeds the limit of the entry."""

    code = 2013
    label = "body_too_large"
    http_status = 413


class RateLimitedError(RefusalError):
    """The request rate of the service on this server exceeds the limit of the entry."""

    code = 2014
    label = "rate_limited"
    http_status = 429


class AnswerLostError(RefusalError):
    """The upstream ran the request but its response could not be delivered whole."""

    code = 2015
    label = "answer_lost"
    http_status = 502
    outcome = Outcome.FAILED_AFTER_RUNNING


class NotOwnerError(RefusalError):
    """The request reached an agent that does not own the shard.

    Attributes:
        owner_id: Member id of the owner according to the refusing agent, or None.
    """

    code = 2016
    label = "not_owner"
    http_status = 421

    def __init__(self, message: str, *, owner_id: str | None = None) -> None:
        super().__init__(message)
        self.owner_id = owner_id


class DrainingError(RefusalError):
    """The server is leaving and admits no new requests."""

    code = 2017
    label = "draining"


class InvalidRequestError(RefusalError):
    """The request is malformed."""

    code = 2018
    label = "invalid_request"
    http_status = 400


class AnswerNotRetainedError(RefusalError):
    """The request ran; its response was too large to be retained for a retry."""

    code = 2019
    label = "answer_not_retained"
    http_status = 410
    outcome = Outcome.FAILED_AFTER_RUNNING


class UpstreamUnavailableError(RefusalError):
    """No connection to the upstream could be made, so no byte reached it."""

    code = 2020
    label = "upstream_unavailable"


class OwnerUnreachableError(RefusalError):
    """The owner could not be reached, so the request was not sent."""

    code = 2021
    label = "owner_unreachable"


class UpstreamRefusedError(RefusalError):
    """The upstream refused the request before its run, with the header `Fescueward-Refusal`."""

    code = 2022
    label = "upstream_refused"


class NoConfigurationError(RefusalError):
    """This agent has not received a configuration yet."""

    code = 2024
    label = "no_configuration"


class NoRouteError(RefusalError):
    """No route of the configuration matches the request."""

    code = 2025
    label = "no_route"
    http_status = 404


class InternalError(RefusalError):
    """The agent raised an unexpected exception, so the outcome of the request is not known."""

    code = 2023
    label = "unexpected_error"
    http_status = 500
    outcome = Outcome.OUTCOME_UNKNOWN


class RequestWithdrawnError(RefusalError):
    """The caller left while the request waited."""

    code = 2026
    label = "request_withdrawn"


class EvacuatedError(RefusalError):
    """The failure domain of the upstream is evacuated, so no request is sent to it."""

    code = 2027
    label = "evacuated"


class PlatformError(FescuewardError):
    """Base class of the errors of the platform client."""

    code = 3000
    label = "platform_error"


class ObjectNotFoundError(PlatformError):
    """The platform has no object with this key."""

    code = 3001
    label = "object_not_found"


class VersionConflictError(PlatformError):
    """A conditional write expected another version than the current one.

    Attributes:
        version: Current version of the object, 0 if it does not exist or is not known.
        value: Current value of the object, empty if the platform did not return it.
    """

    code = 3002
    label = "version_conflict"

    def __init__(self, message: str, *, version: int, value: bytes = b"") -> None:
        super().__init__(message)
        self.version = version
        self.value = value


class PlatformUnavailableError(PlatformError):
    """The platform refused the call or could not be reached; a write had no effect."""

    code = 3003
    label = "platform_unavailable"


class OutcomeUnknownError(PlatformError):
    """The response to a write was lost; the write may have taken effect or may still do so."""

    code = 3004
    label = "write_outcome_unknown"


class PlatformAnswerError(PlatformError):
    """The platform's response does not follow its protocol."""

    code = 3005
    label = "bad_platform_answer"


class UnwritableGroupError(PlatformError):
    """An edit leads to a group object that no agent could read, so nothing was written."""

    code = 3006
    label = "unwritable_group"


class PeerError(FescuewardError):
    """Base class of the errors of the peer protocol."""

    code = 4000
    label = "peer_error"


class PeerUnavailableError(PeerError):
    """No stream to the peer is open and none can be opened."""

    code = 4001
    label = "peer_unavailable"


class PeerTimeoutError(PeerError):
    """The peer did not reply within the timeout."""

    code = 4002
    label = "peer_timeout"


class MalformedMessageError(PeerError):
    """A frame or message cannot be decoded or has a value out of range."""

    code = 4003
    label = "malformed_message"


class HandshakeError(PeerError):
    """The peer failed the handshake.

    Its secret is wrong, its name is not the expected one, its incarnation is outdated or its
    protocol version is unknown.
    """

    code = 4004
    label = "handshake_failed"


class OutdatedIncarnationError(FescuewardError):
    """The group has a member of this agent with a higher incarnation.

    Attributes:
        newest: The highest incarnation of this agent in the group.
    """

    code = 5002
    label = "outdated_incarnation"

    def __init__(self, message: str, *, newest: int) -> None:
        super().__init__(message)
        self.newest = newest


class BodyTruncatedError(FescuewardError):
    """A body ended before it was complete."""

    code = 4005
    label = "body_truncated"


class InvalidAnnouncementError(FescuewardError):
    """The upstream's announcement has a bad value."""

    code = 5001
    label = "invalid_announcement"


class EntryConflictError(FescuewardError):
    """The entry has changed since the version that the edit is based on.

    Attributes:
        version: Current version of the entry.
    """

    code = 6001
    label = "entry_conflict"

    def __init__(self, message: str, *, version: int) -> None:
        super().__init__(message)
        self.version = version


class InvalidEntryError(FescuewardError):
    """The entry has a bad value."""

    code = 6002
    label = "invalid_entry"


class NotAuthorizedError(FescuewardError):
    """The administration token is missing or wrong."""

    code = 6003
    label = "not_authorized"


class AdministrationUnavailableError(FescuewardError):
    """The administration API of the agent does not respond."""

    code = 6004
    label = "administration_unavailable"


class InvalidAdministrationRequestError(FescuewardError):
    """A request to the administration API has a bad path, header, parameter or body."""

    code = 6005
    label = "invalid_administration_request"


class UnknownPathError(FescuewardError):
    """The administration API has no such path, or the path has no such method."""

    code = 6006
    label = "unknown_path"


class InvalidEntryFileError(FescuewardError):
    """An entry file cannot be read or has a bad value."""

    code = 6007
    label = "invalid_entry_file"


class AdministrationAnswerError(FescuewardError):
    """The response of an administration address does not follow the administration API."""

    code = 6008
    label = "bad_administration_answer"


class AdministrationAnswerLostError(FescuewardError):
    """The response to a change was lost, so the change may have been accepted."""

    code = 6009
    label = "administration_answer_lost"


def error_types() -> tuple[type[FescuewardError], ...]:
    """Returns every error type of the package in the order of codes."""
    types_by_code: dict[int, type[FescuewardError]] = {FescuewardError.code: FescuewardError}
    pending: list[type[FescuewardError]] = [FescuewardError]
    while pending:
        for subtype in pending.pop().__subclasses__():
            types_by_code[subtype.code] = subtype
            pending.append(subtype)
    return tuple(types_by_code[code] for code in sorted(types_by_code))


@functools.cache
def _refusal_types() -> dict[str, type[RefusalError]]:
    """Returns the types of refusals by label; peers send refusals often under load."""
    return {kind.label: kind for kind in error_types() if issubclass(kind, RefusalError)}


def refusal_from_label(label: str, message: str, **details: str | None) -> RefusalError:
    """Rebuilds a refusal that a peer reported.

    Args:
        label: The `label` of the refusal's type.
        message: Text of the refusal.
        **details: `owner_id` and `token`, for the types that have them.

    Returns:
        The refusal. An unknown label gives an `OutcomeLostError`, so that the request is not
        assumed to have had no effect.
    """
    kind = _refusal_types().get(label, OutcomeLostError)
    if kind is NotOwnerError:
        return NotOwnerError(message, owner_id=details.get("owner_id"))
    if kind is TokenRequiredError:
        return TokenRequiredError(message, token=details.get("token") or "")
    return kind(message)
