"""Memory that handled exceptions keep in use."""

from __future__ import annotations


def drop_traceback(error: BaseException) -> None:
    """Drops the traceback of a handled exception, and those of its causes and contexts.

    A traceback refers to the local variables of the failed calls, and some of them refer to the
    exception: a task, a future, or the error of an earlier attempt. Such a cycle stays in memory
    until a garbage collection, which is triggered by the number of objects and not by their size,
    so that the bodies of a few failed uploads could fill the memory.
    """
    pending: list[BaseException | None] = [error]
    while pending:
        current = pending.pop()
        if current is not None and current.__traceback__ is not None:
            current.__traceback__ = None
            pending += [current.__cause__, current.__context__]
