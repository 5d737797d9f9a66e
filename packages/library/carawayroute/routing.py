"""Choosing a runner's slot for a request."""

import random
from typing import Protocol

from carawayroute.clock import Clock
from carawayroute.misc import rendezvous
from carawayroute.types import Instance

# A borrower stops using a lease somewhat before its lender takes it back.
BORROWER_SHARE = 0.6
# An idle borrowed slot goes back after this time, so that a short lull does not move it.
IDLE_RETURN_MS = 500


class Slot:
    """One slot of a runner, as an entry may use it."""

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
        """Return what identifies the slot."""
        return (self.runner, self.index)


class Router(Protocol):
    """A policy that says which runner gets a request."""

    def update(self, runners: list[Instance], entries: list[str]) -> None:
        """Take over the live runners and entries."""

    def acquire(self, avoid: set[str]) -> Slot | None:
        """Return a slot to send to now, or ``None`` to keep the request queued."""

    def release(self, slot: Slot) -> None:
        """Note that the request on a slot ended."""

    def observe_shared(self, load_by_runner: dict[str, int]) -> None:
        """Take over what the other entries have in flight on each runner."""


class _CountingRouter:
    """Count an entry's own requests in flight on each runner."""

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)
        self._capacity_by_runner: dict[str, int] = {}
        self._in_flight_by_runner: dict[str, int] = {}
        self._shared_by_runner: dict[str, int] = {}

    def update(self, runners: list[Instance], entries: list[str]) -> None:
        """Take over the live runners."""
        self._capacity_by_runner = {runner.id: runner.capacity for runner in runners}

    def observe_shared(self, load_by_runner: dict[str, int]) -> None:
        """Take over what the other entries have in flight."""
        self._shared_by_runner = load_by_runner

    def release(self, slot: Slot) -> None:
        """Note that a request ended."""
        self._in_flight_by_runner[slot.runner] -= 1

    def in_flight(self, runner: str) -> int:
        """Return this entry's requests in flight on a runner."""
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
    """Baseline: any runner, with the queue in the runner."""

    def acquire(self, avoid: set[str]) -> Slot | None:
        """Return a slot on a runner drawn at random."""
        candidates = self._candidates(avoid)
        return self._take(self._random.choice(candidates)) if candidates else None


class LeastOutstandingRouter(_CountingRouter):
    """Baseline: the runner with the fewest of this entry's own requests."""

    def _load(self, runner: str) -> float:
        return self.in_flight(runner) / max(1, self._capacity_by_runner[runner])

    def acquire(self, avoid: set[str]) -> Slot | None:
        """Return a slot on the least loaded runner, ties drawn at random."""
        candidates = self._candidates(avoid)
        if not candidates:
            return None
        lowest = min(self._load(runner) for runner in candidates)
        ties = [runner for runner in candidates if self._load(runner) == lowest]
        return self._take(self._random.choice(ties))


class TwoChoicesRouter(_CountingRouter):
    """The less loaded of two runners drawn at random, by own and shared load."""

    def acquire(self, avoid: set[str]) -> Slot | None:
        """Return a slot on the less loaded of two."""
        candidates = self._candidates(avoid)
        if not candidates:
            return None
        drawn = [self._random.choice(candidates), self._random.choice(candidates)]
        return self._take(min(drawn, key=self._load))


class _Loan:
    __slots__ = ("slot", "to")

    def __init__(self, slot: Slot, to: str) -> None:
        self.slot = slot
        self.to = to


class SlotLeaseRouter:
    """Divide runners' slots among the entries and lend idle ones to entries with a queue.

    Every slot has a home entry, which all entries derive alike from the lists of runners and
    entries. The home uses the slot or lends it. A loan lasts while its borrower is heard from; a
    borrower that hears nothing from the lender stops using it earlier than the lender takes it
    back. Requests without a slot queue at the entry, where urgency and fair shares order them.

    :param lease_ms: silence after which a lender takes its slots back.
    """

    def __init__(self, clock: Clock, instance: str, lease_ms: float) -> None:
        self._clock = clock
        self.instance = instance
        self.lease_ms = lease_ms
        self._home: set[Slot] = set()
        self._usable_from_ms: dict[Slot, float] = {}
        self._loans: dict[Slot, _Loan] = {}
        self._borrowed_from: dict[Slot, str] = {}
        self._heard_ms_by_entry: dict[str, float] = {}
        self._idle_since_ms: dict[Slot, float] = {}
        self._in_use: set[Slot] = set()
        self._live_runners: set[str] = set()
        self._entries: tuple[str, ...] = ()
        self._layout: tuple[tuple[str, int], ...] = ()

    def update(self, runners: list[Instance], entries: list[str]) -> None:
        """Work out the slots at home here; newly assigned ones rest until old loans are over."""
        layout = tuple((runner.id, runner.capacity) for runner in runners)
        if layout == self._layout and tuple(entries) == self._entries:
            return
        first = not self._layout
        same_entries = tuple(entries) == self._entries
        self._layout, self._entries = layout, tuple(entries)
        known_runners, self._live_runners = self._live_runners, {name for name, _ in layout}
        home = set()
        for name, capacity in layout:
            order = rendezvous(name, entries)
            for index in range(capacity):
                if order and order[index % len(order)] == self.instance:
                    home.add(Slot(name, index))
        now_ms = self._clock.now_ms()
        for slot in home - self._home:
            # A slot of a new runner was nobody's; any other one may still be in use elsewhere.
            fresh = first or (same_entries and slot.runner not in known_runners)
            self._usable_from_ms[slot] = now_ms if fresh else now_ms + self.lease_ms
            self._idle_since_ms.setdefault(slot, now_ms)
        for slot in self._home - home:
            self._loans.pop(slot, None)
            self._usable_from_ms.pop(slot, None)
        self._home = home

    def observe_shared(self, load_by_runner: dict[str, int]) -> None:
        """Leases need no shared load."""

    def _holds(self, slot: Slot, now_ms: float) -> bool:
        if slot.runner not in self._live_runners:
            return False
        lender = self._borrowed_from.get(slot)
        if lender is not None:
            silent_ms = now_ms - self._heard_ms_by_entry.get(lender, 0.0)
            return silent_ms <= self.lease_ms * BORROWER_SHARE
        usable = slot in self._home and self._usable_from_ms[slot] <= now_ms
        return usable and slot not in self._loans

    def _idle(self) -> list[Slot]:
        now_ms = self._clock.now_ms()
        candidates = self._home | set(self._borrowed_from)
        return [
            slot for slot in candidates if slot not in self._in_use and self._holds(slot, now_ms)
        ]

    def held(self) -> int:
        """Return how many slots this entry may use, idle or not."""
        now_ms = self._clock.now_ms()
        candidates = self._home | set(self._borrowed_from)
        return sum(1 for slot in candidates if self._holds(slot, now_ms))

    def acquire(self, avoid: set[str]) -> Slot | None:
        """Return an idle slot on the runner that this entry uses least."""
        idle = [slot for slot in self._idle() if slot.runner not in avoid]
        if not idle:
            return None
        used_by_runner: dict[str, int] = {}
        for slot in self._in_use:
            used_by_runner[slot.runner] = used_by_runner.get(slot.runner, 0) + 1
        chosen = min(idle, key=lambda slot: (used_by_runner.get(slot.runner, 0), slot.key))
        self._in_use.add(chosen)
        return chosen

    def release(self, slot: Slot) -> None:
        """Note that the request on a slot ended."""
        self._in_use.discard(slot)
        self._idle_since_ms[slot] = self._clock.now_ms()

    def heard(self, entry: str) -> None:
        """Note a message from another entry, which keeps the loans with it alive."""
        self._heard_ms_by_entry[entry] = self._clock.now_ms()

    def expire(self) -> None:
        """Take back the loans of silent borrowers and drop those of silent lenders."""
        now_ms = self._clock.now_ms()
        for slot, loan in list(self._loans.items()):
            if now_ms - self._heard_ms_by_entry.get(loan.to, 0.0) > self.lease_ms:
                del self._loans[slot]
        for slot, lender in list(self._borrowed_from.items()):
            if now_ms - self._heard_ms_by_entry.get(lender, 0.0) > self.lease_ms:
                self._drop_borrowed(slot)

    def _drop_borrowed(self, slot: Slot) -> None:
        self._borrowed_from.pop(slot, None)
        if slot not in self._home:
            self._idle_since_ms.pop(slot, None)

    def lend(self, borrower: str, wanted: int, own_queue: int) -> list[Slot]:
        """Return idle slots of this home for an entry with a queue.

        :param own_queue: requests that wait here; while there are any, nothing is lent.
        """
        if own_queue > 0 or wanted <= 0:
            return []
        idle = [slot for slot in self._idle() if slot in self._home]
        idle.sort(key=lambda slot: self._idle_since_ms.get(slot, 0.0))
        # One idle slot stays for the next request that arrives here.
        granted = idle[: max(0, min(wanted, len(idle) - 1))]
        for slot in granted:
            self._loans[slot] = _Loan(slot, borrower)
        return granted

    def borrow(self, lender: str, slots: list[Slot]) -> None:
        """Take over slots that a lender granted."""
        now_ms = self._clock.now_ms()
        for slot in slots:
            self._borrowed_from[slot] = lender
            self._idle_since_ms[slot] = now_ms

    def borrowed_from(self, lender: str, own_queue: int) -> list[Slot]:
        """Return the slots that this entry keeps from a lender; idle ones are given up.

        The whole list goes into every message, so that a lost message loses no slot.
        """
        now_ms = self._clock.now_ms()
        kept = []
        for slot, owner in list(self._borrowed_from.items()):
            if owner != lender:
                continue
            idle_ms = now_ms - self._idle_since_ms.get(slot, now_ms)
            if slot not in self._in_use and own_queue == 0 and idle_ms >= IDLE_RETURN_MS:
                self._drop_borrowed(slot)
            else:
                kept.append(slot)
        return kept

    def reconcile(self, borrower: str, kept: list[Slot]) -> None:
        """Use the slots again that a borrower no longer keeps."""
        still_lent = set(kept)
        for slot, loan in list(self._loans.items()):
            if loan.to == borrower and slot not in still_lent:
                del self._loans[slot]
                self._idle_since_ms[slot] = self._clock.now_ms()
