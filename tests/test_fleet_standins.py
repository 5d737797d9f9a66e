"""Tests of the fleet's stand-ins: the store's pages, links with limited bandwidth, the judge."""

import asyncio
import struct

import pytest
from aiohttp.test_utils import TestClient, TestServer
from fleet_builders import journal_of_calls
from test_adapters import AppServer

from carawayroute.clock import Clock
from carawayroute.fleet.exceptions import StoreUnansweredError
from carawayroute_standins.fleet import topics
from carawayroute_standins.fleet.bandwidth import Network
from carawayroute_standins.fleet.http import StoreServer
from carawayroute_standins.fleet.judge import find_violations
from carawayroute_standins.fleet.topics import TopicStore
from carawayroute_standins.virtual import run_virtual
from carawayrouted.platform.http import HttpPool
from carawayrouted.platform.store import HttpStore

TOPIC = "keyed.t"


def run_store(scenario):
    """Run a scenario with a store in virtual time."""

    async def run():
        clock = Clock()
        await scenario(TopicStore(clock, Network(clock, "south")))

    run_virtual(run())


def test_read_returns_whole_records_up_to_its_limit():
    async def scenario(store):
        for number in range(100):
            store.put(TOPIC, f"k{number:02}", bytes(4_000))
        client = store.client_for("n1")
        page = await client.read(TOPIC, 0, 0)
        assert (len(page.records), page.next_offset, page.end) == (24, 24, 100)
        page = await client.read(TOPIC, 24, 0, max_kb=8)
        assert [record.offset for record in page.records] == [24, 25]

    run_store(scenario)


def test_read_returns_a_record_above_its_limit_alone():
    async def scenario(store):
        store.put(TOPIC, "large", bytes(200_000))
        store.put(TOPIC, "small", b"v")
        page = await store.client_for("n1").read(TOPIC, 0, 0)
        assert [record.key for record in page.records] == ["large"]
        assert page.next_offset == 1

    run_store(scenario)


@pytest.mark.parametrize("records, size, pages", [(1_201, 10, 3), (30, 100_000, 4)])
def test_newest_records_come_in_pages(records, size, pages):
    async def scenario(store):
        for number in range(records):
            store.put(TOPIC, f"k{number:04}", bytes(size))
        found = await store.client_for("n1").newest(TOPIC)
        assert store.reads == pages
        assert [record.key for record in found.records] == [f"k{i:04}" for i in range(records)]

    run_store(scenario)


def test_pages_of_newest_records_are_not_a_snapshot():
    async def scenario(store):
        for number in range(501):
            store.put(TOPIC, f"k{number:03}", b"v")
        reading = asyncio.create_task(store.client_for("n1").newest(TOPIC))
        await store.clock.sleep_ms(topics.ANSWER_LATENCY_MS * 1.5)
        store.put(TOPIC, "a", b"behind the first page")
        store.put(TOPIC, "z", b"ahead of it")
        found = await reading
        keys = {record.key for record in found.records}
        assert ("a" in keys, "z" in keys) == (False, True)
        assert (found.next_offset, found.end) == (501, 501)

    run_store(scenario)


def test_instances_of_a_region_share_the_bandwidth_of_its_link():
    async def scenario(store):
        store.put(TOPIC, "k", bytes(30_000))
        store.network.region_by_instance.update(n2="north", n3="north")
        store.network.limit_region("north", 100)
        took_ms = {}

        async def read(name):
            started_ms = store.clock.now_ms()
            await store.client_for(name).read(TOPIC, 0, 0)
            took_ms[name] = store.clock.now_ms() - started_ms

        await read("n2")
        alone_ms = took_ms["n2"]
        await asyncio.gather(*(read(name) for name in ("n1", "n2", "n3")))
        assert took_ms["n1"] < 10 < 300 < alone_ms < 310
        assert 600 < max(took_ms["n2"], took_ms["n3"]) < 620

    run_store(scenario)


def test_answer_that_comes_too_late_is_lost_but_takes_up_the_link():
    async def scenario(store):
        store.put(TOPIC, "k", bytes(90_000))
        store.network.limit_instance("n1", 80)
        client = store.client_for("n1")
        started_ms = store.clock.now_ms()
        with pytest.raises(StoreUnansweredError):
            await client.read(TOPIC, 0, 0)
        assert store.clock.now_ms() - started_ms == pytest.approx(900, abs=1)
        await store.clock.sleep_ms(1_000)
        assert store.network.links_by_instance["n1"].carried_bytes > 90_000
        await client.read(TOPIC, 0, wait_ms=800)

    run_store(scenario)


def test_store_serves_pages_over_http():
    async def run():
        local = TopicStore(Clock())
        for number in range(600):
            local.put(TOPIC, f"k{number:03}", bytes(1_000))
        pool = HttpPool()
        try:
            async with AppServer(StoreServer(local.client_for("any")).app()) as site:
                client = HttpStore(pool, site.address)
                page = await client.read(TOPIC, 0, 0)
                assert (len(page.records), page.next_offset, page.end) == (97, 97, 600)
                found = await client.newest(TOPIC)
                assert [record.key for record in found.records] == [f"k{i:03}" for i in range(600)]
        finally:
            await pool.close()

    asyncio.run(run())


def test_read_over_http_begins_with_the_end_and_the_first_retained_offset():
    async def run():
        local = TopicStore(Clock())
        local.put(TOPIC, "a", b"v")
        local.compact(TOPIC)
        local.put(TOPIC, "b", b"v")
        async with TestClient(TestServer(StoreServer(local.client_for("any")).app())) as client:
            read = {"topic": TOPIC, "part": 0, "from": 1}
            answer = await (await client.get("/v1/log-read", params=read)).read()
            assert struct.unpack_from(">QQ", answer) == (2, 1)
            trimmed = await client.get("/v1/log-read", params={**read, "from": 0})
            assert (trimmed.status, await trimmed.json()) == (410, {"first": 1})

    asyncio.run(run())


def test_instance_without_an_answer_leaves_the_others_served():
    async def scenario(store):
        store.put(TOPIC, "k", b"v")
        store.unanswered_instances.add("n1")
        with pytest.raises(StoreUnansweredError):
            await store.client_for("n1").read(TOPIC, 0, 0)
        assert (await store.client_for("n2").read(TOPIC, 0, 0)).end == 1

    run_store(scenario)


@pytest.mark.parametrize(
    "calls, count",
    [
        ((("job_accepted", 0), ("job_denied", 3_000)), 0),
        ((("job_accepted", 0), ("job_denied", 3_001)), 1),
        ((("job_accepted", 0), ("job_accepted", 2_000), ("job_denied", 3_001)), 1),
        ((("job_accepted", 0), ("state_told", 3_001)), 0),
        ((("job_denied", 0), ("job_accepted", 1)), 0),
        ((("job_denied", 5_000),), 0),
    ],
)
def test_judge_finds_accepted_jobs_that_are_called_unknown(calls, count):
    assert len(find_violations(journal_of_calls(*calls))) == count
