"""Request bodies that are being received by this agent."""

from __future__ import annotations

from ...kernel import Clock
from ...kernel.errors import OverloadedError
from ...messages.request import Body

# Older receptions lose half of their weight in the rate once this much time is counted.
_RATE_WINDOW_S = 1.0
# Limit on the bytes of all bodies that are on their way. A single larger body is received.
_MAX_REMAINING_BYTES = 16 * 1024 * 1024
# A refused body of the limit's size takes seconds on the link of a small machine.
_RETRY_AFTER_S = 0.5
# Longest time between two parts that counts; a longer one is a pause of the sender.
_MAX_GAP_S = 0.1


class BodyArrivals:
    """Receives bodies and estimates when another one would have arrived.

    All bodies share the link of this machine, so the estimate counts the bytes that are still to
    come and the rate at which bytes arrived while any body was being received.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._open_bodies = 0
        self._remaining_bytes = 0
        self._counted_until = 0.0
        self._received_bytes = 0.0
        self._receiving_s = 0.0

    def expected_s(self, length: int) -> float:
        """Returns the expected time in seconds until a body of this length has arrived.

        It is 0.0 while no other body is being received: the link is free then.
        """
        if not self._received_bytes or not self._remaining_bytes:
            return 0.0
        rate = self._received_bytes / max(self._receiving_s, 1e-3)
        return (self._remaining_bytes + length) / rate

    def check(self, length: int) -> None:
        """Checks whether another body of this length fits in memory beside those on their way.

        Raises:
            OverloadedError: It does not fit.
        """
        if self._remaining_bytes and self._remaining_bytes + length > _MAX_REMAINING_BYTES:
            raise OverloadedError(
                "too many request bodies are on their way", retry_after_s=_RETRY_AFTER_S
            )

    async def receive(self, body: Body) -> bytes:
        """Receives a body to its end; raises as `Body.chunks`."""
        remaining_bytes = body.length or 0
        if not self._open_bodies:
            self._counted_until = self._clock.now()
        self._open_bodies += 1
        self._remaining_bytes += remaining_bytes
        parts = []
        try:
            async for part in body.chunks():
                parts.append(part)
                arrived_bytes = min(len(part), remaining_bytes)
                remaining_bytes -= arrived_bytes
                self._remaining_bytes -= arrived_bytes
                self._count(len(part))
        finally:
            self._open_bodies -= 1
            self._remaining_bytes -= remaining_bytes
        return b"".join(parts)

    def _count(self, size: int) -> None:
        now = self._clock.now()
        self._received_bytes += size
        self._receiving_s += min(now - self._counted_until, _MAX_GAP_S)
        self._counted_until = now
        if self._receiving_s > _RATE_WINDOW_S:
            self._received_bytes /= 2
            self._receiving_s /= 2
