"""Measure how the time of a scheduling pass grows with the fleet.

``python -m bench.passes`` queues a burst of all kinds of jobs for an empty fleet and times the
first pass, which fills it, and the third, which finds it full.
"""

import time

from bench.experiment import SimulatedDay
from bench.loads import DEPLOYMENTS, Deployment, LoadPattern, arrivals
from bench.tables import Table, median

SEEDS = (1, 2, 3)
FLEET_SIZES = (24, 176, 800, 3_200)
# The waiting jobs are those that arrive in this time at twice the normal load.
BURST_S = 6.0
BURST_LOAD = 2.0


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


def main() -> None:
    """Measure the passes and print the table."""
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


if __name__ == "__main__":
    main()
