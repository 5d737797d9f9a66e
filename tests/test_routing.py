"""Routing policies, slot leases and membership."""

import pytest
from builders import runner

from carawayroute.clock import ManualClock
from carawayroute.membership import OBSERVATION_MS, Membership
from carawayroute.routing import (
    IDLE_RETURN_DELAY_MS,
    Demand,
    LeastOutstandingRouter,
    RandomRouter,
    Slot,
    SlotLeaseRouter,
    TwoChoicesRouter,
)
from carawayroute.types import Instance

LEASE_MS = 3_000
ENTRIES = ["a", "b", "c"]
RUNNERS = [runner(f"r{index}") for index in range(4)]


def make_routers(clock: ManualClock) -> dict[str, SlotLeaseRouter]:
    """Return the routers of three entries, by entry, that know the same runners and entries."""
    routers = {name: SlotLeaseRouter(clock, name, LEASE_MS) for name in ENTRIES}
    for router in routers.values():
        router.update(RUNNERS, ENTRIES)
    return routers


def acquire_all(router: SlotLeaseRouter) -> list[Slot]:
    """Acquire slots until the router has none left, and return them."""
    slots = []
    while (slot := router.acquire(set())) is not None:
        slots.append(slot)
    return slots


def exchange(clock: ManualClock, borrower: SlotLeaseRouter, lender: SlotLeaseRouter, queue: int):
    """Exchange a message and its reply as the daemons do; return the slots lent.

    :param queue: requests queued at the borrower.
    """
    kept = borrower.retain_borrowed(lender.instance, queue)
    lender.observe_message(borrower.instance, Demand(queued=queue))
    lender.reconcile(borrower.instance, kept)
    granted = lender.lend(borrower.instance, own_queued=0)
    borrower.observe_message(lender.instance)
    borrower.borrow(lender.instance, granted)
    return granted


def test_each_slot_belongs_to_exactly_one_entry() -> None:
    taken = [
        slot for router in make_routers(ManualClock()).values() for slot in acquire_all(router)
    ]
    assert len(taken) == len(set(taken)) == 32


def test_idle_slots_are_lent_to_an_entry_with_a_queue() -> None:
    clock = ManualClock()
    routers = make_routers(clock)
    own = acquire_all(routers["a"])
    granted = exchange(clock, routers["a"], routers["b"], queue=5)
    assert len(granted) == 5
    assert set(acquire_all(routers["a"])) == set(granted)
    rest = acquire_all(routers["b"])
    assert not set(rest) & (set(granted) | set(own))


def test_entry_with_a_queue_lends_no_slots() -> None:
    routers = make_routers(ManualClock())
    routers["b"].observe_message("a", Demand(queued=5))
    assert routers["b"].lend("a", own_queued=1) == []


def test_borrowed_slots_are_used_before_owned_ones() -> None:
    clock = ManualClock()
    routers = make_routers(clock)
    granted = exchange(clock, routers["a"], routers["b"], queue=3)
    assert {routers["a"].acquire(set()) for _ in granted} == set(granted)


def test_message_goes_to_the_most_useful_peer() -> None:
    router = make_routers(ManualClock())["a"]
    router.observe_message("b", Demand(idle=1))
    router.observe_message("c", Demand(idle=4))
    assert router.most_useful_peer(Demand(queued=2), {"b", "c"}) == "c"
    assert router.most_useful_peer(Demand(queued=2), {"b"}) == "b"
    assert router.most_useful_peer(Demand(idle=2), {"b", "c"}) is None
    router.observe_message("b", Demand(queued=7))
    assert router.most_useful_peer(Demand(idle=2), {"b", "c"}) == "b"


def test_idle_borrowed_slots_are_returned() -> None:
    clock = ManualClock()
    routers = make_routers(clock)
    granted = exchange(clock, routers["a"], routers["b"], queue=5)
    before = routers["b"].held_count()
    clock.ms += IDLE_RETURN_DELAY_MS + 1
    exchange(clock, routers["a"], routers["b"], queue=0)
    assert routers["b"].held_count() == before + len(granted)


def test_lost_reply_loses_no_slots() -> None:
    clock = ManualClock()
    routers = make_routers(clock)
    routers["b"].observe_message("a", Demand(queued=5))
    lost = routers["b"].lend("a", own_queued=0)
    assert lost
    before = routers["b"].held_count()
    exchange(clock, routers["a"], routers["b"], queue=0)
    assert routers["b"].held_count() == before + len(lost)


def test_silent_borrower_stops_before_the_lender_reclaims_its_slots() -> None:
    clock = ManualClock()
    routers = make_routers(clock)
    acquire_all(routers["a"])
    granted = exchange(clock, routers["a"], routers["b"], queue=5)
    clock.ms += LEASE_MS * 0.7
    routers["b"].expire()
    assert acquire_all(routers["a"]) == []
    assert not set(acquire_all(routers["b"])) & set(granted)
    clock.ms += LEASE_MS
    routers["b"].expire()
    assert set(acquire_all(routers["b"])) == set(granted)


def test_slots_of_a_dead_entry_are_unusable_until_its_lease_expires() -> None:
    clock = ManualClock()
    routers = make_routers(clock)
    routers["a"].update(RUNNERS, ["a", "b"])
    before = len(acquire_all(routers["a"]))
    clock.ms += LEASE_MS + 1
    assert before + len(acquire_all(routers["a"])) > 32 / 3


def test_removed_runner_gets_no_requests() -> None:
    router = make_routers(ManualClock())["a"]
    router.update(RUNNERS[1:], ENTRIES)
    assert {slot.runner for slot in acquire_all(router)} <= {"r1", "r2", "r3"}


def test_least_outstanding_spreads_requests() -> None:
    router = LeastOutstandingRouter(seed=1)
    router.update(RUNNERS, ENTRIES)
    chosen = [router.acquire(set()).runner for _ in range(8)]
    assert {chosen.count(runner.id) for runner in RUNNERS} == {2}


def test_two_choices_prefers_runners_with_less_shared_load() -> None:
    router = TwoChoicesRouter(seed=1)
    router.update(RUNNERS, ENTRIES)
    router.observe_shared({"r0": 8, "r1": 8, "r2": 8, "r3": 0})
    chosen = [router.acquire(set()).runner for _ in range(100)]
    assert chosen.count("r3") > 25


@pytest.mark.parametrize("policy", [RandomRouter, LeastOutstandingRouter, TwoChoicesRouter])
def test_policies_skip_runners_to_avoid(policy) -> None:
    router = policy(seed=1)
    router.update(RUNNERS, ENTRIES)
    assert router.acquire({"r0", "r1", "r2"}).runner == "r3"
    assert router.acquire({runner.id for runner in RUNNERS}) is None


def test_observed_departure_overrides_the_instance_list() -> None:
    clock = ManualClock()
    members = Membership(clock)
    members.update(RUNNERS)
    members.observe_leaving("r0")
    members.update(RUNNERS)
    assert [item.id for item in members.live("runner", "south")] == ["r1", "r2", "r3"]
    assert members.leaving_first_hand() == ["r0"]
    clock.ms = OBSERVATION_MS + 1
    assert not members.is_leaving("r0")


def test_instance_with_a_new_address_is_no_longer_leaving() -> None:
    members = Membership(ManualClock())
    members.update([runner("r0")])
    members.observe_leaving("r0")
    moved = runner("r0")
    moved.address = "elsewhere"
    members.update([moved])
    assert not members.is_leaving("r0")


def test_link_targets_are_the_own_region_and_one_entry_of_each_other() -> None:
    members = Membership(ManualClock())
    members.update(
        [
            Instance(f"{region}-{index}", "entry", region, f"{region}-{index}")
            for region in ("east", "north", "south", "west")
            for index in range(7)
        ]
    )
    targets = members.link_targets("south-0", "south")
    regions = [target.region for target in targets]
    assert regions.count("south") == 6
    assert sorted(set(regions) - {"south"}) == ["east", "north", "west"]
    assert len(targets) == 9
    spread = {members.link_targets(f"south-{n}", "south")[-1].id for n in range(7)}
    assert len(spread) > 1
