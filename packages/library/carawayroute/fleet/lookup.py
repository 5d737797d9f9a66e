"""Looks up jobs at other instances, for an instance whose own state is behind."""

import asyncio
import math
import random
from collections.abc import Callable
from typing import Protocol

import structlog
from google.protobuf.message import DecodeError

from carawayroute.clock import Clock
from carawayroute.fleet.exceptions import StoreError, UnreadableJobError
from carawayroute.fleet.lookup_limits import LookupLimits
from carawayroute.fleet.relay import PeerError, Peers, RelayedStore
from carawayroute.misc import interleave
from carawayroute_schema import records_pb2 as pb

# Peers that are asked at the same time; the first conclusive answer counts. More are asked after an
# interval or a failure.
PEERS_PER_ROUND = 2
MAX_ROUNDS = 3
ROUND_INTERVAL_MS = 500
# Lookups that ask peers at the same time; the others wait for their outcome.
MAX_LOOKUPS = 4
# A peer that can tell answers within this time.
PEER_ANSWER_MS = 400
# So many peers that cannot tell show that others cannot either, if they had this time for it.
MIN_UNABLE_PEERS = 2
MIN_TELLING_WAIT_MS = 200
# Part of a peer's timeout that is reserved for its answer.
PEER_ANSWER_MARGIN_MS = 100
# Reason of an answer on a job whose record is there and cannot be read.
UNREADABLE = UnreadableJobError.__name__
# Longest age of a state in an answer; it stands for a state that was never complete.
MAX_ANSWERED_AGE_MS = 1_000_000_000

log = structlog.get_logger()


class PeerUnableError(PeerError):
    """The peer cannot tell because it cannot read the store now."""


class JobUnreadableAtPeerError(PeerError):
    """The peer has read the store, where the record of the job is unreadable."""


class LookupPausedError(PeerError):
    """No peer could tell a moment ago, so none is asked now, and the answer is not worth a wait."""


class JobStatus:
    """What an instance knows of an accepted job.

    :param state: the job's state as reported to callers.
    :param ended: whether the state is final.
    :param age_ms: how long before the question the state was read, 0 if after it or final.
    :param reason: why the job failed, empty if it did not or if that is unknown.
    """

    __slots__ = ("age_ms", "ended", "reason", "state")

    def __init__(self, state: str, ended: bool, age_ms: float = 0.0, reason: str = "") -> None:
        self.state = state
        self.ended = ended
        self.age_ms = age_ms
        self.reason = reason


class LocalLookup(Protocol):
    """Answers from an instance's own state and the store, without asking other instances."""

    async def find_for_peer(self, job_id: str, wait_ms: float) -> JobStatus | None:
        """Return a job's status, ``None`` if no such job has been accepted.

        The state is read after the call if it is not final and the store answers soon.

        :raises TimeoutError: it cannot be told in time.
        :raises StoreError: the store cannot be read.
        """

    async def pending_in_store(self, queue: str, wait_ms: float) -> int:
        """Return the number of a queue's jobs that wait for their first task to start.

        :raises TimeoutError: it cannot be told in time.
        :raises StoreError: the store cannot be read.
        """


class PeerLookup:
    """Ask peers for jobs: the planner first, then peers of other regions and of this one.

    A peer answers only what it can prove: it knows the job, or it has read the store to its end
    since it was asked and has not found it.

    While none of them can read the store, lookups are limited, and the others fail at once.

    :param store: knows the addresses of the peers.
    :param planner_address: returns the address of the planner's instance, empty if unknown.
    """

    def __init__(
        self,
        peers: Peers,
        store: RelayedStore,
        clock: Clock,
        own_address: str,
        planner_address: Callable[[], str],
    ) -> None:
        self._peers = peers
        self._store = store
        self._own_address = own_address
        self._planner_address = planner_address
        self._clock = clock
        self._limits = LookupLimits(clock, lambda: store.answered_ms)
        self._slots = asyncio.Semaphore(MAX_LOOKUPS)

    async def find_job(self, job_id: str, wait_ms: float) -> JobStatus | None:
        """Return a job's status as a peer knows it, ``None`` if a peer has proved its absence.

        :param wait_ms: time until the answer is needed.
        :raises PeerError: no peer could tell.
        """
        if not self._limits.take_job_lookup():
            raise PeerError("no peer could tell a moment ago")
        call = pb.StoreCall(kind=pb.StoreCall.LOOK_UP_JOB, job_id=job_id)
        return _decode_status(await self._first_proof(call, wait_ms))

    async def find_state(self, job_id: str, wait_ms: float) -> JobStatus | None:
        """Return a job's status as a peer read it after the call, or a final one.

        :param wait_ms: time until the answer is needed.
        :return: ``None`` if a peer has proved the job's absence.
        :raises LookupPausedError: no peer could tell a moment ago.
        :raises PeerError: no peer could tell.
        """
        if not self._limits.take_state_lookup():
            raise LookupPausedError("no peer could tell a moment ago")
        call = pb.StoreCall(kind=pb.StoreCall.LOOK_UP_JOB, job_id=job_id)
        return _decode_status(await self._first_proof(call, wait_ms, _is_current))

    async def count_pending(self, queue: str, wait_ms: float) -> int:
        """Return the number of a queue's pending jobs as a peer knows it.

        :param wait_ms: time until the answer is needed.
        :raises PeerError: no peer could tell.
        """
        if not self._limits.take_state_lookup():
            raise PeerError("no peer could tell a moment ago")
        call = pb.StoreCall(kind=pb.StoreCall.COUNT_PENDING, queue=queue)
        return (await self._first_proof(call, wait_ms)).pending

    def _candidates(self) -> list[str]:
        planner = self._planner_address()
        others = sorted(self._store.addresses - {self._own_address, planner})
        random.shuffle(others)
        near = [one for one in others if one in self._store.same_region_addresses]
        far = [one for one in others if one not in self._store.same_region_addresses]
        first = [planner] if planner and planner != self._own_address else []
        # Peers of one region may share the cause that keeps this instance behind.
        return first + interleave(far, near)

    async def _first_proof(
        self,
        call: pb.StoreCall,
        wait_ms: float,
        is_proof: Callable[[pb.StoreAnswer], bool] = lambda answer: True,
    ) -> pb.StoreAnswer:
        """Ask a few peers at a time and return the first conclusive answer."""
        asked_ms = self._clock.now_ms()
        async with self._slots:
            if self._limits.unable_ms > asked_ms:
                raise PeerError("no peer could tell a moment ago")
            return await self._ask_in_rounds(call, wait_ms, is_proof)

    async def _ask_in_rounds(
        self, call: pb.StoreCall, wait_ms: float, is_proof: Callable[[pb.StoreAnswer], bool]
    ) -> pb.StoreAnswer:
        call.wait_ms = max(0, int(wait_ms - PEER_ANSWER_MARGIN_MS))
        rounds = 1 if self._limits.limited else MAX_ROUNDS
        candidates = self._candidates()[: rounds * PEERS_PER_ROUND]
        min_unable = min(MIN_UNABLE_PEERS, len(candidates))
        shows_outage = bool(candidates) and call.wait_ms >= MIN_TELLING_WAIT_MS
        asked_ms = self._clock.now_ms()
        unable = 0
        pending: set[asyncio.Future[pb.StoreAnswer]] = set()
        try:
            while candidates or pending:
                for address in candidates[:PEERS_PER_ROUND]:
                    pending.add(asyncio.ensure_future(self._ask(address, call, wait_ms, is_proof)))
                candidates = candidates[PEERS_PER_ROUND:]
                done, pending = await asyncio.wait(
                    pending,
                    timeout=ROUND_INTERVAL_MS / 1000 if candidates else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                errors = [task.exception() for task in done]
                for task in done:
                    if task.exception() is None:
                        shows_outage = False
                        self._note_proof(task.result())
                        return task.result()
                if errors:
                    log.info("peer_lookup_failed", errors=[str(error) for error in errors])
                if any(isinstance(error, JobUnreadableAtPeerError) for error in errors):
                    shows_outage = False
                unable += sum(isinstance(error, PeerUnableError) for error in errors)
                if shows_outage and unable >= min_unable:
                    self._limits.note_unable()
        finally:
            for task in pending:
                task.cancel()
            asked_long = self._clock.now_ms() - asked_ms >= PEER_ANSWER_MS
            if shows_outage and (asked_long or not (candidates or pending)):
                self._limits.note_unable()
        raise PeerError("no peer could tell")

    def _note_proof(self, answer: pb.StoreAnswer) -> None:
        """Note a peer's answer, unless the peer can give it without the store."""
        if not answer.job_state or (answer.age_ms == 0 and not answer.job_ended):
            self._limits.note_able()

    async def _ask(
        self,
        address: str,
        call: pb.StoreCall,
        timeout_ms: float,
        is_proof: Callable[[pb.StoreAnswer], bool],
    ) -> pb.StoreAnswer:
        reply = await self._peers.ask(address, call.SerializeToString(), timeout_ms)
        try:
            answer = pb.StoreAnswer.FromString(reply)
        except DecodeError as error:
            raise PeerError(f"{address}: {error}") from error
        found = answer.job_state or answer.HasField("pending")
        if answer.outcome == pb.StoreAnswer.DONE and found:
            if is_proof(answer):
                return answer
            raise PeerUnableError(f"{address}: its answer is no proof")
        if answer.outcome == pb.StoreAnswer.NO_SUCH_JOB:
            return answer
        if answer.reason == UNREADABLE:
            raise JobUnreadableAtPeerError(f"{address}: {answer.reason}")
        if answer.outcome == pb.StoreAnswer.UNANSWERED:
            raise PeerUnableError(f"{address}: {answer.reason or 'cannot tell'}")
        raise PeerError(f"{address}: {answer.reason or 'cannot tell'}")


def _is_current(answer: pb.StoreAnswer) -> bool:
    return answer.job_ended or answer.age_ms == 0


def _decode_status(answer: pb.StoreAnswer) -> JobStatus | None:
    if answer.outcome == pb.StoreAnswer.NO_SUCH_JOB:
        return None
    return JobStatus(answer.job_state, answer.job_ended, answer.age_ms, answer.job_reason)


async def serve_lookup(call: pb.StoreCall, local: LocalLookup) -> pb.StoreAnswer:
    """Return the answer to a peer's lookup."""
    try:
        if call.kind == pb.StoreCall.COUNT_PENDING:
            return pb.StoreAnswer(pending=await local.pending_in_store(call.queue, call.wait_ms))
        status = await local.find_for_peer(call.job_id, call.wait_ms)
    except (StoreError, TimeoutError) as error:
        return pb.StoreAnswer(outcome=pb.StoreAnswer.UNANSWERED, reason=type(error).__name__)
    if status is None:
        return pb.StoreAnswer(outcome=pb.StoreAnswer.NO_SUCH_JOB)
    return pb.StoreAnswer(
        job_state=status.state,
        job_ended=status.ended,
        age_ms=math.ceil(min(status.age_ms, MAX_ANSWERED_AGE_MS)),
        job_reason=status.reason,
    )
