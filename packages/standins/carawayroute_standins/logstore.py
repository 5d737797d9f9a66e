"""Stand-in for the platform's log service, with limited retention and fault injection."""

import asyncio
import bisect

from carawayroute.clock import Clock
from carawayroute.exceptions import LogExpiredError, LogUnavailableError, LogUncertainError
from carawayroute_schema import carawayroute_pb2 as pb

MODES = ("up", "down", "slow", "lose_answers")


class LogStore:
    """An in-memory log.

    :param retention_ms: age in ms at which records are removed.
    :ivar mode: ``up``, ``down``, ``slow`` (every call takes `slow_ms`) or ``lose_answers``
        (appends take effect but fail with `LogUncertainError`).
    """

    def __init__(self, clock: Clock, retention_ms: int = 3_600_000) -> None:
        self.clock = clock
        self.retention_ms = retention_ms
        self.mode = "up"
        self.slow_ms = 500
        self.records: list[pb.OffsetRecord] = []
        self.next_offset = 0
        self.appends = 0
        self._append_event = asyncio.Event()

    def _expire(self) -> None:
        oldest_ms = self.clock.wall_ms() - self.retention_ms
        expired_count = 0
        while (
            expired_count < len(self.records)
            and self.records[expired_count].appended_ms < oldest_ms
        ):
            expired_count += 1
        del self.records[:expired_count]

    def expire_all(self) -> None:
        """Remove every record, as if all had exceeded their retention."""
        self.records.clear()

    async def append(self, data: bytes) -> int:
        """Append a record and return its offset.

        :raises LogUnavailableError: the log is down; nothing was appended.
        :raises LogUncertainError: the record was appended but the answer was lost.
        """
        if self.mode == "down":
            raise LogUnavailableError("the log is down")
        if self.mode == "slow":
            await self.clock.sleep_ms(self.slow_ms)
        offset = self.next_offset
        self.next_offset += 1
        self.appends += 1
        stored = pb.OffsetRecord(offset=offset, appended_ms=self.clock.wall_ms(), data=data)
        self.records.append(stored)
        self._append_event.set()
        self._append_event = asyncio.Event()
        if self.mode == "lose_answers":
            raise LogUncertainError("the answer was lost")
        return offset

    async def read(self, offset: int, wait_ms: int, limit: int) -> list[pb.OffsetRecord]:
        """Return up to `limit` records from an offset on, waiting up to `wait_ms` for the first.

        :raises LogUnavailableError: the log is down.
        :raises LogExpiredError: records from the offset on have been removed.
        """
        if self.mode == "down":
            raise LogUnavailableError("the log is down")
        if self.mode == "slow":
            await self.clock.sleep_ms(self.slow_ms)
        self._expire()
        earliest = self.records[0].offset if self.records else self.next_offset
        if offset < earliest:
            raise LogExpiredError(earliest)
        if offset >= self.next_offset and wait_ms > 0:
            append_event = self._append_event
            try:
                await asyncio.wait_for(append_event.wait(), wait_ms / 1000)
            except TimeoutError:
                return []
            if self.mode == "down":
                raise LogUnavailableError("the log is down")
        first = bisect.bisect_left(self.records, offset, key=lambda stored: stored.offset)
        return self.records[first : first + limit]
