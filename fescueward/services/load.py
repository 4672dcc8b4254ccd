"""Measured work of this agent and, on the planner, of its group."""

from __future__ import annotations

from ..interfaces.placement import GroupLoad
from ..kernel import Kernel, Registry


class MeasuredLoad:
    """The `load` service."""

    name = "load"
    requires: tuple[str, ...] = ()

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._work: dict[int, float] = {}

    def bind(self, registry: Registry) -> None:
        """Finds nothing yet."""

    async def start(self) -> None:
        """Does nothing yet."""

    async def stop(self) -> None:
        """Ends all tasks."""
        await self._tasks.cancel()

    def record(self, shard: int, key: str, seconds: float) -> None:
        """Adds the upstream time of one request."""
        self._work[shard] = self._work.get(shard, 0.0) + seconds

    def group_load(self) -> GroupLoad:
        """Returns what this agent has measured."""
        return GroupLoad(work=dict(self._work))
