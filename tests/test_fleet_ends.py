"""Tests that every instance tells the same end of a job, whenever it loaded the records."""

import itertools

from fleet_builders import NORMAL, OWNER, job, run_scenario, step
from test_fleet_world import end_task_while_planner_cannot_store

from carawayroute.fleet.jobs import CANCEL_KEY, JOB_KEY, PROGRESS_KEY, JobTable
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.fleet.judge import starts

ID = "00000000000000{:02x}"
CANCEL = pb.Cancel(entry="n3").SerializeToString()


async def told_ends(fleet, job_id: str) -> dict[str, str]:
    """Return a job's state as told by each instance, including one that loads the records now."""
    fleet.start_instance("n9")
    await fleet.wait_ready()
    return {name: await fleet.state(job_id, at=name) for name in fleet.nodes_by_name}


def test_cancellation_after_a_stored_failure_is_told_nowhere():
    """An instance that was started later told `cancelled`, the others `failed`."""

    async def scenario(fleet):
        failing = job(ID.format(1), [step(2, most_per_runner=1)], run_ms=20_000)
        failing.max_attempts = 1
        await fleet.submit(failing, NORMAL, OWNER)
        await fleet.wait_until(
            lambda: len(starts(fleet.journal, ID.format(1))) == 2, 1_000, "two starts"
        )
        planner = fleet.nodes_by_name[fleet.planner_name()]
        entry = next(node for node in fleet.nodes_by_name.values() if node is not planner)
        known = planner.job_table.jobs_by_id[ID.format(1)]
        # The second task is still being stopped when the failure of the first one is stored.
        fleet.runners_by_id[known.stage(0, 0).runners[0]].mode = "failing"
        while not known.stored_end:
            await fleet.clock.sleep_ms(1)
        assert known.stage(0, 0).placed()
        assert not entry.job_table.jobs_by_id[ID.format(1)].stored_end
        await entry.service.cancel(ID.format(1), 1_000)
        await fleet.clock.sleep_ms(3_000)
        told = await told_ends(fleet, ID.format(1))
        assert set(told.values()) == {"failed"}, told

    run_scenario(scenario)


def test_second_cancellation_after_an_end_that_came_too_late_changes_nothing():
    """An instance that was started later told `completed`, the others `cancelled`."""

    async def scenario(fleet):
        planner = await end_task_while_planner_cannot_store(fleet)
        other = next(name for name in fleet.nodes_by_name if name != planner)
        await fleet.cancel(ID.format(1), at=other)
        fleet.store.refused_instances.clear()
        fleet.unreachable_peers.clear()
        await fleet.clock.sleep_ms(1_500)
        assert fleet.planner_name() == planner
        # Written by an instance that is behind and knows neither the cancellation nor the end.
        await fleet.nodes_by_name[other].writer.write([(CANCEL_KEY + ID.format(1), CANCEL)])
        await fleet.clock.sleep_ms(500)
        told = await told_ends(fleet, ID.format(1))
        assert set(told.values()) == {"cancelled"}, told

    run_scenario(scenario)


def test_planner_that_takes_over_states_the_end_that_counts():
    """The planner that stored the end was stopped before it read the cancellation."""

    async def scenario(fleet):
        planner = await end_task_while_planner_cannot_store(fleet)
        other = next(name for name in fleet.nodes_by_name if name != planner)
        await fleet.cancel(ID.format(1), at=other)
        node = fleet.nodes_by_name[planner]
        node.planner.state_first_end = lambda job: None
        fleet.store.refused_instances.clear()
        fleet.unreachable_peers.clear()
        await fleet.clock.sleep_ms(1_500)
        await fleet.nodes_by_name[other].writer.write([(CANCEL_KEY + ID.format(1), CANCEL)])
        await fleet.kill_instance(planner)
        await fleet.wait_ready()
        await fleet.clock.sleep_ms(500)
        told = await told_ends(fleet, ID.format(1))
        assert set(told.values()) == {"cancelled"}, told

    run_scenario(scenario)


def test_stated_end_counts_whatever_the_order_of_records():
    """A page of newest records does not show which end was stored first."""
    one = job(ID.format(1))
    for stated, end in ((pb.Progress.FAILED, "failed"), (pb.Progress.CANCELLED, "cancelled")):
        for cancel_offset in (2, 4):
            progress = pb.Progress(ended=True, failed=True, term=1, first_end=stated)
            records = [
                (1, JOB_KEY + one.id, one.SerializeToString()),
                (3, PROGRESS_KEY + one.id, progress.SerializeToString()),
                (cancel_offset, CANCEL_KEY + one.id, CANCEL),
            ]
            for shuffled in itertools.permutations(records):
                job_table = JobTable()
                for record in shuffled:
                    job_table.apply(*record, 0.0)
                found = job_table.jobs_by_id[one.id]
                assert (found.reported_state, found.closed) == (end, True)


def test_cancellation_at_an_instance_that_is_behind_is_not_told_over_an_earlier_end():
    """The instance told `cancelled` until it read that the job had been completed before."""

    async def scenario(fleet):
        await fleet.submit(job(ID.format(1), run_ms=1_000), NORMAL, OWNER)
        await fleet.clock.sleep_ms(600)
        planner = fleet.nodes_by_name[fleet.planner_name()]
        entry = next(node for node in fleet.nodes_by_name.values() if node is not planner)
        known = planner.job_table.jobs_by_id[ID.format(1)]
        entry.jobs_follower.set_read_interval(3_000)
        await fleet.clock.sleep_ms(1)
        while not known.stored_end:
            await fleet.clock.sleep_ms(1)
        await entry.service.cancel(ID.format(1), 1_000)
        told = await entry.service.state(ID.format(1), 1_000)
        assert told == known.reported_state == "completed"

    run_scenario(scenario)
