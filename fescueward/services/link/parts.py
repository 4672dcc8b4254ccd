"""Long messages between agents, in parts between which other messages pass.

Answers the load of large configurations on slow links: a message of hundreds of kilobytes occupies
a link for longer than the renewal of a lease may take.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from ...kernel import TaskOwner
from ...kernel.errors import MalformedMessageError
from ...messages.frames import MAX_MESSAGE_BYTES, LongMessage, decode_long, long_message
from ...messages.peer import MessagePart, PartReceived
from .window import OutgoingBody, SendWindow

# A part takes 26 ms on a link of 5 Mbit/s.
PART_BYTES = 16_384


class MessageParts:
    """Sends and receives the long messages of one connection.

    Args:
        tasks: Owner of the task that sends the parts.
        window: Limits what this agent has on its way in bodies and parts.
        send: Sends a message on the connection.

    Attributes:
        accepted: Whether the peer has proved its identity and takes parts.
        queued_bytes: Bytes of the messages that are not sent completely.
    """

    def __init__(
        self, tasks: TaskOwner, window: SendWindow, send: Callable[[object], None]
    ) -> None:
        self._tasks = tasks
        self._window = window
        self._send = send
        self.accepted = False
        self.queued_bytes = 0
        self._queue: deque[tuple[type[object], LongMessage]] = deque()
        self._sending: asyncio.Task[None] | None = None
        self._outgoing: OutgoingBody | None = None
        self._received: list[bytes] = []
        self._received_bytes = 0

    def enqueue(self, message: object) -> bool:
        """Sends a message in parts, if it is long.

        So is a message behind a long one of its type: the receiver applies a change only to the
        version before it.

        Returns:
            Whether the message is sent in parts.

        Raises:
            MalformedMessageError: The message cannot be encoded or is too large.
        """
        if not self.accepted:
            return False
        kind = type(message)
        follows_long = any(kind is queued for queued, _ in self._queue)
        long = long_message(message, always=follows_long)
        if long is None:
            return False
        self._queue.append((kind, long))
        self.queued_bytes += len(long.content)
        if self._sending is None or self._sending.done():
            self._sending = self._tasks.spawn("parts", self._send_queue())
        return True

    def receive(self, message: Any) -> Any | None:
        """Returns a message that was received as a whole or with its last part, or None.

        Raises:
            MalformedMessageError: The parts are no message, or the peer may not send any.
        """
        if isinstance(message, PartReceived):
            if self._outgoing is not None:
                self._outgoing.acknowledge(message.size)
            return None
        if not isinstance(message, MessagePart):
            return message
        if not self.accepted:
            raise MalformedMessageError("a part of a message came before the handshake")
        self._received.append(message.data)
        self._received_bytes += len(message.data)
        if self._received_bytes > MAX_MESSAGE_BYTES:
            raise MalformedMessageError(f"a message has more than {MAX_MESSAGE_BYTES} bytes")
        self._send(PartReceived(len(message.data)))
        if not message.end:
            return None
        content = b"".join(self._received)
        self._received, self._received_bytes = [], 0
        return decode_long(LongMessage(message.kind, content))

    def close(self) -> None:
        """Sends no more parts."""
        if self._sending is not None:
            self._sending.cancel()

    async def _send_queue(self) -> None:
        while self._queue:
            _, long = self._queue[0]
            self._outgoing = self._window.begin(len(long.content))
            try:
                await self._send_parts(long, self._outgoing)
            finally:
                self._outgoing.end()
                self._outgoing = None
                self._queue.popleft()
                self.queued_bytes -= len(long.content)

    async def _send_parts(self, long: LongMessage, outgoing: OutgoingBody) -> None:
        for start in range(0, len(long.content), PART_BYTES):
            part = long.content[start : start + PART_BYTES]
            await outgoing.take(len(part))
            is_last = start + PART_BYTES >= len(long.content)
            self._send(MessagePart(long.kind, part, is_last))
