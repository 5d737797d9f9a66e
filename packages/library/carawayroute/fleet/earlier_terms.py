"""Tells when the leases of earlier planners have expired.

Load pattern: a planner dies, or is cut off, together with some runners. Its successor starts their
work elsewhere once their leases have expired for certain. A planner that is cut off renews leases
for as long as other instances confirm its term, so the successor asks all of them to acknowledge
its own term. An instance that has done so confirms no lower one, and tells when it last did. While
one does not answer, it may confirm the earlier term for as long as planners rely on less than all
instances. The last planner itself need not answer: from its claim on, it confirmed no lower term.
"""

import math
from collections.abc import Collection

from carawayroute.clock import Clock
from carawayroute.fleet.lease_limits import LeaseLimits, certain_ms
from carawayroute_schema import records_pb2 as pb

# Well above the time after which the store carries out a call that was not answered.
MAX_RECORD_DELAY_MS = 13_000
# Share of the instances, with the planner, that must agree to starts without a record.
AGREEING_SHARE = 2 / 3


class TermWitness:
    """The terms of other instances that this process has confirmed.

    A process that ran here before may have confirmed any term until this one was started.
    """

    __slots__ = (
        "_agreed_request",
        "_agreed_term",
        "_clock",
        "_confirmed_ms",
        "_newest",
        "_older_confirmed_ms",
        "_previous",
        "_started_ms",
        "_term",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._term = 0
        self._confirmed_ms = clock.now_with_suspensions_ms()
        self._older_confirmed_ms = self._confirmed_ms
        self._started_ms = clock.now_ms()
        self._agreed_term = 0
        self._agreed_request = 0
        # The newest record of the planner's term, and the last one of the term before.
        self._newest = _TermRecord(-1, 0, 0, -math.inf)
        self._previous = self._newest

    def note_record(self, offset: int, term: int, requests: int, stored_after_ms: float) -> None:
        """Note a record of the planner's term.

        :param requests: number of the planner's requests to start work without a record.
        :param stored_after_ms: clock time after which it was stored, -infinity if unknown.
        """
        if term != self._newest.term:
            self._previous = self._newest
        self._newest = _TermRecord(offset, term, requests, stored_after_ms)

    def confirm(self, term: int) -> bool:
        """Confirm a term, unless a newer one was confirmed before."""
        if term < self._term:
            return False
        if term > self._term:
            self._term = term
            self._older_confirmed_ms = self._confirmed_ms
        self._confirmed_ms = self._clock.now_with_suspensions_ms()
        return True

    @property
    def term(self) -> int:
        """Return the newest confirmed term; no lower one is confirmed any more."""
        return self._term

    def agree(self, term: int, request: int) -> None:
        """Note that this process agreed to starts without a record.

        :param request: number of the request by the planner of the term.
        """
        self._agreed_term = term
        self._agreed_request = request

    def is_quiet(self, offset: int) -> bool:
        """Return whether no process here has agreed to starts of which a record does not tell.

        An earlier process may have agreed to any until this one was started. Records may be stored
        seconds after they are sent.

        :param offset: offset of the last record of a term.
        """
        record = self._newest if self._newest.offset == offset else self._previous
        if record.offset != offset:
            return False
        if self._started_ms >= record.stored_after_ms - MAX_RECORD_DELAY_MS:
            return False
        return self._agreed_term != record.term or self._agreed_request <= record.requests

    def older_confirmed_ago_ms(self) -> float:
        """Return the time since a term below that one may last have been confirmed."""
        return self._clock.now_with_suspensions_ms() - self._older_confirmed_ms


class _TermRecord:
    """A record of a planner's term."""

    __slots__ = ("offset", "requests", "stored_after_ms", "term")

    def __init__(self, offset: int, term: int, requests: int, stored_after_ms: float) -> None:
        self.offset = offset
        self.term = term
        self.requests = requests
        self.stored_after_ms = stored_after_ms


class EarlierTerms:
    """What a planner knows of the confirmations of all terms before its own.

    :param seen_ms: clock time after which neither the store nor this process confirmed one,
        -infinity if there was none.
    :param limits: limits of the planners' leases.
    :param last: last record of the term before, if it could be read.
    :param offset: its offset.
    :param quiet: whether this process is quiet since that record (`TermWitness.is_quiet`).
    :ivar offset: offset of the last record.
    """

    __slots__ = (
        "_last",
        "_older_confirmed_ms_by_address",
        "_partly_confirmed_ms",
        "_quiet",
        "_quiet_addresses",
        "_seen_ms",
        "offset",
    )

    def __init__(
        self,
        seen_ms: float,
        limits: LeaseLimits,
        last: pb.Leader | None = None,
        offset: int = 0,
        quiet: bool = False,
    ) -> None:
        self._seen_ms = seen_ms
        self._last = last or pb.Leader()
        self._partly_confirmed_ms = max(limits.partly_confirmed_ms, self._last.unconfirmed_lease_ms)
        self.offset = offset
        self._quiet = quiet
        self._quiet_addresses: set[str] = set()
        self._older_confirmed_ms_by_address: dict[str, float] = {}

    def note_acknowledged(self, address: str, older_confirmed_ms: float, quiet: bool) -> None:
        """Note that an instance confirms no earlier term any more.

        :param older_confirmed_ms: clock time after which it confirmed none.
        :param quiet: whether it is quiet since the last planner's last record.
        """
        self._older_confirmed_ms_by_address[address] = older_confirmed_ms
        if quiet:
            self._quiet_addresses.add(address)

    def may_have_unrecorded_starts(self, addresses: Collection[str]) -> bool:
        """Return whether the last planner may have started work of which the store has no record.

        It needs the agreement of two thirds of the instances that it knows.

        :param addresses: addresses of all other instances.
        """
        if not self._last.unconfirmed_lease_ms:
            # It was of a version that starts nothing so, or there was none.
            return False
        if self._last.unrecorded:
            return True
        if self._last.resigned:
            # It does not ask any more when it resigns.
            return False
        quiet = self._quiet + len(self._quiet_addresses.intersection(addresses))
        others = len(addresses) + 1 - quiet
        return others >= AGREEING_SHARE * self._last.instances

    def unacknowledged(self, addresses: Collection[str]) -> set[str]:
        """Return the addresses whose instances may confirm an earlier term still."""
        if not self._last.unconfirmed_lease_ms:
            return set()
        return set(addresses) - {self._last.address} - self._older_confirmed_ms_by_address.keys()

    def unsettled(self, addresses: Collection[str]) -> set[str]:
        """Return the addresses whose instances have not acknowledged the term or may tell more."""
        if not self.may_have_unrecorded_starts(addresses):
            return self.unacknowledged(addresses)
        return set(addresses) - self._quiet_addresses

    def longest_expiry_ms(self) -> float:
        """Return the clock time by which the leases have expired whoever confirmed their terms."""
        return self._seen_ms + certain_ms(self._partly_confirmed_ms)

    def leases_expired_ms(self, addresses: Collection[str]) -> float:
        """Return the clock time by which every lease of an earlier planner has expired for certain.

        :param addresses: addresses of all other instances.
        """
        if not self._last.unconfirmed_lease_ms or self.unacknowledged(addresses):
            return self.longest_expiry_ms()
        confirmed_ms = max([self._seen_ms, *self._older_confirmed_ms_by_address.values()])
        unconfirmed_ms = certain_ms(self._last.unconfirmed_lease_ms)
        return min(self.longest_expiry_ms(), confirmed_ms + unconfirmed_ms)
