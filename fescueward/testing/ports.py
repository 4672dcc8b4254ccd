"""Free ports on loopback."""

from __future__ import annotations

import contextlib
import random
import socket

from .errors import NoFreePortError
from .program import LOOPBACK

# Below the usual range of ephemeral ports, so that no outgoing connection is assigned a port
# between the stop and the restart of a process.
LOWEST_PORT = 15_000
HIGHEST_PORT = 31_999
_MAX_ATTEMPTS = 200


class PortReservations:
    """Reserves ports for processes that start later, until `close`.

    Each reservation is a bound socket that never listens. SO_REUSEADDR is set on it after the
    bind: the bind itself is exclusive, while a server that sets the option can still bind and
    listen. Parallel test runs therefore never choose the same port.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Reserves a free port and returns its number.

        Raises:
            NoFreePortError: No free port was found.
        """
        for _ in range(_MAX_ATTEMPTS):
            port = random.randint(LOWEST_PORT, HIGHEST_PORT)
            reserved = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            with contextlib.suppress(OSError):
                reserved.bind((LOOPBACK, port))
                reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                self._sockets.append(reserved)
                return port
            reserved.close()
        raise NoFreePortError(f"no free port in {LOWEST_PORT} to {HIGHEST_PORT}")

    def close(self) -> None:
        """Releases all ports."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets.clear()
