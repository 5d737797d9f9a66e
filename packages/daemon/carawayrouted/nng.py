"""Cancellation of pynng operations."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

Result = TypeVar("Result")


async def cancellable(operation: Awaitable[Result]) -> Result:
    """Await a pynng operation.

    pynng drops a cancellation of the task if the operation has ended by then, so that a timeout
    around several operations, or the end of a serving task, would have no effect.

    :raises asyncio.CancelledError: the task was cancelled meanwhile, even if the operation ended.
    """
    task = asyncio.current_task()
    cancellations = task.cancelling()
    try:
        return await operation
    finally:
        if task.cancelling() > cancellations:
            raise asyncio.CancelledError
