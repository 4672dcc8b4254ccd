"""A plain aiohttp proxy, the baseline of the `hop` benchmark.

It forwards every request to one address and does nothing else.
"""

from __future__ import annotations

import asyncio
import signal
import sys

import aiohttp
import uvloop
from aiohttp import web

_NOT_FORWARDED = frozenset({"connection", "content-length", "host", "transfer-encoding"})


class PlainProxy:
    """Forwards requests to one target.

    Args:
        target: URL of the target without a path.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._session: aiohttp.ClientSession | None = None

    async def start(self, port: int) -> web.AppRunner:
        """Starts to listen on a loopback port; the caller cleans up the returned runner."""
        self._session = aiohttp.ClientSession(auto_decompress=False)
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        return runner

    async def stop(self) -> None:
        """Closes the connections to the target."""
        if self._session is not None:
            await self._session.close()

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        assert self._session is not None
        headers = [
            (name, value)
            for name, value in request.headers.items()
            if name.lower() not in _NOT_FORWARDED
        ]
        async with self._session.request(
            request.method,
            self._target + request.path_qs,
            headers=headers,
            data=await request.read() or None,
            allow_redirects=False,
        ) as response:
            response_headers = {
                name: value
                for name, value in response.headers.items()
                if name.lower() not in _NOT_FORWARDED
            }
            return web.Response(
                status=response.status, headers=response_headers, body=await response.read()
            )


async def serve(target: str, port: int) -> None:
    """Runs the proxy until SIGTERM.

    Args:
        target: URL of the target without a path.
        port: Loopback port to listen on.
    """
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    proxy = PlainProxy(target)
    runner = await proxy.start(port)
    await stop.wait()
    await runner.cleanup()
    await proxy.stop()


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1], int(sys.argv[2])))
