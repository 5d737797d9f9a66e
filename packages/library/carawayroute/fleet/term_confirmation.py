"""Confirms the planner's term at its peers while the store does not answer.

Load pattern: the store is away for longer than a planner may renew leases without a confirmation of
its term. If it is away for all, nobody can take over, and running work should go on. If only the
planner is cut off from it, another instance may have taken over, which takes runs out of its reach
as ended once the leases of the old planner have expired.

The planner cannot tell the two apart by itself, so it asks all other instances. One that takes the
term later has answered before, and counts the leases from its last answer at the earliest. So only
an answer of each of them confirms the term for as long as the store is away: one that does not
answer may hold the next one.

If some answer, the term is confirmed for a limited time. Whoever takes it later asks all instances
to acknowledge the new term (`EarlierTerms`), and learns when they last confirmed the old one.
"""

import asyncio
import math
from collections.abc import Callable

import structlog
from google.protobuf.message import DecodeError

from carawayroute.clock import Clock
from carawayroute.fleet.earlier_terms import AGREEING_SHARE
from carawayroute.fleet.follower import MAX_LOGGED_AGE_MS
from carawayroute.fleet.leadership import Leadership
from carawayroute.fleet.relay import PeerError, Peers
from carawayroute.misc import wait_event
from carawayroute_schema import records_pb2 as pb

# Well above the interval of heartbeats, and below the shortest lease by an interval, an answer and
# the next poll of a runner.
MIN_UNCONFIRMED_MS = 1_500
INTERVAL_MS = 1_000
CHECK_INTERVAL_MS = 200
ANSWER_TIMEOUT_MS = 600
# Terms increase by the records of their topic, a few each second. One that is further ahead is an
# error, and acknowledging it would fence the planner.
MAX_TERM_ADVANCE = 100_000

log = structlog.get_logger()


class TermConfirmation:
    """Asks other instances whether they know a newer term.

    All are asked while heartbeats fail, and those that have not acknowledged a new term after it
    was opened.

    :param addresses: returns the addresses of all other instances that are known.
    :ivar confirmations: number of times that all of them confirmed the term.
    """

    __slots__ = (
        "_addresses",
        "_addresses_when_stored",
        "_clock",
        "_leadership",
        "_peers",
        "confirmations",
    )

    def __init__(
        self,
        leadership: Leadership,
        peers: Peers,
        clock: Clock,
        addresses: Callable[[], set[str]],
    ) -> None:
        self._leadership = leadership
        self._peers = peers
        self._clock = clock
        self._addresses = addresses
        # A successor may not know of instances that were announced after the last heartbeat.
        self._addresses_when_stored: set[str] = set()
        leadership.on_stored = self._note_stored
        leadership.count_instances = lambda: len(self._addresses()) + 1
        self.confirmations = 0

    def _note_stored(self) -> None:
        self._addresses_when_stored = self._addresses()

    async def run(self) -> None:
        """Confirm the term whenever heartbeats have failed for long, until cancelled."""
        asked_ms = -math.inf
        while True:
            if await wait_event(self._leadership.opened, CHECK_INTERVAL_MS):
                self._leadership.opened.clear()
                asked_ms = -math.inf
            term = self._leadership.term
            now_ms = self._clock.now_ms()
            if not term or now_ms - asked_ms < INTERVAL_MS:
                continue
            addresses = self._addresses()
            earlier_terms = self._leadership.earlier_terms
            if self._leadership.unconfirmed_ms() > MIN_UNCONFIRMED_MS:
                asked_ms = now_ms
                await self._confirm(term, addresses)
            elif now_ms < earlier_terms.longest_expiry_ms():
                asked_ms = now_ms
                await self._ask_all(term, earlier_terms.unsettled(addresses))

    async def _confirm(self, term: int, addresses: set[str]) -> None:
        sent_ms = self._clock.now_with_suspensions_ms()
        request = 0
        if self._leadership.candidate:
            self._leadership.requests += 1
            request = self._leadership.requests
        confirmed, agreed = await self._ask_all(term, addresses, request)
        known = self._addresses_when_stored
        if request and len(agreed & known) + 1 >= AGREEING_SHARE * (len(known) + 1):
            self._leadership.note_agreed(term, sent_ms)
        if confirmed == addresses:
            self.confirmations += 1
            self._leadership.note_confirmed(term, sent_ms)
        elif confirmed & known:
            self._leadership.note_partly_confirmed(term, sent_ms)
        log.info(
            "term_asked_at_peers",
            term=term,
            peers=len(addresses),
            confirmed=len(confirmed),
            agreed=len(agreed),
            unconfirmed_ms=round(min(self._leadership.unconfirmed_ms(), MAX_LOGGED_AGE_MS)),
            lease_left_ms=round(max(self._leadership.lease_left_ms(), -MAX_LOGGED_AGE_MS)),
        )

    async def _ask_all(
        self, term: int, addresses: set[str], request: int = 0
    ) -> tuple[set[str], set[str]]:
        """Ask for confirmations of a term, and give it up where a newer one is known.

        An instance that acknowledges the term confirms no earlier one any more.

        :param request: number of the request to start work without a record, 0 if there is none.
        :return: the addresses at which the term is confirmed, and at which the starts are agreed
            to.
        """
        asked = sorted(addresses)
        earlier_terms = self._leadership.earlier_terms
        call = pb.StoreCall(
            kind=pb.StoreCall.CONFIRM_TERM,
            epoch=term,
            unrecorded=request,
            offset=max(0, earlier_terms.offset),
        )
        message = call.SerializeToString()
        answers = await asyncio.gather(*(self._ask(address, message) for address in asked))
        confirmed = set()
        agreed = set()
        for address, (answer, received_ms) in zip(asked, answers, strict=True):
            if answer.outcome == pb.StoreAnswer.FENCED:
                log.warning("term_lost_by_peer", term=term, peer=address)
                self._leadership.step_down(term)
                return set(), set()
            if answer.outcome != pb.StoreAnswer.DONE:
                continue
            confirmed.add(address)
            if answer.agreed:
                agreed.add(address)
            if answer.acknowledged_term == term:
                earlier_terms.note_acknowledged(
                    address,
                    received_ms - answer.older_confirmed_ms,
                    answer.quiet,
                )
        return confirmed, agreed

    async def _ask(self, address: str, message: bytes) -> tuple[pb.StoreAnswer, float]:
        """Return a peer's answer, ``UNANSWERED`` without one, and when it was received."""
        try:
            reply = await self._peers.ask(address, message, ANSWER_TIMEOUT_MS)
            answer = pb.StoreAnswer.FromString(reply)
        except (PeerError, DecodeError):
            answer = pb.StoreAnswer(outcome=pb.StoreAnswer.UNANSWERED)
        return answer, self._clock.now_ms()


def serve_confirmation(
    call: pb.StoreCall, leadership: Leadership, reaches_store: bool = True
) -> pb.StoreAnswer:
    """Return the answer to a peer that asks whether its term is the newest one known here.

    :param reaches_store: the store answers this instance.
    """
    if not leadership.follower.loaded.is_set():
        # Another process of this instance may have held a newer term.
        return pb.StoreAnswer(outcome=pb.StoreAnswer.REFUSED, reason="the terms are not loaded")
    if call.epoch > leadership.current_term() + MAX_TERM_ADVANCE:
        return pb.StoreAnswer(outcome=pb.StoreAnswer.REFUSED, reason="no such term can be open")
    if not leadership.confirm_other(call.epoch):
        return pb.StoreAnswer(outcome=pb.StoreAnswer.FENCED)
    witness = leadership.witness
    agreed = call.unrecorded > 0 and not reaches_store
    if agreed:
        witness.agree(call.epoch, call.unrecorded)
    return pb.StoreAnswer(
        acknowledged_term=witness.term,
        older_confirmed_ms=int(min(witness.older_confirmed_ago_ms(), MAX_LOGGED_AGE_MS)),
        agreed=agreed,
        quiet=witness.is_quiet(call.offset),
    )
