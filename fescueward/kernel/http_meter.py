"""Counts what one HTTP connection sends that is no body, and divides it into parts."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

_HEAD_END = b"\r\n\r\n"
# Bytes that are parsed before the limits are checked again.
_PART_BYTES = 16_384
# Estimated memory of a line in the parser, which has objects for its name and its value.
_LINE_BYTES = 256


@dataclass(frozen=True, slots=True)
class InboundLimits:
    """Limits on one connection, and on their number.

    Attributes:
        header_bytes: Largest header block, and largest request line, in bytes.
        empty_bytes: Bytes of empty lines before a request.
        framing_bytes: Framing of a chunked body with its trailers, in bytes, beyond a share of
            the body.
        header_timeout_s: Time from the first byte of a head to its last, in seconds.
        idle_timeout_s: Time after which an idle connection is closed, in seconds.
        stall_timeout_s: Time after which a connection is reset whose caller reads nothing of its
            response, in seconds.
        connections: Open connections of one port.
    """

    header_bytes: int = 16_384
    empty_bytes: int = 64
    framing_bytes: int = 32_768
    header_timeout_s: float = 30.0
    idle_timeout_s: float = 3600.0
    stall_timeout_s: float = 30.0
    connections: int = 2_700


class Excess(enum.Enum):
    """What a connection has sent too much of."""

    EMPTY_LINES = "too many empty lines before a request"
    HEAD = "the head is too large"
    FRAMING = "the framing of the body is too large for it"


# A chunk of one byte has five bytes of framing.
_FRAMING_PER_BODY_BYTE = 8


class _TrailerCount:
    """Counts the lines of the trailers behind a chunked body.

    A size that cannot be read is taken for the end of the body; the parser refuses it.
    """

    def __init__(self) -> None:
        self._in_trailers = False
        # Bytes of the present chunk, with the line break behind it, that have not been received.
        self._chunk_left = 0
        self._size_line = b""

    def lines(self, part: bytes) -> int:
        """Returns the number of trailer lines that end in the next part of the body."""
        start = 0
        while start < len(part) and not self._in_trailers:
            if self._chunk_left:
                skipped = min(self._chunk_left, len(part) - start)
                self._chunk_left -= skipped
                start += skipped
                continue
            line_end = part.find(b"\n", start) + 1
            self._size_line += part[start : line_end or len(part)]
            if not line_end:
                break
            start = line_end
            size = self._chunk_size()
            self._in_trailers = not size
            self._chunk_left = size + len(b"\r\n") if size else 0
        return part.count(b"\n", start) if self._in_trailers else 0

    def _chunk_size(self) -> int:
        digits, self._size_line = self._size_line.partition(b";")[0].strip(), b""
        try:
            return max(int(digits, 16), 0)
        except ValueError:
            return 0


class InboundMeter:
    """Divides the bytes of a connection into parts and counts those that are no body.

    Each part ends with a head at the latest, because aiohttp discards the requests that it has
    parsed from the same data as malformed bytes. The counts are of the request whose head or body
    is being received.
    """

    def __init__(self) -> None:
        self._between = True
        self._empty_bytes = 0
        self._line_bytes = 0
        self._field_bytes = 0
        # Lines of the head, or of the trailers, that is being received.
        self._lines = 0
        self._line_open = True
        # Last bytes that were parsed, if they may be a part of the end of a head.
        self._end_begun = b""
        # Bytes that are left of a body with a length.
        self._body_left = 0
        # A chunked body, whose end only the parser knows, with the bytes that were sent for it.
        self._chunked: Any = None
        self._chunked_bytes = 0
        self._trailers = _TrailerCount()

    @property
    def head_bytes(self) -> int:
        """Bytes of the head that is being received."""
        return self._line_bytes + self._field_bytes

    @property
    def held_bytes(self) -> int:
        """Estimated memory of the head, or of the trailers, that is being received."""
        return self.head_bytes + _LINE_BYTES * self._lines

    def empty_bytes(self, data: bytes, start: int) -> int:
        """Returns the size of the empty lines before a request, which need no parsing."""
        if not self._between or data[start] not in b"\r\n":
            return 0
        end = start
        while end < len(data) and data[end] in b"\r\n":
            end += 1
            if end - start > _PART_BYTES:
                break
        self._empty_bytes += end - start
        return end - start

    def part_end(self, data: bytes, start: int) -> int:
        """Returns the end of the part that is parsed next."""
        if self._body_left:
            return min(start + self._body_left, start + _PART_BYTES, len(data))
        if self._end_begun:
            joined = self._end_begun + data[start : start + len(_HEAD_END) - 1]
            if (boundary := joined.find(_HEAD_END)) >= 0:
                return start + boundary + len(_HEAD_END) - len(self._end_begun)
        boundary = data.find(_HEAD_END, start, start + _PART_BYTES)
        if boundary >= 0:
            return boundary + len(_HEAD_END)
        if len(data) - start <= _PART_BYTES:
            return len(data)
        # The end of a head is not cut in two.
        return start + _PART_BYTES - len(_HEAD_END) + 1

    def count(self, part: bytes) -> None:
        """Counts a part before it is parsed."""
        if self._body_left:
            self._body_left -= len(part)
            self._between = not self._body_left
            return
        is_end = part.endswith(_HEAD_END)
        self._end_begun = b"" if is_end else (self._end_begun + part)[1 - len(_HEAD_END) :]
        if self._chunked is not None:
            self._chunked_bytes += len(part)
            self._lines += self._trailers.lines(part)
        else:
            self._between = False
            self._lines += part.count(b"\n")
            if self._line_open:
                line_end = part.find(b"\n") + 1
                self._line_open = not line_end
                self._line_bytes += line_end or len(part)
                self._field_bytes += len(part) - (line_end or len(part))
            else:
                self._field_bytes += len(part)

    def message_parsed(self, message: Any, payload: Any) -> None:
        """Begins the body of a request whose head is complete."""
        self._empty_bytes = self._line_bytes = self._field_bytes = self._lines = 0
        self._line_open, self._end_begun = True, b""
        self._chunked, self._chunked_bytes = None, 0
        self._between = payload.is_eof()
        if self._between:
            return
        length = message.headers.get("Content-Length", "")
        if length.isdecimal() and not message.chunked:
            self._body_left = int(length)
        else:
            self._chunked = payload
            self._trailers = _TrailerCount()

    def head_excess(self, limits: InboundLimits) -> Excess | None:
        """Returns the limit that a part exceeds before it is parsed, or None."""
        if self._empty_bytes > limits.empty_bytes:
            return Excess.EMPTY_LINES
        # The empty line ends the head, and a caller need not count it.
        max_bytes = limits.header_bytes + len(_HEAD_END)
        if self._line_bytes > max_bytes or self._field_bytes > max_bytes:
            return Excess.HEAD
        return None

    def body_excess(self, limits: InboundLimits) -> Excess | None:
        """Returns the limit that a chunked body exceeds after a part was parsed, or None."""
        if self._chunked is None:
            return None
        if self._chunked.is_eof():
            # A head may have begun in the same part.
            self._chunked, self._chunked_bytes, self._lines = None, 0, 0
            return None
        body_bytes = self._chunked.total_bytes
        allowed_bytes = limits.framing_bytes + _FRAMING_PER_BODY_BYTE * body_bytes
        return Excess.FRAMING if self._chunked_bytes - body_bytes > allowed_bytes else None
