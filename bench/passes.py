"""How does the time of a placing pass grow with the fleet?

``python -m bench.passes`` lets a burst of all kinds wait for an empty fleet, and times the passes
that fill it and that find it full.
"""

import time

from bench.experiment import Day
from bench.loads import DEPLOYMENTS, Deployment, LoadPattern, arrivals
from bench.tables import Table, median

SEEDS = (1, 2, 3)
FLEETS = (24, 176, 800, 3_200)
# Twice the usual load for this long waits at once.
BURST_S = 6.0
BURST_LOAD = 2.0


def fleet(runners: int) -> Deployment:
    """Return the grown deployment of cornice with another number of runners and as much load."""
    usual = DEPLOYMENTS["cornice-grown"]
    return Deployment(
        usual.name,
        runners,
        usual.per_rack,
        usual.capacity,
        usual.teams,
        usual.kinds,
        usual.checkpoint_ms,
    )


def times_ms(runners: int, seed: int) -> tuple[list[float], int]:
    """Return the times of three passes in a row, and the jobs that waited before the first."""
    share = runners / DEPLOYMENTS["cornice-grown"].runners
    deployment = fleet(runners)
    load = arrivals(deployment, LoadPattern(BURST_LOAD * share, ()), BURST_S, seed)
    day = Day(deployment, load, seed)
    for one in load:
        day.now_ms = one.at_ms
        day.admit(one)
    found = []
    for _ in range(3):
        begun = time.perf_counter()
        day.plan_once()
        found.append((time.perf_counter() - begun) * 1000)
    return found, len(load)


def main() -> None:
    """Time passes and print the table."""
    table = Table(
        "passes",
        "A placing pass over a burst: ms on this machine, median of seeds 1 to 3",
        ["runners", "jobs waiting", "first pass ms", "third pass ms"],
        2,
    )
    for runners in FLEETS:
        first, third, jobs = [], [], 0
        for seed in SEEDS:
            times, jobs = times_ms(runners, seed)
            first.append(times[0])
            third.append(times[2])
        table.add(runners, jobs, median(first), median(third))
    table.show()


if __name__ == "__main__":
    main()
