"""Tests of the HTTP client sessions."""

import asyncio
import unittest

import aiohttp
import uvloop

from fescueward.kernel.http_client import bounded_session

OPEN_BODY = b"HTTP/1.1 200 OK\r\n\r\n"
MAX_BYTES = 100_000


class UnfinishedBodyTest(unittest.TestCase):
    """Tests under both event loops; the agent runs on uvloop."""

    async def read(self, *parts: bytes, close_session: bool = False) -> bytes:
        """Returns the body of a response that is sent in parts on a connection that stays open."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            for part in parts:
                writer.write(part)
                await asyncio.sleep(0.02)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        session = bounded_session(MAX_BYTES)
        try:
            async with asyncio.timeout(2), session.get(f"http://127.0.0.1:{port}/") as response:
                if not close_session:
                    return await response.read()
                closing = asyncio.create_task(session.close())
                content = await response.read()
                await closing
                return content
        finally:
            await session.close()
            server.close()
            # The server's task ends once it has read the end of the connection.
            await asyncio.sleep(0.01)

    def test_close_of_the_session_does_not_complete_a_body(self):
        """Guards against a part of a response without a length that looks whole at a stop."""
        for run in (asyncio.run, uvloop.run):
            with self.subTest(run=run.__module__), self.assertRaises(aiohttp.ClientPayloadError):
                run(self.read(OPEN_BODY + b"half", close_session=True))

    def test_malformed_chunk_fails_the_body_at_once(self):
        """Guards against a request that is held to its deadline after a malformed chunk."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
        for run in (asyncio.run, uvloop.run):
            with self.subTest(run=run.__module__), self.assertRaises(aiohttp.ClientPayloadError):
                run(self.read(head, b"no chunk\r\n"))

    def test_body_that_is_filled_up_with_another_response(self):
        """Guards against a body that is cut off and completed by the next response's head."""
        cut = b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n" + b"x" * 30
        other = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        for run in (asyncio.run, uvloop.run):
            with self.subTest(run=run.__module__):
                with self.assertRaises(aiohttp.ClientPayloadError):
                    run(self.read(cut, other))
                whole = run(self.read(cut, b"x" * 10 + other))
                self.assertEqual(b"x" * 40, whole)
