"""Tests that a run which a report has no room for is not taken as missing from it."""

import json

import pytest
from fleet_builders import NORMAL, OWNER, job, run_scenario, step

from carawayroute_standins.fleet.judge import starts
from carawayrouted.platform.runners import decode_report

ID = "00000000000000{:02x}"
JOB = ID.format(1)
LEASE_MS = 6_000
ONE_RUNNER = {"racks": 1, "runners_per_rack": 1}


def limit_reports(fleet, most):
    """Let the reports of all runners list a few ends only."""
    for runner in fleet.runners_by_id.values():
        runner.most_listed_ends = most


def planner_of(fleet):
    """Return the planner."""
    return fleet.nodes_by_name[fleet.planner_name()].planner


async def submit_small_tasks(fleet, count, run_ms):
    """Start a job of tasks that end at the same time."""
    small = step(count, 0, cpu_millis=100, memory_mb=100)
    await fleet.submit(job(JOB, [small], run_ms=run_ms), NORMAL, OWNER)
    await fleet.wait_until(
        lambda: len(starts(fleet.journal, JOB)) == count, 4_000, "the start of all tasks"
    )


async def assert_ran_once(fleet, count):
    """Wait until the job is completed and check that each task ran once and its end was noted."""
    await fleet.wait_state(JOB, "completed", 15_000)
    await fleet.clock.sleep_ms(2_000)
    assert len(starts(fleet.journal, JOB)) == count
    assert len(fleet.journal.all("end_acknowledged")) == count
    assert not planner_of(fleet).given_up_by_evidence


@pytest.mark.parametrize("mode", ["refusing", "silent"])
@pytest.mark.parametrize("options", [ONE_RUNNER, {}], ids=["one runner", "several runners"])
def test_tasks_that_end_in_an_outage_beyond_what_a_report_lists_run_once(mode, options):
    """Ends that a report had no room for were taken as lost, their tasks started again (TWICE)."""

    async def scenario(fleet):
        limit_reports(fleet, 5)
        await submit_small_tasks(fleet, 40, 4_000)
        fleet.store.mode = mode
        await fleet.clock.sleep_ms(7_000)
        fleet.store.mode = "up"
        await assert_ran_once(fleet, 40)

    run_scenario(scenario, max_lease_ms=LEASE_MS, **options)


def test_600_tasks_that_end_in_an_outage_run_once():
    """The reports of the platform's runners list 500 ends."""

    async def scenario(fleet):
        await submit_small_tasks(fleet, 600, 4_000)
        fleet.store.mode = "refusing"
        await fleet.clock.sleep_ms(3_900)
        fleet.store.mode = "up"
        await assert_ran_once(fleet, 600)

    run_scenario(scenario, **ONE_RUNNER)


@pytest.mark.parametrize("outage", [False, True], ids=["store up", "store away"])
@pytest.mark.parametrize("after_ms", [100, 700, 1_500])
def test_next_planner_waits_for_ends_beyond_what_a_report_lists(outage, after_ms):
    """The next planner takes what its first report lacks as lost, also while the store answers."""

    async def scenario(fleet):
        limit_reports(fleet, 5)
        await submit_small_tasks(fleet, 40, 4_000)
        if outage:
            fleet.store.mode = "refusing"
        left_ms = 4_000 - fleet.clock.now_ms() % 1
        await fleet.clock.sleep_ms(left_ms - 1_000 + after_ms)
        await fleet.kill_instance(fleet.planner_name())
        await fleet.clock.sleep_ms(2_500)
        fleet.store.mode = "up"
        await assert_ran_once(fleet, 40)

    run_scenario(scenario, instances=4, **ONE_RUNNER)


def test_stopped_tasks_are_not_given_up_in_a_report_that_was_cut_off():
    """Their runners' capacity would be given out while the ends are not known."""

    async def scenario(fleet):
        limit_reports(fleet, 3)
        await submit_small_tasks(fleet, 20, 60_000)
        fleet.store.mode = "refusing"
        await fleet.clock.sleep_ms(500)
        planner = planner_of(fleet)
        planner._withdraw_all(list(planner.runs_by_key)[:10], "preempted")
        await fleet.clock.sleep_ms(3_000)
        assert not planner.given_up_by_evidence
        # The first three ends are known, the others take up room.
        assert sum(run == 1 for _, run in planner.runs_by_key) == 17
        fleet.store.mode = "up"
        await fleet.clock.sleep_ms(1_500)
        assert not planner.given_up_by_evidence
        assert planner.job_table.jobs_by_id[JOB].stage(0, 0).runs.count(2) == 10

    run_scenario(scenario, **ONE_RUNNER)


def test_run_that_no_later_report_can_list_is_given_up():
    """Behind an end that must not be acknowledged, the ends that follow are never all listed."""

    async def scenario(fleet):
        limit_reports(fleet, 5)
        await submit_small_tasks(fleet, 12, 4_000)
        planner = planner_of(fleet)
        (busy,) = {run.runner for run in planner.runs_by_key.values()}
        planner.links_by_id[busy].withhold(2)
        await fleet.wait_state(JOB, "completed", 15_000)
        assert planner.given_up_by_evidence == {"missing from report": 6}
        assert len(starts(fleet.journal, JOB)) == 18
        # None of those ends is noted, now or later.
        await fleet.clock.sleep_ms(2_000)
        assert len(fleet.runners_by_id[busy]._ended) == 11

    run_scenario(scenario)


def test_runner_whose_ends_may_outgrow_its_reports_gets_no_unrecorded_start():
    """The next planner could not find such a start at the runner."""

    async def scenario(fleet):
        await submit_small_tasks(fleet, 401, 6_000)
        planner = planner_of(fleet)
        (busy,) = {run.runner for run in planner.runs_by_key.values()}
        idle = next(one for one in fleet.runners_by_id if one != busy)
        assert planner._allows_unrecorded_starts(idle)
        assert not planner._allows_unrecorded_starts(busy)

    run_scenario(scenario)


def test_next_planner_looks_for_unrecorded_starts_until_a_report_lists_all_ends():
    """TWICE: a run without a record that ended beyond the list counted as never started."""

    async def scenario(fleet):
        limit_reports(fleet, 1)
        first, later = (job(ID.format(n), [step(1, 8)], run_ms=3_000) for n in (2, 3))
        await fleet.submit(first, NORMAL, OWNER)
        await fleet.wait_until(lambda: starts(fleet.journal, first.id), 1_000, "a start")
        await submit_small_tasks(fleet, 40, 3_000)
        await fleet.submit(later, NORMAL, OWNER)
        await fleet.clock.sleep_ms(1_000)
        fleet.store.mode = "refusing"
        await fleet.wait_until(lambda: starts(fleet.journal, later.id), 5_000, "a start")
        await fleet.clock.sleep_ms(3_500)
        await fleet.kill_instance(fleet.planner_name())
        await fleet.clock.sleep_ms(500)
        fleet.store.mode = "up"
        await fleet.wait_state(later.id, "completed", 15_000)
        assert len(starts(fleet.journal, later.id)) == 1

    run_scenario(scenario, instances=4, max_lease_ms=LEASE_MS, **ONE_RUNNER)


@pytest.mark.parametrize("count", [0, 1, 499, 500])
def test_full_list_of_ends_counts_as_cut_off(count):
    ends = [[number + 1, f"{JOB}.0.0.{number}", 1, "done", ""] for number in range(count)]
    body = json.dumps({"clock_ms": 1, "born": 1, "running": [], "finished": ends}).encode()
    assert decode_report(body).lists_all_ends == (count < 500)
