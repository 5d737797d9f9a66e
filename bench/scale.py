"""Measure the time of placement decisions as the fleet grows to the required 3,200 workers."""

import random
import time

from bench.tables import Table, median
from carawayroute.clock import ManualClock
from carawayroute.config import read_configuration
from carawayroute.estimates import RunTimeEstimator
from carawayroute.health import HealthTracker
from carawayroute.placement import Fleet, Placement, Plan
from carawayroute.queue import PlacementPass, QueueEntry, order_queue
from carawayroute.types import Instance
from carawayroute_schema import carawayroute_pb2 as pb

# One worker in WORKERS_PER_ACCELERATED has eight accelerators. The others run tasks without
# accelerators and have TASK_SLOTS slots each, so that 10,000 tasks run on 3,200 workers.
SIZES = (24, 100, 400, 800, 1_600, 3_200)
FULL_SIZE = 3_200
FULL_TASKS = 10_000
FULL_TEAMS = 110
WORKERS_PER_ACCELERATED = 6.56
ACCELERATORS = 8
TASK_SLOTS = 3
PER_RACK = 16
REPEATS = 9
BURST = 1_000
KEY_SHA256 = "0" * 64


def make_workers(count: int) -> list[Instance]:
    """Return workers in racks, those with eight accelerators first."""
    accelerated = max(4, round(count / WORKERS_PER_ACCELERATED))
    return [
        Instance(
            f"w{n}",
            "worker",
            "south",
            "",
            "s1",
            f"rack-{n // PER_RACK}",
            ACCELERATORS if n < accelerated else TASK_SLOTS,
        )
        for n in range(count)
    ]


def configuration(count: int) -> pb.Configuration:
    """Return a configuration whose number of teams is in proportion to the number of workers.

    The teams' guarantees take half of the accelerators.
    """
    teams = max(4, round(FULL_TEAMS * count / FULL_SIZE))
    shapes_each = max(1, round(count / WORKERS_PER_ACCELERATED / 2 / teams))
    shape = {"members": 1, "accelerators": ACCELERATORS, "adjacency": "WORKER"}
    guarantee = {"id": "g", "region": "south", "shape": shape, "count": shapes_each}
    return read_configuration(
        {
            "teams": [
                {
                    "id": f"team-{n}",
                    "keySha256": KEY_SHA256,
                    "weight": 1,
                    "guarantees": (
                        [guarantee] if n * shapes_each < count / WORKERS_PER_ACCELERATED / 2 else []
                    ),
                }
                for n in range(teams)
            ],
            "kinds": [
                {"id": "render", "service": "GANG", "idempotent": True, "expectedRunMs": 1_000},
            ],
        }
    )


def make_job(number: int, team: str, shape: pb.Shape) -> pb.JobAccepted:
    """Return an accepted job of the kind `render`."""
    return pb.JobAccepted(job_id=f"j{number}", team=team, kind="render", shape=shape)


def loaded_fleet(count: int) -> tuple[Fleet, pb.Kind]:
    """Return a fleet that runs its share of FULL_TASKS outside any guarantee, and the kind."""
    settings = configuration(count)
    fleet = Fleet()
    fleet.set_workers(make_workers(count), set())
    fleet.set_guarantees(settings, "south")
    free_by_worker = {worker.id: worker.capacity for worker in fleet.workers_by_id.values()}
    names = list(free_by_worker)
    for number in range(FULL_TASKS * count // FULL_SIZE):
        worker = names[number % len(names)]
        if free_by_worker[worker] == 0:
            worker = next((name for name in names if free_by_worker[name]), "")
        if not worker:
            break
        free_by_worker[worker] -= 1
        end_ms = random.uniform(0, 1e7)
        fleet.add(Placement(f"t{number}", "", "team-3", [worker], 1, "", False, 0.0, end_ms))
    return fleet, settings.kinds[0]


def median_time_ms(operation) -> float:
    """Return the median time of REPEATS calls, in ms."""
    times = []
    for _ in range(REPEATS):
        started_s = time.perf_counter()
        operation()
        times.append((time.perf_counter() - started_s) * 1_000)
    return median(times)


def place_burst(fleet: Fleet, kind: pb.Kind) -> float:
    """Return the time of one scheduling pass over a burst of jobs, in ms."""
    shape = pb.Shape(members=2, accelerators=1)
    entries = [QueueEntry(make_job(n, f"team-{n % 4}", shape), kind) for n in range(BURST)]
    started_s = time.perf_counter()
    placement_pass = PlacementPass(fleet, RunTimeEstimator(), HealthTracker(ManualClock()), 0.0)
    for entry in order_queue(entries, fleet, {}):
        decision = placement_pass.plan(entry)
        if isinstance(decision, Plan):
            add_running(fleet, entry.accepted, decision)
    return (time.perf_counter() - started_s) * 1_000


def add_running(fleet: Fleet, accepted: pb.JobAccepted, plan: Plan) -> None:
    """Remove the jobs that a plan preempts and add the planned job to the fleet."""
    for victim in plan.preempt:
        fleet.remove(victim)
    fleet.add(
        Placement(
            accepted.job_id,
            "",
            accepted.team,
            plan.workers,
            accepted.shape.accelerators,
            plan.guarantee,
            plan.non_preemptible,
            0.0,
            1_000.0,
        )
    )


def measure(count: int) -> list[float]:
    """Return the times of the decisions in a fleet of a given number of workers, in ms."""
    random.seed(1)
    fleet, kind = loaded_fleet(count)
    borrowed_job = make_job(1, "nobody", pb.Shape(members=1, accelerators=1))
    fleet.reservation_table.reservations[0].job_id = "taken"
    guaranteed_job = make_job(2, "team-0", pb.Shape(members=1, accelerators=8, adjacency=pb.WORKER))
    members = min(256, count)
    gang_job = make_job(3, "nobody", pb.Shape(members=members, accelerators=1))
    listed = list(fleet.workers_by_id.values())
    return [
        median_time_ms(lambda: fleet.plan(borrowed_job, kind)),
        median_time_ms(lambda: fleet.plan(guaranteed_job, kind, now_ms=1e6)),
        median_time_ms(lambda: fleet.plan(gang_job, kind)),
        median_time_ms(lambda: fleet.reserve_for(gang_job.shape)),
        median_time_ms(lambda: fleet.set_workers(listed, set())),
        median_time_ms(lambda: fleet.set_workers(listed, {listed[0].id} - fleet._unusable_workers)),
        place_burst(fleet, kind),
    ]


def main() -> None:
    """Measure every size of the fleet and print the table."""
    table = Table(
        "scale",
        "Time of one decision in ms, by size of the fleet (its share of 10,000 tasks running)",
        [
            "workers",
            "borrowed",
            "guaranteed",
            "gang of 256",
            "reserve for it",
            "refresh, same",
            "refresh, changed",
            "burst of 1,000",
        ],
        values=7,
    )
    for count in SIZES:
        table.add(count, *measure(count))
    table.show()


if __name__ == "__main__":
    main()
