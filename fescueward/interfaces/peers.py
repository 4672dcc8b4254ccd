"""Protocol of the streams between agents."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar, runtime_checkable

from ..messages import Member, Request, Response

M = TypeVar("M")

MessageHandler = Callable[[str, M], None]
RequestHandler = Callable[[Request], Awaitable[Response]]


@runtime_checkable
class BodyTransit(Protocol):
    """Time that bodies take on the link of this VM."""

    def expected_send_s(self, length: int) -> float:
        """Returns the time in seconds after which a body that begins now would be sent.

        Args:
            length: Bytes of the body; 0 gives the time of the bodies before it.

        Returns:
            0.0 if the speed of the link is unknown.
        """
        ...


@runtime_checkable
class Peers(Protocol):
    """Sends messages and forwards requests to other agents."""

    def on(self, kind: type[M], handler: MessageHandler[M]) -> None:
        """Registers the handler of a message type.

        Args:
            kind: Message type.
            handler: Called with the member id of the sender and the message; must not block.
        """
        ...

    def serve(self, handler: RequestHandler) -> None:
        """Registers the handler of forwarded requests."""
        ...

    def send(self, member: Member, message: object) -> bool:
        """Sends a message without waiting.

        Returns:
            False if there is no stream to the member; a connection attempt is started then.
        """
        ...

    def reply(self, sender: str, message: object) -> bool:
        """Sends a message on an open stream of a sender; returns False if there is none."""
        ...

    async def call(self, member: Member, message: object, call: int) -> object:
        """Sends a message that has a `call` number and waits for the reply with that number.

        Raises:
            PeerUnavailableError: There is no stream and the connection attempt failed.
            PeerTimeoutError: No reply arrived within the timeout.
        """
        ...

    def next_call(self) -> int:
        """Returns an unused call number."""
        ...

    def dial(self, member: Member) -> bool:
        """Starts connecting to a member if needed; returns whether a stream is open."""
        ...

    def unreachable(self, member: Member) -> bool:
        """Returns whether the last connection attempt to a member failed or its stream ended."""
        ...

    async def forward(self, member: Member, request: Request) -> Response:
        """Forwards a request to its owner and returns the response.

        Raises:
            OwnerUnreachableError: The request was not sent.
            OutcomeLostError: The stream ended after the request was sent.
            RefusalError: The owner refused it.
        """
        ...

    def retire(self, member_id: str) -> None:
        """Stops reconnecting to a departed member; its stream stays open until it ends."""
        ...

    def drop(self, member_id: str) -> None:
        """Closes the stream to a removed member; calls and requests in flight on it fail."""
        ...

    def set_incarnation(self, incarnation: int) -> None:
        """Sets a new incarnation of this agent.

        Streams made under the old incarnation finish their open requests and carry no new
        messages or requests.
        """
        ...

    def connected(self) -> tuple[str, ...]:
        """Returns the ids of the members with an open stream."""
        ...
