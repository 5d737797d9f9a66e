"""An asyncio event loop in virtual time, which skips to the next timer instead of waiting."""

import asyncio
import random
import selectors
from collections.abc import Coroutine
from typing import TypeVar

T = TypeVar("T")


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual clock by the time that a real selector would block."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("deadlock: no timer is pending and no task can run")
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks and timers deterministically in virtual time."""

    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._time_selector.now_s


def run_virtual(work: Coroutine[object, object, T], seed: int = 1) -> T:
    """Run a coroutine in virtual time with a fixed seed and return its result."""
    random.seed(seed)
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        _cancel_all(loop)
        loop.close()


def _cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    if not tasks:
        return
    for task in tasks:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
