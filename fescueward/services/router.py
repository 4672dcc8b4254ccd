"""Routing of requests to the owner of their key, with retries where they are safe."""

from __future__ import annotations

import random

from ..interfaces import Catalogue, Execution, Groups, Membership, Peers
from ..interfaces.metrics import RequestListener
from ..kernel import Clock, Event, Level, Outcome, RefusalError, Registry
from ..kernel.errors import (
    AnswerLostError,
    DeadlineExceededError,
    DrainingError,
    LeaseExpiredError,
    NoOwnerError,
    NotOwnerError,
    OutcomeLostError,
    OwnerUnreachableError,
    ShardMovingError,
    UpstreamRefusedError,
    UpstreamUnavailableError,
)
from ..kernel.settings import Settings
from ..kernel.tracebacks import drop_traceback
from ..messages import (
    Entry,
    GroupId,
    Member,
    MemberState,
    Request,
    RequestClass,
    Response,
    Shard,
    VersionedGroup,
)
from ..messages.group import group_of

_REQUEST_LOCAL = Event(
    3501,
    "request_local",
    Level.DEBUG,
    "This agent owns the key and runs the request; event 3401 follows.",
)
_REQUEST_FORWARDED = Event(
    3502,
    "request_forwarded",
    Level.INFO,
    "The request is forwarded to the owner of its key.",
    frequent=True,
)
_REQUEST_RETRIED = Event(
    3503, "request_retried", Level.INFO, "The request is retried.", frequent=True
)
_REQUEST_REFUSED = Event(
    3504,
    "request_refused",
    Level.INFO,
    "The request is refused; `code` is the error code.",
    frequent=True,
)

# The backoff doubles from the first to the last pause. A newer group version ends a wait for an
# owner, so the last pause only bounds the load of requests whose key stays without an owner.
_FIRST_PAUSE_S = 0.05
_LAST_PAUSE_S = 0.8
# Period at which a newer version of a group is requested while requests wait for an owner. It
# doubles from the first to the last value and is reset by a newer version.
_FIRST_UPDATE_PERIOD_S = 0.1
_LAST_UPDATE_PERIOD_S = 2.0
# Limit on the requests that wait for an owner. More are refused, so that an outage does not
# exhaust the memory.
_MAX_WAITING = 5_000
# Largest balance of the retry budget. A larger one would be spent at once when an upstream begins
# to fail, and the retries of that time would exceed the configured share.
_MAX_RETRY_BALANCE = 1.0
# Part of the configured share that each request adds; the rest compensates for the balance.
_DEPOSIT_SHARE = 0.95

# The request has not reached an upstream, so another attempt needs no retry budget.
_UNSENT_ERRORS = (
    DrainingError,
    LeaseExpiredError,
    NoOwnerError,
    NotOwnerError,
    OwnerUnreachableError,
    ShardMovingError,
    UpstreamUnavailableError,
)
# The request has reached an upstream, so another attempt needs the retry budget.
_BUDGETED_ERRORS = (AnswerLostError, OutcomeLostError, UpstreamRefusedError)


class _RetryBudget:
    """Token bucket that limits retries to a share of all requests."""

    def __init__(self, percent: int) -> None:
        self._tokens_per_request = percent / 100 * _DEPOSIT_SHARE
        self._tokens = 0.0

    def deposit(self) -> None:
        self._tokens = min(self._tokens + self._tokens_per_request, _MAX_RETRY_BALANCE)

    def try_withdraw(self) -> bool:
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class _UpdateSchedule:
    """Backoff between the requests for a newer version of one group."""

    def __init__(self) -> None:
        self._version = -1
        self._period_s = _FIRST_UPDATE_PERIOD_S
        self._next_at = 0.0

    def due(self, now: float, version: int) -> bool:
        if version != self._version:
            self._version = version
            self._period_s = _FIRST_UPDATE_PERIOD_S
            self._next_at = now
        if now < self._next_at:
            return False
        self._next_at = now + self._period_s * random.uniform(0.75, 1.25)
        self._period_s = min(self._period_s * 2, _LAST_UPDATE_PERIOD_S)
        return True


class OwnerRouter:
    """The `router` service: forwards each request to the member that owns its key."""

    name = "router"
    requires = ("catalogue", "groups", "peers", "membership", "execution")

    def __init__(self) -> None:
        self._listeners: list[RequestListener] = []
        self._waiting_count = 0
        self._members: dict[GroupId, dict[str, Member]] = {}
        self._update_schedules: dict[GroupId, _UpdateSchedule] = {}

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._groups = registry.find("groups", Groups)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        self._execution = registry.find("execution", Execution)
        routing_settings = registry.find("settings", Settings).routing
        self._max_attempts = routing_settings.attempts
        self._retry_budget = _RetryBudget(routing_settings.retry_percent)
        self._groups.subscribe(self)

    async def start(self) -> None:
        """Starts nothing: this service has no background task."""

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    def group_changed(self, group: VersionedGroup) -> None:
        """Drops the streams to removed members, so that requests in flight there are retried.

        The stream to a member that was leaving is only retired: the member has finished its
        requests, but its last responses may not have arrived yet.
        """
        previous_members = self._members.get(group.group.id, {})
        self._members[group.group.id] = group.group.members
        for member_id in previous_members.keys() - group.group.members.keys():
            if previous_members[member_id].state is MemberState.LEAVING:
                self._peers.retire(member_id)
            else:
                self._peers.drop(member_id)

    def subscribe(self, listener: RequestListener) -> None:
        """Registers a listener to be called at the end of each request."""
        self._listeners.append(listener)

    async def route(self, request: Request) -> Response:
        """Serves a request here or at its owner; see `Router.route`."""
        started_at = self._clock.now()
        try:
            response = await self._route(request)
            self._notify_listeners(request, None, started_at)
            return response
        except RefusalError as error:
            self._notify_listeners(request, error, started_at)
            _REQUEST_REFUSED.emit(
                request=request.id,
                service=request.service,
                key=request.key,
                code=error.code,
                label=error.label,
                outcome=error.outcome,
                reason=error,
            )
            raise

    def _notify_listeners(
        self, request: Request, error: RefusalError | None, started_at: float
    ) -> None:
        elapsed_s = self._clock.now() - started_at
        for listener in self._listeners:
            listener.request_ended(request.service, error, elapsed_s)

    async def _route(self, request: Request) -> Response:
        # Reasons of the attempts that may have run.
        unknown_outcomes: list[str] = []
        try:
            return await self._try_until_served(request, unknown_outcomes)
        except RefusalError as error:
            if unknown_outcomes and error.outcome is Outcome.NOT_RUN:
                # The last attempt did not run, but an earlier one may have.
                raise OutcomeLostError(
                    f"{unknown_outcomes[-1]}; then {error.label}: {error}"
                ) from error
            raise

    async def _try_until_served(self, request: Request, unknown_outcomes: list[str]) -> Response:
        entry = self._catalogue.entry(request.service).entry
        group_id = group_of(request.service, request.key, entry.groups)
        self._retry_budget.deposit()
        owner_hint: str | None = None
        followed_hints = 0
        retries = 0
        pause_s = _FIRST_PAUSE_S
        while True:
            view: VersionedGroup | None = None
            try:
                view = await self._group_view(group_id)
                return await self._send_to_owner(request, entry, view, owner_hint)
            except _UNSENT_ERRORS as error:
                label = error.label
                self._raise_unless_resendable(request, error)
                owner_hint = error.owner_id if isinstance(error, NotOwnerError) else None
                if owner_hint is not None and followed_hints < self._max_attempts:
                    # The refusing agent named the owner, so the request is sent there at once.
                    followed_hints += 1
                else:
                    owner_hint = None
                    await self._wait_for_owner(request, group_id, view, error, pause_s)
                    pause_s = min(pause_s * 2, _LAST_PAUSE_S)
                drop_traceback(error)
            except _BUDGETED_ERRORS as error:
                label = error.label
                if error.outcome is not Outcome.NOT_RUN:
                    unknown_outcomes.append(str(error))
                retries += 1
                if not self._may_retry(request, entry, error, retries):
                    raise
                owner_hint = None
                await self._pause(request, group_id, view, pause_s, error)
                pause_s = min(pause_s * 2, _LAST_PAUSE_S)
                drop_traceback(error)
            _REQUEST_RETRIED.emit(request=request.id, after=label)

    async def _send_to_owner(
        self, request: Request, entry: Entry, view: VersionedGroup, owner_hint: str | None
    ) -> Response:
        group = view.group
        shard_id = group.shard_of(request.key, entry.groups)
        shard = group.shards[shard_id] if shard_id < len(group.shards) else Shard()
        owner_id = owner_hint if owner_hint in group.members else shard.owner
        if owner_id is None:
            raise NoOwnerError(f"shard {shard_id} of {group.id} has no owner")
        if owner_id == self._membership.member_id:
            _REQUEST_LOCAL.emit(
                request=request.id, key=request.key, shard=shard_id, epoch=shard.epoch
            )
            return await self._execution.execute(request)
        owner = group.members.get(owner_id)
        if owner is None:
            raise NoOwnerError(f"the owner {owner_id} of shard {shard_id} has left the group")
        _REQUEST_FORWARDED.emit(
            request=request.id, key=request.key, shard=shard_id, epoch=shard.epoch, owner=owner_id
        )
        return await self._peers.forward(owner, request)

    async def _group_view(self, group_id: GroupId) -> VersionedGroup:
        view = self._groups.view(group_id)
        if view is None:
            if self._update_schedule(group_id).due(self._clock.now(), 0):
                await self._groups.update(group_id)
            view = self._groups.view(group_id)
        if view is None:
            raise NoOwnerError(f"group {group_id} has no members or could not be read")
        return view

    def _update_schedule(self, group_id: GroupId) -> _UpdateSchedule:
        schedule = self._update_schedules.get(group_id)
        if schedule is None:
            schedule = self._update_schedules[group_id] = _UpdateSchedule()
        return schedule

    def _raise_unless_resendable(self, request: Request, error: RefusalError) -> None:
        # A body that was read in part cannot be sent again, even if no upstream received it.
        if request.body.started or request.deadline <= self._clock.now():
            raise error

    async def _wait_for_owner(
        self,
        request: Request,
        group_id: GroupId,
        view: VersionedGroup | None,
        error: RefusalError,
        pause_s: float,
    ) -> None:
        if self._waiting_count >= _MAX_WAITING:
            raise error
        self._waiting_count += 1
        try:
            newer_version = await self._pause(request, group_id, view, pause_s, error)
            # Newer versions of the agent's own group arrive with its lease renewals, without a
            # request.
            if view is None or newer_version or group_id == self._membership.own_group_id:
                return
            if self._update_schedule(group_id).due(self._clock.now(), view.version):
                await self._groups.update(group_id)
        finally:
            self._waiting_count -= 1

    async def _pause(
        self,
        request: Request,
        group_id: GroupId,
        view: VersionedGroup | None,
        pause_s: float,
        error: RefusalError,
    ) -> bool:
        """Waits for a newer group version, at most for `pause_s` with jitter.

        Returns:
            Whether a newer version arrived.

        Raises:
            RefusalError: The deadline passed; this is `error`.
        """
        remaining_s = request.deadline - self._clock.now()
        if remaining_s <= 0:
            raise error
        wait_s = min(pause_s * random.uniform(0.5, 1.0), remaining_s)
        version = view.version if view is not None else 0
        newer_version = await self._groups.wait_until_newer(group_id, version, wait_s)
        if request.deadline <= self._clock.now():
            raise error
        return newer_version

    def _may_retry(
        self, request: Request, entry: Entry, error: RefusalError, retries: int
    ) -> bool:
        safe = error.outcome is Outcome.NOT_RUN or entry.request_class is RequestClass.REPEATABLE
        if not safe or request.body.started or retries >= self._max_attempts:
            return False
        if request.deadline <= self._clock.now():
            if error.outcome is Outcome.NOT_RUN:
                raise DeadlineExceededError("the deadline passed") from error
            return False
        return self._retry_budget.try_withdraw()
