"""Odd records in the topic of jobs harm neither other jobs nor the planner."""

import pytest
from fleet_builders import NORMAL, OWNER, URGENT, job, run_scenario, step
from odd_record_builders import (
    OTHER_ID,
    UNREADABLE,
    odd_job_records,
    odd_jobs,
    odd_lost_runners,
    odd_members,
    odd_progress,
    odd_speeds,
)
from structlog.testing import capture_logs

from carawayroute.fleet.entry import StateUnknownError
from carawayroute.fleet.jobs import CANCEL_KEY, JOB_KEY, PROGRESS_KEY, JobTable, RecordError
from carawayroute.fleet.speeds import RunnerSpeeds
from carawayroute_schema import records_pb2 as pb

ID = "00000000000000{:02x}"
JOBS = "keyed.jobs"


def unapplied(lines: list) -> list[str]:
    """Return the keys of the records that were logged at level error as not applied."""
    return [
        line["key"]
        for line in lines
        if line["event"] == "record_unreadable" and line["log_level"] == "error"
    ]


async def change_planner(fleet) -> None:
    """Kill the planner and wait for the next one."""
    planner = fleet.planner_name()
    await fleet.kill_instance(planner)
    await fleet.wait_until(
        lambda: fleet.planner_name() not in ("", planner), 5_000, "another instance plans"
    )


@pytest.mark.parametrize("record", odd_job_records())
def test_jobs_complete_beside_an_odd_record_also_with_the_next_planner(record):
    """A job whose step depends on itself, for example, ended each planner in turn."""

    async def scenario(fleet):
        term = fleet.nodes_by_name[fleet.planner_name()].planner_term()
        fleet.store.put(JOBS, *record)
        fleet.store.put(JOBS, *record)
        await fleet.clock.sleep_ms(600)
        await fleet.submit(job(ID.format(1), [step(4)], queue=URGENT), URGENT, OWNER)
        await fleet.wait_state(ID.format(1), "completed", 2_500)
        assert fleet.nodes_by_name[fleet.planner_name()].planner_term() == term
        await change_planner(fleet)
        await fleet.submit(job(ID.format(2), [step(4)], queue=URGENT), URGENT, OWNER)
        await fleet.wait_state(ID.format(2), "completed", 2_500)
        for node in fleet.nodes_by_name.values():
            assert node.not_ready() == ""

    run_scenario(scenario)


@pytest.mark.parametrize("value", [*(one.SerializeToString() for one in odd_jobs()), UNREADABLE])
def test_unreadable_job_is_logged_counted_and_not_denied(value):
    """An instance that could not read an accepted job's record answered 410 for it."""

    async def scenario(fleet):
        with capture_logs() as lines:
            fleet.store.put(JOBS, JOB_KEY + OTHER_ID, value)
            await fleet.clock.sleep_ms(600)
        assert unapplied(lines) == [JOB_KEY + OTHER_ID] * 3
        for name, node in fleet.nodes_by_name.items():
            assert node.unapplied_by_kind == {"job": 1}
            with pytest.raises(StateUnknownError):
                await fleet.state(OTHER_ID, at=name)
        # The caller's next attempt stores it again.
        await fleet.submit(job(OTHER_ID), NORMAL, OWNER)
        await fleet.wait_state(OTHER_ID, "completed", 3_000)

    run_scenario(scenario)


@pytest.mark.parametrize("progress", odd_progress())
def test_progress_that_does_not_match_its_job_is_not_applied_in_part(progress):
    """The steps before the one that failed were applied, and the job counted as failed."""
    table = JobTable()
    accepted = job(ID.format(1))
    table.apply(0, JOB_KEY + accepted.id, accepted.SerializeToString(), 0.0)
    with pytest.raises(RecordError):
        table.apply(1, PROGRESS_KEY + accepted.id, progress.SerializeToString(), 0.0)
    found = table.jobs_by_id[accepted.id]
    assert (found.state, found.stages_by_key) == ("queued", {})


@pytest.mark.parametrize("progress", odd_progress())
def test_early_progress_that_does_not_match_keeps_the_job_and_its_cancellation(progress):
    table = JobTable()
    accepted = job(ID.format(1))
    table.apply(1, PROGRESS_KEY + accepted.id, progress.SerializeToString(), 0.0)
    table.apply(2, CANCEL_KEY + accepted.id, pb.Cancel(entry="n1").SerializeToString(), 0.0)
    with pytest.raises(RecordError, match="p/"):
        table.apply(0, JOB_KEY + accepted.id, accepted.SerializeToString(), 0.0)
    assert table.jobs_by_id[accepted.id].state == "cancelled"


@pytest.mark.parametrize("kind", [PROGRESS_KEY, CANCEL_KEY])
def test_unreadable_record_of_a_running_job_is_logged_and_counted(kind):
    """At the planner DecodeError ended the follower of the jobs."""

    async def scenario(fleet):
        await fleet.submit(job(ID.format(1), run_ms=1_500), NORMAL, OWNER)
        await fleet.wait_state(ID.format(1), "running", 1_000)
        await fleet.clock.sleep_ms(500)
        with capture_logs() as lines:
            fleet.store.put(JOBS, kind + ID.format(1), UNREADABLE)
            await fleet.clock.sleep_ms(600)
        expected = [kind + ID.format(1)] * 3
        # What a cancellation contains does not matter.
        assert unapplied(lines) == (expected if kind == PROGRESS_KEY else [])
        state = "completed" if kind == PROGRESS_KEY else "cancelled"
        await fleet.wait_state(ID.format(1), state, 3_000)

    run_scenario(scenario)


def test_records_of_unknown_jobs_and_kinds_take_no_more_memory_with_each():
    table = JobTable()
    for offset in range(100):
        table.apply(offset, PROGRESS_KEY + OTHER_ID, UNREADABLE, 0.0)
        with pytest.raises(RecordError):
            table.apply(100 + offset, "q/" + OTHER_ID, UNREADABLE, 0.0)
    assert table.early_records == 1
    table.apply(300, PROGRESS_KEY + OTHER_ID, b"", 0.0)
    assert table.early_records == 0


@pytest.mark.parametrize("value", odd_speeds())
def test_odd_speeds_leave_all_speeds_finite(value):
    """A logarithm out of range made the speed of a runner an OverflowError in each pass."""
    speeds = RunnerSpeeds()
    try:
        speeds.load(pb.RunnerSpeeds.FromString(value))
    except Exception as error:
        assert type(error).__name__ in ("ValueError", "DecodeError")
        assert speeds.speed("w1") == 1.0
    for name in ("w1", "w2"):
        assert 0.2 < speeds.speed(name) < 5.0


@pytest.mark.parametrize(("name", "member"), odd_members())
def test_odd_member_is_not_used_and_the_announced_one_stays(name, member):
    async def scenario(fleet):
        usual = pb.Member(instance="n9", address="n9", region="south", data_centre="south-a")
        fleet.store.put(JOBS, "m/n9", usual.SerializeToString())
        await fleet.clock.sleep_ms(600)
        fleet.store.put(JOBS, "m/" + name, member.SerializeToString())
        await fleet.clock.sleep_ms(600)
        for node in fleet.nodes_by_name.values():
            assert node.store.addresses == {"n1", "n2", "n3", "n9"}
            assert node.unapplied_by_kind == {"member": 1}

    run_scenario(scenario)


def test_odd_lost_runners_are_left_out_and_the_others_loaded():
    async def scenario(fleet):
        planner = fleet.nodes_by_name[fleet.planner_name()].planner
        usual = pb.LostRunner(id="w7", address="127.0.0.1:9000")
        planner.load_lost_runners(pb.LostRunners(runners=[*odd_lost_runners(), usual]))
        assert list(planner._lost_runners) == ["w7"]

    run_scenario(scenario)
