"""Encoding of messages: JSON for the platform, upstreams and operators, msgpack between agents."""

from __future__ import annotations

import enum
import zlib
from collections.abc import Iterator
from dataclasses import is_dataclass
from typing import Any, TypeVar, get_type_hints

import msgpack
import msgspec

from ..kernel.errors import MalformedMessageError
from .peer import PEER_MESSAGES, Publish

T = TypeVar("T")

MAX_FRAME_BYTES = 1024 * 1024
# Published objects above this size are compressed.
_COMPRESSED_FROM_BYTES = 1024
# Longest part of a bad value that an error repeats.
_SHOWN_CHARACTERS = 80

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


def to_map(value: object) -> dict[str, Any]:
    """Returns a data class as the map that a message carries."""
    found: dict[str, Any] = msgspec.to_builtins(value)
    return found


def from_map(content: dict[str, Any], kind: type[T]) -> T:
    """Builds and checks a data class from the map of a message; unknown fields are ignored.

    Raises:
        MalformedMessageError: A field is missing or out of range.
    """
    try:
        return msgspec.convert(content, kind, str_keys=False)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(f"bad {kind.__name__}: {error}") from error


def from_document(content: dict[str, Any], kind: type[T], *, text_values: bool = False) -> T:
    """Builds and checks a data class from what a person wrote.

    Args:
        content: The values by name.
        kind: Data class that is expected.
        text_values: Whether all values are text, as in an INI file.

    Raises:
        MalformedMessageError: The text names the bad field, its value and what is allowed.
    """
    _refuse_unknown_fields(content, kind, "")
    try:
        return msgspec.convert(content, kind, strict=not text_values)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(_describe_bad_value(content, kind, str(error))) from error


def from_json(data: bytes, kind: type[T]) -> T:
    """Decodes JSON text as `from_document` does.

    Raises:
        MalformedMessageError: The text is no JSON object, or a field is bad or unknown.
    """
    try:
        content = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(f"the text is no JSON: {error}") from error
    if not isinstance(content, dict):
        raise MalformedMessageError(f"a JSON object is expected, not {_shown(content)}")
    return from_document(content, kind)


def _refuse_unknown_fields(content: dict[str, Any], kind: type[Any], place: str) -> None:
    types = get_type_hints(kind)
    for name, value in content.items():
        if name not in types:
            valid = ", ".join(types)
            raise MalformedMessageError(f"unknown field {place}{name}; allowed: {valid}")
        if is_dataclass(types[name]) and isinstance(value, dict):
            _refuse_unknown_fields(value, types[name], f"{place}{name}.")


def _describe_bad_value(content: dict[str, Any], kind: Any, text: str) -> str:
    """Turns msgspec's `Expected X - at `$.path`` into field, value and what is allowed."""
    allowed, found, path = text.partition(" - at `$.")
    if not found:
        return text
    path = path.rstrip("`")
    value: Any = content
    for name in path.split("."):
        value = value.get(name) if isinstance(value, dict) else None
        kind = get_type_hints(kind).get(name) if is_dataclass(kind) else None
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        allowed = ", ".join(str(choice.value) for choice in kind)
    return f"{path} is {_shown(value)}; allowed: {allowed.removeprefix('Expected ')}"


def _shown(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= _SHOWN_CHARACTERS else f"{text[:_SHOWN_CHARACTERS]}..."


def encode_frame(message: object) -> bytes:
    """Encodes a peer message as one msgpack frame `[kind, map]`.

    Raises:
        MalformedMessageError: The message is no peer message or the frame is too large.
    """
    kind = type(message)
    if kind not in _KINDS:
        raise MalformedMessageError(f"{kind.__name__} is no peer message")
    if kind is Publish and _published.message is message:
        return _published.frame
    try:
        frame = _ENCODER.encode((_KINDS[kind], message))
        if kind is Publish:
            if len(frame) > _COMPRESSED_FROM_BYTES:
                frame = _ENCODER.encode((_KINDS[kind], _compressed(message)))
            _published.message, _published.frame = message, frame
    except (TypeError, UnicodeEncodeError) as error:
        raise MalformedMessageError(f"bad {kind.__name__}: {error}") from error
    if len(frame) > MAX_FRAME_BYTES:
        raise MalformedMessageError(
            f"{kind.__name__} takes {len(frame)} bytes; at most {MAX_FRAME_BYTES} are allowed"
        )
    return frame


class _Published:
    """The newest `Publish` frame, which is sent to all members of a group or fleet."""

    message: object = None
    frame: bytes = b""


_published = _Published()


def _compressed(message: object) -> bytes:
    # Member ids and field names repeat in each range, so a group shrinks to about a tenth.
    return zlib.compress(_ENCODER.encode(message), 1)


def _decompressed(content: bytes) -> Any:
    try:
        inflate = zlib.decompressobj()
        data = inflate.decompress(content, MAX_FRAME_BYTES)
        if inflate.unconsumed_tail:
            raise MalformedMessageError("bad frame: too large when decompressed")
        return msgspec.msgpack.decode(data)
    except (zlib.error, msgspec.DecodeError) as error:
        raise MalformedMessageError(f"bad frame: {error}") from error


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
    if isinstance(content, bytes):
        content = _decompressed(content)
    try:
        return msgspec.convert(content, kind, builtin_types=(bytes,), str_keys=False)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(f"bad {kind.__name__}: {error}") from error
