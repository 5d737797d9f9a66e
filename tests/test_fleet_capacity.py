"""Tests of placement on runners whose capacity shrinks and grows while they run."""

from capacity_builders import CapacityAuditor, count_start_orders, resize
from fleet_builders import (
    BATCH,
    NORMAL,
    OTHER,
    OWNER,
    URGENT,
    assign,
    candidate,
    configuration,
    configuration_bytes,
    job,
    job_table_of,
    run_scenario,
    scheduling_pass,
    step,
)

from carawayroute.fleet.scheduler import SchedulingPass, StopCost
from carawayroute.fleet.types import Capacity
from carawayroute_standins.fleet.judge import starts

ID = "00000000000000{:02x}"
ONE_RUNNER = {"racks": 1, "runners_per_rack": 1}


def plan(job_table, candidates, **options):
    """Return the placements of one scheduling pass."""
    return scheduling_pass(job_table, candidates, **options).run()


def shrunk(name, accelerators, used=0, rack="r1-0"):
    """Return a candidate that shrank to some accelerators while some were in use."""
    found = candidate(name, rack, accelerators)
    found.free = Capacity(64_000 - 1_000 * used, 256_000 - 1_000 * used, accelerators - used)
    return found


# ------------------------------------------------------------------ in the fleet


def test_start_after_the_store_was_down_does_not_exceed_a_runner_that_shrank_meanwhile():
    """The placement was made before the outage and stored after it, and the start was sent."""

    async def scenario(fleet):
        audit = CapacityAuditor(fleet)
        fleet.store.put(
            fleet.formats.configuration_topic,
            fleet.formats.configuration_key,
            configuration_bytes(2, guarding=False),
        )
        due = job(ID.format(1), [step(1, 8)], run_ms=500)
        due.occurrences = 1
        due.first_due_ms = int(fleet.clock.wall_ms()) + 1_000
        await fleet.submit(due, NORMAL, OWNER)
        await fleet.clock.sleep_ms(900)
        fleet.store.mode = "silent"
        await fleet.clock.sleep_ms(200)
        assert fleet.nodes_by_name[fleet.planner_name()].planner.runs_by_key
        resize(fleet, "w1", 4)
        await fleet.clock.sleep_ms(5_000)
        fleet.store.mode = "up"
        await fleet.clock.sleep_ms(3_000)
        assert audit.exceeded == []
        resize(fleet, "w1", 8)
        await fleet.wait_state(ID.format(1), "completed", 3_000)

    run_scenario(scenario, **ONE_RUNNER)


def test_start_after_preemption_does_not_exceed_a_runner_that_shrank_meanwhile():
    """The runner shrank while the victims were being stopped."""

    async def scenario(fleet):
        audit = CapacityAuditor(fleet)
        await fleet.submit(job(ID.format(1), [step(8)], BATCH, OTHER, 9_000), BATCH, OTHER)
        await fleet.clock.sleep_ms(400)
        urgent = job(ID.format(2), [step(1, 8, gang=True)], URGENT, run_ms=300)
        await fleet.submit(urgent, URGENT, OWNER)
        await fleet.clock.sleep_ms(30)
        resize(fleet, "w1", 6)
        await fleet.clock.sleep_ms(1_500)
        assert audit.exceeded == []
        resize(fleet, "w1", 8)
        await fleet.wait_state(ID.format(2), "completed", 5_000)

    run_scenario(scenario, **ONE_RUNNER)


def test_repeated_start_does_not_exceed_a_runner_that_shrank_meanwhile():
    """The first request was not answered, and the start was sent again until it was."""

    async def scenario(fleet):
        audit = CapacityAuditor(fleet)
        runner = fleet.runners_by_id["w1"]
        orders = count_start_orders(runner)
        runner.mode = "cut"
        await fleet.submit(job(ID.format(1), [step(1, 8)], run_ms=300), NORMAL, OWNER)
        await fleet.wait_until(lambda: orders, 1_000, "a start request")
        resize(fleet, "w1", 4)
        await fleet.clock.sleep_ms(300)
        runner.mode = "up"
        await fleet.clock.sleep_ms(3_000)
        assert audit.exceeded == []
        resize(fleet, "w1", 8)
        await fleet.wait_state(ID.format(1), "completed", 5_000)

    run_scenario(scenario, **ONE_RUNNER)


def test_run_that_the_planner_does_not_know_takes_room_until_it_has_ended():
    """The next planner placed work beside the run of a cancelled job that was being stopped."""

    async def scenario(fleet):
        audit = CapacityAuditor(fleet)
        fleet.runners_by_id["w1"]._stop_ms = 1_500
        await fleet.submit(job(ID.format(1), [step(1, 8)], run_ms=20_000), NORMAL, OWNER)
        await fleet.wait_until(lambda: starts(fleet.journal, ID.format(1)), 1_000, "a start")
        await fleet.submit(job(ID.format(2), [step(1, 8)], run_ms=300), NORMAL, OWNER)
        planner = fleet.planner_name()
        other = next(name for name in fleet.nodes_by_name if name != planner)
        fleet.runner_clients_by_name[planner].cut_off.add("w1")
        await fleet.cancel(ID.format(1), at=other)
        for name in list(fleet.nodes_by_name):
            await fleet.kill_instance(name)
        # In the newest records the cancellation precedes the placement, so that it is not adopted.
        for name in ("n1", "n2", "n3"):
            fleet.start_instance(name)
        await fleet.wait_ready()
        await fleet.wait_state(ID.format(2), "completed", 8_000)
        assert audit.exceeded == []

    run_scenario(scenario, **ONE_RUNNER)


def test_run_of_a_purged_job_keeps_its_runner_from_new_work_until_it_has_ended():
    """What such a run needs is unknown."""

    async def scenario(fleet):
        audit = CapacityAuditor(fleet)
        runner = fleet.runners_by_id["w1"]
        planner = fleet.nodes_by_name[fleet.planner_name()].planner
        lease_ms = runner.clock_ms() + 9_000
        await runner.start(
            planner.term,
            ID.format(9) + ".0.0.0",
            1,
            job(steps=[step(1, 8)], run_ms=20_000).spec,
            lease_ms,
        )
        runner._stop_ms = 1_500
        await fleet.clock.sleep_ms(1_100)
        await fleet.submit(job(ID.format(1), [step(1, 1)], run_ms=300), NORMAL, OWNER)
        await fleet.wait_state(ID.format(1), "completed", 5_000)
        assert audit.exceeded == []

    run_scenario(scenario, **ONE_RUNNER)


def test_runner_that_refuses_for_want_of_room_is_not_asked_over_and_over():
    """A job without another runner sent start requests as fast as they were refused."""

    async def scenario(fleet):
        runner = fleet.runners_by_id["w1"]
        orders = count_start_orders(runner)
        runner.free = lambda: 0
        await fleet.submit(job(ID.format(1), [step(1, 8)], run_ms=300), NORMAL, OWNER)
        await fleet.clock.sleep_ms(10_000)
        assert 3 <= len(orders) <= 8, len(orders)
        del runner.free
        await fleet.wait_state(ID.format(1), "completed", 5_000)

    run_scenario(scenario, **ONE_RUNNER)


def test_runner_that_refuses_for_want_of_room_is_asked_after_the_others():
    async def scenario(fleet):
        runner = fleet.runners_by_id["w1"]
        orders = count_start_orders(runner)
        runner.free = lambda: 0
        for number in range(1, 9):
            await fleet.submit(job(ID.format(number), [step(1, 4)], run_ms=300), NORMAL, OWNER)
        for number in range(1, 9):
            await fleet.wait_state(ID.format(number), "completed", 3_000)
        assert len(orders) <= 2

    run_scenario(scenario, racks=1, runners_per_rack=2)


def test_capacity_that_grew_is_used_within_a_pass():
    async def scenario(fleet):
        resize(fleet, "w1", 4)
        await fleet.clock.sleep_ms(1_000)
        await fleet.submit(job(ID.format(1), [step(1, 8)], run_ms=300), NORMAL, OWNER)
        await fleet.clock.sleep_ms(2_000)
        assert starts(fleet.journal, ID.format(1)) == []
        resize(fleet, "w1", 8)
        await fleet.clock.sleep_ms(250)
        assert starts(fleet.journal, ID.format(1))

    run_scenario(scenario, **ONE_RUNNER)


def test_work_on_a_runner_that_shrank_runs_on_and_nothing_is_added():
    async def scenario(fleet):
        audit = CapacityAuditor(fleet)
        await fleet.submit(job(ID.format(1), [step(6)], run_ms=3_000), NORMAL, OWNER)
        await fleet.clock.sleep_ms(300)
        resize(fleet, "w1", 4)
        await fleet.submit(job(ID.format(2), [step(2)], run_ms=300), NORMAL, OWNER)
        await fleet.wait_state(ID.format(1), "completed", 5_000)
        await fleet.wait_state(ID.format(2), "completed", 5_000)
        assert audit.exceeded == []
        assert len(starts(fleet.journal, ID.format(1))) == 6

    run_scenario(scenario, **ONE_RUNNER)


def test_new_process_under_the_same_id_is_not_given_the_room_of_the_one_before():
    async def scenario(fleet):
        audit = CapacityAuditor(fleet)
        runner = fleet.runners_by_id["w1"]
        await fleet.submit(job(ID.format(1), [step(1, 8)], run_ms=20_000), NORMAL, OWNER)
        await fleet.wait_until(lambda: starts(fleet.journal, ID.format(1)), 1_000, "a start")
        runner.restart_empty()
        resize(fleet, "w1", 4)
        await fleet.submit(job(ID.format(2), [step(4, 2)], run_ms=300), NORMAL, OWNER)
        await fleet.wait_state(ID.format(2), "completed", 10_000)
        assert audit.exceeded == []

    run_scenario(scenario, **ONE_RUNNER)


# ------------------------------------------------------------------ in one pass


def test_victims_on_a_runner_that_shrank_free_only_what_is_left_of_its_room():
    victim = job(ID.format(50), [step(8, 1, estimate_ms=9_000)], BATCH, OTHER)
    urgent = job(ID.format(1), [step(1, 4, gang=True)], URGENT, OWNER)
    job_table = job_table_of(victim, urgent)
    assign(job_table.jobs_by_id[victim.id].stage(0, 0), dict.fromkeys(range(8), "w0"))
    (placement,) = plan(job_table, [shrunk("w0", 6, used=8)])
    assert sum(len(one.indices) for one in placement.victims) == 6


def test_reservation_on_a_runner_that_shrank_does_not_hide_what_exceeds_it():
    """The reservation set the free capacity to none, and victims then freed more than there was."""
    waiting = job(ID.format(1), [step(2, 6, gang=True, estimate_ms=9_000)], NORMAL, OTHER)
    victim = job(ID.format(50), [step(8, 1, estimate_ms=9_000)], BATCH, OTHER)
    job_table = job_table_of(waiting, victim)
    stage = job_table.jobs_by_id[victim.id].stage(0, 0)
    assign(stage, dict.fromkeys(range(8), "w0"))
    candidates = [shrunk("w0", 6, used=8), shrunk("w1", 6, used=6)]
    one = SchedulingPass(
        job_table,
        configuration(),
        candidates,
        9_100.0,
        lambda stage: stage.step.estimate_ms,
        lambda stage, index: StopCost(0.0, stoppable=True),
    )
    one._reserve(job_table.jobs_by_id[waiting.id].stage(0, 0))
    assert candidates[0].free.accelerators == -2


def test_task_without_accelerators_is_not_added_to_a_runner_over_its_capacity():
    table = job_table_of(job(ID.format(1), [step(1, 0, cpu_millis=0)]))
    over = shrunk("w0", 8, used=0)
    over.free.cpu_millis = -1_000
    assert plan(table, [over]) == []


def test_runners_without_accelerators_are_no_headroom_for_urgent_gangs():
    """Runners that had shrunk to nothing counted as the free runners kept for urgent gangs."""
    candidates = [shrunk(f"a{n}", 0) for n in range(3)] + [candidate(f"w{n}") for n in range(17)]
    placements = plan(job_table_of(job(ID.format(1), [step(20, 8)], BATCH, OTHER)), candidates)
    used = {runner for placement in placements for runner in placement.runner_ids}
    assert len([one for one in candidates if one.runner.id not in used]) - 3 == 2


def test_gang_that_fits_only_the_former_capacity_reserves_nothing():
    """Other work is placed while it waits for the capacity to grow again."""
    gang = job(ID.format(1), [step(2, 8, gang=True)], NORMAL, OTHER)
    small = job(ID.format(2), [step(4, 1)], BATCH, OTHER, accepted_ms=9_000)
    (placement,) = plan(
        job_table_of(gang, small), [shrunk("w0", 4), shrunk("w1", 4)], wall_ms=9_100.0
    )
    assert placement.stage.job.id == small.id
