"""Placing gangs beside guarantees."""

import random

import pytest
from builders import configuration_tree, guarantee_tree, job, shape, shape_tree, team_tree, worker
from hypothesis import given
from hypothesis import strategies as st

from carawayroute.config import read_configuration
from carawayroute.estimates import RunTimeEstimator
from carawayroute.packing import ShapeCount, Space, choose, fits_all, group_shapes, pack
from carawayroute.placement import Fleet, Placement, Plan, Wait
from carawayroute.queue import QueueEntry, order_queue
from carawayroute_schema import carawayroute_pb2 as pb

CONFIGURATION = read_configuration(configuration_tree())
RENDER = next(kind for kind in CONFIGURATION.kinds if kind.id == "render")
CUT_PLAN = next(kind for kind in CONFIGURATION.kinds if kind.id == "cut-plan")
ADJACENCIES = st.sampled_from([pb.ANY, pb.RACK, pb.WORKER])


def fleet(racks: int = 1, per_rack: int = 4, configuration: pb.Configuration = CONFIGURATION):
    """Return a fleet of workers with eight accelerators each."""
    workers = [worker(f"w{r}-{i}", f"rack-{r}") for r in range(racks) for i in range(per_rack)]
    made = Fleet()
    made.set_workers(workers, set())
    made.set_guarantees(configuration, "south")
    return made


def run(made: Fleet, name: str, decision: Plan, team: str = "other", each: int = 8) -> None:
    """Count a planned job as running."""
    for job_id in decision.preempt:
        made.remove(job_id)
    made.add(
        Placement(
            name,
            f"g-{name}",
            team,
            decision.workers,
            each,
            decision.guarantee,
            decision.firm,
            0.0,
            5_000.0,
        )
    )


def fill(made: Fleet) -> None:
    """Fill every worker with borrowed work."""
    for index in range(100):
        decision = made.plan(job(gang=shape(1, 8, pb.WORKER)), RENDER)
        if isinstance(decision, Wait):
            return
        run(made, f"borrowed-{index}", decision)


def test_takes_the_tightest_worker() -> None:
    made = fleet()
    run(made, "small", made.plan(job(gang=shape(1, 4, pb.WORKER)), RENDER), each=4)
    second = made.plan(job(gang=shape(1, 4, pb.WORKER)), RENDER)
    assert second.workers == made.placements_by_job["small"].workers


def test_keeps_a_gang_in_one_rack() -> None:
    made = fleet(racks=2, per_rack=2)
    decision = made.plan(job(gang=shape(2, 8, pb.RACK)), RENDER)
    racks = {made.workers_by_id[name].rack for name in decision.workers}
    assert len(racks) == 1


def test_preempts_the_least_lost_work() -> None:
    made = fleet(per_rack=2)
    for name, started_ms in (("old", 0.0), ("young", 900.0)):
        decision = made.plan(job(gang=shape(1, 8, pb.WORKER)), RENDER)
        run(made, name, decision)
        made.placements_by_job[name].started_ms = started_ms
    decision = made.plan(job(team="owner", gang=shape(1, 8, pb.WORKER)), RENDER, now_ms=1_000.0)
    assert decision.preempt == ["young"]


def test_guaranteed_shape_fits_into_a_full_region() -> None:
    made = fleet()
    fill(made)
    decision = made.plan(job(team="owner"), RENDER)
    assert isinstance(decision, Plan)
    assert (len(decision.preempt), decision.guarantee) == (2, "owner/packs")


def test_guarantee_is_used_once() -> None:
    made = fleet()
    run(made, "first", made.plan(job(team="owner"), RENDER), team="owner")
    second = made.plan(job(team="owner"), RENDER)
    assert second.guarantee == ""


def test_work_that_is_not_idempotent_stays_off_what_can_be_demanded() -> None:
    made = fleet()
    first = made.plan(job(gang=shape(2, 8, pb.RACK)), CUT_PLAN)
    assert isinstance(first, Plan)
    run(made, "plan", first)
    second = made.plan(job(gang=shape(1, 8, pb.WORKER)), CUT_PLAN)
    assert isinstance(second, Wait)
    assert "guarantee" in second.reason
    assert made.reclaimable()


def test_cut_guarantee_makes_work_preemptible() -> None:
    made = fleet()
    run(made, "kept", made.plan(job(team="owner"), RENDER), team="owner")
    assert made.is_firm(made.placements_by_job["kept"])
    made.set_guarantees(read_configuration(configuration_tree(0)), "south")
    assert not made.is_firm(made.placements_by_job["kept"])


def test_gangs_of_an_earlier_planner_use_their_team_s_guarantee() -> None:
    made = fleet()
    found = Placement("kept", "g", "owner", ["w0-0", "w0-1"], 8, "", False, 0.0, 1.0)
    made.adopt([found], CONFIGURATION, "south")
    assert found.guarantee == "owner/packs"
    assert made.book.used_by("owner/packs") == ["kept"]
    assert len(made.book.reservations) == 1
    assert made.plan(job(team="owner"), RENDER).guarantee == ""


def test_raise_in_the_way_of_firm_work_is_foreseen() -> None:
    made = fleet()
    run(made, "plan", made.plan(job(gang=shape(2, 8, pb.RACK)), CUT_PLAN))
    assert made.would_be_reclaimable(read_configuration(configuration_tree(1)), "south")
    assert not made.would_be_reclaimable(read_configuration(configuration_tree(2)), "south")


def test_reservation_names_when_a_waiting_gang_fits() -> None:
    made = fleet()
    fill(made)
    for index, placement in enumerate(made.placements_by_job.values()):
        placement.expected_end_ms = 1_000.0 * (index + 1)
    workers, until_ms = made.reserve_for(shape(2, 8, pb.RACK))
    assert (len(workers), until_ms) == (2, 2_000.0)


def test_queue_puts_guaranteed_then_urgent_then_light_borrowers_first() -> None:
    made = fleet()
    decision = made.plan(job(gang=shape(1, 8, pb.WORKER)), RENDER)
    run(made, "running", decision, team="heavy")
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
    ordered = order_queue(entries, made, {})
    assert [entry.accepted.request_id for entry in ordered] == ["owner", "urgent", "light", "heavy"]


@given(
    st.lists(st.tuples(st.integers(1, 4), st.integers(1, 8), ADJACENCIES), max_size=8),
    st.lists(st.integers(0, 8), min_size=1, max_size=12),
)
def test_packing_never_takes_more_than_there_is(forms: list, free: list[int]) -> None:
    workers = {f"w{i}": worker(f"w{i}", f"rack-{i // 4}") for i in range(len(free))}
    space = Space(workers, {f"w{i}": amount for i, amount in enumerate(free)})
    counts = group_shapes([ShapeCount(shape(*form), 1) for form in forms])
    placed = pack(space, counts)
    assert all(amount >= 0 for amount in space.available_by_worker.values())
    used = sum(
        len(found) * item.shape.members * item.shape.accelerators
        for found, item in zip(placed, counts, strict=True)
    )
    assert sum(free) - sum(space.available_by_worker.values()) == used


@given(
    st.tuples(st.integers(1, 6), st.integers(1, 8), ADJACENCIES),
    st.lists(st.integers(0, 8), min_size=1, max_size=12),
)
def test_a_chosen_place_holds_the_gang(form: tuple, free: list[int]) -> None:
    workers = {f"w{i}": worker(f"w{i}", f"rack-{i // 4}") for i in range(len(free))}
    space = Space(workers, {f"w{i}": amount for i, amount in enumerate(free)})
    gang = shape(*form)
    chosen = choose(space, gang)
    if chosen is None:
        assert not fits_all(space, [ShapeCount(gang, 1)])
        return
    assert len(chosen) == gang.members
    space.take(chosen, gang.accelerators)
    assert all(amount >= 0 for amount in space.available_by_worker.values())
    if gang.adjacency != pb.ANY:
        assert len({workers[name].rack for name in chosen}) == 1


@pytest.mark.parametrize("seed", range(20))
def test_guarantees_stay_reclaimable_under_any_load(seed: int) -> None:
    """Place and end random work; every team can at any time demand its whole guarantee."""
    draw = random.Random(seed)
    tree = configuration_tree()
    tree["teams"].append(
        team_tree("second", [guarantee_tree(shape_tree(1, 4, "WORKER"), count=3, name="halves")])
    )
    configuration = read_configuration(tree)
    made = fleet(racks=2, configuration=configuration)
    for step in range(120):
        running = list(made.placements_by_job)
        if running and draw.random() < 0.4:
            made.remove(draw.choice(running))
        each = draw.choice([1, 2, 4, 8])
        gang = shape(draw.choice([1, 2, 3]), each, draw.choice([pb.ANY, pb.RACK, pb.WORKER]))
        if gang.adjacency == pb.WORKER and gang.members * each > 8:
            continue
        team = draw.choice(["owner", "other", "second"])
        kind = draw.choice([RENDER, CUT_PLAN])
        decision = made.plan(job(team=team, gang=gang), kind)
        if isinstance(decision, Plan):
            run(made, f"job-{step}", decision, team, each)
        assert made.reclaimable(), f"step {step}"


def test_run_times_are_learnt() -> None:
    times = RunTimeEstimator()
    assert times.expect_ms("k", 100.0) == 100.0
    for _ in range(50):
        times.observe("k", 900.0)
    assert times.expect_ms("k", 100.0) == pytest.approx(900.0)
