"""In-memory store with keyed topics, conditional appends, producer fencing and faults."""

import asyncio
import itertools
import random
from collections.abc import Iterable

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
from carawayroute_standins.fleet.bandwidth import Network, carry_over

ANSWER_LATENCY_MS = 4
# How long a client waits for an answer before it gives up.
NO_ANSWER_TIMEOUT_MS = 900
REMEMBERED_APPENDS = 5
# Limits of a page of a read as the program's client asks for it, and of one of the newest records.
READ_PAGE_KB = 96
NEWEST_PAGE_RECORDS = 500
NEWEST_PAGE_BYTES = 1_000_000
# Time limit of the program's client for a page of the newest records.
NEWEST_PAGE_TIMEOUT_MS = 20_000
# Length of the record, length of its key.
RECORD_HEADER_BYTES = 5
ANSWER_HEADER_BYTES = 200


def record_size(record: KeyedRecord) -> int:
    """Return the number of bytes that a record takes up in an answer."""
    return RECORD_HEADER_BYTES + len(record.key.encode()) + len(record.value)


def encoded_size(record: KeyedRecord) -> int:
    """Return the number of bytes that a record takes up in a page of newest records, as base64."""
    return (record_size(record) * 4 + 2) // 3


def take_page(
    records: Iterable[KeyedRecord], most_bytes: int, most_records: int | None = None
) -> list[KeyedRecord]:
    """Return as many records as fit on a page, at least the first one."""
    page: list[KeyedRecord] = []
    size = 0
    for record in itertools.islice(records, most_records):
        size += record_size(record)
        if page and size > most_bytes:
            break
        page.append(record)
    return page


class NewestPage:
    """A page of the newest records in the order of their keys.

    :param has_more: whether keys follow.
    :param end: offset at which the topic ended when the page was read.
    """

    __slots__ = ("end", "has_more", "records")

    def __init__(self, records: list[KeyedRecord], has_more: bool, end: int) -> None:
        self.records = records
        self.has_more = has_more
        self.end = end


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

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)


class TopicStore:
    """Keeps topics in memory, with fault injection.

    :ivar mode: ``up``, ``refusing`` (every call is answered with a refusal), ``silent`` (no call is
        answered).
    :ivar lost_answer_ratio: fraction of the appends that take effect without an answer.
    :ivar late_ms: delay in ms before an append whose answer is lost takes effect.
    :ivar refused_instances: instances whose calls are refused.
    :ivar unanswered_instances: instances whose calls are not answered.
    :ivar network: links that carry the answers; unlimited by default.
    """

    def __init__(self, clock: Clock, network: Network | None = None) -> None:
        self.clock = clock
        self.network = network or Network(clock, "")
        self.mode = "up"
        self.answer_ms = ANSWER_LATENCY_MS
        self.lost_answer_ratio = 0.0
        self.late_ms = 0
        self.refused_instances: set[str] = set()
        self.unanswered_instances: set[str] = set()
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
        if self.mode == "silent" or instance in self.unanswered_instances:
            await self.clock.sleep_ms(NO_ANSWER_TIMEOUT_MS)
            raise StoreUnansweredError("silent")
        await self.clock.sleep_ms(self.answer_ms)
        if self.mode == "refusing" or instance in self.refused_instances:
            raise StoreRefusedError("turned away")

    async def send(self, instance: str, size: int, sent_ms: float, timeout_ms: float) -> None:
        """Carry an answer of ``size`` bytes to an instance.

        :param sent_ms: clock time at which the instance made the call.
        :param timeout_ms: the instance's time limit for the whole call.
        :raises StoreUnansweredError: the answer has not arrived in time.
        """
        links = self.network.links_from_store(instance)
        if not links:
            return
        left_ms = timeout_ms - (self.clock.now_ms() - sent_ms)
        transfer = carry_over(links, ANSWER_HEADER_BYTES + size)
        try:
            await self.network.wait_within(transfer, left_ms)
        except TimeoutError as error:
            raise StoreUnansweredError("the answer did not arrive in time") from error

    def _add(self, topic: _Topic, records: list[tuple[str, bytes]]) -> AppendResult:
        offset = topic.end
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
        end = topic.end
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
    """The store as called by one instance.

    :ivar reads: number of reads of this instance.
    """

    def __init__(self, store: TopicStore, instance: str) -> None:
        self._store = store
        self._instance = instance
        self.reads = 0

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
        sent_ms = store.clock.now_ms()
        await store.simulate_call(self._instance)
        arguments = (topic, records, at, producer, epoch, sequence)
        if records and random.random() < store.lost_answer_ratio:
            asyncio.get_running_loop().call_later(store.late_ms / 1000, self._apply_late, arguments)
            await store.clock.sleep_ms(NO_ANSWER_TIMEOUT_MS)
            raise StoreUnansweredError("the answer was lost")
        appended = store.append(*arguments)
        await store.send(self._instance, 0, sent_ms, NO_ANSWER_TIMEOUT_MS)
        return appended

    def _apply_late(self, arguments: tuple) -> None:
        """Apply an append whose answer was lost, unless its conditions no longer hold."""
        try:
            self._store.append(*arguments)
        except (StoreConflictError, StoreFencedError, StoreSequenceError):
            return

    async def read(
        self, topic: str, offset: int, wait_ms: int, max_kb: int = READ_PAGE_KB
    ) -> RecordPage:
        """Return a page of records from an offset on, waiting up to `wait_ms` for the first."""
        store = self._store
        store.reads += 1
        self.reads += 1
        sent_ms = store.clock.now_ms()
        await store.simulate_call(self._instance)
        found = store.topic(topic)
        if offset < found.first:
            raise StoreTrimmedError(found.first)
        if offset >= found.end and wait_ms > 0:
            await wait_event(found.append_event, wait_ms)
            await store.simulate_call(self._instance)
        if offset < found.first:
            raise StoreTrimmedError(found.first)
        records = take_page(
            itertools.islice(found.records, offset - found.first, None), max_kb * 1_024
        )
        page = RecordPage(records, offset + len(records), found.end)
        size = sum(record_size(record) for record in records)
        await store.send(self._instance, size, sent_ms, NO_ANSWER_TIMEOUT_MS + wait_ms)
        return page

    def first_offset(self, topic: str) -> int:
        """Return the first offset of a topic that is retained."""
        return self._store.topic(topic).first

    async def newest_page(self, topic: str, after_key: str = "") -> NewestPage:
        """Return a page of the newest record of each key, from the key after ``after_key`` on."""
        store = self._store
        store.reads += 1
        self.reads += 1
        sent_ms = store.clock.now_ms()
        await store.simulate_call(self._instance)
        found = store.topic(topic)
        keys = sorted(key for key in found.newest_by_key if key > after_key)
        records = take_page(
            (found.newest_by_key[key] for key in keys), NEWEST_PAGE_BYTES, NEWEST_PAGE_RECORDS
        )
        page = NewestPage(records, len(records) < len(keys), found.end)
        size = sum(encoded_size(record) for record in records)
        await store.send(self._instance, size, sent_ms, NEWEST_PAGE_TIMEOUT_MS)
        return page

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key and the end as of the first page."""
        page = await self.newest_page(topic)
        records, end = page.records, page.end
        while page.has_more:
            page = await self.newest_page(topic, records[-1].key)
            records.extend(page.records)
        return RecordPage(records, end, end)
