"""Conversion of data classes to and from JSON, maps and documents."""

from __future__ import annotations

import enum
import re
from dataclasses import is_dataclass
from typing import Any, TypeVar, get_type_hints

import msgspec

from ..kernel.errors import MalformedMessageError

T = TypeVar("T")

# Failures of msgspec to decode bytes; values that are nested deeply raise RecursionError.
DECODE_FAILURES = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
# Failures of msgspec to encode a value, such as text with lone surrogates.
ENCODE_FAILURES = (TypeError, UnicodeEncodeError, OverflowError, RecursionError)
# A string, which may lack its end, or a character that begins, separates or ends values.
_JSON_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+(?:"|\Z)|[][{},]', re.DOTALL)
# No known field is nested as deeply.
_MAX_KEPT_DEPTH = 32
# Depth of the arrays in the top-level object.
_ITEMS_DEPTH = 2
# Longest part of a bad value that an error message quotes.
_MAX_QUOTED_CHARACTERS = 80


def encode_json(value: object) -> bytes:
    """Returns a data class as JSON text in UTF-8."""
    return msgspec.json.encode(value)


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decodes JSON to a data class; unknown fields are ignored.

    Args:
        data: The JSON text.
        kind: Data class to return.

    Raises:
        MalformedMessageError: The text is not JSON, or a field is missing or out of range.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except DECODE_FAILURES as error:
        raise MalformedMessageError(f"bad {kind.__name__}: {error}") from error


def decode_list(data: bytes, kind: type[T]) -> T:
    """Decodes a JSON object with an array of `msgspec.Raw` items that other programs have written.

    Values that are nested too deeply to be read are null, and so is an item that is no JSON.

    Args:
        data: The JSON text.
        kind: Type to return.

    Raises:
        MalformedMessageError: The text is not JSON apart from its items, or a field is missing.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except DECODE_FAILURES:
        return decode_json(_without_unreadable_items(data), kind)


def _without_unreadable_items(data: bytes) -> bytes:
    """Replaces values that cannot be read by null, in the items of arrays of the top-level object.

    The scan does not recurse, so that it also reads values at which a decoder fails.
    """
    parts: list[bytes] = []
    depth = copied_to = 0
    # Number of parts before the current item, or None outside the arrays.
    item_start: int | None = None
    for token in _JSON_TOKEN.finditer(data):
        character = token[0][:1]
        opens, closes = character in b"[{", character in b"]}"
        depth += opens
        if opens and depth == _MAX_KEPT_DEPTH + 1:
            parts += (data[copied_to : token.start()], b"null")
        elif closes and depth == _MAX_KEPT_DEPTH + 1:
            copied_to = token.end()
        elif depth == _ITEMS_DEPTH and character != b'"':
            if item_start is not None:
                parts.append(data[copied_to : token.start()])
                item = b"".join(parts[item_start:])
                parts[item_start:] = [item if not item.strip() or _is_json(item) else b"null"]
                copied_to = token.start()
            if character == b"[" or (character == b"," and item_start is not None):
                parts.append(data[copied_to : token.end()])
                copied_to = token.end()
                item_start = len(parts)
            else:
                item_start = None
        depth -= closes
    return b"".join((*parts, data[copied_to:]))


def _is_json(text: bytes) -> bool:
    try:
        msgspec.json.decode(text, type=msgspec.Raw)
    except DECODE_FAILURES:
        return False
    return True


def to_map(value: object) -> dict[str, Any]:
    """Converts a data class to a map of built-in types, for use inside a message."""
    content: dict[str, Any] = msgspec.to_builtins(value)
    return content


def from_map(content: dict[str, Any], kind: type[T]) -> T:
    """Converts a map inside a message to a data class; unknown fields are ignored.

    Raises:
        MalformedMessageError: A field is missing or out of range.
    """
    try:
        return msgspec.convert(content, kind, str_keys=False)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(f"bad {kind.__name__}: {error}") from error


def from_document(content: dict[str, Any], kind: type[T], *, text_values: bool = False) -> T:
    """Converts a document written by an operator to a data class; unknown fields are refused.

    Args:
        content: Values by field name.
        kind: Data class to return.
        text_values: Whether all values are strings, as in an INI file.

    Raises:
        MalformedMessageError: A field is bad or unknown. The message names the field, its value
            and the allowed values.
    """
    _refuse_unknown_fields(content, kind, "")
    try:
        return msgspec.convert(content, kind, strict=not text_values)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(_describe_bad_value(content, kind, str(error))) from error


def from_json(data: bytes, kind: type[T]) -> T:
    """Decodes JSON text as `from_document` does.

    Raises:
        MalformedMessageError: The text is not a JSON object, or a field is bad or unknown.
    """
    try:
        content = msgspec.json.decode(data)
    except DECODE_FAILURES as error:
        raise MalformedMessageError(f"the text is no JSON: {error}") from error
    if not isinstance(content, dict):
        raise MalformedMessageError(f"a JSON object is expected, not {_quoted(content)}")
    return from_document(content, kind)


def _refuse_unknown_fields(content: dict[str, Any], kind: type[Any], path: str) -> None:
    types = get_type_hints(kind)
    for name, value in content.items():
        if name not in types:
            valid = ", ".join(types)
            raise MalformedMessageError(f"unknown field {path}{name}; allowed: {valid}")
        if is_dataclass(types[name]) and isinstance(value, dict):
            _refuse_unknown_fields(value, types[name], f"{path}{name}.")


def _describe_bad_value(content: dict[str, Any], kind: Any, text: str) -> str:
    """Rewrites msgspec's `Expected X - at `$.path`` as field, value and allowed values."""
    allowed, separator, path = text.partition(" - at `$.")
    if not separator:
        return text
    path = path.rstrip("`")
    value: Any = content
    for name in path.split("."):
        value = value.get(name) if isinstance(value, dict) else None
        kind = get_type_hints(kind).get(name) if is_dataclass(kind) else None
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        allowed = ", ".join(str(choice.value) for choice in kind)
    return f"{path} is {_quoted(value)}; allowed: {allowed.removeprefix('Expected ')}"


def _quoted(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= _MAX_QUOTED_CHARACTERS else f"{text[:_MAX_QUOTED_CHARACTERS]}..."
