"""Grants of key ranges to the upstream, and the tickets of requests that they allow."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from types import TracebackType

from .handover import RangeId


@dataclass(frozen=True, slots=True)
class RangeTicket:
    """Permission to run one request; see `Ticket`.

    Attributes:
        shard: First key of the range.
        epoch: Epoch of the range.
    """

    shard: int
    epoch: int

    def __enter__(self) -> RangeTicket:
        """Returns the ticket."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Releases nothing: the upstream finishes its work before it confirms a release."""

    def check(self) -> None:
        """Never raises: the upstream itself stops work when its grant expires."""


def covering_grant_end(grant_ends: Mapping[RangeId, float], target_id: RangeId) -> float | None:
    """Returns the earliest end of the grants that cover a range, or None if a part has none.

    A grant at a lower epoch is still valid: keys change their owner only after this member has
    released them.

    Args:
        grant_ends: Ends of the valid grants, in seconds of CLOCK_BOOTTIME, by granted range.
        target_id: The range.
    """
    first, last, epoch = target_id
    ends = []
    next_key = first
    for low, high, granted_epoch in sorted(grant_ends):
        if granted_epoch <= epoch and low <= next_key <= high:
            ends.append(grant_ends[(low, high, granted_epoch)])
            next_key = high + 1
            if next_key > last:
                return min(ends)
    return None
