"""Tests of HTTP connections that handle pipelined requests concurrently."""

import asyncio
import unittest

from aiohttp import web

from fescueward.kernel.http_pipeline import PipelinedServer, PipelineLimits
from fescueward.kernel.http_port import HttpPort
from fescueward.testing.ports import PortReservations

TIMEOUT_S = 5.0


def get(path, *headers):
    lines = [f"GET {path} HTTP/1.1", "Host: a.example", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class PipelineCase(unittest.IsolatedAsyncioTestCase):
    """A server whose handler waits until the test releases the path of the request."""

    limits = PipelineLimits()

    async def asyncSetUp(self):
        self.begun = []
        self.cancelled = []
        self.requests = {}
        self.released = {}
        self.changed = asyncio.Event()
        self.closing_paths = set()
        self.body_size = 0
        ports = PortReservations()
        self.addCleanup(ports.close)
        self.server = PipelinedServer(self.handle, self.limits)
        self.http = HttpPort(self.server, "127.0.0.1", ports.reserve(), TIMEOUT_S)
        await self.http.start()
        self.addAsyncCleanup(self.http.close)
        self.reader, self.writer = await asyncio.open_connection(*self.http._address)
        self.addCleanup(self.writer.close)

    async def handle(self, request):
        self.begun.append(request.path)
        self.requests[request.path] = request
        self.changed.set()
        try:
            await self.released.setdefault(request.path, asyncio.Event()).wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.path)
            self.changed.set()
            raise
        body = await request.read()
        response = web.Response(text=request.path + body.decode() + "x" * self.body_size)
        if request.path in self.closing_paths:
            response.force_close()
        return response

    def release(self, *paths):
        for path in paths:
            self.released.setdefault(path, asyncio.Event()).set()

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                self.changed.clear()
                await self.changed.wait()

    async def read_response(self):
        async with asyncio.timeout(TIMEOUT_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
            body = await self.reader.readexactly(int(headers["content-length"]))
        return int(lines[0].split()[1]), headers, body.decode()

    async def read_end(self):
        async with asyncio.timeout(TIMEOUT_S):
            return await self.reader.read()


class PipelineTest(PipelineCase):
    async def test_connection_with_requests_ahead_is_pipelined(self):
        """Guards against a router that does not know which responses delay others."""
        self.writer.write(get("/a"))
        await self.wait_until(lambda: self.begun == ["/a"])
        self.assertFalse(self.requests["/a"].pipelined)
        self.writer.write(get("/b"))
        await self.wait_until(lambda: self.begun == ["/a", "/b"])
        self.release("/a", "/b", "/c")
        await self.read_response()
        await self.read_response()
        self.writer.write(get("/c"))
        await self.read_response()
        self.assertTrue(self.requests["/c"].pipelined)

    async def test_request_behind_a_slow_one_is_begun_at_once(self):
        """A pipelined request waited for the whole run of the one before it."""
        self.writer.write(get("/1") + get("/2"))
        await self.wait_until(lambda: self.begun == ["/1", "/2"])

    async def test_responses_come_in_the_order_of_the_requests(self):
        """A response that was finished first would be taken for that of the first request."""
        self.writer.write(get("/1") + get("/2") + get("/3"))
        await self.wait_until(lambda: len(self.begun) == 3)
        self.release("/3", "/2")
        await asyncio.sleep(0)
        self.release("/1")
        bodies = [(await self.read_response())[2] for _ in range(3)]
        self.assertEqual(["/1", "/2", "/3"], bodies)

    async def test_second_request_is_answered_while_the_first_packet_is_handled(self):
        """Requests of separate packets are pipelined as well."""
        self.writer.write(get("/1"))
        await self.wait_until(lambda: self.begun == ["/1"])
        self.writer.write(get("/2"))
        await self.wait_until(lambda: self.begun == ["/1", "/2"])
        self.release("/1", "/2")
        self.assertEqual("/1", (await self.read_response())[2])
        self.assertEqual("/2", (await self.read_response())[2])

    async def test_all_requests_are_cancelled_when_the_caller_leaves(self):
        """Work of pipelined requests went on after their caller had disconnected."""
        self.writer.write(get("/1") + get("/2"))
        await self.wait_until(lambda: len(self.begun) == 2)
        self.writer.close()
        await self.wait_until(lambda: sorted(self.cancelled) == ["/1", "/2"])
        self.assertEqual(0, self.server.requests_ahead)

    async def test_connection_is_closed_after_the_last_request_that_was_begun(self):
        """A stopping server closed after the first response and lost the work behind it."""
        self.closing_paths = {"/1", "/2"}
        self.writer.write(get("/1") + get("/2"))
        await self.wait_until(lambda: len(self.begun) == 2)
        self.release("/1", "/2")
        _, first_headers, first_body = await self.read_response()
        _, last_headers, last_body = await self.read_response()
        self.assertEqual(("/1", "/2"), (first_body, last_body))
        self.assertNotIn("connection", first_headers)
        self.assertEqual("close", last_headers["connection"])
        self.assertEqual(b"", await self.read_end())

    async def test_request_behind_a_closing_response_is_not_begun(self):
        """The caller sends it again elsewhere, so it would run twice."""
        self.closing_paths = {"/1"}
        self.writer.write(get("/1") + get("/2"))
        await self.wait_until(lambda: len(self.begun) == 2)
        self.release("/1")
        await self.read_response()
        self.writer.write(get("/3"))
        await self.writer.drain()
        self.release("/2", "/3")
        self.assertEqual("/2", (await self.read_response())[2])
        self.assertEqual(b"", await self.read_end())
        self.assertEqual(["/1", "/2"], self.begun)

    async def test_body_that_arrives_behind_a_closing_response_is_read(self):
        """Guards against a discarded body because an earlier response ends the connection."""
        self.closing_paths.add("/1")
        self.writer.write(get("/1") + get("/2", "Content-Length: 4") + b"bo")
        await self.wait_until(lambda: self.begun == ["/1", "/2"])
        self.release("/1", "/2")
        await self.read_response()
        self.writer.write(b"dy" + get("/3"))
        _, headers, body = await self.read_response()
        self.assertEqual(("/2body", "close"), (body, headers["connection"]))
        self.assertEqual(["/1", "/2"], self.begun)

    async def test_callers_close_ends_the_connection_after_the_last_response(self):
        """A request with `Connection: close` behind another one ended both."""
        self.writer.write(get("/1") + get("/2", "Connection: close"))
        await self.wait_until(lambda: len(self.begun) == 2)
        self.release("/1", "/2")
        self.assertEqual("/1", (await self.read_response())[2])
        self.assertEqual("/2", (await self.read_response())[2])
        self.assertEqual(b"", await self.read_end())

    async def test_good_requests_are_answered_before_malformed_bytes(self):
        """Malformed bytes behind good requests discarded the responses to these."""
        self.writer.write(get("/1") + get("/2") + b"no request\r\n\r\n")
        await self.wait_until(lambda: len(self.begun) == 2)
        self.release("/1", "/2")
        self.assertEqual("/1", (await self.read_response())[2])
        self.assertEqual("/2", (await self.read_response())[2])
        self.assertEqual(400, (await self.read_response())[0])
        self.assertEqual(b"", await self.read_end())

    async def test_body_behind_a_body(self):
        """The parts of two bodies on one connection must not be mixed."""
        first = b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd"
        second = b"POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nef\r\n"
        self.writer.write(first + second)
        await self.wait_until(lambda: len(self.begun) == 2)
        self.release("/1", "/2")
        self.assertEqual("/1abcd", (await self.read_response())[2])
        self.writer.write(b"1\r\ng\r\n0\r\n\r\n" + get("/3"))
        self.release("/3")
        self.assertEqual("/2efg", (await self.read_response())[2])
        self.assertEqual("/3", (await self.read_response())[2])

    async def test_turn_comes_after_the_earlier_responses(self):
        """A request that must not run twice is begun only when its response can be sent."""
        self.writer.write(get("/1") + get("/2"))
        await self.wait_until(lambda: len(self.begun) == 2)
        self.assertTrue(self.requests["/1"].has_turn)
        self.assertFalse(self.requests["/2"].has_turn)
        self.release("/1")
        await self.read_response()
        async with asyncio.timeout(TIMEOUT_S):
            await self.requests["/2"].wait_for_turn()

    async def test_stopping_server_answers_all_requests_that_were_begun(self):
        """A closing port cut off the requests behind the first one without a response."""
        self.writer.write(get("/1") + get("/2"))
        await self.wait_until(lambda: len(self.begun) == 2)
        closing = asyncio.create_task(self.http.close())
        await asyncio.sleep(0)
        self.release("/1", "/2")
        self.assertEqual("/1", (await self.read_response())[2])
        self.assertEqual("/2", (await self.read_response())[2])
        await closing

    async def test_request_that_is_read_while_the_connection_closes_gets_a_response(self):
        """A kept connection was closed without a response to a request that had been read."""
        self.writer.write(get("/1"))
        self.release("/1", "/2")
        await self.read_response()
        (connection,) = self.server.connections
        connection.close()
        connection.data_received(get("/2"))
        _, headers, body = await self.read_response()
        self.assertEqual(("/2", "close"), (body, headers["connection"]))
        self.assertEqual(b"", await self.read_end())

    async def test_idle_connection_does_not_delay_a_stop(self):
        """A closing port must not wait for callers that keep their connections open."""
        self.writer.write(get("/1"))
        self.release("/1")
        await self.read_response()
        async with asyncio.timeout(TIMEOUT_S / 2):
            await self.http.close()


class PipelineLimitsTest(PipelineCase):
    limits = PipelineLimits(requests=2, response_bytes=100, total_requests=1000)

    async def test_requests_beyond_the_limit_wait(self):
        """One caller could begin any number of requests on one connection."""
        self.writer.write(get("/1") + get("/2") + get("/3"))
        await self.wait_until(lambda: len(self.begun) == 2)
        self.release("/1")
        await self.wait_until(lambda: self.begun == ["/1", "/2", "/3"])


class ResponseBytesLimitTest(PipelineCase):
    limits = PipelineLimits(requests=8, response_bytes=100)

    async def test_no_request_is_begun_behind_large_finished_responses(self):
        """Finished responses behind a slow request were kept without a bound."""
        self.body_size = 200
        self.writer.write(get("/1") + get("/2"))
        await self.wait_until(lambda: len(self.begun) == 2)
        self.release("/2")
        await self.requests["/2"].read()
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertGreater(self.server.connections[0].waiting_bytes, 100)
        self.writer.write(get("/3"))
        await self.writer.drain()
        # The server has read the request once it responds on another connection.
        other_reader, other_writer = await asyncio.open_connection(*self.http._address)
        self.addCleanup(other_writer.close)
        self.release("/other")
        other_writer.write(get("/other"))
        async with asyncio.timeout(TIMEOUT_S):
            await other_reader.readuntil(b"\r\n\r\n")
        self.assertNotIn("/3", self.begun)
        self.release("/1", "/3")
        bodies = [(await self.read_response())[2][:2] for _ in range(3)]
        self.assertEqual(["/1", "/2", "/3"], bodies)


class FleetLimitTest(PipelineCase):
    limits = PipelineLimits(requests=8, total_requests=1)

    async def test_limit_of_all_connections_leaves_each_its_first_request(self):
        """The total limit must delay pipelined requests only."""
        _, writer = await asyncio.open_connection(*self.http._address)
        self.addCleanup(writer.close)
        self.writer.write(get("/1") + get("/2") + get("/3"))
        await self.wait_until(lambda: len(self.begun) == 2)
        writer.write(get("/other"))
        await self.wait_until(lambda: "/other" in self.begun)
        self.assertNotIn("/3", self.begun)
