"""Versions of platform objects: the era of the store in the high bits, the revision in the low.

A store that is restored from an older copy begins a new era, in which it gives out revisions again
that it gave out before. A version of a later era is higher than every version of an earlier one.
"""

from __future__ import annotations

_REVISION_BITS = 40
MAX_REVISION = (1 << _REVISION_BITS) - 1
# Epochs that one write of a group may give; enough for a write that records many joins.
EPOCHS_PER_WRITE = 1 << 9
# With it, epochs and versions stay below 2**63.
MAX_ERA = 1 << 13


def to_version(era: int, revision: int) -> int:
    """Returns the version of an object at a revision of an era; revision 0 has version 0."""
    return era << _REVISION_BITS | revision if revision else 0


def era_of(version: int) -> int:
    """Returns the era that a version belongs to."""
    return version >> _REVISION_BITS


def revision_of(version: int) -> int:
    """Returns the store revision of a version."""
    return version & MAX_REVISION


def epoch_after(version: int) -> int:
    """Returns an epoch above all that writes up to a version have given, known or not.

    Each write has a revision of its own, so no two writes give the same epoch.
    """
    return (version + 1) * EPOCHS_PER_WRITE


def lowest_epoch(era: int) -> int:
    """Returns an epoch above all epochs of earlier eras."""
    return (era << _REVISION_BITS) * EPOCHS_PER_WRITE
