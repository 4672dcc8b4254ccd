"""Faults of the platform stand-in."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

Count = Annotated[int, Meta(ge=0)]


class Mode(enum.StrEnum):
    """How the platform treats calls."""

    NORMAL = "normal"
    DOWN = "down"
    HANG = "hang"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults of the platform.

    Attributes:
        mode: `down` refuses each call before it acts, `hang` lets it wait and then aborts its
            connection without an effect, `slow` delays it.
        delay_ms: Delay of a call in `slow`; wait of a call in `hang`, where 0 means until the
            mode changes.
        fail_connections: Whether `down` aborts connections instead of answering 503.
        lose_responses: Number of following writes that take effect and whose connection is
            aborted without a response.
        delay_writes: Number of following writes whose connection is aborted at once and which
            take effect `delay_writes_ms` later.
        delay_writes_ms: That delay.
    """

    mode: Mode = Mode.NORMAL
    delay_ms: Count = 0
    fail_connections: bool = False
    lose_responses: Count = 0
    delay_writes: Count = 0
    delay_writes_ms: Count = 0
