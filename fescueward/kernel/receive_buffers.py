"""Memory for what the sockets of a port have received and the process has not read."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

from .memory import memory_share

# Share of the memory of the process, beside the shares of `BodyBudget` and `CallerBudget`.
_SHARE = 0.2
# Receive buffers, in bytes. An upload of the size of the largest fits in one round trip.
_LARGEST_BYTES = 131_072
SMALLEST_BYTES = 8_192
# The largest part of what is left that one connection gets.
_LEFT_PER_CONNECTION = 1 / 16
# Linux allows twice the size that is set, for its own structures.
_ALLOWED_PER_BYTE = 2


class ReceiveBuffers:
    """Sets the receive buffer of each connection, smaller ones the more connections there are.

    The kernel enlarges the buffer of a connection to megabytes while its caller sends, and its
    bytes count towards the memory of the process.

    Args:
        memory_bytes: Memory of the process, in bytes.
    """

    def __init__(self, memory_bytes: int) -> None:
        self._left_bytes = memory_share(memory_bytes, _SHARE)
        self._allowed_bytes: dict[object, int] = {}

    def assign(self, connection: object, transport: asyncio.BaseTransport) -> None:
        """Sets the receive buffer of an accepted connection."""
        accepted_socket = transport.get_extra_info("socket")
        if accepted_socket is None:
            return
        part = max(int(self._left_bytes * _LEFT_PER_CONNECTION), 0) // _ALLOWED_PER_BYTE
        size = min(max(part, SMALLEST_BYTES), _LARGEST_BYTES)
        # The caller may have closed the connection already.
        with suppress(OSError):
            accepted_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        self._allowed_bytes[connection] = _ALLOWED_PER_BYTE * size
        self._left_bytes -= _ALLOWED_PER_BYTE * size

    def release(self, connection: object) -> None:
        """Returns the memory of a connection that has ended."""
        self._left_bytes += self._allowed_bytes.pop(connection, 0)
