"""Routing of configured services: choice of the member, retries and refusals."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import replace

from cachetools import TTLCache

from ...interfaces import (
    CallListener,
    Execution,
    Groups,
    Membership,
    Peers,
    Returns,
    Routes,
    Shutdown,
)
from ...interfaces.metrics import RequestListener
from ...kernel import Clock, Event, Level, Outcome, RefusalError, Registry
from ...kernel.bounds import Bounds
from ...kernel.errors import (
    AnswerLostError,
    DeadlineExceededError,
    EvacuatedError,
    NoOwnerError,
    NotOwnerError,
    OutcomeLostError,
    OverloadedError,
    OwnerUnreachableError,
    QuarantinedError,
    ShardMovingError,
    UpstreamRefusedError,
)
from ...kernel.settings import Settings
from ...kernel.tracebacks import drop_traceback
from ...messages import GroupId, Member, MemberState, Request, Response, VersionedGroup
from ..evacuation import find_evacuations
from .balancer import Balancer, RequestProfile
from .budget import RetryBudget
from .outages import OwnerOutages
from .owner_waits import OwnerWaits
from .search import SlotSearch

_REQUEST_SENT = Event(
    3510,
    "request_sent",
    Level.INFO,
    "The request is sent to the agent of an upstream.",
    frequent=True,
)
_REQUEST_SENT_AGAIN = Event(
    3511,
    "request_sent_again",
    Level.INFO,
    "The request is retried after a refusal or failure.",
    frequent=True,
)
_REQUEST_NOT_SERVED = Event(
    3512,
    "request_not_served",
    Level.INFO,
    "The request is refused or has failed.",
    frequent=True,
)

# Attempts after which a request without a key is refused if no agent has run it.
_MAX_SENDS_WITHOUT_RUN = 6
# Of these, the first that look for an upstream whose response is not late. The next one accepts a
# late response.
_SENDS_FOR_TIMELY_RESPONSE = 2
# Share of the time to its deadline that a request waits for an owner of its key.
_OWNER_WAIT_SHARE = 0.5
# Retry-After of a request that is refused because its key has no owner.
_NO_OWNER_RETRY_AFTER_S = 0.25
# Retry-After of a request that is refused because all its upstreams are in evacuated failure
# domains, which lasts until the operator ends an evacuation.
_EVACUATED_RETRY_AFTER_S = 1.0
# Retry-After of a refusal that names none.
_DEFAULT_RETRY_AFTER_S = 0.1
# Starts of upstreams that leave are remembered until they have ended.
_DEPARTED_S = 120.0
_MAX_DEPARTED = 4_096
# With less time than this to the deadline, a request is not sent: no upstream could run it.
_MIN_RUN_S = 0.01

# Retry-After while many owners are unreachable: a fleet that starts needs about two such times.
_OUTAGE_RETRY_AFTER_S = 0.5

# The key has no owner, or its owner cannot be reached.
_NO_OWNER_ERRORS = (NoOwnerError, OwnerUnreachableError)
# The request may have reached an upstream, so another attempt needs the retry budget.
_BUDGETED_ERRORS = (AnswerLostError, OutcomeLostError, UpstreamRefusedError)


class DispatchRouter:
    """The `router` service for services with numeric keys and services without keys."""

    name = "router"
    requires = ("routes", "groups", "peers", "membership", "execution", "shutdown", "returns")

    def __init__(self) -> None:
        self._listeners: list[RequestListener] = []
        self._call_listener: CallListener | None = None
        self._budgets: dict[str, RetryBudget] = {}
        self._balancers: dict[str, Balancer] = {}
        self._members: dict[GroupId, dict[str, Member]] = {}
        self._searches: defaultdict[str, SlotSearch] = defaultdict(SlotSearch)
        self._outages: defaultdict[str, OwnerOutages] = defaultdict(OwnerOutages)

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        # Starts of upstreams that leave, as their agents said. An agent that restarts forgets it.
        self._departed_starts: TTLCache[str, bool] = TTLCache(
            _MAX_DEPARTED, _DEPARTED_S, self._clock.now
        )
        self._bounds = registry.find("bounds", Bounds)
        self._groups = registry.find("groups", Groups)
        self._owner_waits = OwnerWaits(self._clock, self._groups)
        self._routes = registry.find("routes", Routes)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        self._execution = registry.find("execution", Execution)
        self._shutdown = registry.find("shutdown", Shutdown)
        self._returns = registry.find("returns", Returns)
        self._evacuations = find_evacuations(registry)
        self._failure_domain = registry.find("settings", Settings).agent.failure_domain
        self._groups.subscribe(self)

    async def start(self) -> None:
        """Starts nothing: this service has no background task."""

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    def subscribe(self, listener: RequestListener) -> None:
        """Registers a listener to be called at the end of each request."""
        self._listeners.append(listener)

    def watch_calls(self, listener: CallListener) -> None:
        """Asks the listener whether a request is a call; see `CallSource.watch_calls`."""
        self._call_listener = listener

    def group_changed(self, group: VersionedGroup) -> None:
        """Retires the streams to removed members; their last responses may still arrive."""
        previous_members = self._members.get(group.group.id, {})
        self._members[group.group.id] = group.group.members
        for member_id in previous_members.keys() - group.group.members.keys():
            self._peers.retire(member_id)

    async def route(self, request: Request) -> Response:
        """Serves a request here or at another agent; see `Router.route`.

        Raises:
            RefusalError: The request is refused or failed.
        """
        started_at = self._clock.now()
        if self._call_listener is not None and self._call_listener.arrived(request):
            request = replace(request, inner=True)
        self._budget(request.service).deposit(started_at)
        if self._returns.is_returning(request):
            request = replace(request, returning=True)
        # Reasons of the attempts that may have run.
        unknown_outcomes: list[str] = []
        try:
            response = await self._serve(request, unknown_outcomes)
        except RefusalError as error:
            if unknown_outcomes and error.outcome is Outcome.NOT_RUN:
                # The last attempt did not run, but an earlier one may have.
                outcome_error = OutcomeLostError(
                    f"{unknown_outcomes[-1]}; then {error.label}: {error}"
                )
                self._report_failure(request, outcome_error, started_at)
                raise outcome_error from error
            if error.outcome is Outcome.NOT_RUN:
                retry_after_s = error.retry_after_s or _DEFAULT_RETRY_AFTER_S
                error.retry_after_s = self._returns.told(request, retry_after_s)
            self._report_failure(request, error, started_at)
            raise
        self._notify_listeners(request, None, started_at)
        return response

    def _report_failure(self, request: Request, error: RefusalError, started_at: float) -> None:
        self._notify_listeners(request, error, started_at)
        _REQUEST_NOT_SERVED.emit(
            request=request.id,
            service=request.service,
            key=request.key,
            code=error.code,
            label=error.label,
            outcome=error.outcome,
            reason=error,
            retry_after_s=error.retry_after_s,
            left_ms=round((request.deadline - self._clock.now()) * 1000),
        )

    def _notify_listeners(
        self, request: Request, error: RefusalError | None, started_at: float
    ) -> None:
        elapsed_s = self._clock.now() - started_at
        for listener in self._listeners:
            listener.request_ended(request.service, error, elapsed_s)
        if request.inner and self._call_listener is not None:
            self._call_listener.call_ended(request, error, elapsed_s)

    async def _serve(self, request: Request, unknown_outcomes: list[str]) -> Response:
        started_at = self._clock.now()
        owner_wait_until = started_at + (request.deadline - started_at) * _OWNER_WAIT_SHARE
        tried: frozenset[str] = frozenset()
        owner_hint: str | None = None
        sends = 0
        attempts = 0
        search = None if request.key else self._searches[request.service]
        seeks_free_slot = search is not None and search.begin()
        while True:
            if request.deadline - self._clock.now() < _MIN_RUN_S:
                raise DeadlineExceededError("the deadline passed before an upstream was available")
            # Each attempt is begun only if this agent can pass on its response.
            self._shutdown.check(request.deadline)
            view = self._groups.view(GroupId(request.service, 0))
            try:
                member = self._choose(request, view, tried, owner_hint)
                sends += 1
                searching = sends <= _SENDS_FOR_TIMELY_RESPONSE and (
                    not request.key and self._has_others(view, tried | {member.id})
                )
                seeks_free_slot = seeks_free_slot and searching
                response = await self._send(
                    replace(request, has_alternatives=searching, seeks_free_slot=seeks_free_slot),
                    member,
                )
                if search is not None and seeks_free_slot:
                    search.record(refused=False)
                return response
            except _BUDGETED_ERRORS as error:
                attempts += 1
                label, reason = error.label, str(error)
                if error.outcome is not Outcome.NOT_RUN:
                    unknown_outcomes.append(reason)
                if not self._may_retry(request, error, attempts):
                    raise
                drop_traceback(error)
                tried |= {member.id}
                request = replace(request, repeated=True)
            except RefusalError as error:
                if error.outcome is not Outcome.NOT_RUN:
                    raise
                label, reason = error.label, str(error)
                if isinstance(error, DeadlineExceededError | QuarantinedError):
                    raise
                if search is not None and seeks_free_slot:
                    search.record(refused=isinstance(error, OverloadedError))
                if isinstance(error, EvacuatedError) and not self._has_others(
                    view, tried | {member.id}
                ):
                    raise
                owner_hint = error.owner_id if isinstance(error, NotOwnerError) else None
                if request.key:
                    if isinstance(error, OverloadedError) or self._clock.now() >= owner_wait_until:
                        raise
                    if isinstance(error, _NO_OWNER_ERRORS) and self._is_outage(request.service):
                        error.retry_after_s = _OUTAGE_RETRY_AFTER_S
                        raise
                    if owner_hint is None:
                        moving = isinstance(error, ShardMovingError)
                        await self._owner_waits.wait(request, view, moving, owner_wait_until)
                elif isinstance(error, NoOwnerError) or sends >= _MAX_SENDS_WITHOUT_RUN:
                    raise
                else:
                    tried |= {member.id}
                drop_traceback(error)
            _REQUEST_SENT_AGAIN.emit(
                request=request.id,
                after=label,
                reason=reason,
                tried=",".join(sorted(tried)),
                attempts=attempts,
            )

    def _is_outage(self, service: str) -> bool:
        return self._outages[service].widespread(self._clock.now())

    def _choose(
        self,
        request: Request,
        view: VersionedGroup | None,
        tried: frozenset[str],
        owner_hint: str | None,
    ) -> Member:
        if view is None or not view.group.members:
            raise NoOwnerError(
                f"{request.service!r} has no members", retry_after_s=_NO_OWNER_RETRY_AFTER_S
            )
        members = view.group.members
        if not request.key:
            now = self._clock.now()
            useful_ms = ((request.useful_until or request.deadline) - now) * 1000
            profile = RequestProfile(
                request.body.length or 0, useful_ms, request.route, request.delays_others
            )
            balancer = self._balancer(request.service)
            evacuated = self._evacuations.domains
            candidates: Iterable[Member] = members.values()
            if evacuated:
                candidates = [
                    candidate
                    for candidate in candidates
                    if candidate.failure_domain not in evacuated
                ]
            member = balancer.choose(candidates, tried, now, profile)
            if member is None:
                raise self._no_candidate_error(request.service, view)
            return member
        key_range = view.group.range_of(int(request.key))
        owner_id = (
            owner_hint
            if owner_hint in members
            else (key_range.owner if key_range is not None else None)
        )
        if owner_id is None or owner_id not in members:
            raise NoOwnerError(
                f"key {request.key} has no owner", retry_after_s=_NO_OWNER_RETRY_AFTER_S
            )
        return members[owner_id]

    def _has_others(self, view: VersionedGroup | None, tried: frozenset[str]) -> bool:
        """Returns whether a request without a key can be sent to a member that was not tried."""
        evacuated = self._evacuations.domains
        return view is not None and any(
            member.state is MemberState.ACTIVE
            and member.id not in tried
            and member.failure_domain not in evacuated
            for member in view.group.members.values()
        )

    def _no_candidate_error(self, service: str, view: VersionedGroup) -> NoOwnerError:
        evacuated = self._evacuations.domains
        if any(member.failure_domain in evacuated for member in view.group.members.values()):
            return NoOwnerError(
                f"all other members of {service!r} are in evacuated failure domains",
                retry_after_s=_EVACUATED_RETRY_AFTER_S,
            )
        return NoOwnerError(
            f"no other member of {service!r} is active", retry_after_s=_NO_OWNER_RETRY_AFTER_S
        )

    async def _send(self, request: Request, member: Member) -> Response:
        _REQUEST_SENT.emit(
            request=request.id,
            service=request.service,
            key=request.key,
            member=member.id,
            left_ms=round((request.deadline - self._clock.now()) * 1000),
            repeated=request.repeated,
        )
        started_at = self._clock.now()
        balancer = self._balancer(request.service)
        balancer.record_start(member.id)
        occupancy = None
        run_ms = None
        response_bytes = 0
        try:
            if member.id == self._membership.member_id:
                response = await self._execution.execute(request)
            else:
                departed_start = (
                    member.instance if member.instance in self._departed_starts else ""
                )
                response = await self._forward(
                    replace(request, departed_start=departed_start), member
                )
            occupancy = response.occupancy
            run_ms = (self._clock.now() - started_at) * 1000
            response_bytes = response.body.length or 0
            self._outages[request.service].record(member.id, True, self._clock.now())
            return response
        except RefusalError as error:
            occupancy = error.occupancy
            unreachable = isinstance(error, OwnerUnreachableError)
            self._outages[request.service].record(member.id, not unreachable, self._clock.now())
            if error.outcome is Outcome.NOT_RUN:
                balancer.avoid(member.id, self._clock.now(), unreachable)
            raise
        finally:
            if occupancy is not None and occupancy.leaving and member.instance:
                self._departed_starts[member.instance] = True
            balancer.record_end(
                member.id, occupancy, run_ms, self._clock.now(), response_bytes, request.route
            )

    async def _forward(self, request: Request, member: Member) -> Response:
        try:
            return await self._peers.forward(member, request)
        except OwnerUnreachableError:
            # An agent that restarts while the platform is unavailable cannot join its group, but
            # its upstream can serve requests without keys.
            restarted_member = member.any_incarnation()
            if request.key or not self._peers.dial(restarted_member):
                raise
        return await self._peers.forward(restarted_member, request)

    def _may_retry(self, request: Request, error: RefusalError, attempts: int) -> bool:
        safe = error.outcome is Outcome.NOT_RUN or request.repeatable
        if not safe or attempts >= request.attempts:
            return False
        if request.deadline - self._clock.now() < _MIN_RUN_S:
            return False
        now = self._clock.now()
        return self._budget(request.service).try_withdraw(now, self._agent_count())

    def _agent_count(self) -> int:
        return sum(len(members) for members in self._members.values())

    def _balancer(self, service: str) -> Balancer:
        balancer = self._balancers.get(service)
        if balancer is None:
            balancer = self._balancers[service] = Balancer(self._failure_domain)
        return balancer

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._bounds)
        return budget
