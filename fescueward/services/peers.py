"""Streams between agents: handshake, messages and forwarded requests.

Each dialled peer and each accepted stream has one task, and so has each forwarded request at its
owner.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import itertools
import secrets
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import Any

from ..interfaces.peers import M, MessageHandler, RequestHandler
from ..kernel import Clock, Event, Kernel, Level, RefusalError, Registry
from ..kernel.errors import (
    BodyTruncatedError,
    DeadlineExceededError,
    DeadlineExceededRunningError,
    HandshakeError,
    MalformedMessageError,
    NotOwnerError,
    OutcomeLostError,
    OverloadedError,
    OwnerUnreachableError,
    PeerError,
    PeerTimeoutError,
    PeerUnavailableError,
    TokenRequiredError,
    refusal_from_label,
)
from ..kernel.settings import Settings
from ..messages import Member, Request, Response
from ..messages.codec import FrameDecoder, encode_frame
from ..messages.peer import (
    PROTOCOL_VERSION,
    Challenge,
    Hello,
    StreamCredit,
    StreamData,
    StreamHead,
    StreamOpen,
    StreamRefused,
    StreamReset,
    Welcome,
)
from ..messages.request import BytesBody
from .streams import INLINE_BYTES, Channel, ChannelBody

_OPENED = Event(2301, "peer_connected", Level.INFO, "A stream to a peer is open.")
_CLOSED = Event(2302, "peer_disconnected", Level.INFO, "A stream to a peer has ended.")
_REFUSED = Event(2303, "peer_refused", Level.WARNING, "A peer failed the handshake.")
_MALFORMED = Event(2304, "peer_malformed", Level.WARNING, "A peer sent bytes that are no message.")
_HANDLER_FAILED = Event(
    2305, "peer_handler_failed", Level.ERROR, "A message of a peer could not be acted on."
)

_READ_BYTES = 262_144
_RETRY_FIRST_S = 0.05
_RETRY_LAST_S = 1.0
# A peer that takes nothing while this much waits for it is cut off; it dials again.
_WRITE_LIMIT_BYTES = 16 * 1024 * 1024
_STREAMS_LIMIT = 10_000
# The last responses of an agent that stops may still wait for a slow receiver.
_FLUSH_TIMEOUT_S = 5.0


async def _messages(reader: asyncio.StreamReader, decoder: FrameDecoder) -> AsyncIterator[Any]:
    while data := await reader.read(_READ_BYTES):
        for message in decoder.feed(data):
            yield message


class _Wire:
    """Writes messages to one TCP connection."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    def send(self, message: object) -> None:
        # uvloop raises on a write to a transport that has been closed; the reader of the
        # stream notices the end and tells those who wait.
        if self._writer.transport.is_closing():
            return
        if self._writer.transport.get_write_buffer_size() > _WRITE_LIMIT_BYTES:
            self._writer.transport.abort()
            return
        self._writer.write(encode_frame(message))

    def close(self) -> None:
        self._writer.close()

    async def flush_and_close(self) -> None:
        self._writer.close()
        with suppress(OSError, TimeoutError):
            await asyncio.wait_for(self._writer.wait_closed(), _FLUSH_TIMEOUT_S)


class _Outgoing:
    """A request that was forwarded on a dialled stream."""

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

    def __init__(self, member: Member) -> None:
        self.member = member
        self.wire: _Wire | None = None
        self.settled = asyncio.Event()
        self.retired = False
        self.task: asyncio.Task[None] | None = None
        self.streams: dict[int, _Outgoing] = {}
        self.calls: dict[int, asyncio.Future[object]] = {}

    def opened(self, wire: _Wire) -> None:
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


class _Accepted:
    """A stream that a peer dialled."""

    def __init__(self, sender: str, wire: _Wire) -> None:
        self.sender = sender
        self.wire = wire
        self.channels: dict[int, Channel] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}


class MsgpackPeers:
    """The `peers` service.

    A message to a peer goes on the stream that this agent dialled; its reply comes back on the
    same stream. Each dialled stream is one long-lived connection that carries all requests.
    """

    name = "peers"
    requires: tuple[str, ...] = ()

    def __init__(self, kernel: Kernel, name: str, incarnation: int) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._agent_name = name
        self._incarnation = incarnation
        self._links: dict[str, _Link] = {}
        self._accepted: dict[str, _Accepted] = {}
        self._handlers: dict[type[Any], MessageHandler[Any]] = {}
        self._request_handler: RequestHandler | None = None
        self._incarnations: dict[str, int] = {}
        self._numbers = itertools.count(1)
        self._server: asyncio.Server | None = None

    def bind(self, registry: Registry) -> None:
        """Takes address, secret and timeout from the settings."""
        self._clock = registry.find("clock", Clock)
        section = registry.find("settings", Settings).peers
        self._host, self._port = section.host, section.port
        self._secret = section.secret.encode()
        self._timeout_s = section.timeout_ms / 1000

    async def start(self) -> None:
        """Binds the port, which no other process of this VM can hold at the same time."""
        if self._port:
            self._server = await asyncio.start_server(self._accept, self._host, self._port)

    async def stop(self) -> None:
        """Ends all streams."""
        if self._server is not None:
            self._server.close()
        accepted = tuple(self._accepted.values())
        await asyncio.gather(*(found.wire.flush_and_close() for found in accepted))
        await self._tasks.cancel()

    def on(self, kind: type[M], handler: MessageHandler[M]) -> None:
        """Registers the handler of a message type."""
        self._handlers[kind] = handler

    def serve(self, handler: RequestHandler) -> None:
        """Registers the handler of forwarded requests."""
        self._request_handler = handler

    def next_call(self) -> int:
        """Returns an unused call number."""
        return next(self._numbers)

    def connected(self) -> tuple[str, ...]:
        """Returns the ids of the members that streams exist to."""
        return tuple(link.member.id for link in self._links.values() if link.wire is not None)

    def send(self, member: Member, message: object) -> bool:
        """Sends a message without waiting; see `Peers.send`."""
        link = self._link(member)
        if link.wire is None:
            return False
        link.wire.send(message)
        return True

    def reply(self, sender: str, message: object) -> bool:
        """Sends a message on the stream that the sender dialled."""
        accepted = self._accepted.get(sender)
        if accepted is None:
            return False
        accepted.wire.send(message)
        return True

    async def call(self, member: Member, message: object, call: int) -> object:
        """Sends a message and waits for its reply; see `Peers.call`."""
        link = self._link(member)
        try:
            await asyncio.wait_for(link.settled.wait(), self._timeout_s)
        except TimeoutError:
            raise PeerTimeoutError(f"no stream to {member.id} in time") from None
        if link.wire is None:
            raise PeerUnavailableError(f"no stream to {member.id}")
        reply: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        link.calls[call] = reply
        link.wire.send(message)
        try:
            return await asyncio.wait_for(reply, self._timeout_s)
        except TimeoutError:
            raise PeerTimeoutError(f"{member.id} did not reply in time") from None
        finally:
            link.calls.pop(call, None)

    def retire(self, member_id: str) -> None:
        """Keeps the stream to a member that has left in order until it ends by itself."""
        link = self._links.get(member_id)
        if link is not None:
            link.retired = True

    def rename(self, incarnation: int) -> None:
        """Takes a new incarnation and ends all streams, which were made under the old one."""
        self._incarnation = incarnation
        for member_id in tuple(self._links):
            self.drop(member_id)
        for accepted in tuple(self._accepted.values()):
            accepted.wire.close()

    def drop(self, member_id: str) -> None:
        """Ends the stream to a member that was removed.

        What the member itself forwards to this agent goes on: it may still have callers.
        """
        link = self._links.pop(member_id, None)
        if link is not None and link.task is not None:
            link.task.cancel()

    async def forward(self, member: Member, request: Request) -> Response:
        """Sends a request to its owner; see `Peers.forward`."""
        wire, link = await self._ready(member, request.deadline)
        remaining_s = request.deadline - self._clock.now()
        if remaining_s <= 0:
            raise DeadlineExceededError(f"deadline passed before {member.id} was reached")
        number = next(self._numbers)
        outgoing = _Outgoing(Channel(number, wire.send))
        link.streams[number] = outgoing
        pump: asyncio.Task[None] | None = None
        try:
            inline = _inline(request.body)
            wire.send(_open_message(number, request, remaining_s, inline))
            if inline is None:
                pump = self._tasks.spawn("body", self._pump(outgoing, request, wire))
            head = await asyncio.wait_for(outgoing.head, remaining_s)
        except TimeoutError:
            self._abandon(link, number, "deadline")
            raise DeadlineExceededRunningError(
                f"{member.id} did not answer before the deadline"
            ) from None
        except asyncio.CancelledError:
            self._abandon(link, number, "cancelled")
            raise
        except BaseException:
            link.streams.pop(number, None)
            raise
        finally:
            if pump is not None:
                pump.cancel()
        return self._response(link, outgoing, head, request)

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
        return Response(request.id, head.status, head.headers, body, head.served_by, head.epoch)

    async def _ready(self, member: Member, deadline: float) -> tuple[_Wire, _Link]:
        link = self._link(member)
        if not link.settled.is_set():
            limit = min(self._timeout_s, max(deadline - self._clock.now(), 0))
            with suppress(TimeoutError):
                await asyncio.wait_for(link.settled.wait(), limit)
        if link.wire is None:
            raise OwnerUnreachableError(f"no stream to {member.id}")
        return link.wire, link

    async def _pump(self, outgoing: _Outgoing, request: Request, wire: _Wire) -> None:
        try:
            await outgoing.channel.write_body(request.body)
        except Exception as error:  # the body comes from a caller's socket and may fail in any way
            wire.send(StreamReset(outgoing.channel.stream, f"{type(error).__name__}: {error}"))
            outgoing.fail(OutcomeLostError(f"request body broke: {error}"))

    def _abandon(self, link: _Link, number: int, reason: str) -> None:
        outgoing = link.streams.pop(number, None)
        if outgoing is not None and link.wire is not None:
            link.wire.send(StreamReset(number, reason))

    def _link(self, member: Member) -> _Link:
        link = self._links.get(member.id)
        if link is None:
            link = _Link(member)
            self._links[member.id] = link
            link.task = self._tasks.spawn(f"link {member.id}", self._run_link(link))
        return link

    async def _run_link(self, link: _Link) -> None:
        retry_s = _RETRY_FIRST_S
        try:
            while True:
                try:
                    reader, writer = await asyncio.wait_for(
                        asyncio.open_connection(link.member.peer_host, link.member.peer_port),
                        self._timeout_s,
                    )
                    wire, messages = _Wire(writer), _messages(reader, FrameDecoder())
                    try:
                        await asyncio.wait_for(self._greet(link, wire, messages), self._timeout_s)
                        link.opened(wire)
                        _OPENED.emit(peer=link.member.id)
                        retry_s = _RETRY_FIRST_S
                        async for message in messages:
                            self._on_dialled(link, message)
                        link.closed("end of stream")
                    finally:
                        wire.close()
                except (OSError, TimeoutError, PeerError) as error:
                    link.closed(f"{type(error).__name__}: {error}")
                _CLOSED.emit(peer=link.member.id)
                if link.retired:
                    return
                await self._clock.sleep(retry_s)
                retry_s = min(retry_s * 2, _RETRY_LAST_S)
        finally:
            link.closed("dropped")
            if self._links.get(link.member.id) is link:
                del self._links[link.member.id]

    async def _greet(self, link: _Link, wire: _Wire, messages: AsyncIterator[Any]) -> None:
        challenge = await anext(messages, None)
        if not isinstance(challenge, Challenge):
            raise HandshakeError("the peer sent no challenge")
        mac = self._mac(challenge.nonce, self._agent_name, self._incarnation)
        wire.send(Hello(self._agent_name, self._incarnation, PROTOCOL_VERSION, mac))
        welcome = await anext(messages, None)
        if not isinstance(welcome, Welcome):
            raise HandshakeError("the peer sent no welcome")
        if f"{welcome.name}:{welcome.incarnation}" != link.member.id:
            raise HandshakeError(
                f"{link.member.id} was expected, {welcome.name}:{welcome.incarnation} answered"
            )

    def _on_dialled(self, link: _Link, message: Any) -> None:
        number = getattr(message, "stream", None)
        if number is not None:
            outgoing = link.streams.get(number)
            if outgoing is not None:
                self._on_response_part(link, outgoing, message)
            return
        waiting = link.calls.get(getattr(message, "call", 0))
        if waiting is not None:
            if not waiting.done():
                waiting.set_result(message)
            return
        self._dispatch(link.member.id, message)

    def _on_response_part(self, link: _Link, outgoing: _Outgoing, message: Any) -> None:
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
            outgoing.fail(_refusal(message))
        elif isinstance(message, StreamReset):
            link.streams.pop(message.stream, None)
            outgoing.fail(OutcomeLostError(f"{link.member.id} reset: {message.reason}"))

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._tasks.spawn("accepted", self._run_accepted(reader, writer))

    async def _run_accepted(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        wire, messages = _Wire(writer), _messages(reader, FrameDecoder())
        accepted: _Accepted | None = None
        try:
            sender = await asyncio.wait_for(self._admit(wire, messages), self._timeout_s)
            accepted = _Accepted(sender, wire)
            self._accepted[sender] = accepted
            async for message in messages:
                self._on_accepted(accepted, message)
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
        if self._accepted.get(accepted.sender) is accepted:
            del self._accepted[accepted.sender]
        for channel in accepted.channels.values():
            channel.fail("the forwarding agent is gone")
        for task in accepted.tasks.values():
            task.cancel()

    async def _admit(self, wire: _Wire, messages: AsyncIterator[Any]) -> str:
        nonce = secrets.token_bytes(32)
        wire.send(Challenge(nonce))
        hello = await anext(messages, None)
        if not isinstance(hello, Hello):
            raise HandshakeError("the peer sent no hello")
        if hello.protocol != PROTOCOL_VERSION:
            raise HandshakeError(
                f"{hello.name!r} speaks protocol {hello.protocol}; valid is {PROTOCOL_VERSION}"
            )
        if not hmac.compare_digest(hello.mac, self._mac(nonce, hello.name, hello.incarnation)):
            raise HandshakeError(f"{hello.name!r} has another peer secret")
        if hello.name == self._agent_name and hello.incarnation >= self._incarnation:
            raise HandshakeError(f"{hello.name!r} claims the name of this agent")
        newest = self._incarnations.get(hello.name, 0)
        if hello.incarnation < newest:
            raise HandshakeError(
                f"{hello.name!r} claims incarnation {hello.incarnation}; {newest} was seen"
            )
        self._incarnations[hello.name] = hello.incarnation
        wire.send(Welcome(self._agent_name, self._incarnation))
        return f"{hello.name}:{hello.incarnation}"

    def _on_accepted(self, accepted: _Accepted, message: Any) -> None:
        if isinstance(message, StreamOpen):
            self._on_open(accepted, message)
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
        else:
            self._dispatch(accepted.sender, message)

    def _on_open(self, accepted: _Accepted, message: StreamOpen) -> None:
        if len(accepted.tasks) >= _STREAMS_LIMIT:
            accepted.wire.send(
                _refused(message.stream, OverloadedError("too many streams", retry_after_s=1.0))
            )
            return
        channel = Channel(message.stream, accepted.wire.send)
        accepted.channels[message.stream] = channel
        task = self._tasks.spawn("request", self._run_request(accepted, channel, message))
        accepted.tasks[message.stream] = task
        task.add_done_callback(lambda _: accepted.tasks.pop(message.stream, None))

    async def _run_request(
        self, accepted: _Accepted, channel: Channel, message: StreamOpen
    ) -> None:
        request = self._request(accepted, channel, message)
        try:
            if self._request_handler is None:
                raise NotOwnerError("this agent serves no forwarded requests")
            response = await self._request_handler(request)
            await self._send_response(accepted.wire, channel, response)
        except RefusalError as error:
            accepted.wire.send(_refused(message.stream, error))
        except asyncio.CancelledError:
            raise
        except BodyTruncatedError as error:
            accepted.wire.send(StreamReset(message.stream, str(error)))
        except Exception as error:
            _HANDLER_FAILED.emit(peer=accepted.sender, message="StreamOpen", error=repr(error))
            accepted.wire.send(StreamReset(message.stream, type(error).__name__))
        finally:
            accepted.channels.pop(message.stream, None)

    def _request(self, accepted: _Accepted, channel: Channel, message: StreamOpen) -> Request:
        if message.end:
            body: Any = BytesBody(message.data)
        else:
            channel.receive(message.data, False)
            body = ChannelBody(channel, message.length, lambda: None)
        return Request(
            id=message.request_id,
            service=message.service,
            key=message.key,
            method=message.method,
            path=message.path,
            headers=message.headers,
            body=body,
            deadline=self._clock.now() + message.remaining_ms / 1000,
            token=message.token,
            forwarded_by=accepted.sender,
        )

    async def _send_response(self, wire: _Wire, channel: Channel, response: Response) -> None:
        inline = _inline(response.body)
        wire.send(
            StreamHead(
                stream=channel.stream,
                request_id=response.request_id,
                status=response.status,
                headers=response.headers,
                served_by=response.served_by,
                epoch=response.epoch,
                length=response.body.length,
                data=inline or b"",
                end=inline is not None,
            )
        )
        if inline is None:
            await channel.write_body(response.body)

    def _dispatch(self, sender: str, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(sender, message)
        except Exception as error:  # a bad message of one peer must not end the stream of others
            _HANDLER_FAILED.emit(peer=sender, message=type(message).__name__, error=repr(error))

    def _mac(self, nonce: bytes, name: str, incarnation: int) -> bytes:
        text = f"{PROTOCOL_VERSION}\n{incarnation}\n{name}".encode()
        return hmac.new(self._secret, nonce + text, hashlib.sha256).digest()


def _inline(body: Any) -> bytes | None:
    if isinstance(body, BytesBody) and len(body.data) <= INLINE_BYTES:
        return body.data
    return None


def _open_message(
    number: int, request: Request, remaining_s: float, inline: bytes | None
) -> StreamOpen:
    return StreamOpen(
        stream=number,
        request_id=request.id,
        service=request.service,
        key=request.key,
        method=request.method,
        path=request.path,
        headers=request.headers,
        remaining_ms=max(int(remaining_s * 1000), 1),
        token=request.token,
        length=request.body.length,
        data=inline or b"",
        end=inline is not None,
    )


def _refused(stream: int, error: RefusalError) -> StreamRefused:
    retry_after_ms = None if error.retry_after_s is None else int(error.retry_after_s * 1000)
    return StreamRefused(
        stream=stream,
        label=error.label,
        message=str(error),
        owner_id=error.owner_id if isinstance(error, NotOwnerError) else None,
        token=error.token if isinstance(error, TokenRequiredError) else None,
        retry_after_ms=retry_after_ms,
    )


def _refusal(message: StreamRefused) -> RefusalError:
    error = refusal_from_label(
        message.label, message.message, owner_id=message.owner_id, token=message.token
    )
    if message.retry_after_ms is not None:
        error.retry_after_s = message.retry_after_ms / 1000
    return error
