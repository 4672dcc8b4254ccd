"""Reading and writing of entry files, and differences between entries."""

from __future__ import annotations

import configparser
from dataclasses import fields, is_dataclass
from pathlib import Path
from typing import Any

from ..kernel.errors import InvalidEntryFileError, MalformedMessageError
from ..messages.codec import from_document, from_json
from ..messages.status import EntryDocument

_SECTIONS = ("entry", "limits")


def read_entry(path: Path) -> EntryDocument:
    """Reads an entry file, as JSON if it begins with a brace, else as INI.

    The INI form has a section `entry` and, optionally, a section `limits`.

    Raises:
        InvalidEntryFileError: The file cannot be read, or a value is not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
        if text.lstrip().startswith("{"):
            return from_json(text.encode(), EntryDocument)
        return from_document(_ini_values(text), EntryDocument, text_values=True)
    except (OSError, UnicodeDecodeError, configparser.Error, MalformedMessageError) as error:
        raise InvalidEntryFileError(f"{path}: {error}") from error


def write_entry(document: EntryDocument) -> str:
    """Returns an entry as the text of an INI entry file."""
    lines = ["[entry]"]
    for name, value in flatten(document).items():
        if name == "limits.deadline_ms":
            lines += ["", "[limits]"]
        lines.append(f"{name.removeprefix('limits.')} = {value}")
    return "\n".join(lines) + "\n"


def flatten(document: Any, prefix: str = "") -> dict[str, str]:
    """Returns the values of a data class as text by dotted name; nested values come last."""
    values: dict[str, str] = {}
    nested: dict[str, str] = {}
    for field in fields(document):
        value = getattr(document, field.name)
        if is_dataclass(value):
            nested.update(flatten(value, f"{prefix}{field.name}."))
        else:
            values[prefix + field.name] = str(value)
    return values | nested


def differences(before: EntryDocument | None, after: EntryDocument) -> tuple[str, ...]:
    """Returns a line for each value that differs, or for each value if `before` is None."""
    old = flatten(before) if before is not None else {}
    return tuple(
        f"{name}: {old[name]} -> {value}" if name in old else f"{name}: {value}"
        for name, value in flatten(after).items()
        if old.get(name) != value
    )


def _ini_values(text: str) -> dict[str, Any]:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    for section in parser.sections():
        if section not in _SECTIONS:
            raise MalformedMessageError(
                f"unknown section [{section}]; allowed: {', '.join(_SECTIONS)}"
            )
    if not parser.has_section("entry"):
        raise MalformedMessageError("the section [entry] is missing")
    values: dict[str, Any] = dict(parser["entry"])
    if parser.has_section("limits"):
        values["limits"] = dict(parser["limits"])
    return values
