"""Tests of the limits on what one connection sends."""

import asyncio
import random
import unittest
from types import SimpleNamespace

from aiohttp import web
from aiohttp.web_protocol import RequestPayloadError

from fescueward.kernel.http_meter import InboundLimits, InboundMeter
from fescueward.kernel.http_pipeline import PipelinedServer
from fescueward.kernel.http_port import HttpPort
from fescueward.testing.waiting import wait_until

LIMITS = InboundLimits(header_timeout_s=1.0, idle_timeout_s=3.0, connections=3)
TIMEOUT_S = 10.0
SEEDS = range(30)
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


class MeterTest(unittest.TestCase):
    def test_part_ends_with_a_head_that_came_in_two_reads(self):
        """Guards against a body that is counted from the wrong byte, and heads that are not."""
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n"
        message = SimpleNamespace(headers={"Content-Length": "20000"}, chunked=False)
        payload = SimpleNamespace(is_eof=lambda: False)
        for cut in range(1, len(head)):
            meter = InboundMeter()
            meter.count(head[: meter.part_end(head[:cut], 0)])
            rest = head[cut:] + b"x" * 20_000 + head
            ends, end = [], 0
            while end < len(rest):
                start, end = end, meter.part_end(rest, end)
                meter.count(rest[start:end])
                if end == len(head) - cut:
                    meter.message_parsed(message, payload)
                ends.append(end)
            body_end = len(rest) - len(head)
            self.assertEqual(
                ends, [len(head) - cut, len(head) - cut + 16_384, body_end, len(rest)]
            )


class InboundTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.bodies = []
        self.server = PipelinedServer(
            self.handle,
            inbound=lambda: LIMITS,
            max_line_size=65_536,
            max_field_size=65_536,
            max_headers=8_192,
        )
        self.http = HttpPort(self.server, "127.0.0.1", 0, TIMEOUT_S)
        await self.http.start()
        self.addAsyncCleanup(self.http.close)

    async def handle(self, request):
        try:
            self.bodies.append(await request.read())
        except RequestPayloadError:
            return web.Response(status=400)
        return web.Response(text="ok")

    async def connect(self):
        address = self.http._listener.getsockname()
        reader, writer = await asyncio.open_connection(*address)
        self.addCleanup(writer.close)
        return reader, writer

    async def send(self, data):
        """Returns all that the server sends until it closes the connection."""
        reader, writer = await self.connect()
        writer.write(data)
        return await asyncio.wait_for(reader.read(), TIMEOUT_S)

    async def test_head_up_to_the_limit_is_served(self):
        """Guards against refusals of heads that callers may send, in few or many lines."""
        end = b"Host: a\r\nConnection: close\r\n"
        for line in (b"X-Long: %b\r\n" % (b"x" * 16_000), b"a:b\r\n" * 3_000):
            padding = LIMITS.header_bytes - len(line + end) - len(b"c:\r\n")
            fields = line + b"c:%b\r\n" % (b"x" * padding) + end
            with self.subTest(fields=fields[:40]):
                received = await self.send(b"GET / HTTP/1.1\r\n" + fields + b"\r\n")
                self.assertIn(b" 200 OK", received.split(b"\r\n")[0])

    async def test_excess_is_refused_and_ends_the_connection(self):
        """Guards against heads, empty lines and trailers that are held or parsed without end."""
        cases = (
            (b"GET /" + b"x" * 17_000, b"431"),
            (b"GET / HTTP/1.1\r\nX: " + b"x" * 17_000, b"431"),
            (b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 4_000, b"431"),
            (b"\r\n" * 100, b"400"),
            (CHUNKED + b"0\r\n" + b"a:b\r\n" * 8_000, b"400"),
            (CHUNKED + b"1;" + b"x" * 70_000, b"400"),
        )
        for data, status in cases:
            with self.subTest(data=data[:70]):
                self.assertEqual((await self.send(data)).split(b" ")[1], status)
        await wait_until(lambda: not self.server.connections, TIMEOUT_S, "all are closed")

    async def test_few_empty_lines_and_trailers_are_served(self):
        """Guards against refusals of what HTTP allows."""
        request = CHUNKED + b"2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n"
        last = request.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
        received = await self.send(b"\r\n\r\n" + request + b"\r\n" + last)
        self.assertEqual(received.count(b" 200 OK"), 2)
        self.assertEqual(self.bodies, [b"ok", b"ok"])

    async def test_bodies_arrive_unchanged(self):
        """Guards against parts that divide or drop bytes between requests and bodies."""
        for seed in SEEDS:
            rng = random.Random(seed)
            self.bodies.clear()
            sent, data = [], b""
            for number in range(6):
                body = b"".join(
                    rng.choice((b"\r\n", b"\r\n\r\n", b"x", b"y" * 3_000, b"GET / HTTP/1.1"))
                    for _ in range(rng.choice((0, 3, 60, 400)))
                )
                close = b"Connection: close\r\n" if number == 5 else b""
                sent.append(body)
                if rng.random() < 0.5:
                    data += b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n" % len(body)
                    data += close + b"\r\n" + body
                else:
                    size = rng.choice((1, 700, 20_000))
                    parts = [body[at : at + size] for at in range(0, len(body), size)]
                    data += CHUNKED.replace(b"\r\n", b"\r\n" + close, 1)
                    data += b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
                    data += b"0\r\n\r\n"
            with self.subTest(seed=seed):
                reader, writer = await self.connect()
                while data:
                    size = rng.choice((1, 5, 1_000, 70_000, 1_000_000))
                    writer.write(data[:size])
                    data = data[size:]
                    await asyncio.sleep(0)
                received = await asyncio.wait_for(reader.read(), TIMEOUT_S)
                self.assertEqual(received.count(b" 200 OK"), 6)
                self.assertCountEqual(self.bodies, sent)

    async def test_one_read_does_not_keep_the_event_loop(self):
        """Guards against an event loop that is busy with the bytes of one connection."""
        await self.connect()
        await wait_until(lambda: self.server.connections, TIMEOUT_S, "it is accepted")
        connection = self.server.connections[0]
        body = b"4\r\n\r\n\r\n\r\n" * 10_000
        connection.data_received(CHUNKED + body + b"0\r\n\r\n")
        self.assertGreater(connection.inbound_bytes, len(body) // 2)
        await wait_until(lambda: self.bodies, TIMEOUT_S, "the request is handled")
        self.assertEqual(self.bodies, [b"\r\n\r\n" * 10_000])

    async def test_slow_callers_are_closed_at_the_second_check(self):
        """Guards against heads without end, and a pause of the process that ends connections."""
        _, writer = await self.connect()
        reader, idle = await self.connect()
        writer.write(b"GET / HT")
        idle.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readuntil(b"ok")
        await wait_until(
            lambda: any(connection._head_since for connection in self.server.connections),
            TIMEOUT_S,
            "the head has begun",
        )
        now = asyncio.get_running_loop().time()
        for elapsed_s, open_connections in ((0.5, 2), (1.5, 2), (1.6, 1), (3.5, 1), (3.6, 0)):
            for connection in self.server.connections:
                connection.check_times(now + elapsed_s)
            await asyncio.sleep(0.02)
            self.assertEqual(len(self.server.connections), open_connections, elapsed_s)

    async def test_longest_idle_connection_makes_room(self):
        """Guards against idle callers that take all descriptors."""
        first, _ = await self.connect()
        await wait_until(lambda: self.server.connections, TIMEOUT_S, "the first is accepted")
        others = [await self.connect() for _ in range(3)]
        self.assertEqual(await asyncio.wait_for(first.read(), TIMEOUT_S), b"")
        for reader, writer in others:
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await asyncio.wait_for(reader.readuntil(b"ok"), TIMEOUT_S)
