"""Follows a keyed topic of the store and passes each record to a handler."""

import asyncio
from collections.abc import Callable

import structlog

from carawayroute.clock import Clock
from carawayroute.fleet.exceptions import StoreError, StoreTrimmedError
from carawayroute.fleet.ports import KeyedRecord, Store
from carawayroute.misc import wait_event
from carawayroute.retries import Backoff

# Long-poll time of a read; short, so that an unresponsive connection is noticed within about 1 s.
READ_WAIT_MS = 800
FIRST_RETRY_MS = 30
MAX_RETRY_MS = 300

log = structlog.get_logger()


class TopicFollower:
    """Load the newest record of each key of a topic, then read the records that follow.

    :param apply: called with each record.
    :param on_reloaded: called after a load with all existing keys and the offset as of which they
        are complete, so that keys that were removed in the meantime can be dropped.
    :param read_interval_ms: minimum time between two reads, to limit calls to the store.
    :ivar offset: offset of the next record to read.
    :ivar loaded: set while the topic has been loaded.
    :ivar changed: set after each load and read.
    :ivar recovered_ms: clock time at which reads last succeeded again after failing.
    """

    def __init__(
        self,
        store: Store,
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
        self.loaded = asyncio.Event()
        self.changed = asyncio.Event()
        self._current_as_of_ms: float | None = None
        self._behind = False
        self.recovered_ms = 0.0
        self._read_requested = asyncio.Event()

    def lag_ms(self) -> float:
        """Return the time in ms since the topic was last read to its end, infinite if never."""
        if self._current_as_of_ms is None:
            return float("inf")
        return self._clock.now_ms() - self._current_as_of_ms

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        backoff = Backoff(FIRST_RETRY_MS, MAX_RETRY_MS)
        failing = False
        while True:
            sent_ms = self._clock.now_ms()
            try:
                if not self.loaded.is_set():
                    await self._load()
                else:
                    await self._read(sent_ms)
            except StoreTrimmedError as error:
                log.info("topic_trimmed", topic=self.topic, first=error.first, at=self.offset)
                self.loaded.clear()
                continue
            except StoreError as error:
                if not failing:
                    log.warning("store_read_failing", topic=self.topic, error=str(error))
                failing = True
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
        if left_ms <= 0 or self._behind:
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

    async def reload(self) -> None:
        """Load the newest records again, concurrently with the long-polling read."""
        self.loaded.clear()
        try:
            await self._load()
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

    async def _load(self) -> None:
        sent_ms = self._clock.now_ms()
        found = await self._store.newest(self.topic)
        for record in found.records:
            self._apply(record)
        if self._on_reloaded is not None:
            self._on_reloaded({record.key for record in found.records}, found.next_offset)
        self.offset = found.next_offset
        self._current_as_of_ms = sent_ms
        self.loaded.set()
        self.changed.set()
        log.info("topic_loaded", topic=self.topic, keys=len(found.records), offset=self.offset)

    async def read_to_end(self) -> None:
        """Read the available records at once, concurrently with the long-polling read.

        :raises StoreError: the store did not answer.
        """
        try:
            await self._read(self._clock.now_ms(), 0)
        except StoreTrimmedError:
            await self.reload()
            await self.loaded.wait()

    async def _read(self, sent_ms: float, wait_ms: int = READ_WAIT_MS) -> None:
        found = await self._store.read(self.topic, self.offset, wait_ms)
        for record in found.records:
            if record.offset >= self.offset:
                self._apply(record)
        self.offset = max(self.offset, found.next_offset)
        self._behind = self.offset < found.end
        if self.offset >= found.end:
            self._current_as_of_ms = self._clock.now_ms() if found.records else sent_ms
        self.changed.set()
