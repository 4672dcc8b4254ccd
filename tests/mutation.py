"""Strategies that damage valid input, for tests of decoders."""

from __future__ import annotations

import copy
from typing import Any

from hypothesis import strategies

# Values of other types, and numbers outside any range that a field declares.
_SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.sampled_from((-1, 0, 1, 65_536, 10**6, 10**12, 2**63, 10**30)),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(max_size=8),
)
_VALUES = strategies.one_of(
    _SCALARS,
    strategies.lists(_SCALARS, max_size=2),
    strategies.dictionaries(strategies.text(max_size=4), _SCALARS, max_size=2),
)


@strategies.composite
def damaged_documents(draw: Any, document: dict[str, Any]) -> dict[str, Any]:
    """Returns a document of which some fields are removed or have another value."""
    damaged = copy.deepcopy(document)
    for _ in range(draw(strategies.integers(1, 3))):
        level = damaged
        while True:
            names = sorted(level)
            if not names:
                break
            name = draw(strategies.sampled_from(names))
            inner = level[name]
            if isinstance(inner, dict) and inner and draw(strategies.booleans()):
                level = inner
                continue
            if draw(strategies.booleans()):
                del level[name]
            else:
                level[name] = draw(_VALUES)
            break
    return damaged


@strategies.composite
def damaged_bytes(draw: Any, data: bytes) -> bytes:
    """Returns bytes that are cut, repeated in part or have other bytes in their middle."""
    damaged = bytearray(data)
    for _ in range(draw(strategies.integers(1, 3))):
        start = draw(strategies.integers(0, len(damaged)))
        end = draw(strategies.integers(start, len(damaged)))
        inserted = draw(
            strategies.one_of(strategies.binary(max_size=16), strategies.just(damaged[start:end]))
        )
        damaged[start:end] = inserted * draw(strategies.integers(0, 2))
    return bytes(damaged)
