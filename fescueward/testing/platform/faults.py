"""Faults of the platform stand-in."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

Count = Annotated[int, Meta(ge=0)]


class Mode(enum.StrEnum):
    """How the platform handles calls."""

    NORMAL = "normal"
    DOWN = "down"
    HANG = "hang"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults of the platform.

    Attributes:
        mode: `down` rejects each call without executing it, `hang` blocks it and then aborts its
            connection without executing it, `slow` delays it.
        delay_ms: Delay of a call in `slow`, or time that a call blocks in `hang`, in
            milliseconds. In `hang`, 0 blocks until the faults are replaced.
        fail_connections: Whether `down` aborts connections instead of responding with 503.
        lose_responses: Number of next writes that are applied and whose connection is then
            aborted without a response.
        delay_writes: Number of next writes whose connection is aborted at once and which are
            applied `delay_writes_ms` later.
        delay_writes_ms: Delay of these writes, in milliseconds.
    """

    mode: Mode = Mode.NORMAL
    delay_ms: Count = 0
    fail_connections: bool = False
    lose_responses: Count = 0
    delay_writes: Count = 0
    delay_writes_ms: Count = 0
