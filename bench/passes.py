"""Measure how the time of a scheduling pass grows with the fleet and with work that has no place.

``python -m bench.passes`` queues a burst of all kinds of jobs for an empty fleet and times the
first pass, which fills it, and the third, which finds it full. Then it queues urgent steps that
wait for a full runner in front of a small job, and counts the passes until that job is placed.
"""

import time

from bench.experiment import SimulatedDay
from bench.loads import DEPLOYMENTS, Deployment, LoadPattern, arrivals
from bench.tables import Table, median
from carawayroute.fleet.jobs import JOB_KEY
from carawayroute.fleet.types import Capacity
from carawayroute_schema import records_pb2 as pb

SEEDS = (1, 2, 3)
FLEET_SIZES = (24, 176, 800, 3_200)
# The waiting jobs are those that arrive in this time at twice the normal load.
BURST_S = 6.0
BURST_LOAD = 2.0
UNPLACEABLE_STAGES = (400, 2_400, 10_000)
LABEL = "full"


def scaled_deployment(runners: int) -> Deployment:
    """Return the cornice-grown deployment with another number of runners."""
    base = DEPLOYMENTS["cornice-grown"]
    return Deployment(
        base.name,
        runners,
        base.runners_per_rack,
        base.capacity,
        base.teams,
        base.kinds,
        base.checkpoint_ms,
    )


def pass_times_ms(runners: int, seed: int) -> tuple[list[float], int]:
    """Return the times of three consecutive passes and the number of jobs queued before them."""
    share = runners / DEPLOYMENTS["cornice-grown"].runners
    deployment = scaled_deployment(runners)
    arrivals_in_order = arrivals(deployment, LoadPattern(BURST_LOAD * share, ()), BURST_S, seed)
    day = SimulatedDay(deployment, arrivals_in_order, seed)
    for arrival in arrivals_in_order:
        day.now_ms = arrival.at_ms
        day.admit(arrival)
    times_ms = []
    for _ in range(3):
        started_s = time.perf_counter()
        day.plan_once()
        times_ms.append((time.perf_counter() - started_s) * 1000)
    return times_ms, len(arrivals_in_order)


def passes_behind(runners: int, stages: int, demands: int, seed: int) -> tuple[float, int]:
    """Return the time of a pass with unplaceable stages, in ms, and the passes before a small job.

    :param demands: number of different demands of the stages.
    """
    day = SimulatedDay(scaled_deployment(runners), [], seed)
    full = day.runners[0]
    full.labels |= {LABEL}
    day.free_by_id[full.id] = Capacity(0, 0, 0)
    queue, team = day.deployment.kinds[0].queue, day.deployment.make_teams()[0]
    for number in range(stages):
        step = pb.Step(count=1, memory_mb=1_000 + number % demands, estimate_ms=1_000, label=LABEL)
        _accept(day, pb.Job(id=f"{number:016x}", queue=queue.name, steps=[step], team=team.name))
    small = pb.Step(count=1, cpu_millis=1_000, memory_mb=1_000, estimate_ms=1_000)
    last = pb.Job(id="f" * 16, queue=queue.name, steps=[small], priority=1, accepted_ms=1)
    _accept(day, last)
    stage = day.job_table.jobs_by_id[last.id].stage(0, 0)
    times_ms = []
    while not stage.placed():
        started_s = time.perf_counter()
        day.plan_once()
        times_ms.append((time.perf_counter() - started_s) * 1000)
    return median(times_ms), len(times_ms)


def _accept(day: SimulatedDay, job: pb.Job) -> None:
    job.service = day.runners[0].service
    job.stretch = 1.5
    number = len(day.job_table.jobs_by_id)
    day.job_table.apply(number, JOB_KEY + job.id, job.SerializeToString(), 0.0)


def main() -> None:
    """Measure the passes and print the tables."""
    table = Table(
        "passes",
        "Time of a scheduling pass over a burst, in ms on this machine, median of seeds 1 to 3",
        ["runners", "jobs waiting", "first pass ms", "third pass ms"],
        2,
    )
    for runners in FLEET_SIZES:
        first, third, jobs = [], [], 0
        for seed in SEEDS:
            times, jobs = pass_times_ms(runners, seed)
            first.append(times[0])
            third.append(times[2])
        table.add(runners, jobs, median(first), median(third))
    table.show()
    table = Table(
        "passes_behind_unplaceable_work",
        "Passes until a job is placed behind urgent stages that wait for a full runner, seed 1",
        ["runners", "stages", "demands", "pass ms", "passes"],
        2,
    )
    for runners in FLEET_SIZES:
        for stages in UNPLACEABLE_STAGES:
            for demands in (1, stages):
                table.add(runners, stages, demands, *passes_behind(runners, stages, demands, 1))
    table.show()


if __name__ == "__main__":
    main()
