"""Output of log lines in small batches, with bounded memory and without blocking on the reader."""

from __future__ import annotations

import asyncio
import atexit
import select
from collections import Counter, deque
from collections.abc import Callable
from contextlib import suppress
from typing import TextIO

# Lines are buffered for this time and written together, because each write wakes the process up
# and is a system call. A process that is killed loses the lines of this time.
FLUSH_DELAY_S = 0.1
# Pause before the next write to a stream that accepts no data.
_RETRY_DELAY_S = 0.1
# A pipe that is reported as writable accepts this many bytes without blocking (PIPE_BUF of Linux).
_ATOMIC_WRITE_BYTES = 4096
# Lines of frequent events are dropped while more than this is pending; the rest of the buffer is
# reserved for failures and changes of state.
_MAX_PENDING_FREQUENT_BYTES = 256 * 1024
_MAX_PENDING_BYTES = 1024 * 1024
# Limit on the lines of one frequent event. A busy agent serves about 200 requests per second.
MAX_LINES_PER_S = 1000


class LineOutput:
    """Writes lines to a stream.

    Urgent lines are written at once if the stream accepts them. Lines that the stream does not
    accept are buffered in memory up to a limit; further lines are dropped and counted by event.

    Args:
        stream: Stream to write to.
        clock: Returns the time in seconds.
        format_dropped: Returns a line that reports the number of dropped lines by event name.
    """

    def __init__(
        self,
        stream: TextIO,
        clock: Callable[[], float],
        format_dropped: Callable[[dict[str, int]], bytes],
    ) -> None:
        self._stream = stream
        self._clock = clock
        self._format_dropped = format_dropped
        self._is_writable = _writable_check(stream)
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._second = 0
        self._lines_in_second: Counter[str] = Counter()
        self._unreported_drops: Counter[str] = Counter()
        self._dropped_total = 0
        atexit.register(self.close)

    @property
    def dropped(self) -> int:
        """Number of lines that have been dropped since the start."""
        return self._dropped_total

    def permits(self, event: str) -> bool:
        """Returns whether another line of a frequent event is within the limits; counts it."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._lines_in_second.clear()
        self._lines_in_second[event] += 1
        if (
            self._lines_in_second[event] > MAX_LINES_PER_S
            or self._pending_bytes > _MAX_PENDING_FREQUENT_BYTES
        ):
            self._drop(event)
            return False
        return True

    def add(self, event: str, line: bytes, urgent: bool) -> None:
        """Buffers one line, or drops it if the buffer is full.

        Args:
            event: Name of the line's event, empty for a line of a library.
            line: The line with its line break.
            urgent: Whether the buffer is flushed at once.
        """
        if self._pending_bytes + len(line) > _MAX_PENDING_BYTES:
            self._drop(event)
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        if urgent or not self._flush_later(FLUSH_DELAY_S):
            self.flush()

    def flush(self) -> None:
        """Writes the lines that the stream accepts now and schedules a retry for the others."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._stream.closed:
            self._pending.clear()
            self._pending_bytes = 0
            return
        if self._unreported_drops and self._pending_bytes < _MAX_PENDING_FREQUENT_BYTES:
            line = self._format_dropped(dict(self._unreported_drops))
            self._unreported_drops.clear()
            self._pending.append(line)
            self._pending_bytes += len(line)
        while self._pending:
            if self._is_writable is not None and not self._is_writable():
                self._flush_later(_RETRY_DELAY_S)
                return
            self._write_batch()

    def close(self) -> None:
        """Flushes the buffer; called when the process exits."""
        self.flush()
        atexit.unregister(self.close)

    def _write_batch(self) -> None:
        parts = [self._pending.popleft()]
        size = len(parts[0])
        if self._is_writable is not None and size > _ATOMIC_WRITE_BYTES:
            # A long line is written in pieces, so that no write blocks on the reader.
            self._pending.appendleft(parts[0][_ATOMIC_WRITE_BYTES:])
            parts, size = [parts[0][:_ATOMIC_WRITE_BYTES]], _ATOMIC_WRITE_BYTES
        while self._pending and size + len(self._pending[0]) <= _ATOMIC_WRITE_BYTES:
            size += len(self._pending[0])
            parts.append(self._pending.popleft())
        self._pending_bytes -= size
        data = b"".join(parts)
        if self._is_writable is None:
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

    def _drop(self, event: str) -> None:
        self._unreported_drops[event] += 1
        self._dropped_total += 1


def _writable_check(stream: TextIO) -> Callable[[], bool] | None:
    """Returns a function that checks if a stream accepts bytes, or None if it always does."""
    try:
        descriptor = stream.fileno()
    except (OSError, ValueError):
        return None
    poller = select.poll()
    poller.register(descriptor, select.POLLOUT)
    return lambda: bool(poller.poll(0))
