"""Time that messages of a peer stream are delayed on their way."""

from __future__ import annotations

# Time after which a lowest difference is forgotten, within one and two of these windows. Longer
# ones would follow clocks that run at different speeds too slowly.
_WINDOW_S = 30.0


class TransitDelay:
    """Measures by how much messages arrive later than the fastest ones of their stream.

    The clocks of two VMs differ by an unknown amount. The lowest recent difference between arrival
    and sending stands for that amount and the shortest way, as in RFC 6817. What exceeds it was
    spent in the buffers of the sender, of links and of the receiver.
    """

    def __init__(self) -> None:
        self._lowest_s = float("inf")
        self._previous_lowest_s = float("inf")
        self._window_end = 0.0

    def observe(self, sent_ms: int | None, now: float) -> float:
        """Returns the delay of a message in seconds.

        Args:
            sent_ms: Time of sending by the clock of the sender, or None if it is unknown.
            now: Time of arrival in seconds of CLOCK_BOOTTIME on this VM.
        """
        if sent_ms is None:
            return 0.0
        if now >= self._window_end:
            self._window_end = now + _WINDOW_S
            self._previous_lowest_s, self._lowest_s = self._lowest_s, float("inf")
        difference_s = now - sent_ms / 1000
        self._lowest_s = min(self._lowest_s, difference_s)
        return difference_s - min(self._lowest_s, self._previous_lowest_s)
