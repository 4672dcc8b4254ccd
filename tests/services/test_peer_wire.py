"""Tests of writing messages to a peer stream."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import uvloop

from fescueward.kernel import Kernel
from fescueward.kernel.errors import MalformedMessageError, OutcomeLostError
from fescueward.messages.frames import FrameDecoder, FrameEncoder
from fescueward.messages.peer import StreamReset
from fescueward.services.link.window import SendWindow
from fescueward.services.peer_wire import Wire, read_messages, refused_message


def make_wire(writer: asyncio.StreamWriter) -> Wire:
    return Wire(writer, Kernel().task_owner("peers"), SendWindow())


class RefusalTest(unittest.TestCase):
    def test_refusal_that_names_bytes_of_an_upstream(self):
        """Guards against a refusal that cannot be sent, whose error ends the process (Fault)."""
        message = refused_message(7, OutcomeLostError("odd header a\udce1"))
        (received,) = FrameDecoder().feed(FrameEncoder().encode(message))
        self.assertEqual(received.message, "odd header a\\udce1")


class WireTest(unittest.TestCase):
    def test_send_on_a_closed_connection(self):
        """Guards against a 500 for a caller when its request is reset on a closed connection.

        A paused process may find its connection closed; uvloop raises RuntimeError for a write.
        """

        async def send_after_close() -> None:
            async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.read()
                writer.close()

            async with await asyncio.start_server(accept, "127.0.0.1", 0) as server:
                _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
                writer.transport.abort()
                await asyncio.sleep(0)  # lets the loop close the handle
                await asyncio.sleep(0)
                with self.assertRaises(RuntimeError):
                    writer.write(b"uvloop raises on a closed transport")
                make_wire(writer).send(StreamReset(1, "deadline"))

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(send_after_close())

    def test_messages_of_one_loop_iteration_are_written_together(self):
        """Guards against a system call for each message of a burst."""

        async def send_some() -> None:
            received = asyncio.Event()
            messages: list[object] = []

            async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                async for message in read_messages(reader, make_wire(writer)):
                    messages.append(message)
                received.set()
                writer.close()

            async with await asyncio.start_server(accept, "127.0.0.1", 0) as server:
                _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
                wire = make_wire(writer)
                sent = [StreamReset(number, "deadline") for number in range(4)]
                with (
                    mock.patch.object(writer, "write") as write,
                    mock.patch.object(writer, "writelines", wraps=writer.writelines) as lines,
                ):
                    for message in sent[:3]:
                        wire.send(message)
                    self.assertEqual(lines.call_count, 0)
                    await asyncio.sleep(0.01)
                    self.assertEqual((write.call_count, lines.call_count), (0, 1))
                    # A message that is sent just before the close must not be lost.
                    wire.send(sent[3])
                    wire.close()
                    await asyncio.wait_for(received.wait(), 2)
                self.assertEqual(messages, sent)

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(send_some())


class FirstMessageTest(unittest.IsolatedAsyncioTestCase):
    async def test_first_message_without_end_is_given_up(self):
        """Guards against strangers whose bytes are held up to the size of the largest frame."""
        reader = asyncio.StreamReader()
        wire = make_wire(mock.Mock())
        # A frame that announces a part of 1 MB.
        reader.feed_data(b"\x93\x00\xc6\x00\x10\x00\x00" + b"x" * 30_000)
        with self.assertRaises(MalformedMessageError):
            await asyncio.wait_for(anext(read_messages(reader, wire)), 5.0)
