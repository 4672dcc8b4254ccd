"""Tests of the writing side of a peer stream."""

from __future__ import annotations

import asyncio
import unittest

import uvloop

from fescueward.messages.peer import StreamReset
from fescueward.services.peer_wire import Wire


class WireTest(unittest.TestCase):
    def test_send_on_a_stream_that_has_ended(self):
        """Guards against a 500 for a caller when its request is abandoned after a pause."""

        async def send_after_end() -> None:
            async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.read()
                writer.close()

            async with await asyncio.start_server(accept, "127.0.0.1", 0) as server:
                _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
                writer.transport.abort()
                await asyncio.sleep(0)  # the loop closes the handle
                await asyncio.sleep(0)
                with self.assertRaises(RuntimeError):
                    writer.write(b"what uvloop does, and the reason for the check")
                Wire(writer).send(StreamReset(1, "deadline"))

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(send_after_end())
