"""Faulty responses of an upstream, drawn from a seed and written on a raw connection."""

from __future__ import annotations

import asyncio
import enum
import random
import socket
import struct
from collections import defaultdict
from contextlib import suppress
from dataclasses import dataclass, replace

from aiohttp import web

from ...platform.names import NOT_EXECUTED, RECEIPT, REQUEST_ID
from ..program import LOOPBACK
from .records import receipt, response_body

# A second answer arrives at once or up to this time later.
_MAX_DELAY_S = 0.05
# Time between the two parts of a response that is split.
_SPLIT_PAUSE_S = 0.002
_CHUNK_BYTES = 700
_REASONS = {200: "OK", 204: "No Content", 304: "Not Modified", 500: "Failed", 503: "Full"}


class Framing(enum.Enum):
    """How a response states the end of its body."""

    LENGTH = enum.auto()
    CHUNKED = enum.auto()
    # The body ends with the connection.
    CLOSE = enum.auto()


class End(enum.Enum):
    """What happens to the connection after a response."""

    KEEP = enum.auto()
    CLOSE = enum.auto()
    RESET = enum.auto()


class Fault(enum.Enum):
    """Kinds of faulty responses."""

    NONE = enum.auto()
    # The answer once more, behind the first one or later.
    SECOND_ANSWER = enum.auto()
    # The answer to an earlier request of the same upstream before the own one.
    EARLIER_ANSWER = enum.auto()
    # The connection ends before the answer does.
    CUT = enum.auto()
    # The answer stops, and the whole answer follows on the same connection.
    CUT_AND_SECOND_ANSWER = enum.auto()
    INFORMATIONAL = enum.auto()
    JUNK = enum.auto()
    JUNK_BEHIND = enum.auto()
    SECOND_ID = enum.auto()
    NO_ID = enum.auto()
    NO_RECEIPT = enum.auto()


# Faults with a complete answer at the right place.
ANSWERED = frozenset((Fault.NONE, Fault.SECOND_ANSWER, Fault.INFORMATIONAL))


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete response of an upstream.

    Attributes:
        instance: Instance id of the upstream.
        id: Id of the request.
        status: HTTP status.
        body: The body.
        ran: Whether the upstream ran the request.
    """

    instance: str
    id: str
    status: int
    body: bytes
    ran: bool = True

    @property
    def receipt(self) -> str:
        """The receipt header; empty if the upstream did not run the request."""
        return receipt(self.instance, self.id, self.status) if self.ran else ""


@dataclass(frozen=True, slots=True)
class Write:
    """Bytes that are written after a pause."""

    pause_s: float
    data: bytes


@dataclass(frozen=True, slots=True)
class Script:
    """What is written for a request.

    Attributes:
        fault: Kind of the fault.
        writes: The bytes in order.
        end: What happens to the connection afterwards.
    """

    fault: Fault
    writes: tuple[Write, ...]
    end: End


def encode(
    answer: Answer,
    framing: Framing,
    *,
    with_body: bool = True,
    more_headers: tuple[tuple[str, str], ...] = (),
    without: str = "",
) -> bytes:
    """Returns the bytes of a response.

    Args:
        answer: The response.
        framing: How the end of the body is stated.
        with_body: Whether a body follows the head, as for all methods but HEAD.
        more_headers: Headers that are added.
        without: Name of a header that is left out.
    """
    headers = [(REQUEST_ID, answer.id)]
    if answer.ran:
        headers.append((RECEIPT, answer.receipt))
    else:
        headers.append((NOT_EXECUTED, "1"))
    if framing is Framing.LENGTH:
        headers.append(("Content-Length", str(len(answer.body))))
    elif framing is Framing.CHUNKED:
        headers.append(("Transfer-Encoding", "chunked"))
    else:
        headers.append(("Connection", "close"))
    headers = [header for header in headers if header[0] != without]
    lines = [f"HTTP/1.1 {answer.status} {_REASONS.get(answer.status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in (*headers, *more_headers)]
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    if not with_body or answer.status in (204, 304):
        return head
    if framing is not Framing.CHUNKED:
        return head + answer.body
    parts = [
        answer.body[start : start + _CHUNK_BYTES]
        for start in range(0, len(answer.body), _CHUNK_BYTES)
    ]
    return head + b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


def draw_script(
    rng: random.Random,
    answer: Answer,
    earlier: Answer | None,
    *,
    with_body: bool = True,
    faults: tuple[Fault, ...] = tuple(Fault),
) -> Script:
    """Draws what an upstream writes for a request.

    Args:
        rng: Source of randomness.
        answer: The answer.
        earlier: Answer to an earlier request, or None.
        with_body: Whether a body follows the head, as for all methods but HEAD.
        faults: Faults to draw from.
    """
    fault = rng.choice(faults)
    framings = (Framing.LENGTH, Framing.CHUNKED)
    framing = rng.choice((*framings, Framing.CLOSE))
    if not with_body or answer.status in (204, 304):
        framing = Framing.LENGTH
    if fault in (Fault.SECOND_ANSWER, Fault.CUT_AND_SECOND_ANSWER, Fault.JUNK_BEHIND):
        framing = rng.choice(framings)
    more_headers = ()
    if fault is Fault.SECOND_ID:
        more_headers = ((REQUEST_ID, earlier.id if earlier else "other"),)
    without = {Fault.NO_ID: REQUEST_ID, Fault.NO_RECEIPT: RECEIPT}.get(fault, "")
    data = encode(answer, framing, with_body=with_body, more_headers=more_headers, without=without)
    copy = encode(answer, rng.choice(framings), with_body=with_body)
    pause_s = rng.choice((0.0, 0.0, rng.uniform(0, _MAX_DELAY_S)))
    end = End.CLOSE if framing is Framing.CLOSE else End.KEEP
    writes = _split(rng, data)
    if fault is Fault.SECOND_ANSWER:
        writes = _append(rng, writes, copy, pause_s)
    elif fault is Fault.EARLIER_ANSWER and earlier is not None:
        first = encode(earlier, rng.choice(framings), with_body=with_body)
        writes = _append(rng, _split(rng, first), data, pause_s)
    elif fault is Fault.CUT:
        head_bytes = data.index(b"\r\n\r\n") + 4
        # Without a length a closed connection completes the body, so only its head is cut so.
        end = rng.choice((End.CLOSE, End.RESET))
        limit = head_bytes if framing is Framing.CLOSE and end is End.CLOSE else len(data)
        writes = _split(rng, data[: rng.randrange(limit)])
    elif fault is Fault.CUT_AND_SECOND_ANSWER:
        # In parts, the copy could end a body in one read and continue in another, where nothing
        # tells the body from a complete one.
        writes = (*_split(rng, data[: rng.randrange(len(data))]), Write(pause_s, copy))
    elif fault is Fault.INFORMATIONAL:
        early = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * rng.randint(1, 3)
        writes = _append(rng, (Write(0.0, early),), data, pause_s)
    elif fault is Fault.JUNK:
        writes, end = (Write(0.0, rng.randbytes(rng.randint(1, 300))),), End.CLOSE
    elif fault is Fault.JUNK_BEHIND:
        writes = _append(rng, writes, rng.randbytes(rng.randint(1, 300)), pause_s)
    return Script(fault, writes, end)


def _split(rng: random.Random, data: bytes) -> tuple[Write, ...]:
    if len(data) < 2 or rng.random() < 0.5:
        return (Write(0.0, data),)
    cut = rng.randrange(1, len(data))
    return (Write(0.0, data[:cut]), Write(_SPLIT_PAUSE_S, data[cut:]))


def _append(
    rng: random.Random, writes: tuple[Write, ...], data: bytes, pause_s: float
) -> tuple[Write, ...]:
    if pause_s:
        first, *rest = _split(rng, data)
        return (*writes, replace(first, pause_s=pause_s), *rest)
    # Without a pause the last bytes of the one and the first of the other share a segment.
    return (*writes[:-1], replace(writes[-1], data=writes[-1].data + data))


class ScriptedResponse(web.StreamResponse):
    """A response of an aiohttp server that writes a script in place of itself.

    Args:
        script: The script.
    """

    def __init__(self, script: Script) -> None:
        super().__init__()
        self._script = script
        if script.end is not End.KEEP:
            self.force_close()

    async def prepare(self, request: web.BaseRequest) -> None:
        """Writes the script."""
        transport = request.transport
        for write in self._script.writes:
            if write.pause_s:
                await asyncio.sleep(write.pause_s)
            if transport is None or transport.is_closing():
                return
            transport.write(write.data)
        if self._script.end is End.RESET and transport is not None:
            reset(transport)

    async def write_eof(self, data: bytes = b"") -> None:
        """Writes nothing: the script is the whole response."""


def reset(transport: asyncio.Transport) -> None:
    """Resets a connection, where `abort` alone would close it."""
    connection = transport.get_extra_info("socket")
    if connection is None:
        return
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


class StutteringUpstream:
    """An upstream on raw connections, each of whose responses is drawn from a seed.

    Args:
        seed: Seed of the responses.
        faults: Faults to draw from.

    Attributes:
        answers: All answers of a request, by its id, with what was written.
    """

    def __init__(self, seed: int, faults: tuple[Fault, ...] = tuple(Fault)) -> None:
        self.answers: defaultdict[str, list[tuple[Answer, Script]]] = defaultdict(list)
        self._rng = random.Random(seed)
        self._faults = faults
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> tuple[str, int]:
        """Starts to listen; returns the address."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return self._server.sockets[0].getsockname()

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._server.close()
        for writer in tuple(self._connections):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        earlier: Answer | None = None
        try:
            while True:
                earlier, stays_open = await self._serve_request(reader, writer, earlier)
                if not stays_open:
                    break
        except (asyncio.IncompleteReadError, OSError, RuntimeError):
            # uvloop raises RuntimeError for a write to a connection that was reset.
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _serve_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        earlier: Answer | None,
    ) -> tuple[Answer, bool]:
        """Answers one request; returns the answer and whether the connection stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        request_line, *lines = head.split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines if line)
        length = int(headers.get("content-length", "0"))
        early = length > 0 and self._rng.random() < 0.3
        if not early:
            await reader.readexactly(length)
        request_id = headers[REQUEST_ID.lower()]
        method = request_line.split()[0]
        answer = self._draw_answer(request_id)
        script = draw_script(
            self._rng,
            answer,
            earlier,
            with_body=method != "HEAD",
            faults=self._faults,
        )
        self.answers[request_id].append((answer, script))
        for write in script.writes:
            if write.pause_s:
                await writer.drain()
                await asyncio.sleep(write.pause_s)
            writer.write(write.data)
        await writer.drain()
        if early:
            await reader.readexactly(length)
        if script.end is End.RESET:
            await asyncio.sleep(self._rng.choice((0.0, _SPLIT_PAUSE_S)))
            reset(writer.transport)
        return answer, script.end is End.KEEP

    def _draw_answer(self, request_id: str) -> Answer:
        body = response_body(request_id) * self._rng.choice((1, 1, 1, 100))
        status, ran = self._rng.choice(
            ((200, True), (200, True), (200, True), (204, True), (500, True), (503, False))
        )
        if status == 204:
            body = b""
        return Answer("i1", request_id, status, body, ran)
