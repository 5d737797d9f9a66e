"""Tests of lookups at an instance whose state is behind or not loaded."""

import asyncio

import pytest
from fleet_builders import (
    NORMAL,
    OWNER,
    job,
    large_job,
    run_scenario,
    runner_speeds_bytes,
    step,
)

from carawayroute.fleet.entry import NoSuchJobError, StateUnknownError
from carawayroute.fleet.jobs import SPEEDS_KEY
from carawayroute.fleet.node import JOBS_TOPIC
from carawayroute_standins.fleet.judge import VISIBLE_MS
from carawayroute_standins.fleet.topics import READ_PAGE_KB
from carawayroute_standins.fleet.world import CALLER_DEADLINE_MS, FleetWorld

ID = "00000000000000{:02x}"
NEVER_ACCEPTED = ID.format(99)
FAR = {"n3": "north"}
# A page takes 0.4 s over the slow link, within the store client's time limit, or 1.6 s over the
# congested one, beyond it.
SLOW_BYTES_PER_MS = 250
CONGESTED_BYTES_PER_MS = 60


def long_job(number: int = 1):
    """Return a job that runs for the whole test."""
    return job(ID.format(number), [step(estimate_ms=60_000)], run_ms=60_000)


def append_pages(fleet: FleetWorld, pages: float) -> None:
    """Append records to the jobs topic that take up so many pages of a read."""
    for _ in range(int(pages * 4)):
        fleet.store.put(JOBS_TOPIC, SPEEDS_KEY, runner_speeds_bytes(READ_PAGE_KB * 1_024 // 4))


async def submit_while_cut_off(fleet: FleetWorld, name: str) -> None:
    """Accept a job behind several pages of records while an instance reaches nobody."""
    fleet.store.refused_instances.add(name)
    fleet.unreachable_peers.add(name)
    append_pages(fleet, 3)
    await fleet.submit(long_job(), NORMAL, OWNER)
    await fleet.clock.sleep_ms(VISIBLE_MS + 1_000)
    fleet.store.refused_instances.discard(name)
    fleet.unreachable_peers.discard(name)


async def call_within_deadline(fleet: FleetWorld, call):
    """Return the result of a call and check that it was answered within the caller's deadline."""
    started_ms = fleet.clock.now_ms()
    try:
        return await call
    finally:
        assert fleet.clock.now_ms() - started_ms <= CALLER_DEADLINE_MS


def is_behind(fleet: FleetWorld, name: str) -> bool:
    """Return whether an instance has not read the jobs topic to its end."""
    return fleet.nodes_by_name[name].jobs_follower.offset < fleet.store.topic(JOBS_TOPIC).end


def test_instance_pages_behind_does_not_deny_an_accepted_job():
    async def scenario(fleet):
        await submit_while_cut_off(fleet, "n3")
        assert is_behind(fleet, "n3")
        state = await call_within_deadline(fleet, fleet.state(ID.format(1), at="n3"))
        assert state == "running"

    run_scenario(scenario)


def test_instance_pages_behind_cancels_an_accepted_job():
    async def scenario(fleet):
        await submit_while_cut_off(fleet, "n3")
        assert is_behind(fleet, "n3")
        await call_within_deadline(fleet, fleet.cancel(ID.format(1), at="n3"))
        await fleet.wait_state(ID.format(1), "cancelled", 2_000)

    run_scenario(scenario)


def test_instance_behind_does_not_deny_a_job_that_it_accepted():
    async def scenario(fleet):
        fleet.network.limit_instance("n3", SLOW_BYTES_PER_MS)
        append_pages(fleet, 25)
        await fleet.submit(long_job(), NORMAL, OWNER, at="n3")
        await fleet.clock.sleep_ms(VISIBLE_MS + 500)
        assert is_behind(fleet, "n3")
        state = await call_within_deadline(fleet, fleet.state(ID.format(1), at="n3"))
        assert state in ("queued", "running")

    run_scenario(scenario)


def test_instance_behind_that_reaches_no_peer_does_not_deny_an_accepted_job():
    async def scenario(fleet):
        fleet.network.limit_instance("n3", SLOW_BYTES_PER_MS)
        append_pages(fleet, 40)
        await fleet.submit(long_job(), NORMAL, OWNER)
        fleet.unreachable_peers.add("n3")
        await fleet.clock.sleep_ms(VISIBLE_MS + 500)
        assert is_behind(fleet, "n3")
        try:
            state = await call_within_deadline(fleet, fleet.state(ID.format(1), at="n3"))
        except StateUnknownError:
            return
        assert state == "running"

    run_scenario(scenario)


def test_instance_behind_a_congested_region_link_tells_the_state():
    async def scenario(fleet):
        fleet.network.limit_region("north", CONGESTED_BYTES_PER_MS)
        append_pages(fleet, 12)
        await fleet.submit(long_job(), NORMAL, OWNER)
        await fleet.clock.sleep_ms(VISIBLE_MS + 500)
        assert is_behind(fleet, "n3")
        state = await call_within_deadline(fleet, fleet.state(ID.format(1), at="n3"))
        assert state == "running"

    run_scenario(scenario, region_by_instance=FAR)


def test_starting_instance_behind_a_congested_region_link_tells_the_state():
    async def scenario(fleet):
        jobs = [large_job(ID.format(number)) for number in range(2, 82)]
        await asyncio.gather(*(fleet.submit(one, NORMAL, OWNER) for one in jobs))
        await fleet.submit(long_job(), NORMAL, OWNER)
        await fleet.clock.sleep_ms(VISIBLE_MS + 500)
        fleet.network.limit_region("north", CONGESTED_BYTES_PER_MS)
        starting = fleet.start_instance("n4")
        await fleet.clock.sleep_ms(1_000)
        state = await call_within_deadline(fleet, fleet.state(ID.format(1), at="n4"))
        assert not starting.jobs_follower.loaded.is_set()
        assert state == "running"

    run_scenario(scenario, region_by_instance={"n4": "north"})


def test_job_is_not_denied_while_the_store_is_silent():
    async def scenario(fleet):
        await fleet.submit(long_job(), NORMAL, OWNER)
        fleet.store.mode = "silent"
        for name in fleet.nodes_by_name:
            with pytest.raises(StateUnknownError):
                await call_within_deadline(fleet, fleet.state(NEVER_ACCEPTED, at=name))
        fleet.store.mode = "up"

    run_scenario(scenario)


def test_instance_that_never_read_the_state_answers_unknown_while_the_store_is_silent():
    async def scenario(fleet):
        fleet.store.mode = "silent"
        fleet.start_instance("n4")
        fleet.unreachable_peers.add("n4")
        with pytest.raises(StateUnknownError):
            await call_within_deadline(fleet, fleet.state(NEVER_ACCEPTED, at="n4"))
        fleet.store.mode = "up"

    run_scenario(scenario)


def test_job_that_was_never_accepted_is_denied_by_an_instance_pages_behind():
    async def scenario(fleet):
        await submit_while_cut_off(fleet, "n3")
        assert is_behind(fleet, "n3")
        with pytest.raises(NoSuchJobError):
            await call_within_deadline(fleet, fleet.state(NEVER_ACCEPTED, at="n3"))

    run_scenario(scenario)


def test_job_that_was_never_accepted_is_denied_behind_a_congested_region_link():
    async def scenario(fleet):
        fleet.network.limit_region("north", CONGESTED_BYTES_PER_MS)
        append_pages(fleet, 12)
        await fleet.clock.sleep_ms(VISIBLE_MS + 500)
        assert is_behind(fleet, "n3")
        with pytest.raises(NoSuchJobError):
            await call_within_deadline(fleet, fleet.state(NEVER_ACCEPTED, at="n3"))

    run_scenario(scenario, region_by_instance=FAR)


def test_job_is_not_denied_when_the_state_is_discarded_during_the_lookup():
    """An instance that stops planning loads the state again; the job's record was just read."""

    async def scenario(fleet):
        planner = fleet.planner_name()
        name = next(one for one in fleet.nodes_by_name if one != planner)
        fleet.unreachable_peers.update(fleet.nodes_by_name)
        fleet.store.answer_ms = 50
        await fleet.submit(long_job(), NORMAL, OWNER, at=planner)
        asked = asyncio.create_task(fleet.state(ID.format(1), at=name))
        await fleet.clock.sleep_ms(20)
        node = fleet.nodes_by_name[name]
        node.job_table.reset()
        await node.jobs_follower.reload()
        assert await asked in ("queued", "running")

    run_scenario(scenario)


def test_job_is_not_denied_while_the_state_is_loaded_again():
    """A job that is read between a reset of the state and the end of its load exists."""

    async def scenario(fleet):
        name = fleet.planner_name()
        planning = fleet.nodes_by_name[name]
        other = next(one for one in fleet.nodes_by_name if one != name)
        fleet.store.answer_ms = 100
        await fleet.submit(long_job(), NORMAL, OWNER, at=other)
        assert ID.format(1) not in planning.job_table.jobs_by_id
        telling = asyncio.create_task(fleet.state(ID.format(1), at=name))
        await fleet.clock.sleep_ms(20)
        planning.leadership.step_down(planning.leadership.term)
        assert await call_within_deadline(fleet, telling) in ("queued", "running")

    run_scenario(scenario)
