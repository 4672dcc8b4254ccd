"""Memory of the process: its allocator, and the shares that limits are set by."""

from __future__ import annotations

import ctypes
from contextlib import suppress

# `M_MMAP_THRESHOLD` of malloc.h.
_MMAP_THRESHOLD = -3
_LARGE_BYTES = 65_536
# Code, tables and routes of an agent without any request.
_BASE_BYTES = 60_000_000
_MIN_SHARED = 0.25


def memory_share(memory_bytes: int, share: float) -> int:
    """Returns a share of the memory that is left for requests, in bytes.

    Args:
        memory_bytes: Memory of the process, in bytes.
        share: Share of what is left beside the process itself.
    """
    return int(max(memory_bytes - _BASE_BYTES, memory_bytes * _MIN_SHARED) * share)


def return_large_blocks() -> None:
    """Makes the allocator give large blocks back to the system as soon as they are free.

    glibc raises its threshold for such blocks to the size of the largest that was freed. Small
    blocks then divide the free memory of long responses, which is neither used again for the next
    ones nor given back. Other allocators do not have the setting.
    """
    with suppress(AttributeError, OSError):
        ctypes.CDLL(None).mallopt(_MMAP_THRESHOLD, _LARGE_BYTES)
