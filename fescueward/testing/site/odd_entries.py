"""Entries of the store that another program has written."""

from __future__ import annotations

import msgspec

from .store import SiteStore

# Kind in which agents keep their groups.
GROUPS_KIND = "fescueward-groups"
VARIANTS = ("deep", "number", "port", "copy")
# More levels than any decoder with recursion reads.
_LEVELS = 20_000


def write_odd_entry(store: SiteStore, variant: str) -> None:
    """Writes a damaged copy of a group beside the groups, under a name of its own.

    Args:
        store: The store.
        variant: One of `VARIANTS`: a value that is nested deeply, a number that is too large, a
            port out of range, or an undamaged copy.
    """
    groups = store.objects(GROUPS_KIND)
    if not groups:
        return
    group = msgspec.json.decode(groups[min(groups)].spec)
    if variant == "deep":
        group["note"] = msgspec.Raw(b"[" * _LEVELS + b"]" * _LEVELS)
    elif variant == "number":
        group["fence"] = msgspec.Raw(b"9" * 40)
    elif variant == "port":
        group["service"] = "odd"
        for member in group["members"].values():
            member["peer_port"] = 70_000
    store.write(GROUPS_KIND, f"odd-{variant}.0", msgspec.json.encode(group))
