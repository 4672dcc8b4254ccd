"""Tests of long messages that are sent in parts."""

from __future__ import annotations

import asyncio
import random
import unittest

from fescueward.kernel import Kernel
from fescueward.kernel.errors import MalformedMessageError
from fescueward.messages.frames import MAX_MESSAGE_BYTES, FrameEncoder
from fescueward.messages.peer import MessagePart, PartReceived, Renew, StatusReply
from fescueward.services.link.parts import PART_BYTES, MessageParts
from fescueward.services.link.window import SendWindow

# A link of 5 Mbit/s, on which 37,500 bytes take 60 ms.
SLOW_LINK_BYTES_PER_S = 625_000


def status(call: int, size: int) -> StatusReply:
    """Returns a message that hardly gets shorter by compression."""
    text = random.Random(call).randbytes(size // 2).hex()
    return StatusReply(call, {"text": text})


class MessagePartsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.tasks = Kernel().task_owner("peers")
        self.addAsyncCleanup(self.tasks.cancel)
        self.on_link: list[MessagePart] = []
        self.sender = MessageParts(
            self.tasks, SendWindow(SLOW_LINK_BYTES_PER_S), self.on_link.append
        )
        self.acknowledgements: list[PartReceived] = []
        self.receiver = MessageParts(self.tasks, SendWindow(), self.acknowledgements.append)
        self.sender.accepted = self.receiver.accepted = True

    async def deliver(self) -> list[object]:
        """Lets the parts that are on the link arrive; returns the messages that are complete."""
        await asyncio.sleep(0)
        parts, self.on_link[:] = list(self.on_link), []
        complete = [self.receiver.receive(part) for part in parts]
        for acknowledgement in self.acknowledgements:
            self.sender.receive(acknowledgement)
        self.acknowledgements.clear()
        await asyncio.sleep(0)
        return [message for message in complete if message is not None]

    async def test_link_is_left_to_other_messages(self):
        """Guards against renewals of leases that wait behind a large configuration."""
        message = status(1, 2_000_000)
        self.assertTrue(self.sender.enqueue(message))
        received: list[object] = []
        for _ in range(2_000_000 // PART_BYTES + 2):
            await asyncio.sleep(0)
            self.assertLessEqual(sum(len(part.data) for part in self.on_link), 2 * PART_BYTES)
            received += await self.deliver()
        self.assertEqual(received, [message])
        self.assertEqual(self.sender.queued_bytes, 0)

    async def test_messages_of_one_type_stay_in_order(self):
        """Guards against a change that arrives before the version that it applies to."""
        messages = [status(1, 200_000), status(2, 10), status(3, 100_000)]
        for message in messages:
            self.assertTrue(self.sender.enqueue(message))
        self.assertFalse(self.sender.enqueue(Renew("a:1", 4)))
        received: list[object] = []
        while len(received) < len(messages):
            received += await self.deliver()
        self.assertEqual(received, messages)
        self.assertFalse(self.sender.enqueue(messages[1]))

    async def test_message_that_is_short_once_compressed_takes_one_frame(self):
        """Guards against round trips for messages that occupy the link for a moment."""
        message = StatusReply(1, {"text": "x" * 500_000})
        self.assertFalse(self.sender.enqueue(message))
        self.assertLess(len(FrameEncoder().encode(message)), PART_BYTES)

    async def test_peer_of_an_earlier_version_gets_no_parts(self):
        """Guards against a stream to an earlier version that each long message ends."""
        self.sender.accepted = False
        self.assertFalse(self.sender.enqueue(status(1, 500_000)))

    async def test_part_before_the_handshake_is_refused(self):
        """Guards against strangers whose parts are held in memory."""
        self.receiver.accepted = False
        with self.assertRaises(MalformedMessageError):
            self.receiver.receive(MessagePart(0, b"x"))

    async def test_parts_without_end_are_refused(self):
        """Guards against a peer that takes all memory of the process."""
        part = MessagePart(0, bytes(MAX_MESSAGE_BYTES // 4))
        for _ in range(4):
            self.assertIsNone(self.receiver.receive(part))
        with self.assertRaises(MalformedMessageError):
            self.receiver.receive(part)

    async def test_odd_parts_are_refused(self):
        """Guards against bytes of a peer that end the process."""
        for kind, data in ((10**9, b""), (0, b"x"), (15, b"")):
            with self.assertRaises(MalformedMessageError):
                self.receiver.receive(MessagePart(kind, data, end=True))
