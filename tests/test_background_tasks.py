"""Background tasks that fail: they are counted, and those that an instance needs go on."""

import asyncio

import pytest
from fleet_builders import NORMAL, OWNER, URGENT, job, run_scenario, step
from prometheus_client import generate_latest
from structlog.testing import capture_logs
from test_fleet_platform import settings_fields

from carawayroute.clock import Clock
from carawayroute.fleet.writer import LogWriter
from carawayroute.misc import MAX_RESTART_MS, TaskGroup
from carawayroute_standins.fleet.topics import TopicStore
from carawayroute_standins.virtual import run_virtual
from carawayrouted.instance import Instance
from carawayrouted.output import BoundedOutput
from carawayrouted.platform.settings import PlatformSettings

ID = "00000000000000{:02x}"


def failing(method, failures: int = 1):
    """Return an asynchronous method that fails a number of times before it does its work."""
    calls = []

    async def call(*args, **kwargs):
        calls.append(args)
        if len(calls) <= failures:
            raise KeyError("unexpected")
        return await method(*args, **kwargs)

    return call


def test_task_that_is_kept_running_is_run_again_and_its_failures_counted():
    async def scenario():
        group = TaskGroup()
        runs = []

        async def work():
            runs.append(1)
            await asyncio.sleep(0.01)
            if len(runs) < 4:
                raise RecursionError("odd")
            return "ended"

        with capture_logs() as lines:
            result = await group.keep_running(work, "work")
        assert (result, len(runs), group.failures) == ("ended", 4, 3)
        assert [line["task"] for line in lines] == ["work"] * 3
        assert {line["event"] for line in lines} == {"background_task_failed"}

    run_virtual(scenario())


def test_task_that_fails_at_once_again_and_again_is_run_ever_more_seldom():
    async def scenario():
        group = TaskGroup()

        async def work():
            raise ValueError("odd")

        with capture_logs() as lines:
            group.keep_running(work, "work")
            await asyncio.sleep(60)
        assert len(lines) == group.failures
        assert len(lines) < 20 + 60_000 / MAX_RESTART_MS * 2
        await group.cancel()
        failures = group.failures
        await asyncio.sleep(60)
        assert group.failures == failures

    run_virtual(scenario())


def test_failure_of_a_task_that_is_not_kept_running_is_counted():
    async def scenario():
        group = TaskGroup()

        async def work():
            raise ValueError("odd")

        group.start(work(), "work")
        await asyncio.sleep(1)
        assert group.failures == 1

    run_virtual(scenario())


@pytest.mark.parametrize("retry", [False, True])
def test_writer_stores_a_batch_again_after_an_unexpected_failure(retry):
    """The writes of that batch never ended, nor did any later one."""

    async def scenario():
        store = TopicStore(Clock())
        client = store.client_for("n1")
        client.append = failing(client.append, 3)
        writer = LogWriter(client, store.clock, "keyed.t", "n1", retry_until_stored=retry)
        group = TaskGroup()
        group.keep_running(writer.run, "writer")
        with capture_logs() as lines:
            for key in ("a", "b"):
                async with asyncio.timeout(2):
                    await writer.write([(key, b"1")])
        assert [record.key for record in store.topic("keyed.t").records] == ["a", "b"]
        assert writer.unexpected_errors == 3
        assert [line["event"] for line in lines].count("append_failed") == 1
        await group.cancel()

    run_virtual(scenario())


@pytest.mark.parametrize("part", ["leadership", "writer", "jobs_follower"])
def test_instance_goes_on_after_an_unexpected_failure_of_a_part(part):
    """The part's task ended; the instance went on without it and was reported as ready."""

    async def scenario(fleet):
        name = fleet.planner_name()
        node = fleet.nodes_by_name[name]
        method = {"leadership": "append", "writer": "append", "jobs_follower": "read"}[part]
        client = node.store
        usual = getattr(client, method)
        topic = {"leadership": "keyed.lead"}.get(part, "keyed.jobs")
        failed = []

        async def call(called_topic, *args, **kwargs):
            if called_topic == topic and len(failed) < 2:
                failed.append(args)
                raise KeyError("unexpected")
            return await usual(called_topic, *args, **kwargs)

        setattr(client, method, call)
        for number in range(3):
            try:
                await fleet.submit(job(ID.format(number)), NORMAL, OWNER, at=name)
            except Exception as error:
                assert type(error).__name__ in ("OutcomeUnknownError", "NotAcceptedError")
        await fleet.clock.sleep_ms(4_000)
        setattr(client, method, usual)
        assert len(failed) == 2
        await fleet.submit(job(ID.format(9), [step(2)], queue=URGENT), URGENT, OWNER, at=name)
        await fleet.wait_state(ID.format(9), "completed", 4_000)
        assert fleet.planner_name()
        assert node.not_ready() == ""

    run_scenario(scenario)


def test_runner_is_polled_on_after_an_unexpected_failure_of_its_client():
    """Its link ended with the runner counted as reachable: its tasks were neither renewed nor given
    up."""

    async def scenario(fleet):
        await fleet.submit(job(ID.format(1), run_ms=12_000), NORMAL, OWNER)
        await fleet.wait_state(ID.format(1), "running", 1_000)
        client = fleet.runner_clients_by_name[fleet.planner_name()]
        client.hold = failing(client.hold, 20)
        planner = fleet.nodes_by_name[fleet.planner_name()].planner
        await fleet.wait_state(ID.format(1), "completed", 16_000)
        assert planner.background_failures() >= 8

    run_scenario(scenario)


def test_planner_goes_on_after_a_pass_that_failed():
    """It gave up its term, and each planner after it met the same failure."""

    async def scenario(fleet):
        node = fleet.nodes_by_name[fleet.planner_name()]
        term = node.planner_term()
        node.planner._pass = failing(node.planner._pass, 3)
        await fleet.submit(job(ID.format(1)), NORMAL, OWNER)
        await fleet.wait_state(ID.format(1), "completed", 4_000)
        assert node.planner_term() == term
        assert node.planner.background_failures() == 3

    run_scenario(scenario)


def test_planner_whose_passes_fail_on_and_on_leaves_the_term_to_another():
    async def scenario(fleet):
        name = fleet.planner_name()
        planner = fleet.nodes_by_name[name].planner
        planner._pass = failing(planner._pass, 10_000)
        await fleet.submit(job(ID.format(1)), NORMAL, OWNER)
        await fleet.wait_state(ID.format(1), "completed", 15_000)
        assert fleet.nodes_by_name[name].planner is not planner

    run_scenario(scenario)


def test_counters_of_odd_data_are_shown():
    async def show() -> str:
        instance = Instance(PlatformSettings(settings_fields()), BoundedOutput(1), 9_464)
        instance.node.unapplied_by_kind["job"] += 2
        instance.links.failed_calls += 1
        try:
            return generate_latest(instance.metrics.registry).decode()
        finally:
            await instance._pool.close()
            await instance._runner_pool.close()

    text = asyncio.run(show())
    for line in (
        "carawayroute_runner_entries_unusable 0.0",
        'carawayroute_records_unapplied_total{kind="job"} 2.0',
        'carawayroute_records_unapplied_total{kind="term"} 0.0',
        'carawayroute_records_not_handled_total{topic="keyed.jobs"} 0.0',
        'carawayroute_background_failures_total{part="instance"} 0.0',
        'carawayroute_background_failures_total{part="peers"} 1.0',
    ):
        assert line in text


def test_failures_at_the_planner_are_counted_by_part():
    async def scenario(fleet):
        node = fleet.nodes_by_name[fleet.planner_name()]
        assert node.background_failures() == {
            "instance": 0,
            "writer": 0,
            "follower": 0,
            "planner": 0,
        }
        node.planner._runners_follower._apply = None
        fleet.list("w1")
        await fleet.clock.sleep_ms(300)
        assert node.unhandled_records()["keyed.servers"] == 1

    run_scenario(scenario)
