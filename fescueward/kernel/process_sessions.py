"""HTTP calls that reach one process of a server only."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from typing import Any

import aiohttp

from .http_client import ProcessUnknownError
from .server_process import requiring_process

# Period of the check whether the process of a connection has become known.
_CHECK_PERIOD_S = 0.02


class ProcessSessions:
    """Sessions of one connection each, which take turns.

    A call uses the first idle session whose connection reaches the required process. Its response
    proves the process of connections that were opened meanwhile, so that others can replace it.

    Args:
        sessions: The sessions; each opens one connection at most and keeps it.
    """

    def __init__(self, sessions: Sequence[aiohttp.ClientSession]) -> None:
        self._sessions = sessions
        self._busy: set[int] = set()
        self._became_idle = asyncio.Event()

    @asynccontextmanager
    async def post(
        self, process: int, url: str, options: Callable[[], dict[str, Any]]
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Sends a POST request to a process; see `aiohttp.ClientSession.post`.

        Args:
            process: Number of the process; see `ServerProcesses`.
            url: URL on the server.
            options: Returns the further options of the request at the time of sending.

        Raises:
            ProcessChangedError: The server is another process now; nothing was sent.
        """
        unknown: set[int] = set()
        while True:
            idle = [
                index
                for index in range(len(self._sessions))
                if index not in self._busy and index not in unknown
            ]
            if not idle:
                await self._wait_until_idle()
                unknown.clear()
                continue
            index = idle[0]
            self._busy.add(index)
            try:
                with requiring_process(process):
                    response = await self._sessions[index].post(url, **options())
                async with response:
                    yield response
                return
            except ProcessUnknownError:
                unknown.add(index)
            finally:
                self._busy.discard(index)
                self._became_idle.set()

    async def close(self) -> None:
        """Closes the sessions."""
        for session in self._sessions:
            await session.close()

    async def _wait_until_idle(self) -> None:
        self._became_idle.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(_CHECK_PERIOD_S):
                await self._became_idle.wait()
