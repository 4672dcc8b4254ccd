"""Waits on conditions."""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Awaitable, Callable
from typing import TypeVar

from .errors import ConditionTimeoutError

T = TypeVar("T")

PERIOD_S = 0.02


async def wait_until(
    condition: Callable[[], Awaitable[T] | T], timeout_s: float, description: str
) -> T:
    """Waits until a condition holds.

    Args:
        condition: Called every 20 ms; holds once its result is true.
        timeout_s: Longest wait in seconds.
        description: What is awaited, for the error.

    Returns:
        The true result.

    Raises:
        ConditionTimeoutError: The condition did not hold in time.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while True:
        result = condition()
        value = await result if inspect.isawaitable(result) else result
        if value:
            return value
        if loop.time() >= deadline:
            raise ConditionTimeoutError(
                f"{description}: not within {timeout_s} s; last result {value!r}"
            )
        await asyncio.sleep(PERIOD_S)
