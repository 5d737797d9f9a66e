"""Tests of where tasks are placed that are suspected of crashing runners."""

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
from replacement_builders import DeadlyTasks

from bench.deadly import DeadlyDay
from bench.loads import DEPLOYMENTS, PATTERNS, arrivals
from carawayroute.clock import ManualClock
from carawayroute.fleet import isolation
from carawayroute.fleet.crashes import MAX_START_CRASHES
from carawayroute.fleet.isolation import ISOLATED_SHARE, MAX_WAIT_MS, Isolation, SuspectWaits
from carawayroute.fleet.runner_health import FIRST_REPORTS_MS, STEADY_MS, RunnerHealth
from carawayroute.fleet.scheduler import HEADROOM_SHARE
from carawayroute_standins.fleet.judge import starts

ID = "{:016x}"


def suspect(job_table, number=1, crashes=None, start_crashes=None):
    """Set the crashes of a job's tasks by index and return its stage."""
    stage = job_table.jobs_by_id[ID.format(number)].stage(0, 0)
    for index, count in (crashes or start_crashes or {}).items():
        stage.crashes[index] = count
    for index, count in (start_crashes or {}).items():
        stage.start_crashes[index] = count
    return stage


def plan(job_table, candidates, closed=(), overdue=()):
    """Return the placements of one scheduling pass."""
    suspects = Isolation(candidates, closed, overdue)
    return scheduling_pass(job_table, candidates, suspects=suspects).run()


def runners_by_task(placements):
    """Return the runner of each placed task by job number and index."""
    return {
        (int(one.stage.job.id, 16), index): runner
        for one in placements
        for index, runner in zip(one.indices, one.runner_ids, strict=True)
    }


def fill(job_table, candidates, number, tasks_by_runner):
    """Assign the tasks of a job to runners."""
    stage = job_table.jobs_by_id[ID.format(number)].stage(0, 0)
    runners = [runner for runner, count in tasks_by_runner.items() for _ in range(count)]
    assign(stage, dict(enumerate(runners)))
    for one in candidates:
        one.free.subtract(stage.demand, tasks_by_runner.get(one.runner.id, 0))


@pytest.mark.parametrize(
    ("crashes", "start_crashes", "expected"),
    [(0, 0, 0), (1, 0, 0), (1, 1, 1), (2, 0, 1), (2, 2, 2)],
)
def test_first_crash_long_after_the_start_makes_no_suspect(crashes, start_crashes, expected):
    stage = suspect(job_table_of(job(ID.format(1))), 1, {0: crashes}, {0: start_crashes})
    stage.crashes[0] = crashes
    assert isolation.suspicion(stage, 0) == expected
    assert isolation.suspects(stage, [0]) == ([0] if expected else [])


def test_suspect_is_placed_on_an_empty_runner_and_nothing_beside_it():
    """It was placed where it fitted best, beside other work, which went down with it."""
    job_table = job_table_of(
        job(ID.format(1)), job(ID.format(2), [step(4)]), job(ID.format(9), [step(2)])
    )
    candidates = [candidate("w0"), candidate("w1"), candidate("w2", free=8)]
    fill(job_table, candidates, 9, {"w0": 2})
    suspect(job_table, 1, start_crashes={0: 1})
    runners = runners_by_task(plan(job_table, candidates))
    assert runners[1, 0] in ("w1", "w2")
    assert runners[1, 0] not in {runner for task, runner in runners.items() if task[0] != 1}


def test_runner_on_which_a_suspect_is_on_probation_gets_no_work():
    candidates = [candidate("w0", free=7), candidate("w1")]
    runners = runners_by_task(
        plan(job_table_of(job(ID.format(1), [step(8)])), candidates, closed=["w0"])
    )
    assert set(runners.values()) == {"w1"}


def test_suspect_is_not_tried_on_a_runner_that_was_started_lately():
    """Such a runner may crash by itself again, and is empty whenever it is back."""
    job_table = job_table_of(job(ID.format(1)), job(ID.format(9), [step(7)]))
    candidates = [candidate("w0"), candidate("w1")]
    candidates[1].steady = False
    fill(job_table, candidates, 9, {"w0": 7})
    for crashes in (1, 2):
        stage = suspect(job_table, 1, start_crashes={0: crashes})
        overdue = [(stage.key, 0)] if crashes == 2 else []
        found = runners_by_task(plan(job_table, candidates, overdue=overdue))
        assert found == {(1, 0): "w0"}
        candidates[0].free.subtract(stage.demand, -1)
    candidates[0].free.subtract(stage.demand)
    assert plan(job_table, candidates) == []


def test_suspect_that_is_not_placed_leaves_room_to_work_of_the_same_shape():
    """BUDGET: no work like a suspect was placed on runners that were started lately."""
    job_table = job_table_of(job(ID.format(1), accepted_ms=-1_000), job(ID.format(2)))
    suspect(job_table, 1, start_crashes={0: 1})
    restarted = candidate("w1")
    restarted.steady = False
    assert runners_by_task(plan(job_table, [restarted])) == {(2, 0): "w1"}


def test_runner_is_steady_unless_its_process_was_started_lately():
    clock = ManualClock()
    health = RunnerHealth(clock)
    health.note_process("known", 1)
    clock.ms += FIRST_REPORTS_MS + 1
    health.note_process("new", 1)
    assert (health.is_steady("known"), health.is_steady("new")) == (True, False)
    clock.ms += STEADY_MS
    health.note_process("known", 2)
    assert (health.is_steady("known"), health.is_steady("new")) == (False, True)


def test_suspects_of_one_gang_go_to_different_empty_runners():
    job_table = job_table_of(
        job(ID.format(1), [step(4, 2, gang=True)]), job(ID.format(9), [step(2)])
    )
    candidates = [candidate(f"w{n}") for n in range(20)]
    fill(job_table, candidates, 9, {"w0": 2})
    suspect(job_table, 1, start_crashes={0: 1, 2: 1})
    runners = runners_by_task(plan(job_table, candidates))
    assert len(runners) == 4
    assert runners[1, 1] == runners[1, 3] == "w0"
    assert len({runners[1, 0], runners[1, 2], "w0"}) == 3


def test_suspect_after_one_crash_is_placed_without_an_empty_runner_apart_from_guaranteed_work():
    job_table = job_table_of(
        job(ID.format(1)),
        job(ID.format(8), [step(6, gang=True)], URGENT, OWNER),
        job(ID.format(9), [step(4)], BATCH, OTHER),
    )
    candidates = [candidate("w0"), candidate("w1")]
    fill(job_table, candidates, 8, {"w0": 6})
    fill(job_table, candidates, 9, {"w1": 4})
    suspect(job_table, 1, start_crashes={0: 1})
    assert runners_by_task(plan(job_table, candidates)) == {(1, 0): "w1"}


def test_suspect_after_two_crashes_waits_for_an_empty_runner_but_not_too_long():
    job_table = job_table_of(
        job(ID.format(1)),
        job(ID.format(8), [step(2, gang=True)], URGENT, OWNER),
        job(ID.format(9), [step(6)], BATCH, OTHER),
    )
    candidates = [candidate("w0"), candidate("w1")]
    fill(job_table, candidates, 8, {"w0": 2})
    fill(job_table, candidates, 9, {"w1": 6})
    stage = suspect(job_table, 1, start_crashes={0: 2})
    clock = ManualClock()
    waits = SuspectWaits()
    waits.update([stage], clock.now_ms())
    clock.ms += MAX_WAIT_MS - 1
    waits.update([stage], clock.now_ms())
    assert plan(job_table, candidates, overdue=waits.overdue(clock.now_ms())) == []
    clock.ms += 1
    overdue = waits.overdue(clock.now_ms())
    assert runners_by_task(plan(job_table, candidates, overdue=overdue)) == {(1, 0): "w1"}


def test_gang_with_more_suspects_than_runners_does_not_wait_for_ever():
    """BUDGET: a gang whose members were suspects waited for a runner for each of them."""
    job_table = job_table_of(job(ID.format(1), [step(6, gang=True)]))
    candidates = [candidate("w0"), candidate("w1")]
    stage = suspect(job_table, 1, start_crashes=dict.fromkeys(range(6), 2))
    assert plan(job_table, candidates) == []
    overdue = {(stage.key, 0)}
    assert len(runners_by_task(plan(job_table, candidates, overdue=overdue))) == 6


def test_other_tasks_of_a_job_do_not_wait_for_its_suspects():
    job_table = job_table_of(job(ID.format(1), [step(3)]), job(ID.format(9), [step(2)]))
    candidates = [candidate("w0")]
    fill(job_table, candidates, 9, {"w0": 2})
    suspect(job_table, 1, start_crashes={1: 2})
    assert runners_by_task(plan(job_table, candidates)) == {(1, 0): "w0", (1, 2): "w0"}


@pytest.mark.parametrize(
    ("team", "start_crashes", "preempts"), [(OTHER, 1, True), (OWNER, 1, True), (OWNER, 2, False)]
)
def test_suspect_preempts_nothing_after_two_crashes(team, start_crashes, preempts):
    urgent = job(ID.format(1), [step(1, 8, gang=True)], URGENT, team)
    urgent.target_ms = 60_000
    # Long batch work earns so little in the time of a short urgent task that preempting it pays.
    job_table = job_table_of(urgent, job(ID.format(9), [step(8, estimate_ms=20_000)], BATCH, OTHER))
    candidates = [candidate("w0")]
    fill(job_table, candidates, 9, {"w0": 8})
    suspect(job_table, 1, start_crashes={0: start_crashes})
    assert bool(plan(job_table, candidates)) == preempts


def test_innocent_suspects_of_a_mass_crash_are_placed_in_the_first_pass():
    """A fifth of 176 runners crashed; one runner for each suspect would have blocked the fleet."""
    count = 280
    job_table = job_table_of(
        *(job(ID.format(n), [step(8, gang=True)], URGENT, OTHER) for n in range(1, 36))
    )
    for number in range(1, 36):
        suspect(job_table, number, start_crashes=dict.fromkeys(range(8), 1))
    candidates = [candidate(f"w{n}", f"r1-{n // 8}") for n in range(176)]
    placements = plan(job_table, candidates)
    assert len(runners_by_task(placements)) == count
    isolated = sum(len(one.isolated) for one in placements)
    assert 0 < isolated <= ISOLATED_SHARE * len(candidates)


def test_suspects_leave_the_headroom_for_urgent_gangs():
    number = 100
    job_table = job_table_of(
        *(job(ID.format(n), [step(1, 8)], BATCH, OTHER) for n in range(1, number + 1))
    )
    for one in range(1, number + 1):
        suspect(job_table, one, start_crashes={0: 1})
    candidates = [candidate(f"w{n}") for n in range(40)]
    used = set(runners_by_task(plan(job_table, candidates)).values())
    assert len(candidates) - len(used) == int(HEADROOM_SHARE * len(candidates))


# ------------------------------------------------------------------ in the fleet


def test_work_is_added_to_a_runner_once_its_suspect_has_run_for_a_while():
    async def scenario(fleet):
        due = job(ID.format(1), run_ms=6_000)
        due.occurrences = 1
        due.first_due_ms = int(fleet.clock.wall_ms()) + 500
        await fleet.submit(due, NORMAL, OWNER)
        await fleet.clock.sleep_ms(100)
        planner = fleet.nodes_by_name[fleet.planner_name()].planner
        suspect(planner.job_table, 1, start_crashes={0: 1})
        await fleet.wait_until(lambda: starts(fleet.journal, ID.format(1)), 2_000, "a start")
        started_ms = fleet.clock.wall_ms()
        await fleet.submit(job(ID.format(2), [step(6)], run_ms=300), NORMAL, OWNER)
        await fleet.wait_state(ID.format(2), "completed", 5_000)
        begun = [
            entry.at_ms
            for entry in fleet.journal.all("task_started")
            if entry.fields["task"].startswith(ID.format(2))
        ]
        assert started_ms + isolation.PROBATION_MS - 20 <= min(begun)
        assert max(begun) <= started_ms + isolation.PROBATION_MS + 400

    run_scenario(scenario, racks=1, runners_per_rack=1)


def test_deadly_task_takes_its_neighbours_down_once():
    """Each of its starts took down the runs beside it (BUDGET)."""

    async def scenario(fleet):
        beside = job(ID.format(2), [step(3, 2, most_per_runner=1)], run_ms=14_000)
        await fleet.submit(beside, NORMAL, OWNER)
        await fleet.clock.sleep_ms(1_500)
        deadly = DeadlyTasks(fleet, ID.format(1))
        await fleet.submit(job(ID.format(1), run_ms=2_000), NORMAL, OWNER)
        await fleet.wait_state(ID.format(1), "failed", 30_000)
        assert len(deadly.crashed) == MAX_START_CRASHES
        lost = [
            entry.fields["task"]
            for entry in fleet.journal.all("task_lost")
            if entry.fields["task"].startswith(ID.format(2))
        ]
        assert len(lost) <= 1
        await fleet.wait_state(ID.format(2), "completed", 30_000)

    run_scenario(scenario, racks=1, runners_per_rack=6)


# ------------------------------------------------------------------ replay of the load pattern


def deadly_day(seed, isolated):
    """Return a simulated day of 12 s on which 0.3 of the urgent jobs have a deadly task."""
    deployment = DEPLOYMENTS["cornice"]
    load = arrivals(deployment, PATTERNS["bursts"], 12.0, seed)
    with pytest.MonkeyPatch.context() as patch:
        if not isolated:
            patch.setattr(isolation, "suspicion", lambda stage, index: 0)
        day = DeadlyDay(deployment, load, seed, 0.3, max_start_crashes=3)
        day.simulate()
    return day


def test_isolation_spares_the_neighbours_of_deadly_tasks():
    """Sound runs that are lost beside deadly tasks, and sound jobs that are given up for them."""
    seeds = range(1, 5)
    apart = [deadly_day(seed, True) for seed in seeds]
    beside = [deadly_day(seed, False) for seed in seeds]
    assert sum(day.lost for day in apart) < sum(day.lost for day in beside)
    assert sum(len(day.given_up_sound) for day in apart) <= sum(
        len(day.given_up_sound) for day in beside
    )
