"""Placement, packing, queue order and the guarantees that placement must keep reclaimable."""

import random

import pytest
from builders import configuration_dict, guarantee_dict, job, shape, shape_dict, team_dict, worker
from hypothesis import given
from hypothesis import strategies as st

from carawayroute.config import read_configuration
from carawayroute.estimates import RunTimeEstimator
from carawayroute.packing import (
    FreeCapacity,
    ShapeCount,
    choose_workers,
    fits_all,
    group_shapes,
    pack_shapes,
)
from carawayroute.placement import Fleet, NotPlaced, Placement, Plan
from carawayroute.queue import QueueEntry, order_queue
from carawayroute_schema import carawayroute_pb2 as pb

CONFIGURATION = read_configuration(configuration_dict())
RENDER = next(kind for kind in CONFIGURATION.kinds if kind.id == "render")
CUT_PLAN = next(kind for kind in CONFIGURATION.kinds if kind.id == "cut-plan")
ADJACENCIES = st.sampled_from([pb.ANY, pb.RACK, pb.WORKER])


def make_fleet(racks: int = 1, per_rack: int = 4, configuration: pb.Configuration = CONFIGURATION):
    """Return a fleet of workers with eight accelerators each."""
    workers = [worker(f"w{r}-{i}", f"rack-{r}") for r in range(racks) for i in range(per_rack)]
    fleet = Fleet()
    fleet.set_workers(workers, set())
    fleet.set_guarantees(configuration, "south")
    return fleet


def mark_running(
    fleet: Fleet, name: str, decision: Plan, team: str = "other", per_member: int = 8
) -> None:
    """Preempt a plan's victims and add the planned job as a running gang."""
    for job_id in decision.preempt:
        fleet.remove(job_id)
    fleet.add(
        Placement(
            name,
            f"g-{name}",
            team,
            decision.workers,
            per_member,
            decision.guarantee,
            decision.non_preemptible,
            0.0,
            5_000.0,
        )
    )


def fill_with_borrowed(fleet: Fleet) -> None:
    """Fill every worker with borrowed gangs."""
    for index in range(100):
        decision = fleet.plan(job(gang=shape(1, 8, pb.WORKER)), RENDER)
        if isinstance(decision, NotPlaced):
            return
        mark_running(fleet, f"borrowed-{index}", decision)


def test_chooses_the_tightest_fitting_worker() -> None:
    fleet = make_fleet()
    mark_running(fleet, "small", fleet.plan(job(gang=shape(1, 4, pb.WORKER)), RENDER), per_member=4)
    second = fleet.plan(job(gang=shape(1, 4, pb.WORKER)), RENDER)
    assert second.workers == fleet.placements_by_job["small"].workers


def test_keeps_a_gang_in_one_rack() -> None:
    fleet = make_fleet(racks=2, per_rack=2)
    decision = fleet.plan(job(gang=shape(2, 8, pb.RACK)), RENDER)
    racks = {fleet.workers_by_id[name].rack for name in decision.workers}
    assert len(racks) == 1


def test_preempts_the_gang_that_loses_the_least_work() -> None:
    fleet = make_fleet(per_rack=2)
    for name, started_ms in (("old", 0.0), ("young", 900.0)):
        decision = fleet.plan(job(gang=shape(1, 8, pb.WORKER)), RENDER)
        mark_running(fleet, name, decision)
        fleet.placements_by_job[name].started_ms = started_ms
    decision = fleet.plan(job(team="owner", gang=shape(1, 8, pb.WORKER)), RENDER, now_ms=1_000.0)
    assert decision.preempt == ["young"]


def test_guaranteed_job_preempts_borrowed_gangs_in_a_full_region() -> None:
    fleet = make_fleet()
    fill_with_borrowed(fleet)
    decision = fleet.plan(job(team="owner"), RENDER)
    assert isinstance(decision, Plan)
    assert (len(decision.preempt), decision.guarantee) == (2, "owner/packs")


def test_guarantee_is_used_once() -> None:
    fleet = make_fleet()
    mark_running(fleet, "first", fleet.plan(job(team="owner"), RENDER), team="owner")
    second = fleet.plan(job(team="owner"), RENDER)
    assert second.guarantee == ""


@pytest.mark.parametrize("unusable", [False, True])
def test_reservation_is_moved_off_a_worker_that_left_while_its_gang_ran(unusable: bool) -> None:
    """The planner failed with a KeyError, and nothing was placed any more."""
    fleet = make_fleet()
    first = fleet.plan(job(team="owner"), RENDER)
    mark_running(fleet, "first", first, team="owner")
    lost = first.workers[0]
    left = [one for name, one in fleet.workers_by_id.items() if unusable or name != lost]
    fleet.set_workers(left, {lost} if unusable else set())
    fleet.remove("first")
    second = fleet.plan(job(team="owner"), RENDER)
    assert isinstance(second, Plan)
    assert (lost in second.workers, second.guarantee) == (False, "owner/packs")


def test_non_idempotent_job_stays_off_reserved_capacity() -> None:
    fleet = make_fleet()
    first = fleet.plan(job(gang=shape(2, 8, pb.RACK)), CUT_PLAN)
    assert isinstance(first, Plan)
    mark_running(fleet, "plan", first)
    second = fleet.plan(job(gang=shape(1, 8, pb.WORKER)), CUT_PLAN)
    assert isinstance(second, NotPlaced)
    assert "guarantee" in second.reason
    assert fleet.reclaimable()


def test_removed_guarantee_makes_its_gang_preemptible() -> None:
    fleet = make_fleet()
    mark_running(fleet, "kept", fleet.plan(job(team="owner"), RENDER), team="owner")
    assert fleet.is_protected(fleet.placements_by_job["kept"])
    fleet.set_guarantees(read_configuration(configuration_dict(0)), "south")
    assert not fleet.is_protected(fleet.placements_by_job["kept"])


def test_adopted_gang_uses_its_team_s_guarantee() -> None:
    fleet = make_fleet()
    found = Placement("kept", "g", "owner", ["w0-0", "w0-1"], 8, "", False, 0.0, 1.0)
    fleet.adopt([found], CONFIGURATION, "south")
    assert found.guarantee == "owner/packs"
    assert fleet.reservation_table.used_by("owner/packs") == ["kept"]
    assert len(fleet.reservation_table.reservations) == 1
    assert fleet.plan(job(team="owner"), RENDER).guarantee == ""


def test_guarantee_increase_blocked_by_a_non_preemptible_gang_is_detected() -> None:
    fleet = make_fleet()
    mark_running(fleet, "plan", fleet.plan(job(gang=shape(2, 8, pb.RACK)), CUT_PLAN))
    assert fleet.would_be_reclaimable(read_configuration(configuration_dict(1)), "south")
    assert not fleet.would_be_reclaimable(read_configuration(configuration_dict(2)), "south")


def test_reserve_for_returns_when_a_waiting_gang_fits() -> None:
    fleet = make_fleet()
    fill_with_borrowed(fleet)
    for index, placement in enumerate(fleet.placements_by_job.values()):
        placement.expected_end_ms = 1_000.0 * (index + 1)
    workers, until_ms = fleet.reserve_for(shape(2, 8, pb.RACK))
    assert (len(workers), until_ms) == (2, 2_000.0)


def test_queue_order_is_guaranteed_then_urgent_then_least_borrowing() -> None:
    fleet = make_fleet()
    decision = fleet.plan(job(gang=shape(1, 8, pb.WORKER)), RENDER)
    mark_running(fleet, "running", decision, team="heavy")
    urgent = pb.Kind()
    urgent.CopyFrom(RENDER)
    urgent.urgency = pb.URGENT
    small = shape(1, 8, pb.WORKER)
    entries = [
        QueueEntry(job("heavy", request_id="heavy", gang=small), RENDER),
        QueueEntry(job("light", request_id="light", gang=small), RENDER),
        QueueEntry(job("heavy", request_id="urgent", gang=small), urgent),
        QueueEntry(job("owner", request_id="owner", gang=small), RENDER),
    ]
    ordered = order_queue(entries, fleet, {})
    assert [entry.accepted.request_id for entry in ordered] == ["owner", "urgent", "light", "heavy"]


@given(
    st.lists(st.tuples(st.integers(1, 4), st.integers(1, 8), ADJACENCIES), max_size=8),
    st.lists(st.integers(0, 8), min_size=1, max_size=12),
)
def test_packing_never_exceeds_the_available_capacity(
    dimension_list: list, free: list[int]
) -> None:
    workers = {f"w{i}": worker(f"w{i}", f"rack-{i // 4}") for i in range(len(free))}
    capacity = FreeCapacity(workers, {f"w{i}": amount for i, amount in enumerate(free)})
    counts = group_shapes([ShapeCount(shape(*dimensions), 1) for dimensions in dimension_list])
    placed = pack_shapes(capacity, counts)
    assert all(amount >= 0 for amount in capacity.available_by_worker.values())
    used = sum(
        len(found) * item.shape.members * item.shape.accelerators
        for found, item in zip(placed, counts, strict=True)
    )
    assert sum(free) - sum(capacity.available_by_worker.values()) == used


@given(
    st.tuples(st.integers(1, 6), st.integers(1, 8), ADJACENCIES),
    st.lists(st.integers(0, 8), min_size=1, max_size=12),
)
def test_chosen_workers_hold_the_gang(dimensions: tuple, free: list[int]) -> None:
    workers = {f"w{i}": worker(f"w{i}", f"rack-{i // 4}") for i in range(len(free))}
    capacity = FreeCapacity(workers, {f"w{i}": amount for i, amount in enumerate(free)})
    gang = shape(*dimensions)
    chosen = choose_workers(capacity, gang)
    if chosen is None:
        assert not fits_all(capacity, [ShapeCount(gang, 1)])
        return
    assert len(chosen) == gang.members
    capacity.take(chosen, gang.accelerators)
    assert all(amount >= 0 for amount in capacity.available_by_worker.values())
    if gang.adjacency != pb.ANY:
        assert len({workers[name].rack for name in chosen}) == 1


@pytest.mark.parametrize("seed", range(20))
def test_guarantees_stay_reclaimable_under_random_load(seed: int) -> None:
    """After every random placement or end, all teams' guaranteed shapes have reservations."""
    rng = random.Random(seed)
    document = configuration_dict()
    document["teams"].append(
        team_dict("second", [guarantee_dict(shape_dict(1, 4, "WORKER"), count=3, name="halves")])
    )
    configuration = read_configuration(document)
    fleet = make_fleet(racks=2, configuration=configuration)
    for step in range(120):
        running = list(fleet.placements_by_job)
        if running and rng.random() < 0.4:
            fleet.remove(rng.choice(running))
        per_member = rng.choice([1, 2, 4, 8])
        gang = shape(rng.choice([1, 2, 3]), per_member, rng.choice([pb.ANY, pb.RACK, pb.WORKER]))
        if gang.adjacency == pb.WORKER and gang.members * per_member > 8:
            continue
        team = rng.choice(["owner", "other", "second"])
        kind = rng.choice([RENDER, CUT_PLAN])
        decision = fleet.plan(job(team=team, gang=gang), kind)
        if isinstance(decision, Plan):
            mark_running(fleet, f"job-{step}", decision, team, per_member)
        assert fleet.reclaimable(), f"step {step}"


def test_expected_run_time_follows_observations() -> None:
    times = RunTimeEstimator()
    assert times.expect_ms("k", 100.0) == 100.0
    for _ in range(50):
        times.observe("k", 900.0)
    assert times.expect_ms("k", 100.0) == pytest.approx(900.0)
