"""Dialled peer streams: messages, calls and forwarded requests to one member each."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from ..kernel import Clock, Event, Level, RefusalError, TaskOwner
from ..kernel.errors import (
    DeadlineExceededError,
    DeadlineExceededRunningError,
    HandshakeError,
    InvalidRequestError,
    MalformedMessageError,
    OutcomeLostError,
    OwnerUnreachableError,
    PeerError,
    PeerTimeoutError,
    PeerUnavailableError,
)
from ..messages import Member, Request, Response
from ..messages.peer import (
    PROTOCOL_VERSION,
    Challenge,
    Hello,
    StreamCredit,
    StreamData,
    StreamHead,
    StreamRefused,
    StreamReset,
    Welcome,
)
from ..messages.request import BytesBody
from .peer_wire import Wire, handshake_mac, inline_data, open_message, read_messages, refusal_of
from .streams import Channel, ChannelBody

_OPENED = Event(2301, "peer_connected", Level.INFO, "A stream to a peer is open.")
_CLOSED = Event(2302, "peer_disconnected", Level.INFO, "A stream to a peer has ended.")
_UNREACHABLE = Event(2306, "peer_unreachable", Level.INFO, "A peer cannot be dialled; repeated.")

_RETRY_FIRST_S = 0.05
_RETRY_LAST_S = 1.0
# A stream that nothing was sent on for this long is ended, and an unreachable peer forgotten.
# Members of one group send to each other every second.
_IDLE_S = 60.0
_IDLE_CHECK_S = 15.0

Dispatch = Callable[[str, Any], None]


@dataclass(frozen=True, slots=True)
class Identity:
    """Who dials.

    Attributes:
        name: Name of the agent or routing client.
        incarnation: Its incarnation.
        secret: The peer secret.
    """

    name: str
    incarnation: int
    secret: bytes


class _Outgoing:
    """A request that was forwarded on a dialled stream."""

    __slots__ = ("channel", "head")

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.head: asyncio.Future[StreamHead] = asyncio.get_running_loop().create_future()

    def fail(self, error: RefusalError) -> None:
        self.channel.fail(str(error))
        if not self.head.done():
            self.head.set_exception(error)
            # The waiter may have gone; this marks the exception as seen.
            self.head.exception()


class _Link:
    """The dialled stream to one member."""

    def __init__(self, member: Member, now: float) -> None:
        self.member = member
        self.wire: Wire | None = None
        self.settled = asyncio.Event()
        self.retired = False
        self.task: asyncio.Task[None] | None = None
        self.streams: dict[int, _Outgoing] = {}
        self.calls: dict[int, asyncio.Future[object]] = {}
        self.used_at = now

    def opened(self, wire: Wire) -> None:
        self.wire = wire
        self.settled.set()

    def closed(self, reason: str) -> None:
        self.wire = None
        self.settled.set()
        streams, self.streams = self.streams, {}
        for outgoing in streams.values():
            outgoing.fail(OutcomeLostError(f"stream to {self.member.id} ended: {reason}"))
        calls, self.calls = self.calls, {}
        for reply in calls.values():
            if not reply.done():
                reply.set_exception(PeerUnavailableError(reason))
                reply.exception()


class PeerLinks:
    """All dialled streams, one task for each.

    Args:
        tasks: Owner of the tasks.
        clock: Source of time.
        timeout_s: Longest wait for a connection or a reply, in seconds.
        identity: Gives who dials now.
        dispatch: Takes messages that belong to no request or call.
    """

    def __init__(
        self,
        tasks: TaskOwner,
        clock: Clock,
        timeout_s: float,
        identity: Callable[[], Identity],
        dispatch: Dispatch,
    ) -> None:
        self._tasks = tasks
        self._clock = clock
        self._timeout_s = timeout_s
        self._identity = identity
        self._dispatch = dispatch
        self._links: dict[str, _Link] = {}
        # Links that were dialled under an earlier incarnation of this agent.
        self._outdated: set[_Link] = set()
        self._numbers = itertools.count(1)

    @property
    def ids(self) -> tuple[str, ...]:
        """Ids of the members that links exist to, open or not."""
        return tuple(self._links)

    def connected(self) -> tuple[str, ...]:
        """Returns the ids of the members that streams are open to."""
        return tuple(link.member.id for link in self._links.values() if link.wire is not None)

    def open_requests(self) -> int:
        """Returns the number of forwarded requests whose response is not complete."""
        return sum(len(link.streams) for link in (*self._links.values(), *self._outdated))

    def next_call(self) -> int:
        """Returns an unused call number."""
        return next(self._numbers)

    def send(self, member: Member, message: object) -> bool:
        """Sends a message without waiting; see `Peers.send`."""
        link = self._link(member)
        if link.wire is None:
            return False
        link.wire.send(message)
        return True

    def dial(self, member: Member) -> bool:
        """Begins to connect; see `Peers.dial`."""
        return self._link(member).wire is not None

    def unreachable(self, member: Member) -> bool:
        """Tells whether connecting to a member failed; see `Peers.unreachable`."""
        link = self._links.get(member.id)
        return link is not None and link.wire is None and link.settled.is_set()

    def reply(self, member_id: str, message: object) -> bool:
        """Sends a message on the open stream to a member; False if there is none."""
        link = self._links.get(member_id)
        if link is None or link.wire is None:
            return False
        link.wire.send(message)
        return True

    async def call(self, member: Member, message: object, call: int) -> object:
        """Sends a message and waits for its reply; see `Peers.call`."""
        link = self._link(member)
        try:
            async with asyncio.timeout(self._timeout_s):
                await link.settled.wait()
                if link.wire is None:
                    raise PeerUnavailableError(f"no stream to {member.id}")
                reply: asyncio.Future[object] = asyncio.get_running_loop().create_future()
                link.calls[call] = reply
                link.wire.send(message)
                return await reply
        except TimeoutError:
            raise PeerTimeoutError(f"{member.id} did not reply in time") from None
        finally:
            link.calls.pop(call, None)

    def retire(self, member_id: str) -> None:
        """Keeps the stream to a member that has left in order until it ends by itself."""
        link = self._links.get(member_id)
        if link is not None:
            link.retired = True

    def drop(self, member_id: str, reason: str = "dropped") -> None:
        """Ends the stream to a member; what waits on it fails."""
        link = self._links.pop(member_id, None)
        if link is None:
            return
        link.closed(reason)
        if link.task is not None:
            link.task.cancel()

    def renew_identity(self) -> None:
        """Lets requests finish on the present streams and dials new ones for all that follows."""
        links, self._links = self._links, {}
        for link in links.values():
            link.retired = True
            self._outdated.add(link)
        self._end_finished()

    async def forward(self, member: Member, request: Request) -> Response:
        """Sends a request to its owner; see `Peers.forward`."""
        link = self._link(member)
        wire = link.wire or await self._ready(link, request.deadline)
        remaining_s = request.deadline - self._clock.now()
        if remaining_s <= 0:
            raise DeadlineExceededError(f"deadline passed before {member.id} was reached")
        number = next(self._numbers)
        outgoing = _Outgoing(Channel(number, wire.send))
        inline = inline_data(request.body)
        try:
            wire.send(open_message(number, request, remaining_s, inline))
        except MalformedMessageError as error:
            raise InvalidRequestError(f"the request cannot be forwarded: {error}") from error
        link.streams[number] = outgoing
        late = DeadlineExceededRunningError(f"{member.id} did not answer before the deadline")
        timer = asyncio.get_running_loop().call_later(remaining_s, outgoing.fail, late)
        pump: asyncio.Task[None] | None = None
        try:
            if inline is None:
                pump = self._tasks.spawn("body", _pump(outgoing, request, wire))
            head = await outgoing.head
        except BaseException as error:
            self._abandon(link, number, type(error).__name__)
            raise
        finally:
            timer.cancel()
            if pump is not None:
                pump.cancel()
        return self._response(link, outgoing, head, request)

    async def run_idle_check(self) -> None:
        """Ends streams that are not used any more, until cancelled."""
        while True:
            await self._clock.sleep(_IDLE_CHECK_S)
            self.end_idle()

    def end_idle(self) -> None:
        """Ends streams on which nothing was sent for a minute and nothing is open."""
        oldest = self._clock.now() - _IDLE_S
        for member_id, link in tuple(self._links.items()):
            if link.used_at < oldest and not link.streams and not link.calls:
                self.drop(member_id, "idle")
        self._end_finished()

    def _end_finished(self) -> None:
        for link in tuple(self._outdated):
            if link.wire is None or not link.streams:
                self._outdated.discard(link)
                link.closed("dialled under an earlier incarnation")
                if link.task is not None:
                    link.task.cancel()

    def _response(
        self, link: _Link, outgoing: _Outgoing, head: StreamHead, request: Request
    ) -> Response:
        number = outgoing.channel.stream
        if head.request_id != request.id:
            self._abandon(link, number, "wrong request id")
            raise OutcomeLostError(f"response names request {head.request_id!r}")
        if head.end:
            link.streams.pop(number, None)
            body: Any = BytesBody(head.data)
        else:
            body = ChannelBody(
                outgoing.channel, head.length, lambda: self._abandon(link, number, "done")
            )
        return Response(
            request.id,
            head.status,
            head.headers,
            body,
            head.served_by,
            head.epoch,
            head.occupancy,
        )

    async def _ready(self, link: _Link, deadline: float) -> Wire:
        if not link.settled.is_set():
            limit_s = min(self._timeout_s, max(deadline - self._clock.now(), 0))
            with suppress(TimeoutError):
                async with asyncio.timeout(limit_s):
                    await link.settled.wait()
        if link.wire is None:
            raise OwnerUnreachableError(f"no stream to {link.member.id}")
        return link.wire

    def _abandon(self, link: _Link, number: int, reason: str) -> None:
        if link.streams.pop(number, None) is not None and link.wire is not None:
            link.wire.send(StreamReset(number, reason))

    def _link(self, member: Member) -> _Link:
        link = self._links.get(member.id)
        if link is None:
            link = _Link(member, self._clock.now())
            self._links[member.id] = link
            link.task = self._tasks.spawn(f"link {member.id}", self._run(link))
        link.used_at = self._clock.now()
        return link

    async def _run(self, link: _Link) -> None:
        retry_s = _RETRY_FIRST_S
        reported = False
        while not link.retired:
            try:
                async with asyncio.timeout(self._timeout_s):
                    reader, writer = await asyncio.open_connection(
                        link.member.peer_host, link.member.peer_port
                    )
                wire, messages = Wire(writer), read_messages(reader)
                try:
                    async with asyncio.timeout(self._timeout_s):
                        await self._greet(link, wire, messages)
                    link.opened(wire)
                    _OPENED.emit(peer=link.member.id)
                    retry_s, reported = _RETRY_FIRST_S, False
                    async for message in messages:
                        self._receive(link, message)
                    reason = "end of stream"
                finally:
                    wire.close()
            except (OSError, TimeoutError, PeerError) as error:
                reason = f"{type(error).__name__}: {error}"
            was_open = link.wire is not None
            link.closed(reason)
            if was_open:
                _CLOSED.emit(peer=link.member.id, reason=reason)
            elif not reported:
                reported = True
                _UNREACHABLE.emit(peer=link.member.id, reason=reason)
            if not link.retired:
                await self._clock.sleep(retry_s)
                retry_s = min(retry_s * 2, _RETRY_LAST_S)
        self._outdated.discard(link)
        if self._links.get(link.member.id) is link:
            del self._links[link.member.id]

    async def _greet(self, link: _Link, wire: Wire, messages: AsyncIterator[Any]) -> None:
        challenge = await anext(messages, None)
        if not isinstance(challenge, Challenge):
            raise HandshakeError("the peer sent no challenge")
        me = self._identity()
        # A client can dial one agent as a seed and as a member; an acceptor keeps one stream
        # for each name.
        name = me.name if link.member.incarnation else f"{me.name}-seed"
        mac = handshake_mac(me.secret, challenge.nonce, name, me.incarnation)
        # Incarnation 0 stands for an address whose agent is not known yet, such as a seed.
        wanted = link.member.id if link.member.incarnation else ""
        wire.send(Hello(name, me.incarnation, PROTOCOL_VERSION, mac, wanted))
        welcome = await anext(messages, None)
        if not isinstance(welcome, Welcome):
            raise HandshakeError("the peer sent no welcome")
        found = f"{welcome.name}:{welcome.incarnation}"
        if wanted and found != wanted:
            raise HandshakeError(f"{wanted} was expected, {found} answered")

    def _receive(self, link: _Link, message: Any) -> None:
        number = getattr(message, "stream", None)
        if number is not None:
            outgoing = link.streams.get(number)
            # A response whose caller has left has no stream any more.
            if outgoing is not None:
                self._receive_part(link, outgoing, message)
            return
        if link in self._outdated:
            return
        waiting = link.calls.get(getattr(message, "call", 0))
        if waiting is None:
            self._dispatch(link.member.id, message)
        elif not waiting.done():
            waiting.set_result(message)

    def _receive_part(self, link: _Link, outgoing: _Outgoing, message: Any) -> None:
        if isinstance(message, StreamHead):
            if not message.end:
                outgoing.channel.receive(message.data, False)
            if not outgoing.head.done():
                outgoing.head.set_result(message)
        elif isinstance(message, StreamData):
            outgoing.channel.receive(message.data, message.end)
            if message.end:
                link.streams.pop(message.stream, None)
        elif isinstance(message, StreamCredit):
            outgoing.channel.add_credit(message.size)
        elif isinstance(message, StreamRefused):
            link.streams.pop(message.stream, None)
            outgoing.fail(refusal_of(message))
        elif isinstance(message, StreamReset):
            link.streams.pop(message.stream, None)
            outgoing.fail(OutcomeLostError(f"{link.member.id} reset: {message.reason}"))


async def _pump(outgoing: _Outgoing, request: Request, wire: Wire) -> None:
    try:
        await outgoing.channel.write_body(request.body)
    except Exception as error:  # the body comes from a caller's socket and may fail in any way
        wire.send(StreamReset(outgoing.channel.stream, f"{type(error).__name__}: {error}"[:500]))
        outgoing.fail(OutcomeLostError(f"request body broke: {error}"))
