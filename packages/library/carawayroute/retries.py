"""Exponential backoff and retry budgets."""

import random

from carawayroute.clock import Clock


class Backoff:
    """Exponential backoff; each wait is random between half its bound and the bound.

    :param first_ms: bound of the first wait, doubled after each wait.
    :param max_ms: upper limit of the bound.
    """

    __slots__ = ("_bound_ms", "_first_ms", "_max_ms")

    def __init__(self, first_ms: float, max_ms: float) -> None:
        self._first_ms = first_ms
        self._max_ms = max_ms
        self._bound_ms = first_ms

    def next_ms(self) -> float:
        """Return the next wait and double the bound."""
        wait_ms = random.uniform(self._bound_ms / 2, self._bound_ms)
        self._bound_ms = min(self._max_ms, self._bound_ms * 2)
        return wait_ms

    def reset(self) -> None:
        """Reset the bound, as after a success."""
        self._bound_ms = self._first_ms


class RetryBudget:
    """Token bucket that limits retries to a share of requests, to prevent retry storms.

    :param share: tokens added by each request.
    :param burst: capacity of the bucket, which starts full.
    :param per_second: tokens added per second regardless of requests.
    """

    __slots__ = ("_burst", "_clock", "_last_ms", "_per_second", "_share", "_tokens")

    def __init__(
        self, clock: Clock, share: float = 0.1, burst: float = 10.0, per_second: float = 0.5
    ) -> None:
        self._clock = clock
        self._share = share
        self._burst = burst
        self._per_second = per_second
        self._tokens = burst
        self._last_ms: float | None = None

    def deposit(self) -> None:
        """Add the tokens of one request."""
        self._refill()
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_withdraw(self) -> bool:
        """Take a token for one retry; return whether there was one."""
        self._refill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        if self._last_ms is not None:
            earned = (now_ms - self._last_ms) / 1000 * self._per_second
            self._tokens = min(self._burst, self._tokens + earned)
        self._last_ms = now_ms
