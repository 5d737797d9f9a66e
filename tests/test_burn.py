"""Tests of burn rates and their report."""

import json

import pytest

from carawayctl import burn
from carawayroute.burn_rate import BUCKET_MS, BurnRateTracker
from carawayroute.clock import ManualClock


def make_tracker() -> tuple[BurnRateTracker, ManualClock]:
    """Return a tracker with 100 outcomes of which every tenth is bad, and its clock."""
    clock = ManualClock()
    tracker = BurnRateTracker(clock)
    for number in range(100):
        tracker.record("team", "kind", good=number % 10 != 0)
    return tracker, clock


def test_burn_rate_is_error_rate_over_budget() -> None:
    tracker, _ = make_tracker()
    count = tracker.count_in_window("team", "kind", 300_000)
    assert (count.total, count.bad) == (100, 10)
    assert count.burn_rate(0.99) == pytest.approx(10.0)
    assert count.burn_rate(0.90) == pytest.approx(1.0)


def test_outcomes_expire_from_short_window_first() -> None:
    tracker, clock = make_tracker()
    clock.ms = 300_000 + BUCKET_MS
    assert tracker.count_in_window("team", "kind", 300_000).total == 0
    assert tracker.count_in_window("team", "kind", 3_600_000).total == 100


def test_burn_rate_without_outcomes_is_zero() -> None:
    assert make_tracker()[0].count_in_window("team", "other", 300_000).burn_rate(0.99) == 0.0


def test_report_sums_over_daemons(monkeypatch) -> None:
    window = {"total": 10, "bad": 1}
    item = {"team": "t", "kind": "k", "windows": {"5m": window, "1h": window, "6h": window}}
    monkeypatch.setattr(burn, "_fetch_one", lambda server: [item])
    rows = burn.fetch("one:1,two:2")
    assert json.loads(burn.as_json(rows, 0.9))[0]["total"]["1h"] == 20
    assert "2/20" in burn.as_table(rows, 0.9)
    assert "t k 5m" in burn.as_html(rows, 0.9)
