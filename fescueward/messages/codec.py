"""Encoding of messages as JSON, and the maps inside messages."""

from __future__ import annotations

import enum
from dataclasses import is_dataclass
from typing import Any, TypeVar, get_type_hints

import msgspec

from ..kernel.errors import MalformedMessageError

T = TypeVar("T")

# Longest part of a bad value that an error repeats.
_SHOWN_CHARACTERS = 80


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
