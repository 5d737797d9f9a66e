"""Leader election: the instance whose record opened the newest term in the store is the planner."""

import asyncio
import math
import random
from collections.abc import Callable, Mapping
from contextlib import suppress

import structlog
from google.protobuf.message import DecodeError

from carawayroute.clock import Clock
from carawayroute.fleet.earlier_terms import EarlierTerms, TermWitness
from carawayroute.fleet.exceptions import (
    RecordError,
    StoreConflictError,
    StoreError,
    StoreRefusedError,
)
from carawayroute.fleet.follower import TopicFollower
from carawayroute.fleet.lease_limits import LeaseLimits
from carawayroute.fleet.ports import KeyedRecord, Store
from carawayroute.fleet.record_checks import is_address
from carawayroute_schema import records_pb2 as pb

LEADER_TOPIC = "keyed.lead"
LEADER_KEY = "leader"
HEARTBEAT_INTERVAL_MS = 400
# A planner without heartbeats for this long is replaced: three intervals and a slow answer.
TERM_TIMEOUT_MS = 1_500
# Random delay of each candidate's claim, so that one of them appends first.
CLAIM_JITTER_MS = 300
# An instance whose view of the topic is older than this does not claim the term.
MAX_CLAIM_LAG_MS = 1_100
CHECK_INTERVAL_MS = 50
MAX_RESIGN_ATTEMPTS = 5
# Largest numbers that the record can hold.
MAX_ACCELERATORS = 2**32 - 1
MAX_WORK = 2**64 - 1

log = structlog.get_logger()


class Leadership:
    """Hold the planner's term, or claim it when its holder's heartbeats stop.

    A term is opened by a conditional append, which fails if another record was appended first. The
    term is the record's offset plus one; it increases with each holder and serves as a fencing
    token. The holder appends heartbeats under the same condition.

    A process never holds a term again that it has given up: a second planner of the term would
    number its batches from 0 under the same epoch, and the store would take them for repeats.

    :param holder: identity of this process, different after each restart.
    :param address: address at which peers reach this instance.
    :param limits: limits of the leases that this instance grants as planner.
    :param election_delay_ms: returns the extra wait before this instance claims a vacant term.
    :ivar term: the term that this process holds, 0 if none.
    :ivar accelerators: accelerators that this instance reaches as planner, sent with each
        heartbeat.
    :ivar candidate: whether this instance may claim the term.
    :ivar witness: the terms of other instances that this process has confirmed.
    :ivar earlier_terms: what is known of the terms before the one that this process holds.
    :ivar opened: set when this process opens a term.
    :ivar on_stored: called after each heartbeat that the store has appended.
    :ivar has_unrecorded_starts: returns whether the planner here has started work of which the
        store has no record yet.
    :ivar count_instances: returns the number of instances that are known.
    :ivar requests: how often the instances were asked to agree to starts without a record.
    :ivar changed: set when this process gains or loses the term.
    :ivar unreadable_records: number of records of the topic that made no sense.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        holder: str,
        address: str,
        limits: LeaseLimits,
        election_delay_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._store = store
        self._clock = clock
        self._holder = holder
        self._address = address
        self._limits = limits
        self._election_delay_ms = election_delay_ms
        self.follower = TopicFollower(store, clock, LEADER_TOPIC, self._apply)
        self._newest: pb.Leader | None = None
        self._newest_offset = -1
        self._newest_term = 0
        # Offset that follows the last record read, whatever its key.
        self._end = 0
        self._newest_seen_ms = 0.0
        self._claim_jitter_ms = random.uniform(0, CLAIM_JITTER_MS)
        self._given_up_term = 0
        self._confirmations: list[asyncio.Future[None]] = []
        self._confirmed_ms = -math.inf
        self._partly_confirmed_ms = -math.inf
        self.witness = TermWitness(clock)
        self.earlier_terms = EarlierTerms(-math.inf, limits)
        # Newest term that this process may have opened.
        self._claimed_term = 0
        self._stored_ms = -math.inf
        self._agreed_ms = -math.inf
        self.opened = asyncio.Event()
        self.on_stored: Callable[[], None] = lambda: None
        self.has_unrecorded_starts: Callable[[], bool] = lambda: False
        self.count_instances: Callable[[], int] = lambda: 1
        self.requests = 0
        self.term = 0
        self.accelerators = 0
        self.harmless_work: Mapping[int, int] = {}
        self.candidate = True
        self.changed = asyncio.Event()
        self.unreadable_records = 0

    @property
    def is_leader(self) -> bool:
        """Return whether this process holds the newest term that it knows."""
        return self.term > 0

    def newest_record(self) -> pb.Leader | None:
        """Return the newest record of the topic, ``None`` before it is read."""
        return self._newest

    def harmless_work_of_fleet(self) -> Mapping[int, int]:
        """Return the open work that keeps no other work waiting, as the planner announced it."""
        return self._newest.harmless_work if self._newest is not None else {}

    def fleet_accelerators(self) -> int:
        """Return the number of accelerators that the planner reaches, 0 while it is unknown."""
        return self._newest.accelerators if self._newest is not None else 0

    def planner_address(self) -> str:
        """Return the address at which peers reach the planner, empty while there is none."""
        if self._newest is None or self._newest.resigned:
            return ""
        return self._newest.address

    def current_term(self) -> int:
        """Return the newest known term, 0 if there is none."""
        return self._newest_term

    def _apply(self, record: KeyedRecord) -> None:
        """Apply a record; one that makes no sense only takes up its offset."""
        self._end = max(self._end, record.offset + 1)
        if record.key == LEADER_KEY and record.offset <= self._newest_offset:
            return
        try:
            leader = self._decode(record)
        except (DecodeError, RecordError) as error:
            self.unreadable_records += 1
            log.error(
                "record_unreadable",
                topic=LEADER_TOPIC,
                key=record.key,
                offset=record.offset,
                error=str(error),
            )
            return
        now_ms = self._clock.now_ms()
        if not leader.term and leader.instance == self._holder:
            self._open_term(record.offset, now_ms)
        self._newest = leader
        self._newest_offset = record.offset
        self._newest_term = leader.term or record.offset + 1
        self.witness.note_record(
            record.offset, self._newest_term, leader.requests, self.follower.current_as_of_ms
        )
        self._newest_seen_ms = now_ms
        self._claim_jitter_ms = random.uniform(0, CLAIM_JITTER_MS)
        is_own = leader.instance == self._holder and not leader.resigned
        term = self.current_term()
        # The answer to a heartbeat may arrive after the term was given up.
        self._set_term(term if is_own and term > self._given_up_term else 0)

    def _open_term(self, offset: int, now_ms: float) -> None:
        """Note what is known of the terms before the one that this process has just opened."""
        last = self._newest
        self.witness.confirm(offset + 1)
        self.opened.set()
        # Until the planner knows better.
        self.has_unrecorded_starts = lambda: True
        if not offset:
            self.earlier_terms = EarlierTerms(-math.inf, self._limits)
            return
        confirmed_ms = now_ms - self.witness.older_confirmed_ago_ms()
        seen_ms = max(self._newest_seen_ms if last else now_ms, confirmed_ms)
        self.earlier_terms = EarlierTerms(
            seen_ms,
            self._limits,
            last,
            self._newest_offset,
            self.witness.is_quiet(self._newest_offset),
        )

    def _decode(self, record: KeyedRecord) -> pb.Leader:
        """Decode a record of the holder.

        :raises DecodeError: it cannot be decoded.
        :raises RecordError: the holder cannot have written it.
        """
        if record.key != LEADER_KEY or not record.value:
            raise RecordError("no record of the planner's term")
        leader = pb.Leader.FromString(record.value)
        if not leader.instance or not is_address(leader.address):
            raise RecordError("the record names no instance or address")
        if not leader.term:
            return leader
        # A term is numbered by the offset after the record that opens it.
        if not self._newest_term <= leader.term <= record.offset:
            raise RecordError("the term is over or was never opened")
        known = self._newest
        same_term = known is not None and leader.term == self._newest_term
        if same_term and leader.instance != known.instance:
            raise RecordError("the term has another holder")
        return leader

    def _set_term(self, term: int) -> None:
        if term == self.term:
            return
        was, self.term = self.term, term
        self._given_up_term = max(self._given_up_term, was)
        newest = self._newest
        log.info(
            "term_gained" if term else "term_lost",
            term=term or was,
            holder=newest.instance if newest else "",
            newest=self.current_term(),
        )
        self.changed.set()

    def step_down(self, term: int) -> None:
        """Give up a term, for example because the store or a runner knows a newer one.

        :param term: the term to give up; a newer one that this process holds is kept.
        """
        self._given_up_term = max(self._given_up_term, term)
        if self.term <= term:
            self._set_term(0)

    def _may_claim(self) -> bool:
        """Return whether this instance may claim the term now.

        The wait starts anew after an outage of the store, during which heartbeats are not seen.
        """
        if not self.candidate or not self.follower.loaded.is_set():
            return False
        if self.follower.lag_ms() > MAX_CLAIM_LAG_MS:
            return False
        now_ms = self._clock.now_ms()
        since_ms = max(self._newest_seen_ms, self.follower.recovered_ms)
        wait_ms = self._claim_jitter_ms + self._election_delay_ms()
        if self._newest is not None and not self._newest.resigned:
            wait_ms += TERM_TIMEOUT_MS
        return now_ms - since_ms > wait_ms

    async def run(self) -> None:
        """Send heartbeats while this process holds the term, and claim it when it is vacant."""
        while True:
            if self.is_leader:
                await self._beat()
                await self._clock.sleep_ms(HEARTBEAT_INTERVAL_MS)
            elif self._may_claim():
                log.info(
                    "term_claimed", silent_ms=round(self._clock.now_ms() - self._newest_seen_ms)
                )
                await self._append(pb.Leader(instance=self._holder))
                self._claim_jitter_ms = random.uniform(0, CLAIM_JITTER_MS)
                await self._clock.sleep_ms(CHECK_INTERVAL_MS)
            else:
                await self._clock.sleep_ms(CHECK_INTERVAL_MS)

    async def _beat(self) -> None:
        """Append a heartbeat, and release those who wait for one that begins now."""
        waiting, self._confirmations = self._confirmations, []
        await self._append(pb.Leader(instance=self._holder, term=self.term))
        if not self.is_leader:
            return
        for confirmation in waiting:
            if not confirmation.done():
                confirmation.set_result(None)

    async def confirm(self) -> None:
        """Return once a heartbeat that begins after this call has ended.

        Does not return if it shows that the term is lost. A store that cannot be reached shows
        nothing: the term is kept then, as always while no other instance is known to hold it.
        """
        confirmation = asyncio.get_running_loop().create_future()
        self._confirmations.append(confirmation)
        await confirmation

    def unconfirmed_ms(self) -> float:
        """Return the time since the term was last known to be the newest one, infinite if never.

        Counts from when the request was sent that confirmed it, and includes suspensions.
        """
        return self._clock.now_with_suspensions_ms() - self._confirmed_ms

    def note_confirmed(self, term: int, sent_ms: float) -> None:
        """Note that a term was the newest one.

        :param sent_ms: time with suspensions at which the request was sent that shows it.
        """
        if term and term == self.term:
            self._confirmed_ms = max(self._confirmed_ms, sent_ms)

    def note_partly_confirmed(self, term: int, sent_ms: float) -> None:
        """Note that another instance confirmed a term.

        :param sent_ms: time with suspensions at which it was asked.
        """
        if term and term == self.term:
            self._partly_confirmed_ms = max(self._partly_confirmed_ms, sent_ms)

    def note_agreed(self, term: int, sent_ms: float) -> None:
        """Note that enough instances agree to starts without a record.

        :param sent_ms: time with suspensions at which they were asked.
        """
        if term and term == self.term:
            self.witness.agree(term, self.requests)
            self._agreed_ms = max(self._agreed_ms, sent_ms)

    def permits_unrecorded_starts(self) -> bool:
        """Return whether enough instances have agreed since the store last confirmed the term."""
        return self.is_leader and self._agreed_ms > self._stored_ms

    def lease_left_ms(self) -> float:
        """Return for how long leases may last that are granted now under this process's term."""
        now_ms = self._clock.now_with_suspensions_ms()
        confirmed_ms = max(self._confirmed_ms, self._partly_confirmed_ms)
        return min(
            confirmed_ms + self._limits.unconfirmed_ms - now_ms,
            self._confirmed_ms + self._limits.partly_confirmed_ms - now_ms,
        )

    def confirm_other(self, term: int) -> bool:
        """Confirm the term of the instance that asks, unless a newer one is known."""
        newest = max(self.current_term(), self._claimed_term)
        if newest > term or not self.witness.confirm(term):
            return False
        if self.term and self.term < term:
            log.warning("term_lost_by_peer", term=self.term, newer=term)
            self.step_down(self.term)
        return True

    async def resign(self) -> None:
        """Resign the term, so that another instance can claim it without waiting for a timeout.

        Gives up once the term times out at the others anyway.
        """
        self.candidate = False
        with suppress(TimeoutError):
            async with asyncio.timeout(TERM_TIMEOUT_MS / 1000):
                for _ in range(MAX_RESIGN_ATTEMPTS):
                    if not self.is_leader:
                        return
                    # Fails if a heartbeat of this instance or a claim of another one is appended
                    # first.
                    await self._append(
                        pb.Leader(instance=self._holder, term=self.term, resigned=True)
                    )

    async def _append(self, leader: pb.Leader) -> None:
        leader.address = self._address
        leader.accelerators = min(self.accelerators, MAX_ACCELERATORS)
        for priority, work in self.harmless_work.items():
            leader.harmless_work[priority] = min(work, MAX_WORK)
        leader.unconfirmed_lease_ms = self._limits.unconfirmed_ms
        # Until this record is stored, more such starts may follow.
        leader.unrecorded = (
            not leader.term or self.permits_unrecorded_starts() or self.has_unrecorded_starts()
        )
        leader.requests = self.requests
        leader.instances = self.count_instances()
        at = max(self._end, self.follower.offset)
        claimed_before = self._claimed_term
        if not leader.term:
            # The term may be open although the answer is lost.
            self._claimed_term = at + 1
        sent_ms = self._clock.now_with_suspensions_ms()
        try:
            result = await self._store.append(
                LEADER_TOPIC, [(LEADER_KEY, leader.SerializeToString())], at=at
            )
        except StoreConflictError as error:
            self._claimed_term = claimed_before
            # Another process appended, or the answer to an append of this one was lost; the
            # records up to the end show which.
            await self._catch_up(error.end)
            return
        except StoreError as error:
            if isinstance(error, StoreRefusedError):
                self._claimed_term = claimed_before
            log.warning("heartbeat_failed", term=self.term, error=str(error))
            return
        self._apply(KeyedRecord(result.offset, LEADER_KEY, leader.SerializeToString()))
        self.note_confirmed(leader.term or result.offset + 1, sent_ms)
        self._stored_ms = sent_ms
        self.on_stored()

    async def _catch_up(self, end: int) -> None:
        try:
            async with asyncio.timeout(TERM_TIMEOUT_MS / 1000):
                await self.follower.wait_for_offset(end)
        except TimeoutError:
            log.warning("heartbeat_conflict_unread", end=end, offset=self.follower.offset)
