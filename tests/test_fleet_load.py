"""Tests of instances that start together and load the newest records, in virtual time."""

import asyncio

import pytest
from fleet_builders import NORMAL, OWNER, job, large_job, run_scenario, step
from region_builders import REGION
from shared_read_builders import member

from carawayroute.clock import Clock
from carawayroute.fleet.jobs import JOB_KEY, PROGRESS_KEY
from carawayroute.fleet.node import JOBS_TOPIC
from carawayroute.fleet.shared_load import KEEP_MS, SharedLoad
from carawayroute.fleet.shared_reader import ReaderChoice
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.fleet.peers import InMemoryPeers
from carawayroute_standins.fleet.topics import TopicStore
from carawayroute_standins.fleet.world import FleetWorld
from carawayroute_standins.virtual import run_virtual

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


class LoadingInstance:
    """An instance that loads a topic and serves its load to peers.

    :ivar plans: whether the instance is the planner.
    """

    def __init__(self, name, store, instances_by_name):
        own = member(name)
        self.plans = False
        self.client = store.client_for(name)
        self.choice = ReaderChoice(own, store.clock)
        peers = InMemoryPeers(name, store.clock, store.network, instances_by_name, set())
        self.load = SharedLoad(
            self.client,
            peers,
            store.clock,
            self.choice,
            lambda: self.plans,
            lambda: "",
            lambda: False,
        )
        self.load.members_known.set()

    async def serve_peer(self, message):
        return (await self.load.serve(pb.StoreCall.FromString(message))).SerializeToString()


def run_two(scenario):
    """Run a scenario on two instances of a data centre, the first of which ranks first."""

    async def run():
        store = TopicStore(Clock())
        for number in range(100):
            store.put(JOBS_TOPIC, f"k{number:03}", bytes(4_000))
        instances_by_name = {}
        for name in ("n1", "n2"):
            instances_by_name[name] = LoadingInstance(name, store, instances_by_name)
        instances_by_name["n2"].choice.set_member(member("n1"))
        await scenario(store, *instances_by_name.values())

    run_virtual(run())


def test_load_of_several_parts_is_complete_as_of_its_offset():
    async def scenario(store, n1, n2):
        await n1.load.newest(JOBS_TOPIC)
        await store.clock.sleep_ms(2_000)
        store.put(JOBS_TOPIC, "later", b"v")
        page = await n2.load.newest(JOBS_TOPIC)
        assert n2.client.reads == 0 and n1.load.served > 1
        assert [record.offset for record in page.records] == list(range(100))
        assert page.next_offset == 100
        assert 2_000 <= page.age_ms <= 2_100

    run_two(scenario)


def test_load_of_an_instance_that_plans_before_it_has_loaded_is_served():
    """Its peers waited 5 s for it, as it never counted as loaded."""

    async def scenario(store, n1, n2):
        n1.plans = True
        await n1.load.newest(JOBS_TOPIC)
        assert n1.client.reads == 1
        started_ms = store.clock.now_ms()
        assert len((await n2.load.newest(JOBS_TOPIC)).records) == 100
        assert n2.client.reads == 0
        assert store.clock.now_ms() - started_ms < 1_000

    run_two(scenario)


def test_load_is_kept_for_a_while_only():
    async def scenario(store, n1, n2):
        await n1.load.newest(JOBS_TOPIC)
        await store.clock.sleep_ms(KEEP_MS + 1)
        assert len((await n2.load.newest(JOBS_TOPIC)).records) == 100
        assert n2.client.reads == 1 and n1.load.served == 0
        # The reader serves reads as before.
        assert n2.choice.reader("").instance == "n1"

    run_two(scenario)


def test_load_of_a_peer_that_loads_anew_between_two_parts_is_not_used():
    async def scenario(store, n1, n2):
        await n1.load.newest(JOBS_TOPIC)
        serve = n1.load.serve

        async def serve_and_load_anew(call):
            answer = await serve(call)
            answer.offset += call.offset
            return answer

        n1.load.serve = serve_and_load_anew
        page = await n2.load.newest(JOBS_TOPIC)
        assert page.next_offset == 100 and page.age_ms == 0
        assert n2.client.reads == 1

    run_two(scenario)
