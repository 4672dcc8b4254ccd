"""Frames of a peer stream: msgpack, with the parts other than bodies compressed.

Header names, member ids and field names repeat in nearly every message, and a group object hardly
differs from its last version, so each direction of a stream is one deflate stream: what was sent
before is the dictionary of what follows. Bodies go as they are. A message that is larger than the
window of that stream is compressed by itself, once for all peers, and takes the place of a body.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import msgpack
import msgspec

from ..kernel.errors import MalformedMessageError
from .peer import PEER_MESSAGES, StreamData, StreamHead, StreamOpen

MAX_FRAME_BYTES = 1024 * 1024
# Window of the deflate streams, as a power of two in bytes, and their memory level: with 16 KB a
# stream takes about 100 KB, so that 74 peers fit an agent of 200 MB.
_WINDOW_BITS = 14
_MEMORY_LEVEL = 5
# Larger messages find nothing of an earlier one in the window, and go to a whole fleet as a rule.
_SHARED_BYTES = 1 << _WINDOW_BITS
# zlib's default. Lower levels take the same time on such messages and find half of the matches.
_LEVEL = 6
# End of a flushed deflate block, which needs not be sent (RFC 7692, 7.2.1).
_FLUSH_END = b"\x00\x00\xff\xff"
# Messages that carry a part of a body, which is not compressed.
_WITH_DATA = (StreamOpen, StreamHead, StreamData)

# msgspec writes msgpack from data classes in one step, which takes a quarter of the time of
# msgpack.packb on a converted copy.
_ENCODER = msgspec.msgpack.Encoder()
_DECODERS = tuple(msgspec.msgpack.Decoder(kind) for kind in PEER_MESSAGES)
_KINDS: dict[type[Any], int] = {kind: number for number, kind in enumerate(PEER_MESSAGES)}


class FrameEncoder:
    """Encodes the messages of one direction of a stream, in the order in which they are sent."""

    def __init__(self) -> None:
        self._deflate = zlib.compressobj(_LEVEL, zlib.DEFLATED, -_WINDOW_BITS, _MEMORY_LEVEL)

    def encode(self, message: object) -> bytes:
        """Returns a message as a frame `[kind, compressed map, data]`.

        A frame that is returned has to be sent, because later frames refer to it.

        Raises:
            MalformedMessageError: The message is no peer message, or the frame is too large.
        """
        kind = type(message)
        number = _KINDS.get(kind)
        if number is None:
            raise MalformedMessageError(f"{kind.__name__} is no peer message")
        data = b""
        if isinstance(message, _WITH_DATA) and message.data:
            data = message.data
            message = replace(message, data=b"")
        try:
            content = _last.encoded(message)
        except (TypeError, UnicodeEncodeError) as error:
            raise MalformedMessageError(f"bad {kind.__name__}: {error}") from error
        size = len(content) + len(data)
        if size > MAX_FRAME_BYTES:
            raise MalformedMessageError(
                f"{kind.__name__} takes {size} bytes; at most {MAX_FRAME_BYTES} are allowed"
            )
        if size > _SHARED_BYTES and not isinstance(message, _WITH_DATA):
            return _last.compressed_frame(number)
        deflated = self._deflate.compress(content) + self._deflate.flush(zlib.Z_SYNC_FLUSH)
        return _ENCODER.encode((number, deflated.removesuffix(_FLUSH_END), data))


class FrameDecoder:
    """Turns the bytes of one direction of a stream into messages."""

    def __init__(self) -> None:
        self._inflate = zlib.decompressobj(-_WINDOW_BITS)
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=2 * MAX_FRAME_BYTES,
            max_str_len=MAX_FRAME_BYTES,
            max_bin_len=MAX_FRAME_BYTES,
            max_array_len=100_000,
            max_map_len=100_000,
            strict_map_key=False,
        )

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yields the messages that are complete after these bytes.

        Raises:
            MalformedMessageError: The bytes are no frame, or a field is missing or out of range.
        """
        try:
            self._unpacker.feed(data)
            for frame in self._unpacker:
                yield self._decode(frame)
        except (msgpack.UnpackException, msgpack.BufferFull, ValueError) as error:
            raise MalformedMessageError(f"bad frame: {type(error).__name__}: {error}") from error

    def _decode(self, frame: Any) -> Any:
        if (
            not isinstance(frame, list)
            or [type(part) for part in frame] != [int, bytes, bytes]
            or not 0 <= frame[0] < len(PEER_MESSAGES)
        ):
            raise MalformedMessageError("bad frame: not [kind, compressed map, data]")
        number, deflated, data = frame
        kind = PEER_MESSAGES[number]
        carries_data = issubclass(kind, _WITH_DATA)
        if data and deflated and not carries_data:
            raise MalformedMessageError(f"bad {kind.__name__}: it carries no data")
        if data and not carries_data:
            content = _inflated(zlib.decompressobj(), data)
        else:
            content = _inflated(self._inflate, deflated + _FLUSH_END)
        try:
            message = _DECODERS[number].decode(content)
        except msgspec.DecodeError as error:
            raise MalformedMessageError(f"bad {kind.__name__}: {error}") from error
        return replace(message, data=data) if data and carries_data else message


def _inflated(inflate: Any, deflated: bytes) -> bytes:
    try:
        content: bytes = inflate.decompress(deflated, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise MalformedMessageError(f"bad frame: {error}") from error
    if inflate.unconsumed_tail:
        raise MalformedMessageError("bad frame: too large when decompressed")
    return content


class _LastEncoded:
    """The newest encoded message: some are sent to all members of a fleet in a row."""

    def __init__(self) -> None:
        self._message: object = None
        self._content = b""
        self._frame = b""

    def encoded(self, message: object) -> bytes:
        """Returns a message as msgpack."""
        if self._message is not message:
            self._content = _ENCODER.encode(message)
            self._frame = b""
            self._message = message
        return self._content

    def compressed_frame(self, number: int) -> bytes:
        """Returns the frame of the newest message, compressed by itself."""
        if not self._frame:
            self._frame = _ENCODER.encode((number, b"", zlib.compress(self._content, _LEVEL)))
        return self._frame


_last = _LastEncoded()
