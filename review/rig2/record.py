"""Record of what was sent, answered and run."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes one line for each event, with the seconds since the start.

    Args:
        path: File that is written anew.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def __call__(self, *words: object) -> None:
        """Writes a line."""
        elapsed_s = time.monotonic() - self._started_at
        print(f"{elapsed_s:8.3f}", *words, file=self._file, flush=True)
