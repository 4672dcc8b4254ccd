"""Routing: finds the owner of a key, runs the request there and retries where that is safe."""

from __future__ import annotations

from ..interfaces import Catalogue, Execution, Groups, Membership, Peers
from ..interfaces.metrics import RequestListener
from ..kernel import Clock, Event, Level, Outcome, RefusalError, Registry
from ..kernel.errors import (
    DeadlineExceededError,
    DrainingError,
    LeaseExpiredError,
    NoOwnerError,
    NotOwnerError,
    ObjectNotFoundError,
    OutcomeLostError,
    OwnerUnreachableError,
    PlatformError,
    ShardMovingError,
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

_LOCAL = Event(3501, "request_local", Level.INFO, "This agent owns the key and runs the request.")
_FORWARDED = Event(3502, "request_forwarded", Level.INFO, "The request goes to the key's owner.")
_RETRIED = Event(3503, "request_retried", Level.INFO, "The request is tried again.")
_REFUSED = Event(3504, "request_refused", Level.INFO, "The request is refused with a code.")

# How long a request waits for a newer group version before it asks for one.
_VIEW_WAIT_S = 0.05
# Requests that wait for an owner; more are refused so that an outage does not fill the memory.
_WAITING_LIMIT = 5_000

# These say that no upstream has seen the request, so trying again costs no upstream work.
_REDIRECTS = (
    NotOwnerError,
    OwnerUnreachableError,
    LeaseExpiredError,
    NoOwnerError,
    DrainingError,
    ShardMovingError,
)


class _Budget:
    """Permits a share of retries; a token bucket that requests fill and retries empty."""

    def __init__(self, percent: int) -> None:
        self._share = percent / 100
        self._tokens = 10.0

    def earn(self) -> None:
        self._tokens = min(self._tokens + self._share, 100.0)

    def spend(self) -> bool:
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class OwnerRouter:
    """The `router` service."""

    name = "router"
    requires = ("catalogue", "groups", "peers", "membership", "execution")

    def __init__(self) -> None:
        self._listeners: list[RequestListener] = []
        self._waiting = 0
        self._members: dict[GroupId, dict[str, Member]] = {}

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
            )
            raise

    def _tell_listeners(
        self, request: Request, error: RefusalError | None, started: float
    ) -> None:
        seconds = self._clock.now() - started
        for listener in self._listeners:
            listener.request_ended(request.service, error, seconds)

    async def _route(self, request: Request) -> Response:
        entry = self._catalogue.entry(request.service).entry
        group_id = group_of(request.service, request.key, entry.groups)
        self._budget.earn()
        hint: str | None = None
        attempt = 1
        while True:
            view = await self._load(group_id)
            try:
                return await self._attempt(request, entry, view, hint)
            except _REDIRECTS as error:
                last: RefusalError = error
                hint = error.owner_id if isinstance(error, NotOwnerError) else None
                await self._await_owner(request, group_id, view, error, bool(hint))
            except (UpstreamUnavailableError, OutcomeLostError) as error:
                last = error
                attempt += 1
                if not self._may_retry(request, entry, error, attempt):
                    raise
            _RETRIED.emit(request=request.id, attempt=attempt, after=last.label)

    async def _attempt(
        self, request: Request, entry: Entry, view: VersionedGroup, hint: str | None
    ) -> Response:
        shard_id = view.group.shard_of(request.key, entry.groups)
        shard = view.group.shards[shard_id] if shard_id < len(view.group.shards) else Shard()
        owner_id = hint if hint in view.group.members else shard.owner
        if owner_id is None:
            raise NoOwnerError(f"shard {shard_id} of {view.group.id} has no owner")
        if owner_id == self._membership.member_id:
            _LOCAL.emit(request=request.id, key=request.key, shard=shard_id, epoch=shard.epoch)
            return await self._execution.execute(request)
        owner = view.group.members.get(owner_id)
        if owner is None:
            raise NoOwnerError(f"the owner {owner_id} of shard {shard_id} has left")
        _FORWARDED.emit(
            request=request.id, key=request.key, shard=shard_id, epoch=shard.epoch, owner=owner_id
        )
        return await self._peers.forward(owner, request)

    async def _load(self, group_id: GroupId) -> VersionedGroup:
        try:
            return await self._groups.load(group_id)
        except ObjectNotFoundError:
            raise NoOwnerError(f"group {group_id} has no members yet") from None
        except PlatformError as error:
            raise NoOwnerError(f"group {group_id} could not be read: {error}") from error

    async def _await_owner(
        self,
        request: Request,
        group_id: GroupId,
        view: VersionedGroup,
        error: RefusalError,
        hinted: bool,
    ) -> None:
        remaining_s = request.deadline - self._clock.now()
        if remaining_s <= 0 or self._waiting >= _WAITING_LIMIT or request.body.started:
            raise error
        if hinted:
            return
        self._waiting += 1
        try:
            wait_s = min(_VIEW_WAIT_S, remaining_s)
            if not await self._groups.changed(group_id, view.version, wait_s):
                if request.deadline <= self._clock.now():
                    raise error
                if group_id != self._membership.home:
                    await self._groups.update(group_id)
        finally:
            self._waiting -= 1

    def _may_retry(
        self, request: Request, entry: Entry, error: RefusalError, attempt: int
    ) -> bool:
        safe = error.outcome is Outcome.NOT_RUN or entry.request_class is RequestClass.REPEATABLE
        if not safe or request.body.started or attempt > self._attempts:
            return False
        if request.deadline <= self._clock.now():
            raise DeadlineExceededError("the deadline passed") from error
        return self._budget.spend()
