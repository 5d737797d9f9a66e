"""Tests of instances that start together and load the newest records, in virtual time."""

import asyncio

import pytest
from fleet_builders import NORMAL, OWNER, job, large_job, run_scenario, step
from region_builders import REGION

from carawayroute.fleet.jobs import JOB_KEY, PROGRESS_KEY
from carawayroute.fleet.node import JOBS_TOPIC
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.fleet.world import FleetWorld

ID = "00000000000000{:02x}"
OLD_ID = "{:016x}"
LINK_BYTES_PER_MS = 1_800
# With specs of 4,000 bytes, 2 MB of newest records.
OLD_JOBS = 500
FAR = tuple(f"n{number}" for number in range(4, 14))
# The records cross the link once, in 1.5 s, and each instance's tail of the topic after that.
MOST_LOAD_MS = 4_000


def store_old_jobs(fleet: FleetWorld) -> None:
    """Store jobs that have ended."""
    ended = pb.Progress(ended=True, completed=True, term=1).SerializeToString()
    for number in range(OLD_JOBS):
        job_id = OLD_ID.format(1_000 + number)
        fleet.store.put(JOBS_TOPIC, JOB_KEY + job_id, large_job(job_id).SerializeToString())
        fleet.store.put(JOBS_TOPIC, PROGRESS_KEY + job_id, ended)


async def restart_region(fleet: FleetWorld, gone: tuple[str, ...] = ()) -> None:
    """Stop the far region's instances and start them again, but for those that are gone."""
    for name in FAR:
        await fleet.kill_instance(name)
    await fleet.clock.sleep_ms(500)
    for name in FAR:
        if name not in gone:
            fleet.start_instance(name)


async def wait_loaded(fleet: FleetWorld, most_ms: float) -> None:
    """Wait until all instances have loaded the jobs and are ready."""
    await fleet.wait_until(
        lambda: all(not node.not_ready() for node in fleet.nodes_by_name.values()),
        most_ms,
        "all instances are ready",
    )


def run_region(scenario):
    """Run a scenario on a fleet whose far region has ten instances behind a small link."""

    async def prepared(fleet):
        store_old_jobs(fleet)
        await fleet.clock.sleep_ms(3_000)
        fleet.network.limit_region(REGION, LINK_BYTES_PER_MS)
        await scenario(fleet)

    run_scenario(prepared, instances=13, region_by_instance=dict.fromkeys(FAR, REGION))


def test_region_that_starts_as_a_whole_is_soon_ready():
    """Each instance loaded the newest records over the one link, which took 16 s."""

    async def scenario(fleet):
        await restart_region(fleet)
        await wait_loaded(fleet, MOST_LOAD_MS)

    run_region(scenario)


@pytest.mark.parametrize("gone", [("n4",), ("n4", "n5")])
def test_region_that_starts_without_its_first_readers_is_soon_ready(gone):
    async def scenario(fleet):
        # All have the same rank but for their names: n10 to n13 come first.
        names = sorted(FAR)[: len(gone)]
        await restart_region(fleet, tuple(names))
        await wait_loaded(fleet, 2 * MOST_LOAD_MS)

    run_region(scenario)


def test_region_is_loaded_from_the_store_while_its_reader_hangs():
    """The reader answers nobody, and its own load never ends."""

    async def scenario(fleet):
        await restart_region(fleet)
        reader = min(FAR)
        fleet.store.unanswered_instances.add(reader)
        fleet.unreachable_peers.add(reader)
        others = [one for one in fleet.nodes_by_name if one != reader]
        await fleet.wait_until(
            lambda: all(not fleet.nodes_by_name[one].not_ready() for one in others),
            2 * MOST_LOAD_MS,
            "the others are ready",
        )
        fleet.store.unanswered_instances.clear()
        fleet.unreachable_peers.clear()

    run_region(scenario)


def test_load_through_a_peer_denies_and_regresses_no_job():
    """Jobs that are accepted, started and ended while a region loads."""

    async def scenario(fleet):
        await restart_region(fleet)
        for number in range(1, 40):
            one = job(ID.format(number), [step(estimate_ms=100)], run_ms=100)
            await fleet.submit(one, NORMAL, OWNER, at="n1")
            await fleet.clock.sleep_ms(100)
            ended = {}
            for earlier in range(max(1, number - 8), number + 1):
                job_id = ID.format(earlier)
                if await fleet.state(job_id, at="n1") == "completed":
                    ended[job_id] = "completed"
            asked = [(job_id, name) for job_id in ended for name in FAR]
            told = await asyncio.gather(*(fleet.state(*one) for one in asked))
            assert set(told) <= {"completed"}
        for number in range(OLD_JOBS):
            assert await fleet.state(OLD_ID.format(1_000 + number), at="n5") == "completed"

    run_region(scenario)
