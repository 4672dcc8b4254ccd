"""Quarantine of requests that were in flight in upstream crashes."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ..kernel import Registry
from ..messages import Request


class CrashQuarantine:
    """The `quarantine` service."""

    name = "quarantine"
    requires: tuple[str, ...] = ()

    def bind(self, registry: Registry) -> None:
        """Finds nothing yet."""

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    @asynccontextmanager
    async def guard(self, request: Request) -> AsyncIterator[None]:
        """Watches one run."""
        yield
