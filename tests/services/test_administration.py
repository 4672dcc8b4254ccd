"""Tests of the administration API over HTTP."""

from __future__ import annotations

import asyncio
import io
import json
import unittest
from typing import Any

import aiohttp

from fescueward.kernel import configure_logging
from fescueward.kernel.errors import error_types
from fescueward.messages import VersionedEntry
from fescueward.services.administration import MAX_ENTRY_BYTES
from fescueward.testing.ports import PortReservations

from .administration_fakes import TOKEN, AdministrationFake

DEPOT = {"service": "depot", "owner": "siphon-works"}


class AdministrationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        configure_logging("ERROR", "text", io.StringIO())
        ports = PortReservations()
        self.addCleanup(ports.close)
        self.fake = AdministrationFake(ports.reserve())
        await self.fake.service.start()
        self.addAsyncCleanup(self.fake.service.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        version: str | None = None,
        authorization: str = f"Bearer {TOKEN}",
    ) -> tuple[int, dict]:
        headers = {"Authorization": authorization} if authorization else {}
        if version is not None:
            headers["If-Match"] = version
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        async with self.session.request(
            method, self.fake.url + path, data=data, headers=headers
        ) as response:
            return response.status, json.loads(await response.read())

    async def assert_refused(self, status: int, label: str, *call: Any, **options: Any) -> dict:
        actual_status, response_body = await self.call(*call, **options)
        self.assertEqual(
            (actual_status, response_body["error"]["label"]), (status, label), response_body
        )
        codes_by_label = {kind.label: kind.code for kind in error_types()}
        self.assertEqual(response_body["error"]["code"], codes_by_label[label])
        return response_body["error"]

    async def put(self, body: Any, version: str = "0") -> tuple[int, dict]:
        return await self.call("PUT", "/v1/entries/depot", body, version)

    async def test_create_read_change_and_delete_an_entry(self):
        """Guards against entries that differ from the accepted ones, and decreasing versions."""
        status, created = await self.put(DEPOT | {"limits": {"deadline_ms": 700}})
        self.assertEqual(status, 200)
        _, stored = await self.call("GET", "/v1/entries/depot", authorization="")
        self.assertEqual(stored, created)
        self.assertEqual(stored["entry"]["limits"]["deadline_ms"], 700)
        version = str(created["version"])
        status, changed = await self.put(DEPOT | {"weight": "churn"}, f'"{version}"')
        self.assertEqual((status, changed["entry"]["weight"]), (200, "churn"))
        _, listed = await self.call("GET", "/v1/entries")
        self.assertEqual(listed["entries"], [changed])
        version = str(changed["version"])
        status, deleted = await self.call("DELETE", "/v1/entries/depot", None, version)
        self.assertEqual((status, deleted["service"]), (200, "depot"))
        await self.assert_refused(404, "unknown_service", "GET", "/v1/entries/depot")
        status, recreated = await self.put(DEPOT)
        self.assertEqual(status, 200)
        self.assertGreater(recreated["version"], deleted["version"])

    async def test_one_of_concurrent_edits_is_accepted(self):
        """Guards against an edit based on a stale read that overwrites a concurrent one."""
        _, created = await self.put(DEPOT)
        edits = [DEPOT | {"owner": f"team-{number}"} for number in range(8)]
        version = str(created["version"])
        responses = await asyncio.gather(*(self.put(edit, version) for edit in edits))
        accepted = [response_body for status, response_body in responses if status == 200]
        self.assertEqual(len(accepted), 1)
        for status, response_body in responses:
            if status != 200:
                self.assertEqual(
                    (status, response_body["error"]["label"]), (409, "entry_conflict")
                )
                self.assertEqual(response_body["error"]["version"], accepted[0]["version"])
                self.assertEqual(response_body["error"]["entry"], accepted[0]["entry"])

    async def test_conflict_shows_the_platforms_entry(self):
        """Guards against a conflict response with the outdated entry that this agent applies."""
        _, created = await self.put(DEPOT)
        stale = self.fake.catalogue.entry("depot")
        _, newer = await self.put(DEPOT | {"owner": "other"}, str(created["version"]))
        self.fake.catalogue._entries["depot"] = VersionedEntry(stale.version, stale.entry)
        error = await self.assert_refused(
            409, "entry_conflict", "PUT", "/v1/entries/depot", DEPOT, str(created["version"])
        )
        self.assertEqual((error["version"], error["entry"]["owner"]), (newer["version"], "other"))

    async def test_changes_require_the_token(self):
        """Guards against unauthenticated changes."""
        invalid_headers = (
            "",
            f"bearer {TOKEN}",
            "Bearer ",
            f"Bearer {TOKEN}x",
            "Basic eDp5",
            "Bearer \xe9",
        )
        for authorization in invalid_headers:
            for method in ("PUT", "DELETE"):
                with self.subTest(method=method, authorization=authorization):
                    await self.assert_refused(
                        401,
                        "not_authorized",
                        method,
                        "/v1/entries/depot",
                        DEPOT,
                        version="0",
                        authorization=authorization,
                    )
        self.assertEqual(self.fake.platform.objects, {})

    async def test_errors_of_malformed_entries_name_the_value_and_what_is_allowed(self):
        """Guards against invalid values that are stored, or refused without a reason."""
        limits = {"deadline_ms": 10**30}
        cases: list[tuple[Any, str]] = [
            (b"", "no JSON"),
            (b"{", "no JSON"),
            (b"\xff\xfe", "no JSON"),
            (b"[" * 50_000, "no JSON"),
            (b"[]", "a JSON object is expected, not []"),
            ({"service": "depot"}, "missing required field `owner`"),
            (DEPOT | {"colour": "red"}, "unknown field colour; allowed: service, owner,"),
            (DEPOT | {"limits": {"deadline": 1}}, "unknown field limits.deadline; allowed: dead"),
            (DEPOT | {"limits": limits}, f"limits.deadline_ms is {10**30}; allowed:"),
            (
                DEPOT | {"limits": {"queue_length": -1}},
                "limits.queue_length is -1; allowed: `int`",
            ),
            (DEPOT | {"limits": {"queue_length": 1.5}}, "limits.queue_length is 1.5; allowed:"),
            (DEPOT | {"shard_count": 0}, "shard_count is 0; allowed: `int` >= 1"),
            (DEPOT | {"groups": True}, "groups is True; allowed: `int`"),
            (DEPOT | {"weight": "cost"}, "weight is 'cost'; allowed: unavailability, churn"),
            (DEPOT | {"request_class": None}, "request_class is None; allowed: repeatable, once"),
            (DEPOT | {"service": "orders"}, "service is 'orders'; allowed: 'depot'"),
            (DEPOT | {"owner": "x" * 201}, "owner is 'xxx"),
            (DEPOT | {"deleted": True}, "unknown field deleted"),
        ]
        for body, expected in cases:
            with self.subTest(expected=expected):
                error = await self.assert_refused(
                    400, "invalid_entry", "PUT", "/v1/entries/depot", body, "0"
                )
                self.assertIn(expected, error["message"])
                self.assertLess(len(error["message"]), 500)
        self.assertEqual(self.fake.platform.objects, {})

    async def test_fixed_values_cannot_change(self):
        """Guards against an edit that moves keys of a running service to other shards."""
        _, created = await self.put(DEPOT)
        error = await self.assert_refused(
            400,
            "invalid_entry",
            "PUT",
            "/v1/entries/depot",
            DEPOT | {"shard_count": 64},
            str(created["version"]),
        )
        self.assertIn("shard_count of entry 'depot' is 256", error["message"])

    async def test_malformed_requests(self):
        """Guards against malformed requests that end in an untyped error or an exception."""
        invalid = "invalid_administration_request"
        for version in (None, "", "abc", "-1", "1.5", "9" * 40, "\u0663", "*"):
            with self.subTest(version=version):
                await self.assert_refused(400, invalid, "PUT", "/v1/entries/depot", DEPOT, version)
        oversized = b"x" * (MAX_ENTRY_BYTES + 1)
        await self.assert_refused(413, invalid, "PUT", "/v1/entries/depot", oversized, "0")
        await self.assert_refused(400, invalid, "GET", "/v1/explain/depot")
        await self.assert_refused(400, invalid, "GET", f"/v1/explain/depot?key={'k' * 1025}")
        await self.assert_refused(404, "unknown_path", "GET", "/v2/entries")
        await self.assert_refused(405, "unknown_path", "POST", "/v1/entries/depot")
        await self.assert_refused(404, "unknown_service", "DELETE", "/v1/entries/none", None, "1")

    async def send_raw(self, data: bytes) -> bytes:
        port = int(self.fake.url.rpartition(":")[2])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        try:
            return await asyncio.wait_for(reader.readuntil(b"}}"), 5)
        finally:
            writer.close()

    async def test_malformed_http(self):
        """Guards against text pages and stack traces as responses to malformed HTTP."""
        put = b"PUT /v1/entries/depot HTTP/1.1\r\nHost: x\r\nIf-Match: 0\r\n"
        put += f"Authorization: Bearer {TOKEN}\r\n".encode()
        for data in (
            b"GARBAGE\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: abc\r\n\r\n",
            b"GET /" + b"a" * 20_000 + b" HTTP/1.1\r\n\r\n",
            put + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        ):
            with self.subTest(data=data[:40]):
                head, _, body = (await self.send_raw(data)).partition(b"\r\n\r\n")
                self.assertIn(b" 400 ", head.splitlines()[0])
                error = json.loads(body)["error"]
                self.assertEqual(error["label"], "invalid_administration_request")
                self.assertLess(len(error["message"]), 300)
        self.assertEqual(self.fake.platform.objects, {})
        status, _ = await self.put(DEPOT)
        self.assertEqual(status, 200)

    async def test_platform_failures(self):
        """Guards against an edit with unknown outcome that is reported as accepted or refused."""
        _, created = await self.put(DEPOT)
        version = str(created["version"])
        self.fake.platform.down = True
        await self.assert_refused(
            503, "platform_unavailable", "PUT", "/v1/entries/depot", DEPOT, version
        )
        _, stored = await self.call("GET", "/v1/entries/depot")
        self.assertEqual(stored, created)
        self.fake.platform.down = False
        self.fake.platform.lose_responses = True
        status, confirmed = await self.put(DEPOT | {"owner": "read-back"}, version)
        self.assertEqual((status, confirmed["entry"]["owner"]), (200, "read-back"))
        self.fake.platform.down_after_loss = True
        version = str(confirmed["version"])
        await self.assert_refused(
            504, "write_outcome_unknown", "PUT", "/v1/entries/depot", DEPOT, version
        )

    async def test_unexpected_exception_is_a_typed_error(self):
        """Guards against a response that contains details of an exception."""
        self.fake.reports.failure = ZeroDivisionError("secret detail")
        error = await self.assert_refused(500, "internal_error", "GET", "/v1/status")
        self.assertNotIn("secret detail", error["message"])

    async def test_status_explanation_agent_and_metrics(self):
        """Guards against API paths that are not served."""
        for path, name in (
            ("/v1/status", "told_by"),
            ("/v1/status/depot", "told_by"),
            ("/v1/explain/depot?key=%2Fa%20b", "reasons"),
            ("/v1/agent", "member_id"),
        ):
            with self.subTest(path=path):
                status, response_body = await self.call("GET", path, authorization="")
                self.assertEqual(status, 200)
                self.assertIn(name, response_body)
        async with self.session.get(self.fake.url + "/metrics") as response:
            self.assertIn(b"fescueward_uptime_seconds", await response.read())
            self.assertTrue(response.headers["Content-Type"].startswith("text/plain"))
