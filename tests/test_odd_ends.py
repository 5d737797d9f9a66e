"""Reported ends of tasks that a job does not have."""

import pytest
from fleet_builders import NORMAL, OWNER, job, run_scenario

from carawayroute.fleet.types import EndedTask, TaskId

ID = "0000000000000001"


@pytest.mark.parametrize(
    "name",
    ["x", "", "a.0.0", "a.0.0.0.0", "a.0.-1.0", "a.+1.0.0", "a.0.0.²", "a.0.0.٣", "a.0.0.1_0"],
)
def test_name_that_is_no_task_is_refused(name):
    with pytest.raises(ValueError, match="task"):
        TaskId.parse(name)


@pytest.mark.parametrize(
    "place", ["0.-1.0", "0.0.-1", "-1.0.0", "1.0.0", "0.1.0", "0.0.9", "9.9.9"]
)
@pytest.mark.parametrize("outcome", ["done", "failed"])
def test_end_of_a_task_that_a_job_does_not_have_changes_nothing(place, outcome):
    """The job got a step with a negative number, whose progress could not be encoded, or one of
    an occurrence that it does not have."""

    async def scenario(fleet):
        await fleet.submit(job(ID, run_ms=500), NORMAL, OWNER)
        await fleet.wait_state(ID, "running", 1_000)
        runner = fleet.runners_by_id[fleet.journal.all("task_started")[0].fields["runner"]]
        runner._last_end_number += 1
        runner._ended.append(EndedTask(runner._last_end_number, f"{ID}.{place}", 7, outcome, ""))
        await fleet.clock.sleep_ms(100)
        planner = fleet.nodes_by_name[fleet.planner_name()].planner
        assert list(planner.job_table.jobs_by_id[ID].stages_by_key) == [(0, 0)]
        await fleet.wait_state(ID, "completed", 3_000)

    run_scenario(scenario)
