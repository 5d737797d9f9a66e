"""Tests of what happens on large fleets: many machines that come, stop or restart together.

In virtual time, on larger emulated fleets than the other tests.
"""

import asyncio

import pytest
from fleet_builders import (
    BATCH,
    NORMAL,
    OTHER,
    OWNER,
    URGENT,
    configuration_bytes,
    job,
    run_scenario,
    step,
)

ID = "{:016x}"
RACKS = 5
RUNNERS_PER_RACK = 8
INSTANCES = 24


def first_starts(fleet, job_id):
    """Return the times of the first start of each task of a job."""
    found = {}
    for entry in fleet.journal.all("task_started"):
        if entry.fields["task"].startswith(job_id):
            found.setdefault(entry.fields["task"], entry.at_ms)
    return found


async def fill(fleet, queue=BATCH, run_ms=20_000):
    """Fill all runners with work of a queue."""
    count = len(fleet.runners_by_id)
    for number in range(count):
        one = job(ID.format(1_000 + number), [step(8, 1)], queue, OTHER, run_ms=run_ms)
        await fleet.submit(one, queue, OTHER)
    await fleet.clock.sleep_ms(1_500)


def test_empty_runners_are_used_within_a_second_of_their_coming():
    """Preview cards stayed blank while new, empty runners came online."""

    async def scenario(fleet):
        await fill(fleet, URGENT)
        waiting = job(ID.format(1), [step(6, 8, gang=True)], URGENT, OTHER, run_ms=500)
        await fleet.submit(waiting, URGENT, OTHER)
        await fleet.clock.sleep_ms(1_000)
        assert first_starts(fleet, waiting.id) == {}
        for number in range(8):
            fleet.add_runner(f"new{number}", "r1-new")
        came_ms = fleet.clock.now_ms()
        await fleet.wait_until(
            lambda: len(first_starts(fleet, waiting.id)) == 6, 1_000, "the gang has begun"
        )
        assert fleet.clock.now_ms() - came_ms <= 1_000
        await fleet.wait_state(waiting.id, "completed", 3_000)

    run_scenario(scenario, racks=RACKS, runners_per_rack=RUNNERS_PER_RACK)


def test_work_of_many_runners_that_stop_together_is_done_once():
    """A pack render never came back after many runners of a data centre had stopped together."""

    async def scenario(fleet):
        gangs = [
            job(ID.format(number), [step(4, 8, gang=True)], NORMAL, OTHER, run_ms=4_000)
            for number in range(1, 8)
        ]
        for one in gangs:
            await fleet.submit(one, NORMAL, OTHER)
        await fleet.clock.sleep_ms(1_500)
        for name in list(fleet.runners_by_id)[: 2 * RUNNERS_PER_RACK]:
            fleet.crash_runner(name)
            fleet.unlist(name)
        for one in gangs:
            await fleet.wait_state(one.id, "completed", 25_000)
        done = [
            entry.fields["task"]
            for entry in fleet.journal.all("task_ended")
            if entry.fields["outcome"] == "done"
        ]
        assert len(done) >= len(gangs)

    run_scenario(scenario, racks=RACKS, runners_per_rack=RUNNERS_PER_RACK)


@pytest.mark.parametrize("late_ms", [0, 1_500, 6_000])
def test_batch_whose_starts_go_unanswered_is_done_once(late_ms):
    """An export arrived twice, and was billed twice, after an answer had been lost."""

    async def scenario(fleet):
        for runner in fleet.runners_by_id.values():
            runner.lost_starts = 2
            runner.late_start_ms = late_ms
        exports = [job(ID.format(number), [step(12, 1)], BATCH, OTHER) for number in range(1, 6)]
        for one in exports:
            await fleet.submit(one, BATCH, OTHER)
        for one in exports:
            await fleet.wait_state(one.id, "completed", 40_000)
        done = [
            entry.fields["task"]
            for entry in fleet.journal.all("task_ended")
            if entry.fields["outcome"] == "done"
        ]
        assert len(done) == len(set(done)) == 12 * len(exports)

    run_scenario(scenario, racks=RACKS, runners_per_rack=RUNNERS_PER_RACK)


def test_work_begins_soon_after_all_instances_were_killed_together():
    async def scenario(fleet):
        await fill(fleet, run_ms=3_000)
        names = list(fleet.nodes_by_name)
        await asyncio.gather(*(fleet.kill_instance(name) for name in names))
        for name in names:
            fleet.start_instance(name)
        back_ms = fleet.clock.now_ms()
        await fleet.wait_ready()
        urgent = job(ID.format(1), [step(2, 8, gang=True)], URGENT, OWNER, run_ms=500)
        await fleet.submit(urgent, URGENT, OWNER)
        await fleet.wait_until(
            lambda: len(first_starts(fleet, urgent.id)) == 2, 6_000, "the urgent job has begun"
        )
        # The term's time-out, a claim and its jitter, the take-over, and a preemption.
        assert fleet.clock.now_ms() - back_ms < 4_500
        await fleet.wait_state(urgent.id, "completed", 3_000)

    run_scenario(scenario, instances=INSTANCES, racks=RACKS, runners_per_rack=RUNNERS_PER_RACK)


def test_storm_of_configurations_is_in_force_everywhere_and_never_goes_back():
    """A configuration each 0.28 s, each with more routes, while instances restart."""

    async def scenario(fleet):
        seen = {name: [] for name in fleet.nodes_by_name}
        version = 1
        for number in range(12):
            version += 1 + number % 3
            content = configuration_bytes(version, routes=40 * number)
            fleet.store.put(
                fleet.formats.configuration_topic, fleet.formats.configuration_key, content
            )
            if number in (3, 7):
                await fleet.kill_instance("n5")
                seen["n5"] = []
                fleet.start_instance("n5")
            for _ in range(14):
                await fleet.clock.sleep_ms(20)
                for name, node in fleet.nodes_by_name.items():
                    if node.configuration is not None:
                        seen[name].append(node.configuration.version)
        await fleet.clock.sleep_ms(1_000)
        for name, node in fleet.nodes_by_name.items():
            assert node.configuration.version == version
            assert seen[name] == sorted(seen[name])

    run_scenario(scenario, instances=8)
