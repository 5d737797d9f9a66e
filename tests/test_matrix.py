"""Every fault at every step of a quick request and of a gang."""

import asyncio

import pytest
from builders import job, small_world
from faults import FAULTS_BY_NAME, SHORT_RETENTION_MS, Cell, region_configuration
from judge import check_gangs, check_job_outcome, check_quick_requests, check_start_time

from carawayroute.exceptions import CarawayrouteError
from carawayroute_schema import carawayroute_pb2 as pb
from carawayroute_standins.virtual import run_virtual
from carawayroute_standins.world import World

pytestmark = pytest.mark.matrix

ENTRIES = {"a": "south", "b": "south", "c": "north", "d": "north"}
REGION = "north"

# Faults that leave planner, store and the workers' leases alone; a reclaim stays within its bound.
FAULTS_WITHIN_RECLAIM_BOUND = (
    "reset",
    "repeated",
    "guarantee-raised",
    "list-lagging",
    "burst",
    "leaving",
    "worker-failing",
)
RECLAIM_BOUND_MS = 8_000

IDEMPOTENT_STEPS = (
    "received",
    "admitted",
    "connecting",
    "sent in part",
    "sent",
    "running",
    "answer begun",
    "answer whole",
    "answered",
)
CLAIM_STEPS = (
    "claim sent",
    "claim written",
    "claim read",
    "claim_outcome sent",
    "claim_outcome written",
)
GANG_STEPS = (
    "job_accepted sent",
    "job_accepted written",
    "accepted",
    "checkpointing",
    "reclaimed",
    "planned",
    "reserved in part",
    "reserved",
    "started in part",
    "started",
    "finished",
    "job_finished sent",
    "job_finished written",
)
STARTED_STEPS = ("job_started sent", "job_started written", "job_started read")

QUICK_CELLS = [("preview", step, fault) for step in IDEMPOTENT_STEPS for fault in FAULTS_BY_NAME]
QUICK_CELLS += [
    ("export", step, fault) for step in IDEMPOTENT_STEPS + CLAIM_STEPS for fault in FAULTS_BY_NAME
]
GANG_CELLS = [("render", step, fault) for step in GANG_STEPS for fault in FAULTS_BY_NAME]
GANG_CELLS += [
    ("cut-plan", step, fault) for step in GANG_STEPS + STARTED_STEPS for fault in FAULTS_BY_NAME
]


async def matrix_world(fault: str) -> World:
    """Return a settled world whose guarantee lies in the region away from the store."""
    retention_ms = SHORT_RETENTION_MS if fault == "expired" else 600_000
    world = await small_world(ENTRIES, retention_ms=retention_ms, owner_count=0)
    await world.publish(region_configuration(REGION, 1))
    await world.run_for(1_000)
    return world


async def run_quick(kind: str, step: str, fault: str) -> tuple[World, bool]:
    """Run one quick request with a fault at a step; return whether the step was reached."""
    world = await matrix_world(fault)
    cell = Cell(world, REGION, "c", "a")
    send = lambda name: world.quick(name, kind, "owner", "request-1", 400, 6_000)  # noqa: E731
    first: asyncio.Task | None = None

    async def repeat() -> None:
        await send("a")

    async def cancel() -> None:
        if first is not None:
            first.cancel()

    cell.repeat, cell.cancel = repeat, cancel
    reached = []

    def apply() -> None:
        reached.append(step)
        FAULTS_BY_NAME[fault](cell)

    world.on_step(step, apply)
    first = asyncio.ensure_future(send("c"))
    await asyncio.wait([first], timeout=30)
    assert first.done(), "the caller was told nothing"
    await world.run_for(1_000)
    await asyncio.wait_for(send("b"), 60)
    await world.run_for(20_000)
    return world, bool(reached)


@pytest.mark.parametrize(("kind", "step", "fault"), QUICK_CELLS)
def test_quick_request(kind: str, step: str, fault: str) -> None:
    world, reached = run_virtual(run_quick(kind, step, fault))
    assert reached, f"{step} was not reached"
    assert check_quick_requests(world.journal, idempotent=kind == "preview") == []


async def run_gang(kind: str, step: str, fault: str) -> tuple[World, bool, list[str]]:
    """Reclaim a guaranteed shape from borrowed work with a fault at a step."""
    world = await matrix_world(fault)
    borrowed = [
        await world.submit("d", job(request_id=f"borrowed-{index}", run_ms=20_000, region=REGION))
        for index in range(2)
    ]
    await world.run_for(2_000)
    cell = Cell(world, REGION, world.planner_of(REGION), "b")
    wanted = job(team="owner", kind=kind, region=REGION, run_ms=3_000)
    job_ids = list(borrowed)

    async def submit(name: str) -> None:
        copy = pb.JobAccepted()
        copy.CopyFrom(wanted)
        try:
            job_id = await world.submit(name, copy)
        except CarawayrouteError:
            return
        if job_id not in job_ids:
            job_ids.append(job_id)

    async def cancel() -> None:
        node = world.live_node("south")
        known = node.follower.state.job_by_request("owner", wanted.request_id)
        if known is not None:
            await node.jobs.cancel(known.accepted.job_id, "caller")

    cell.repeat, cell.cancel = lambda: submit("b"), cancel
    reached = []

    def apply() -> None:
        reached.append(step)
        FAULTS_BY_NAME[fault](cell)

    world.on_step(step, apply)
    submitted_ms = world.clock.wall_ms()
    await submit("a")
    await world.run_for(90_000)
    await submit("b")
    await world.run_for(30_000)
    problems = check_jobs(world, cell, job_ids, kind)
    if fault in FAULTS_WITHIN_RECLAIM_BOUND:
        problems += check_start_time(world.journal, job_ids[2], submitted_ms, RECLAIM_BOUND_MS)
    return world, bool(reached), problems


def check_jobs(world: World, cell: Cell, job_ids: list[str], kind: str) -> list[str]:
    """Return everything that is wrong with the gangs of a run."""
    problems = check_gangs(world.journal, cell.lost_workers, world.clock.wall_ms())
    jobs = world.live_node().follower.state.jobs_by_id
    for job_id in job_ids:
        known = jobs.get(job_id)
        if known is None:
            problems.append(f"{job_id} was forgotten")
            continue
        finished = known.finished
        outcome = pb.Outcome.Name(finished.outcome).lower() if finished else ""
        idempotent = known.accepted.kind == "render"
        problems += check_job_outcome(world.journal, job_id, outcome, idempotent, cell.lost_workers)
    return problems


@pytest.mark.parametrize(("kind", "step", "fault"), GANG_CELLS)
def test_gang(kind: str, step: str, fault: str) -> None:
    world, reached, problems = run_virtual(run_gang(kind, step, fault))
    assert reached, f"{step} was not reached"
    assert problems == []
