"""Appends records in batches, storing each batch exactly once even if answers are lost."""

import asyncio
import math

import structlog

from carawayroute.clock import Clock
from carawayroute.fleet.exceptions import (
    StoreError,
    StoreFencedError,
    StoreRefusedError,
    StoreRejectedError,
    StoreSequenceError,
    StoreUnansweredError,
)
from carawayroute.fleet.ports import Store
from carawayroute.misc import wait_event
from carawayroute.retries import Backoff

# After failing for longer than this, about 100 times its usual response time, the store gets no new
# records.
UNRESPONSIVE_MS = 700
# Records that a planner writes within a few milliseconds are sent together; the time limit for
# starting a task leaves room for this delay.
BATCH_LINGER_MS = 8
FIRST_RETRY_MS = 20
MAX_RETRY_MS = 400
# The platform accepts up to 2 MB in one call.
MAX_BATCH_BYTES = 1_000_000

log = structlog.get_logger()


class _PendingWrite:
    __slots__ = ("done", "records", "size")

    def __init__(self, records: list[tuple[str, bytes]], done: asyncio.Future) -> None:
        self.records = records
        self.done = done
        self.size = sum(len(key) + len(value) for key, value in records)


class LogWriter:
    """Append records to a topic, one batch at a time, under a producer's name and epoch.

    The store tracks the sequence numbers of a producer's batches, so that a batch that is sent
    again is stored once.

    :param epoch: the producer's epoch; a producer with a higher epoch fences this one.
    :param retry_until_stored: retry appends that the store refuses, instead of failing the write,
        and gather records for a few milliseconds before each batch.
    :param give_up_ms: time after which an append whose outcome is unknown is no longer repeated.
    :ivar fenced: whether a producer with a higher epoch has written.
    :ivar unexpected_errors: number of appends that failed otherwise than by the store.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        topic: str,
        producer: str,
        epoch: int = 1,
        retry_until_stored: bool = False,
        give_up_ms: float = math.inf,
    ) -> None:
        self._store = store
        self._clock = clock
        self._topic = topic
        self._producer = producer
        self._epoch = epoch
        self._retry_until_stored = retry_until_stored
        self._give_up_ms = give_up_ms
        self._sequence = 0
        self._waiting: list[_PendingWrite] = []
        self._wake = asyncio.Event()
        self._retry_requested = asyncio.Event()
        self._failing_since_ms: float | None = None
        self._append_in_flight = False
        # Whether another call was answered since the last append failed.
        self._store_answers = False
        self._sent_by_key: dict[str, _PendingWrite] = {}
        self.fenced = False
        self.unexpected_errors = 0

    @property
    def failing_ms(self) -> float:
        """Return for how long appends have been failing in ms, 0 if the last one succeeded."""
        if self._failing_since_ms is None:
            return 0.0
        return self._clock.now_ms() - self._failing_since_ms

    def sent_write(self, key: str) -> asyncio.Future | None:
        """Return the result of the append in flight that includes a key, ``None`` if there is none.

        Whether its records are stored is not certain before it ends.
        """
        item = self._sent_by_key.get(key)
        return item.done if item is not None else None

    async def write(self, records: list[tuple[str, bytes]]) -> dict[str, int]:
        """Append records and return once the store has them.

        Cancelling the call withdraws records that have not been sent yet, unless
        ``retry_until_stored`` is set.

        :param records: pairs of key and value.
        :return: offsets by key of the records that were sent together, of which the newest for each
            key was stored; empty if the answer with the offsets was lost.
        :raises StoreRefusedError: the records are not in the store and never will be.
        :raises StoreUnansweredError: the records may be in the store.
        :raises StoreFencedError: a producer with a higher epoch has taken over.
        """
        if self.fenced:
            raise StoreFencedError("a producer with a higher epoch has written")
        if (
            not self._retry_until_stored
            and self._append_in_flight
            and not self._store_answers
            and self.failing_ms > UNRESPONSIVE_MS
        ):
            raise StoreRefusedError("the store does not answer")
        item = _PendingWrite(records, asyncio.get_running_loop().create_future())
        self._waiting.append(item)
        self._wake.set()
        try:
            # Cancelling one caller must not cancel the batch.
            return await asyncio.shield(item.done)
        except asyncio.CancelledError:
            if self._retry_until_stored or item not in self._waiting:
                raise
            self._waiting.remove(item)
            raise StoreRefusedError("the records were not sent in time") from None

    def retry_now(self) -> None:
        """Repeat a failed append now, as the store answers again."""
        self._store_answers = True
        self._retry_requested.set()

    async def run(self) -> None:
        """Append waiting records until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            if self._retry_until_stored:
                await self._clock.sleep_ms(BATCH_LINGER_MS)
            while self._waiting:
                batch = self._next_batch()
                self._append_in_flight = True
                self._sent_by_key = {key: item for item in batch for key, _ in item.records}
                await self._append(batch)
                self._append_in_flight = False
                self._sent_by_key = {}

    def _next_batch(self) -> list[_PendingWrite]:
        batch: list[_PendingWrite] = []
        size = 0
        while self._waiting and (not batch or size + self._waiting[0].size < MAX_BATCH_BYTES):
            item = self._waiting.pop(0)
            size += item.size
            batch.append(item)
        return batch

    async def _append(self, batch: list[_PendingWrite]) -> None:
        """Append one batch, retrying until its outcome is certain or ``give_up_ms`` have passed."""
        first_sent_ms = self._clock.now_ms()
        # If a key was written several times, only its newest record is sent.
        newest = {key: value for item in batch for key, value in item.records}
        records = list(newest.items())
        backoff = Backoff(FIRST_RETRY_MS, MAX_RETRY_MS)
        uncertain = False
        while True:
            if uncertain and self._clock.now_ms() - first_sent_ms > self._give_up_ms:
                self._give_up(batch)
                return
            error, offset = await self._send_once(records, uncertain)
            if error is None:
                self._note_success()
                self._sequence += 1
                offset_by_key = {}
                if offset is not None:
                    offset_by_key = {key: offset + number for number, key in enumerate(newest)}
                _resolve(batch, None, offset_by_key)
                return
            if isinstance(error, StoreFencedError):
                self.fenced = True
                _resolve([*batch, *self._waiting], error)
                self._waiting.clear()
                return
            if isinstance(error, StoreRejectedError):
                await self._append_separately(batch, error)
                return
            if isinstance(error, StoreRefusedError):
                self._note_failure(error)
                if not uncertain and not self._retry_until_stored:
                    _resolve(batch, error)
                    return
            elif not isinstance(error, StoreSequenceError):
                uncertain = True
                self._note_failure(error)
            self._refuse_unsent()
            self._retry_requested.clear()
            await wait_event(self._retry_requested, backoff.next_ms())

    def _give_up(self, batch: list[_PendingWrite]) -> None:
        """Fail a batch of unknown outcome; later ones are numbered anew in a higher epoch."""
        log.warning("append_given_up", topic=self._topic, records=len(batch))
        self._epoch += 1
        self._sequence = 0
        _resolve(batch, StoreUnansweredError("the outcome of the append is unknown"))

    async def _append_separately(
        self, batch: list[_PendingWrite], error: StoreRejectedError
    ) -> None:
        """Append the writes of a rejected batch one by one; fail a single one."""
        if len(batch) > 1:
            for item in batch:
                await self._append([item])
            return
        keys = [key for key, _ in batch[0].records]
        log.error("append_rejected", topic=self._topic, keys=keys[:5], error=str(error))
        _resolve(batch, error)

    async def _send_once(
        self, records: list[tuple[str, bytes]], uncertain: bool
    ) -> tuple[StoreError | None, int | None]:
        """Send a batch once.

        :param uncertain: an earlier attempt may have stored the batch.
        :return: the error, ``None`` if the batch is stored, and the offset of its first record,
            ``None`` if it is unknown.
        """
        try:
            appended = await self._store.append(
                self._topic,
                records,
                producer=self._producer,
                epoch=self._epoch,
                sequence=self._sequence,
            )
        except StoreSequenceError as error:
            if uncertain and error.expected == self._sequence + 1:
                return None, None
            log.warning(
                "append_sequence_mismatch",
                topic=self._topic,
                sent=self._sequence,
                expected=error.expected,
            )
            self._sequence = error.expected
            return error, None
        except StoreError as error:
            return error, None
        except Exception as error:
            # The callers wait for an outcome, and the batch may be stored.
            self.unexpected_errors += 1
            if self._failing_since_ms is None:
                log.error("append_failed", topic=self._topic, exc_info=error)
            return StoreUnansweredError(f"unexpected {type(error).__name__}"), None
        return None, appended.offset

    def _refuse_unsent(self) -> None:
        """Fail the writes whose records were never sent once the store is unresponsive."""
        if self._retry_until_stored or self.failing_ms <= UNRESPONSIVE_MS:
            return
        _resolve(self._waiting, StoreRefusedError("the store does not answer"))
        self._waiting.clear()

    def _note_failure(self, error: StoreError) -> None:
        self._store_answers = False
        if self._failing_since_ms is None:
            self._failing_since_ms = self._clock.now_ms()
            log.warning("store_append_failing", topic=self._topic, error=str(error))

    def _note_success(self) -> None:
        if self._failing_since_ms is not None:
            log.info("store_append_recovered", topic=self._topic, after_ms=round(self.failing_ms))
            self._failing_since_ms = None


def _resolve(
    batch: list[_PendingWrite],
    error: StoreError | None,
    offset_by_key: dict[str, int] | None = None,
) -> None:
    for item in batch:
        if item.done.done():
            continue
        if error is None:
            item.done.set_result(offset_by_key or {})
        else:
            item.done.set_exception(error)
            # Marks the exception as retrieved: the caller may be gone, and the error was logged.
            item.done.exception()
