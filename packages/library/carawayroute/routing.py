"""Routing policies that choose a runner's slot for a request, including slot leases."""

import random
from typing import Protocol

from carawayroute.clock import Clock
from carawayroute.misc import rendezvous
from carawayroute.types import Instance

# Fraction of the lease after which a borrower stops using a slot, before its lender takes it back.
BORROWER_LEASE_FRACTION = 0.6
# A borrowed slot that stays idle for this long is returned.
IDLE_RETURN_DELAY_MS = 20


class Slot:
    """One request slot of a runner.

    :param runner: id of the runner.
    :param index: position of the slot within the runner's capacity.
    """

    __slots__ = ("index", "runner")

    def __init__(self, runner: str, index: int) -> None:
        self.runner = runner
        self.index = index

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Slot) and self.key == other.key

    def __hash__(self) -> int:
        return hash(self.key)

    @property
    def key(self) -> tuple[str, int]:
        """Return the key that identifies the slot: runner and index."""
        return (self.runner, self.index)


class Router(Protocol):
    """A policy that chooses the runner of a request."""

    def update(self, runners: list[Instance], entries: list[str]) -> None:
        """Replace the lists of live runners and entries."""

    def acquire(self, avoid: set[str]) -> Slot | None:
        """Return a slot to use now, or ``None`` to keep the request queued.

        :param avoid: ids of runners that must not be chosen.
        """

    def release(self, slot: Slot) -> None:
        """Release a slot whose request has ended."""

    def observe_shared(self, load_by_runner: dict[str, int]) -> None:
        """Replace the number of requests that other entries have in flight on each runner."""


class _CountingRouter:
    """Count an entry's own requests in flight on each runner."""

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)
        self._capacity_by_runner: dict[str, int] = {}
        self._in_flight_by_runner: dict[str, int] = {}
        self._shared_by_runner: dict[str, int] = {}

    def update(self, runners: list[Instance], entries: list[str]) -> None:
        """Replace the list of live runners."""
        self._capacity_by_runner = {runner.id: runner.capacity for runner in runners}

    def observe_shared(self, load_by_runner: dict[str, int]) -> None:
        """Replace the number of requests that other entries have in flight on each runner."""
        self._shared_by_runner = load_by_runner

    def release(self, slot: Slot) -> None:
        """Count a request as ended."""
        self._in_flight_by_runner[slot.runner] -= 1

    def in_flight(self, runner: str) -> int:
        """Return the number of this entry's requests in flight on a runner."""
        return self._in_flight_by_runner.get(runner, 0)

    def _load(self, runner: str) -> float:
        in_flight = self.in_flight(runner) + self._shared_by_runner.get(runner, 0)
        return in_flight / max(1, self._capacity_by_runner[runner])

    def _candidates(self, avoid: set[str]) -> list[str]:
        return [runner for runner in self._capacity_by_runner if runner not in avoid]

    def _take(self, runner: str) -> Slot:
        count = self.in_flight(runner)
        self._in_flight_by_runner[runner] = count + 1
        return Slot(runner, count)


class RandomRouter(_CountingRouter):
    """Baseline that chooses any runner at random; requests queue at the runner."""

    def acquire(self, avoid: set[str]) -> Slot | None:
        """Return a slot on a random runner."""
        candidates = self._candidates(avoid)
        return self._take(self._random.choice(candidates)) if candidates else None


class LeastOutstandingRouter(_CountingRouter):
    """Baseline that chooses the runner with the fewest of this entry's own requests."""

    def _load(self, runner: str) -> float:
        return self.in_flight(runner) / max(1, self._capacity_by_runner[runner])

    def acquire(self, avoid: set[str]) -> Slot | None:
        """Return a slot on the least loaded runner, with ties broken at random."""
        candidates = self._candidates(avoid)
        if not candidates:
            return None
        lowest = min(self._load(runner) for runner in candidates)
        ties = [runner for runner in candidates if self._load(runner) == lowest]
        return self._take(self._random.choice(ties))


class TwoChoicesRouter(_CountingRouter):
    """Chooses the less loaded of two random runners, by own and shared load."""

    def acquire(self, avoid: set[str]) -> Slot | None:
        """Return a slot on the less loaded of two random runners."""
        candidates = self._candidates(avoid)
        if not candidates:
            return None
        drawn = [self._random.choice(candidates), self._random.choice(candidates)]
        return self._take(min(drawn, key=self._load))


class Demand:
    """Queue length and idle slots of an entry.

    :param queued: requests that wait for a slot.
    :param oldest_ms: time that the oldest of them has waited.
    :param idle: idle slots that can be lent.
    """

    __slots__ = ("idle", "oldest_ms", "queued")

    def __init__(self, queued: int = 0, oldest_ms: float = 0.0, idle: int = 0) -> None:
        self.queued = queued
        self.oldest_ms = oldest_ms
        self.idle = idle


class SlotLeaseRouter:
    """Divide runners' slots among the entries and lend idle ones to entries with a queue.

    Every slot has an owner, an entry that all entries derive alike by rendezvous hashing over the
    lists of runners and entries. The owner uses the slot or lends it. A loan lasts as long as
    messages from its borrower arrive. Without messages from the lender, the borrower stops using
    the slot before the lender takes it back, so that a slot never has two users. Requests without a
    slot queue at the entry, ordered by urgency and fair share.

    :param instance: id of the entry that this router serves.
    :param lease_ms: time without a message from a borrower after which its loans end.
    """

    def __init__(self, clock: Clock, instance: str, lease_ms: float) -> None:
        self._clock = clock
        self.instance = instance
        self.lease_ms = lease_ms
        self._owned: set[Slot] = set()
        self._usable_from_ms: dict[Slot, float] = {}
        self._borrower_by_slot: dict[Slot, str] = {}
        self._lender_by_slot: dict[Slot, str] = {}
        self._last_message_ms_by_entry: dict[str, float] = {}
        self._demand_by_entry: dict[str, Demand] = {}
        self._idle_since_ms: dict[Slot, float] = {}
        self._in_use: set[Slot] = set()
        self._live_runners: set[str] = set()
        self._entries: tuple[str, ...] = ()
        self._layout: tuple[tuple[str, int], ...] = ()

    def update(self, runners: list[Instance], entries: list[str]) -> None:
        """Replace the lists of live runners and entries, and derive the slots owned by this entry.

        Newly owned slots are not used until leases under their previous owner have expired.
        """
        layout = tuple((runner.id, runner.capacity) for runner in runners)
        if layout == self._layout and tuple(entries) == self._entries:
            return
        first = not self._layout
        same_entries = tuple(entries) == self._entries
        self._layout, self._entries = layout, tuple(entries)
        known_runners, self._live_runners = self._live_runners, {name for name, _ in layout}
        owned = set()
        for name, capacity in layout:
            order = rendezvous(name, entries)
            for index in range(capacity):
                if order and order[index % len(order)] == self.instance:
                    owned.add(Slot(name, index))
        now_ms = self._clock.now_ms()
        for slot in owned - self._owned:
            # A slot of a new runner had no previous owner; any other may still be in use elsewhere.
            unclaimed = first or (same_entries and slot.runner not in known_runners)
            self._usable_from_ms[slot] = now_ms if unclaimed else now_ms + self.lease_ms
            self._idle_since_ms.setdefault(slot, now_ms)
        for slot in self._owned - owned:
            self._borrower_by_slot.pop(slot, None)
            self._usable_from_ms.pop(slot, None)
        self._owned = owned

    def observe_shared(self, load_by_runner: dict[str, int]) -> None:
        """Do nothing; slot leases do not use the shared load."""

    def _is_usable(self, slot: Slot, now_ms: float) -> bool:
        if slot.runner not in self._live_runners:
            return False
        lender = self._lender_by_slot.get(slot)
        if lender is not None:
            silent_ms = now_ms - self._last_message_ms_by_entry.get(lender, 0.0)
            return silent_ms <= self.lease_ms * BORROWER_LEASE_FRACTION
        usable = slot in self._owned and self._usable_from_ms[slot] <= now_ms
        return usable and slot not in self._borrower_by_slot

    def _idle(self) -> list[Slot]:
        now_ms = self._clock.now_ms()
        candidates = self._owned | set(self._lender_by_slot)
        return [
            slot
            for slot in candidates
            if slot not in self._in_use and self._is_usable(slot, now_ms)
        ]

    def held_count(self) -> int:
        """Return the number of slots that this entry may use, idle or in use."""
        now_ms = self._clock.now_ms()
        candidates = self._owned | set(self._lender_by_slot)
        return sum(1 for slot in candidates if self._is_usable(slot, now_ms))

    def acquire(self, avoid: set[str]) -> Slot | None:
        """Return an idle slot, borrowed ones first, on the runner that this entry uses least."""
        idle = [slot for slot in self._idle() if slot.runner not in avoid]
        if not idle:
            return None
        used_by_runner: dict[str, int] = {}
        for slot in self._in_use:
            used_by_runner[slot.runner] = used_by_runner.get(slot.runner, 0) + 1
        # Borrowed slots are used first: only owned slots can be lent, so those should stay idle.
        chosen = min(
            idle,
            key=lambda slot: (
                slot not in self._lender_by_slot,
                used_by_runner.get(slot.runner, 0),
                slot.key,
            ),
        )
        self._in_use.add(chosen)
        return chosen

    def release(self, slot: Slot) -> None:
        """Release a slot whose request has ended."""
        self._in_use.discard(slot)
        self._idle_since_ms[slot] = self._clock.now_ms()

    def observe_message(self, entry: str, demand: Demand | None = None) -> None:
        """Record a message from another entry, which extends all loans from and to that entry."""
        self._last_message_ms_by_entry[entry] = self._clock.now_ms()
        if demand is not None:
            self._demand_by_entry[entry] = demand

    def expire(self) -> None:
        """End loans to and from entries without a message for a whole lease."""
        now_ms = self._clock.now_ms()
        for entry in list(self._demand_by_entry):
            if now_ms - self._last_message_ms_by_entry.get(entry, 0.0) > self.lease_ms:
                del self._demand_by_entry[entry]
        for slot, borrower in list(self._borrower_by_slot.items()):
            if now_ms - self._last_message_ms_by_entry.get(borrower, 0.0) > self.lease_ms:
                del self._borrower_by_slot[slot]
        for slot, lender in list(self._lender_by_slot.items()):
            if now_ms - self._last_message_ms_by_entry.get(lender, 0.0) > self.lease_ms:
                self._drop_borrowed(slot)

    def _drop_borrowed(self, slot: Slot) -> None:
        self._lender_by_slot.pop(slot, None)
        if slot not in self._owned:
            self._idle_since_ms.pop(slot, None)

    def idle_owned(self) -> list[Slot]:
        """Return the owned slots that can be lent, the longest idle first."""
        idle = [slot for slot in self._idle() if slot in self._owned]
        idle.sort(key=lambda slot: (self._idle_since_ms.get(slot, 0.0), slot.key))
        return idle

    def lend(self, borrower: str, own_queued: int) -> list[Slot]:
        """Lend idle owned slots to an entry with a queue, and return them.

        At most half of the idle slots are lent at once.

        :param own_queued: number of requests queued at this entry; nothing is lent unless it is 0.
        """
        demand = self._demand_by_entry.get(borrower)
        if demand is None or own_queued > 0:
            return []
        idle = self.idle_owned()
        lent = idle[: min(demand.queued, (len(idle) + 1) // 2)]
        for slot in lent:
            self._borrower_by_slot[slot] = borrower
        demand.queued -= len(lent)
        return lent

    def borrow(self, lender: str, slots: list[Slot]) -> None:
        """Add slots that a lender granted."""
        now_ms = self._clock.now_ms()
        for slot in slots:
            self._lender_by_slot[slot] = lender
            self._idle_since_ms[slot] = now_ms

    def retain_borrowed(self, lender: str, own_queued: int) -> list[Slot]:
        """Return the slots still borrowed from a lender, after giving up those idle for too long.

        Every message carries the complete list, so that a lost message loses no slot.

        :param own_queued: number of requests queued at this entry; no slot is given up unless it
            is 0.
        """
        now_ms = self._clock.now_ms()
        kept = []
        for slot, owner in list(self._lender_by_slot.items()):
            if owner != lender:
                continue
            idle_ms = now_ms - self._idle_since_ms.get(slot, now_ms)
            if slot not in self._in_use and own_queued == 0 and idle_ms >= IDLE_RETURN_DELAY_MS:
                self._drop_borrowed(slot)
            else:
                kept.append(slot)
        return kept

    def reconcile(self, borrower: str, kept: list[Slot]) -> None:
        """Take back the slots that are missing from a borrower's list.

        :param kept: slots that the borrower still uses.
        """
        still_lent = set(kept)
        for slot, holder in list(self._borrower_by_slot.items()):
            if holder == borrower and slot not in still_lent:
                del self._borrower_by_slot[slot]
                self._idle_since_ms[slot] = self._clock.now_ms()

    def others_have_queue(self) -> bool:
        """Return whether any other entry last reported queued requests."""
        return any(demand.queued > 0 for demand in self._demand_by_entry.values())

    def most_useful_peer(self, own: Demand, allowed: set[str]) -> str | None:
        """Return the entry with which a message would move slots where they are needed, if any.

        :param own: queue and idle slots of this entry.
        :param allowed: ids of entries to which no message is in flight.
        """
        peers = [entry for entry in self._entries if entry in allowed]
        if own.queued > 0:
            return self._best_lender(peers)
        waiting = self._longest_queue(peers)
        if waiting is None:
            return None
        return waiting if own.idle > 0 else self._lender_of_idle(peers)

    def _lender_of_idle(self, peers: list[str]) -> str | None:
        """Return the lender of an idle borrowed slot, which can lend it to another entry."""
        now_ms = self._clock.now_ms()
        for slot, lender in self._lender_by_slot.items():
            idle_ms = now_ms - self._idle_since_ms.get(slot, now_ms)
            if slot not in self._in_use and idle_ms >= IDLE_RETURN_DELAY_MS and lender in peers:
                return lender
        return None

    def _best_lender(self, peers: list[str]) -> str | None:
        """Return the entry with the most idle slots; ties go to the oldest last message."""

        def rank(entry: str) -> tuple[int, float]:
            demand = self._demand_by_entry.get(entry)
            last_message_ms = self._last_message_ms_by_entry.get(entry, float("-inf"))
            return (demand.idle if demand else 0, -last_message_ms)

        return max(peers, key=rank, default=None)

    def _longest_queue(self, peers: list[str]) -> str | None:
        """Return the entry that last reported the longest queue, or ``None``."""
        waiting = [
            (self._demand_by_entry[entry].queued, entry)
            for entry in peers
            if entry in self._demand_by_entry and self._demand_by_entry[entry].queued > 0
        ]
        return max(waiting)[1] if waiting else None
