"""Routing: finds the owner of a key, runs the request there and retries where that is safe."""

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

_LOCAL = Event(3501, "request_local", Level.DEBUG, "This agent owns the key; 3401 follows.")
_FORWARDED = Event(
    3502, "request_forwarded", Level.INFO, "The request goes to the key's owner.", frequent=True
)
_RETRIED = Event(3503, "request_retried", Level.INFO, "The request is tried again.", frequent=True)
_REFUSED = Event(
    3504, "request_refused", Level.INFO, "The request is refused with a code.", frequent=True
)

# Pauses double from the first to the last. A newer group version ends a pause that waits for an
# owner, so the last one only bounds the load of requests whose owner does not come back.
_FIRST_PAUSE_S = 0.05
_LAST_PAUSE_S = 0.8
# How often a group is asked for a newer version while requests wait for an owner: the period
# doubles from the first to the last and starts again when a newer version is seen.
_FIRST_UPDATE_S = 0.1
_LAST_UPDATE_S = 2.0
# Requests that wait for an owner; more are refused so that an outage does not fill the memory.
_WAITING_LIMIT = 5_000
# Retries that can be saved up. More would be spent together when an upstream begins to fail, and
# the attempts of that time would exceed the share.
_SAVED_RETRIES = 1.0
# Part of the share that is earned; the rest makes up for the saved retry.
_EARNED = 0.95

# No upstream has seen the request, so another attempt costs no upstream work.
_REDIRECTS = (
    DrainingError,
    LeaseExpiredError,
    NoOwnerError,
    NotOwnerError,
    OwnerUnreachableError,
    ShardMovingError,
    UpstreamUnavailableError,
)
# The request has reached an upstream, so another attempt needs the budget.
_RETRIES = (AnswerLostError, OutcomeLostError, UpstreamRefusedError)


class _Budget:
    """Permits a share of retries: never more in total than that share of all requests."""

    def __init__(self, percent: int) -> None:
        self._share = percent / 100 * _EARNED
        self._tokens = 0.0

    def earn(self) -> None:
        self._tokens = min(self._tokens + self._share, _SAVED_RETRIES)

    def spend(self) -> bool:
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class _UpdatePace:
    """When a group may be asked for a newer version again."""

    def __init__(self) -> None:
        self._version = -1
        self._period_s = _FIRST_UPDATE_S
        self._next_at = 0.0

    def due(self, now: float, version: int) -> bool:
        if version != self._version:
            self._version = version
            self._period_s = _FIRST_UPDATE_S
            self._next_at = now
        if now < self._next_at:
            return False
        self._next_at = now + self._period_s * random.uniform(0.75, 1.25)
        self._period_s = min(self._period_s * 2, _LAST_UPDATE_S)
        return True


class OwnerRouter:
    """The `router` service."""

    name = "router"
    requires = ("catalogue", "groups", "peers", "membership", "execution")

    def __init__(self) -> None:
        self._listeners: list[RequestListener] = []
        self._waiting = 0
        self._members: dict[GroupId, dict[str, Member]] = {}
        self._paces: dict[GroupId, _UpdatePace] = {}

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._groups = registry.find("groups", Groups)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        self._execution = registry.find("execution", Execution)
        section = registry.find("settings", Settings).routing
        self._attempts = section.attempts
        self._budget = _Budget(section.retry_percent)
        self._groups.subscribe(self)

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    def group_changed(self, group: VersionedGroup) -> None:
        """Ends the streams to members that were removed, so that waiting requests are retried.

        A member that was leaving has finished its requests, and the last responses may still be
        on their way here.
        """
        before = self._members.get(group.group.id, {})
        self._members[group.group.id] = group.group.members
        for member_id in before.keys() - group.group.members.keys():
            if before[member_id].state is MemberState.LEAVING:
                self._peers.retire(member_id)
            else:
                self._peers.drop(member_id)

    def subscribe(self, listener: RequestListener) -> None:
        """Tells a service of the end of each request from now on."""
        self._listeners.append(listener)

    async def route(self, request: Request) -> Response:
        """Serves a request here or at its owner; see `Router.route`."""
        started = self._clock.now()
        try:
            response = await self._route(request)
            self._tell_listeners(request, None, started)
            return response
        except RefusalError as error:
            self._tell_listeners(request, error, started)
            _REFUSED.emit(
                request=request.id,
                service=request.service,
                key=request.key,
                code=error.code,
                label=error.label,
                outcome=error.outcome,
                reason=error,
            )
            raise

    def _tell_listeners(
        self, request: Request, error: RefusalError | None, started: float
    ) -> None:
        seconds = self._clock.now() - started
        for listener in self._listeners:
            listener.request_ended(request.service, error, seconds)

    async def _route(self, request: Request) -> Response:
        unknown: list[RefusalError] = []
        try:
            return await self._try_until_served(request, unknown)
        except RefusalError as error:
            if unknown and error.outcome is Outcome.NOT_RUN:
                # The last attempt did not run, but an earlier one may have.
                raise OutcomeLostError(f"{unknown[-1]}; then {error.label}: {error}") from error
            raise

    async def _try_until_served(self, request: Request, unknown: list[RefusalError]) -> Response:
        entry = self._catalogue.entry(request.service).entry
        group_id = group_of(request.service, request.key, entry.groups)
        self._budget.earn()
        hint: str | None = None
        hints = 0
        retries = 0
        pause_s = _FIRST_PAUSE_S
        while True:
            view: VersionedGroup | None = None
            last: RefusalError
            try:
                view = await self._load(group_id)
                return await self._attempt(request, entry, view, hint)
            except _REDIRECTS as error:
                last = error
                self._check_resend(request, error)
                hint = error.owner_id if isinstance(error, NotOwnerError) else None
                if hint is not None and hints < self._attempts:
                    # The refusing agent knows the owner; each hint is followed at once.
                    hints += 1
                else:
                    hint = None
                    await self._await_owner(request, group_id, view, error, pause_s)
                    pause_s = min(pause_s * 2, _LAST_PAUSE_S)
            except _RETRIES as error:
                last = error
                if error.outcome is not Outcome.NOT_RUN:
                    unknown.append(error)
                retries += 1
                if not self._may_retry(request, entry, error, retries):
                    raise
                hint = None
                await self._pause(request, group_id, view, pause_s, error)
                pause_s = min(pause_s * 2, _LAST_PAUSE_S)
            _RETRIED.emit(request=request.id, after=last.label)

    async def _attempt(
        self, request: Request, entry: Entry, view: VersionedGroup, hint: str | None
    ) -> Response:
        group = view.group
        shard_id = group.shard_of(request.key, entry.groups)
        shard = group.shards[shard_id] if shard_id < len(group.shards) else Shard()
        owner_id = hint if hint in group.members else shard.owner
        if owner_id is None:
            raise NoOwnerError(f"shard {shard_id} of {group.id} has no owner")
        if owner_id == self._membership.member_id:
            _LOCAL.emit(request=request.id, key=request.key, shard=shard_id, epoch=shard.epoch)
            return await self._execution.execute(request)
        owner = group.members.get(owner_id)
        if owner is None:
            raise NoOwnerError(f"the owner {owner_id} of shard {shard_id} has left")
        _FORWARDED.emit(
            request=request.id, key=request.key, shard=shard_id, epoch=shard.epoch, owner=owner_id
        )
        return await self._peers.forward(owner, request)

    async def _load(self, group_id: GroupId) -> VersionedGroup:
        view = self._groups.view(group_id)
        if view is None:
            if self._pace(group_id).due(self._clock.now(), 0):
                await self._groups.update(group_id)
            view = self._groups.view(group_id)
        if view is None:
            raise NoOwnerError(f"group {group_id} has no members or could not be read")
        return view

    def _pace(self, group_id: GroupId) -> _UpdatePace:
        pace = self._paces.get(group_id)
        if pace is None:
            pace = self._paces[group_id] = _UpdatePace()
        return pace

    def _check_resend(self, request: Request, error: RefusalError) -> None:
        # A body that has begun is gone, also if no upstream has seen it.
        if request.body.started or request.deadline <= self._clock.now():
            raise error

    async def _await_owner(
        self,
        request: Request,
        group_id: GroupId,
        view: VersionedGroup | None,
        error: RefusalError,
        pause_s: float,
    ) -> None:
        if self._waiting >= _WAITING_LIMIT:
            raise error
        self._waiting += 1
        try:
            changed = await self._pause(request, group_id, view, pause_s, error)
            # The agent's own group arrives by its renewals and needs no question.
            if view is None or changed or group_id == self._membership.home:
                return
            if self._pace(group_id).due(self._clock.now(), view.version):
                await self._groups.update(group_id)
        finally:
            self._waiting -= 1

    async def _pause(
        self,
        request: Request,
        group_id: GroupId,
        view: VersionedGroup | None,
        pause_s: float,
        error: RefusalError,
    ) -> bool:
        """Waits for a newer group version, at most for a pause with jitter.

        Returns:
            Whether a newer version was seen.
        """
        remaining_s = request.deadline - self._clock.now()
        if remaining_s <= 0:
            raise error
        wait_s = min(pause_s * random.uniform(0.5, 1.0), remaining_s)
        version = view.version if view is not None else 0
        changed = await self._groups.changed(group_id, version, wait_s)
        if request.deadline <= self._clock.now():
            raise error
        return changed

    def _may_retry(
        self, request: Request, entry: Entry, error: RefusalError, retries: int
    ) -> bool:
        safe = error.outcome is Outcome.NOT_RUN or entry.request_class is RequestClass.REPEATABLE
        if not safe or request.body.started or retries >= self._attempts:
            return False
        if request.deadline <= self._clock.now():
            if error.outcome is Outcome.NOT_RUN:
                raise DeadlineExceededError("the deadline passed") from error
            return False
        return self._budget.spend()
