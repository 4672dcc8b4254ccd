"""Tests of agents against callers that nobody controls, as real processes on loopback.

Each test checks that the processes live, that memory and descriptors stay under the limits in the
settings of the test, and that an ordinary request is answered afterwards.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

import psutil

from fescueward.testing.program import LOOPBACK
from fescueward.testing.site.deployment import SiteSpec
from fescueward.testing.waiting import wait_until

from .hard_callers import CHUNKED_HEAD, HANG_S, HEAD, HardCallersCase, get_request

MEMORY_MB = 150
DESCRIPTORS = 450
SPEC = SiteSpec(
    services={"orders": 2},
    keyed=frozenset(),
    settings={"limits.memoryMb": MEMORY_MB, "limits.maxFds": DESCRIPTORS},
    limits={"headerTimeoutS": 1, "idleTimeoutS": 3},
)
# Callers at a time and what each of them sends at most.
CROWD = 120
SENT_BYTES = 16 * 1024 * 1024
READERS = 40
READER_REQUESTS = 4
# More than a connection begins at a time.
WAITING_REQUESTS = 60
RESPONSE_BYTES = 5_000_000
IDLE_CONNECTIONS = 500
# A crowd that an agent does not read ends by itself after this time.
CROWD_TIMEOUT_S = 10.0
_PART = 65_536


def _send_without_end(port: int, first: bytes, repeated: bytes) -> socket.socket:
    """Sends until the limit of a caller, or until the connection ends; returns the connection."""
    connection = socket.create_connection((LOOPBACK, port), timeout=CROWD_TIMEOUT_S)
    ends_at = time.monotonic() + CROWD_TIMEOUT_S
    part = repeated * (_PART // len(repeated))
    with suppress(OSError):
        connection.sendall(first)
        sent_bytes = 0
        while sent_bytes < SENT_BYTES and time.monotonic() < ends_at:
            connection.settimeout(max(ends_at - time.monotonic(), 0.01))
            sent_bytes += connection.send(part)
    return connection


def _send(port: int, data: bytes) -> socket.socket:
    connection = socket.create_connection((LOOPBACK, port), timeout=CROWD_TIMEOUT_S)
    with suppress(OSError):
        connection.sendall(data)
    return connection


def _request_and_leave_unread(port: int) -> socket.socket:
    connection = socket.socket()
    # The responses stay with the agent instead of in the buffers of this socket.
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.settimeout(CROWD_TIMEOUT_S)
    connection.connect((LOOPBACK, port))
    connection.sendall(b"".join(get_request(RESPONSE_BYTES) for _ in range(READER_REQUESTS)))
    return connection


class HardCallersTest(HardCallersCase):
    spec = SPEC

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.threads = self.enterContext(ThreadPoolExecutor(CROWD))

    async def _crowd(
        self, size: int, caller: Callable[..., socket.socket], *arguments: object
    ) -> None:
        """Runs a crowd of callers in threads; their connections stay open until the test ends."""
        loop = asyncio.get_running_loop()
        callers = [
            loop.run_in_executor(self.threads, caller, self.port, *arguments) for _ in range(size)
        ]
        for connection in await asyncio.gather(*callers):
            self.connections.enter_context(connection)

    async def _assert_held(self) -> None:
        """Asserts what must hold after each crowd, whose connections are still open."""
        try:
            # Connections that came before this request have been accepted when it is answered.
            await self.assert_served()
        finally:
            memory_mb = [_peak_memory_mb(pid) for pid in self.pids if psutil.pid_exists(pid)]
            descriptors = [
                psutil.Process(pid).num_fds() for pid in self.pids if psutil.pid_exists(pid)
            ]
            print(f"{self.id().rpartition('.')[2]}: {memory_mb} MB, {descriptors} descriptors")
        self.assert_same_processes()
        self.assertLess(max(memory_mb), MEMORY_MB)
        self.assertLess(max(descriptors), DESCRIPTORS)

    async def test_empty_lines_without_end(self):
        """Guards against an event loop that is busy with the empty lines before a request."""
        await self._crowd(CROWD, _send_without_end, b"", b"\r\n")
        await self._assert_held()

    async def test_request_line_without_end(self):
        """Guards against a request line that is held without a limit."""
        await self._crowd(CROWD, _send_without_end, b"GET /orders/", b"x")
        await self._assert_held()

    async def test_header_line_without_end(self):
        """Guards against a header line that is held without a limit."""
        await self._crowd(CROWD, _send_without_end, HEAD + b"X-Long: ", b"x")
        await self._assert_held()

    async def test_header_lines_without_end(self):
        """Guards against a head of many lines that is held without a limit."""
        await self._crowd(CROWD, _send_without_end, HEAD, b"X-Line: 0123456789\r\n")
        await self._assert_held()

    async def test_trailers_without_end(self):
        """Guards against trailers behind a chunked body that are held without a limit."""
        await self._crowd(
            CROWD, _send_without_end, CHUNKED_HEAD + b"0\r\n", b"X-Line: 0123456789\r\n"
        )
        await self._assert_held()

    async def test_trailer_line_without_end(self):
        """Guards against one line of a trailer that is held without a limit."""
        await self._crowd(CROWD, _send_without_end, CHUNKED_HEAD + b"0\r\nX-Long: ", b"x")
        await self._assert_held()

    async def test_chunk_extensions_without_end(self):
        """Guards against extensions of a chunk that are held or parsed without a limit."""
        await self._crowd(CROWD, _send_without_end, CHUNKED_HEAD + b"1;e=", b"x")
        await self._assert_held()

    async def test_long_responses_that_are_not_read(self):
        """Guards against responses that are held for callers without a limit."""
        await self._crowd(READERS, _request_and_leave_unread)
        # The upstreams have answered all that the agent asks for by then.
        for _ in range(READER_REQUESTS):
            await self.assert_served()
        await self._assert_runs_end()
        await self._assert_held()

    async def test_heads_of_many_lines_behind_a_running_request(self):
        """Guards against heads within the limit that wait, whose lines take far more memory."""
        # The emulated upstream logs each head that has more lines than it takes.
        log = logging.getLogger("aiohttp.server")
        log.disabled = True
        self.addCleanup(setattr, log, "disabled", False)
        lines = b"a:b\r\n" * 3_000
        waiting = (get_request(work_ms=2_000)[:-2] + lines + b"\r\n") * WAITING_REQUESTS
        await self._crowd(READERS, _send, waiting)
        await self._assert_held()

    async def test_long_response_that_is_read_slowly(self):
        """Guards against a limit on unread responses that cuts off an ordinary slow caller."""
        reader, writer = await asyncio.open_connection(LOOPBACK, self.port, limit=4096)
        writer.write(get_request(RESPONSE_BYTES))
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200 "), head)
        received_bytes = 0
        while received_bytes < RESPONSE_BYTES:
            part = await reader.read(_PART)
            self.assertTrue(part, f"ended after {received_bytes} bytes")
            received_bytes += len(part)
            await asyncio.sleep(0.01)
        writer.close()
        await self._assert_held()

    async def test_idle_connections(self):
        """Guards against idle callers that take all descriptors."""
        for _ in range(IDLE_CONNECTIONS):
            connection = socket.create_connection((LOOPBACK, self.port))
            self.connections.enter_context(connection)
            with suppress(OSError):
                connection.sendall(b"G")
        await self._assert_held()

    async def test_head_that_comes_byte_by_byte(self):
        """Guards against heads that never end and are never given up."""
        connection = socket.create_connection((LOOPBACK, self.port))
        self.connections.enter_context(connection)
        connection.sendall(b"GET /orders/")
        connection.setblocking(False)

        def is_closed() -> bool:
            try:
                connection.send(b"x")
                return not connection.recv(1)
            except BlockingIOError:
                return False
            except OSError:
                return True

        await wait_until(is_closed, HANG_S, "the connection is closed")
        await self._assert_held()

    async def _assert_runs_end(self) -> None:
        """Waits until the upstreams run no more of the crowd's requests."""
        runs = self.site.evidence.runs

        def quiet() -> bool:
            return not runs or time.monotonic() - runs[-1].ended > 1.0

        await wait_until(quiet, HANG_S, "the upstreams are idle")


def _peak_memory_mb(pid: int) -> int:
    """Returns the highest resident memory that a process has had, in MB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        line = next(line for line in status if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024 // 1_000_000
