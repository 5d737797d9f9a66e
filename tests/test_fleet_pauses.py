"""Tests of a planner whose process is paused: it sends nothing before its term is confirmed."""

import asyncio
import json

from fleet_builders import NORMAL, OWNER, caller_app, job, run_scenario, step, submit_status

from carawayroute import clock as clock_module
from carawayroute.clock import ManualClock
from carawayroute.fleet.leadership import LEADER_KEY, LEADER_TOPIC
from carawayroute.fleet.pause_guard import MAX_PAUSE_MS, SETTLE_MS, PauseMeter
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.fleet.taskspec import TaskSpec

JOB_ID = "0000000000000001"
PAUSE_MS = 4_000


def record_requests(fleet, name):
    """Return a list to which each request of an instance to a runner adds its kind and term."""
    client = fleet.runner_clients_by_name[name]
    sent = []
    for kind in ("hold", "start", "stop"):
        send = getattr(client, kind)

        async def recorded(runner, term, *args, kind=kind, send=send):
            sent.append((kind, term))
            return await send(runner, term, *args)

        setattr(client, kind, recorded)
    return sent


def pause_process():
    """Let the time of a pause pass at once, as a process that is frozen sees it."""
    asyncio.get_running_loop()._time_selector.now_s += PAUSE_MS / 1000


def claim_term(fleet):
    """Store the claim of another instance, as if it had taken over during the pause."""
    claim = pb.Leader(instance="n9-1", address="n9")
    fleet.store.put(LEADER_TOPIC, LEADER_KEY, claim.SerializeToString())


async def sent_after(fleet, pause):
    """Return what the planner sends after a pause, while it still believes to hold its term."""
    name = fleet.planner_name()
    term = fleet.nodes_by_name[name].planner_term()
    sent = record_requests(fleet, name)
    await fleet.submit(job(JOB_ID, [step(4, 8)], run_ms=20_000), NORMAL, OWNER)
    await fleet.clock.sleep_ms(1_000)
    pause()
    before = len(sent)
    await fleet.clock.sleep_ms(1_500)
    return [kind for kind, used in sent[before:] if used == term]


def test_planner_that_was_paused_sends_nothing_once_another_has_taken_over():
    """Its timers were due at once: it renewed leases and sent stops under the old term."""

    async def scenario(fleet):
        def pause():
            claim_term(fleet)
            pause_process()

        assert await sent_after(fleet, pause) == []

    run_scenario(scenario)


def test_planner_that_was_suspended_sends_nothing_once_another_has_taken_over(monkeypatch):
    """The steady clock does not count a suspension, so that nothing seemed to have happened."""
    suspended = [0.0]
    monkeypatch.setattr(clock_module, "suspended_ms", lambda: suspended[0])

    async def scenario(fleet):
        def pause():
            claim_term(fleet)
            suspended[0] += PAUSE_MS

        assert await sent_after(fleet, pause) == []

    run_scenario(scenario)


def test_planner_that_was_paused_goes_on_if_it_still_holds_the_term():
    async def scenario(fleet):
        assert "hold" in await sent_after(fleet, pause_process)
        name = fleet.planner_name()
        assert fleet.nodes_by_name[name].planner.pause_guard.pauses == 1
        await fleet.wait_state(JOB_ID, "completed", 30_000)

    run_scenario(scenario)


def test_planner_that_was_paused_goes_on_while_the_store_is_down():
    """Nobody can take the term while the store is down for all."""

    async def scenario(fleet):
        def pause():
            fleet.store.mode = "refusing"
            pause_process()

        assert "hold" in await sent_after(fleet, pause)
        fleet.store.mode = "up"

    run_scenario(scenario)


def test_pause_meter_tells_how_long_what_is_handled_now_may_have_waited(monkeypatch):
    monkeypatch.setattr(clock_module, "suspended_ms", lambda: 0.0)
    clock = ManualClock()
    meter = PauseMeter(clock)
    assert meter.recent_ms() == 0.0
    clock.ms += MAX_PAUSE_MS
    assert meter.recent_ms() == 0.0
    clock.ms += PAUSE_MS
    assert meter.recent_ms() == PAUSE_MS
    clock.ms += SETTLE_MS / 2
    assert meter.recent_ms() == PAUSE_MS
    clock.ms += SETTLE_MS / 2
    assert meter.recent_ms() == 0.0


def test_submission_may_use_what_a_pause_has_left_of_its_callers_wait():
    async def scenario(fleet):
        body = json.dumps({"spec": TaskSpec.encode(300), "steps": [{"count": 1, "cpu": 1}]})
        for pause_ms, status in ((2_000.0, 200), (3_000.0, 503)):
            app = caller_app(fleet.nodes_by_name["n1"], pause_ms)
            path = f"{NORMAL.prefix}{round(pause_ms):016x}"
            assert await submit_status(app, path, "key-owner", body.encode()) == status

    run_scenario(scenario)
