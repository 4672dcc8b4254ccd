"""Tests of agents against crowds that press on all their connections at the same moment.

What counts is the resident memory of the agent with the bytes that its sockets have received and
it has not read.
"""

from __future__ import annotations

import asyncio
import selectors
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

import psutil

from fescueward.platform.names import REQUEST_ID
from fescueward.testing.program import LOOPBACK
from fescueward.testing.site.deployment import SiteSpec

from .hard_callers import CHUNKED_HEAD, HEAD, HardCallersCase

MEMORY_BYTES = 110_000_000
DESCRIPTORS = 450
# Connections that press at the same moment; one that is closed is replaced.
CROWD = 200
PRESSING_S = 6.0
_PART_BYTES = 65_536
_SAMPLE_PERIOD_S = 0.03
# Lines of one head or trailer, which take far more memory than bytes.
_SHORT_LINES = b"a:b\r\n" * 3_200
_BODY_BYTES = 8_000_000


@dataclass(frozen=True, slots=True)
class Pressure:
    """What each connection of a crowd sends.

    Attributes:
        first: Bytes that are sent first.
        repeated: Bytes that are repeated after `first` without end; empty for none.
    """

    first: bytes
    repeated: bytes = b""


def _unread_bytes(port: int) -> int:
    """Returns the bytes that the connections of a listening port have received and not read."""
    total = 0
    for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        if fields[1].endswith(f":{port:04X}") and fields[3] != "0A":
            total += int(fields[4].partition(":")[2], 16)
    return total


class _MemorySampler:
    """Samples the memory of a process and its sockets in a thread."""

    def __init__(self, pid: int, port: int) -> None:
        self._process = psutil.Process(pid)
        self._port = port
        self._ended = threading.Event()
        self.peak_bytes = 0

    @contextmanager
    def running(self) -> Iterator[None]:
        thread = threading.Thread(target=self._run)
        thread.start()
        try:
            yield
        finally:
            self._ended.set()
            thread.join()

    def _run(self) -> None:
        while not self._ended.wait(_SAMPLE_PERIOD_S):
            with suppress(psutil.Error):
                resident_bytes = self._process.memory_info().rss
                self.peak_bytes = max(self.peak_bytes, resident_bytes + _unread_bytes(self._port))


class _Crowd:
    """Connections that are opened first, and then send as fast as the agent lets them."""

    def __init__(self, port: int, pressure: Pressure) -> None:
        self._port, self._pressure = port, pressure
        repeated = pressure.repeated
        self._part = repeated * (_PART_BYTES // len(repeated)) if repeated else b""
        self._selector = selectors.DefaultSelector()

    def press(self) -> None:
        """Presses for a while, then closes all connections."""
        ends_at = time.monotonic() + PRESSING_S
        connections = [self._connect() for _ in range(CROWD)]
        for connection in connections:
            self._begin(connection)
        while time.monotonic() < ends_at:
            for key, _ in self._selector.select(0.05):
                self._press_further(key.fileobj)
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()
        self._selector.close()

    def _connect(self) -> socket.socket:
        connection = socket.create_connection((LOOPBACK, self._port), timeout=PRESSING_S)
        connection.setblocking(False)
        return connection

    def _begin(self, connection: socket.socket) -> None:
        with suppress(OSError):
            connection.send(self._pressure.first)
        events = selectors.EVENT_WRITE if self._part else selectors.EVENT_READ
        self._selector.register(connection, events)

    def _press_further(self, connection: socket.socket) -> None:
        try:
            ended = not (connection.send(self._part) if self._part else connection.recv(4096))
        except BlockingIOError:
            return
        except OSError:
            ended = True
        if ended:
            self._selector.unregister(connection)
            connection.close()
            with suppress(OSError):
                self._begin(self._connect())


class PressingCallersTest(HardCallersCase):
    spec = SiteSpec(
        services={"orders": 2},
        keyed=frozenset(),
        settings={"limits.memoryMb": MEMORY_BYTES // 1_000_000, "limits.maxFds": DESCRIPTORS},
        limits={"headerTimeoutS": 10, "idleTimeoutS": 30},
    )

    async def _assert_held(self, pressure: Pressure) -> None:
        """Asserts that the agent lives within its limits, and answers an ordinary request."""
        sampler = _MemorySampler(self.pids[0], self.port)
        with sampler.running():
            await asyncio.to_thread(_Crowd(self.port, pressure).press)
            descriptors = psutil.Process(self.pids[0]).num_fds()
            await self.assert_served()
        name = self.id().rpartition(".")[2]
        print(f"{name}: {sampler.peak_bytes // 1_000_000} MB, {descriptors} descriptors")
        self.assert_same_processes()
        self.assertLess(sampler.peak_bytes, MEMORY_BYTES)
        self.assertLess(descriptors, DESCRIPTORS)

    async def test_empty_lines(self):
        """Guards against unread empty lines before a request on many connections."""
        await self._assert_held(Pressure(b"", b"\r\n"))

    async def test_request_lines(self):
        """Guards against unread request lines without end on many connections."""
        await self._assert_held(Pressure(b"GET /orders/", b"x"))

    async def test_header_lines(self):
        """Guards against unread header lines without end on many connections."""
        await self._assert_held(Pressure(HEAD, b"X-Line: 0123456789\r\n"))

    async def test_trailer_lines(self):
        """Guards against unread trailers without end on many connections."""
        await self._assert_held(Pressure(CHUNKED_HEAD + b"0\r\n", b"X-Line: 0123456789\r\n"))

    async def test_incomplete_heads_of_many_lines(self):
        """Guards against heads within the limit whose lines take far more memory than bytes."""
        await self._assert_held(Pressure(HEAD + _SHORT_LINES))

    async def test_incomplete_trailers_of_many_lines(self):
        """Guards against trailers within the limit whose lines take far more memory than bytes."""
        await self._assert_held(Pressure(CHUNKED_HEAD + b"0\r\n" + 2 * _SHORT_LINES))

    async def test_long_bodies(self):
        """Guards against parts of bodies that many connections hold."""
        head = HEAD + f"{REQUEST_ID}: hard\r\nContent-Length: {_BODY_BYTES}\r\n\r\n".encode()
        await self._assert_held(Pressure(head, b"x"))
