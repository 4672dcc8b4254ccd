"""Routing of requests that a configuration describes: choice, repetition and refusal."""

from __future__ import annotations

from dataclasses import replace

from ...interfaces import Execution, Groups, Membership, Peers, Routes
from ...interfaces.metrics import RequestListener
from ...kernel import Clock, Event, Level, Outcome, RefusalError, Registry
from ...kernel.bounds import Bounds
from ...kernel.errors import (
    AnswerLostError,
    DeadlineExceededError,
    NoOwnerError,
    NotOwnerError,
    OutcomeLostError,
    OverloadedError,
    OwnerUnreachableError,
    QuarantinedError,
    UpstreamRefusedError,
)
from ...kernel.settings import Settings
from ...messages import GroupId, Member, Request, Response, VersionedGroup
from .balancer import Ask, Balancer
from .budget import RetryBudget

_SENT = Event(
    3510, "request_sent", Level.INFO, "The request goes to an upstream's agent.", frequent=True
)
_AGAIN = Event(
    3511, "request_sent_again", Level.INFO, "Another upstream gets the request.", frequent=True
)
_REFUSED = Event(
    3512,
    "request_not_served",
    Level.INFO,
    "The request is answered with a failure.",
    frequent=True,
)

# Most agents that one request is offered to while none of them runs it.
_OFFERS = 6
# Pause before the owner of a key is looked up again, in seconds, while the key changes hands.
_OWNER_PAUSE_S = 0.05
# A request waits for the owner of its key for at most this share of the time it has.
_OWNER_WAIT_SHARE = 0.5
# When a caller should come back that was refused for want of an owner, in seconds.
_OWNER_RETRY_S = 0.25
# Shortest time in which an upstream can do anything useful, in seconds.
_LEAST_RUN_S = 0.01

# The upstream may have seen the request.
_REPEATS = (AnswerLostError, OutcomeLostError, UpstreamRefusedError)


class DispatchRouter:
    """The `router` service for services with numeric keys and services without keys."""

    name = "router"
    requires = ("routes", "groups", "peers", "membership", "execution")

    def __init__(self) -> None:
        self._listeners: list[RequestListener] = []
        self._budgets: dict[str, RetryBudget] = {}
        self._members: dict[GroupId, dict[str, Member]] = {}

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._bounds = registry.find("bounds", Bounds)
        self._groups = registry.find("groups", Groups)
        self._routes = registry.find("routes", Routes)
        self._peers = registry.find("peers", Peers)
        self._membership = registry.find("membership", Membership)
        self._execution = registry.find("execution", Execution)
        self._balancer = Balancer(registry.find("settings", Settings).agent.failure_domain)
        self._groups.subscribe(self)

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    def subscribe(self, listener: RequestListener) -> None:
        """Tells a service of the end of each request from now on."""
        self._listeners.append(listener)

    def group_changed(self, group: VersionedGroup) -> None:
        """Ends the streams to members that are gone; their last answers may still arrive."""
        before = self._members.get(group.group.id, {})
        self._members[group.group.id] = group.group.members
        for member_id in before.keys() - group.group.members.keys():
            self._peers.retire(member_id)

    async def route(self, request: Request) -> Response:
        """Serves a request here or at another agent; see `Router.route`.

        Raises:
            RefusalError: The request is refused or failed.
        """
        started = self._clock.now()
        self._budget(request.service).earn(started)
        unknown: list[RefusalError] = []
        try:
            response = await self._serve(request, unknown)
        except RefusalError as error:
            if unknown and error.outcome is Outcome.NOT_RUN:
                # The last attempt did not run, but an earlier one may have.
                lost = OutcomeLostError(f"{unknown[-1]}; then {error.label}: {error}")
                self._report(request, lost, started)
                raise lost from error
            self._report(request, error, started)
            raise
        self._tell_listeners(request, None, started)
        return response

    def _report(self, request: Request, error: RefusalError, started: float) -> None:
        self._tell_listeners(request, error, started)
        _REFUSED.emit(
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

    def _tell_listeners(
        self, request: Request, error: RefusalError | None, started: float
    ) -> None:
        seconds = self._clock.now() - started
        for listener in self._listeners:
            listener.request_ended(request.service, error, seconds)

    async def _serve(self, request: Request, unknown: list[RefusalError]) -> Response:
        began = self._clock.now()
        owner_until = began + (request.deadline - began) * _OWNER_WAIT_SHARE
        tried: frozenset[str] = frozenset()
        hint: str | None = None
        offers = 0
        attempts = 0
        while True:
            if request.deadline - self._clock.now() < _LEAST_RUN_S:
                raise DeadlineExceededError("the deadline passed before an upstream was found")
            view = self._groups.view(GroupId(request.service, 0))
            try:
                member = self._choose(request, view, tried, hint)
                offers += 1
                return await self._send(request, member)
            except _REPEATS as error:
                attempts += 1
                last: RefusalError = error
                if error.outcome is not Outcome.NOT_RUN:
                    unknown.append(error)
                if not self._may_repeat(request, error, attempts):
                    raise
                tried |= {member.id}
                request = replace(request, repeated=True)
            except RefusalError as error:
                if error.outcome is not Outcome.NOT_RUN:
                    raise
                last = error
                if isinstance(error, DeadlineExceededError | QuarantinedError):
                    raise
                hint = error.owner_id if isinstance(error, NotOwnerError) else None
                if request.key:
                    if isinstance(error, OverloadedError) or self._clock.now() >= owner_until:
                        raise
                    if hint is None:
                        version = view.version if view is not None else 0
                        await self._groups.changed(
                            GroupId(request.service, 0), version, _OWNER_PAUSE_S
                        )
                elif isinstance(error, NoOwnerError) or offers >= _OFFERS:
                    raise
                else:
                    tried |= {member.id}
            _AGAIN.emit(
                request=request.id,
                after=last.label,
                reason=last,
                tried=",".join(sorted(tried)),
                attempts=attempts,
            )

    def _choose(
        self,
        request: Request,
        view: VersionedGroup | None,
        tried: frozenset[str],
        hint: str | None,
    ) -> Member:
        if view is None or not view.group.members:
            raise NoOwnerError(f"{request.service!r} has no members", retry_after_s=_OWNER_RETRY_S)
        members = view.group.members
        if not request.key:
            now = self._clock.now()
            useful_ms = ((request.useful_until or request.deadline) - now) * 1000
            ask = Ask(request.body.length or 0, useful_ms)
            chosen = self._balancer.choose(members.values(), tried, now, ask)
            if chosen is None:
                raise NoOwnerError(
                    f"no further member of {request.service!r} is active",
                    retry_after_s=_OWNER_RETRY_S,
                )
            return chosen
        found = view.group.range_of(int(request.key))
        owner_id = hint if hint in members else (found.owner if found is not None else None)
        if owner_id is None or owner_id not in members:
            raise NoOwnerError(f"key {request.key} has no owner", retry_after_s=_OWNER_RETRY_S)
        return members[owner_id]

    async def _send(self, request: Request, member: Member) -> Response:
        _SENT.emit(
            request=request.id,
            service=request.service,
            key=request.key,
            member=member.id,
            left_ms=round((request.deadline - self._clock.now()) * 1000),
            repeated=request.repeated,
        )
        started = self._clock.now()
        self._balancer.started(member.id)
        occupancy = None
        run_ms = None
        answer_bytes = 0
        try:
            if member.id == self._membership.member_id:
                response = await self._execution.execute(request)
            else:
                response = await self._forward(request, member)
            occupancy = response.occupancy
            run_ms = (self._clock.now() - started) * 1000
            answer_bytes = response.body.length or 0
            return response
        except RefusalError as error:
            occupancy = error.occupancy
            if error.outcome is Outcome.NOT_RUN:
                unreachable = isinstance(error, OwnerUnreachableError)
                self._balancer.avoid(member.id, self._clock.now(), unreachable)
            raise
        finally:
            self._balancer.ended(member.id, occupancy, run_ms, self._clock.now(), answer_bytes)

    async def _forward(self, request: Request, member: Member) -> Response:
        try:
            return await self._peers.forward(member, request)
        except OwnerUnreachableError:
            # An agent that was restarted while the platform is away cannot join, but its upstream
            # still serves what needs no keys.
            present = member.any_incarnation()
            if request.key or not self._peers.dial(present):
                raise
        return await self._peers.forward(present, request)

    def _may_repeat(self, request: Request, error: RefusalError, attempts: int) -> bool:
        safe = error.outcome is Outcome.NOT_RUN or request.repeatable
        if not safe or attempts >= request.attempts:
            return False
        if request.deadline - self._clock.now() < _LEAST_RUN_S:
            return False
        now = self._clock.now()
        return self._budget(request.service).spend(now, self._agents())

    def _agents(self) -> int:
        return sum(len(members) for members in self._members.values())

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._bounds)
        return budget
