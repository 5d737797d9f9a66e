"""Listening with pynng, and cancellation of its operations."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

import pynng
import structlog

Result = TypeVar("Result")
LISTEN_RETRY_S = 0.5

log = structlog.get_logger()


async def listen(address: str) -> pynng.Rep0:
    """Return a socket that listens, once the address is free.

    :param address: ``host:port``.
    """
    while True:
        try:
            return pynng.Rep0(listen=f"tcp://{address}")
        except pynng.AddressInUse:
            log.warning("peer_address_in_use", address=address)
            await asyncio.sleep(LISTEN_RETRY_S)


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
