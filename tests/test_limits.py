"""Fair queue, early refusal, retry budget, backoff and quarantine."""

import random

import pytest

from carawayroute.clock import ManualClock
from carawayroute.exceptions import RefusedError
from carawayroute.fair_queue import FairQueue
from carawayroute.health import (
    FAILURES_TO_QUARANTINE,
    FIRST_QUARANTINE_MS,
    MACHINES_TO_CONDEMN_WORK,
    HealthTracker,
)
from carawayroute.retries import Backoff, RetryBudget


def make_queue(weights: dict[str, float] | None = None) -> FairQueue[str]:
    """Return a queue with these weights by kind; all other weights are 1."""
    weights = weights or {}
    return FairQueue(lambda path: (weights.get(path[0], 1.0), 1.0, 1.0))


def pop_many(queue: FairQueue[str], count: int, cost_ms: float = 1.0) -> list[str]:
    """Pop and return a number of items."""
    return [queue.pop(lambda item: cost_ms) for _ in range(count)]


def test_flood_of_one_kind_leaves_other_kinds_their_share() -> None:
    queue = make_queue()
    for index in range(1_000):
        queue.push(("flood", "t", "c"), f"flood-{index}")
    for index in range(10):
        queue.push(("calm", "t", "c"), f"calm-{index}")
    first = pop_many(queue, 20)
    assert sum(item.startswith("calm") for item in first) == 10


def test_service_is_proportional_to_weight() -> None:
    queue = make_queue({"heavy": 3.0})
    for index in range(100):
        queue.push(("heavy", "t", "c"), f"heavy-{index}")
        queue.push(("light", "t", "c"), f"light-{index}")
    first = pop_many(queue, 40)
    assert sum(item.startswith("heavy") for item in first) == 30


def test_service_is_measured_in_run_time() -> None:
    queue = make_queue()
    for index in range(100):
        queue.push(("long", "t", "c"), f"long-{index}")
        queue.push(("short", "t", "c"), f"short-{index}")
    cost_by_kind = {"long": 9.0, "short": 1.0}
    first = [queue.pop(lambda item: cost_by_kind[item.split("-")[0]]) for _ in range(100)]
    assert sum(item.startswith("short") for item in first) == pytest.approx(90, abs=2)


def test_caller_with_one_item_is_served_beside_a_large_backlog() -> None:
    queue = make_queue()
    for index in range(500):
        queue.push(("k", "t", "large"), f"large-{index}")
    queue.push(("k", "t", "small"), "small")
    assert "small" in pop_many(queue, 2)


def test_idle_caller_accumulates_no_credit() -> None:
    queue = make_queue()
    queue.push(("k", "t", "a"), "a-early")
    pop_many(queue, 1)
    for index in range(100):
        queue.push(("k", "t", "b"), f"b-{index}")
    pop_many(queue, 50)
    for index in range(100):
        queue.push(("k", "t", "a"), f"a-{index}")
    assert sum(item.startswith("a") for item in pop_many(queue, 40)) == pytest.approx(20, abs=1)


def test_removed_item_is_not_served() -> None:
    queue = make_queue()
    queue.push(("k", "t", "c"), "x")
    assert queue.remove(("k", "t", "c"), "x")
    assert not queue.remove(("k", "t", "c"), "x")
    assert len(queue) == 0
    assert queue.pop(lambda item: 1.0) is None


def test_length_stays_correct_under_random_operations() -> None:
    rng = random.Random(1)
    queue = make_queue()
    waiting: list[tuple[tuple[str, str, str], str]] = []
    for step in range(2_000):
        if rng.random() < 0.6:
            path = (rng.choice("ab"), rng.choice("cd"), rng.choice("efgh"))
            queue.push(path, f"{step}")
            waiting.append((path, f"{step}"))
        elif waiting and rng.random() < 0.3:
            path, item = waiting.pop(rng.randrange(len(waiting)))
            assert queue.remove(path, item)
        elif waiting:
            item = queue.pop(lambda item: 1.0)
            waiting = [pair for pair in waiting if pair[1] != item]
        assert len(queue) == len(waiting)


def test_item_that_would_miss_its_deadline_is_refused_early() -> None:
    queue = make_queue()
    path = ("k", "t", "c")
    for index in range(100):
        queue.push(path, f"{index}")
    with pytest.raises(RefusedError) as caught:
        queue.check(path, cost_ms=100.0, slots=10, remaining_ms=500.0)
    assert caught.value.retry_after_ms == pytest.approx(601, abs=2)
    queue.check(("k", "t", "other"), cost_ms=100.0, slots=10, remaining_ms=500.0)


def test_retries_are_bounded_by_a_share_of_requests() -> None:
    budget = RetryBudget(ManualClock(), share=0.1, burst=5.0)
    spent = 0
    for _ in range(1_000):
        budget.earn()
        spent += budget.spend()
    assert 100 <= spent <= 106


def test_backoff_grows_to_its_bound() -> None:
    backoff = Backoff(100, 1_000)
    waits = [backoff.next_ms() for _ in range(10)]
    assert all(50 <= wait <= 1_000 for wait in waits)
    assert waits[-1] >= 500
    backoff.reset()
    assert backoff.next_ms() <= 100


def test_failing_machine_is_quarantined_and_then_retried() -> None:
    clock = ManualClock()
    health = HealthTracker(clock)
    for index in range(FAILURES_TO_QUARANTINE):
        health.failed("m", f"work-{index}")
    assert health.is_quarantined("m")
    clock.ms = FIRST_QUARANTINE_MS + 1
    assert not health.is_quarantined("m")
    health.failed("m", "more")
    clock.ms += FIRST_QUARANTINE_MS + 1
    assert health.is_quarantined("m")
    clock.ms += FIRST_QUARANTINE_MS
    health.succeeded("m", "more")
    health.failed("m", "again")
    assert not health.is_quarantined("m")


def test_work_that_fails_everywhere_quarantines_no_machine() -> None:
    health = HealthTracker(ManualClock())
    for index in range(MACHINES_TO_CONDEMN_WORK):
        for _ in range(FAILURES_TO_QUARANTINE):
            health.failed(f"m{index}", "bad")
        assert not health.is_quarantined(f"m{index}")
    assert health.is_condemned("bad")
    assert not health.is_condemned("good")
