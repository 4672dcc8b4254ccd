"""Tests of the HTTP client sessions."""

import asyncio
import socket
import threading
import time
import tracemalloc
import unittest
from contextlib import suppress

import aiohttp
import uvloop

from fescueward.kernel.http_client import AnswerTooLargeError, ReceptionBudget, bounded_session

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


class RecordedBudget(ReceptionBudget):
    """Records the largest sum."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(max_bytes)
        self.most_bytes = 0

    def update(self, connection, size):
        super().update(connection, size)
        self.most_bytes = max(self.most_bytes, self.total_bytes)


class ReceptionTest(unittest.IsolatedAsyncioTestCase):
    """Responses that never end must neither fill the memory nor keep the event loop busy."""

    CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    MAX_RESPONSE_BYTES = 4_000_000

    async def start(self, budget_bytes: int) -> None:
        async def serve(reader, writer):
            path = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
            start, piece, count = self.responses[path]
            try:
                writer.write(start)
                for _ in range(count):
                    writer.write(piece)
                    await writer.drain()
                await reader.read()
            except ConnectionError:
                pass
            finally:
                writer.close()

        self.responses: dict[str, tuple[bytes, bytes, int]] = {}
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.budget = RecordedBudget(budget_bytes)
        self.session = bounded_session(self.MAX_RESPONSE_BYTES, budget=self.budget)
        self.addAsyncCleanup(self.session.close)

    async def get(self, path: str) -> bytes:
        async with asyncio.timeout(20), self.session.get(self.url + path) as response:
            return await response.read()

    async def test_framing_without_a_body(self):
        """Guards against chunks of one byte, whose parsing keeps an agent from other requests."""
        await self.start(self.MAX_RESPONSE_BYTES)
        pieces = {
            "/chunks": b"1\r\nx\r\n" * 10_000,
            "/extension": b"4;x=" + b"y" * 60_000,
            "/trailers": b"0\r\n" + b"X-More: 1\r\n" * 6_000,
            "/five": b"5\r\nxxxxx\r\n" * 10_000,
        }
        for path, piece in pieces.items():
            with self.subTest(path=path):
                self.responses[path] = (self.CHUNKED, piece, 100)
                self.budget.most_bytes = 0
                with self.assertRaises((aiohttp.ClientPayloadError, aiohttp.ClientResponseError)):
                    await self.get(path)
                self.assertLess(self.budget.most_bytes, 100_000)

    async def test_interim_responses(self):
        """Guards against 1xx responses, each of which is parsed like a whole response."""
        await self.start(self.MAX_RESPONSE_BYTES)
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        final = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        self.responses["/few"] = (interim * 8 + final, b"", 0)
        self.responses["/endless"] = (b"", interim * 100, 1000)
        self.assertEqual(await self.get("/few"), b"ok")
        self.budget.most_bytes = 0
        with self.assertRaises(AnswerTooLargeError):
            await self.get("/endless")
        self.assertLess(self.budget.most_bytes, 40_000)

    async def test_usual_chunks(self):
        """Guards against a limit that truncates valid responses."""
        await self.start(self.MAX_RESPONSE_BYTES)
        for size, count in ((1, 2_000), (100, 20_000), (16_384, 200)):
            with self.subTest(size=size):
                chunk = b"%x\r\n" % size + b"y" * size + b"\r\n"
                self.responses["/"] = (self.CHUNKED, chunk * count + b"0\r\n\r\n", 1)
                self.assertEqual(len(await self.get("/")), size * count)

    async def test_sum_of_responses(self):
        """Guards against responses that are bounded one by one and together fill the memory."""
        await self.start(6_000_000)
        piece = b"x" * 65_536
        self.responses = {
            "/close": (b"HTTP/1.1 200 OK\r\n\r\n", piece, 1_000),
            "/length": (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", piece, 1_000),
            "/chunks": (self.CHUNKED, b"10000\r\n" + piece + b"\r\n", 1_000),
            "/valid": (b"HTTP/1.1 200 OK\r\nContent-Length: 655360\r\n\r\n", piece, 10),
        }
        paths = ["/close", "/length", "/chunks"] * 8
        endless = [asyncio.create_task(self.get(path)) for path in paths]
        valid = [asyncio.create_task(self.get("/valid")) for _ in range(2)]
        for response in await asyncio.gather(*valid):
            self.assertEqual(len(response), 655_360)
        for result in await asyncio.gather(*endless, return_exceptions=True):
            self.assertIsInstance(result, aiohttp.ClientPayloadError)
        self.assertLess(self.budget.most_bytes, 6_100_000)
        self.assertEqual(self.budget.total_bytes, 0)


class BackPressureTest(unittest.TestCase):
    """Tests under the event loop of the agent, which reads a socket many times in one turn."""

    BUDGET_BYTES = 8_000_000
    CONNECTIONS = 24

    def setUp(self):
        self.data = b"x" * 16_000_000
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=self.CONNECTIONS)
        self.addCleanup(self.listening.close)
        self.url = f"http://127.0.0.1:{self.listening.getsockname()[1]}/"
        threads = [threading.Thread(target=self.serve) for _ in range(self.CONNECTIONS)]
        for thread in threads:
            thread.start()
            self.addCleanup(thread.join, 10)

    def serve(self) -> None:
        """Sends more than a client may receive on one connection."""
        connection, _ = self.listening.accept()
        with connection, suppress(OSError):
            connection.recv(4096)
            connection.sendall(OPEN_BODY)
            connection.sendall(self.data)

    async def read_endless_responses(self) -> int:
        """Returns the largest amount of memory that was allocated meanwhile, in bytes."""
        session = bounded_session(4_000_000, budget=ReceptionBudget(self.BUDGET_BYTES))

        async def get() -> None:
            with self.assertRaises(aiohttp.ClientPayloadError):
                async with session.get(self.url) as response:
                    await response.read()

        responses = asyncio.gather(*(get() for _ in range(self.CONNECTIONS)))
        while not responses.done():
            # Data arrives while the event loop is busy.
            time.sleep(0.05)  # noqa: ASYNC251
            await asyncio.sleep(0)
        await responses
        await session.close()
        return tracemalloc.get_traced_memory()[1]

    def test_memory_of_unread_data(self):
        """Guards against a reader without back pressure, which takes all that has arrived."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        peak_bytes = uvloop.run(self.read_endless_responses())
        self.assertLess(peak_bytes, 6 * self.BUDGET_BYTES)
