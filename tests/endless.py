"""A server of endless responses, for the tests of all HTTP clients of the package."""

from __future__ import annotations

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from fescueward.kernel.errors import OutcomeUnknownError, PlatformUnavailableError
from fescueward.kernel.settings import PlatformSection
from fescueward.testing.waiting import wait_until

# Limit on the bytes sent on one connection, all of which a client without a bound reads.
MAX_SENT_BYTES = 64 * 1024 * 1024
# Allowance for the buffers of both sockets, which grow while the client reads.
SOCKET_BUFFER_BYTES = 12 * 1024 * 1024

_OK = b"HTTP/1.1 200 OK\r\n"
_FILLER = b"x" * 16_384


@dataclass(frozen=True, slots=True)
class EndlessResponse:
    """A response that never ends.

    Attributes:
        name: The part that is endless.
        start: Bytes that are sent first.
        piece: Bytes that are repeated after `start`.
    """

    name: str
    start: bytes
    piece: bytes


def endless_heads() -> tuple[EndlessResponse, ...]:
    """Returns responses whose head never ends."""
    return (
        EndlessResponse("status line", _OK[:-2], _FILLER),
        EndlessResponse("header", _OK + b"X-Long: ", _FILLER),
        EndlessResponse("headers", _OK, b"X-More: 1\r\n" * 1000),
        EndlessResponse("100", b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
        EndlessResponse("103", b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 500),
        EndlessResponse("no HTTP", b"", b"\x00" * 16_384),
    )


def endless_bodies(headers: bytes = b"") -> tuple[EndlessResponse, ...]:
    """Returns responses whose body never ends; their heads contain the given header lines."""
    chunked = _OK + headers + b"Transfer-Encoding: chunked\r\n\r\n"
    return (
        EndlessResponse("no length", _OK + headers + b"\r\n", _FILLER),
        EndlessResponse("chunked", chunked, b"4000\r\n" + _FILLER + b"\r\n"),
        EndlessResponse("one chunk", chunked + b"fffffffffff\r\n", _FILLER),
        EndlessResponse("length", _OK + headers + b"Content-Length: 99999999999\r\n\r\n", _FILLER),
        EndlessResponse("chunk extension", chunked + b"4;x=", _FILLER),
        EndlessResponse("trailers", chunked + b"0\r\n", b"X-More: 1\r\n" * 1000),
    )


class EndlessServer:
    """Sends an endless response on each connection until the client closes it.

    Attributes:
        response: The response, which can be changed between requests.
        pause_s: Delay between `start` and the first `piece` of the response, in seconds.
        transmitted_bytes: Bytes written to the sockets of all connections, without their write
            buffers.
        open: Number of connections on which a response is being sent.
        requests: Request lines, except those of health checks and cancellations.
    """

    def __init__(self, response: EndlessResponse, pause_s: float = 0.0) -> None:
        self.response = response
        self.pause_s = pause_s
        self.transmitted_bytes = 0
        self.open = 0
        self.requests: list[bytes] = []

    async def start(self) -> tuple[str, int]:
        """Starts listening and returns host and port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        listening = self._server.sockets[0]
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
        host, port = listening.getsockname()
        return host, port

    async def stop(self) -> None:
        """Stops listening."""
        self._server.close()

    def idle(self) -> bool:
        """Returns whether no response is being sent."""
        return not self.open

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"/health " not in head and b"/cancel/" not in head:
                    break
                writer.write(_OK + b"Content-Length: 2\r\n\r\n{}")
            self.requests.append(head.split(b"\r\n")[0])
            await self._send(writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        sent_bytes = 0
        try:
            writer.write(self.response.start)
            await asyncio.sleep(self.pause_s)
            while sent_bytes < MAX_SENT_BYTES:
                writer.write(self.response.piece)
                sent_bytes += len(self.response.piece)
                await writer.drain()
            await writer.wait_closed()
        finally:
            self.transmitted_bytes += sent_bytes - writer.transport.get_write_buffer_size()
            self.open -= 1


async def check_platform_client(
    test: unittest.IsolatedAsyncioTestCase, start: Callable[[PlatformSection], Awaitable[Any]]
) -> None:
    """Checks that a client of the platform aborts endless responses before its timeout.

    Args:
        test: The test case that runs the checks.
        start: Starts a client with the given settings.
    """
    for response in (*endless_heads(), *endless_bodies()):
        with test.subTest(response=response.name):
            server = EndlessServer(response)
            host, port = await server.start()
            test.addAsyncCleanup(server.stop)
            section = PlatformSection(
                url=f"http://{host}:{port}", timeout_ms=8000, max_answer_bytes=300_000
            )
            client = await start(section)
            test.addAsyncCleanup(client.stop)
            with test.assertRaisesRegex(PlatformUnavailableError, "^(?!.*[Tt]imeout)"):
                await client.get("groups/s1/0")
            with test.assertRaisesRegex(OutcomeUnknownError, "^(?!.*[Tt]imeout)"):
                await client.put("groups/s1/0", b"{}", 1)
            await wait_until(server.idle, 2, "the connections are closed")
            test.assertLess(
                server.transmitted_bytes, 2 * (section.max_answer_bytes + SOCKET_BUFFER_BYTES)
            )
