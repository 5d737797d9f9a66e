"""Store access that falls back to relaying calls through peers.

Covers a store that is down for some instances only, and an instance whose link to the store is cut
while its links to peers work.
"""

import asyncio
import math
import random
from collections.abc import Callable
from typing import Protocol

import structlog
from google.protobuf.message import DecodeError

from carawayroute.clock import Clock
from carawayroute.exceptions import CarawayrouteError
from carawayroute.fleet.exceptions import (
    StoreConflictError,
    StoreError,
    StoreFencedError,
    StoreRefusedError,
    StoreRejectedError,
    StoreSequenceError,
    StoreTrimmedError,
    StoreUnansweredError,
)
from carawayroute.fleet.ports import AppendResult, KeyedRecord, RecordPage, Store
from carawayroute.retries import Backoff
from carawayroute_schema import records_pb2 as pb

# Timeout of a relayed call, in addition to the wait that the call requests.
RELAY_TIMEOUT_MS = 600
# Number of peers tried for one call before it fails, and while the peers fail as well.
MAX_PEERS_PER_CALL = 2
PEERS_PER_PROBE = 1
# Reading all newest records takes up to 1 MB each way over shared links of 10 Mbit/s.
RELAYED_NEWEST_TIMEOUT_MS = 4_000
# Once the store answers again, calls that it did not answer before are given up after this time,
# and reads only if they have taken longer than this one, as a page may be on its way.
OVERDUE_MS = 100
OVERDUE_READ_MS = 500
# After a direct call failed, the store is tried directly again after this time.
DIRECT_RETRY_MS = 500
# While neither the store nor the peers that were asked answer, this is the time between two direct
# reads, and these are the bounds of the time between two relayed calls. Others fail at once.
PROBE_INTERVAL_MS = 250
FIRST_RELAY_PAUSE_MS = 100
MAX_RELAY_PAUSE_MS = 1_000
# Size of a page of a read, which takes well under a second over the smallest machine's link of
# 5 Mbit/s, and of the smallest one after reads that went unanswered.
READ_KB = 96
MIN_READ_KB = 12
# Longest wait of a relayed read for a record; short, so that a broken link to the peer is noticed.
MAX_RELAYED_WAIT_MS = 200
# Offsets above are no answer of the store; they would make a topic seem endless.
MAX_OFFSET = 2**63 - 1

log = structlog.get_logger()


class PeerError(CarawayrouteError):
    """A peer did not answer, so the request may have been executed."""


class Peers(Protocol):
    """Links to the other instances."""

    async def ask(self, address: str, message: bytes, timeout_ms: float) -> bytes:
        """Send a message to a peer and return its reply.

        :raises PeerError: no reply arrived within the timeout.
        """


class ReadSizes:
    """Sizes of the pages in which topics are read, smaller after reads that went unanswered.

    The answer to a read that is given up has crossed a slow link in vain, and kept the next one
    from being answered.
    """

    __slots__ = ("_kb_by_topic",)

    def __init__(self) -> None:
        self._kb_by_topic: dict[str, int] = {}

    def max_kb(self, topic: str) -> int:
        """Return the size of the next page, 0 for the usual one."""
        return self._kb_by_topic.get(topic, 0)

    def note_unanswered(self, topic: str) -> None:
        """Halve the size."""
        kb = self._kb_by_topic.get(topic, READ_KB)
        self._kb_by_topic[topic] = max(MIN_READ_KB, kb // 2)

    def note_answered(self, topic: str) -> None:
        """Double the size, up to the usual one."""
        kb = 2 * self._kb_by_topic.pop(topic, READ_KB)
        if kb < READ_KB:
            self._kb_by_topic[topic] = kb


class RelayedStore:
    """Call the store directly while it answers this instance, and through peers otherwise.

    :param own_address: this instance's own address, which is never used as a peer.
    :ivar on_recovered: called when the store answers again after it had failed.
    :ivar addresses: addresses of the known peers.
    :ivar same_region_addresses: addresses of the peers in this instance's region.
    :ivar relayed_calls: number of calls that peers made for this instance.
    :ivar answered_ms: clock time at which a call was last answered, directly or through a peer.
    """

    def __init__(self, direct: Store, peers: Peers, clock: Clock, own_address: str) -> None:
        self._direct = direct
        self._peers = peers
        self._clock = clock
        self._own_address = own_address
        self.addresses: set[str] = set()
        self.same_region_addresses: set[str] = set()
        self._direct_failed_ms: float | None = None
        self._preferred_peer = ""
        self._relaying = False
        self._read_sizes = ReadSizes()
        self._direct_sent_ms = -math.inf
        # Time limits of the direct calls in flight, and when they may be given up at the earliest.
        self._overdue_ms_by_limit: dict[asyncio.Timeout, float] = {}
        self._relay_backoff = Backoff(FIRST_RELAY_PAUSE_MS, MAX_RELAY_PAUSE_MS)
        self._relay_again_ms: float | None = None
        self.relayed_calls = 0
        self.answered_ms = -math.inf
        self.on_recovered: Callable[[], None] = lambda: None

    @property
    def reached_directly(self) -> bool:
        """Return whether the last direct call was answered."""
        return self._direct_failed_ms is None

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
        call = pb.StoreCall(
            kind=pb.StoreCall.APPEND,
            topic=topic,
            records=[pb.KeyedRecord(key=key.encode(), value=value) for key, value in records],
            conditional=at is not None,
            at=at or 0,
            producer=producer,
            epoch=epoch,
            numbered=sequence is not None,
            sequence=sequence or 0,
        )
        answer = await self._call(call)
        check_offsets(answer)
        return AppendResult(answer.offset, answer.end)

    async def read(self, topic: str, offset: int, wait_ms: int) -> RecordPage:
        """Return records from an offset on."""
        call = pb.StoreCall(
            kind=pb.StoreCall.READ,
            topic=topic,
            offset=offset,
            wait_ms=int(wait_ms),
            max_kb=self._read_sizes.max_kb(topic),
        )
        return _decode_records(await self._call(call))

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key."""
        return _decode_records(
            await self._call(pb.StoreCall(kind=pb.StoreCall.NEWEST, topic=topic))
        )

    async def _call(self, call: pb.StoreCall) -> pb.StoreAnswer:
        """Make a call directly, or through peers if the store does not answer this instance."""
        failure: StoreError | None = None
        if self._should_call_directly():
            # An append is the request of a caller or the planner; reads are repeated by themselves.
            if call.kind != pb.StoreCall.APPEND and self._waits_for_probe():
                raise StoreRefusedError("neither the store nor a peer answered a moment ago")
            self._direct_sent_ms = self._clock.now_ms()
            wait_ms = call.wait_ms
            if self._direct_failed_ms is not None:
                # A read that waits for records would not tell at once that the store answers.
                call.wait_ms = 0
            answer = await self._call_directly(call)
            call.wait_ms = wait_ms
            failure = _decode_error(answer)
            if not isinstance(failure, StoreRefusedError | StoreUnansweredError):
                if answer.records and call.kind == pb.StoreCall.READ:
                    self._read_sizes.note_answered(call.topic)
                self._note_direct_outcome(None)
                return _raise_on_error(answer)
            if isinstance(failure, StoreUnansweredError) and call.kind == pb.StoreCall.READ:
                self._read_sizes.note_unanswered(call.topic)
                # The answer to a peer may cross the same link.
                call.max_kb = MIN_READ_KB
            self._note_direct_outcome(failure)
        maybe_executed = False
        if self._may_relay():
            relayed, maybe_executed = await self._relay(call)
            if relayed is not None:
                return _raise_on_error(relayed)
        # A peer that did not answer may have made the call.
        if maybe_executed or isinstance(failure, StoreUnansweredError):
            raise StoreUnansweredError("neither the store nor a peer answered")
        raise failure or StoreRefusedError("no peer reaches the store")

    async def _call_directly(self, call: pb.StoreCall) -> pb.StoreAnswer:
        """Make a direct call, again if it is a read that the store left unanswered in an outage.

        :raises StoreUnansweredError: it is an append that the store left unanswered in an outage.
        """
        if call.kind not in (pb.StoreCall.APPEND, pb.StoreCall.READ):
            return await make_call(self._direct, call)
        limit = asyncio.timeout(None)
        is_read = call.kind == pb.StoreCall.READ
        shortest_ms = call.wait_ms + OVERDUE_READ_MS if is_read else 0.0
        try:
            async with limit:
                self._overdue_ms_by_limit[limit] = self._clock.now_ms() + shortest_ms
                return await make_call(self._direct, call)
        except TimeoutError:
            if not limit.expired():
                raise
        finally:
            self._overdue_ms_by_limit.pop(limit, None)
        if not is_read:
            raise StoreUnansweredError("the store has answered a later call")
        return await make_call(self._direct, call)

    def _limit_calls_in_flight(self) -> None:
        """Give up soon the calls that were sent while the store did not answer."""
        now_ms = self._clock.now_ms()
        loop_s = asyncio.get_running_loop().time()
        for limit, overdue_ms in self._overdue_ms_by_limit.items():
            if limit.when() is None:
                limit.reschedule(loop_s + max(OVERDUE_MS, overdue_ms - now_ms) / 1000)

    def _should_call_directly(self) -> bool:
        if self._direct_failed_ms is None or not self.addresses:
            return True
        return (
            self._clock.now_ms() - self._direct_failed_ms > DIRECT_RETRY_MS
            or not self._preferred_peer
        )

    def _waits_for_probe(self) -> bool:
        """Return whether the store is only called again later, as nobody reached it just now."""
        return (
            self._direct_failed_ms is not None
            and self._relay_again_ms is not None
            and self._clock.now_ms() - self._direct_sent_ms < PROBE_INTERVAL_MS
        )

    def _may_relay(self) -> bool:
        """Return whether to ask peers now; calls that fail together share the next attempt."""
        now_ms = self._clock.now_ms()
        if self._relay_again_ms is None:
            return True
        if now_ms < self._relay_again_ms:
            return False
        self._relay_again_ms = now_ms + self._relay_backoff.next_ms()
        return True

    def _note_relay_outcome(self, answered: bool) -> None:
        if answered:
            recovered = self._relay_again_ms is not None
            self._relay_again_ms = None
            self._relay_backoff.reset()
            if recovered and self._direct_failed_ms is not None:
                self.on_recovered()
        elif self._relay_again_ms is None and self.addresses:
            self._relay_again_ms = self._clock.now_ms() + self._relay_backoff.next_ms()

    def _note_direct_outcome(self, failure: StoreError | None) -> None:
        if failure is None:
            self.answered_ms = self._clock.now_ms()
            recovered = self._direct_failed_ms is not None
            self._direct_failed_ms = None
            self._relaying = False
            self._note_relay_outcome(True)
            if recovered:
                log.info("store_recovered")
                self._limit_calls_in_flight()
                self.on_recovered()
            return
        if self._direct_failed_ms is None:
            log.warning("store_unreachable", error=str(failure))
        self._direct_failed_ms = self._clock.now_ms()

    async def _relay(self, call: pb.StoreCall) -> tuple[pb.StoreAnswer | None, bool]:
        """Return the answer from a peer, if any, and whether a peer may have made the call."""
        uncertain = False
        others = sorted(self.addresses - {self._own_address, self._preferred_peer})
        random.shuffle(others)
        # Relaying within the region avoids a second transfer between regions.
        others.sort(key=lambda address: address not in self.same_region_addresses)
        candidates = ([self._preferred_peer] if self._preferred_peer else []) + others
        call.wait_ms = min(call.wait_ms, MAX_RELAYED_WAIT_MS)
        timeout_ms = RELAY_TIMEOUT_MS + call.wait_ms
        if call.kind == pb.StoreCall.NEWEST:
            timeout_ms = RELAYED_NEWEST_TIMEOUT_MS
        message = call.SerializeToString()
        probing = self._relay_again_ms is not None
        for address in candidates[: PEERS_PER_PROBE if probing else MAX_PEERS_PER_CALL]:
            try:
                reply = await self._peers.ask(address, message, timeout_ms)
                answer = pb.StoreAnswer.FromString(reply)
            except (PeerError, DecodeError) as error:
                log.info("relay_failed", peer=address, error=str(error))
                self._preferred_peer = ""
                uncertain = True
                continue
            if answer.outcome in (pb.StoreAnswer.REFUSED, pb.StoreAnswer.UNANSWERED):
                self._preferred_peer = ""
                uncertain = uncertain or answer.outcome == pb.StoreAnswer.UNANSWERED
                continue
            if not self._relaying:
                log.info("store_relayed", peer=address)
            self._relaying = True
            self._preferred_peer = self._preferred_peer or address
            self.relayed_calls += 1
            self.answered_ms = self._clock.now_ms()
            self._note_relay_outcome(True)
            return answer, uncertain
        self._note_relay_outcome(False)
        return None, uncertain

    async def serve(self, call: pb.StoreCall) -> pb.StoreAnswer:
        """Make a store call for a peer.

        Refused while the store does not answer this instance directly.
        """
        if not self.reached_directly:
            return pb.StoreAnswer(outcome=pb.StoreAnswer.REFUSED)
        return await make_call(self._direct, call)


async def make_call(store: Store, call: pb.StoreCall) -> pb.StoreAnswer:
    """Make a store call and return its result or error as a message."""
    try:
        if call.kind == pb.StoreCall.APPEND:
            appended = await store.append(
                call.topic,
                [(record.key.decode(), record.value) for record in call.records],
                at=call.at if call.conditional else None,
                producer=call.producer,
                epoch=call.epoch,
                sequence=call.sequence if call.numbered else None,
            )
            return pb.StoreAnswer(offset=appended.offset, end=appended.end)
        if call.kind == pb.StoreCall.NEWEST:
            found = await store.newest(call.topic)
        elif call.max_kb:
            found = await store.read(call.topic, call.offset, call.wait_ms, call.max_kb)
        else:
            found = await store.read(call.topic, call.offset, call.wait_ms)
    except UnicodeDecodeError as error:
        return pb.StoreAnswer(outcome=pb.StoreAnswer.REJECTED, reason=str(error))
    except StoreConflictError as error:
        return pb.StoreAnswer(outcome=pb.StoreAnswer.CONFLICT, detail=error.end)
    except StoreFencedError as error:
        return pb.StoreAnswer(outcome=pb.StoreAnswer.FENCED, reason=str(error))
    except StoreSequenceError as error:
        return pb.StoreAnswer(outcome=pb.StoreAnswer.OUT_OF_SEQUENCE, detail=error.expected)
    except StoreTrimmedError as error:
        return pb.StoreAnswer(outcome=pb.StoreAnswer.TRIMMED, detail=error.first)
    except StoreRefusedError as error:
        return pb.StoreAnswer(outcome=pb.StoreAnswer.REFUSED, reason=str(error))
    except StoreRejectedError as error:
        return pb.StoreAnswer(outcome=pb.StoreAnswer.REJECTED, reason=str(error))
    except StoreError as error:
        return pb.StoreAnswer(outcome=pb.StoreAnswer.UNANSWERED, reason=str(error))
    return pb.StoreAnswer(
        records=[
            pb.KeyedRecord(offset=record.offset, key=record.key.encode(), value=record.value)
            for record in found.records
        ],
        next_offset=found.next_offset,
        end=found.end,
    )


def _decode_error(answer: pb.StoreAnswer) -> StoreError | None:
    outcomes = pb.StoreAnswer
    if answer.outcome == outcomes.DONE:
        return None
    if answer.outcome == outcomes.REFUSED:
        return StoreRefusedError(answer.reason)
    if answer.outcome == outcomes.REJECTED:
        return StoreRejectedError(answer.reason)
    if answer.outcome == outcomes.CONFLICT:
        return StoreConflictError(answer.detail)
    if answer.outcome == outcomes.FENCED:
        return StoreFencedError(answer.reason)
    if answer.outcome == outcomes.OUT_OF_SEQUENCE:
        return StoreSequenceError(answer.detail)
    if answer.outcome == outcomes.TRIMMED:
        return StoreTrimmedError(answer.detail)
    return StoreUnansweredError(answer.reason)


def _raise_on_error(answer: pb.StoreAnswer) -> pb.StoreAnswer:
    error = _decode_error(answer)
    if error is not None:
        raise error
    return answer


def check_offsets(answer: pb.StoreAnswer) -> None:
    """Check the offsets in an answer that a peer relayed.

    :raises StoreUnansweredError: one is out of range.
    """
    if max(answer.offset, answer.next_offset, answer.end) > MAX_OFFSET:
        raise StoreUnansweredError("an offset in the answer is out of range")


def _decode_records(answer: pb.StoreAnswer) -> RecordPage:
    check_offsets(answer)
    records = [
        KeyedRecord(record.offset, record.key.decode(errors="replace"), record.value)
        for record in answer.records
    ]
    return RecordPage(records, answer.next_offset, answer.end)
