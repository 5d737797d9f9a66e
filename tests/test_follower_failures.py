"""A record whose handler fails harms only itself: its follower goes on with the next ones."""

import asyncio

import pytest
from structlog.testing import capture_logs

from carawayroute.clock import Clock
from carawayroute.fleet.exceptions import StoreUnansweredError
from carawayroute.fleet.follower import MAX_REMEMBERED_FAILURES, TopicFollower
from carawayroute.fleet.ports import KeyedRecord
from carawayroute_standins.fleet.topics import TopicStore
from carawayroute_standins.virtual import run_virtual

TOPIC = "keyed.servers"


class FailingHandler:
    """Fails for the key ``odd`` and keeps the keys of the other records."""

    def __init__(self) -> None:
        self.keys: list[str] = []

    def apply(self, record: KeyedRecord) -> None:
        """Keep the record's key."""
        if record.key.startswith("odd"):
            raise RecursionError("nested too deeply")
        self.keys.append(record.key)


def store_of(*keys: str) -> TopicStore:
    """Return a store with one record for each key."""
    store = TopicStore(Clock())
    for key in keys:
        store.put(TOPIC, key, b"1")
    return store


def failures_in(lines: list) -> list[tuple[str, int]]:
    """Return the keys and offsets of the logged failures."""
    return [
        (line["key"], line["offset"]) for line in lines if line["event"] == "record_not_handled"
    ]


def test_follower_reads_on_after_a_record_that_cannot_be_handled():
    """It stopped in front of the record at each read, and its state stood still."""

    async def scenario():
        store = store_of()
        handler = FailingHandler()
        follower = TopicFollower(store.client_for("n1"), store.clock, TOPIC, handler.apply)
        await follower.reload()
        for key in ("a", "odd", "b"):
            store.put(TOPIC, key, b"1")
        with capture_logs() as lines:
            await follower.read_to_end()
            await follower.read_to_end()
        assert (handler.keys, follower.offset) == (["a", "b"], 3)
        assert failures_in(lines) == [("odd", 1)]
        assert follower.unhandled_records == 1

    run_virtual(scenario())


def test_follower_loads_records_beside_one_that_cannot_be_handled():
    async def scenario():
        store = store_of("a", "odd", "b")
        handler = FailingHandler()
        loaded: list[set[str]] = []
        follower = TopicFollower(
            store.client_for("n1"),
            store.clock,
            TOPIC,
            handler.apply,
            lambda keys, end: loaded.append(keys),
        )
        with capture_logs() as lines:
            await follower.reload()
            await follower.reload()
        assert follower.loaded.is_set()
        assert handler.keys == ["a", "b"] * 2
        assert loaded == [{"a", "odd", "b"}] * 2
        # The same record is logged and counted once, not at each load.
        assert failures_in(lines) == [("odd", 1)]
        assert follower.unhandled_records == 1

    run_virtual(scenario())


def test_failures_that_are_remembered_are_bounded():
    async def scenario():
        count = MAX_REMEMBERED_FAILURES + 10
        store = store_of(*(f"odd{number}" for number in range(count)))
        follower = TopicFollower(store.client_for("n1"), store.clock, TOPIC, FailingHandler().apply)
        with capture_logs() as lines:
            await follower.reload()
        assert len(failures_in(lines)) == MAX_REMEMBERED_FAILURES
        assert follower.unhandled_records == count

    run_virtual(scenario())


@pytest.mark.parametrize("error", [ValueError("odd"), StoreUnansweredError("silent")])
def test_follower_goes_on_after_an_unexpected_error_of_its_reader(error):
    """The follower's task ended, which left the instance without new records until its end."""

    async def scenario():
        store = store_of("a")
        client = store.client_for("n1")
        handler = FailingHandler()
        follower = TopicFollower(client, store.clock, TOPIC, handler.apply)
        reads = []
        read = client.read

        async def fail_twice(topic, offset, wait_ms):
            reads.append(offset)
            if len(reads) <= 2:
                raise error
            return await read(topic, offset, wait_ms)

        client.read = fail_twice

        task = asyncio.create_task(follower.run())
        await store.clock.sleep_ms(300)
        store.put(TOPIC, "b", b"1")
        with capture_logs() as lines:
            await store.clock.sleep_ms(2_000)
        assert not task.done()
        assert handler.keys == ["a", "b"]
        assert lines == [] or all(line["event"] != "store_read_failing" for line in lines)
        task.cancel()

    run_virtual(scenario())


def test_failure_of_the_callback_after_a_load_does_not_end_the_follower():
    async def scenario():
        store = store_of("a")
        handler = FailingHandler()
        calls = []

        def fail_once(keys, end):
            calls.append(end)
            if len(calls) == 1:
                raise KeyError("odd")

        follower = TopicFollower(
            store.client_for("n1"), store.clock, TOPIC, handler.apply, fail_once
        )

        task = asyncio.create_task(follower.run())
        with capture_logs() as lines:
            await store.clock.sleep_ms(1_000)
        assert not task.done()
        assert follower.loaded.is_set()
        assert len(calls) == 2
        errors = [line for line in lines if line["log_level"] == "error"]
        assert [line["event"] for line in errors] == ["topic_read_failed"]
        task.cancel()

    run_virtual(scenario())
