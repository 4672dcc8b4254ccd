"""Dialled peer streams; each carries messages, calls and requests to one member."""

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
from ..kernel.retries import report_reading_failure
from ..kernel.text import encodable_text
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
from .link.window import SendWindow
from .peer_wire import (
    Wire,
    handshake_mac,
    inline_data,
    open_message,
    read_messages,
    refusal_from_message,
)
from .streams import Channel, ChannelBody

_CONNECTED = Event(2301, "peer_connected", Level.INFO, "A stream to a peer was opened.")
_DISCONNECTED = Event(2302, "peer_disconnected", Level.INFO, "A stream to a peer was closed.")
_UNREACHABLE = Event(
    2306, "peer_unreachable", Level.INFO, "Dialling a peer failed; it is retried."
)

_INITIAL_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 1.0
# Pause after the agent at the address has refused the handshake: mostly a new process, so that the
# dialled one never returns. A fleet that returns dials thousands of ended processes a second else.
_REFUSED_BACKOFF_S = 2.0
# Closes a stream on which nothing was sent for this long, and stops dialling an unreachable peer.
# Members of one group send messages to each other every second.
_IDLE_TIMEOUT_S = 60.0
_IDLE_CHECK_INTERVAL_S = 15.0
# Share of the time that is left to a request in which a stream has to open, and the least time.
_DIAL_SHARE = 0.2
_MIN_DIAL_S = 0.1
# An upstream that stops its work at the deadline responds this much later at most.
_RESPONSE_SLACK_S = 0.05

# Ends the name under which an agent dials an address whose agent it does not know.
SEED_SUFFIX = "-seed"

Dispatch = Callable[[str, Any], None]


@dataclass(frozen=True, slots=True)
class Identity:
    """The name, incarnation and secret with which this process dials and accepts.

    Attributes:
        name: Name of this agent or routing client.
        incarnation: Its incarnation.
        secret: The peer secret.
    """

    name: str
    incarnation: int
    secret: bytes


class _ForwardedRequest:
    """A request in flight on a dialled stream."""

    __slots__ = ("channel", "head")

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.head: asyncio.Future[StreamHead] = asyncio.get_running_loop().create_future()

    def fail(self, error: RefusalError) -> None:
        self.channel.fail(str(error))
        if not self.head.done():
            self.head.set_exception(error)
            # Marks the exception as retrieved in case the waiter was cancelled.
            self.head.exception()


class _Link:
    """The dialled stream to one member, which is dialled again when it ends."""

    def __init__(self, member: Member, now: float) -> None:
        self.member = member
        self.wire: Wire | None = None
        # Set once the first dial has succeeded or failed.
        self.dial_finished = asyncio.Event()
        self.retired = False
        # Whether the agent at the address refused the last handshake.
        self.refused = False
        self.task: asyncio.Task[None] | None = None
        self.requests: dict[int, _ForwardedRequest] = {}
        self.calls: dict[int, asyncio.Future[object]] = {}
        self.last_used_at = now

    def mark_connected(self, wire: Wire) -> None:
        self.wire = wire
        self.refused = False
        self.dial_finished.set()

    def mark_disconnected(self, reason: str) -> None:
        self.wire = None
        self.dial_finished.set()
        requests, self.requests = self.requests, {}
        for forwarded in requests.values():
            forwarded.fail(OutcomeLostError(f"stream to {self.member.id} ended: {reason}"))
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
        timeout_s: Timeout of a connection attempt, a handshake or a call, in seconds.
        identity: Returns the current identity of this process.
        dispatch: Receives messages that belong to no request or call.
        outgoing: Shared by the bodies and long messages that this agent sends.
    """

    def __init__(
        self,
        tasks: TaskOwner,
        clock: Clock,
        timeout_s: float,
        identity: Callable[[], Identity],
        dispatch: Dispatch,
        outgoing: SendWindow | None = None,
    ) -> None:
        self._outgoing = outgoing or SendWindow()
        self._tasks = tasks
        self._clock = clock
        self._timeout_s = timeout_s
        self._identity = identity
        self._dispatch = dispatch
        self._links: dict[str, _Link] = {}
        # Links dialled under an earlier incarnation of this agent.
        self._outdated: set[_Link] = set()
        self._sequence = itertools.count(1)

    @property
    def ids(self) -> tuple[str, ...]:
        """Ids of the members with a link, whether its stream is open or not."""
        return tuple(self._links)

    def connected(self) -> tuple[str, ...]:
        """Returns the ids of the members to which a stream is open."""
        return tuple(link.member.id for link in self._links.values() if link.wire is not None)

    def open_requests(self) -> int:
        """Returns the number of forwarded requests whose response is incomplete."""
        return sum(len(link.requests) for link in (*self._links.values(), *self._outdated))

    def next_call(self) -> int:
        """Returns an unused call number."""
        return next(self._sequence)

    def send(self, member: Member, message: object) -> bool:
        """Sends a message without waiting; see `Peers.send`."""
        link = self._get_or_dial(member)
        if link.wire is None:
            return False
        link.wire.send(message)
        return True

    def dial(self, member: Member) -> bool:
        """Starts connecting to a member if needed; see `Peers.dial`."""
        return self._get_or_dial(member).wire is not None

    def unreachable(self, member: Member) -> bool:
        """Returns whether connecting to a member failed; see `Peers.unreachable`."""
        link = self._links.get(member.id)
        return link is not None and link.wire is None and link.dial_finished.is_set()

    def reply(self, member_id: str, message: object) -> bool:
        """Sends a message on the open stream to a member; returns False if there is none."""
        link = self._links.get(member_id)
        if link is None or link.wire is None:
            return False
        link.wire.send(message)
        return True

    async def call(self, member: Member, message: object, call: int) -> object:
        """Sends a message and waits for its reply; see `Peers.call`."""
        link = self._get_or_dial(member)
        try:
            async with asyncio.timeout(self._timeout_s):
                await link.dial_finished.wait()
                if link.wire is None:
                    raise PeerUnavailableError(f"no open stream to {member.id}")
                reply: asyncio.Future[object] = asyncio.get_running_loop().create_future()
                link.calls[call] = reply
                link.wire.send(message)
                return await reply
        except TimeoutError:
            raise PeerTimeoutError(f"{member.id} did not reply before the timeout") from None
        finally:
            link.calls.pop(call, None)

    def retire(self, member_id: str) -> None:
        """Stops redialling a member that left gracefully; its open stream drains first."""
        link = self._links.get(member_id)
        if link is not None:
            link.retired = True

    def drop(self, member_id: str, reason: str = "dropped") -> None:
        """Closes the stream to a member; its open requests and calls fail."""
        link = self._links.pop(member_id, None)
        if link is None:
            return
        link.mark_disconnected(reason)
        if link.task is not None:
            link.task.cancel()

    def renew_identity(self) -> None:
        """Dials new streams under the new identity.

        The streams of the earlier one stay open only until their requests have finished.
        """
        links, self._links = self._links, {}
        for link in links.values():
            link.retired = True
            self._outdated.add(link)
        self._close_drained()

    async def forward(self, member: Member, request: Request) -> Response:
        """Sends a request to its owner; see `Peers.forward`."""
        link = self._get_or_dial(member)
        wire = link.wire or await self._wait_for_wire(link, request.deadline)
        now = self._clock.now()
        remaining_s = request.deadline - now
        if remaining_s <= 0:
            raise DeadlineExceededError(
                f"the deadline passed before the request was sent to {member.id}"
            )
        stream_number = next(self._sequence)
        channel = Channel(stream_number, wire.send, outgoing=self._outgoing)
        forwarded = _ForwardedRequest(channel)
        inline = inline_data(request.body)
        try:
            wire.send(open_message(stream_number, request, now, inline))
        except MalformedMessageError as error:
            raise InvalidRequestError(f"the request cannot be forwarded: {error}") from error
        link.requests[stream_number] = forwarded
        timeout_error = DeadlineExceededRunningError(
            f"{member.id} did not respond before the deadline"
        )
        timer = asyncio.get_running_loop().call_later(
            remaining_s + _RESPONSE_SLACK_S, forwarded.fail, timeout_error
        )
        body_task: asyncio.Task[None] | None = None
        try:
            if inline is None:
                body_task = self._tasks.spawn("body", _send_body(forwarded, request, wire))
            head = await forwarded.head
        except BaseException as error:
            self._reset_stream(link, stream_number, type(error).__name__)
            raise
        finally:
            timer.cancel()
            if body_task is not None:
                body_task.cancel()
        return self._build_response(link, forwarded, head, request)

    async def run_idle_check(self) -> None:
        """Closes idle streams periodically until cancelled."""
        while True:
            await self._clock.sleep(_IDLE_CHECK_INTERVAL_S)
            self.close_idle()

    def close_idle(self) -> None:
        """Closes streams with no request, no call and nothing sent within the idle timeout."""
        idle_before = self._clock.now() - _IDLE_TIMEOUT_S
        for member_id, link in tuple(self._links.items()):
            if link.last_used_at < idle_before and not link.requests and not link.calls:
                self.drop(member_id, "idle")
        self._close_drained()

    def _close_drained(self) -> None:
        for link in tuple(self._outdated):
            if link.wire is None or not link.requests:
                self._outdated.discard(link)
                link.mark_disconnected("dialled under an earlier incarnation")
                if link.task is not None:
                    link.task.cancel()

    def _build_response(
        self, link: _Link, forwarded: _ForwardedRequest, head: StreamHead, request: Request
    ) -> Response:
        stream_number = forwarded.channel.stream
        if head.request_id != request.id:
            self._reset_stream(link, stream_number, "wrong request id")
            raise OutcomeLostError(f"the response carries the id of request {head.request_id!r}")
        if head.end:
            link.requests.pop(stream_number, None)
            body: Any = BytesBody(head.data)
        else:
            body = ChannelBody(
                forwarded.channel,
                head.length,
                lambda: self._reset_stream(link, stream_number, "done"),
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

    async def _wait_for_wire(self, link: _Link, deadline: float) -> Wire:
        if not link.dial_finished.is_set():
            remaining_s = max(deadline - self._clock.now(), 0)
            limit_s = min(
                self._timeout_s, max(remaining_s * _DIAL_SHARE, _MIN_DIAL_S), remaining_s
            )
            with suppress(TimeoutError):
                async with asyncio.timeout(limit_s):
                    await link.dial_finished.wait()
        if link.wire is None:
            raise OwnerUnreachableError(f"no open stream to {link.member.id}")
        return link.wire

    def _reset_stream(self, link: _Link, stream_number: int, reason: str) -> None:
        if link.requests.pop(stream_number, None) is not None and link.wire is not None:
            link.wire.send(StreamReset(stream_number, reason))

    def _get_or_dial(self, member: Member) -> _Link:
        link = self._links.get(member.id)
        if link is None:
            link = _Link(member, self._clock.now())
            self._links[member.id] = link
            link.task = self._tasks.spawn(f"link {member.id}", self._run(link))
        link.last_used_at = self._clock.now()
        return link

    async def _run(self, link: _Link) -> None:
        backoff_s = _INITIAL_BACKOFF_S
        failure_logged = False
        while not link.retired:
            try:
                async with asyncio.timeout(self._timeout_s):
                    reader, writer = await asyncio.open_connection(
                        link.member.peer_host, link.member.peer_port
                    )
                wire = Wire(writer, self._tasks, self._outgoing)
                messages = read_messages(reader, wire)
                try:
                    async with asyncio.timeout(self._timeout_s):
                        await self._handshake(link, wire, messages)
                    link.mark_connected(wire)
                    _CONNECTED.emit(peer=link.member.id)
                    backoff_s, failure_logged = _INITIAL_BACKOFF_S, False
                    async for message in messages:
                        self._receive(link, message)
                    reason = "end of stream"
                finally:
                    wire.close()
            except (OSError, TimeoutError, PeerError) as error:
                reason = f"{type(error).__name__}: {error}"
            except Exception as error:  # an address or a message of one peer concerns it alone
                reason = f"{type(error).__name__}: {error}"
                if not failure_logged or link.wire is not None:
                    report_reading_failure(f"link to {link.member.id}", error)
                # The fault may occur again on each new stream.
                backoff_s = _MAX_BACKOFF_S
            was_open = link.wire is not None
            link.mark_disconnected(reason)
            if was_open:
                _DISCONNECTED.emit(peer=link.member.id, reason=reason)
            elif not failure_logged:
                failure_logged = True
                _UNREACHABLE.emit(peer=link.member.id, reason=reason)
            if not link.retired:
                await self._clock.sleep(_REFUSED_BACKOFF_S if link.refused else backoff_s)
                backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)
        self._outdated.discard(link)
        if self._links.get(link.member.id) is link:
            del self._links[link.member.id]

    async def _handshake(self, link: _Link, wire: Wire, messages: AsyncIterator[Any]) -> None:
        challenge = await anext(messages, None)
        if not isinstance(challenge, Challenge):
            raise HandshakeError("the peer sent no Challenge message")
        identity = self._identity()
        # A client may dial one agent both as a seed and as a member, but the accepting side keeps
        # only one stream for each name.
        name = identity.name if link.member.incarnation else identity.name + SEED_SUFFIX
        mac = handshake_mac(identity.secret, challenge.nonce, name, identity.incarnation)
        # Incarnation 0 marks an address, such as a seed, whose agent is not known yet.
        expected_id = link.member.id if link.member.incarnation else ""
        sent_ms = int(self._clock.now() * 1000)
        wire.send(
            Hello(
                name,
                identity.incarnation,
                PROTOCOL_VERSION,
                mac,
                expected_id,
                sent_ms,
                takes_parts=True,
            )
        )
        welcome = await anext(messages, None)
        if not isinstance(welcome, Welcome):
            link.refused = True
            raise HandshakeError("the peer sent no Welcome message")
        actual_id = f"{welcome.name}:{welcome.incarnation}"
        if expected_id and actual_id != expected_id:
            raise HandshakeError(f"expected agent {expected_id}, but {actual_id} responded")
        wire.parts.accepted = welcome.takes_parts

    def _receive(self, link: _Link, message: Any) -> None:
        stream_number = getattr(message, "stream", None)
        if stream_number is not None:
            forwarded = link.requests.get(stream_number)
            # A request whose caller has left is no longer listed; messages for it are dropped.
            if forwarded is not None:
                self._receive_stream_message(link, forwarded, message)
            return
        if link in self._outdated:
            return
        reply = link.calls.get(getattr(message, "call", 0))
        if reply is None:
            self._dispatch(link.member.id, message)
        elif not reply.done():
            reply.set_result(message)

    def _receive_stream_message(
        self, link: _Link, forwarded: _ForwardedRequest, message: Any
    ) -> None:
        if isinstance(message, StreamHead):
            if not message.end:
                forwarded.channel.receive(message.data, False)
            if not forwarded.head.done():
                forwarded.head.set_result(message)
        elif isinstance(message, StreamData):
            forwarded.channel.receive(message.data, message.end)
            if message.end:
                link.requests.pop(message.stream, None)
        elif isinstance(message, StreamCredit):
            forwarded.channel.add_credit(message.size)
        elif isinstance(message, StreamRefused):
            link.requests.pop(message.stream, None)
            forwarded.fail(refusal_from_message(message))
        elif isinstance(message, StreamReset):
            link.requests.pop(message.stream, None)
            forwarded.fail(
                OutcomeLostError(f"{link.member.id} reset the stream: {message.reason}")
            )


async def _send_body(forwarded: _ForwardedRequest, request: Request, wire: Wire) -> None:
    try:
        await forwarded.channel.write_body(request.body)
    except Exception as error:  # reading the body from a caller's socket can raise any exception
        reason = encodable_text(f"{type(error).__name__}: {error}")
        wire.send(StreamReset(forwarded.channel.stream, reason[:500]))
        forwarded.fail(OutcomeLostError(f"reading the request body failed: {error}"))
