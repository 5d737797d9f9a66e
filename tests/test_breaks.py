"""Each proof can fail: with a promise's mechanism broken on purpose, its proof reports it."""

import contextlib

import pytest
from scenario import SCENARIO_DIR, load_scenario
from test_matrix import judge_quick, run_gang, run_quick

from carawayroute import (
    claims,
    dispatch,
    gangs,
    guarantees,
    membership,
    node,
    placement,
    state,
    terms,
)
from carawayroute.exceptions import EndpointUncertainError, RefusedError
from carawayroute.types import Answer
from carawayroute_schema import carawayroute_pb2 as pb
from carawayroute_standins import worker as worker_module
from carawayroute_standins import world as world_module
from carawayroute_standins.virtual import run_virtual


def scenario_problems(name: str) -> list[str]:
    """Return what a scenario reports."""
    return run_virtual(load_scenario(SCENARIO_DIR / f"{name}.yaml").run())


def quick_problems(kind: str, step: str, fault: str) -> list[str]:
    """Return what a cell of the matrix reports."""
    world, _ = run_virtual(run_quick(kind, step, fault))
    return judge_quick(world.journal, idempotent=kind == "preview")


def gang_problems(kind: str, step: str, fault: str) -> list[str]:
    """Return what a cell of the matrix reports."""
    return run_virtual(run_gang(kind, step, fault))[2]


def test_promise_1_without_preemption(monkeypatch) -> None:
    def no_guarantees(self, job, kind, avoid, now_ms):
        return None

    monkeypatch.setattr(placement.Fleet, "_plan_guaranteed", no_guarantees)
    assert scenario_problems("reclaim_full_region")


def test_promise_1_without_the_check_beside_guarantees(monkeypatch) -> None:
    monkeypatch.setattr(guarantees.ReservationTable, "make_room", lambda *arguments: True)
    assert scenario_problems("not_idempotent_is_never_preempted")


def test_promise_2_without_release_after_a_failed_start(monkeypatch) -> None:
    async def keep(self, gang, checkpoint=False):
        return 0

    monkeypatch.setattr(gangs.GangController, "release", keep)
    monkeypatch.setattr("carawayroute.planner.Planner._release_orphan", lambda *args: None)
    assert gang_problems("render", "reserved", "worker-lost")


def test_promise_2_without_fencing(monkeypatch) -> None:
    def anyone(self, holder, token, renewing=False):
        self.holder = holder

    monkeypatch.setattr(worker_module.WorkerModel, "_authorize", anyone)
    monkeypatch.setattr("carawayroute.planner.Planner._check_term", lambda self: None)
    assert scenario_problems("planner_paused_past_its_lease")


def test_promise_3_without_checking_answers(monkeypatch) -> None:
    def believe(answer, attempt_id):
        return Answer(200, answer.body, "application/json")

    monkeypatch.setattr(world_module, "_checked", believe)
    assert scenario_problems("answers_crossed_late_truncated")


def test_promise_4_with_uncertain_called_refused(monkeypatch) -> None:
    first_answer = dispatch.Dispatcher._first_answer

    async def lie(attempts):
        try:
            return await first_answer(attempts)
        except EndpointUncertainError as error:
            raise RefusedError(str(error)) from error

    monkeypatch.setattr(dispatch.Dispatcher, "_first_answer", staticmethod(lie))
    assert quick_problems("export", "answer begun", "reset")


def test_promise_5_without_reading_the_claim_back(monkeypatch) -> None:
    async def always(self, key, deadline_ms):
        return pb.Claim(key=key, claim_id="c", instance="i", round=1)

    monkeypatch.setattr(claims.Claims, "take", always)
    assert scenario_problems("export_sent_at_two_entries_at_once")
    assert scenario_problems("export_after_its_entry_died")


def test_promise_5_with_a_retry_of_what_may_have_run(monkeypatch) -> None:
    handle = dispatch.Dispatcher.run

    async def retry(self, request):
        with contextlib.suppress(EndpointUncertainError):
            return await handle(self, request)
        return await handle(self, request)

    monkeypatch.setattr(dispatch.Dispatcher, "run", retry)
    assert quick_problems("export", "answer begun", "reset")


def test_promise_6_without_first_hand_observation(monkeypatch) -> None:
    monkeypatch.setattr(membership.Membership, "observe_leaving", lambda *args, **more: None)
    assert scenario_problems("leaving_runner_list_lags")


def test_promise_6_without_the_list(monkeypatch) -> None:
    monkeypatch.setattr(membership.Membership, "is_leaving", lambda self, instance_id: False)
    assert scenario_problems("leaving_by_the_list")


def test_promise_7_without_waiting_for_open_requests(monkeypatch) -> None:
    monkeypatch.setattr(node.Node, "_has_work", lambda self: False)
    assert scenario_problems("rolling_restart_under_load")


def test_promise_8_without_the_expected_version(monkeypatch) -> None:
    def last_wins(self, change, record, stored):
        self.change = change
        self.change_record_id = record.record_id
        return "configuration"

    monkeypatch.setattr(state.State, "_apply_configuration", last_wins)
    assert scenario_problems("operators_racing")


def test_promise_8_without_repeating_live_records(monkeypatch) -> None:
    monkeypatch.setattr(state.State, "due_records", lambda self, before_ms, limit: [])
    assert scenario_problems("everything_restarted_at_once")


def test_nobody_takes_over_a_dead_planner(monkeypatch) -> None:
    take = terms.TermWatch.should_take

    def only_first(self, state, entries, leaving):
        if state.terms_by_region.get(self.region) is not None:
            return False
        return take(self, state, entries, leaving)

    monkeypatch.setattr(terms.TermWatch, "should_take", only_first)
    assert scenario_problems("all_instances_replaced")


@pytest.mark.parametrize("name", ["operators_racing", "reclaim_full_region"])
def test_the_same_run_gives_the_same_verdict(name: str) -> None:
    assert scenario_problems(name) == scenario_problems(name) == []
