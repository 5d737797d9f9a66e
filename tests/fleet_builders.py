"""Builders of test data for the fleet."""

import asyncio
import json
from unittest import mock

from aiohttp.streams import StreamReader
from aiohttp.test_utils import make_mocked_request
from hypothesis import strategies as st

from carawayroute.clock import Clock
from carawayroute.fleet.jobs import CANCEL_KEY, JOB_KEY, PROGRESS_KEY, JobTable, Stage
from carawayroute.fleet.node import FleetNode
from carawayroute.fleet.packing import Candidate
from carawayroute.fleet.ports import KeyedRecord
from carawayroute.fleet.scheduler import SchedulingPass, StopCost
from carawayroute.fleet.types import Capacity, Configuration, Queue, Runner, Team
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.fleet.judge import find_violations
from carawayroute_standins.fleet.taskrunner import make_runner
from carawayroute_standins.fleet.taskspec import DEADLY_AFTER_MS, TaskSpec
from carawayroute_standins.fleet.world import FleetWorld
from carawayroute_standins.journal import Journal, JournalEntry
from carawayroute_standins.virtual import run_virtual
from carawayrouted.platform.callers import CallerApp
from carawayrouted.platform.configuration import decode_configuration
from carawayrouted.platform.formats import StoreFormat

URGENT = Queue("preview", "h", "/preview/", "render", 0, 2, 1.5, 400)
NORMAL = Queue("render", "h", "/render/", "render", 1, 2, 3.0, 1_200)
BATCH = Queue("export", "h", "/export/", "render", 2, 2, 3.0, 3_000)
QUEUES = (URGENT, NORMAL, BATCH)
OWNER = Team("owner", ["key-owner"], 32)
OTHER = Team("other", ["key-other"], 0)
# Progress records of a job in turn: whether it has begun, and whether its first task is done.
PROGRESS_HISTORIES = ((), ((0, 0),), ((0, 0), (1, 0)), ((0, 0), (1, 0), (1, 1)))


def step(count: int = 1, accelerators: int = 1, **options) -> pb.Step:
    """Return a step of small tasks."""
    fields = {"cpu_millis": 1_000, "memory_mb": 1_000, "estimate_ms": 1_000, **options}
    return pb.Step(count=count, accelerators=accelerators, **fields)


def job(
    job_id: str = "0000000000000001",
    steps: list[pb.Step] | None = None,
    queue: Queue = NORMAL,
    team: Team = OWNER,
    run_ms: int = 1_000,
    failures: int = 0,
    accepted_ms: int = 0,
    deadly: tuple[int, ...] = (),
    deadly_after_ms: int = DEADLY_AFTER_MS,
) -> pb.Job:
    """Return a job whose tasks run for ``run_ms`` in the emulator.

    :param failures: number of runs that fail before one succeeds.
    :param deadly: indices of the tasks of each step that crash their runner.
    :param deadly_after_ms: time from the start of such a task to the crash.
    """
    steps = steps or [step()]
    gang = steps[0].count if steps[0].gang else 0
    demands = [
        (0 if one.fills else one.cpu_millis, one.memory_mb, one.accelerators) for one in steps
    ]
    return pb.Job(
        id=job_id,
        spec=TaskSpec.encode(
            run_ms, gang, failures, steps[0].accelerators, deadly, deadly_after_ms, demands
        ),
        steps=steps,
        queue=queue.name,
        service=queue.service,
        team=team.name,
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        stretch=queue.deadline_factor,
        target_ms=queue.target_ms,
        accepted_ms=accepted_ms,
    )


def job_table_of(*jobs: pb.Job) -> JobTable:
    """Return a job table with accepted jobs."""
    job_table = JobTable()
    for number, one in enumerate(jobs):
        job_table.apply(number, JOB_KEY + one.id, one.SerializeToString(), 0.0)
    return job_table


def assign(stage: Stage, runner_by_index: dict[int, str], run: int = 1) -> None:
    """Assign tasks of a stage to runners, by task index."""
    for index, runner in runner_by_index.items():
        stage.runners[index] = runner
        stage.runs[index] = run


def candidate(
    name: str, rack: str = "r1-0", accelerators: int = 8, free: int | None = None
) -> Candidate:
    """Return a candidate runner with ``free`` accelerators, all by default."""
    runner = make_runner(name, rack, accelerators)
    left = accelerators if free is None else free
    return Candidate(runner, Capacity(64_000, 256_000, left))


def scheduling_pass(
    job_table: JobTable,
    candidates: list[Candidate],
    wall_ms: float = 100.0,
    stoppable: bool = True,
    **options,
) -> SchedulingPass:
    """Return a scheduling pass in which stopping a run loses no work.

    :param stoppable: whether runs may be stopped at all.
    """
    return SchedulingPass(
        job_table,
        configuration(),
        candidates,
        wall_ms,
        lambda stage: stage.step.estimate_ms,
        lambda stage, index: StopCost(0.0, stoppable),
        **options,
    )


def configuration_bytes(
    version: int = 1, guaranteed: int = 32, routes: int = 0, guarding: bool = True
) -> bytes:
    """Return a configuration as the platform stores it, with extra routes if asked for.

    :param guarding: whether the runners refuse what exceeds their capacity.
    """
    routes_fields = [
        {
            "name": queue.name,
            "host": queue.host,
            "path_prefix": queue.prefix,
            "route_type": "unsafe",
            "timeout_ms": 3_000,
            "target_latency_ms": queue.target_ms,
            "priority": queue.priority,
            "service": queue.service,
            "max_attempts": queue.max_attempts,
            "stretch": queue.deadline_factor,
            "public": False,
        }
        for queue in QUEUES
    ]
    for number in range(routes):
        routes_fields.append(
            {**routes_fields[0], "name": f"x{number}", "path_prefix": f"/x{number}/"}
        )
    fields = {
        "version": version,
        "routes": routes_fields,
        "services": [{"name": "render", "rejects_overload": guarding}],
        "limits": {"max_body_bytes": 4_096},
        "tenants": [
            {"name": "owner", "api_keys": ["key-owner"], "guaranteed": {"gpu": guaranteed}},
            {"name": "other", "api_keys": ["key-other"]},
        ],
    }
    return json.dumps(fields).encode()


def configuration(version: int = 1, guaranteed: int = 32) -> Configuration:
    """Return a decoded configuration."""
    return decode_configuration(configuration_bytes(version, guaranteed))


def runner_fields(runner: Runner) -> dict:
    """Return a runner's entry as the platform stores it."""
    return {
        "service": runner.service,
        "address": runner.address,
        "zone": runner.data_centre,
        "version": "v1",
        "slots": 8,
        "state": "draining" if runner.draining else "ready",
        "cold_left_ms": 0,
        "capacity": {
            "cpu": runner.capacity.cpu_millis,
            "mem_mb": runner.capacity.memory_mb,
            "gpu": runner.capacity.accelerators,
        },
        "labels": sorted(runner.labels),
        "clock_ms": 1,
        "sequence": 1,
        "born": runner.boot_ms,
    }


def runner_bytes(runner: Runner) -> bytes:
    """Return a runner's encoded entry."""
    return json.dumps(runner_fields(runner)).encode()


def world(guarding: bool = True, **options) -> FleetWorld:
    """Return a running fleet.

    :param guarding: whether runners refuse starts that exceed their capacity.
    """
    settings = configuration_bytes(guarding=guarding)
    return FleetWorld(StoreFormat(), runner_bytes, settings, guarding=guarding, **options)


def run_scenario(scenario, **options):
    """Run a scenario on a ready fleet and check the journal for violations."""

    async def run():
        fleet = world(**options)
        try:
            await fleet.wait_ready()
            await scenario(fleet)
        finally:
            await fleet.close()
        assert find_violations(fleet.journal) == []

    run_virtual(run())


def partition(fleet, names, runner_ids) -> None:
    """Cut some instances and runners off from the store and all others, but not from each other."""
    heal(fleet)
    fleet.store.unanswered_instances.update(names)
    fleet.cut_between.append((set(names), fleet.nodes_by_name.keys() - names))
    for name, client in fleet.runner_clients_by_name.items():
        inside = name in names
        client.cut_off.update(
            one for one in fleet.runners_by_id if (one in runner_ids) is not inside
        )


def heal(fleet) -> None:
    """End all partitions."""
    fleet.store.unanswered_instances.clear()
    fleet.unreachable_peers.clear()
    fleet.cut_between.clear()
    for client in fleet.runner_clients_by_name.values():
        client.cut_off.clear()


def journal_of(*entries: tuple[str, str, int]) -> Journal:
    """Return a journal on one task.

    :param entries: event type, runner and number of the run; ends are ends as done.
    """
    journal = Journal(Clock())
    for what, runner, run in entries:
        fields: dict[str, object] = {
            "runner": runner,
            "task": "0000000000000001.0.0.0",
            "run": run,
        }
        if what in ("task_ended", "end_acknowledged"):
            fields["outcome"] = "done"
        journal.entries.append(JournalEntry(0.0, what, fields))
    return journal


def runner_speeds_bytes(size: int) -> bytes:
    """Return an encoded record of learnt runner speeds of about ``size`` bytes."""
    names = [f"runner-{number:09}" for number in range(size // 20)]
    return pb.RunnerSpeeds(
        runners=names, runs=[1] * len(names), log_percents=[0] * len(names)
    ).SerializeToString()


def large_job(job_id: str, spec_bytes: int = 4_000) -> pb.Job:
    """Return a short job whose spec has about ``spec_bytes`` bytes."""
    large = job(job_id, [step(estimate_ms=10)], run_ms=10)
    large.spec = large.spec[:-1] + ', "unused": "' + "x" * spec_bytes + '"}'
    return large


def journal_of_calls(*calls: tuple[str, float]) -> Journal:
    """Return a journal of calls for one job.

    :param calls: event type and wall-clock time in ms.
    """
    journal = Journal(Clock())
    for what, at_ms in calls:
        fields: dict[str, object] = {"job": "0000000000000001", "entry": "n1", "call": "state"}
        journal.entries.append(JournalEntry(at_ms, what, fields))
    return journal


def caller_app(node: FleetNode, recent_pause_ms: float = 0.0) -> CallerApp:
    """Return the callers' API of an instance.

    :param recent_pause_ms: how long its process has just been paused.
    """
    return CallerApp(
        node.service,
        lambda: node.configuration,
        node.configuration_is_current,
        lambda *counted: None,
        lambda: recent_pause_ms,
    )


async def call_status(app: CallerApp, path: str, key: str) -> int:
    """Return the status of a GET request to an instance's API."""
    headers = {"Host": "h", "Authorization": f"Bearer {key}"}
    return (await app.handle(make_mocked_request("GET", path, headers=headers))).status


async def submit_status(app: CallerApp, path: str, key: str, body: bytes) -> int:
    """Return the status of a POST request to an instance's API."""
    headers = {"Host": "h", "Authorization": f"Bearer {key}"}
    payload = StreamReader(mock.Mock(_reading_paused=False), 2**16, loop=asyncio.get_running_loop())
    payload.feed_data(body)
    payload.feed_eof()
    request = make_mocked_request("POST", path, headers=headers, payload=payload)
    return (await app.handle(request)).status


@st.composite
def job_history(draw, job_id: str) -> list[KeyedRecord]:
    """Return the records of a job that runs, is cancelled or ends, and may be purged."""
    accepted = job(job_id, [step(2)])
    values = [(JOB_KEY, accepted.SerializeToString())]
    for begun, done in draw(st.sampled_from(PROGRESS_HISTORIES)):
        placed = pb.StepProgress(
            runs=[1, 1], done=bytes([done, 0]), failures=[0, 0], places=[1, 1], runners=["w1"]
        )
        progress = pb.Progress(steps=[placed], begun=begun, term=1)
        values.append((PROGRESS_KEY, progress.SerializeToString()))
        if draw(st.booleans()):
            # A job that was submitted twice is stored twice.
            values.append((JOB_KEY, accepted.SerializeToString()))
    outcome = draw(st.sampled_from(("open", "completed", "failed", "cancelled")))
    if outcome == "cancelled":
        values.append((CANCEL_KEY, pb.Cancel(entry="n1").SerializeToString()))
    if outcome != "open" and draw(st.booleans()):
        ended = pb.Progress(
            ended=True, completed=outcome == "completed", failed=outcome == "failed", term=1
        )
        values.append((PROGRESS_KEY, ended.SerializeToString()))
        if draw(st.booleans()):
            values.extend((key, b"") for key in (JOB_KEY, CANCEL_KEY, PROGRESS_KEY))
    return [KeyedRecord(offset, key + job_id, value) for offset, (key, value) in enumerate(values)]


def newest_record(records: list[KeyedRecord], key: str) -> KeyedRecord | None:
    """Return the newest record of a key, ``None`` if it was never written or is removed."""
    found = next((record for record in reversed(records) if record.key == key), None)
    return found if found is not None and found.value else None


def apply_records(job_table: JobTable, records: list[KeyedRecord]) -> None:
    """Apply records in the given order."""
    for record in records:
        job_table.apply(record.offset, record.key, record.value, 0.0)


def describe_jobs(job_table: JobTable) -> dict[str, tuple[str, bool]]:
    """Return each job's state as told to callers, and whether no more tasks are started."""
    return {
        job_id: (found.reported_state, found.closed)
        for job_id, found in job_table.jobs_by_id.items()
    }
