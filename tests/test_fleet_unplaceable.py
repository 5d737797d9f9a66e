"""Tests that work which cannot be placed keeps nothing else from being placed."""

import random
import time

import pytest
from fleet_builders import (
    BATCH,
    NORMAL,
    OTHER,
    OWNER,
    URGENT,
    assign,
    candidate,
    job,
    job_table_of,
    run_scenario,
    scheduling_pass,
    step,
)

from carawayroute.fleet import scheduler
from carawayroute.fleet.reservations import RESERVATION_MS, ReservationTurns
from carawayroute.fleet.scheduler import PassTurns
from carawayroute.turns import Turns
from carawayroute_standins.fleet.judge import starts

ID = "{:016x}"
SMALL = ID.format(0xFFFF)
RACK = "r1-1"


def placed_jobs(placements):
    """Return the ids of the jobs that were placed."""
    return [placement.stage.job.id for placement in placements]


def passes_until(job_id, most, turns, *arguments, **options):
    """Return the number of passes until a job is placed."""
    for number in range(1, most + 1):
        if job_id in placed_jobs(scheduling_pass(*arguments, turns=turns, **options).run()):
            return number
    pytest.fail(f"{job_id} was not placed in {most} passes")


def small_job():
    """Return a job of one small task."""
    return job(SMALL, [step()], NORMAL, OTHER, accepted_ms=50)


def labelled(count, demand=lambda number: step(1, 0, label=RACK)):
    """Return urgent jobs of one task each that ask for the label of a rack."""
    return [job(ID.format(n), [demand(n)], URGENT, OWNER) for n in range(1, count + 1)]


def racks(free=8):
    """Return runners of a rack without the label, and one that has it."""
    found = [candidate(f"w{n}", "r1-0") for n in range(4)]
    last = candidate("last", RACK, free=free)
    if not free:
        last.free.cpu_millis = 0
    return [*found, last]


# ------------------------------------------------------------------ stages


@pytest.mark.parametrize("count", [432, 2_400])
@pytest.mark.parametrize("label_held", [False, True], ids=["no runner", "full runner"])
def test_work_starts_behind_hundreds_of_stages_that_wait_for_a_label(count, label_held):
    """Urgent work whose runner had left or was full kept all other work from starting (LOST)."""
    candidates = racks(free=0) if label_held else racks()[:-1]
    job_table = job_table_of(*labelled(count), small_job())
    assert placed_jobs(scheduling_pass(job_table, candidates).run()) == [SMALL]


@pytest.mark.parametrize(
    "demand",
    [
        lambda n: step(1, 0, memory_mb=1_000 + n, label=RACK),
        lambda n: step(2, 0, gang=True, memory_mb=1_000 + n, label=RACK),
    ],
    ids=["task", "gang"],
)
def test_work_starts_behind_thousands_of_different_demands(demand):
    """Each demand is searched room for, so that the small job waits for its turn, 3 s at most."""
    job_table = job_table_of(*labelled(2_400, demand), small_job())
    turns = PassTurns()
    assert passes_until(SMALL, 12, turns, job_table, racks(free=0)) > 1
    assert turns.stages.skipped > 0


@pytest.mark.parametrize(
    "demand",
    [
        lambda n: step(1, 0, memory_mb=1_000 + n, label="away"),
        lambda n: step(1, 0, cpu_millis=70_000 + n),
        lambda n: step(1, 9 + n),
        lambda n: step(50, 8, gang=True, memory_mb=1_000 + n),
    ],
    ids=["label", "cpu", "accelerators", "gang"],
)
def test_work_starts_at_once_behind_work_that_the_empty_fleet_cannot_hold(demand):
    job_table = job_table_of(*labelled(5_000, demand), small_job())
    assert placed_jobs(scheduling_pass(job_table, racks()).run()) == [SMALL]


def test_work_starts_behind_stages_at_their_limit_per_runner():
    """Such stages share no verdict: each has tasks of its own on the runners."""
    jobs = labelled(1_000, lambda n: step(6, 0, most_per_runner=1))
    job_table = job_table_of(*jobs, small_job())
    candidates = racks()
    for one in jobs:
        stage = job_table.jobs_by_id[one.id].stage(0, 0)
        assign(stage, dict(enumerate(candidate.runner.id for candidate in candidates)))
    assert passes_until(SMALL, 12, PassTurns(), job_table, candidates) > 1


def test_most_important_work_is_searched_room_for_in_each_pass():
    """Turns of the work behind it must not keep urgent work waiting once there is room."""
    jobs = labelled(2_400, lambda n: step(1, 0, memory_mb=1_000 + n, label=RACK))
    job_table = job_table_of(*jobs)
    turns = PassTurns()
    for _ in range(5):
        assert scheduling_pass(job_table, racks(free=0), turns=turns).run() == []
    assert placed_jobs(scheduling_pass(job_table, racks(), turns=turns).run())[0] == ID.format(1)


def test_verdict_on_a_demand_holds_for_no_other():
    """A stage that fails for its label, size, gang or limit says nothing of the stages behind."""
    fitting = [step(), step(2, 4), step(1, 1, label="r1-0"), step(1, 1, cpu_millis=60_000)]
    unfitting = [step(1, 1, label=RACK), step(1, 9), step(9, 8, gang=True), step(1, 1, label="x")]
    for seed in range(20):
        random.seed(seed)
        steps = [*fitting, *unfitting] * 2
        random.shuffle(steps)
        jobs = [job(ID.format(n), [one], NORMAL, OTHER) for n, one in enumerate(steps)]
        candidates = [candidate(f"w{n}", "r1-0") for n in range(12)]
        placed = placed_jobs(scheduling_pass(job_table_of(*jobs), candidates).run())
        assert set(placed) == {ID.format(n) for n, one in enumerate(steps) if one in fitting}


def test_unplaceable_work_of_few_demands_costs_little(monkeypatch):
    """A pass over 10,000 stages of few demands searches room for each demand once."""
    searches = []

    job_table = job_table_of(*labelled(10_000, lambda n: step(1, n % 4, label=RACK)))
    one = scheduling_pass(job_table, racks()[:-1])
    place = one._place
    monkeypatch.setattr(one, "_place", lambda stage: searches.append(stage.key) or place(stage))
    started_s = time.process_time()
    assert one.run() == []
    # Some of them are within the guarantee.
    assert len(searches) <= 8
    assert time.process_time() - started_s < 2


# ------------------------------------------------------------------ turns


def test_each_of_those_left_out_gets_its_turn():
    turns = Turns(10)
    keys = [("a", 0, number) for number in range(100)]
    admitted = []
    for _ in range(19):
        turns.begin_pass()
        admitted.append([key for key in keys if turns.admit(key)])
    assert admitted[0] == keys[:10]
    assert all(len(found) == 10 and found[:5] == keys[:5] for found in admitted[1:])
    assert {key for found in admitted for key in found} == set(keys)


def test_turns_do_not_change_work_below_the_limit():
    turns = Turns(10)
    for _ in range(3):
        turns.begin_pass()
        assert all(turns.admit(("a", 0, number)) for number in range(10))
        assert turns.skipped == 0


def test_pass_without_runners_leaves_nothing_out():
    """The planner would run one pass after the other, to give turns to what was left out."""
    jobs = labelled(500, lambda n: step(1, 0, memory_mb=1_000 + n, label=RACK))
    job_table = job_table_of(*jobs)
    turns = PassTurns()
    scheduling_pass(job_table, racks(free=0), turns=turns).run()
    assert turns.stages.skipped == 100
    scheduling_pass(job_table, [], turns=turns).run()
    assert turns.stages.skipped == 0


def test_stage_that_is_gone_gives_up_its_turn():
    turns = Turns(4)
    keys = [("a", 0, number) for number in range(8)]
    turns.begin_pass()
    assert [key for key in keys if turns.admit(key)] == keys[:4]
    turns.begin_pass()
    assert [key for key in keys[6:] if turns.admit(key)] == keys[6:]
    turns.begin_pass()
    assert [key for key in keys if turns.admit(key)] == keys[:4]


# ------------------------------------------------------------------ guarantees


def test_guaranteed_work_makes_room_behind_work_that_no_preemption_helps():
    """Urgent jobs without a place used up the searches for victims in each pass."""
    jobs = labelled(40, lambda n: step(1, 0, memory_mb=1_000 + n, label=RACK))
    owner = job(SMALL, [step(1, 8)], URGENT, OWNER, accepted_ms=50)
    borrowed = job(ID.format(0xB00), [step(4, 8)], BATCH, OTHER)
    lasting = job(ID.format(0xC00), [step(1, 8, cpu_millis=64_000)], URGENT, OWNER)
    job_table = job_table_of(*jobs, owner, borrowed, lasting)
    candidates = racks(free=0)
    for one in candidates:
        one.free.accelerators = 0
    ids = [one.runner.id for one in candidates]
    assign(job_table.jobs_by_id[borrowed.id].stage(0, 0), dict(enumerate(ids[:4])))
    assign(job_table.jobs_by_id[lasting.id].stage(0, 0), {0: "last"})
    turns = PassTurns()
    assert passes_until(SMALL, 8, turns, job_table, candidates) > 1


def test_job_that_no_runner_can_take_leaves_the_guarantee_to_others():
    """A team's guarantee was used up by a job that waited for a runner that had left."""
    away = job(ID.format(1), [step(4, 8, label=RACK)], URGENT, OWNER)
    present = job(SMALL, [step(1, 8)], URGENT, OWNER, accepted_ms=50)
    borrowed = job(ID.format(2), [step(4, 8)], BATCH, OTHER)
    job_table = job_table_of(away, present, borrowed)
    candidates = racks()[:-1]
    for one in candidates:
        one.free.accelerators = 0
    stage = job_table.jobs_by_id[borrowed.id].stage(0, 0)
    assign(stage, {index: one.runner.id for index, one in enumerate(candidates)})
    (placement,) = scheduling_pass(job_table, candidates).run()
    assert placement.stage.job.id == SMALL
    assert placement.guaranteed


# ------------------------------------------------------------------ reservations


def reserved_fleet():
    """Return jobs and runners of which a gang asks for all; a lasting task keeps one of them."""
    gang = job(ID.format(1), [step(4, 8, gang=True)], URGENT, OWNER)
    lasting = job(ID.format(2), [step(1, 1, long_running=True)], NORMAL, OTHER)
    small = job(SMALL, [step(1, 1, estimate_ms=9_000)], BATCH, OTHER, accepted_ms=9_000)
    job_table = job_table_of(gang, lasting, small)
    candidates = [candidate(f"w{n}", "r1-0", free=8 if n else 7) for n in range(4)]
    assign(job_table.jobs_by_id[lasting.id].stage(0, 0), {0: "w0"})
    return job_table, candidates


def test_idle_job_uses_reserved_room_while_most_of_the_fleet_is_free():
    """A gang that could not be served held a reservation of all runners for good."""
    job_table, candidates = reserved_fleet()
    options = {"wall_ms": 12_000.0, "stoppable": False}
    assert scheduling_pass(job_table, candidates, **options).run() == []
    idle = {"idle_jobs": {ID.format(1), SMALL}, **options}
    job_table, candidates = reserved_fleet()
    assert placed_jobs(scheduling_pass(job_table, candidates, **idle).run()) == [SMALL]


def test_reserved_room_is_kept_from_idle_jobs_on_a_loaded_fleet():
    job_table, candidates = reserved_fleet()
    for one in candidates:
        one.free.cpu_millis //= 3
    options = {"wall_ms": 12_000.0, "stoppable": False, "idle_jobs": {ID.format(1), SMALL}}
    assert scheduling_pass(job_table, candidates, **options).run() == []


def test_gang_that_is_not_placed_gives_up_its_reservation():
    job_table, candidates = reserved_fleet()
    turns = PassTurns()
    placed_ms = []
    for wall_ms in range(12_000, 12_000 + int(4 * RESERVATION_MS), 1_000):
        _, candidates = reserved_fleet()
        one = scheduling_pass(job_table, candidates, float(wall_ms), stoppable=False, turns=turns)
        if SMALL in placed_jobs(one.run()):
            placed_ms.append(wall_ms - 12_000)
    assert placed_ms[0] == RESERVATION_MS
    assert 2 * RESERVATION_MS not in placed_ms


def test_reservations_of_other_gangs_are_forgotten_in_time():
    turns = ReservationTurns()
    assert turns.admit(("a", 0, 0), 0.0)
    assert turns.admit(("b", 0, 0), 10.0 * RESERVATION_MS)
    assert len(turns._since_ms_by_stage) == 1


# ------------------------------------------------------------------ in the fleet


def test_jobs_start_beside_an_empty_fleet_while_hundreds_of_steps_wait_for_a_rack():
    """Waiting work of a rack that had left kept all other jobs queued for good (LOST)."""

    async def scenario(fleet):
        now_ms = int(fleet.clock.wall_ms())
        for number in range(18):
            steps = [step(1, 0, label="r9-9") for _ in range(3)]
            one = job(ID.format(number + 1), steps, URGENT, OWNER, accepted_ms=now_ms)
            one.occurrences, one.first_due_ms, one.interval_ms = 8, now_ms, 10
            await fleet.submit(one, URGENT, OWNER)
        await fleet.clock.sleep_ms(1_000)
        one = job(SMALL, queue=NORMAL, team=OTHER, accepted_ms=int(fleet.clock.wall_ms()))
        await fleet.submit(one, NORMAL, OTHER)
        await fleet.wait_until(lambda: starts(fleet.journal, SMALL), 1_000, "a start")
        await fleet.wait_state(SMALL, "completed", 5_000)

    run_scenario(scenario)


def test_limits_of_a_pass_are_read_when_its_turns_begin(monkeypatch):
    """The experiments compare policies without victim searches."""
    monkeypatch.setattr(scheduler, "MAX_VICTIM_SEARCHES", 0)
    turns = PassTurns()
    turns.victim_searches.begin_pass()
    assert not turns.victim_searches.admit(("a", 0, 0))
