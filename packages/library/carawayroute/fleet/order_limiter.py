"""Limits how many orders are sent to one runner at a time, by whether it answers."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from carawayroute.fleet.exceptions import RunnerRefusedError, RunnerUnansweredError

# Two of the six connections to a runner are left to polls.
MAX_CONCURRENT_ORDERS = 4


class OrderLimiter:
    """Admits up to ``MAX_CONCURRENT_ORDERS`` orders at a time, one while they go unanswered.

    An order without an answer leaves a connection that counts at the runner for seconds. Retries
    of many orders at once would take all connections that the runner accepts, so that it stays
    out of reach after what delayed its answers is over.
    """

    __slots__ = ("_in_flight", "_limit", "_waiters")

    def __init__(self) -> None:
        self._limit = MAX_CONCURRENT_ORDERS
        self._in_flight = 0
        self._waiters: deque[asyncio.Future[None]] = deque()

    @asynccontextmanager
    async def admit(self) -> AsyncIterator[None]:
        """Wait until an order may be sent, and lower the limit if it goes unanswered."""
        while self._in_flight >= self._limit:
            await self._wait_released()
        self._in_flight += 1
        try:
            yield
        except RunnerUnansweredError:
            self._limit = 1
            raise
        except RunnerRefusedError:
            self.note_answer()
            raise
        finally:
            self._in_flight -= 1
            self._wake_waiters()

    def note_answer(self) -> None:
        """Admit one more order at a time, as the runner answered one."""
        self._limit = min(MAX_CONCURRENT_ORDERS, self._limit + 1)

    async def _wait_released(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            self._wake_waiters()
            raise

    def _wake_waiters(self) -> None:
        free = self._limit - self._in_flight
        while free > 0 and self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                free -= 1
