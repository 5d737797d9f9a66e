"""Tests of batched appends: each batch is stored once, with only the newest record of a key."""

import asyncio

import pytest

from carawayroute.clock import Clock
from carawayroute.fleet.exceptions import (
    StoreFencedError,
    StoreRefusedError,
    StoreUnansweredError,
)
from carawayroute.fleet.writer import LogWriter
from carawayroute_standins.fleet.topics import TopicStore
from carawayroute_standins.virtual import run_virtual


def run_scenario(scenario, retry_until_stored=True, **options):
    """Run a scenario with a store and a running writer."""

    async def run():
        clock = Clock(0.0)
        store = TopicStore(clock)
        writer = LogWriter(
            store.client_for("n1"), clock, "keyed.t", "p", 5, retry_until_stored, **options
        )
        task = asyncio.create_task(writer.run())
        try:
            await scenario(store, writer)
        finally:
            task.cancel()

    run_virtual(run())


def test_records_of_one_key_that_wait_together_are_written_once():
    """Each of 60 ended tasks appended a record with the progress of the whole job.

    Found on cornice-sched-grown.
    """

    async def scenario(store, writer):
        writes = [writer.write([("p/1", str(number).encode())]) for number in range(60)]
        await asyncio.gather(*writes)
        records = store.topic("keyed.t").records
        assert [(record.key, record.value) for record in records] == [("p/1", b"59")]

    run_scenario(scenario)


def test_lost_answers_append_once():
    async def scenario(store, writer):
        store.lost_answer_ratio = 0.5
        store.late_ms = 700
        for number in range(20):
            await writer.write([(f"k{number}", b"v")])
        keys = [record.key for record in store.topic("keyed.t").records]
        assert keys == [f"k{number}" for number in range(20)]

    run_scenario(scenario)


def test_fenced_producer_writes_nothing_more():
    async def scenario(store, writer):
        await writer.write([("a", b"1")])
        await store.client_for("n2").append("keyed.t", [], producer="p", epoch=6)
        with pytest.raises(StoreFencedError):
            await writer.write([("a", b"2")])
        assert [record.value for record in store.topic("keyed.t").records] == [b"1"]

    run_scenario(scenario)


def test_writer_that_retries_until_stored_survives_an_outage():
    async def scenario(store, writer):
        store.mode = "refusing"
        asyncio.get_running_loop().call_later(3.0, setattr, store, "mode", "up")
        await writer.write([("a", b"1")])

    run_scenario(scenario)


def test_records_not_sent_in_time_are_withdrawn():
    """A write that was never sent fails as refused instead of with an unknown outcome."""

    async def scenario(store, writer):
        store.answer_ms = 300
        first = asyncio.create_task(writer.write([("a", b"1")]))
        await asyncio.sleep(0.05)
        with pytest.raises(StoreRefusedError):
            async with asyncio.timeout(0.1):
                await writer.write([("b", b"2")])
        await first
        await writer.write([("c", b"3")])
        assert [record.key for record in store.topic("keyed.t").records] == ["a", "c"]

    run_scenario(scenario, retry_until_stored=False)


def test_append_that_was_given_up_is_not_stored_after_a_later_one():
    """A copy that the store carries out late is refused, as the later append fenced it."""

    async def scenario(store, writer):
        store.lost_answer_ratio = 1.0
        store.late_ms = 30_000
        with pytest.raises(StoreUnansweredError):
            await writer.write([("a", b"1")])
        store.lost_answer_ratio = 0.0
        await writer.write([("b", b"1")])
        await asyncio.sleep(60)
        await writer.write([("c", b"1")])
        assert [record.key for record in store.topic("keyed.t").records] == ["b", "c"]

    run_scenario(scenario, retry_until_stored=False, give_up_ms=5_000)
