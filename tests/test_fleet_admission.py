"""Tests that work which waits for particular runners keeps no other job from being accepted."""

import pytest
from fleet_builders import (
    NORMAL,
    OTHER,
    OWNER,
    URGENT,
    assign,
    candidate,
    job,
    job_table_of,
    run_scenario,
    scheduling_pass,
    step,
)

from carawayroute.fleet.admission import AdmissionController, harmless_work, open_work, stuck_work
from carawayroute.fleet.entry import NotAcceptedError
from carawayroute.fleet.jobs import JOB_KEY, JobTable
from carawayroute_standins.fleet.judge import starts

ID = "{:016x}"
RACK = "r1-1"


def stuck_after_pass(job_table: JobTable, candidates) -> list[str]:
    """Return the jobs that a pass finds stuck."""
    one = scheduling_pass(job_table, candidates, stoppable=False)
    one.run()
    return [stage.job.id for stage in one.stuck_stages()]


def fleet_of(free, labelled_free):
    """Return runners with free accelerators, of which one has a label of its own."""
    return [
        *(candidate(f"w{n}", "r1-0", free=free) for n in range(6)),
        candidate("last", RACK, free=labelled_free),
    ]


def backlog():
    """Return jobs with several minutes of work for the labelled runner."""
    return [
        job(ID.format(n), [step(8, 8, label=RACK, estimate_ms=30_000)], URGENT, OWNER)
        for n in range(1, 6)
    ]


# ------------------------------------------------------------------ decisions


def test_jobs_are_accepted_behind_work_that_waits_for_one_runner():
    """Callers were refused beside an empty fleet, as work for one runner counted as backlog."""
    job_table = job_table_of(*backlog())
    candidates = fleet_of(8, 0)
    stages = [
        job_table.jobs_by_id[one].stage(0, 0) for one in stuck_after_pass(job_table, candidates)
    ]
    assert len(stages) == 5
    work = stuck_work(stages)
    small = job(ID.format(9), queue=URGENT, team=OTHER)
    assert not AdmissionController(job_table, lambda: 56).decide(small, 1_000.0).accepted
    controller = AdmissionController(job_table, lambda: 56, lambda: work)
    assert controller.decide(small, 1_000.0).accepted


def test_jobs_for_the_same_runner_are_still_rejected():
    job_table = job_table_of(*backlog())
    work = stuck_work(one.stage(0, 0) for one in job_table.jobs_by_id.values())
    controller = AdmissionController(job_table, lambda: 56, lambda: work)
    labelled = job(ID.format(9), [step(1, 8, label=RACK)], URGENT, OTHER)
    decision = controller.decide(labelled, 1_000.0)
    assert not decision.accepted
    assert decision.retry_after_ms > 0


def test_work_that_waits_for_room_in_a_full_fleet_still_counts():
    jobs = [job(ID.format(n), [step(8, 8, estimate_ms=30_000)], URGENT, OWNER) for n in range(5)]
    assert stuck_after_pass(job_table_of(*jobs), fleet_of(0, 0)) == []


def test_work_for_a_full_runner_counts_while_the_others_are_full_as_well():
    assert stuck_after_pass(job_table_of(*backlog()), fleet_of(0, 0)) == []


def test_work_for_a_full_runner_is_stuck_beside_room_on_a_loaded_fleet():
    job_table = job_table_of(*backlog())
    candidates = fleet_of(0, 0)
    candidates[0].free.accelerators = 8
    assert len(stuck_after_pass(job_table, candidates)) == 5


def test_work_that_no_runner_holds_is_stuck_on_a_full_fleet():
    jobs = [
        job(ID.format(1), [step(1, 9)], URGENT, OWNER),
        job(ID.format(2), [step(1, 1, label="away")], URGENT, OWNER),
        job(ID.format(3), [step(1, 1)], URGENT, OWNER),
    ]
    assert set(stuck_after_pass(job_table_of(*jobs), fleet_of(0, 0))) == {
        ID.format(1),
        ID.format(2),
    }


def test_jobs_are_accepted_beside_long_tasks_on_a_fleet_that_is_mostly_free():
    """A task of 30 s on one of many runners counted as a queue of 4 s for all jobs."""
    job_table = job_table_of(job(ID.format(1), [step(1, 8, estimate_ms=30_000)], URGENT, OWNER))
    assign(job_table.jobs_by_id[ID.format(1)].stage(0, 0), {0: "last"})
    small = job(ID.format(9), queue=URGENT, team=OTHER)
    small.steps[0].estimate_ms = 500
    assert not AdmissionController(job_table, lambda: 56).decide(small, 500.0).accepted
    work = open_work(job_table.open_by_id.values())
    assert AdmissionController(job_table, lambda: 56, lambda: work).decide(small, 500.0).accepted
    # What is accepted after the planner's announcement counts.
    for number in range(2, 5):
        one = job(ID.format(number), [step(8, 8, estimate_ms=30_000)], URGENT, OWNER)
        job_table.apply(number, JOB_KEY + one.id, one.SerializeToString(), 0.0)
    assert (
        not AdmissionController(job_table, lambda: 56, lambda: work).decide(small, 500.0).accepted
    )


def test_work_of_a_full_service_counts_beside_another_that_is_free():
    other = job(ID.format(1), [step(2, 8, estimate_ms=30_000)], URGENT, OWNER)
    other.service = "other"
    job_table = job_table_of(*backlog()[1:2], other)
    stages = [one.stage(0, 0) for one in job_table.jobs_by_id.values()]
    jobs = job_table.open_by_id.values()
    assert harmless_work(jobs, {"other"}, []) == {0: 2 * 8 * 30_000}
    assert harmless_work(jobs, {"render"}, stages) == {0: 10 * 8 * 30_000}
    assert harmless_work(jobs, (), []) == {}
    runners = fleet_of(8, 8)
    for one in runners[:6]:
        one.runner.service = "other"
    runners[6].free.accelerators = 0
    found = scheduling_pass(job_table, runners, stoppable=False)
    assert found.mostly_free_services() == {"other"}


def test_work_that_waits_beside_free_runners_for_an_unknown_reason_counts():
    """Suspects of crashing runners waited beside restarted runners, and no job was rejected."""
    jobs = [job(ID.format(n), [step(1, 1)], URGENT, OTHER) for n in range(1, 40)]
    job_table = job_table_of(*jobs)
    for one in jobs:
        stage = job_table.jobs_by_id[one.id].stage(0, 0)
        stage.crashes[0], stage.start_crashes[0] = 2, 2
    candidates = fleet_of(8, 8)
    for restarted in candidates:
        restarted.steady = False
    found = scheduling_pass(job_table, candidates, stoppable=False)
    assert found.run() == []
    assert found.stuck_stages() == []
    assert found.mostly_free_services() == {"render"}
    assert found.services_without_queue() == set()


def test_free_service_of_which_only_stuck_work_waits_has_no_queue():
    found = scheduling_pass(job_table_of(*backlog()), fleet_of(8, 0), stoppable=False)
    found.run()
    assert found.services_without_queue() == {"render"}


def test_work_at_its_limit_per_runner_is_stuck_beside_room():
    one = job(ID.format(1), [step(8, 1, most_per_runner=1)], URGENT, OTHER)
    job_table = job_table_of(one)
    candidates = fleet_of(8, 8)
    stage = job_table.jobs_by_id[one.id].stage(0, 0)
    assign(stage, dict(enumerate(one.runner.id for one in candidates)))
    assert stuck_after_pass(job_table, candidates) == [one.id]


def test_steps_that_depend_on_stuck_ones_are_stuck():
    steps = [
        step(4, 2, label=RACK, estimate_ms=100),
        step(2, 1, estimate_ms=100, depends_on=[0]),
        step(3, 1, estimate_ms=100),
        step(1, 0, estimate_ms=100, depends_on=[1, 2]),
    ]
    job_table = job_table_of(job(ID.format(1), steps, NORMAL, OTHER))
    stage = job_table.jobs_by_id[ID.format(1)].stage(0, 0)
    assign(stage, {0: "last"})
    stage.done[1] = 1
    assert stuck_work([stage]) == {NORMAL.priority: 100 * (2 * 2 + 2 + 1)}


def test_later_occurrences_are_no_backlog_and_not_stuck():
    one = job(ID.format(1), [step(label=RACK)], NORMAL, OTHER)
    one.occurrences, one.interval_ms = 3, 10
    stages = [job_table_of(one).jobs_by_id[one.id].stage(number, 0) for number in (1, 2)]
    assert stuck_work(stages) == {}


@pytest.mark.parametrize("work", [{0: 10**12}, {2: 10**12}])
def test_stuck_work_counts_up_to_its_priority_and_never_below_zero(work):
    controller = AdmissionController(job_table_of(*backlog()), lambda: 56)
    whole = controller.backlog_ms(0)
    assert controller.backlog_ms(0, work) == (0.0 if 0 in work else whole)


# ------------------------------------------------------------------ in the fleet


def test_callers_are_accepted_while_urgent_jobs_wait_for_a_full_runner():
    """Nine of nine urgent jobs of another team were refused with 11 of 12 runners empty."""

    async def scenario(fleet):
        await label_one_runner(fleet)
        wall_ms = int(fleet.clock.wall_ms())
        long = job(
            ID.format(100),
            [step(1, 8, label="lonely", estimate_ms=60_000)],
            run_ms=60_000,
            accepted_ms=wall_ms,
        )
        await fleet.submit(long, NORMAL, OTHER)
        for number in range(3):
            one = job(
                ID.format(number + 1),
                [step(8, 8, label="lonely", estimate_ms=30_000)],
                URGENT,
                OWNER,
                run_ms=30_000,
                accepted_ms=wall_ms,
            )
            await submit_until_accepted(fleet, one, URGENT, OWNER)
        for number in range(9):
            one = job(ID.format(number + 200), queue=URGENT, team=OTHER, accepted_ms=wall_ms)
            await submit_until_accepted(fleet, one, URGENT, OTHER)
        await fleet.wait_state(ID.format(208), "completed", 5_000)

    run_scenario(scenario)


def test_callers_are_accepted_while_one_urgent_task_runs_and_others_wait_for_its_runner():
    """The running task alone was a backlog beyond what a small job may wait."""

    async def scenario(fleet):
        await label_one_runner(fleet)
        wall_ms = int(fleet.clock.wall_ms())
        steps = [step(2, 8, label="lonely", estimate_ms=30_000)]
        first = job(ID.format(1), steps, URGENT, OWNER, run_ms=30_000, accepted_ms=wall_ms)
        await fleet.submit(first, URGENT, OWNER)
        await fleet.wait_until(lambda: starts(fleet.journal, first.id), 4_000, "a start")
        one = job(ID.format(2), queue=URGENT, team=OTHER, accepted_ms=wall_ms)
        one.steps[0].estimate_ms = 500
        await submit_until_accepted(fleet, one, URGENT, OTHER)
        await fleet.wait_state(one.id, "completed", 5_000)

    run_scenario(scenario)


async def label_one_runner(fleet):
    """Give one runner a label that no other has."""
    name = next(iter(fleet.runners_by_id))
    runner = fleet.runners_by_id[name]
    runner.listed.labels = frozenset({*runner.listed.labels, "lonely"})
    fleet.list(name)
    await fleet.clock.sleep_ms(500)


async def submit_until_accepted(fleet, one, queue, team, most_ms=2_500):
    """Submit a job, and again for a while if it is rejected."""
    until_ms = fleet.clock.now_ms() + most_ms
    while True:
        try:
            await fleet.submit(one, queue, team)
            return
        except NotAcceptedError:
            if fleet.clock.now_ms() > until_ms:
                raise
            await fleet.clock.sleep_ms(250)
