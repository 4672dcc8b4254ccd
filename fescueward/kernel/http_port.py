"""Listening port of an HTTP server that can be closed without losing accepted connections."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

from aiohttp.web_server import Server

# Connections that may wait to be accepted, for example while the process is busy. All of them are
# accepted in one iteration of the event loop, before any is closed.
BACKLOG_CONNECTIONS = 1024


class HttpPort:
    """Serves HTTP on one address.

    Args:
        server: Server that handles the connections.
        host: Address to listen on.
        port: Port to listen on.
        shutdown_timeout_s: Time for which `close` waits for open requests, in seconds.
        backlog: Connections that may wait to be accepted.
        receive_bytes: Receive buffer of connections that wait to be accepted, or None for that of
            the system.
    """

    def __init__(
        self,
        server: Server,
        host: str,
        port: int,
        shutdown_timeout_s: float,
        backlog: int = BACKLOG_CONNECTIONS,
        receive_bytes: int | None = None,
    ) -> None:
        self._receive_bytes = receive_bytes
        self._backlog = backlog
        self._server = server
        self._address = (host, port)
        self._shutdown_timeout_s = shutdown_timeout_s
        self._acceptor: asyncio.Server | None = None
        self._listener: socket.socket | None = None

    @property
    def listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._acceptor is not None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._server.connections)

    async def start(self) -> None:
        """Starts listening on the address.

        Raises:
            OSError: The address is not available.
        """
        self._listener = socket.create_server(self._address, backlog=self._backlog)
        self._listener.setblocking(False)
        if self._receive_bytes is not None:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes)
        # The acceptor closes its socket; `stop_listening` uses this one after that.
        self._acceptor = await asyncio.get_running_loop().create_server(
            self._server, sock=self._listener.dup(), backlog=self._backlog
        )

    async def stop_listening(self) -> None:
        """Accepts the connections in the backlog and stops listening.

        Closing a listening socket resets the connections that the process has not accepted yet.
        """
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None
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
        # Requests that have arrived begin before idle connections are closed.
        await asyncio.sleep(0)
        self._server.pre_shutdown()
        await self._server.shutdown(self._shutdown_timeout_s)
