"""HTTP/1.1 messages on plain streams, for the stand-ins and the callers."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field

LIMIT_BYTES = 1 << 24
_REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass(frozen=True, slots=True)
class Message:
    """An HTTP message.

    Attributes:
        line: Request line or status line.
        headers: Headers by lower-case name.
        body: The whole body.
    """

    line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.line.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message of a connection, or None if it ends before."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, separator, value = line.partition(":")
            if separator:
                headers[name.lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        return None
    return Message(lines[0], headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return body
        body += part[:-2]


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a response with a length."""
    return _encode(f"HTTP/1.1 {status} {_REASONS.get(status, 'Other')}", headers, body)


def encode_json(status: int, content: object) -> bytes:
    """Returns the bytes of a response with a JSON body."""
    headers = {"Content-Type": "application/json"}
    return encode_response(status, headers, json.dumps(content, separators=(",", ":")).encode())


def _encode(line: str, headers: dict[str, str], body: bytes) -> bytes:
    lines = [line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message | None:
    """Sends a request on a new connection.

    Returns:
        The response, or None if the connection ended without one.

    Raises:
        OSError: No connection was established.
        TimeoutError: No response arrived in time.
    """
    host, port = address
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port, limit=LIMIT_BYTES)
        try:
            sent = {"Host": f"{host}:{port}", **(headers or {})}
            writer.write(_encode(f"{method} {target} HTTP/1.1", sent, body))
            return await read_message(reader)
        finally:
            writer.close()
