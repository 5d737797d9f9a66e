"""Tests of the experiment: days are reproducible and capacity is accounted for correctly."""

import pytest

from bench import experiment
from bench.loads import DEPLOYMENTS, PATTERNS, arrivals


def simulated_day(seed=1):
    """Return a simulated day of the deployment cornice with 12 s of bursts."""
    deployment = DEPLOYMENTS["cornice"]
    day = experiment.SimulatedDay(
        deployment, arrivals(deployment, PATTERNS["bursts"], 12.0, seed), seed
    )
    day.simulate()
    return day


def test_same_seed_gives_the_same_results():
    first, second = simulated_day(), simulated_day()
    assert first.ended_ms_by_id == second.ended_ms_by_id
    assert experiment.Result(first).value_share == experiment.Result(second).value_share


@pytest.mark.parametrize("seed", range(1, 4))
def test_free_accelerators_match_the_running_tasks(seed):
    """At the end of the day a runner's free accelerators are all those that no task holds.

    Fails if the simulation does not release the capacity of an ended task or assigns it twice.
    """
    day = simulated_day(seed)
    held = {}
    for job in day.job_table.jobs_by_id.values():
        for stage in job.stages_by_key.values():
            for runner in stage.runners:
                if runner:
                    held[runner] = held.get(runner, 0) + stage.step.accelerators
    for runner, free in day.free_by_id.items():
        total_accelerators = day.runners_by_id[runner].capacity.accelerators
        assert 0 <= free.accelerators == total_accelerators - held.get(runner, 0)


def test_every_completed_job_finished_all_stages():
    day = simulated_day()
    for job_id in day.ended_ms_by_id:
        stages = day.job_table.jobs_by_id[job_id].stages_by_key.values()
        assert all(stage.finished for stage in stages)
