"""Tests of the listening port of an HTTP server."""

import socket
import unittest

from aiohttp.web_response import Response
from aiohttp.web_server import Server

from fescueward.kernel.http_port import HttpPort

# More than asyncio's own default of 100 and the HTTP library's of 128.
_CONNECTIONS = 200
_CONNECT_TIMEOUT_S = 0.5


class HttpPortTest(unittest.IsolatedAsyncioTestCase):
    async def test_connections_of_a_busy_process_wait_in_the_backlog(self):
        """Guards against callers whose first packet is dropped while the event loop is busy."""

        async def respond(_):
            return Response()

        with socket.create_server(("127.0.0.1", 0)) as reserved:
            port = reserved.getsockname()[1]
        http_port = HttpPort(Server(respond), "127.0.0.1", port, shutdown_timeout_s=0.1)
        await http_port.start()
        self.addAsyncCleanup(http_port.close)
        # There is no await here, so nothing is accepted meanwhile.
        for _ in range(_CONNECTIONS):
            connection = socket.create_connection(("127.0.0.1", port), _CONNECT_TIMEOUT_S)
            self.addCleanup(connection.close)
