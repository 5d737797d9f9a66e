"""Reads a topic once for each data centre: one instance reads it for the others.

Every instance follows the whole topic. If each read it from the store, the link between two regions
would carry the topic as often as the far region has instances.
"""

import asyncio
import math
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Iterator

import structlog
from google.protobuf.message import DecodeError

from carawayroute.clock import Clock
from carawayroute.fleet.exceptions import StoreError, StoreUnansweredError
from carawayroute.fleet.follower import TopicFollower
from carawayroute.fleet.ports import KeyedRecord, RecordPage, RecordReader
from carawayroute.fleet.relay import MAX_OFFSET, PeerError, Peers
from carawayroute.misc import wait_event
from carawayroute.retries import Backoff
from carawayroute_schema import records_pb2 as pb

# Timeout of a read through a peer, in addition to the wait that it requests.
PEER_TIMEOUT_MS = 300
# Longest time in which a peer waits for records. The store's answers bound the age of the state of
# all instances in the data centre, so reads from the store wait for a short time as well.
MAX_PEER_WAIT_MS = 300
MAX_STORE_WAIT_MS = 300
# Time allowed for a read from the store that a peer's request triggers.
FRESH_READ_TIMEOUT_MS = 200
# An instance that the store has not answered for longer than this does not serve its peers. One
# that is behind serves them: they would get the records no sooner over the same link.
MAX_SILENCE_MS = 1_000
# Requests that may wait for records at the same time; further ones are answered at once.
MAX_WAITING = 16
FIRST_RETRY_MS = 1_000
MAX_RETRY_MS = 10_000
# The same for a member that does not answer: it may be gone for good, and each attempt delays a
# read. A member that starts again announces itself, and is asked at once.
MAX_SILENT_RETRY_MS = 120_000
# Longest time between two reads that an instance makes beside the reader and that go unanswered.
MAX_ALONE_RETRY_MS = 3_000
# A reader that does not reach the store is asked again after this time if this instance does not
# reach it either. Short, as the cache of a reader that catches up soon drops what others need.
AWAY_RETRY_MS = 300
# A reader that does not reach the store though this instance does is used for this time.
MAX_UNREACHED_MS = 1_000
CACHE_BYTES = 1_000_000
PAGE_BYTES = 96 * 1024
# Size of a record without its key and value.
RECORD_OVERHEAD_BYTES = 16

log = structlog.get_logger()


class RecordCache:
    """The latest records of a topic, without gaps, up to a total size.

    :ivar first: offset of the first record that is kept.
    :ivar next_offset: offset that follows the last record, -1 before anything was added.
    """

    __slots__ = ("_max_bytes", "_records_by_offset", "_size", "first", "next_offset")

    def __init__(self, max_bytes: int = CACHE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._records_by_offset: dict[int, KeyedRecord] = {}
        self._size = 0
        self.first = 0
        self.next_offset = -1

    def __len__(self) -> int:
        return len(self._records_by_offset)

    def clear(self) -> None:
        """Remove all records."""
        self._restart(0)
        self.next_offset = -1

    def _restart(self, offset: int) -> None:
        self._records_by_offset.clear()
        self._size = 0
        self.first = self.next_offset = offset

    def add(self, offset: int, page: RecordPage) -> None:
        """Add the records of a page; a gap before it removes the earlier ones.

        :param offset: offset from which the page was read.
        """
        if self.next_offset < 0 or offset > self.next_offset:
            self._restart(offset)
        for record in page.records:
            if record.offset < self.next_offset:
                continue
            if record.offset > self.next_offset:
                self._restart(record.offset)
            self._records_by_offset[record.offset] = record
            self._size += _size_of(record)
            self.next_offset += 1
        while self._size > self._max_bytes:
            self._size -= _size_of(self._records_by_offset.pop(self.first))
            self.first += 1

    def covers(self, offset: int) -> bool:
        """Return whether no record from an offset on is missing before the last one."""
        return self.next_offset >= 0 and offset >= self.first

    def records_from(self, offset: int, max_bytes: int = PAGE_BYTES) -> Iterator[KeyedRecord]:
        """Return records from an offset on, up to a total size but at least one."""
        offsets = range(offset, self.next_offset)
        return take_records((self._records_by_offset[one] for one in offsets), max_bytes)


def take_records(
    records: Iterable[KeyedRecord], max_bytes: int = PAGE_BYTES
) -> Iterator[KeyedRecord]:
    """Yield records up to a total size but at least one."""
    size = 0
    for record in records:
        size += _size_of(record)
        if size > max_bytes and size > _size_of(record):
            return
        yield record


def _size_of(record: KeyedRecord) -> int:
    return len(record.key) + len(record.value) + RECORD_OVERHEAD_BYTES


class _Failures:
    __slots__ = ("retry_at_ms", "wait_ms")

    def __init__(self) -> None:
        self.wait_ms = 0.0
        self.retry_at_ms = 0.0


class ReaderChoice:
    """Select the member of a data centre that reads the store for the others.

    All instances rank the members in the same order, and ask only members that rank above
    themselves, so requests cannot go in a circle.

    :param own: what this instance announces about itself.
    """

    def __init__(self, own: pb.Member, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._members_by_name: dict[str, pb.Member] = {}
        self._failures_by_name: dict[str, _Failures] = {}

    def set_member(self, member: pb.Member) -> None:
        """Add or update a member; those of other data centres and lower ranks are ignored."""
        self._failures_by_name.pop(member.instance, None)
        self._members_by_name.pop(member.instance, None)
        if member.data_centre == self._own.data_centre and _rank(member) < _rank(self._own):
            self._members_by_name[member.instance] = member

    def remove_member(self, name: str) -> None:
        """Remove a member."""
        self._failures_by_name.pop(name, None)
        self._members_by_name.pop(name, None)

    def reader(self, planner_address: str) -> pb.Member | None:
        """Return the member that reads for this instance, ``None`` if it is this instance.

        :param planner_address: address of the planner, which does not serve reads.
        """
        now_ms = self._clock.now_ms()
        usable = []
        for name, member in self._members_by_name.items():
            failures = self._failures_by_name.get(name)
            if member.address != planner_address and (
                failures is None or failures.retry_at_ms <= now_ms
            ):
                usable.append(member)
        return min(usable, key=_rank, default=None)

    def note_failure(
        self, name: str, first_ms: float = FIRST_RETRY_MS, most_ms: float = MAX_RETRY_MS
    ) -> float:
        """Exclude a member for a time that doubles with each failure, and return the time in ms.

        :param first_ms: shortest time.
        :param most_ms: longest time.
        """
        failures = self._failures_by_name.setdefault(name, _Failures())
        failures.wait_ms = min(most_ms, max(first_ms, failures.wait_ms * 2))
        # Retries in step would always find the member while it asks another one itself.
        failures.retry_at_ms = self._clock.now_ms() + failures.wait_ms * random.uniform(0.5, 1.0)
        return failures.wait_ms

    def note_success(self, name: str) -> None:
        """Forget a member's failures."""
        self._failures_by_name.pop(name, None)


def _rank(member: pb.Member) -> tuple[float, float, str]:
    return (-member.link_mbps, -member.cores, member.instance)


class SharedReader:
    """Read a topic through the data centre's reader, or from the store if this instance is it.

    :param store: used while this instance is the reader, and when a peer does not serve a read.
    :param choice: selects the reader.
    :param plans: returns whether this instance is the planner, which always reads from the store.
    :param planner_address: returns the address of the planner, empty if unknown.
    :param load: returns the newest records of a topic, by default from the store.
    :param store_answered_ms: returns the clock time at which the store last answered this instance.
    :ivar cache: records read from the store while this instance is the reader.
    :ivar end: highest end that the store has told this instance while it is the reader.
    :ivar end_asked_ms: clock time at which the latest answered read was sent to the store.
    :ivar answered_ms: clock time at which the store last answered a read of the reader.
    :ivar peer_reads: number of reads that a peer answered.
    :ivar fallbacks_by_reason: reads that were made from the store since a peer did not serve them.
    """

    def __init__(
        self,
        store: RecordReader,
        peers: Peers,
        clock: Clock,
        choice: ReaderChoice,
        plans: Callable[[], bool],
        planner_address: Callable[[], str],
        load: Callable[[str], Awaitable[RecordPage]] | None = None,
        store_answered_ms: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        self._store = store
        self._load = load or store.newest
        self._store_answered_ms = store_answered_ms
        self._peers = peers
        self._clock = clock
        self.choice = choice
        self._plans = plans
        self._planner_address = planner_address
        self._reader_name = ""
        self.cache = RecordCache()
        self.end = 0
        self.end_asked_ms = float("-inf")
        self.answered_ms = float("-inf")
        self._answered = asyncio.Event()
        self._alone_backoff = Backoff(FIRST_RETRY_MS, MAX_ALONE_RETRY_MS)
        self._alone_again_ms = float("-inf")
        self._unreached_since_ms: float | None = None
        self._away_since_ms: float | None = None
        self._away_wait_ms = 0.0
        self.peer_reads = 0
        self.fallbacks_by_reason: Counter[str] = Counter()

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key."""
        return await self._load(topic)

    async def read(self, topic: str, offset: int, wait_ms: int) -> RecordPage:
        """Return records from an offset on.

        :param wait_ms: longest time to wait for the first record; without a wait, a peer that has
            no records reads the store for a new end, and ``age_ms`` tells if that takes longer.
        :raises StoreError: neither a peer nor the store answered.
        """
        if self._plans():
            self._use_reader("")
            self.cache.clear()
            return await self._store.read(topic, offset, wait_ms)
        reader = self.choice.reader(self._planner_address())
        self._use_reader(reader.instance if reader is not None else "")
        if reader is None:
            return await self._read_and_keep(topic, offset, min(wait_ms, MAX_STORE_WAIT_MS))
        self.cache.clear()
        reason = ""
        if not self._is_away():
            page, reason = await self._read_through(
                reader, topic, offset, min(wait_ms, MAX_PEER_WAIT_MS)
            )
            if page is not None:
                return page
        try:
            page = await self._read_alone(topic, offset, min(wait_ms, MAX_STORE_WAIT_MS))
        except StoreError:
            # The store may be away for all: another reader would reach it no better.
            if reason in (UNREACHED, STORE_FAILED):
                self._note_away()
            raise
        self._away_since_ms = None
        if reason == UNREACHED:
            self._note_unreached(reader)
        return page

    def _note_unreached(self, reader: pb.Member) -> None:
        """Exclude a reader once it has not reached the store for a while that this one reaches.

        After an outage it reaches the store about as soon as this instance does.
        """
        if self._unreached_since_ms is None:
            self._unreached_since_ms = self._clock.now_ms()
        elif self._clock.now_ms() - self._unreached_since_ms > MAX_UNREACHED_MS:
            self._unreached_since_ms = None
            self._exclude(reader, UNREACHED)

    def _is_away(self) -> bool:
        """Return whether neither the reader nor this instance reached the store a moment ago."""
        since_ms = self._away_since_ms
        if since_ms is None or self._store_answered_ms() > since_ms:
            return False
        return self._clock.now_ms() - since_ms < self._away_wait_ms

    def _note_away(self) -> None:
        self._unreached_since_ms = None
        self._away_since_ms = self._clock.now_ms()
        self._away_wait_ms = AWAY_RETRY_MS * random.uniform(0.5, 1.0)

    @property
    def reads_for_peers(self) -> bool:
        """Return whether this instance reads from the store and keeps the records for its peers."""
        return not self._plans() and self.choice.reader(self._planner_address()) is None

    async def wait_for_answer(self, wait_ms: float) -> None:
        """Wait until the store has answered the next read, or until a timeout."""
        await wait_event(self._answered, wait_ms)

    async def _read_and_keep(self, topic: str, offset: int, wait_ms: int) -> RecordPage:
        asked_ms = self._clock.now_ms()
        page = await self._store.read(topic, offset, wait_ms)
        self.cache.add(offset, page)
        self.end = max(self.end, page.end)
        self.end_asked_ms = max(self.end_asked_ms, asked_ms)
        self.answered_ms = self._clock.now_ms()
        self._answered.set()
        self._answered = asyncio.Event()
        return page

    async def _read_alone(self, topic: str, offset: int, wait_ms: int) -> RecordPage:
        """Read from the store beside the reader, less often while such reads go unanswered.

        They may be what keeps a full link full, so that the reader's own reads fail as well.
        """
        if self._clock.now_ms() < self._alone_again_ms:
            raise StoreUnansweredError("neither the reader nor the store answered")
        try:
            page = await self._store.read(topic, offset, wait_ms)
        except StoreUnansweredError:
            self._alone_again_ms = self._clock.now_ms() + self._alone_backoff.next_ms()
            raise
        self._alone_backoff.reset()
        return page

    async def _read_through(
        self, reader: pb.Member, topic: str, offset: int, wait_ms: int
    ) -> tuple[RecordPage | None, str]:
        """Return the page that a peer served, or why it did not serve the read."""
        call = pb.StoreCall(
            kind=pb.StoreCall.SHARED_READ, topic=topic, offset=offset, wait_ms=wait_ms
        )
        try:
            answer = pb.StoreAnswer.FromString(
                await self._peers.ask(
                    reader.address, call.SerializeToString(), PEER_TIMEOUT_MS + wait_ms
                )
            )
        except (PeerError, DecodeError) as error:
            self._note_fallback(UNANSWERED)
            self._exclude(reader, str(error), MAX_SILENT_RETRY_MS)
            return None, UNANSWERED
        if answer.outcome != pb.StoreAnswer.DONE:
            self._note_fallback(answer.reason or "other")
            # The other reasons pass soon: the peer serves reads from later offsets, or answers once
            # the store does.
            if answer.reason in (DRAINING, NOT_READER):
                self._exclude(reader, answer.reason)
            return None, answer.reason
        page = _decode_page(answer, offset)
        if page is None:
            self._note_fallback(GAP)
            self._exclude(reader, GAP)
            return None, GAP
        self.choice.note_success(reader.instance)
        self._away_since_ms = None
        self._unreached_since_ms = None
        self.peer_reads += 1
        return page, ""

    def _note_fallback(self, reason: str) -> None:
        self.fallbacks_by_reason[reason] += 1

    def _exclude(self, reader: pb.Member, reason: str, most_ms: float = MAX_RETRY_MS) -> None:
        # A draining instance serves again only after it has restarted and announced itself.
        first_ms = MAX_RETRY_MS if reason == DRAINING else FIRST_RETRY_MS
        # After an outage of the store, all members would go on reading it for themselves.
        if reason == UNREACHED:
            most_ms = FIRST_RETRY_MS
        retry_ms = self.choice.note_failure(reader.instance, first_ms, most_ms)
        log.info("reader_excluded", reader=reader.instance, reason=reason, retry_ms=round(retry_ms))

    def _use_reader(self, name: str) -> None:
        if name == self._reader_name:
            return
        log.info("reader_changed", reader=name or "store", before=self._reader_name or "store")
        self._reader_name = name


# Reasons for which a read through a peer fails, and for which an instance does not serve it.
UNANSWERED = "unanswered"
GAP = "gap"
NOT_READER = "not the reader"
DRAINING = "draining"
UNREACHED = "does not reach the store"
UNCACHED = "not in the cache"
STORE_FAILED = "the read from the store failed"


class SharedReadServer:
    """Serve reads of peers from the records that this instance has read for itself.

    :param reader: this instance's reader of the topic.
    :param follower: follows the topic through that reader.
    :param draining: returns whether the instance is about to stop.
    :ivar served: number of reads served.
    """

    def __init__(
        self,
        reader: SharedReader,
        follower: TopicFollower,
        clock: Clock,
        draining: Callable[[], bool],
    ) -> None:
        self._reader = reader
        self._follower = follower
        self._clock = clock
        self._draining = draining
        self._waiting = 0
        self.served = 0

    async def serve(self, call: pb.StoreCall) -> pb.StoreAnswer:
        """Return the records from the requested offset on, or refuse the read.

        If there are none and the call does not wait, the store is read first, so that the end in
        the answer is new. ``age_ms`` tells how old it is if the store takes longer.
        """
        received_ms = self._clock.now_ms()
        reason = self._refusal(call)
        if not reason and call.offset >= self._reader.cache.next_offset:
            if call.wait_ms == 0:
                reason = await self._read_on(call.offset)
            else:
                await self._wait(min(call.wait_ms, MAX_PEER_WAIT_MS))
        reason = reason or self._refusal(call)
        if reason:
            return pb.StoreAnswer(outcome=pb.StoreAnswer.REFUSED, reason=reason)
        reader = self._reader
        records = [
            pb.KeyedRecord(offset=record.offset, key=record.key.encode(), value=record.value)
            for record in reader.cache.records_from(call.offset)
        ]
        self.served += 1
        return pb.StoreAnswer(
            records=records,
            next_offset=call.offset + len(records),
            end=reader.end,
            age_ms=math.ceil(max(0.0, received_ms - reader.end_asked_ms)),
        )

    def _refusal(self, call: pb.StoreCall) -> str:
        if self._draining():
            return DRAINING
        if call.topic != self._follower.topic or not self._reader.reads_for_peers:
            return NOT_READER
        silent_ms = self._clock.now_ms() - self._reader.answered_ms
        if not self._follower.loaded.is_set() or silent_ms > MAX_SILENCE_MS:
            return UNREACHED
        return "" if self._reader.cache.covers(call.offset) else UNCACHED

    async def _read_on(self, offset: int) -> str:
        """Read the store for records from an offset on, or up to a new end.

        :return: why the read failed, empty if it did not or takes longer.
        """
        cache = self._reader.cache
        try:
            async with asyncio.timeout(FRESH_READ_TIMEOUT_MS / 1000):
                await self._follower.read_to_end(lambda: cache.next_offset > offset)
        except TimeoutError:
            # `age_ms` tells that the end is not new; the peer asks again for what arrives by then.
            return ""
        except StoreError:
            return STORE_FAILED
        return ""

    async def _wait(self, wait_ms: float) -> None:
        if self._waiting >= MAX_WAITING:
            return
        self._waiting += 1
        try:
            await self._reader.wait_for_answer(wait_ms)
        finally:
            self._waiting -= 1


def _decode_page(answer: pb.StoreAnswer, offset: int) -> RecordPage | None:
    """Return the page in a peer's answer, ``None`` if records are missing or it is out of range."""
    if answer.end > MAX_OFFSET:
        return None
    records = []
    for expected, record in enumerate(answer.records, offset):
        if record.offset != expected:
            return None
        records.append(KeyedRecord(expected, record.key.decode(errors="replace"), record.value))
    return RecordPage(records, offset + len(records), answer.end, answer.age_ms)
