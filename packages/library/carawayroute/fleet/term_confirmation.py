"""Confirms the planner's term at its peers while the store does not answer.

Load pattern: the store is away for longer than a planner may renew leases without a confirmation of
its term. If it is away for all, nobody can take over, and running work should go on. If only the
planner is cut off from it, another instance may have taken over, which takes runs out of its reach
as ended once the leases of the old planner have expired.

The planner cannot tell the two apart by itself, so it asks all other instances. One that takes the
term later has answered before, and counts the leases from its last answer at the earliest. So only
an answer of each of them confirms the term: one that does not answer may hold the next one.
"""

import asyncio
from collections.abc import Callable

import structlog
from google.protobuf.message import DecodeError

from carawayroute.clock import Clock
from carawayroute.fleet.follower import MAX_LOGGED_AGE_MS
from carawayroute.fleet.leadership import Leadership
from carawayroute.fleet.relay import PeerError, Peers
from carawayroute_schema import records_pb2 as pb

# Well above the interval of heartbeats and the time in which one fails, so that short outages cost
# no messages, and well below the time for which leases are renewed without a confirmation.
MIN_UNCONFIRMED_MS = 3_000
INTERVAL_MS = 1_000
ANSWER_TIMEOUT_MS = 600

log = structlog.get_logger()


class TermConfirmation:
    """Asks all other instances whether they know a newer term, while heartbeats fail.

    :param addresses: returns the addresses of all other instances that are known.
    :ivar confirmations: number of times that all of them confirmed the term.
    """

    __slots__ = ("_addresses", "_clock", "_leadership", "_peers", "confirmations")

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
        self.confirmations = 0

    async def run(self) -> None:
        """Confirm the term whenever heartbeats have failed for long, until cancelled."""
        while True:
            await self._clock.sleep_ms(INTERVAL_MS)
            term = self._leadership.term
            if term and self._leadership.unconfirmed_ms() > MIN_UNCONFIRMED_MS:
                await self._confirm(term)

    async def _confirm(self, term: int) -> None:
        sent_ms = self._clock.now_with_suspensions_ms()
        addresses = self._addresses()
        outcomes = await asyncio.gather(*(self._ask(address, term) for address in addresses))
        if pb.StoreAnswer.FENCED in outcomes:
            log.warning("term_lost_by_peer", term=term)
            self._leadership.step_down(term)
            return
        confirmed = sum(outcome == pb.StoreAnswer.DONE for outcome in outcomes)
        if confirmed == len(addresses):
            self.confirmations += 1
            self._leadership.note_confirmed(term, sent_ms)
        log.info(
            "term_asked_at_peers",
            term=term,
            peers=len(addresses),
            confirmed=confirmed,
            unconfirmed_ms=round(min(self._leadership.unconfirmed_ms(), MAX_LOGGED_AGE_MS)),
        )

    async def _ask(self, address: str, term: int) -> int:
        """Return the outcome of a peer's answer, ``UNANSWERED`` without one."""
        call = pb.StoreCall(kind=pb.StoreCall.CONFIRM_TERM, epoch=term)
        try:
            reply = await self._peers.ask(address, call.SerializeToString(), ANSWER_TIMEOUT_MS)
            return pb.StoreAnswer.FromString(reply).outcome
        except (PeerError, DecodeError):
            return pb.StoreAnswer.UNANSWERED


def serve_confirmation(call: pb.StoreCall, leadership: Leadership) -> pb.StoreAnswer:
    """Return the answer to a peer that asks whether its term is the newest one known here."""
    if not leadership.follower.loaded.is_set():
        # Another process of this instance may have held a newer term.
        return pb.StoreAnswer(outcome=pb.StoreAnswer.REFUSED, reason="the terms are not loaded")
    if not leadership.confirm_other(call.epoch):
        return pb.StoreAnswer(outcome=pb.StoreAnswer.FENCED)
    return pb.StoreAnswer()
