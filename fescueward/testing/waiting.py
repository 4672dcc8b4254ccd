"""Waiting for conditions."""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Awaitable, Callable
from typing import TypeVar

from .errors import ConditionTimeoutError

T = TypeVar("T")

POLL_INTERVAL_S = 0.02


async def wait_until(
    condition: Callable[[], Awaitable[T] | T], timeout_s: float, description: str
) -> T:
    """Waits until a condition holds.

    Args:
        condition: Called every 20 ms until its result, awaited if need be, is true.
        timeout_s: Longest wait in seconds.
        description: Text for the error that says what the caller waits for.

    Returns:
        The first true result of the condition.

    Raises:
        ConditionTimeoutError: The condition did not hold in time.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while True:
        result = condition()
        value = await result if inspect.isawaitable(result) else result
        if value:
            return value
        if loop.time() >= deadline_s:
            raise ConditionTimeoutError(
                f"{description}: not within {timeout_s} s; last result {value!r}"
            )
        await asyncio.sleep(POLL_INTERVAL_S)
