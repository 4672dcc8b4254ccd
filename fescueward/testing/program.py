"""Shared parts of the test programs: the event loop, stop signals and an HTTP server."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

import typer
import uvloop
from aiohttp import web

LOOPBACK = "127.0.0.1"


def boot_time_ns() -> int:
    """Returns the time of CLOCK_BOOTTIME, the clock of grants and deadlines, in nanoseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def run_program(body: Callable[[asyncio.Event], Coroutine[Any, Any, None]]) -> None:
    """Runs a program on a uvloop event loop until its body returns.

    Args:
        body: Called with an event that is set on SIGTERM and SIGINT.
    """

    async def run() -> None:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop.set)
        await body(stop)

    uvloop.run(run())


def report_listening(program: str, host: str, port: int) -> None:
    """Prints the address that a program listens on."""
    typer.echo(f"{program} listens on {host}:{port}")


class HttpSite:
    """An aiohttp server on one address that can stop and resume listening."""

    def __init__(self, app: web.Application, host: str, port: int) -> None:
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        self._host = host
        self._port = port
        self._site: web.TCPSite | None = None

    @property
    def port(self) -> int:
        """Port that the server listens on; after a start on port 0, the port that was assigned."""
        return self._port

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        server = self._runner.server
        return 0 if server is None else len(server.connections)

    async def start(self) -> None:
        """Starts the server.

        Raises:
            OSError: The address is in use.
        """
        await self._runner.setup()
        await self.listen()

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        await self._runner.cleanup()

    async def listen(self) -> None:
        """Opens the listening socket, also again after `stop_listening`."""
        self._site = web.TCPSite(self._runner, self._host, self._port, backlog=1024)
        await self._site.start()
        self._port = self._runner.addresses[0][1]

    async def stop_listening(self) -> None:
        """Closes the listening socket; open connections stay."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    def abort_connections(self) -> None:
        """Resets all open connections."""
        server = self._runner.server
        for connection in () if server is None else server.connections:
            if connection.transport is not None:
                connection.transport.abort()


def abort_connection(request: web.Request) -> web.Response:
    """Resets the connection of a request, so that its caller gets no response.

    Args:
        request: Request whose connection is reset.

    Returns:
        A response for the handler to return; aiohttp cannot send it on the reset connection.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)
