"""Limit retries to a share of the requests, with a backoff between them."""

from carawayroute.clock import ManualClock
from carawayroute.retries import Backoff, RetryBudget

budget = RetryBudget(ManualClock(), share=0.1, burst=3.0)
allowed = 0
for _ in range(100):
    budget.deposit()
    allowed += budget.try_withdraw()
print(allowed, "retries for 100 failing requests")

backoff = Backoff(first_ms=100, max_ms=1_000)
print(all(wait_ms <= 1_000 for wait_ms in (backoff.next_ms() for _ in range(8))))
