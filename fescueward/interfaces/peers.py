"""Streams between agents as the services see them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar, runtime_checkable

from ..messages import Member, Request, Response

M = TypeVar("M")

MessageHandler = Callable[[str, M], None]
RequestHandler = Callable[[Request], Awaitable[Response]]


@runtime_checkable
class Peers(Protocol):
    """Messages and forwarded requests between agents."""

    def on(self, kind: type[M], handler: MessageHandler[M]) -> None:
        """Registers the handler of a message type.

        Args:
            kind: Type of the message.
            handler: Called with the member id of the sender and the message; must not block.
        """
        ...

    def serve(self, handler: RequestHandler) -> None:
        """Registers the handler of forwarded requests."""
        ...

    def send(self, member: Member, message: object) -> bool:
        """Sends a message without waiting.

        Returns:
            False if there is no stream to the member now; one is being made then.
        """
        ...

    def reply(self, sender: str, message: object) -> bool:
        """Sends a message on the stream that the sender dialled; False if it is gone."""
        ...

    async def call(self, member: Member, message: object, call: int) -> object:
        """Sends a message that has a `call` number and waits for the reply with that number.

        Raises:
            PeerUnavailableError: There is no stream and none could be made.
            PeerTimeoutError: No reply came in time.
        """
        ...

    def next_call(self) -> int:
        """Returns an unused call number."""
        ...

    def dial(self, member: Member) -> bool:
        """Begins to connect to a member if needed; tells whether a stream is open."""
        ...

    def unreachable(self, member: Member) -> bool:
        """Tells whether the last attempt to connect to a member failed, or its stream ended."""
        ...

    async def forward(self, member: Member, request: Request) -> Response:
        """Sends a request to its owner.

        Raises:
            OwnerUnreachableError: The request was not sent.
            OutcomeLostError: The stream ended after the request was sent.
            RefusalError: The owner refused it.
        """
        ...

    def retire(self, member_id: str) -> None:
        """Keeps the stream to a member that has left in order until it ends by itself."""
        ...

    def drop(self, member_id: str) -> None:
        """Ends the stream to a member that was removed; what waits on it fails."""
        ...

    def rename(self, incarnation: int) -> None:
        """Takes a new incarnation.

        Streams that were made under the old one carry their open requests to the end, and
        nothing else any more.
        """
        ...

    def connected(self) -> tuple[str, ...]:
        """Returns the ids of the members that streams exist to."""
        ...
