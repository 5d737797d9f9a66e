"""Tests that jobs which cannot be placed keep no others from being looked at."""

import pathlib

import pytest
from scenario import Scenario, load_scenario

from carawayroute import planner
from carawayroute.gangs import GangController
from carawayroute_standins.virtual import run_virtual

STEPS = """
requirement: 4
description: A small job starts behind jobs that wait after their launch has failed.
steps:
  - submit: {name: waiting, times: 8, kind: render, run_ms: 1000}
  - run_for_ms: 500
  - submit: {name: small, shape: [1, 1, worker], run_ms: 500}
  - run_for_ms: 6000
expect:
  - started_within: {job: small, ms: 5000}
"""


@pytest.mark.parametrize("limit", [4, 500])
def test_job_starts_behind_more_jobs_that_back_off_than_a_pass_looks_at(
    limit, monkeypatch, tmp_path: pathlib.Path
):
    """Jobs that cannot be launched for now kept all jobs behind them waiting."""
    path = tmp_path / "waiting_jobs.yaml"
    path.write_text(STEPS)
    scenario: Scenario = load_scenario(path)

    def is_waiting(controller, job_id):
        small = scenario.job_id_by_name.get("small")
        return job_id != small

    monkeypatch.setattr(planner, "MAX_JOBS_PER_PASS", limit)
    monkeypatch.setattr(GangController, "is_backing_off", is_waiting)
    assert run_virtual(scenario.run()) == []
