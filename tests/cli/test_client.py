"""Tests of the client of the administration API."""

from __future__ import annotations

import unittest
from unittest import mock

from fescueward.cli import client as module
from fescueward.cli.client import AdministrationClient
from fescueward.kernel.errors import AdministrationAnswerLostError, AdministrationUnavailableError
from fescueward.messages.status import DeletedAnswer, EntryList
from fescueward.testing.waiting import wait_until
from tests.endless import SOCKET_BUFFER_BYTES, EndlessServer, endless_bodies, endless_heads


class AdministrationClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_answers_without_end(self):
        """Guards against a client that reads an endless response into memory until its timeout."""
        max_accepted_bytes = 2 * (300_000 + SOCKET_BUFFER_BYTES)
        with mock.patch.object(module, "_MAX_RESPONSE_BYTES", 300_000):
            for response in (*endless_heads(), *endless_bodies()):
                with self.subTest(response=response.name):
                    server = EndlessServer(response)
                    host, port = await server.start()
                    self.addAsyncCleanup(server.stop)
                    client = AdministrationClient((f"http://{host}:{port}",))
                    with self.assertRaisesRegex(AdministrationUnavailableError, "^(?!.*timeout)"):
                        await client._read("/v1/entries", EntryList)
                    with self.assertRaisesRegex(AdministrationAnswerLostError, "^(?!.*timeout)"):
                        await client._change("DELETE", "/v1/entries/a", 1, None, DeletedAnswer)
                    await wait_until(server.idle, 2, "the connections are closed")
                    self.assertLess(server.transmitted_bytes, max_accepted_bytes)
