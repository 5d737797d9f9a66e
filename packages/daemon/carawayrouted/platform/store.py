"""Client of the platform's store, a log with keyed topics."""

import asyncio
import struct
from collections import Counter
from collections.abc import Callable
from typing import TypeVar
from urllib.parse import quote

import structlog

from carawayroute.fleet.exceptions import (
    FormatError,
    StoreConflictError,
    StoreError,
    StoreFencedError,
    StoreRefusedError,
    StoreRejectedError,
    StoreSequenceError,
    StoreTrimmedError,
    StoreUnansweredError,
)
from carawayroute.fleet.ports import AppendResult, KeyedRecord, RecordPage
from carawayroute.fleet.relay import READ_KB
from carawayrouted.platform.decoding import (
    MAX_INT64,
    MAX_NAME_BYTES,
    Fields,
    check_object,
    decode_object,
)
from carawayrouted.platform.http import HttpPool, Reply, RequestNotSentError
from carawayrouted.platform.settings import Address

PARTITION = 0
APPEND_TIMEOUT_MS = 900
READ_TIMEOUT_MS = 900
# A page of the newest records has up to 1 MB, which takes 2 s over the smallest machine's link
# (5 Mbit/s) without other traffic; after a restart, all instances of a region share its link.
PAGE_TIMEOUT_MS = 20_000
PAGE_READ_TIMEOUT_MS = 1_500
# A failed page is read again, which avoids reading the pages before it again.
MAX_PAGE_ATTEMPTS = 3
# Above the size of the largest record.
LARGEST_READ_KB = 1_024
REFUSED_STATUSES = (429, 503, 507)
# A repetition of the call has the same result.
REJECTED_STATUSES = (400, 413)
# Kinds of calls.
APPEND = "append"
READ = "read"
NEWEST = "newest"
# End of a conflict that the store does not tell.
UNKNOWN_END = -1

Decoded = TypeVar("Decoded")

log = structlog.get_logger()


class HttpStore:
    """Client of the store's HTTP API.

    Every call raises ``StoreRefusedError`` if the store took nothing, and ``StoreUnansweredError``
    if the result is unknown.

    :ivar calls: number of HTTP calls made.
    :ivar bytes_by_kind: bytes of the answers' bodies that arrived, including incomplete ones.
    :ivar unanswered_by_kind: number of calls without a complete answer, by kind and cause:
        ``not_sent`` (no connection), ``timed_out`` (or the connection broke), or ``cancelled`` by
        the caller.
    """

    def __init__(self, pool: HttpPool, address: Address) -> None:
        self._pool = pool
        self._base = f"http://{address}/v1/"
        self.calls = 0
        self.bytes_by_kind: Counter[str] = Counter()
        self.unanswered_by_kind: Counter[tuple[str, str]] = Counter()

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        timeout_ms: float,
        body: bytes | None = None,
        read_timeout_ms: float | None = None,
    ) -> Reply:
        def count_bytes(received: int) -> None:
            self.bytes_by_kind[kind] += received

        self.calls += 1
        headers = {"Content-Type": "application/octet-stream"} if body is not None else None
        try:
            reply = await self._pool.call(
                method, self._base + path, timeout_ms, body, headers, read_timeout_ms, count_bytes
            )
        except RequestNotSentError as error:
            self.unanswered_by_kind[kind, "not_sent"] += 1
            raise StoreRefusedError(f"no connection to the store: {error}") from error
        except TimeoutError as error:
            self.unanswered_by_kind[kind, "timed_out"] += 1
            raise StoreUnansweredError(str(error)) from error
        except asyncio.CancelledError:
            self.unanswered_by_kind[kind, "cancelled"] += 1
            raise
        if reply.status in REFUSED_STATUSES:
            raise StoreRefusedError(f"the store answered {reply.status}")
        return reply

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        at: int | None = None,
        producer: str = "",
        epoch: int = 0,
        sequence: int | None = None,
    ) -> AppendResult:
        """Append records atomically.

        :param at: offset that the topic must end at, if given.
        :param producer: name that is fenced by ``epoch``.
        :param sequence: sequence number of the first record, checked by the store.
        :raises StoreConflictError: the topic does not end at ``at``.
        :raises StoreSequenceError: the sequence number is not the next one.
        :raises StoreFencedError: the store refused the epoch.
        :raises StoreRejectedError: the store never accepts these records.
        """
        query = f"log-append?topic={quote(topic)}&part={PARTITION}"
        if at is not None:
            query += f"&at={at}"
        if producer:
            query += f"&producer={quote(producer)}&epoch={epoch}"
        if sequence is not None and records:
            query += f"&sequence={sequence}"
        body = b"".join(_encode_record(key, value) for key, value in records)
        reply = await self._call(APPEND, "POST", query, APPEND_TIMEOUT_MS, body)
        if reply.status == 412:
            raise StoreConflictError(_offset_or(reply, "end", UNKNOWN_END))
        if reply.status == 409:
            raise _refused_append(reply)
        if reply.status in REJECTED_STATUSES:
            raise StoreRejectedError(f"the store answered {reply.status}")
        if reply.status != 200:
            raise StoreUnansweredError(f"the store answered {reply.status}")
        return _decoded(reply, _append_result if records else _fence_result)

    async def read(self, topic: str, offset: int, wait_ms: int, max_kb: int = 0) -> RecordPage:
        """Return records from an offset on.

        :param wait_ms: how long the store waits for a record if there is none yet.
        :param max_kb: largest size of the records together, 0 for the usual one.
        :raises StoreTrimmedError: the store no longer has the offset.
        """
        page = await self._read(topic, offset, wait_ms, max_kb or READ_KB)
        if not page.records and page.end > offset:
            # The next record may be larger than a page.
            page = await self._read(topic, offset, 0, LARGEST_READ_KB)
        return page

    async def _read(self, topic: str, offset: int, wait_ms: int, max_kb: int) -> RecordPage:
        query = (
            f"log-read?topic={quote(topic)}&part={PARTITION}&from={offset}"
            f"&max_kb={max_kb}&wait_ms={wait_ms}"
        )
        reply = await self._call(READ, "GET", query, READ_TIMEOUT_MS + wait_ms)
        if reply.status == 410:
            raise StoreTrimmedError(_offset_or(reply, "first", 0))
        if reply.status != 200:
            raise StoreUnansweredError(f"the store answered {reply.status}")
        return _decode_records(reply.body, offset)

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key.

        :raises StoreError: a page cannot be read or decoded.
        """
        records: list[KeyedRecord] = []
        end = None
        after = ""
        while True:
            page = await self._read_page(topic, after)
            records.extend(page.records)
            # Following starts at the end reported by the first page, so that records appended
            # while later pages are read are not missed.
            end = page.end if end is None else end
            if not page.has_more:
                return RecordPage(records, end, end)
            if not page.records or page.last_key == after:
                raise StoreError(f"the pages of {topic} do not go on")
            after = page.last_key

    async def _read_page(self, topic: str, after: str) -> "_NewestPage":
        """Return a page of the newest records, with the keys that follow ``after``."""
        query = f"log-newest?topic={quote(topic)}&part={PARTITION}"
        if after:
            # The platform's name for the cursor.
            query += f"&depends_on={quote(_key_bytes(after))}"
        attempts = 0
        while True:
            attempts += 1
            try:
                reply = await self._call(
                    NEWEST, "GET", query, PAGE_TIMEOUT_MS, None, PAGE_READ_TIMEOUT_MS
                )
            except StoreUnansweredError as error:
                if not after or attempts == MAX_PAGE_ATTEMPTS:
                    raise
                log.info("store_page_retried", topic=topic, after=after, error=str(error))
                continue
            if reply.status != 200:
                raise StoreUnansweredError(f"the store answered {reply.status}")
            return _decoded(reply, _NewestPage)


class _NewestPage:
    """A page of the newest records.

    :param fields: the store's answer.
    :raises FormatError: the answer is malformed.
    :ivar last_key: key of the last record as the store spells it.
    """

    __slots__ = ("end", "has_more", "last_key", "records")

    def __init__(self, fields: Fields) -> None:
        self.end = fields.whole("end", 0, MAX_INT64)
        self.has_more = fields.flag("has_more")
        self.last_key = ""
        self.records = [
            self._record(check_object(item, "a record")) for item in fields.items("items")
        ]

    def _record(self, item: Fields) -> KeyedRecord:
        self.last_key = item.raw_text("key")
        key = _key_bytes(self.last_key).decode(errors="replace")
        return KeyedRecord(item.whole("offset", 0, MAX_INT64), key, item.base64("value"))


def _key_bytes(key: str) -> bytes:
    """Return the bytes of a key; one that is not UTF-8 has surrogates in the store's answer."""
    try:
        return key.encode(errors="surrogateescape")
    except UnicodeEncodeError:
        return key.encode(errors="replace")


def _encode_record(key: str, value: bytes) -> bytes:
    """Encode a record for an append.

    :raises StoreRejectedError: the key cannot be encoded.
    """
    try:
        name = key.encode()
    except UnicodeEncodeError as error:
        raise StoreRejectedError("a key is not valid Unicode") from error
    if len(name) > MAX_NAME_BYTES:
        raise StoreRejectedError(f"a key has {len(name)} bytes, allowed are {MAX_NAME_BYTES}")
    content = bytes([len(name)]) + name + value
    return struct.pack(">I", len(content)) + content


def _decode_records(body: bytes, offset: int) -> RecordPage:
    """Decode the records of a read; a record whose key is malformed still takes up an offset.

    :param offset: the offset that was asked for.
    :raises StoreTrimmedError: the answer begins after that offset.
    :raises StoreUnansweredError: the answer is incomplete, or an offset is out of range.
    """
    if len(body) < 16:
        raise StoreUnansweredError("the store sent part of an answer")
    end, first = struct.unpack_from(">QQ", body)
    if max(end, first) > MAX_INT64:
        raise StoreUnansweredError("an offset in the answer is out of range")
    if first > offset:
        raise StoreTrimmedError(first)
    position = 16
    records = []
    next_offset = offset
    while position + 4 <= len(body):
        (size,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + size]
        if len(content) < size:
            break
        position += 4 + size
        key_size = content[0] if content else 0
        key = content[1 : 1 + key_size].decode(errors="replace")
        records.append(KeyedRecord(next_offset, key, content[1 + key_size :]))
        next_offset += 1
    return RecordPage(records, next_offset, end)


def _decoded(reply: Reply, decode: Callable[[Fields], Decoded]) -> Decoded:
    """Return what an answer says.

    :raises StoreUnansweredError: it cannot be read.
    """
    try:
        return decode(decode_object(reply.body))
    except FormatError as error:
        raise StoreUnansweredError(f"the answer cannot be read: {error}") from error


def _append_result(fields: Fields) -> AppendResult:
    return AppendResult(fields.whole("offset", 0, MAX_INT64), fields.whole("end", 0, MAX_INT64))


def _fence_result(fields: Fields) -> AppendResult:
    """Return the result of an append without records, which has no offset."""
    end = fields.whole("end", 0, MAX_INT64)
    return AppendResult(end, end)


def _refused_append(reply: Reply) -> StoreError:
    """Return the error of an append that the store refused because of its epoch or sequence."""
    fields = _decoded(reply, lambda fields: fields)
    try:
        reason = fields.text("reason")
        if reason == "fenced":
            return StoreFencedError(reason)
        if reason == "seq":
            return StoreSequenceError(fields.whole("sequence", 0, MAX_INT64))
    except FormatError as error:
        return StoreUnansweredError(f"the refusal cannot be read: {error}")
    return StoreUnansweredError("the store refused the append for an unknown reason")


def _offset_or(reply: Reply, name: str, default: int) -> int:
    """Return an offset in an answer, a default if it cannot be read."""
    try:
        return decode_object(reply.body).whole(name, 0, MAX_INT64)
    except FormatError:
        return default
