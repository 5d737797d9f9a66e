"""Tests of the state of known jobs at an instance that cannot read the store, in virtual time."""

import asyncio
import collections
import functools

import pytest
from fleet_builders import NORMAL, OWNER, job, run_scenario, step
from test_fleet_lookup import (
    CONGESTED_BYTES_PER_MS,
    FAR,
    append_pages,
    call_within_deadline,
    is_behind,
)

from carawayroute.fleet.jobs import CANCEL_KEY
from carawayroute.fleet.node import JOBS_TOPIC
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.fleet.judge import VISIBLE_MS
from carawayroute_standins.fleet.world import FleetWorld

ID = "00000000000000{:02x}"
RUN_MS = 2_000
# An instance that nobody can tell more answers within this time.
MOST_ANSWER_MS = 1_300


async def know_job(fleet: FleetWorld, name: str, run_ms: int = RUN_MS) -> None:
    """Accept a job and wait until an instance knows it as running."""
    await fleet.submit(
        job(ID.format(1), [step(estimate_ms=run_ms)], run_ms=run_ms), NORMAL, OWNER, at="n1"
    )
    table = fleet.nodes_by_name[name].job_table
    await fleet.wait_until(
        lambda: ID.format(1) in table.jobs_by_id and table.jobs_by_id[ID.format(1)].started,
        1_000,
        f"{name} knows the job as running",
    )


def congest(fleet: FleetWorld) -> None:
    """Leave the far region's link too little bandwidth for a page of the jobs topic."""
    fleet.network.limit_region("north", CONGESTED_BYTES_PER_MS)
    append_pages(fleet, 12)


async def end_while_congested(fleet: FleetWorld) -> None:
    """Let a job end that n3 knows as running while n3 cannot read that, and ask n1 for its end."""
    await know_job(fleet, "n3")
    congest(fleet)
    await fleet.wait_state(ID.format(1), "completed", RUN_MS + 1_000)
    await fleet.clock.sleep_ms(VISIBLE_MS)
    assert is_behind(fleet, "n3")
    assert not fleet.nodes_by_name["n3"].job_table.jobs_by_id[ID.format(1)].stored_end


def test_ended_job_is_not_told_as_running_by_an_instance_behind_a_congested_link():
    """It told `running` seconds after another instance had told `completed`."""

    async def scenario(fleet):
        await end_while_congested(fleet)
        assert await call_within_deadline(fleet, fleet.state(ID.format(1), at="n3")) == "completed"

    run_scenario(scenario, region_by_instance=FAR)


def test_started_job_is_not_told_as_queued_by_an_instance_that_cannot_read():
    async def scenario(fleet):
        fleet.nodes_by_name["n3"].jobs_follower.set_read_interval(3_000)
        await fleet.clock.sleep_ms(500)
        for runner in fleet.runners_by_id.values():
            runner.mode = "refusing"
        await fleet.submit(job(ID.format(1), run_ms=20_000), NORMAL, OWNER, at="n3")
        congest(fleet)
        for runner in fleet.runners_by_id.values():
            runner.mode = "up"
        await fleet.wait_state(ID.format(1), "running", 5_000)
        await fleet.clock.sleep_ms(VISIBLE_MS)
        assert is_behind(fleet, "n3")
        assert await call_within_deadline(fleet, fleet.state(ID.format(1), at="n3")) == "running"

    run_scenario(scenario, region_by_instance=FAR)


def test_end_that_an_instance_told_from_a_peer_does_not_turn_back():
    async def scenario(fleet):
        await end_while_congested(fleet)
        assert await fleet.state(ID.format(1), at="n3") == "completed"
        fleet.unreachable_peers.add("n3")
        assert is_behind(fleet, "n3")
        assert await call_within_deadline(fleet, fleet.state(ID.format(1), at="n3")) == "completed"

    run_scenario(scenario, region_by_instance=FAR)


def test_state_that_nobody_can_refresh_is_told_as_it_is_known():
    async def scenario(fleet):
        await know_job(fleet, "n3", run_ms=20_000)
        fleet.store.mode = "silent"
        await fleet.clock.sleep_ms(VISIBLE_MS)
        for name, node in fleet.nodes_by_name.items():
            started_ms = fleet.clock.now_ms()
            assert await fleet.state(ID.format(1), at=name) == "running"
            assert fleet.clock.now_ms() - started_ms <= MOST_ANSWER_MS
            assert sum(node.service.old_states_by_age.values()) == 1
        fleet.store.mode = "up"

    run_scenario(scenario, region_by_instance=FAR)


def test_old_state_of_a_peer_is_no_proof():
    """The peer that answers first cannot read the store either; another one can."""

    async def scenario(fleet):
        await know_job(fleet, "n3")
        await know_job(fleet, "n4")
        congest(fleet)
        await fleet.wait_state(ID.format(1), "completed", RUN_MS + 1_000)
        await fleet.clock.sleep_ms(VISIBLE_MS)
        assert is_behind(fleet, "n3") and is_behind(fleet, "n4")
        fleet.nodes_by_name["n3"].service._peer_lookup._candidates = lambda: ["n4", "n1"]
        assert await call_within_deadline(fleet, fleet.state(ID.format(1), at="n3")) == "completed"

    run_scenario(scenario, instances=4, region_by_instance={"n3": "north", "n4": "north"})


def test_old_state_of_a_peer_is_not_told_by_an_instance_that_does_not_know_the_job():
    async def scenario(fleet):
        await know_job(fleet, "n4")
        congest(fleet)
        await fleet.wait_state(ID.format(1), "completed", RUN_MS + 1_000)
        await fleet.clock.sleep_ms(VISIBLE_MS)
        node = fleet.nodes_by_name["n3"]
        node.job_table.forget(ID.format(1))
        asked = iter((["n4"], ["n4", "n2"]))
        node.service._peer_lookup._candidates = lambda: next(asked)
        assert await call_within_deadline(fleet, fleet.state(ID.format(1), at="n3")) == "completed"

    run_scenario(scenario, instances=4, region_by_instance={"n3": "north", "n4": "north"})


def test_cancellation_of_a_job_that_has_ended_elsewhere_is_not_stored():
    """The record contradicted the stored end for an instance that loaded the two."""

    async def scenario(fleet):
        await end_while_congested(fleet)
        await call_within_deadline(fleet, fleet.cancel(ID.format(1), at="n3"))
        assert CANCEL_KEY + ID.format(1) not in fleet.store.topic(JOBS_TOPIC).newest_by_key

    run_scenario(scenario, region_by_instance=FAR)


def test_cancelled_job_is_not_told_as_running_by_the_instance_that_cancelled_it():
    """It told `running` after its answer to the DELETE, until it had read its own record."""

    async def scenario(fleet):
        await know_job(fleet, "n3", run_ms=20_000)
        congest(fleet)
        await fleet.cancel(ID.format(1), at="n3")
        assert is_behind(fleet, "n3")
        assert await call_within_deadline(fleet, fleet.state(ID.format(1), at="n3")) == "cancelled"

    run_scenario(scenario, region_by_instance=FAR)


@pytest.mark.parametrize("cancelled_after_ms", range(290, 350, 10))
def test_cancellation_racing_with_the_end_has_one_end_everywhere(cancelled_after_ms):
    """No instance tells another end, or an earlier state after the end; one starts meanwhile."""

    async def scenario(fleet):
        told_by_name = collections.defaultdict(list)
        until_ms = fleet.clock.now_ms() + 1_500

        async def poll(name):
            while fleet.clock.now_ms() < until_ms:
                told_by_name[name].append(await fleet.state(ID.format(1), at=name))
                await fleet.clock.sleep_ms(7)

        await fleet.submit(job(ID.format(1), run_ms=300), NORMAL, OWNER, at="n1")
        polls = [asyncio.create_task(poll(name)) for name in fleet.nodes_by_name]
        await fleet.clock.sleep_ms(cancelled_after_ms)
        await fleet.cancel(ID.format(1), at="n3")
        fleet.start_instance("n9")
        await asyncio.gather(*polls, poll("n9"))
        ends = {told[-1] for told in told_by_name.values()}
        assert len(ends) == 1 and ends <= {"cancelled", "completed"}
        (end,) = ends
        for told in told_by_name.values():
            first = told.index(end)
            assert set(told[:first]) <= {"queued", "running"}
            assert set(told[first:]) == {end}

    run_scenario(scenario)


def test_states_on_a_calm_day_are_asked_of_no_peer():
    async def scenario(fleet):
        await know_job(fleet, "n3", run_ms=60_000)
        lookups = []

        async def serve_and_note(node, message):
            lookups.append(pb.StoreCall.FromString(message).kind == pb.StoreCall.LOOK_UP_JOB)
            return await type(node).serve_peer(node, message)

        for node in fleet.nodes_by_name.values():
            node.serve_peer = functools.partial(serve_and_note, node)
        reads_by_round = []
        for asked in ([], list(fleet.nodes_by_name)):
            reads_before = fleet.store.reads
            for _ in range(20):
                for name in asked:
                    assert await fleet.state(ID.format(1), at=name) == "running"
                await fleet.clock.sleep_ms(500)
            reads_by_round.append(fleet.store.reads - reads_before)
        # The instance that is asked, or the one that reads for it, and one read in progress there.
        assert reads_by_round[1] - reads_by_round[0] <= 2 * 20 * len(fleet.nodes_by_name)
        assert not any(lookups)
        for node in fleet.nodes_by_name.values():
            assert not node.service.state_lookups_by_evidence
            assert not node.service.old_states_by_age

    run_scenario(scenario, region_by_instance=FAR)


def test_job_is_told_by_a_planner_that_was_cut_off_and_discarded_its_progress():
    """It answered that nobody could tell, for a job that it knew as running."""

    async def scenario(fleet):
        planner = fleet.planner_name()
        await know_job(fleet, planner, run_ms=20_000)
        node = fleet.nodes_by_name[planner]
        fleet.store.refused_instances.add(planner)
        fleet.unreachable_peers.add(planner)
        await fleet.wait_until(
            lambda: node.planner is None and not node.jobs_follower.loaded.is_set(),
            10_000,
            "the planner's term is lost",
        )
        started_ms = fleet.clock.now_ms()
        assert await fleet.state(ID.format(1), at=planner) == "running"
        assert fleet.clock.now_ms() - started_ms <= MOST_ANSWER_MS

    run_scenario(scenario)
