"""Accepted peer streams: handshake, messages and requests that peers forward to this agent."""

from __future__ import annotations

import asyncio
import hmac
import secrets
from collections.abc import AsyncIterator, Callable
from typing import Any

from cachetools import LRUCache

from ..interfaces.peers import RequestHandler
from ..kernel import Clock, Event, Level, RefusalError, TaskOwner
from ..kernel.caller_budget import CallerBudget
from ..kernel.errors import (
    BodyTruncatedError,
    HandshakeError,
    MalformedMessageError,
    NotOwnerError,
    OverloadedError,
)
from ..kernel.retries import report_reading_failure
from ..kernel.text import encodable_text
from ..kernel.tracebacks import drop_traceback
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
from .link.window import SendWindow
from .peer_links import Dispatch, Identity
from .peer_wire import Wire, handshake_mac, inline_data, read_messages, refused_message
from .streams import Channel, ChannelBody, ReceiveWindows
from .transit import TransitDelay

_HANDSHAKE_FAILED = Event(2303, "peer_refused", Level.WARNING, "A peer failed the handshake.")
_MALFORMED = Event(2304, "peer_malformed", Level.WARNING, "A peer sent malformed messages.")
_REQUEST_FAILED = Event(
    2307, "peer_request_failed", Level.ERROR, "A forwarded request raised an unexpected exception."
)

_MAX_REQUESTS_PER_STREAM = 10_000
# Connections that have not proved their identity yet; a peer that finds no place dials again.
_MAX_HANDSHAKES = 256
# Routing clients have a new name after each start, so the least recently used names are evicted.
_MAX_CACHED_INCARNATIONS = 100_000


class _AcceptedStream:
    """A stream that a peer dialled, with the requests that run on it."""

    def __init__(self, sender: str, wire: Wire, transit: TransitDelay) -> None:
        self.sender = sender
        self.wire = wire
        self.transit = transit
        self.channels: dict[int, Channel] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}


class AcceptedStreams:
    """All accepted streams, with one task for each stream and one for each request.

    Args:
        tasks: Owner of the tasks.
        clock: Source of time.
        timeout_s: Timeout of a handshake, in seconds.
        identity: Returns the current identity of this process.
        dispatch: Receives messages that belong to no request.
        windows: Shared by the bodies that this agent receives.
        outgoing: Shared by the bodies and long messages that this agent sends.
        held: Limit on the responses that wait to be sent, or None.
    """

    def __init__(
        self,
        tasks: TaskOwner,
        clock: Clock,
        timeout_s: float,
        identity: Callable[[], Identity],
        dispatch: Dispatch,
        windows: ReceiveWindows,
        outgoing: SendWindow,
        held: CallerBudget | None = None,
    ) -> None:
        self._windows = windows
        self._outgoing = outgoing
        self._held = held
        self._handshakes = 0
        self._tasks = tasks
        self._clock = clock
        self._timeout_s = timeout_s
        self._identity = identity
        self._dispatch = dispatch
        self._accepted: dict[str, _AcceptedStream] = {}
        # Streams accepted under an earlier incarnation of this agent.
        self._outdated: set[_AcceptedStream] = set()
        self._incarnations: LRUCache[str, int] = LRUCache(_MAX_CACHED_INCARNATIONS)
        self._handler: RequestHandler | None = None

    def open_requests(self) -> int:
        """Returns the number of requests in flight that peers forwarded."""
        streams = (*self._accepted.values(), *self._outdated)
        return sum(len(accepted.tasks) for accepted in streams)

    def serve(self, handler: RequestHandler) -> None:
        """Registers the handler of forwarded requests."""
        self._handler = handler

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Starts a task that serves a new connection."""
        if self._handshakes >= _MAX_HANDSHAKES:
            writer.transport.abort()
            return
        self._tasks.spawn("accepted", self._run(reader, writer))

    def reply(self, sender: str, message: object) -> bool:
        """Sends a message on the stream of a sender; returns False if there is none."""
        accepted = self._accepted.get(sender)
        if accepted is None:
            return False
        accepted.wire.send(message)
        return True

    def drop(self, sender: str) -> None:
        """Closes the stream of a sender, if there is one."""
        accepted = self._accepted.pop(sender, None)
        if accepted is not None:
            accepted.wire.close()

    def renew_identity(self) -> None:
        """Accepts only forwarded requests on the streams that are open now.

        Other messages on them concern the earlier incarnation and are dropped. The senders close
        these streams once they observe that the earlier member was removed.
        """
        self._outdated.update(self._accepted.values())
        self._accepted = {}

    async def flush_and_close(self) -> None:
        """Closes all streams after flushing the messages that were sent on them."""
        streams = (*self._accepted.values(), *self._outdated)
        wires = [accepted.wire for accepted in streams]
        await asyncio.gather(*(wire.flush_and_close() for wire in wires))

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        wire = Wire(writer, self._tasks, self._outgoing)
        messages = read_messages(reader, wire)
        transit = TransitDelay()
        accepted: _AcceptedStream | None = None
        try:
            self._handshakes += 1
            try:
                async with asyncio.timeout(self._timeout_s):
                    sender = await self._authenticate(wire, messages, transit)
            finally:
                self._handshakes -= 1
            # A peer that dials again has abandoned its earlier stream, which may be half open.
            self.drop(sender)
            accepted = self._accepted[sender] = _AcceptedStream(sender, wire, transit)
            async for message in messages:
                self._receive(accepted, message)
        except MalformedMessageError as error:
            _MALFORMED.emit(peer=accepted.sender if accepted else "unknown", error=error)
        except HandshakeError as error:
            _HANDSHAKE_FAILED.emit(error=error)
        except (OSError, TimeoutError):
            pass
        except Exception as error:  # what one connection sends must not end this agent
            report_reading_failure(
                f"stream of {accepted.sender if accepted else 'unknown'}", error
            )
        finally:
            wire.close()
            if accepted is not None:
                self._remove(accepted)

    def _remove(self, accepted: _AcceptedStream) -> None:
        self._outdated.discard(accepted)
        if self._accepted.get(accepted.sender) is accepted:
            del self._accepted[accepted.sender]
        for channel in accepted.channels.values():
            channel.fail("the stream of the forwarding agent ended")
        for task in accepted.tasks.values():
            task.cancel()

    async def _authenticate(
        self, wire: Wire, messages: AsyncIterator[Any], transit: TransitDelay
    ) -> str:
        nonce = secrets.token_bytes(32)
        wire.send(Challenge(nonce))
        hello = await anext(messages, None)
        if not isinstance(hello, Hello):
            raise HandshakeError("the peer sent no Hello message")
        transit.observe(hello.sent_ms, self._clock.now())
        if hello.protocol != PROTOCOL_VERSION:
            raise HandshakeError(
                f"{hello.name!r} uses protocol {hello.protocol}; supported: {PROTOCOL_VERSION}"
            )
        identity = self._identity()
        expected_mac = handshake_mac(identity.secret, nonce, hello.name, hello.incarnation)
        if not hmac.compare_digest(hello.mac, expected_mac):
            raise HandshakeError(f"{hello.name!r} uses a different peer secret")
        own_id = f"{identity.name}:{identity.incarnation}"
        # Checked before this stream replaces the one that the sender has open.
        if hello.wanted and hello.wanted != own_id:
            raise HandshakeError(f"{hello.name!r} dialled {hello.wanted}; this agent is {own_id}")
        if hello.name == identity.name and hello.incarnation >= identity.incarnation:
            raise HandshakeError(f"{hello.name!r} uses the name of this agent")
        newest_incarnation = self._incarnations.get(hello.name, 0)
        if hello.incarnation < newest_incarnation:
            raise HandshakeError(
                f"{hello.name!r} has incarnation {hello.incarnation}, which is older than "
                f"{newest_incarnation}"
            )
        self._incarnations[hello.name] = hello.incarnation
        wire.send(Welcome(identity.name, identity.incarnation, takes_parts=True))
        wire.parts.accepted = hello.takes_parts
        return f"{hello.name}:{hello.incarnation}"

    def _receive(self, accepted: _AcceptedStream, message: Any) -> None:
        if isinstance(message, StreamOpen):
            self._start_request(accepted, message)
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

    def _start_request(self, accepted: _AcceptedStream, message: StreamOpen) -> None:
        stream_number = message.stream
        if stream_number in accepted.tasks:
            raise MalformedMessageError(f"stream {stream_number} is already open")
        if len(accepted.tasks) >= _MAX_REQUESTS_PER_STREAM:
            error = OverloadedError("too many requests on one stream", retry_after_s=1.0)
            accepted.wire.send(refused_message(stream_number, error))
            return
        channel = Channel(stream_number, accepted.wire.send, self._windows, self._outgoing)
        accepted.channels[stream_number] = channel
        task = self._tasks.spawn("request", self._run_request(accepted, channel, message))
        accepted.tasks[stream_number] = task

        def remove_request(_: asyncio.Task[None]) -> None:
            # A task that is cancelled before its first step does not reach its own `finally`.
            del accepted.tasks[stream_number]
            del accepted.channels[stream_number]
            channel.close_window()

        task.add_done_callback(remove_request)

    async def _run_request(
        self, accepted: _AcceptedStream, channel: Channel, message: StreamOpen
    ) -> None:
        try:
            request = self._build_request(accepted, channel, message)
            if self._handler is None:
                raise NotOwnerError("this agent serves no forwarded requests")
            response = await self._handler(request)
            await _send_response(accepted.wire, channel, response, self._held)
        except RefusalError as error:
            accepted.wire.send(refused_message(message.stream, error))
            drop_traceback(error)
        except BodyTruncatedError as error:
            accepted.wire.send(StreamReset(message.stream, encodable_text(error)[:500]))
            drop_traceback(error)
        except Exception as error:  # one failing request must not close a shared stream
            _REQUEST_FAILED.emit(
                peer=accepted.sender, request=message.request_id, error=repr(error)
            )
            accepted.wire.send(StreamReset(message.stream, type(error).__name__))
            drop_traceback(error)

    def _build_request(
        self, accepted: _AcceptedStream, channel: Channel, message: StreamOpen
    ) -> Request:
        if message.end:
            body: Any = BytesBody(message.data)
        else:
            channel.receive(message.data, False)
            body = ChannelBody(channel, message.length, lambda: None)
        now = self._clock.now()
        delayed_s = accepted.transit.observe(message.sent_ms, now)
        sent_at = now - delayed_s
        useful_until = None if message.useful_ms is None else sent_at + message.useful_ms / 1000
        return Request(
            id=message.request_id,
            service=message.service,
            key=message.key,
            method=message.method,
            path=message.path,
            headers=message.headers,
            body=body,
            deadline=sent_at + message.remaining_ms / 1000,
            token=message.token,
            forwarded_by=accepted.sender,
            caller=message.caller,
            priority=message.priority,
            repeatable=message.repeatable,
            repeated=message.repeated,
            useful_until=useful_until,
            route=message.route,
            has_alternatives=message.has_alternatives,
            departed_start=message.departed_start,
            delayed_s=delayed_s,
            seeks_free_slot=message.seeks_free_slot,
            inner=message.inner,
            returning=message.returning,
        )


class _HeldResponse:
    """A response that is held until the peer has read it."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel

    def evict(self) -> None:
        """Ends the response, which is then incomplete."""
        self._channel.fail("too many response bytes are held")


async def _send_response(
    wire: Wire, channel: Channel, response: Response, budget: CallerBudget | None
) -> None:
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
    held = _HeldResponse(channel)
    try:
        wire.send(head)
        if budget is not None and isinstance(response.body, BytesBody):
            budget.update(held, len(response.body.data))
        await channel.write_body(response.body)
    finally:
        if budget is not None:
            budget.update(held, 0)
        await response.body.close()
