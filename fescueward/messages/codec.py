"""Encoding of messages: JSON for the platform, upstreams and operators, msgpack between agents."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, TypeVar

import msgpack
import msgspec

from ..kernel.errors import MalformedMessageError
from .peer import PEER_MESSAGES

T = TypeVar("T")

MAX_FRAME_BYTES = 1024 * 1024

# msgspec writes msgpack from data classes in one step, which takes a quarter of the time of
# msgpack.packb on a converted copy.
_ENCODER = msgspec.msgpack.Encoder()

_KINDS: dict[type[Any], int] = {kind: number for number, kind in enumerate(PEER_MESSAGES)}


def encode_json(value: object) -> bytes:
    """Encodes a data class as JSON."""
    return msgspec.json.encode(value)


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decodes and checks JSON.

    Args:
        data: The JSON text.
        kind: Data class that is expected.

    Raises:
        MalformedMessageError: The text is no JSON, or a field is missing or out of range.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedMessageError(f"bad {kind.__name__}: {error}") from error


def encode_frame(message: object) -> bytes:
    """Encodes a peer message as one msgpack frame `[kind, map]`.

    Raises:
        MalformedMessageError: The message is no peer message or the frame is too large.
    """
    kind = type(message)
    if kind not in _KINDS:
        raise MalformedMessageError(f"{kind.__name__} is no peer message")
    try:
        frame = _ENCODER.encode((_KINDS[kind], message))
    except (TypeError, UnicodeEncodeError) as error:
        raise MalformedMessageError(f"bad {kind.__name__}: {error}") from error
    if len(frame) > MAX_FRAME_BYTES:
        raise MalformedMessageError(
            f"{kind.__name__} takes {len(frame)} bytes; at most {MAX_FRAME_BYTES} are allowed"
        )
    return frame


class FrameDecoder:
    """Turns the bytes of a peer stream into messages."""

    def __init__(self) -> None:
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
                yield _decode_frame(frame)
        except (msgpack.UnpackException, msgpack.BufferFull, ValueError) as error:
            raise MalformedMessageError(f"bad frame: {type(error).__name__}: {error}") from error


def _decode_frame(frame: Any) -> Any:
    if not isinstance(frame, list) or len(frame) != 2 or not isinstance(frame[0], int):
        raise MalformedMessageError("bad frame: not [kind, map]")
    number, content = frame
    if not 0 <= number < len(PEER_MESSAGES):
        raise MalformedMessageError(
            f"bad frame: kind {number}; valid are 0 to {len(PEER_MESSAGES) - 1}"
        )
    kind = PEER_MESSAGES[number]
    try:
        return msgspec.convert(content, kind, builtin_types=(bytes,), str_keys=False)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(f"bad {kind.__name__}: {error}") from error
