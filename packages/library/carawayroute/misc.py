"""Ids, rendezvous hashing and asyncio helpers."""

import asyncio
import hashlib
import itertools
import random
from collections.abc import Callable, Coroutine, Iterable

import structlog

from carawayroute.retries import Backoff

# Pause before a background task that failed is run again; the longest if it fails on and on.
FIRST_RESTART_MS = 100
MAX_RESTART_MS = 5_000

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

    :ivar failures: number of exceptions that ended a task, or a run of one that is kept running.
    """

    __slots__ = ("_tasks", "failures")

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()
        self.failures = 0

    def start(self, coroutine: Coroutine, name: str) -> asyncio.Task:
        """Run a coroutine as a background task; an exception is logged and counted."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def keep_running(self, work: Callable[[], Coroutine], name: str) -> asyncio.Task:
        """Run work as a background task, and again each time that an exception ends it.

        :param work: returns the coroutine of one run.
        """
        return self.start(self._run_until_ended(work, name), name)

    async def _run_until_ended(self, work: Callable[[], Coroutine], name: str) -> object:
        loop = asyncio.get_running_loop()
        backoff = Backoff(FIRST_RESTART_MS, MAX_RESTART_MS)
        while True:
            began_s = loop.time()
            try:
                return await work()
            except Exception as error:
                self.note_failure(name, error)
            if (loop.time() - began_s) * 1000 > MAX_RESTART_MS:
                backoff.reset()
            await asyncio.sleep(backoff.next_ms() / 1000)

    def note_failure(self, name: str, error: BaseException) -> None:
        """Log and count an unexpected exception."""
        self.failures += 1
        log.error("background_task_failed", task=name, exc_info=error)

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.note_failure(task.get_name(), error)

    async def cancel(self) -> None:
        """Cancel all tasks and wait for them to end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
