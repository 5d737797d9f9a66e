"""The experiment plays the scheduler's own decisions, the same way each time."""

import pytest

from bench import experiment
from bench.loads import DEPLOYMENTS, PATTERNS, arrivals


def simulated_day(seed=1):
    """Return a short day of the smaller cornice under bursts."""
    deployment = DEPLOYMENTS["cornice"]
    day = experiment.SimulatedDay(
        deployment, arrivals(deployment, PATTERNS["bursts"], 12.0, seed), seed
    )
    day.simulate()
    return day


def test_same_seed_is_the_same_day():
    first, second = simulated_day(), simulated_day()
    assert first.ended_ms_by_id == second.ended_ms_by_id
    assert experiment.Result(first).value_share == experiment.Result(second).value_share


@pytest.mark.parametrize("seed", range(1, 4))
def test_room_is_given_back_and_never_lent_twice(seed):
    """Of every runner all room is free once everything has ended, and none was ever overfilled."""
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


def test_every_accepted_job_that_ended_ran_whole():
    day = simulated_day()
    for job_id in day.ended_ms_by_id:
        stages = day.job_table.jobs_by_id[job_id].stages_by_key.values()
        assert all(stage.finished for stage in stages)
