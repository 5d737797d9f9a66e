"""Tests of the topic's one reader for each data centre, in virtual time."""

import asyncio
import random

import pytest
from fleet_builders import NORMAL, OWNER, job, world
from shared_read_builders import TOPIC, DataCentre, member

from carawayroute.clock import ManualClock
from carawayroute.fleet.node import MAX_READY_LAG_MS
from carawayroute.fleet.ports import KeyedRecord, RecordPage
from carawayroute.fleet.shared_reader import (
    DRAINING,
    FIRST_RETRY_MS,
    MAX_RETRY_MS,
    NOT_READER,
    UNCACHED,
    UNREACHED,
    ReaderChoice,
    RecordCache,
)
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.virtual import run_virtual

# Ten instances that each read the topic would need half as much again as their link carries. A page
# takes 550 ms if ten read at the same time, and more than the time limit of a read if thirty do.
TOPIC_BYTES_PER_MS = 273
LINK_BYTES_PER_MS = 1_790
LARGE_RECORD_BYTES = 24_000


def run_scenario(scenario, seed=1, **options):
    """Run a scenario in a data centre whose instances have loaded the topic."""

    async def run():
        centre = DataCentre(**options)
        try:
            centre.append(10)
            centre.start()
            await centre.clock.sleep_ms(2_000)
            await scenario(centre, *centre.instances_by_name.values())
        finally:
            await centre.close()

    run_virtual(run(), seed)


def page_of(*offsets):
    """Return a page of records."""
    records = [KeyedRecord(offset, f"k{offset}", b"v") for offset in offsets]
    return RecordPage(records, offsets[-1] + 1, offsets[-1] + 1)


def shared_read(offset, wait_ms=0, topic=TOPIC):
    """Return a peer's call."""
    return pb.StoreCall(kind=pb.StoreCall.SHARED_READ, topic=topic, offset=offset, wait_ms=wait_ms)


# ---------------------------------------------------------------------- cache


def offsets_from(cache, offset, **options):
    """Return the offsets of the cached records from an offset on."""
    return [record.offset for record in cache.records_from(offset, **options)]


def test_cache_ignores_records_that_it_has():
    cache = RecordCache()
    cache.add(5, page_of(5, 6, 7))
    cache.add(6, page_of(6, 7, 8))
    assert offsets_from(cache, 5) == [5, 6, 7, 8]


def test_cache_restarts_after_a_gap():
    cache = RecordCache()
    cache.add(5, page_of(5, 6))
    cache.add(9, page_of(9, 10))
    assert not cache.covers(5)
    assert offsets_from(cache, 9) == [9, 10]


def test_cache_restarts_after_an_empty_page_behind_a_gap():
    cache = RecordCache()
    cache.add(5, page_of(5, 6))
    cache.add(9, RecordPage([], 9, 9))
    assert not cache.covers(5)
    assert cache.covers(9)


def test_empty_cache_covers_nothing():
    cache = RecordCache()
    assert not cache.covers(0)
    cache.add(3, page_of(3))
    cache.clear()
    assert not cache.covers(3)


def test_cache_drops_the_oldest_records_above_its_limit():
    cache = RecordCache(max_bytes=200)
    for offset in range(100):
        cache.add(offset, page_of(offset))
    assert not cache.covers(0)
    assert cache.covers(cache.first)
    assert len(cache) == cache.next_offset - cache.first < 12
    assert offsets_from(cache, 99) == [99]


def test_cached_page_is_limited_but_never_empty():
    cache = RecordCache()
    cache.add(0, page_of(*range(100)))
    assert len(offsets_from(cache, 0, max_bytes=200)) < 12
    assert offsets_from(cache, 7, max_bytes=1) == [7]


@pytest.mark.parametrize("seed", range(20))
def test_cache_is_contiguous_after_random_pages(seed):
    draw = random.Random(seed)
    cache = RecordCache(max_bytes=600)
    for _ in range(300):
        start = max(0, cache.next_offset + draw.choice((-3, -1, 0, 0, 0, 0, 2)))
        cache.add(start, page_of(*range(start, start + draw.randint(1, 6))))
        assert offsets_from(cache, cache.first) == list(range(cache.first, cache.next_offset))
        assert cache.next_offset >= start


# ---------------------------------------------------------------------- choice of the reader


def choice_of(own, *members):
    """Return the choice of an instance that knows some members, and its clock."""
    clock = ManualClock(1.0)
    choice = ReaderChoice(own, clock)
    for one in members:
        choice.set_member(one)
    return choice, clock


def name_of(reader):
    """Return a reader's name, ``None`` for the instance itself."""
    return reader.instance if reader is not None else None


def test_fastest_member_of_the_data_centre_is_the_reader():
    slow, fast, cores, far = (
        member("b", 10.0),
        member("c", 100.0, cores=1.0),
        member("d", 100.0, cores=2.0),
        member("a", 1_000.0, data_centre="other"),
    )
    everyone = (slow, fast, cores, far)
    assert name_of(choice_of(slow, *everyone)[0].reader("")) == "d"
    assert name_of(choice_of(fast, *everyone)[0].reader("")) == "d"
    assert name_of(choice_of(cores, *everyone)[0].reader("")) is None


def test_planner_is_not_asked_to_read():
    choice, _ = choice_of(member("c"), member("a"), member("b"))
    assert name_of(choice.reader("a")) == "b"


def test_failed_member_is_excluded_for_a_doubling_time():
    choice, clock = choice_of(member("c"), member("a"), member("b"))
    wait_ms = choice.note_failure("a")
    assert wait_ms == FIRST_RETRY_MS
    assert name_of(choice.reader("")) == "b"
    clock.ms += wait_ms
    assert name_of(choice.reader("")) == "a"
    waits = [choice.note_failure("a") for _ in range(6)]
    assert waits[0] == 2 * FIRST_RETRY_MS
    assert waits[-1] == MAX_RETRY_MS
    choice.note_success("a")
    assert choice.note_failure("a") == FIRST_RETRY_MS


def test_removed_member_is_not_the_reader():
    choice, _ = choice_of(member("b"), member("a"))
    choice.remove_member("a")
    assert name_of(choice.reader("")) is None


def test_announced_again_a_member_is_no_longer_excluded():
    choice, _ = choice_of(member("b"), member("a"))
    choice.note_failure("a")
    choice.set_member(member("a"))
    assert name_of(choice.reader("")) == "a"


# ---------------------------------------------------------------------- reading


def test_only_the_reader_reads_from_the_store():
    async def scenario(centre, n1, n2, n3):
        centre.reset_counts()
        for _ in range(100):
            end = centre.append(3)
            await centre.clock.sleep_ms(100)
        await centre.clock.sleep_ms(1_500)
        assert n1.client.reads > 20
        assert n2.client.reads == n3.client.reads == 0
        assert n2.reader.peer_reads > 20
        assert n1.follower.offset == n2.follower.offset == n3.follower.offset == end

    run_scenario(scenario)


def test_quiet_topic_leaves_every_state_recent():
    async def scenario(centre, *instances):
        for _ in range(500):
            await centre.clock.sleep_ms(20)
            assert max(one.follower.lag_ms() for one in instances) < 1_500

    run_scenario(scenario)


def test_read_to_end_through_a_peer_returns_what_was_appended_before():
    async def scenario(centre, n1, n2, n3):
        centre.reset_counts()
        for number in range(200):
            end = centre.append()
            instance = (n1, n2, n3)[number % 3]
            await instance.follower.read_to_end()
            assert instance.follower.offset >= end
            await centre.clock.sleep_ms(random.uniform(0, 50))
        assert n2.client.reads == n3.client.reads == 0

    run_scenario(scenario)


def test_end_told_before_the_call_does_not_end_read_to_end():
    """A background read sent after the call is answered with an older end.

    Its answer ends where the topic ended before the call, so it does not show what was appended.
    """

    async def scenario(centre, n1, n2, n3):
        for _ in range(100):
            # Both of n2's reads are sent before the reader has read the record.
            n2.follower.request_read()
            end = centre.append()
            await n2.follower.read_to_end()
            assert n2.follower.offset >= end
            await centre.clock.sleep_ms(random.uniform(0, 500))

    run_scenario(scenario)


def test_concurrent_callers_share_the_readers_read():
    async def scenario(centre, n1, n2, n3):
        centre.reset_counts()
        centre.append()
        await asyncio.gather(*(one.follower.read_to_end() for one in (n2, n3) for _ in range(20)))
        assert n1.client.reads <= 3
        assert n2.client.reads == n3.client.reads == 0

    run_scenario(scenario)


def test_planner_reads_from_the_store_and_the_next_member_serves():
    async def scenario(centre, n1, n2, n3):
        n1.plans = True
        await centre.clock.sleep_ms(500)
        centre.reset_counts()
        for _ in range(30):
            end = centre.append()
            await centre.clock.sleep_ms(100)
        await centre.clock.sleep_ms(1_500)
        assert n1.client.reads > 0 and n2.client.reads > 0
        assert n3.client.reads <= 1
        assert n1.asked == 0
        assert n3.follower.offset == end
        assert n1.server._refusal(shared_read(end)) == NOT_READER

    run_scenario(scenario)


def test_member_ahead_of_the_reader_is_answered():
    async def scenario(centre, n1, n2, n3):
        answer = await n1.server.serve(shared_read(n1.reader.cache.next_offset + 5, 50))
        assert answer.outcome == pb.StoreAnswer.DONE
        assert not answer.records
        assert answer.end == n1.reader.end

    run_scenario(scenario)


def test_many_records_arrive_in_pages():
    async def scenario(centre, n1, n2, n3):
        end = centre.append(20_000)
        await centre.clock.sleep_ms(5_000)
        assert n3.follower.offset == end
        assert sorted(n3.values) == list(range(end))

    run_scenario(scenario)


def test_instances_of_a_fleet_share_the_reads_of_jobs():
    async def run():
        fleet = world()
        try:
            await fleet.wait_ready()
            await fleet.clock.sleep_ms(1_000)
            await fleet.submit(job(), NORMAL, OWNER)
            await fleet.wait_state(job().id, "completed", 3_000)
            planner = fleet.planner_name()
            reader, member = (fleet.nodes_by_name[n] for n in ("n1", "n2", "n3") if n != planner)
            assert member.shared_reader.peer_reads > 0
            assert reader.read_server.served == member.shared_reader.peer_reads
            assert await fleet.state(job().id, at=member.settings.instance) == "completed"
            assert fleet.nodes_by_name[planner].read_server.served == 0
        finally:
            await fleet.close()

    run_virtual(run())


# ---------------------------------------------------------------------- faults


def test_dead_reader_is_replaced_and_used_again():
    async def scenario(centre, n1, n2, n3):
        centre.dead.add("n1")
        for _ in range(60):
            end = centre.append()
            await centre.clock.sleep_ms(100)
            assert n2.follower.lag_ms() < 1_800 and n3.follower.lag_ms() < 1_800
        await centre.clock.sleep_ms(1_500)
        assert n2.follower.offset == n3.follower.offset == end
        assert n2.server.served > 0
        centre.dead.clear()
        await centre.clock.sleep_ms(MAX_RETRY_MS + 1_000)
        centre.reset_counts()
        end = centre.append()
        await centre.clock.sleep_ms(2_000)
        assert n2.client.reads == n3.client.reads == 0
        assert n2.follower.offset == n3.follower.offset == end

    run_scenario(scenario)


def test_reader_that_is_gone_is_asked_once_a_minute_at_most():
    """Its announcement stays in the topic; each attempt took a read of every other instance."""

    async def scenario(centre, n1, n2, n3):
        centre.dead.add("n1")
        await centre.clock.sleep_ms(4 * 60_000)
        centre.reset_counts()
        await centre.clock.sleep_ms(10 * 60_000)
        for one in (n2, n3):
            assert one.reader.fallbacks_by_reason["unanswered"] <= 10
        # It starts again at last.
        centre.dead.clear()
        for one in (n2, n3):
            one.reader.choice.set_member(member("n1"))
        end = centre.append()
        await centre.clock.sleep_ms(2_000)
        assert n2.follower.offset == n3.follower.offset == end
        assert n2.reader.choice.reader("").instance == "n1"

    run_scenario(scenario)


def test_read_to_end_with_a_dead_reader_is_answered_by_the_store():
    async def scenario(centre, n1, n2, n3):
        centre.dead.add("n1")
        end = centre.append()
        started_ms = centre.clock.now_ms()
        await n2.follower.read_to_end()
        assert n2.follower.offset >= end
        assert centre.clock.now_ms() - started_ms < 800
        assert n2.reader.fallbacks_by_reason["unanswered"] > 0

    run_scenario(scenario)


def test_draining_reader_is_replaced():
    async def scenario(centre, n1, n2, n3):
        n1.draining = True
        await centre.clock.sleep_ms(500)
        centre.reset_counts()
        for _ in range(10):
            end = centre.append()
            await centre.clock.sleep_ms(50)
        await centre.clock.sleep_ms(400)
        assert n3.follower.offset == end
        assert n2.reader.fallbacks_by_reason[DRAINING] <= 1
        assert n3.reader.peer_reads > 0

    run_scenario(scenario)


def test_member_whose_address_belongs_to_another_instance_is_rarely_asked():
    """It refused each read, as it asked the removed member, too, and all read for themselves."""

    async def scenario(centre, *instances):
        removed = member("n0")
        removed.address = instances[-1].name
        for one in instances:
            one.reader.choice.set_member(removed)
        await centre.clock.sleep_ms(20_000)
        centre.reset_counts()
        for _ in range(300):
            end = centre.append()
            await centre.clock.sleep_ms(100)
        await centre.clock.sleep_ms(2_000)
        for one in instances[2:]:
            assert one.reader.peer_reads > 4 * one.client.reads
            assert one.follower.offset == end

    run_scenario(scenario, instances=5)


def test_offset_before_the_cache_is_read_from_the_store():
    async def scenario(centre, n1, n2, n3):
        centre.reset_counts()
        page = await n2.reader.read(TOPIC, n1.reader.cache.first - 5, 0)
        assert len(page.records) == 5
        assert n2.reader.fallbacks_by_reason == {UNCACHED: 1}
        assert n2.client.reads == 1
        assert n2.reader.choice.reader("").instance == "n1"

    run_scenario(scenario)


def test_answer_with_a_missing_record_is_not_used():
    async def scenario(centre, n1, n2, n3):
        serve = n1.server.serve

        async def serve_with_a_gap(call):
            answer = await serve(call)
            if len(answer.records) > 1:
                del answer.records[0]
            return answer

        n1.server.serve = serve_with_a_gap
        end = centre.append(5)
        await centre.clock.sleep_ms(2_000)
        assert n2.reader.fallbacks_by_reason["gap"] == 1
        assert n2.follower.offset == end
        assert sorted(n2.values) == list(range(end))

    run_scenario(scenario)


def test_trimmed_topic_is_loaded_again():
    async def scenario(centre, n1, n2, n3):
        n2.follower.offset = 2
        centre.store.compact(TOPIC)
        n1.reader.cache.clear()
        end = centre.append(3)
        await centre.clock.sleep_ms(3_000)
        assert n1.follower.offset == n2.follower.offset == n3.follower.offset == end

    run_scenario(scenario)


def test_reader_that_does_not_reach_the_store_refuses():
    async def scenario(centre, n1, n2, n3):
        centre.store.refused_instances.add("n1")
        await centre.clock.sleep_ms(1_500)
        assert n1.server._refusal(shared_read(n1.follower.offset)) == UNREACHED
        end = centre.append(5)
        await centre.clock.sleep_ms(1_000)
        assert n2.follower.offset == n3.follower.offset == end
        assert n1.follower.offset < end

    run_scenario(scenario)


def test_slow_reads_of_the_reader_are_not_repeated_by_its_peers():
    async def scenario(centre, n1, n2, n3):
        centre.store.answer_ms = 250
        centre.reset_counts()
        for _ in range(20):
            end = centre.append()
            started_ms = centre.clock.now_ms()
            await n2.follower.read_to_end()
            assert n2.follower.offset >= end
            # The reader's read in progress, and the one after it.
            assert centre.clock.now_ms() - started_ms < 800
        assert n2.client.reads == n3.client.reads == 0
        assert n2.reader.choice.reader("") is not None

    run_scenario(scenario)


def follow_over_a_shared_link(disturb, instances=10):
    """Check that a region recovers whose link carries the topic fewer times than it has instances.

    :param disturb: coroutine function that disturbs the store for a while.
    """

    async def scenario(centre, *members):
        network = centre.store.network
        network.region_by_instance.update({one.name: "north" for one in members})
        network.limit_region("north", LINK_BYTES_PER_MS)

        async def append():
            while True:
                centre.store.put(TOPIC, "s/", bytes(LARGE_RECORD_BYTES))
                await centre.clock.sleep_ms(LARGE_RECORD_BYTES / TOPIC_BYTES_PER_MS)

        appending = asyncio.create_task(append())
        await centre.clock.sleep_ms(5_000)
        assert max(one.follower.lag_ms() for one in members) < MAX_READY_LAG_MS
        await disturb(centre)
        await centre.clock.sleep_ms(15_000)
        appending.cancel()
        assert max(one.follower.lag_ms() for one in members) < MAX_READY_LAG_MS

    run_scenario(scenario, instances=instances)


async def interrupt_store(centre):
    """Leave calls to the store unanswered for a while."""
    centre.store.mode = "silent"
    await centre.clock.sleep_ms(6_000)
    centre.store.mode = "up"


def test_region_recovers_from_an_outage_of_the_store():
    """The reader was behind afterwards and refused, and each instance read over the full link."""
    follow_over_a_shared_link(interrupt_store)


def test_region_recovers_though_pages_over_its_full_link_time_out():
    """The reads beside the reader were repeated at once, so those of the reader timed out, too."""
    follow_over_a_shared_link(interrupt_store, instances=30)


def test_region_recovers_from_slow_answers_of_the_store():
    """The reader's reads took too long for its peers, and each instance read over the full link."""

    async def disturb(centre):
        centre.store.answer_ms = 300
        await centre.clock.sleep_ms(8_000)
        centre.store.answer_ms = 4

    follow_over_a_shared_link(disturb)


def test_unknown_topic_is_refused():
    async def scenario(centre, n1, n2, n3):
        answer = await n1.server.serve(shared_read(0, topic="keyed.other"))
        assert answer.outcome == pb.StoreAnswer.REFUSED

    run_scenario(scenario)


def test_waiting_calls_are_limited():
    async def scenario(centre, n1, n2, n3):
        calls = [n1.server.serve(shared_read(n1.follower.offset, 300)) for _ in range(200)]
        answers = await asyncio.gather(*calls)
        assert all(answer.outcome == pb.StoreAnswer.DONE for answer in answers)
        assert n1.server._waiting == 0

    run_scenario(scenario)


@pytest.mark.parametrize("seed", range(30))
def test_no_record_is_skipped_under_random_faults(seed):
    """Every record is applied, and a read to the end covers what was appended before it."""

    async def scenario(centre, *instances):
        names = list(centre.instances_by_name)

        async def inject_faults():
            while True:
                await centre.clock.sleep_ms(random.uniform(50, 900))
                fault = random.choice(("dead", "refused", "plans", "draining", "slow", "none"))
                centre.dead.clear()
                centre.store.refused_instances.clear()
                centre.store.answer_ms = 4
                for one in instances:
                    one.plans = one.draining = False
                hit = centre.instances_by_name[random.choice(names)]
                if fault == "dead":
                    centre.dead.add(hit.name)
                elif fault == "refused":
                    centre.store.refused_instances.add(hit.name)
                elif fault == "slow":
                    centre.store.answer_ms = random.choice((100, 250))
                elif fault != "none":
                    setattr(hit, fault, True)

        async def check_reads():
            while True:
                await centre.clock.sleep_ms(random.uniform(0, 60))
                instance = random.choice(instances)
                if instance.name in centre.store.refused_instances:
                    continue
                end = centre.store.topic(TOPIC)
                end = end.first + len(end.records)
                try:
                    await instance.follower.read_to_end()
                except Exception as error:
                    assert instance.name in centre.store.refused_instances, error
                    continue
                assert instance.follower.offset >= end

        tasks = [asyncio.create_task(work()) for work in (inject_faults, check_reads)]
        for _ in range(300):
            centre.append(random.choice((0, 1, 3, 40)))
            await centre.clock.sleep_ms(random.uniform(0, 100))
        for task in tasks:
            if task.done():
                task.result()
            task.cancel()
        centre.dead.clear()
        centre.store.refused_instances.clear()
        end = centre.append()
        await centre.clock.sleep_ms(3_000)
        for one in instances:
            assert sorted(one.values) == list(range(end)), one.name

    run_scenario(scenario, seed, instances=4, record_bytes=3_000)
