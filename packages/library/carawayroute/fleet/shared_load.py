"""Loads the newest records of a topic once for each data centre whose instances start together."""

import asyncio
import itertools
import math
from collections.abc import Callable

import structlog
from google.protobuf.message import DecodeError

from carawayroute.clock import Clock
from carawayroute.fleet.exceptions import StoreError
from carawayroute.fleet.ports import KeyedRecord, RecordPage, RecordReader
from carawayroute.fleet.relay import MAX_OFFSET, PeerError, Peers
from carawayroute.fleet.shared_reader import DRAINING, ReaderChoice, take_records
from carawayroute.misc import wait_event
from carawayroute_schema import records_pb2 as pb

# How long a load waits until the data centre's members are known.
MEMBERS_WAIT_MS = 300
# Longest time in which an instance tries to load through peers.
MAX_SHARED_LOAD_MS = 5_000
# Peers that are tried one after the other if they do not answer, as those that are gone do not.
MAX_SILENT_PEERS = 3
# How long a peer that is loading itself waits with its answer, from the second call on.
LOADING_WAIT_MS = 300
# Timeout of a call to a peer, in addition to that wait.
PEER_TIMEOUT_MS = 400
# How long an instance keeps what it has loaded for its peers.
KEEP_MS = 10_000
# Why a peer does not serve a load.
LOADING = "loading"
NOT_KEPT = "not kept"
FAILED = "the store failed"
UNANSWERED = "unanswered"

log = structlog.get_logger()


class SharedLoad:
    """Load the newest records through a peer that loads them as well, or from the store.

    Only the first load of an instance goes through a peer. The records are as old as the peer's
    load; the offset as of which they are complete goes with them, so what follows is read after.

    :param plans: returns whether this instance is the planner, which always loads from the store.
    :param planner_address: returns the address of the planner, empty if unknown.
    :ivar members_known: set once the members of the data centre are known, or cannot be read.
    :ivar served: number of answers with records to peers.
    """

    def __init__(
        self,
        store: RecordReader,
        peers: Peers,
        clock: Clock,
        choice: ReaderChoice,
        plans: Callable[[], bool],
        planner_address: Callable[[], str],
        draining: Callable[[], bool],
    ) -> None:
        self._store = store
        self._peers = peers
        self._clock = clock
        self._choice = choice
        self._plans = plans
        self._planner_address = planner_address
        self._draining = draining
        self.members_known = asyncio.Event()
        self._loaded = asyncio.Event()
        self._failed = False
        self._kept: RecordPage | None = None
        self._kept_as_of_ms = -math.inf
        self.served = 0

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key.

        :raises StoreError: the read failed.
        """
        if self._loaded.is_set():
            return await self._store.newest(topic)
        asked_ms = self._clock.now_ms()
        page = await self._load_through_peers(topic, asked_ms)
        if page is None:
            asked_ms = self._clock.now_ms()
            try:
                page = await self._store.newest(topic)
            except StoreError:
                self._failed = True
                raise
        self._keep(page, asked_ms - page.age_ms)
        return page

    def _keep(self, page: RecordPage, as_of_ms: float) -> None:
        self._failed = False
        self._kept = page
        self._kept_as_of_ms = as_of_ms
        self._loaded.set()
        asyncio.get_running_loop().call_later(KEEP_MS / 1000, self._drop)

    def _drop(self) -> None:
        self._kept = None

    # ------------------------------------------------------------------ loading

    async def _load_through_peers(self, topic: str, asked_ms: float) -> RecordPage | None:
        """Return what a peer has loaded, ``None`` if no peer of a higher rank serves it."""
        if not self._plans():
            await wait_event(self.members_known, MEMBERS_WAIT_MS)
        until_ms = asked_ms + MAX_SHARED_LOAD_MS
        tried: set[str] = set()
        while len(tried) < MAX_SILENT_PEERS and not self._plans():
            reader = self._choice.reader(self._planner_address())
            if reader is None or reader.instance in tried:
                return None
            tried.add(reader.instance)
            page, reason = await self._load_through(reader, topic, asked_ms, until_ms)
            if page is not None:
                log.info(
                    "topic_loaded_through_peer",
                    topic=topic,
                    reader=reader.instance,
                    keys=len(page.records),
                    age_ms=round(page.age_ms),
                    took_ms=round(self._clock.now_ms() - asked_ms),
                )
                return page
            log.info("load_not_shared", reader=reader.instance, reason=reason)
            if reason not in (UNANSWERED, DRAINING, FAILED):
                return None
            self._choice.note_failure(reader.instance)
        return None

    async def _load_through(
        self, reader: pb.Member, topic: str, asked_ms: float, until_ms: float
    ) -> tuple[RecordPage | None, str]:
        """Return what a peer has loaded, read in parts, or why it does not serve it."""
        records: list[KeyedRecord] = []
        first_offset = -1
        wait_ms = 0
        while self._clock.now_ms() < until_ms:
            call = pb.StoreCall(
                kind=pb.StoreCall.SHARED_NEWEST,
                topic=topic,
                offset=len(records),
                wait_ms=wait_ms,
            )
            call_ms = self._clock.now_ms()
            try:
                answer = pb.StoreAnswer.FromString(
                    await self._peers.ask(
                        reader.address, call.SerializeToString(), PEER_TIMEOUT_MS + wait_ms
                    )
                )
            except (PeerError, DecodeError):
                return None, UNANSWERED
            wait_ms = LOADING_WAIT_MS
            if answer.reason == LOADING:
                continue
            if answer.outcome != pb.StoreAnswer.DONE or not answer.detail or not answer.records:
                # Builds that do not know this kind of call answer it as a read of the store.
                return None, answer.reason or NOT_KEPT
            if first_offset not in (-1, answer.offset):
                # The peer was started again and has loaded anew.
                return None, NOT_KEPT
            if max(answer.offset, answer.end) > MAX_OFFSET:
                return None, NOT_KEPT
            first_offset = answer.offset
            records.extend(
                KeyedRecord(record.offset, record.key.decode(errors="replace"), record.value)
                for record in answer.records
            )
            if len(records) >= answer.detail:
                age_ms = max(0.0, asked_ms - (call_ms - answer.age_ms))
                return RecordPage(records, answer.offset, answer.end, age_ms), ""
        return None, LOADING

    # ------------------------------------------------------------------ serving

    def _refusal(self) -> str:
        if self._draining():
            return DRAINING
        if self._failed:
            return FAILED
        if not self._loaded.is_set():
            return LOADING
        return "" if self._kept is not None else NOT_KEPT

    async def serve(self, call: pb.StoreCall) -> pb.StoreAnswer:
        """Return a part of the newest records that this instance has loaded, or refuse."""
        received_ms = self._clock.now_ms()
        if not self._failed:
            await wait_event(self._loaded, call.wait_ms)
        reason = self._refusal()
        kept = self._kept
        if reason or kept is None:
            return pb.StoreAnswer(outcome=pb.StoreAnswer.REFUSED, reason=reason)
        self.served += 1
        part = take_records(itertools.islice(kept.records, call.offset, None))
        return pb.StoreAnswer(
            records=[
                pb.KeyedRecord(offset=record.offset, key=record.key.encode(), value=record.value)
                for record in part
            ],
            detail=len(kept.records),
            offset=kept.next_offset,
            end=kept.end,
            age_ms=math.ceil(max(0.0, received_ms - self._kept_as_of_ms)),
        )
