"""Tests of the HTTP front end over real sockets."""

from __future__ import annotations

import asyncio
import gzip
import json
import unittest
from types import SimpleNamespace

import aiohttp

from fescueward.kernel import Kernel
from fescueward.kernel.errors import BodyTruncatedError, OverloadedError, TokenRequiredError
from fescueward.kernel.settings import CallersSection
from fescueward.messages import Response
from fescueward.messages.request import BytesBody
from fescueward.services.frontend import HttpFrontend
from fescueward.testing.ports import PortReservations
from fescueward.testing.waiting import wait_until

from ..fakes import FakeCatalogue, StreamedBody, StubRegistry, make_entry, make_response


class FrontendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        ports = PortReservations()
        self.addCleanup(ports.close)
        self.port = ports.reserve()
        self.requests = []
        self.cancelled = 0
        self.handler = self.echo
        self.membership = SimpleNamespace(leaving=False)
        self.frontend = HttpFrontend(Kernel())
        self.frontend.bind(
            StubRegistry(
                catalogue=FakeCatalogue(make_entry()),
                membership=self.membership,
                router=SimpleNamespace(route=self.route),
                settings=SimpleNamespace(callers=CallersSection(host="127.0.0.1", port=self.port)),
            )
        )
        await self.frontend.start()
        await wait_until(lambda: self.frontend.listening, 5, "the front end listens")
        self.session = aiohttp.ClientSession(auto_decompress=False)

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.frontend.stop()

    async def route(self, request):
        self.requests.append(request)
        try:
            return await self.handler(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def echo(self, request):
        data = b"".join([chunk async for chunk in request.body.chunks()])
        return Response(request.id, 200, (("X-Up", "1"),), BytesBody(data), "a:1", 1)

    async def send(self, method="GET", path="/depot/x", key="k", headers=None, **values):
        headers = {**(headers or {}), **({"Fescueward-Key": key} if key else {})}
        url = f"http://127.0.0.1:{self.port}"
        async with self.session.request(method, url + path, headers=headers, **values) as response:
            return response, await response.read()

    async def send_raw(self, text: bytes, read_s: float = 2.0) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(text)
        try:
            return await asyncio.wait_for(reader.read(65_536), read_s)
        finally:
            writer.close()

    async def test_request_is_forwarded_unchanged(self):
        """Guards against altered paths, decompressed bodies and forwarded hop-by-hop headers."""
        body = gzip.compress(b"x" * 100)
        response, data = await self.send(
            "POST",
            aiohttp.client.URL("/depot/a%2Fb?x=%20", encoded=True).raw_path_qs,
            data=body,
            headers={
                "Content-Encoding": "gzip",
                "Connection": "keep-alive, X-Hop",
                "X-Hop": "1",
                "Fescueward-Shard": "9",
                "Fescueward-Request-Id": "mine",
            },
        )
        request = self.requests[0]
        names = {name.lower() for name, _ in request.headers}
        self.assertEqual((request.method, request.path), ("POST", "/a%2Fb?x=%20"))
        self.assertEqual((request.id, request.key), ("mine", "k"))
        self.assertIn("content-encoding", names)
        self.assertFalse(names & {"x-hop", "connection", "fescueward-shard", "host"})
        self.assertEqual((response.status, data), (200, body))
        self.assertEqual(response.headers["Fescueward-Served-By"], "a:1")
        await self.send(path="/depot?a=1")
        self.assertEqual(self.requests[1].path, "/?a=1")
        await self.send(path="/depot")
        self.assertEqual(self.requests[2].path, "/")

    async def test_malformed_requests_get_typed_refusals(self):
        """Guards against aiohttp's text pages, and caller errors that are logged as faults."""
        head = b"GET /depot/x HTTP/1.1\r\nHost: a\r\n"
        for text, label in (
            (b"nonsense\r\n\r\n", "invalid_request"),
            (b"BREW /depot/x HTTP/1.1\r\nHost: a\r\n\r\n", "invalid_request"),
            (b"PROPFIND /depot/x HTTP/1.1\r\nHost: a\r\n\r\n", "invalid_request"),
            (head + b"Bad Header: 1\r\n\r\n", "invalid_request"),
            (head + b"X: " + b"x" * 20_000 + b"\r\n\r\n", "invalid_request"),
            (head + b"X: 1\r\n" * 300 + b"\r\n", "invalid_request"),
            (head + b"Content-Length: -1\r\n\r\n", "invalid_request"),
            (b"GET /depot/\xc3\xa9 HTTP/1.1\r\nHost: a\r\n\r\n", "invalid_request"),
            (head + b"\r\n", "missing_key"),
            (head + b"Fescueward-Key: \xff\xfe\r\n\r\n", "invalid_request"),
            (head + b"Fescueward-Key: k\r\nX: \xff\r\n\r\n", "invalid_request"),
            (head + b"Fescueward-Key: a\r\nFescueward-Key: b\r\n\r\n", "invalid_request"),
            (head + b"Fescueward-Key: " + b"k" * 1025 + b"\r\n\r\n", "invalid_request"),
            (
                head + b"Fescueward-Key: k\r\nFescueward-Deadline-Ms: 1e3\r\n\r\n",
                "invalid_request",
            ),
            (
                head + b"Fescueward-Key: k\r\nFescueward-Deadline-Ms: 0\r\n\r\n",
                "invalid_request",
            ),
            (
                head + b"Fescueward-Key: k\r\nFescueward-Request-Id: \xff\r\n\r\n",
                "invalid_request",
            ),
        ):
            with self.subTest(text=text[:70]):
                response = await self.send_raw(text)
                head_lines, _, body = response.partition(b"\r\n\r\n")
                self.assertIn(b"application/json", head_lines)
                error = json.loads(body)["error"]
                self.assertEqual((error["label"], error["outcome"]), (label, "not_run"))
                self.assertIn(b" 400 ", head_lines.splitlines()[0])
        self.assertEqual(self.requests, [])

    async def test_refusals_carry_code_outcome_and_details(self):
        """Guards against a refusal without the details that a caller needs to retry."""

        async def refuse(request):
            raise OverloadedError("full", retry_after_s=2.4)

        self.handler = refuse
        response, data = await self.send()
        self.assertEqual((response.status, response.headers["Retry-After"]), (503, "2"))
        self.assertEqual(json.loads(data)["error"]["code"], 2006)

        async def require_token(request):
            raise TokenRequiredError("token", token="1.2.3.x")

        self.handler = require_token
        response, data = await self.send()
        self.assertEqual(response.status, 428)
        self.assertEqual(json.loads(data)["error"]["token"], "1.2.3.x")

    async def test_unexpected_exception_is_a_typed_error(self):
        """Guards against outcome `not_run`, or a text page, when the agent itself fails."""

        async def fail(request):
            raise ZeroDivisionError

        self.handler = fail
        for headers in ({}, {"Fescueward-Token": "1.2.3.x"}):
            response, data = await self.send(headers=headers)
            error = json.loads(data)["error"]
            self.assertEqual(response.status, 500)
            self.assertEqual(
                (error["label"], error["outcome"]), ("unexpected_error", "outcome_unknown")
            )

    async def test_bodies_of_all_kinds_arrive(self):
        """Guards against chunked, large and `Expect` bodies that are lost or truncated."""

        async def chunks():
            for _ in range(40):
                yield b"x" * 5000

        for values in (
            {"data": b""},
            {"data": b"x" * 200_000},
            {"data": chunks()},
            {"data": b"x" * 10, "expect100": True},
            {"data": b"x" * 100_000, "expect100": True},
        ):
            with self.subTest(**values):
                response, data = await self.send("POST", **values)
                self.assertEqual(response.status, 200)
                self.assertIn(len(data), (0, 10, 100_000, 200_000))

    async def test_refused_upload_gets_no_continue(self):
        """Guards against reading an upload although its request is refused."""
        response = await self.send_raw(
            b"PUT /depot/x HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        self.assertTrue(response.startswith(b"HTTP/1.1 400"), response[:40])

    async def test_aborted_upload_breaks_the_body(self):
        """Guards against a truncated upload that is processed as a complete one."""
        broken = asyncio.Event()

        async def read(request):
            try:
                async for _ in request.body.chunks():
                    pass
            except (BodyTruncatedError, asyncio.CancelledError):
                broken.set()
                raise
            return make_response()

        self.handler = read
        for head in (b"Content-Length: 100000", b"Transfer-Encoding: chunked"):
            broken.clear()
            _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(
                b"POST /depot/x HTTP/1.1\r\nHost: a\r\nFescueward-Key: k\r\n" + head + b"\r\n\r\n"
                b"5\r\nhello\r\n"
            )
            await asyncio.sleep(0.05)
            writer.transport.abort()
            await asyncio.wait_for(broken.wait(), 2)

    async def test_slow_small_body_is_bounded_by_the_deadline(self):
        """Guards against connections that stay occupied by a body that never arrives."""
        response = await self.send_raw(
            b"POST /depot/x HTTP/1.1\r\nHost: a\r\nFescueward-Key: k\r\n"
            b"Fescueward-Deadline-Ms: 100\r\nContent-Length: 10\r\n\r\nhalf"
        )
        self.assertIn(b" 504 ", response.splitlines()[0])
        self.assertIn(b'"not_run"', response)

    async def test_broken_response_aborts_the_connection(self):
        """Guards against a truncated response that looks complete."""
        for length in (None, 1000):
            body = StreamedBody(b"part", length=length, error=BodyTruncatedError("gone"))

            async def send_truncated(request, body=body):
                return Response(request.id, 200, (), body, "a:1", 1)

            self.handler = send_truncated
            with self.assertRaises(aiohttp.ClientError):
                await self.send()
            self.assertTrue(body.closed)

    async def test_responses_without_a_body(self):
        """Guards against bodies and lengths that HTTP forbids, which desynchronize callers."""

        async def head(request):
            return Response(request.id, 200, (("Content-Length", "5"),), BytesBody(b""), "a:1", 1)

        self.handler = head
        response, data = await self.send("HEAD")
        self.assertEqual((response.headers["Content-Length"], data), ("5", b""))
        for status in (204, 304):

            async def empty(request, status=status):
                return Response(request.id, status, (), BytesBody(b""), "a:1", 1)

            self.handler = empty
            response, data = await self.send()
            self.assertEqual((response.status, data), (status, b""))
            self.assertNotIn("Transfer-Encoding", response.headers)
        self.handler = self.echo
        self.assertEqual((await self.send("POST", data=b"next"))[1], b"next")

    async def test_caller_that_leaves_cancels_its_request(self):
        """Guards against routing a request whose caller has left, with a token or without."""

        async def slow(request):
            await asyncio.sleep(0.2)
            return make_response()

        self.handler = slow
        head = b"GET /depot/x HTTP/1.1\r\nHost: a\r\nFescueward-Key: k\r\n"
        for cancelled, token in enumerate((b"", b"Fescueward-Token: 1.2.3.x\r\n"), 1):
            previous_count = len(self.requests)
            _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(head + token + b"\r\n")
            await wait_until(
                lambda previous_count=previous_count: len(self.requests) > previous_count,
                2,
                "the request is routed",
            )
            writer.transport.abort()
            await wait_until(
                lambda cancelled=cancelled: self.cancelled == cancelled, 2, "it is cancelled"
            )

    async def test_leaving_agent_closes_connections_after_a_response(self):
        """Guards against callers that keep using a connection that is about to be closed."""
        self.membership.leaving = True
        response, _ = await self.send()
        self.assertEqual(response.headers["Connection"], "close")

    async def test_stop_waits_for_requests_in_flight(self):
        """Guards against a response that is lost when the agent stops."""

        async def slow(request):
            await asyncio.sleep(0.2)
            return make_response(b"whole")

        self.handler = slow
        sent_request = asyncio.create_task(self.send())
        await wait_until(lambda: self.requests, 2, "the request is routed")
        await self.frontend.stop()
        self.assertEqual((await sent_request)[1], b"whole")
