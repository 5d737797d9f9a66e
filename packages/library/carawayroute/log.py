"""Following the log and appending to it with a confirmation."""

import asyncio
from collections.abc import Callable

from carawayroute.clock import Clock
from carawayroute.exceptions import (
    LogError,
    LogExpiredError,
    LogUnavailableError,
    LogUncertainError,
)
from carawayroute.misc import new_id
from carawayroute.platform import Log
from carawayroute.retries import Backoff
from carawayroute.state import AppliedRecord, State, serialize_copy
from carawayroute_schema import carawayroute_pb2 as pb

READ_WAIT_MS = 500
READ_LIMIT = 1000
# An unanswered read may not hold an append back for long after the log returns.
MAX_RETRY_MS = 1000
# A shorter wait may end before the clock has moved on, and its loop would spin.
MIN_WAIT_MS = 1
# A live record is appended again once its newest copy used up this share of its retention.
FIRST_REAPPEND_SHARE = 0.4
REAPPEND_SHARE_STEP = 0.1
LAST_REAPPEND_SHARE = 0.7
# Without any record for this share of the retention, one is appended to learn the log's time.
IDLE_SHARE = 0.1
# Live records are looked through this often, as a share of the retention.
SCAN_INTERVAL_SHARE = 0.01
MIN_SCAN_INTERVAL_MS = 1_000
COMPACTION_INTERVAL_MS = 5_000
# How long an instance that missed records waits for a peer's state before it reads what is left.
PEER_STATE_WAIT_MS = 2_000


class LogFollower:
    """Keep a `State` up to date with the log.

    A record counts once it has been read back, never by the append's answer, because the answer
    can be lost after the write took effect.

    :param retention_ms: how long the log keeps a record.
    :param memory_ms: how long ended jobs and claims are remembered.
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
        # The newest records, for peers that cannot reach the log.
        self._recent_records: list[pb.OffsetRecord] = []
        # When a record was read last, by this instance's clock.
        self._last_read_ms = clock.now_ms()
        self._last_compaction_ms = float("-inf")

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

    async def _recover(self, earliest: int) -> None:
        """Go on after records were removed unread: from a peer's state, or from what is left."""
        self.needs_peer_state = True
        deadline_ms = self.clock.now_ms() + PEER_STATE_WAIT_MS
        while self.state.offset < earliest and self.clock.now_ms() < deadline_ms:
            await self.wait_change(deadline_ms - self.clock.now_ms())
        if self.state.offset < earliest:
            await self._rebuild(earliest)
        self.needs_peer_state = False

    async def _rebuild(self, earliest: int) -> None:
        """Read what retention has left; live records were appended again before their removal."""
        state = State(earliest)
        while True:
            try:
                records = await self.log.read(state.offset, 0, READ_LIMIT)
            except LogExpiredError as error:
                # More was removed meanwhile; begin again where the log begins now.
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
        """Go on from a state that was built elsewhere, never from an older offset."""
        if state.offset < self.state.offset:
            return
        self.state = state
        self._recent_records = []
        self.caught_up = True
        self._notify()

    def apply(self, records: list[pb.OffsetRecord]) -> None:
        """Apply records read from the log or received from a peer."""
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
        """Drop what ended long ago, now and then."""
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
        """Wait until the state changes; return whether it did in time."""
        try:
            await asyncio.wait_for(self.changed.wait(), max(MIN_WAIT_MS, timeout_ms) / 1000)
        except TimeoutError:
            return False
        return True

    def records_since(self, offset: int, limit: int) -> list[pb.OffsetRecord] | None:
        """Return applied records from an offset on, or ``None`` when they are not all kept."""
        if offset >= self.state.offset:
            return []
        if not self._recent_records or self._recent_records[0].offset > offset:
            return None
        return [stored for stored in self._recent_records if stored.offset >= offset][:limit]

    def make_record(self, **body: object) -> pb.LogRecord:
        """Return a new record with one body."""
        return pb.LogRecord(record_id=new_id("r"), writer=self.instance, **body)

    async def append(self, record: pb.LogRecord, timeout_ms: float) -> bool:
        """Append a record, wait until it has been read back, and return whether it counted.

        An unanswered append is repeated with the same record id until the time is up.

        :raises LogUnavailableError: the log certainly did not take the record.
        :raises LogUncertainError: the record was not read back in time, but it may yet appear.
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
                    await asyncio.wait_for(self.log.append(data), remaining_ms / 1000)
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
        """Append live records again before retention removes them, at a bounded rate.

        Each instance begins later than the one before it in rank, so that one does the work while
        it lives, and another does when it does not.

        :param rank: returns the place of this instance among all, from 0.
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
        """Return the log's time, as far as the records read tell."""
        return self.state.log_ms + self.clock.now_ms() - self._last_read_ms

    async def _append_log_time_if_idle(self, share: float) -> None:
        """Append a record when none was read for a share of the retention.

        What was read last can be older than it seems, so ages are only known from a fresh record.
        """
        if self.clock.now_ms() - self._last_read_ms > self.retention_ms * share:
            await self._try_append(self.make_record(log_time=pb.LogTime()).SerializeToString())

    async def _try_append(self, data: bytes) -> None:
        try:
            self.appends += 1
            await self.log.append(data)
        except LogError:
            # What is due stays due and is tried again with the next round.
            return
