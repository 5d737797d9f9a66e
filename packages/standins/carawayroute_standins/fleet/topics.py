"""In-memory store with keyed topics, conditional appends, producer fencing and faults."""

import asyncio
import random

from carawayroute.clock import Clock
from carawayroute.fleet.exceptions import (
    StoreConflictError,
    StoreFencedError,
    StoreRefusedError,
    StoreSequenceError,
    StoreTrimmedError,
    StoreUnansweredError,
)
from carawayroute.fleet.ports import AppendResult, KeyedRecord, RecordPage
from carawayroute.misc import wait_event

ANSWER_LATENCY_MS = 4
# How long a client waits for an answer before it gives up.
NO_ANSWER_TIMEOUT_MS = 900
REMEMBERED_APPENDS = 5


class _Producer:
    __slots__ = ("answers_by_sequence", "epoch", "next_sequence")

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.next_sequence: int | None = None
        self.answers_by_sequence: dict[int, AppendResult] = {}


class _Topic:
    __slots__ = ("first", "append_event", "newest_by_key", "producers_by_name", "records")

    def __init__(self) -> None:
        self.records: list[KeyedRecord] = []
        self.first = 0
        self.newest_by_key: dict[str, KeyedRecord] = {}
        self.producers_by_name: dict[str, _Producer] = {}
        self.append_event = asyncio.Event()


class TopicStore:
    """Keeps topics in memory, with fault injection.

    :ivar mode: ``up``, ``refusing`` (every call is answered with a refusal), ``silent`` (no call is
        answered).
    :ivar lost_answer_ratio: fraction of the appends that take effect without an answer.
    :ivar late_ms: delay in ms before an append whose answer is lost takes effect.
    :ivar refused_instances: instances whose calls are refused.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.mode = "up"
        self.answer_ms = ANSWER_LATENCY_MS
        self.lost_answer_ratio = 0.0
        self.late_ms = 0
        self.refused_instances: set[str] = set()
        self.appends = 0
        self.reads = 0
        self._topics_by_name: dict[str, _Topic] = {}

    def topic(self, name: str) -> _Topic:
        """Return a topic, creating it on first use."""
        return self._topics_by_name.setdefault(name, _Topic())

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record unconditionally, as the platform itself, and return its offset."""
        return self._add(self.topic(topic), [(key, value)]).offset

    def compact(self, topic: str) -> None:
        """Trim the topic's history; `newest` still returns the newest record of each key."""
        found = self.topic(topic)
        found.first += len(found.records)
        found.records.clear()

    def client_for(self, instance: str) -> "StoreClient":
        """Return a client of the store for one instance."""
        return StoreClient(self, instance)

    async def simulate_call(self, instance: str) -> None:
        """Wait for the duration of a call, or fail it according to the active faults."""
        if self.mode == "silent":
            await self.clock.sleep_ms(NO_ANSWER_TIMEOUT_MS)
            raise StoreUnansweredError("silent")
        await self.clock.sleep_ms(self.answer_ms)
        if self.mode == "refusing" or instance in self.refused_instances:
            raise StoreRefusedError("turned away")

    def _add(self, topic: _Topic, records: list[tuple[str, bytes]]) -> AppendResult:
        offset = topic.first + len(topic.records)
        for number, (key, value) in enumerate(records):
            record = KeyedRecord(offset + number, key, value)
            topic.records.append(record)
            if value:
                topic.newest_by_key[key] = record
            else:
                topic.newest_by_key.pop(key, None)
        topic.append_event.set()
        topic.append_event = asyncio.Event()
        return AppendResult(offset, offset + len(records))

    def append(
        self,
        name: str,
        records: list[tuple[str, bytes]],
        at: int | None,
        producer: str,
        epoch: int,
        sequence: int | None,
    ) -> AppendResult:
        """Append records if the offset, epoch and sequence conditions hold."""
        topic = self.topic(name)
        end = topic.first + len(topic.records)
        if at is not None and at != end:
            raise StoreConflictError(end)
        known = None
        if producer:
            known = topic.producers_by_name.get(producer)
            if known is not None and epoch < known.epoch:
                raise StoreFencedError("fenced")
            if known is None or epoch > known.epoch:
                known = topic.producers_by_name[producer] = _Producer(epoch)
        if not records:
            return AppendResult(end, end)
        if known is not None and sequence is not None:
            repeated = known.answers_by_sequence.get(sequence)
            if repeated is not None:
                return repeated
            if known.next_sequence is not None and sequence != known.next_sequence:
                raise StoreSequenceError(known.next_sequence)
        appended = self._add(topic, records)
        if known is not None and sequence is not None:
            known.next_sequence = sequence + 1
            known.answers_by_sequence[sequence] = appended
            known.answers_by_sequence.pop(sequence - REMEMBERED_APPENDS, None)
        return appended


class StoreClient:
    """The store as called by one instance."""

    def __init__(self, store: TopicStore, instance: str) -> None:
        self._store = store
        self._instance = instance

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        at: int | None = None,
        producer: str = "",
        epoch: int = 0,
        sequence: int | None = None,
    ) -> AppendResult:
        """Append all records or none."""
        store = self._store
        store.appends += 1
        await store.simulate_call(self._instance)
        arguments = (topic, records, at, producer, epoch, sequence)
        if records and random.random() < store.lost_answer_ratio:
            asyncio.get_running_loop().call_later(store.late_ms / 1000, self._apply_late, arguments)
            await store.clock.sleep_ms(NO_ANSWER_TIMEOUT_MS)
            raise StoreUnansweredError("the answer was lost")
        return store.append(*arguments)

    def _apply_late(self, arguments: tuple) -> None:
        """Apply an append whose answer was lost, unless its conditions no longer hold."""
        try:
            self._store.append(*arguments)
        except (StoreConflictError, StoreFencedError, StoreSequenceError):
            return

    async def read(self, topic: str, offset: int, wait_ms: int) -> RecordPage:
        """Return records from an offset on, waiting up to `wait_ms` for the first."""
        store = self._store
        store.reads += 1
        await store.simulate_call(self._instance)
        found = store.topic(topic)
        if offset < found.first:
            raise StoreTrimmedError(found.first)
        if offset >= found.first + len(found.records) and wait_ms > 0:
            await wait_event(found.append_event, wait_ms)
            await store.simulate_call(self._instance)
        if offset < found.first:
            raise StoreTrimmedError(found.first)
        records = found.records[offset - found.first :]
        return RecordPage(list(records), offset + len(records), found.first + len(found.records))

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key."""
        store = self._store
        store.reads += 1
        await store.simulate_call(self._instance)
        found = store.topic(topic)
        end = found.first + len(found.records)
        return RecordPage(list(found.newest_by_key.values()), end, end)
