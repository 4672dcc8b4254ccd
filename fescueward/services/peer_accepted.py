"""Accepted peer streams: handshake, messages and the requests that peers forward here."""

from __future__ import annotations

import asyncio
import hmac
import secrets
from collections.abc import AsyncIterator, Callable
from typing import Any

from cachetools import LRUCache

from ..interfaces.peers import RequestHandler
from ..kernel import Clock, Event, Level, RefusalError, TaskOwner
from ..kernel.errors import (
    BodyTruncatedError,
    HandshakeError,
    MalformedMessageError,
    NotOwnerError,
    OverloadedError,
)
from ..messages import Request, Response
from ..messages.peer import (
    PROTOCOL_VERSION,
    Challenge,
    Hello,
    StreamCredit,
    StreamData,
    StreamHead,
    StreamOpen,
    StreamReset,
    Welcome,
)
from ..messages.request import BytesBody
from .peer_links import Dispatch, Identity
from .peer_wire import Wire, handshake_mac, inline_data, read_messages, refused_message
from .streams import Channel, ChannelBody

_REFUSED = Event(2303, "peer_refused", Level.WARNING, "A peer failed the handshake.")
_MALFORMED = Event(2304, "peer_malformed", Level.WARNING, "A peer sent bytes that are no message.")
_REQUEST_FAILED = Event(
    2307, "peer_request_failed", Level.ERROR, "A forwarded request met an unexpected exception."
)

_STREAMS_LIMIT = 10_000
# Names of routing clients are new each time, so the oldest are forgotten.
_INCARNATIONS = 100_000


class _Accepted:
    """A stream that a peer dialled."""

    def __init__(self, sender: str, wire: Wire) -> None:
        self.sender = sender
        self.wire = wire
        self.channels: dict[int, Channel] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}


class AcceptedStreams:
    """All accepted streams, one task for each and one for each request.

    Args:
        tasks: Owner of the tasks.
        clock: Source of time.
        timeout_s: Longest handshake in seconds.
        identity: Gives who accepts now.
        dispatch: Takes messages that belong to no request.
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
        self._accepted: dict[str, _Accepted] = {}
        # Streams that were accepted under an earlier incarnation of this agent.
        self._outdated: set[_Accepted] = set()
        self._incarnations: LRUCache[str, int] = LRUCache(_INCARNATIONS)
        self._handler: RequestHandler | None = None

    def open_requests(self) -> int:
        """Returns the number of requests that run for peers."""
        streams = (*self._accepted.values(), *self._outdated)
        return sum(len(accepted.tasks) for accepted in streams)

    def serve(self, handler: RequestHandler) -> None:
        """Registers the handler of forwarded requests."""
        self._handler = handler

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Takes a new connection."""
        self._tasks.spawn("accepted", self._run(reader, writer))

    def reply(self, sender: str, message: object) -> bool:
        """Sends a message on the stream of a sender; False if it is gone."""
        accepted = self._accepted.get(sender)
        if accepted is None:
            return False
        accepted.wire.send(message)
        return True

    def drop(self, sender: str) -> None:
        """Ends the stream of a sender."""
        accepted = self._accepted.pop(sender, None)
        if accepted is not None:
            accepted.wire.close()

    def renew_identity(self) -> None:
        """Takes only requests on the present streams from now on.

        Other messages on them concern the earlier member. Their senders end them when they see
        that it is gone.
        """
        self._outdated.update(self._accepted.values())
        self._accepted = {}

    async def flush_and_close(self) -> None:
        """Ends all streams once what was sent on them has left."""
        streams = (*self._accepted.values(), *self._outdated)
        wires = [accepted.wire for accepted in streams]
        await asyncio.gather(*(wire.flush_and_close() for wire in wires))

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        wire, messages = Wire(writer), read_messages(reader)
        accepted: _Accepted | None = None
        try:
            async with asyncio.timeout(self._timeout_s):
                sender = await self._admit(wire, messages)
            # A peer that dials again has given its earlier stream up, which may be half open.
            self.drop(sender)
            accepted = self._accepted[sender] = _Accepted(sender, wire)
            async for message in messages:
                self._receive(accepted, message)
        except MalformedMessageError as error:
            _MALFORMED.emit(peer=accepted.sender if accepted else "unknown", error=error)
        except HandshakeError as error:
            _REFUSED.emit(error=error)
        except (OSError, TimeoutError):
            pass
        finally:
            wire.close()
            if accepted is not None:
                self._forget(accepted)

    def _forget(self, accepted: _Accepted) -> None:
        self._outdated.discard(accepted)
        if self._accepted.get(accepted.sender) is accepted:
            del self._accepted[accepted.sender]
        for channel in accepted.channels.values():
            channel.fail("the forwarding agent is gone")
        for task in accepted.tasks.values():
            task.cancel()

    async def _admit(self, wire: Wire, messages: AsyncIterator[Any]) -> str:
        nonce = secrets.token_bytes(32)
        wire.send(Challenge(nonce))
        hello = await anext(messages, None)
        if not isinstance(hello, Hello):
            raise HandshakeError("the peer sent no hello")
        if hello.protocol != PROTOCOL_VERSION:
            raise HandshakeError(
                f"{hello.name!r} speaks protocol {hello.protocol}; valid is {PROTOCOL_VERSION}"
            )
        me = self._identity()
        expected = handshake_mac(me.secret, nonce, hello.name, hello.incarnation)
        if not hmac.compare_digest(hello.mac, expected):
            raise HandshakeError(f"{hello.name!r} has another peer secret")
        found = f"{me.name}:{me.incarnation}"
        # Checked before the sender's present stream is replaced by this one.
        if hello.wanted and hello.wanted != found:
            raise HandshakeError(f"{hello.name!r} dials {hello.wanted}; this is {found}")
        if hello.name == me.name and hello.incarnation >= me.incarnation:
            raise HandshakeError(f"{hello.name!r} claims the name of this agent")
        newest = self._incarnations.get(hello.name, 0)
        if hello.incarnation < newest:
            raise HandshakeError(
                f"{hello.name!r} claims incarnation {hello.incarnation}; {newest} was seen"
            )
        self._incarnations[hello.name] = hello.incarnation
        wire.send(Welcome(me.name, me.incarnation))
        return f"{hello.name}:{hello.incarnation}"

    def _receive(self, accepted: _Accepted, message: Any) -> None:
        if isinstance(message, StreamOpen):
            self._open(accepted, message)
        elif isinstance(message, StreamData):
            if (channel := accepted.channels.get(message.stream)) is not None:
                channel.receive(message.data, message.end)
        elif isinstance(message, StreamCredit):
            if (channel := accepted.channels.get(message.stream)) is not None:
                channel.add_credit(message.size)
        elif isinstance(message, StreamReset):
            if (channel := accepted.channels.get(message.stream)) is not None:
                channel.fail(message.reason)
            if (task := accepted.tasks.get(message.stream)) is not None:
                task.cancel()
        elif accepted not in self._outdated:
            self._dispatch(accepted.sender, message)

    def _open(self, accepted: _Accepted, message: StreamOpen) -> None:
        number = message.stream
        if number in accepted.tasks:
            raise MalformedMessageError(f"stream {number} is open already")
        if len(accepted.tasks) >= _STREAMS_LIMIT:
            error = OverloadedError("too many streams", retry_after_s=1.0)
            accepted.wire.send(refused_message(number, error))
            return
        channel = Channel(number, accepted.wire.send)
        accepted.channels[number] = channel
        task = self._tasks.spawn("request", self._run_request(accepted, channel, message))
        accepted.tasks[number] = task

        def ended(_: asyncio.Task[None]) -> None:
            # A task that is cancelled before its first step runs no clean-up of its own.
            del accepted.tasks[number]
            del accepted.channels[number]

        task.add_done_callback(ended)

    async def _run_request(
        self, accepted: _Accepted, channel: Channel, message: StreamOpen
    ) -> None:
        request = self._request(accepted, channel, message)
        try:
            if self._handler is None:
                raise NotOwnerError("this agent serves no forwarded requests")
            response = await self._handler(request)
            await _send_response(accepted.wire, channel, response)
        except RefusalError as error:
            accepted.wire.send(refused_message(message.stream, error))
        except BodyTruncatedError as error:
            accepted.wire.send(StreamReset(message.stream, str(error)[:500]))
        except Exception as error:  # one request's fault must not end the stream of others
            _REQUEST_FAILED.emit(
                peer=accepted.sender, request=message.request_id, error=repr(error)
            )
            accepted.wire.send(StreamReset(message.stream, type(error).__name__))

    def _request(self, accepted: _Accepted, channel: Channel, message: StreamOpen) -> Request:
        if message.end:
            body: Any = BytesBody(message.data)
        else:
            channel.receive(message.data, False)
            body = ChannelBody(channel, message.length, lambda: None)
        now = self._clock.now()
        useful_until = None if message.useful_ms is None else now + message.useful_ms / 1000
        return Request(
            id=message.request_id,
            service=message.service,
            key=message.key,
            method=message.method,
            path=message.path,
            headers=message.headers,
            body=body,
            deadline=now + message.remaining_ms / 1000,
            token=message.token,
            forwarded_by=accepted.sender,
            caller=message.caller,
            priority=message.priority,
            repeatable=message.repeatable,
            repeated=message.repeated,
            useful_until=useful_until,
            route=message.route,
        )


async def _send_response(wire: Wire, channel: Channel, response: Response) -> None:
    inline = inline_data(response.body)
    head = StreamHead(
        stream=channel.stream,
        request_id=response.request_id,
        status=response.status,
        headers=response.headers,
        served_by=response.served_by,
        epoch=response.epoch,
        length=response.body.length,
        data=inline or b"",
        end=inline is not None,
        occupancy=response.occupancy,
    )
    if inline is not None:
        wire.send(head)
        return
    try:
        wire.send(head)
        await channel.write_body(response.body)
    finally:
        await response.body.close()
