"""Output of log lines: in small batches, bounded, and without waiting for the reader."""

from __future__ import annotations

import asyncio
import atexit
import select
from collections import Counter, deque
from collections.abc import Callable
from contextlib import suppress
from typing import TextIO

# Lines wait this long, in seconds, to be written together: each write is a system call.
FLUSH_DELAY_S = 0.02
# Pause, in seconds, before a reader that takes nothing is tried again.
_RETRY_S = 0.1
# A pipe that reports room takes at least this many bytes without waiting (PIPE_BUF of Linux).
_ATOMIC_BYTES = 4096
# Lines about requests are left out while this much waits for the reader, in bytes; the rest of
# the room is kept for failures and changes of state.
_ROUTINE_BYTES = 256 * 1024
_ALL_BYTES = 1024 * 1024
# Most lines of one event in a second. A busy agent serves about 200 requests in a second.
LINES_PER_S = 1000


class LineOutput:
    """Writes lines to a stream.

    A line that is urgent is written at once, as far as the reader takes it. What the reader has
    not taken waits in memory up to a bound; lines beyond it are counted by event and left out.

    Args:
        stream: Where lines go.
        clock: Returns the time in seconds.
        left_out_line: Returns the line that tells how many lines of which events were left out.
    """

    def __init__(
        self,
        stream: TextIO,
        clock: Callable[[], float],
        left_out_line: Callable[[dict[str, int]], bytes],
    ) -> None:
        self._stream = stream
        self._clock = clock
        self._left_out_line = left_out_line
        self._poll = _poll(stream)
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._second = 0
        self._counts: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()
        self._left_out_in_all = 0
        atexit.register(self.close)

    @property
    def left_out(self) -> int:
        """Number of lines that were not written since the start."""
        return self._left_out_in_all

    def permits(self, event: str) -> bool:
        """Tells whether a further line about a request fits the bounds, and counts it."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._counts.clear()
        self._counts[event] += 1
        if self._counts[event] > LINES_PER_S or self._pending_bytes > _ROUTINE_BYTES:
            self._leave_out(event)
            return False
        return True

    def add(self, event: str, line: bytes, urgent: bool) -> None:
        """Takes one line.

        Args:
            event: Name of its event.
            line: The line with its end.
            urgent: Whether it is written at once.
        """
        if self._pending_bytes + len(line) > _ALL_BYTES:
            self._leave_out(event)
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        if urgent or not self._flush_later(FLUSH_DELAY_S):
            self.flush()

    def flush(self) -> None:
        """Writes what the reader takes now; the rest is tried again later."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._stream.closed:
            self._pending.clear()
            self._pending_bytes = 0
            return
        if self._left_out and self._pending_bytes < _ROUTINE_BYTES:
            line = self._left_out_line(dict(self._left_out))
            self._left_out.clear()
            self._pending.append(line)
            self._pending_bytes += len(line)
        while self._pending:
            if self._poll is not None and not self._poll():
                self._flush_later(_RETRY_S)
                return
            self._write_some()

    def close(self) -> None:
        """Writes the last lines when the process ends."""
        self.flush()
        atexit.unregister(self.close)

    def _write_some(self) -> None:
        parts = [self._pending.popleft()]
        size = len(parts[0])
        if self._poll is not None and size > _ATOMIC_BYTES:
            # A long line is written in pieces, so that none of them waits for the reader.
            self._pending.appendleft(parts[0][_ATOMIC_BYTES:])
            parts, size = [parts[0][:_ATOMIC_BYTES]], _ATOMIC_BYTES
        while self._pending and size + len(self._pending[0]) <= _ATOMIC_BYTES:
            size += len(self._pending[0])
            parts.append(self._pending.popleft())
        self._pending_bytes -= size
        data = b"".join(parts)
        if self._poll is None:
            self._stream.write(data.decode())
            self._stream.flush()
        else:
            self._stream.buffer.write(data)
            self._stream.buffer.flush()

    def _flush_later(self, delay_s: float) -> bool:
        if self._timer is not None:
            return True
        with suppress(RuntimeError):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self.flush)
            return True
        return False

    def _leave_out(self, event: str) -> None:
        self._left_out[event] += 1
        self._left_out_in_all += 1


def _poll(stream: TextIO) -> Callable[[], bool] | None:
    """Returns the question whether a stream takes bytes, or None for one that always does."""
    try:
        number = stream.fileno()
    except (OSError, ValueError):
        return None
    waiting = select.poll()
    waiting.register(number, select.POLLOUT)
    return lambda: bool(waiting.poll(0))
