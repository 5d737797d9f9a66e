"""Fair queues, early refusal and retry budgets."""

import random

import pytest

from carawayroute.clock import ManualClock
from carawayroute.exceptions import RefusedError
from carawayroute.health import (
    FAILURES_TO_QUARANTINE,
    FIRST_QUARANTINE_MS,
    INSTANCES_TO_FAIL_JOB,
    HealthTracker,
)
from carawayroute.limits import FairQueue
from carawayroute.retries import Backoff, RetryBudget


def queue(weights: dict[str, float] | None = None) -> FairQueue[str]:
    """Return a queue whose kinds have weights."""
    weights = weights or {}
    return FairQueue(lambda path: (weights.get(path[0], 1.0), 1.0, 1.0))


def served(made: FairQueue[str], count: int, cost_ms: float = 1.0) -> list[str]:
    """Return the next items."""
    return [made.pop(lambda item: cost_ms) for _ in range(count)]


def test_a_flood_of_one_kind_leaves_the_other_its_share() -> None:
    made = queue()
    for index in range(1_000):
        made.push(("flood", "t", "c"), f"flood-{index}")
    for index in range(10):
        made.push(("calm", "t", "c"), f"calm-{index}")
    first = served(made, 20)
    assert sum(item.startswith("calm") for item in first) == 10


def test_weights_divide_the_service() -> None:
    made = queue({"heavy": 3.0})
    for index in range(100):
        made.push(("heavy", "t", "c"), f"heavy-{index}")
        made.push(("light", "t", "c"), f"light-{index}")
    first = served(made, 40)
    assert sum(item.startswith("heavy") for item in first) == 30


def test_service_is_counted_in_run_time() -> None:
    made = queue()
    for index in range(100):
        made.push(("long", "t", "c"), f"long-{index}")
        made.push(("short", "t", "c"), f"short-{index}")
    cost_by_kind = {"long": 9.0, "short": 1.0}
    first = [made.pop(lambda item: cost_by_kind[item.split("-")[0]]) for _ in range(100)]
    assert sum(item.startswith("short") for item in first) == pytest.approx(90, abs=2)


def test_a_small_caller_is_served_beside_a_large_one() -> None:
    made = queue()
    for index in range(500):
        made.push(("k", "t", "large"), f"large-{index}")
    made.push(("k", "t", "small"), "small")
    assert "small" in served(made, 2)


def test_an_idle_caller_saves_up_no_service() -> None:
    made = queue()
    made.push(("k", "t", "a"), "a-early")
    served(made, 1)
    for index in range(100):
        made.push(("k", "t", "b"), f"b-{index}")
    served(made, 50)
    for index in range(100):
        made.push(("k", "t", "a"), f"a-{index}")
    assert sum(item.startswith("a") for item in served(made, 40)) == pytest.approx(20, abs=1)


def test_removing_takes_an_item_out() -> None:
    made = queue()
    made.push(("k", "t", "c"), "x")
    assert made.remove(("k", "t", "c"), "x")
    assert not made.remove(("k", "t", "c"), "x")
    assert len(made) == 0
    assert made.pop(lambda item: 1.0) is None


def test_counts_stay_right_under_any_order() -> None:
    draw = random.Random(1)
    made = queue()
    waiting: list[tuple[tuple[str, str, str], str]] = []
    for step in range(2_000):
        if draw.random() < 0.6:
            path = (draw.choice("ab"), draw.choice("cd"), draw.choice("efgh"))
            made.push(path, f"{step}")
            waiting.append((path, f"{step}"))
        elif waiting and draw.random() < 0.3:
            path, item = waiting.pop(draw.randrange(len(waiting)))
            assert made.remove(path, item)
        elif waiting:
            item = made.pop(lambda item: 1.0)
            waiting = [pair for pair in waiting if pair[1] != item]
        assert len(made) == len(waiting)


def test_refuses_early_what_cannot_be_answered_in_time() -> None:
    made = queue()
    path = ("k", "t", "c")
    for index in range(100):
        made.push(path, f"{index}")
    with pytest.raises(RefusedError) as caught:
        made.check(path, cost_ms=100.0, servers=10, remaining_ms=500.0)
    assert caught.value.retry_after_ms == pytest.approx(601, abs=2)
    made.check(("k", "t", "other"), cost_ms=100.0, servers=10, remaining_ms=500.0)


def test_retries_are_bounded_by_a_share_of_requests() -> None:
    budget = RetryBudget(ManualClock(), share=0.1, burst=5.0)
    spent = 0
    for _ in range(1_000):
        budget.deposit()
        spent += budget.try_withdraw()
    assert 100 <= spent <= 106


def test_backoff_grows_to_its_bound() -> None:
    backoff = Backoff(100, 1_000)
    waits = [backoff.next_ms() for _ in range(10)]
    assert all(50 <= wait <= 1_000 for wait in waits)
    assert waits[-1] >= 500
    backoff.reset()
    assert backoff.next_ms() <= 100


def test_a_machine_that_fails_everything_is_quarantined_and_tried_again() -> None:
    clock = ManualClock()
    health = HealthTracker(clock)
    for index in range(FAILURES_TO_QUARANTINE):
        health.record_failure("m", f"work-{index}")
    assert health.is_quarantined("m")
    clock.ms = FIRST_QUARANTINE_MS + 1
    assert not health.is_quarantined("m")
    health.record_failure("m", "more")
    clock.ms += FIRST_QUARANTINE_MS + 1
    assert health.is_quarantined("m")
    clock.ms += FIRST_QUARANTINE_MS
    health.record_success("m", "more")
    health.record_failure("m", "again")
    assert not health.is_quarantined("m")


def test_work_that_fails_everywhere_does_not_condemn_its_machines() -> None:
    health = HealthTracker(ManualClock())
    for index in range(INSTANCES_TO_FAIL_JOB):
        for _ in range(FAILURES_TO_QUARANTINE):
            health.record_failure(f"m{index}", "bad")
        assert not health.is_quarantined(f"m{index}")
    assert health.is_faulty_job("bad")
    assert not health.is_faulty_job("good")
