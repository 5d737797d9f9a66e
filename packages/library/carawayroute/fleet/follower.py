"""Follows a keyed topic of the store and passes each record to a handler."""

import asyncio
import math
from collections.abc import Callable

import structlog

from carawayroute.clock import Clock
from carawayroute.fleet.exceptions import StoreError, StoreTrimmedError
from carawayroute.fleet.ports import KeyedRecord, RecordReader
from carawayroute.misc import wait_event
from carawayroute.retries import Backoff

# Long-poll time of a read; short, so that an unresponsive connection is noticed within about 1 s.
READ_WAIT_MS = 800
FIRST_RETRY_MS = 30
MAX_RETRY_MS = 300
# A follower that has not reached the end of the topic for longer than this logs that it is behind.
BEHIND_LOG_MS = 1_000
# Records that could not be handled are remembered, so that each is logged once, up to this number.
MAX_REMEMBERED_FAILURES = 200
# Longest age that is logged; it stands for a topic that was never read to its end.
MAX_LOGGED_AGE_MS = 1_000_000_000

log = structlog.get_logger()


class TopicFollower:
    """Load the newest record of each key of a topic, then read the records that follow.

    A record that ``apply`` fails on is logged and counted, and the follower goes on with the next.

    :param apply: called with each record.
    :param on_reloaded: called after a load with all existing keys and the offset as of which they
        are complete, so that keys that were removed in the meantime can be dropped.
    :param read_interval_ms: minimum time between two reads, to limit calls to the store.
    :ivar offset: offset of the next record to read.
    :ivar known_end: offset at which the topic ends, as last told by the store.
    :ivar loaded: set while the topic has been loaded.
    :ivar changed: set after each load and read.
    :ivar failing: whether the last load or read of `run` failed and none has succeeded since.
    :ivar recovered_ms: clock time at which reads last succeeded again after failing.
    :ivar unhandled_records: number of records that ``apply`` failed on.
    :ivar unexpected_errors: number of loads and reads that failed otherwise than by the store.
    """

    def __init__(
        self,
        store: RecordReader,
        clock: Clock,
        topic: str,
        apply: Callable[[KeyedRecord], None],
        on_reloaded: Callable[[set[str], int], None] | None = None,
        read_interval_ms: float = 0.0,
    ) -> None:
        self._store = store
        self._clock = clock
        self.topic = topic
        self._apply = apply
        self._on_reloaded = on_reloaded
        self._read_interval_ms = read_interval_ms
        self.offset = 0
        self.known_end = 0
        self.loaded = asyncio.Event()
        self.changed = asyncio.Event()
        self._current_as_of_ms = -math.inf
        self._reads_sent = 0
        # Number of the newest read that ended where the topic ended.
        self._last_complete_read = 0
        self._behind_since_ms: float | None = None
        self._behind_logged = False
        self.failing = False
        self.recovered_ms = 0.0
        self._read_requested = asyncio.Event()
        self._retry_requested = asyncio.Event()
        self._shared_read: asyncio.Task | None = None
        self._shared_load: asyncio.Task | None = None
        self._failed_offset_by_key: dict[str, int] = {}
        self.unhandled_records = 0
        self.unexpected_errors = 0

    def lag_ms(self) -> float:
        """Return the time in ms since the topic was last read to its end, infinite if never."""
        return self._clock.now_ms() - self._current_as_of_ms

    @property
    def current_as_of_ms(self) -> float:
        """Return the clock time as of which the topic was read to its end, -infinite if never."""
        return self._current_as_of_ms

    @property
    def behind_records(self) -> int:
        """Return the number of records before the known end that have not been read."""
        return max(0, self.known_end - self.offset)

    def state_age_ms(self) -> int:
        """Return ``lag_ms`` as a finite integer for log lines."""
        return round(min(self.lag_ms(), MAX_LOGGED_AGE_MS))

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        backoff = Backoff(FIRST_RETRY_MS, MAX_RETRY_MS)
        failing = False
        while True:
            sent_ms = self._clock.now_ms()
            try:
                if not self.loaded.is_set():
                    await self._join_load()
                elif self.behind_records or failing:
                    # A read that waits for records would not tell at once that the store answers.
                    await self._join_read()
                else:
                    await self._read(READ_WAIT_MS)
            except StoreTrimmedError as error:
                log.info("topic_trimmed", topic=self.topic, first=error.first, at=self.offset)
                self.loaded.clear()
                continue
            except StoreError as error:
                if not failing:
                    log.warning("store_read_failing", topic=self.topic, error=str(error))
                failing = self.failing = True
                self._log_if_behind()
                self._retry_requested.clear()
                await wait_event(self._retry_requested, backoff.next_ms())
                continue
            except Exception as error:
                # Without its follower an instance would go on serving a state that stands still.
                if not failing:
                    log.error("topic_read_failed", topic=self.topic, exc_info=error)
                failing = True
                self.unexpected_errors += 1
                await self._clock.sleep_ms(backoff.next_ms())
                continue
            if failing:
                log.info("store_read_recovered", topic=self.topic, offset=self.offset)
                self.recovered_ms = self._clock.now_ms()
                failing = False
            backoff.reset()
            await self._wait_interval(sent_ms)

    async def _wait_interval(self, sent_ms: float) -> None:
        left_ms = self._read_interval_ms - (self._clock.now_ms() - sent_ms)
        if left_ms <= 0 or self.behind_records:
            return
        if await wait_event(self._read_requested, left_ms):
            self._read_requested.clear()

    def set_read_interval(self, read_interval_ms: float) -> None:
        """Change the minimum time between two reads."""
        self._read_interval_ms = read_interval_ms
        self.request_read()

    def request_read(self) -> None:
        """Make the next read start now instead of after the read interval."""
        self._read_requested.set()

    def retry_now(self) -> None:
        """Repeat a failed read now, as the store answers again."""
        self._retry_requested.set()

    def note_end(self, end: int) -> None:
        """Note that the topic has records up to an offset.

        :param end: offset after the last one of them.
        """
        self.known_end = max(self.known_end, end)

    async def reload(self) -> None:
        """Load the newest records again, concurrently with the long-polling read."""
        self.loaded.clear()
        try:
            await self._join_load()
        except StoreError as error:
            # `run` loads them once the store answers.
            log.warning("reload_failed", topic=self.topic, error=str(error))
            self.request_read()

    async def wait_for_offset(self, end: int) -> None:
        """Wait until the topic is loaded and has been read up to an offset."""
        while self.offset < end or not self.loaded.is_set():
            self.request_read()
            self.changed.clear()
            await self.changed.wait()

    async def read_to_end(self, until: Callable[[], bool] | None = None) -> None:
        """Read up to an end of the topic that the store told after this call.

        Concurrent calls share their reads, as each transfers the same records.

        :param until: checked after each read; stops early once it is true.
        :raises StoreError: the store did not answer.
        """
        asked_ms = self._clock.now_ms()
        first_read = self._reads_sent + 1
        while self._last_complete_read < first_read or self._current_as_of_ms < asked_ms:
            try:
                await self._join_read()
            except StoreTrimmedError:
                await self.reload()
                await self.loaded.wait()
            if until is not None and until():
                return

    async def _join_load(self) -> None:
        """Load the topic, or wait for the load in progress."""
        if self._shared_load is None or self._shared_load.done():
            self._shared_load = asyncio.create_task(self._load(), name=f"load {self.topic}")
            self._shared_load.add_done_callback(self._end_load)
        await asyncio.shield(self._shared_load)

    def _end_load(self, task: asyncio.Task) -> None:
        if self._shared_load is task:
            self._shared_load = None
        _retrieve_exception(task)

    async def _load(self) -> None:
        sent_ms = self._clock.now_ms()
        self._reads_sent += 1
        number = self._reads_sent
        found = await self._store.newest(self.topic)
        for record in found.records:
            self._handle(record)
        if self._on_reloaded is not None:
            self._on_reloaded({record.key for record in found.records}, found.next_offset)
        self.offset = found.next_offset
        self.known_end = max(self.known_end, found.end)
        self._last_complete_read = max(self._last_complete_read, number)
        self._current_as_of_ms = sent_ms - found.age_ms
        self.failing = False
        self.loaded.set()
        self.changed.set()
        log.info("topic_loaded", topic=self.topic, keys=len(found.records), offset=self.offset)
        self._log_if_behind()

    async def _join_read(self) -> None:
        """Read the available records, or wait for the read in progress."""
        if self._shared_read is None or self._shared_read.done():
            self._shared_read = asyncio.create_task(self._read(0), name=f"read {self.topic}")
            self._shared_read.add_done_callback(self._end_read)
        await asyncio.shield(self._shared_read)

    def _end_read(self, task: asyncio.Task) -> None:
        if self._shared_read is task:
            self._shared_read = None
        _retrieve_exception(task)

    async def _read(self, wait_ms: int) -> None:
        sent_ms = self._clock.now_ms()
        self._reads_sent += 1
        number = self._reads_sent
        found = await self._store.read(self.topic, self.offset, wait_ms)
        self.failing = False
        for record in found.records:
            if record.offset >= self.offset:
                self._handle(record)
        self.offset = max(self.offset, found.next_offset)
        self.known_end = max(self.known_end, found.end)
        if self.offset >= found.end:
            self._last_complete_read = max(self._last_complete_read, number)
            self._current_as_of_ms = max(self._current_as_of_ms, sent_ms - found.age_ms)
        self.changed.set()
        self._log_if_behind()

    def _handle(self, record: KeyedRecord) -> None:
        """Pass a record to the handler; its failure must not keep the next records from it."""
        try:
            self._apply(record)
        except Exception as error:
            self._note_failure(record, error)

    def _note_failure(self, record: KeyedRecord, error: Exception) -> None:
        """Count a record that cannot be handled, and log it once although each load repeats it."""
        if self._failed_offset_by_key.get(record.key) == record.offset:
            return
        self.unhandled_records += 1
        if len(self._failed_offset_by_key) >= MAX_REMEMBERED_FAILURES:
            return
        self._failed_offset_by_key[record.key] = record.offset
        log.error(
            "record_not_handled",
            topic=self.topic,
            key=record.key,
            offset=record.offset,
            exc_info=error,
        )

    def _log_if_behind(self) -> None:
        """Log once that the end has not been reached for long, and once that it has been."""
        now_ms = self._clock.now_ms()
        if not self.behind_records:
            if self._behind_logged and self._behind_since_ms is not None:
                log.info(
                    "topic_caught_up",
                    topic=self.topic,
                    offset=self.offset,
                    end=self.known_end,
                    state_age_ms=self.state_age_ms(),
                    took_ms=round(now_ms - self._behind_since_ms),
                )
            self._behind_since_ms = None
            self._behind_logged = False
            return
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        if not self._behind_logged and now_ms - self._behind_since_ms > BEHIND_LOG_MS:
            self._behind_logged = True
            log.warning(
                "topic_behind",
                topic=self.topic,
                offset=self.offset,
                end=self.known_end,
                state_age_ms=self.state_age_ms(),
            )


def _retrieve_exception(task: asyncio.Task) -> None:
    """Mark a task's exception as retrieved: all that waited for the task may have left."""
    if not task.cancelled():
        task.exception()
