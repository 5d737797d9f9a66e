"""Routing policies and slot leases."""

import pytest
from builders import runner

from carawayroute.clock import ManualClock
from carawayroute.membership import OBSERVATION_TTL_MS, Membership
from carawayroute.routing import (
    IDLE_RETURN_MS,
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


def routers(clock: ManualClock) -> dict[str, SlotLeaseRouter]:
    """Return the routers of three entries that know the same lists."""
    made = {name: SlotLeaseRouter(clock, name, LEASE_MS) for name in ENTRIES}
    for router in made.values():
        router.update(RUNNERS, ENTRIES)
    return made


def drain(router: SlotLeaseRouter) -> list[Slot]:
    """Take every slot that a router gives."""
    slots = []
    while (slot := router.acquire(set())) is not None:
        slots.append(slot)
    return slots


def exchange(clock: ManualClock, borrower: SlotLeaseRouter, lender: SlotLeaseRouter, queue: int):
    """Carry one message and its reply, as the daemons do."""
    kept = borrower.borrowed_from(lender.instance, queue)
    lender.heard(borrower.instance, Demand(queued=queue))
    lender.reconcile(borrower.instance, kept)
    granted = lender.lend(borrower.instance, own_queue=0)
    borrower.heard(lender.instance)
    borrower.borrow(lender.instance, granted)
    return granted


def test_entries_share_all_slots_and_none_twice() -> None:
    taken = [slot for router in routers(ManualClock()).values() for slot in drain(router)]
    assert len(taken) == len(set(taken)) == 32


def test_idle_slots_move_to_the_entry_with_a_queue() -> None:
    clock = ManualClock()
    made = routers(clock)
    own = drain(made["a"])
    granted = exchange(clock, made["a"], made["b"], queue=5)
    assert len(granted) == 5
    assert set(drain(made["a"])) == set(granted)
    rest = drain(made["b"])
    assert not set(rest) & (set(granted) | set(own))


def test_an_entry_with_a_queue_lends_nothing() -> None:
    made = routers(ManualClock())
    made["b"].heard("a", Demand(queued=5))
    assert made["b"].lend("a", own_queue=1) == []


def test_borrowed_slots_are_used_before_own_ones() -> None:
    clock = ManualClock()
    made = routers(clock)
    granted = exchange(clock, made["a"], made["b"], queue=3)
    assert {made["a"].acquire(set()) for _ in granted} == set(granted)


def test_a_message_goes_to_the_entry_that_can_help_most() -> None:
    made = routers(ManualClock())["a"]
    made.heard("b", Demand(idle=1))
    made.heard("c", Demand(idle=4))
    assert made.urgent_peer(Demand(queued=2), {"b", "c"}) == "c"
    assert made.urgent_peer(Demand(queued=2), {"b"}) == "b"
    assert made.urgent_peer(Demand(idle=2), {"b", "c"}) is None
    made.heard("b", Demand(queued=7))
    assert made.urgent_peer(Demand(idle=2), {"b", "c"}) == "b"


def test_idle_borrowed_slots_go_back() -> None:
    clock = ManualClock()
    made = routers(clock)
    granted = exchange(clock, made["a"], made["b"], queue=5)
    before = made["b"].held()
    clock.ms += IDLE_RETURN_MS + 1
    exchange(clock, made["a"], made["b"], queue=0)
    assert made["b"].held() == before + len(granted)


def test_a_lost_reply_loses_no_slot() -> None:
    clock = ManualClock()
    made = routers(clock)
    made["b"].heard("a", Demand(queued=5))
    lost = made["b"].lend("a", own_queue=0)
    assert lost
    before = made["b"].held()
    exchange(clock, made["a"], made["b"], queue=0)
    assert made["b"].held() == before + len(lost)


def test_a_silent_borrower_stops_before_the_lender_takes_back() -> None:
    clock = ManualClock()
    made = routers(clock)
    drain(made["a"])
    granted = exchange(clock, made["a"], made["b"], queue=5)
    clock.ms += LEASE_MS * 0.7
    made["b"].expire()
    assert drain(made["a"]) == []
    assert not set(drain(made["b"])) & set(granted)
    clock.ms += LEASE_MS
    made["b"].expire()
    assert set(drain(made["b"])) == set(granted)


def test_slots_of_a_dead_entry_rest_before_they_are_used() -> None:
    clock = ManualClock()
    made = routers(clock)
    made["a"].update(RUNNERS, ["a", "b"])
    before = len(drain(made["a"]))
    clock.ms += LEASE_MS + 1
    assert before + len(drain(made["a"])) > 32 / 3


def test_a_runner_that_is_gone_gets_nothing() -> None:
    made = routers(ManualClock())["a"]
    made.update(RUNNERS[1:], ENTRIES)
    assert {slot.runner for slot in drain(made)} <= {"r1", "r2", "r3"}


def test_least_outstanding_spreads_requests() -> None:
    router = LeastOutstandingRouter(seed=1)
    router.update(RUNNERS, ENTRIES)
    chosen = [router.acquire(set()).runner for _ in range(8)]
    assert {chosen.count(runner.id) for runner in RUNNERS} == {2}


def test_two_choices_heeds_shared_load() -> None:
    router = TwoChoicesRouter(seed=1)
    router.update(RUNNERS, ENTRIES)
    router.observe_shared({"r0": 8, "r1": 8, "r2": 8, "r3": 0})
    chosen = [router.acquire(set()).runner for _ in range(100)]
    assert chosen.count("r3") > 25


@pytest.mark.parametrize("policy", [RandomRouter, LeastOutstandingRouter, TwoChoicesRouter])
def test_policies_avoid_what_they_are_told(policy) -> None:
    router = policy(seed=1)
    router.update(RUNNERS, ENTRIES)
    assert router.acquire({"r0", "r1", "r2"}).runner == "r3"
    assert router.acquire({runner.id for runner in RUNNERS}) is None


def test_membership_believes_first_hand_over_the_list() -> None:
    clock = ManualClock()
    members = Membership(clock)
    members.update(RUNNERS)
    members.observe_leaving("r0")
    members.update(RUNNERS)
    assert [item.id for item in members.live("runner", "south")] == ["r1", "r2", "r3"]
    assert members.directly_observed_leaving() == ["r0"]
    clock.ms = OBSERVATION_TTL_MS + 1
    assert not members.is_leaving("r0")


def test_membership_takes_a_replacement_under_a_new_address() -> None:
    members = Membership(ManualClock())
    members.update([runner("r0")])
    members.observe_leaving("r0")
    moved = runner("r0")
    moved.address = "elsewhere"
    members.update([moved])
    assert not members.is_leaving("r0")


def test_links_reach_the_own_region_and_one_entry_of_each_other() -> None:
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
