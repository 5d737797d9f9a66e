"""Ids, rendezvous hashing and asyncio helpers."""

import asyncio
import hashlib
import itertools
import random
from collections.abc import Coroutine, Iterable

import structlog

log = structlog.get_logger()


def new_id(prefix: str) -> str:
    """Return a random 64-bit id in hexadecimal, after a prefix and a hyphen."""
    return f"{prefix}-{random.getrandbits(64):016x}"


def rendezvous(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates in order of preference for a key, by rendezvous hashing."""
    return sorted(
        candidates,
        key=lambda name: hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest(),
    )


def interleave(first: list[str], second: list[str]) -> list[str]:
    """Return the elements of two lists in turn, followed by the rest of the longer one."""
    pairs = itertools.zip_longest(first, second)
    return [item for pair in pairs for item in pair if item is not None]


async def wait_event(event: asyncio.Event, timeout_ms: float) -> bool:
    """Wait for an event and return whether it was set within the timeout."""
    try:
        async with asyncio.timeout(max(0.0, timeout_ms) / 1000):
            await event.wait()
    except TimeoutError:
        return False
    return True


class TaskGroup:
    """Background tasks that are cancelled together.

    Holds references to the tasks, since the event loop keeps only weak ones.
    """

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def start(self, coroutine: Coroutine, name: str) -> asyncio.Task:
        """Run a coroutine as a background task; an exception is logged."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("background_task_failed", task=task.get_name(), exc_info=task.exception())

    async def cancel(self) -> None:
        """Cancel all tasks and wait for them to end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
