"""Log follower: applies records to the state and confirms appends by reading them back."""

import asyncio
from collections.abc import Callable

from carawayroute.clock import Clock
from carawayroute.exceptions import (
    LogError,
    LogExpiredError,
    LogUnavailableError,
    LogUncertainError,
)
from carawayroute.misc import new_id, wait_event
from carawayroute.platform import Log
from carawayroute.retries import Backoff
from carawayroute.state import AppliedRecord, State, serialize_copy
from carawayroute_schema import carawayroute_pb2 as pb

READ_WAIT_MS = 500
READ_LIMIT = 1000
# Bounds the delay before reads and appends resume once the log is available again.
MAX_RETRY_MS = 1000
# A shorter wait can end before the clock advances, which makes the caller's loop spin.
MIN_WAIT_MS = 1
# Age, as a share of the retention, at which a live record is appended again. Each further rank
# waits one step longer, up to the last share.
FIRST_REAPPEND_SHARE = 0.4
REAPPEND_SHARE_STEP = 0.1
LAST_REAPPEND_SHARE = 0.7
# With no record read for this share of the retention, one is appended to learn the log's time.
IDLE_SHARE = 0.1
# Interval between scans of the live records, as a share of the retention.
SCAN_INTERVAL_SHARE = 0.01
MIN_SCAN_INTERVAL_MS = 1_000
COMPACTION_INTERVAL_MS = 5_000
# Wait for a peer's snapshot after missing records, before rebuilding from the remaining ones.
PEER_STATE_WAIT_MS = 2_000


class LogFollower:
    """Keep a `State` up to date with the log, and append records.

    An append is confirmed by reading the record back rather than by the response, because the
    response can be lost after the write took effect.

    :param retention_ms: how long the log keeps a record.
    :param ended_retention_ms: how long ended jobs and claims are kept in the state.
    :ivar reachable: whether the last read succeeded.
    :ivar caught_up: whether the state has reached the end of the log.
    :ivar needs_peer_state: whether records were missed and a peer's snapshot is wanted.
    :ivar changed: set and replaced at each change of the state.
    :ivar listeners: called with each record that was decoded and applied.
    """

    def __init__(
        self, log: Log, clock: Clock, instance: str, retention_ms: int, ended_retention_ms: int
    ) -> None:
        self.log = log
        self.clock = clock
        self.instance = instance
        self.retention_ms = retention_ms
        self.ended_retention_ms = ended_retention_ms
        self.state = State()
        self.reachable = False
        self.caught_up = False
        self.needs_peer_state = False
        self.changed = asyncio.Event()
        self.appends = 0
        self.listeners: list[Callable[[pb.LogRecord], None]] = []
        self._confirmation_by_record_id: dict[str, asyncio.Future[bool]] = {}
        # Latest records, served to peers that cannot reach the log.
        self._recent_records: list[pb.OffsetRecord] = []
        # Local monotonic time of the last read that returned a record.
        self._last_read_ms = clock.now_ms()
        self._last_compaction_ms = float("-inf")
        # When the newest read that reached the end of the log on request was sent.
        self._current_as_of_ms = float("-inf")
        self._read_lock = asyncio.Lock()

    async def run(self) -> None:
        """Follow the log until cancelled."""
        backoff = Backoff(100, MAX_RETRY_MS)
        while True:
            try:
                records = await self.log.read(self.state.offset, READ_WAIT_MS, READ_LIMIT)
            except LogExpiredError as error:
                self.reachable = True
                await self._recover(error.earliest)
                continue
            except LogError:
                self.reachable = False
                await self.clock.sleep_ms(backoff.next_ms())
                continue
            backoff.reset()
            self.reachable = True
            self.apply(records)
            if len(records) < READ_LIMIT:
                self.caught_up = True

    async def read_to_end(self) -> None:
        """Read the records that the log has now, concurrently with `run`.

        Concurrent calls share their reads.

        :raises LogError: the log did not answer, or no longer has the next records.
        """
        asked_ms = self.clock.now_ms()
        async with self._read_lock:
            while self._current_as_of_ms < asked_ms:
                sent_ms = self.clock.now_ms()
                records = await self.log.read(self.state.offset, 0, READ_LIMIT)
                self.apply(records)
                if len(records) < READ_LIMIT:
                    self._current_as_of_ms = sent_ms

    async def _recover(self, earliest: int) -> None:
        """Recover from missed records, by a peer's snapshot or else by the remaining records."""
        self.needs_peer_state = True
        deadline_ms = self.clock.now_ms() + PEER_STATE_WAIT_MS
        while self.state.offset < earliest and self.clock.now_ms() < deadline_ms:
            await self.wait_change(deadline_ms - self.clock.now_ms())
        if self.state.offset < earliest:
            await self._rebuild(earliest)
        self.needs_peer_state = False

    async def _rebuild(self, earliest: int) -> None:
        """Rebuild the state from the records in the log.

        These suffice because live records are appended again before retention removes them.
        """
        state = State(earliest)
        while True:
            try:
                records = await self.log.read(state.offset, 0, READ_LIMIT)
            except LogExpiredError as error:
                # Retention advanced during the read; restart from the new earliest offset.
                state = State(error.earliest)
                continue
            except LogError:
                return
            for stored in records:
                state.apply(stored)
            if len(records) < READ_LIMIT:
                break
        if state.change.version < self.state.change.version:
            state.change = self.state.change
            state.change_record_id = self.state.change_record_id
        self.replace_state(state)

    def replace_state(self, state: State) -> None:
        """Replace the state by a snapshot or rebuilt state, unless that is at an older offset."""
        if state.offset < self.state.offset:
            return
        self.state = state
        self._recent_records = []
        self.caught_up = True
        self._notify()

    def apply(self, records: list[pb.OffsetRecord]) -> None:
        """Apply records from the log or from a peer, and notify waiters and listeners."""
        applied = False
        for stored in records:
            if stored.offset < self.state.offset:
                continue
            result = self.state.apply(stored)
            self._recent_records.append(stored)
            applied = True
            if result is None:
                continue
            self._resolve(result)
            for listener in self.listeners:
                listener(result.record)
        if applied:
            self._last_read_ms = self.clock.now_ms()
            del self._recent_records[:-READ_LIMIT]
            self._compact()
            self._notify()

    def _compact(self) -> None:
        """Remove expired jobs and claims every `COMPACTION_INTERVAL_MS`."""
        now_ms = self.clock.now_ms()
        if now_ms - self._last_compaction_ms >= COMPACTION_INTERVAL_MS:
            self._last_compaction_ms = now_ms
            self.state.compact(self.ended_retention_ms)

    def _resolve(self, result: AppliedRecord) -> None:
        confirmation = self._confirmation_by_record_id.get(result.record.record_id)
        if confirmation is not None and not confirmation.done():
            confirmation.set_result(result.took_effect)

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_change(self, timeout_ms: float) -> bool:
        """Wait for the state to change and return whether it did within the timeout."""
        return await wait_event(self.changed, max(MIN_WAIT_MS, timeout_ms))

    def records_since(self, offset: int, limit: int) -> list[pb.OffsetRecord] | None:
        """Return applied records from an offset on, or ``None`` if some are no longer held."""
        if offset >= self.state.offset:
            return []
        if not self._recent_records or self._recent_records[0].offset > offset:
            return None
        return [stored for stored in self._recent_records if stored.offset >= offset][:limit]

    def make_record(self, **body: object) -> pb.LogRecord:
        """Return a new record.

        :param body: the body field of the record, as a single keyword.
        """
        return pb.LogRecord(record_id=new_id("r"), writer=self.instance, **body)

    async def append(self, record: pb.LogRecord, timeout_ms: float) -> bool:
        """Append a record, wait to read it back, and return whether it took effect.

        An append without a response is retried under the same record id until the timeout.

        :raises LogUnavailableError: the record was definitely not appended.
        :raises LogUncertainError: the record was not read back in time but may still appear.
        """
        deadline_ms = self.clock.now_ms() + timeout_ms
        data = record.SerializeToString()
        read_back: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._confirmation_by_record_id[record.record_id] = read_back
        may_be_stored = False
        backoff = Backoff(50, MAX_RETRY_MS)
        try:
            while True:
                remaining_ms = deadline_ms - self.clock.now_ms()
                if remaining_ms <= 0:
                    break
                try:
                    self.appends += 1
                    async with asyncio.timeout(remaining_ms / 1000):
                        await self.log.append(data)
                    may_be_stored = True
                except LogUnavailableError:
                    await self._wait(read_back, min(backoff.next_ms(), remaining_ms))
                except (LogUncertainError, TimeoutError):
                    may_be_stored = True
                    await self._wait(read_back, min(backoff.next_ms(), remaining_ms))
                else:
                    await self._wait(read_back, deadline_ms - self.clock.now_ms())
                if read_back.done():
                    return read_back.result()
        finally:
            del self._confirmation_by_record_id[record.record_id]
        if may_be_stored:
            raise LogUncertainError("the record was not read back in time")
        raise LogUnavailableError("the log did not take the record in time")

    async def _wait(self, future: asyncio.Future[bool], timeout_ms: float) -> None:
        if timeout_ms > 0:
            await asyncio.wait([future], timeout=max(MIN_WAIT_MS, timeout_ms) / 1000)

    async def reappend_live_records(self, per_second: int, rank: Callable[[], int]) -> None:
        """Append live records again before retention removes them, until cancelled.

        A higher rank waits longer, so normally only the instance of rank 0 appends, and the next
        one takes over if it fails.

        :param per_second: upper bound of the rate of appends.
        :param rank: returns the rank of this instance among the entries, from 0.
        """
        scan_interval_ms = max(MIN_SCAN_INTERVAL_MS, self.retention_ms * SCAN_INTERVAL_SHARE)
        limit = int(per_second * scan_interval_ms / 1000)
        while True:
            await self.clock.sleep_ms(scan_interval_ms)
            if not self.reachable or not self.caught_up:
                continue
            share_delay = rank() * REAPPEND_SHARE_STEP
            await self._append_log_time_if_idle(IDLE_SHARE + share_delay)
            share = min(FIRST_REAPPEND_SHARE + share_delay, LAST_REAPPEND_SHARE)
            before_ms = self.log_now_ms() - self.retention_ms * share
            for stored in self.state.due_for_reappend(before_ms, limit):
                await self._try_append(serialize_copy(stored))

    def log_now_ms(self) -> float:
        """Return an estimate of the log's clock from the last record read."""
        return self.state.log_ms + self.clock.now_ms() - self._last_read_ms

    async def _append_log_time_if_idle(self, share: float) -> None:
        """Append a time record if none was read for a share of the retention.

        The last record may have been appended long before it was read; only a fresh record gives
        the log's time and thus the age of the others.
        """
        if self.clock.now_ms() - self._last_read_ms > self.retention_ms * share:
            await self._try_append(self.make_record(log_time=pb.LogTime()).SerializeToString())

    async def _try_append(self, data: bytes) -> None:
        try:
            self.appends += 1
            await self.log.append(data)
        except LogError:
            # The record remains due and is retried at the next scan.
            return
