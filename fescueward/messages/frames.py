"""Frames of a peer stream: msgpack, with everything except bodies compressed.

Header names, member ids and field names repeat in nearly every message, and a group object hardly
differs from its last version, so each direction of a stream is one deflate stream: earlier
messages are the dictionary for later ones. Bodies are sent uncompressed. A message larger than the
window of the deflate stream is compressed separately, once for all peers, and sent in the `data`
part of the frame. A longer one is a `LongMessage`, which takes several frames.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import msgpack
import msgspec

from ..kernel.errors import MalformedMessageError
from .codec import DECODE_FAILURES, ENCODE_FAILURES
from .peer import PEER_MESSAGES, MessagePart, StreamData, StreamHead, StreamOpen

MAX_FRAME_BYTES = 1024 * 1024
# Limit on a message in parts. It may have a whole configuration and all groups, each of which can
# be as large as an object of the platform.
MAX_MESSAGE_BYTES = 16 * MAX_FRAME_BYTES
# A longer message is sent in parts to peers that take them. It occupies a link of 5 Mbit/s for
# 0.05 s.
_MAX_SHORT_BYTES = 32_768
_FRAME_PARTS = 3
# Window of the deflate streams (2**14 bytes) and their zlib memory level. With them a stream takes
# about 100 KB, so that those of 200 peers take a tenth of the memory of an agent with 200 MB.
_WINDOW_BITS = 14
_MEMORY_LEVEL = 3
# Larger messages fill the window, so they match nothing of an earlier one, and most of them are
# sent to a whole fleet. They are compressed separately.
_MAX_STREAMED_BYTES = 1 << _WINDOW_BITS
# zlib's default. Lower levels take the same time on such messages and find half of the matches.
_COMPRESSION_LEVEL = 6
# Last bytes of each flushed deflate block, which need not be sent (RFC 7692, 7.2.1).
_FLUSH_TRAILER = b"\x00\x00\xff\xff"
# Messages that carry a part of a body, which is not compressed.
_BODY_MESSAGES = (StreamOpen, StreamHead, StreamData, MessagePart)

# msgspec encodes data classes as msgpack in one step, in a quarter of the time of msgpack.packb
# on a converted copy.
_ENCODER = msgspec.msgpack.Encoder()
_DECODERS = tuple(msgspec.msgpack.Decoder(kind) for kind in PEER_MESSAGES)
_KINDS: dict[type[Any], int] = {kind: number for number, kind in enumerate(PEER_MESSAGES)}


@dataclass(frozen=True, slots=True)
class LongMessage:
    """A message that takes several frames.

    Attributes:
        kind: Index of the type of the message in `PEER_MESSAGES`.
        content: The message in msgpack, compressed.
    """

    kind: int
    content: bytes


def long_message(message: object, always: bool = False) -> LongMessage | None:
    """Returns a message to be sent in parts, or None if one frame is better for it.

    Args:
        message: The message.
        always: Whether a short message is returned too.

    Raises:
        MalformedMessageError: The object is not a peer message, or is too large.
    """
    if isinstance(message, _BODY_MESSAGES):
        return None
    number, size = _kind_number(message), len(_encode_content(message))
    if size > MAX_MESSAGE_BYTES:
        raise MalformedMessageError(
            f"{type(message).__name__} has {size} bytes; at most {MAX_MESSAGE_BYTES} are allowed"
        )
    if not always and size <= _MAX_SHORT_BYTES:
        return None
    content = _last_encoded.compressed()
    if not always and size <= MAX_FRAME_BYTES and len(content) <= _MAX_SHORT_BYTES:
        return None
    return LongMessage(number, content)


def is_sendable(message: object) -> bool:
    """Returns whether a message can be encoded and is not too large."""
    try:
        return len(_encode_content(message)) <= MAX_MESSAGE_BYTES
    except MalformedMessageError:
        return False


def decode_long(message: LongMessage) -> Any:
    """Decodes a message that was received in parts.

    Raises:
        MalformedMessageError: The bytes are not a message of this type.
    """
    if message.kind >= len(PEER_MESSAGES) or PEER_MESSAGES[message.kind] in _BODY_MESSAGES:
        raise MalformedMessageError(f"a message of type {message.kind} was sent in parts")
    content = _inflate(zlib.decompressobj(), message.content, MAX_MESSAGE_BYTES)
    return _decode_content(message.kind, content)


class FrameEncoder:
    """Encodes the messages of one direction of a stream, in sending order."""

    def __init__(self) -> None:
        self._compressor = zlib.compressobj(
            _COMPRESSION_LEVEL, zlib.DEFLATED, -_WINDOW_BITS, _MEMORY_LEVEL
        )

    def encode(self, message: object) -> bytes:
        """Encodes a message as a frame `[kind, compressed map, data]`.

        The caller must send the frame, because later frames refer to its content.

        Raises:
            MalformedMessageError: The object is not a peer message, or the frame is too large.
        """
        number = _kind_number(message)
        data = b""
        if isinstance(message, _BODY_MESSAGES) and message.data:
            data = message.data
            message = replace(message, data=b"")
        content = _encode_content(message)
        size = len(content) + len(data)
        if size > MAX_FRAME_BYTES:
            raise MalformedMessageError(
                f"{type(message).__name__} has {size} bytes; at most {MAX_FRAME_BYTES} are allowed"
            )
        if size > _MAX_STREAMED_BYTES and not isinstance(message, _BODY_MESSAGES):
            return _ENCODER.encode((number, b"", _last_encoded.compressed()))
        deflated = self._compressor.compress(content) + self._compressor.flush(zlib.Z_SYNC_FLUSH)
        return _ENCODER.encode((number, deflated.removesuffix(_FLUSH_TRAILER), data))


class FrameDecoder:
    """Decodes the messages of one direction of a stream."""

    def __init__(self) -> None:
        self._decompressor = zlib.decompressobj(-_WINDOW_BITS)
        # Received bytes of a frame that is not complete.
        self._incomplete = b""

    def feed(self, data: bytes) -> Iterator[Any]:
        """Adds received bytes and yields the messages that they complete.

        Raises:
            MalformedMessageError: The bytes are not a frame, or a field is missing or out of
                range.
        """
        # An unpacker takes 45 KB, so it does not live as long as the stream.
        unpacker = msgpack.Unpacker(
            max_buffer_size=2 * MAX_FRAME_BYTES,
            max_str_len=MAX_FRAME_BYTES,
            max_bin_len=MAX_FRAME_BYTES,
            # A frame is an array of three parts; maps are only inside a compressed part.
            max_array_len=_FRAME_PARTS,
            max_map_len=0,
        )
        data = self._incomplete + data
        complete_bytes = 0
        try:
            unpacker.feed(data)
            for frame in unpacker:
                complete_bytes = unpacker.tell()
                yield self._decode(frame)
        except (msgpack.UnpackException, msgpack.BufferFull, ValueError) as error:
            raise MalformedMessageError(f"bad frame: {type(error).__name__}: {error}") from error
        self._incomplete = data[complete_bytes:]

    def _decode(self, frame: Any) -> Any:
        if (
            not isinstance(frame, list)
            or [type(part) for part in frame] != [int, bytes, bytes]
            or not 0 <= frame[0] < len(PEER_MESSAGES)
        ):
            raise MalformedMessageError("bad frame: not [kind, compressed map, data]")
        number, deflated, data = frame
        kind = PEER_MESSAGES[number]
        carries_data = issubclass(kind, _BODY_MESSAGES)
        if data and deflated and not carries_data:
            raise MalformedMessageError(f"bad {kind.__name__}: this message type carries no data")
        if data and not carries_data:
            content = _inflate(zlib.decompressobj(), data)
        else:
            content = _inflate(self._decompressor, deflated + _FLUSH_TRAILER)
        message = _decode_content(number, content)
        return replace(message, data=data) if data and carries_data else message


def _kind_number(message: object) -> int:
    kind = type(message)
    number = _KINDS.get(kind)
    if number is None:
        raise MalformedMessageError(f"{kind.__name__} is not a peer message")
    return number


def _encode_content(message: object) -> bytes:
    try:
        return _last_encoded.encode(message)
    except ENCODE_FAILURES as error:
        raise MalformedMessageError(f"bad {type(message).__name__}: {error}") from error


def _decode_content(number: int, content: bytes) -> Any:
    try:
        return _DECODERS[number].decode(content)
    except DECODE_FAILURES as error:
        raise MalformedMessageError(f"bad {PEER_MESSAGES[number].__name__}: {error}") from error


def _inflate(decompressor: Any, deflated: bytes, max_bytes: int = MAX_FRAME_BYTES) -> bytes:
    try:
        content: bytes = decompressor.decompress(deflated, max_bytes)
    except zlib.error as error:
        raise MalformedMessageError(f"bad frame: {error}") from error
    if decompressor.unconsumed_tail:
        raise MalformedMessageError("bad frame: too large when decompressed")
    return content


class _LastEncoded:
    """Cache of the last encoded message: some are sent to all members of a fleet in a row."""

    def __init__(self) -> None:
        self._message: object = None
        self._content = b""
        self._compressed = b""

    def encode(self, message: object) -> bytes:
        """Encodes a message as msgpack, or returns the cached bytes if it is the last one."""
        if self._message is not message:
            self._content = _ENCODER.encode(message)
            self._compressed = b""
            self._message = message
        return self._content

    def compressed(self) -> bytes:
        """Returns the last message, compressed separately from any stream."""
        if not self._compressed:
            self._compressed = zlib.compress(self._content, _COMPRESSION_LEVEL)
        return self._compressed


_last_encoded = _LastEncoded()
