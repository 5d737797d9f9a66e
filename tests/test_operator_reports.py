"""Tests of what operators of similar systems report as having gone wrong, in virtual time."""

import json

import pytest
from fleet_builders import (
    NORMAL,
    OWNER,
    call_status,
    caller_app,
    configuration_bytes,
    job,
    run_scenario,
    step,
)

from carawayroute.fleet.leadership import TERM_TIMEOUT_MS
from carawayroute.fleet.types import TaskId

ID = "{:016x}"
OLD_KEY = "key-owner"
NEW_KEY = "key-renewed"


def starts_by_task(fleet):
    """Return the number of starts of each task, and the runner of its last one."""
    found = {}
    for entry in fleet.journal.all("task_started"):
        count, _ = found.get(entry.fields["task"], (0, ""))
        found[entry.fields["task"]] = (count + 1, entry.fields["runner"])
    return found


@pytest.mark.parametrize("silent_ms", [500, 2_000, 5_000])
@pytest.mark.parametrize("gang", [False, True])
def test_work_on_machines_that_are_silent_for_a_while_is_neither_repeated_nor_given_up(
    silent_ms, gang
):
    async def scenario(fleet):
        planner = fleet.nodes_by_name[fleet.planner_name()].planner
        await fleet.submit(job(ID.format(1), [step(4, 8, gang=gang)], run_ms=8_000), NORMAL, OWNER)
        await fleet.wait_until(lambda: len(starts_by_task(fleet)) == 4, 1_000, "all starts")
        for _, runner in starts_by_task(fleet).values():
            fleet.runners_by_id[runner].mode = "cut"
        await fleet.clock.sleep_ms(silent_ms)
        for runner in fleet.runners_by_id.values():
            runner.mode = "up"
        await fleet.wait_state(ID.format(1), "completed", 12_000)
        assert {count for count, _ in starts_by_task(fleet).values()} == {1}
        assert planner.given_up_by_evidence == {}

    run_scenario(scenario)


@pytest.mark.parametrize("cut_ms", [TERM_TIMEOUT_MS + 200, TERM_TIMEOUT_MS + 2_000])
def test_planners_around_a_hand_over_start_no_task_twice(cut_ms):
    """The old planner, cut off from the store, and its successor plan at the same time."""

    async def scenario(fleet):
        old = fleet.planner_name()
        for number in range(1, 5):
            await fleet.submit(job(ID.format(number), [step(2, 4)], run_ms=900), NORMAL, OWNER)
        fleet.store.refused_instances.add(old)
        fleet.unreachable_peers.add(old)
        began_ms = fleet.clock.now_ms()
        number = 5
        while fleet.clock.now_ms() - began_ms < cut_ms:
            at = next(name for name in sorted(fleet.nodes_by_name) if name != old)
            await fleet.submit(
                job(ID.format(number), [step(2, 4)], run_ms=900), NORMAL, OWNER, at=at
            )
            number += 1
            await fleet.clock.sleep_ms(60)
        fleet.store.refused_instances.discard(old)
        fleet.unreachable_peers.discard(old)
        for one in range(1, number):
            await fleet.wait_state(ID.format(one), "completed", 20_000)
        assert fleet.planner_name() != old
        done = [entry.fields for entry in fleet.journal.all("task_ended")]
        done_tasks = [one["task"] for one in done if one["outcome"] == "done"]
        assert len(done_tasks) == len(set(done_tasks))
        assert {TaskId.parse(task).job_id for task in done_tasks} == {
            ID.format(one) for one in range(1, number)
        }

    run_scenario(scenario)


def without_old_key(version):
    """Return a configuration in which the owner's key has been replaced."""
    fields = json.loads(configuration_bytes(version))
    for tenant in fields["tenants"]:
        tenant["api_keys"] = [NEW_KEY if key == OLD_KEY else key for key in tenant["api_keys"]]
    return json.dumps(fields).encode()


@pytest.mark.parametrize("refused", [False, True])
def test_key_that_was_withdrawn_is_not_in_use_after_a_restart(refused):
    """:param refused: the store refuses the restarted instance, which reads through its peers."""

    async def scenario(fleet):
        formats = fleet.formats
        newer = without_old_key(2)
        fleet.store.put(formats.configuration_topic, formats.configuration_key, newer)
        await fleet.clock.sleep_ms(1_000)
        await fleet.kill_instance("n2")
        if refused:
            fleet.store.refused_instances.add("n2")
        app = caller_app(fleet.start_instance("n2"))
        statuses = set()
        for _ in range(200):
            statuses.add(await call_status(app, f"/render/{ID.format(1)}", OLD_KEY))
            await fleet.clock.sleep_ms(20)
        assert statuses <= {401, 503}
        assert 401 in statuses
        assert await call_status(app, f"/render/{ID.format(1)}", NEW_KEY) == 410

    run_scenario(scenario)


@pytest.mark.parametrize("all_restart", [False, True])
def test_runner_that_has_left_gets_no_work_after_a_restart(all_restart):
    async def scenario(fleet):
        await fleet.submit(job(ID.format(1), [step(7, 8)], run_ms=300), NORMAL, OWNER)
        await fleet.wait_state(ID.format(1), "completed", 5_000)
        left = next(iter(starts_by_task(fleet).values()))[1]
        fleet.unlist(left)
        await fleet.clock.sleep_ms(500)
        names = list(fleet.nodes_by_name) if all_restart else [fleet.planner_name()]
        for name in names:
            await fleet.kill_instance(name)
        for name in names:
            fleet.start_instance(name)
        await fleet.wait_ready()
        began = len(fleet.journal.all("task_started"))
        await fleet.submit(job(ID.format(2), [step(14, 4)], run_ms=300), NORMAL, OWNER)
        await fleet.wait_state(ID.format(2), "completed", 8_000)
        later = fleet.journal.all("task_started")[began:]
        assert left not in {entry.fields["runner"] for entry in later}

    run_scenario(scenario)
