"""Ownership of asyncio tasks, and work that a cancellation must not break off."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

_Result = TypeVar("_Result")

FailureHandler = Callable[[str, BaseException], None]


class TaskOwner:
    """Owns the tasks of one service: reports their failures and cancels them.

    Attributes:
        name: Name of the owning service.
    """

    def __init__(self, name: str, on_failure: FailureHandler) -> None:
        self.name = name
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, label: str, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task, which runs until it ends or `cancel` is called.

        Args:
            label: Name of the task, for failure reports.
            coroutine: Coroutine to run.

        Returns:
            The task.
        """
        task = asyncio.get_running_loop().create_task(coroutine, name=f"{self.name}:{label}")
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def cancel(self) -> None:
        """Cancels all tasks except the calling one and waits until they have ended."""
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._on_failure(task.get_name(), error)


async def finish_despite_cancellation(
    work: Coroutine[Any, Any, _Result], aborts: Callable[[], bool]
) -> _Result:
    """Returns the result of work that a cancellation of the calling task does not break off.

    The caller has to call `raise_delayed_cancellation` once it has recorded the result.

    Args:
        work: The work.
        aborts: Returns whether a cancellation breaks the work off all the same, as at a stop.
    """
    task = asyncio.get_running_loop().create_task(work)
    while not task.done():
        try:
            await asyncio.wait((task,))
        except asyncio.CancelledError:
            if aborts():
                task.cancel()
                raise
    return task.result()


def raise_delayed_cancellation() -> None:
    """Raises the cancellation that `finish_despite_cancellation` has delayed, if there is one."""
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
