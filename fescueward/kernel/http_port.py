"""Listening port of an HTTP server that can be closed without losing accepted connections."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

from aiohttp import web

# Connections that may wait to be accepted, for example while the process is busy.
_BACKLOG_CONNECTIONS = 1024


class HttpPort:
    """Serves HTTP on one address.

    Args:
        server: Server that handles the connections.
        host: Address to listen on.
        port: Port to listen on.
        shutdown_timeout_s: Time for which `close` waits for open requests, in seconds.
    """

    def __init__(
        self, server: web.Server, host: str, port: int, shutdown_timeout_s: float
    ) -> None:
        self._server = server
        self._address = (host, port)
        self._runner = web.ServerRunner(server, shutdown_timeout=shutdown_timeout_s)
        self._site: web.SockSite | None = None
        self._listener: socket.socket | None = None

    @property
    def listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._site is not None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._server.connections)

    async def start(self) -> None:
        """Starts listening on the address.

        Raises:
            OSError: The address is not available.
        """
        await self._runner.setup()
        self._listener = socket.create_server(self._address, backlog=_BACKLOG_CONNECTIONS)
        self._listener.setblocking(False)
        # The site closes its socket when it stops; `stop_listening` uses this one after that.
        self._site = web.SockSite(self._runner, self._listener.dup())
        await self._site.start()

    async def stop_listening(self) -> None:
        """Accepts the connections in the backlog and stops listening.

        Closing a listening socket resets the connections that the process has not accepted yet.
        """
        if self._site is not None:
            await self._site.stop()
            self._site = None
        if self._listener is None:
            return
        accepted = []
        with suppress(BlockingIOError):
            while True:
                accepted.append(self._listener.accept()[0])
        self._listener.close()
        self._listener = None
        loop = asyncio.get_running_loop()
        for connection in accepted:
            connection.setblocking(False)
            await loop.connect_accepted_socket(self._server, connection)

    async def close(self) -> None:
        """Stops listening, waits for open requests and closes all connections."""
        await self.stop_listening()
        await self._runner.cleanup()
