"""Limit on the bytes of bodies that are on their way from this agent.

Answers the load of large responses and uploads on a slow link. Each stream has flow control of its
own, so the bytes on their way would grow with the number of receivers, and every short message of
this VM, such as the response to a call that a run waits for, would be sent behind all of them.
"""

from __future__ import annotations

import asyncio

from sortedcontainers import SortedDict

# Time for which a short message may wait on the link behind parts of bodies.
_LINK_TIME_S = 0.06
# Bounds of the limit, in bytes. With less, the link idles until the receiver asks for more.
_MIN_WINDOW_BYTES = 24_576
_MAX_WINDOW_BYTES = 262_144
# Bodies that use the limit together; the others wait in the order of their beginning, because
# bodies that share a link evenly are all late together.
_FLOWING_BODIES = 2
# Time without an acknowledgement after which the bytes of a body count as arrived: they have left
# this VM, and their receiver does not read.
_STALLED_S = 0.25


class OutgoingBody:
    """A body that is being sent; see `SendWindow.begin`.

    Args:
        window: The window that it uses.
        sequence: Number of the body; lower ones are sent first.
        length: Number of its bytes, 0 if it is unknown.
    """

    def __init__(self, window: SendWindow, sequence: int, length: int) -> None:
        self.sequence = sequence
        self.in_flight = 0
        self.acknowledged_at = 0.0
        self._window = window
        self._unsent = length

    async def take(self, size: int) -> None:
        """Waits until the next `size` bytes may be sent."""
        await self._window.take(self, size)
        sent = min(size, self._unsent)
        self._unsent -= sent
        self._window.unsent_bytes -= sent

    def acknowledge(self, size: int) -> None:
        """Counts bytes that have arrived, because the receiver has asked for as many more."""
        self.acknowledged_at = asyncio.get_running_loop().time()
        self._window.release(self, min(size, self.in_flight))

    def release(self) -> None:
        """Counts all bytes on their way as arrived."""
        self._window.release(self, self.in_flight)

    def end(self) -> None:
        """Ends the sending, whether the body is complete or not."""
        self._window.unsent_bytes -= self._unsent
        self._unsent = 0
        self._window.end(self)


class SendWindow:
    """Shares the link among the bodies that this agent sends.

    Args:
        bytes_per_s: Speed of the link, or 0 if it is unknown.

    Attributes:
        unsent_bytes: Bytes of the bodies that were begun and are not sent yet.
    """

    def __init__(self, bytes_per_s: float = 0.0) -> None:
        self.unsent_bytes = 0
        self._bytes_per_s = bytes_per_s
        self._limit_bytes = _MAX_WINDOW_BYTES
        if bytes_per_s:
            window_bytes = int(bytes_per_s * _LINK_TIME_S)
            self._limit_bytes = min(max(window_bytes, _MIN_WINDOW_BYTES), _MAX_WINDOW_BYTES)
        self._in_flight = 0
        self._sequence = 0
        # Bodies with bytes on their way, and those that wait with the number of bytes, by their
        # sequence numbers.
        self._flowing: dict[int, OutgoingBody] = {}
        self._waiting: SortedDict = SortedDict()

    def begin(self, length: int) -> OutgoingBody:
        """Returns a body to send of `length` bytes, 0 if the length is unknown."""
        self._sequence += 1
        self.unsent_bytes += length
        return OutgoingBody(self, self._sequence, length)

    def expected_s(self, length: int) -> float:
        """Returns the time in seconds after which a body that begins now would be sent."""
        if not self._bytes_per_s:
            return 0.0
        return (self.unsent_bytes + self._in_flight + length) / self._bytes_per_s

    async def take(self, body: OutgoingBody, size: int) -> None:
        """Waits until `size` bytes of a body fit into the window; earlier bodies go first."""
        if not self._fits(body, size) or self._waiting:
            # Its result is whether the bytes were counted.
            turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
            self._waiting[body.sequence] = (body, size, turn)
            self._admit()
            try:
                while not turn.done():
                    await asyncio.wait((turn,), timeout=_STALLED_S)
                    self._release_stalled()
            except asyncio.CancelledError:
                if turn.done() and not turn.cancelled() and turn.result():
                    self.release(body, size)
                raise
            finally:
                self._waiting.pop(body.sequence, None)
            return
        self._count(body, size)

    def release(self, body: OutgoingBody, size: int) -> None:
        """Counts bytes of a body as arrived."""
        body.in_flight -= size
        self._in_flight -= size
        if not body.in_flight:
            self._flowing.pop(body.sequence, None)
        self._admit()

    def end(self, body: OutgoingBody) -> None:
        """Ends a body; its last bytes count for as long as they take on the link."""
        waiting = self._waiting.pop(body.sequence, None)
        if waiting is not None and not waiting[2].done():
            waiting[2].set_result(False)
        if not body.in_flight:
            return
        if self._bytes_per_s:
            loop = asyncio.get_running_loop()
            loop.call_later(body.in_flight / self._bytes_per_s, body.release)
        else:
            body.release()

    def _fits(self, body: OutgoingBody, size: int) -> bool:
        if not self._in_flight:
            return True
        own_limit = self._limit_bytes // _FLOWING_BODIES
        return self._in_flight + size <= self._limit_bytes and (
            not body.in_flight or body.in_flight + size <= own_limit
        )

    def _count(self, body: OutgoingBody, size: int) -> None:
        if not body.in_flight:
            body.acknowledged_at = asyncio.get_running_loop().time()
            self._flowing[body.sequence] = body
        body.in_flight += size
        self._in_flight += size

    def _admit(self) -> None:
        """Admits the bodies whose bytes fit, in the order of their beginning."""
        for sequence in list(self._waiting):
            body, size, turn = self._waiting[sequence]
            if self._fits(body, size):
                del self._waiting[sequence]
                if not turn.done():
                    self._count(body, size)
                    turn.set_result(True)

    def _release_stalled(self) -> None:
        stalled_before = asyncio.get_running_loop().time() - _STALLED_S
        for body in tuple(self._flowing.values()):
            if body.acknowledged_at < stalled_before:
                body.release()
