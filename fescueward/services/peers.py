"""Streams between agents: handshake, messages and forwarded requests.

One task runs for each dialled peer, for each accepted stream and, at the owner, for each forwarded
request.
"""

from __future__ import annotations

import asyncio
from typing import Any

from ..interfaces.peers import M, MessageHandler, RequestHandler
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.caller_budget import CallerBudget
from ..kernel.errors import MalformedMessageError
from ..kernel.settings import Settings
from ..messages import Member, Request, Response
from .link.window import SendWindow
from .peer_accepted import AcceptedStreams
from .peer_links import Identity, PeerLinks
from .streams import ReceiveWindows

_MESSAGE_NOT_SENT = Event(
    2308, "peer_message_not_sent", Level.ERROR, "A message cannot be encoded or is too large."
)
_HANDLER_FAILED = Event(
    2305, "peer_handler_failed", Level.ERROR, "The handler of a peer message raised an exception."
)

_BYTES_PER_KBIT = 125


class MsgpackPeers:
    """The `peers` service.

    A message is sent on the stream that this agent dialled, and its reply is received on the same
    stream. Each dialled stream is one long-lived connection that multiplexes all requests.

    Args:
        kernel: The kernel.
        name: Name of this agent.
        incarnation: Number of this start, which increases with each start.
        held: Limit on the responses that wait to be sent to peers, or None.
    """

    name = "peers"
    requires: tuple[str, ...] = ()

    def __init__(
        self, kernel: Kernel, name: str, incarnation: int, held: CallerBudget | None = None
    ) -> None:
        self._held = held
        self._tasks = kernel.task_owner(self.name)
        self._agent_name = name
        self._incarnation = incarnation
        self._handlers: dict[type[Any], MessageHandler[Any]] = {}
        self._server: asyncio.Server | None = None

    def bind(self, registry: Registry) -> None:
        """Reads the address, secret and timeout from the settings."""
        clock = registry.find("clock", Clock)
        section = registry.find("settings", Settings).peers
        self._host, self._port = section.host, section.port
        self._secret = section.secret.encode()
        timeout_s = section.timeout_ms / 1000
        bytes_per_s = section.link_kbps * _BYTES_PER_KBIT
        self._outgoing = SendWindow(bytes_per_s)
        self._links = PeerLinks(
            self._tasks, clock, timeout_s, self._identity, self._dispatch, self._outgoing
        )
        self._accepted = AcceptedStreams(
            self._tasks,
            clock,
            timeout_s,
            self._identity,
            self._dispatch,
            ReceiveWindows(bytes_per_s),
            self._outgoing,
            self._held,
        )

    async def start(self) -> None:
        """Listens on the port, which only one process of this VM can bind at a time."""
        self._tasks.spawn("idle", self._links.run_idle_check())
        if self._port:
            self._server = await asyncio.start_server(
                self._accepted.accept, self._host, self._port
            )

    async def stop(self) -> None:
        """Flushes and closes all streams."""
        if self._server is not None:
            self._server.close()
        await self._accepted.flush_and_close()
        await self._tasks.cancel()

    def on(self, kind: type[M], handler: MessageHandler[M]) -> None:
        """Registers the handler of a message type; see `Peers.on`."""
        self._handlers[kind] = handler

    def serve(self, handler: RequestHandler) -> None:
        """Registers the handler of forwarded requests."""
        self._accepted.serve(handler)

    def next_call(self) -> int:
        """Returns an unused call number."""
        return self._links.next_call()

    def connected(self) -> tuple[str, ...]:
        """Returns the ids of the members to which a dialled stream is open."""
        return self._links.connected()

    def open_requests(self) -> int:
        """Returns the number of requests in flight on dialled and accepted streams."""
        return self._links.open_requests() + self._accepted.open_requests()

    def expected_send_s(self, length: int) -> float:
        """Returns when a body would be sent; see `BodyTransit.expected_send_s`."""
        return self._outgoing.expected_s(length)

    def send(self, member: Member, message: object) -> bool:
        """Sends a message without waiting; see `Peers.send`."""
        try:
            return self._links.send(member, message)
        except MalformedMessageError as error:
            _MESSAGE_NOT_SENT.emit(peer=member.id, error=error)
            return False

    def reply(self, sender: str, message: object) -> bool:
        """Sends a message on the sender's stream, else on the dialled one; see `Peers.reply`."""
        try:
            return self._accepted.reply(sender, message) or self._links.reply(sender, message)
        except MalformedMessageError as error:
            _MESSAGE_NOT_SENT.emit(peer=sender, error=error)
            return False

    async def call(self, member: Member, message: object, call: int) -> object:
        """Sends a message and waits for its reply; see `Peers.call`."""
        return await self._links.call(member, message, call)

    def dial(self, member: Member) -> bool:
        """Starts connecting to a member if needed; see `Peers.dial`."""
        return self._links.dial(member)

    def unreachable(self, member: Member) -> bool:
        """Returns whether connecting to a member failed; see `Peers.unreachable`."""
        return self._links.unreachable(member)

    async def forward(self, member: Member, request: Request) -> Response:
        """Sends a request to its owner; see `Peers.forward`."""
        return await self._links.forward(member, request)

    def drop(self, member_id: str) -> None:
        """Closes the dialled stream to a member that was removed.

        The stream that the member dialled stays open: it may still forward requests of callers.
        """
        self._links.drop(member_id)

    def retire(self, member_id: str) -> None:
        """Stops redialling a member that left gracefully; its open stream drains first."""
        self._links.retire(member_id)

    def set_incarnation(self, incarnation: int) -> None:
        """Sets a new incarnation of this agent; see `Peers.set_incarnation`."""
        self._incarnation = incarnation
        self._links.renew_identity()
        self._accepted.renew_identity()

    def _identity(self) -> Identity:
        return Identity(self._agent_name, self._incarnation, self._secret)

    def _dispatch(self, sender: str, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(sender, message)
        except Exception as error:  # one failing message must not close a shared stream
            _HANDLER_FAILED.emit(peer=sender, message=type(message).__name__, error=repr(error))
