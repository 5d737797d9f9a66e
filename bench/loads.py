"""Seeded workloads of the deployments, with the sizes and rates of their specifications."""

import math
import random

from carawayroute.fleet.types import Capacity, Queue, Runner, Team
from carawayroute_schema import records_pb2 as pb

ACCELERATOR_CHOICES = (1, 2, 4, 8, 8)
# Share of all accelerators that teams hold as guarantees, and Zipf exponent of the team sizes.
GUARANTEED_SHARE = 0.62
TEAM_SKEW = 1.2


class JobKind:
    """Distribution of the jobs of one queue.

    :param arrivals_per_s: arrivals per second at load 1.0.
    :param tasks_per_step: mean number of tasks of a step, standard deviation of its logarithm and
        maximum.
    :param work_ms: run time of a task, likewise.
    :param task_demand: CPU and memory of a task.
    :param objective_values: value of an average job that ends in time, and of one that ends late.
    :param accelerators: numbers of accelerators of a task, drawn with equal probability.
    :param gang_share: share of jobs that are gangs.
    :param same_rack_share: share of gang steps that are slower when spread over racks.
    :param checkpoint_share: share of steps that save checkpoints.
    :param estimate_error: maximum relative error of declared run times.
    :param second_step_share: share of jobs with a second step.
    :param per_runner_bound_share: share of steps that limit the number of tasks on one runner.
    :param initial_jobs: number of jobs that arrive at the start of the day.
    """

    def __init__(
        self,
        queue: Queue,
        arrivals_per_s: float,
        tasks_per_step: tuple[float, float, int],
        work_ms: tuple[float, float, float],
        task_demand: Capacity,
        objective_values: tuple[float, float],
        accelerators: tuple[int, ...] = ACCELERATOR_CHOICES,
        gang_share: float = 1.0,
        same_rack_share: float = 0.6,
        checkpoint_share: float = 0.0,
        estimate_error: float = 0.5,
        second_step_share: float = 0.0,
        per_runner_bound_share: float = 0.0,
        initial_jobs: int = 0,
    ) -> None:
        self.queue = queue
        self.arrivals_per_s = arrivals_per_s
        self.tasks_per_step = tasks_per_step
        self.work_ms = work_ms
        self.task_demand = task_demand
        self.objective_values = objective_values
        self.accelerators = accelerators
        self.gang_share = gang_share
        self.same_rack_share = same_rack_share
        self.checkpoint_share = checkpoint_share
        self.estimate_error = estimate_error
        self.second_step_share = second_step_share
        self.per_runner_bound_share = per_runner_bound_share
        self.initial_jobs = initial_jobs


class Deployment:
    """Runners, teams and kinds of jobs of one deployment.

    :param runners: number of runners.
    :param capacity: of each runner.
    :param teams: number of teams.
    :param checkpoint_ms: work between two checkpoints.
    :param stop_ms: maximum time that a task takes to stop.
    :param cross_rack_factor: run time factor of tasks that should share a rack but do not.
    """

    def __init__(
        self,
        name: str,
        runners: int,
        runners_per_rack: int,
        capacity: Capacity,
        teams: int,
        kinds: list[JobKind],
        checkpoint_ms: float,
        stop_ms: float = 200.0,
        cross_rack_factor: float = 3.0,
    ) -> None:
        self.name = name
        self.runners = runners
        self.runners_per_rack = runners_per_rack
        self.capacity = capacity
        self.teams = teams
        self.kinds = kinds
        self.checkpoint_ms = checkpoint_ms
        self.stop_ms = stop_ms
        self.cross_rack_factor = cross_rack_factor

    def make_runners(self) -> list[Runner]:
        """Return the runners in the order of their racks."""
        return [
            Runner(
                f"w{number}",
                "s",
                "h:1",
                "a",
                self.capacity.copy(),
                rack=f"r-{number // self.runners_per_rack}",
            )
            for number in range(self.runners)
        ]

    def make_teams(self) -> list[Team]:
        """Return teams of unequal size with their guarantees."""
        weights = [(number + 1) ** -TEAM_SKEW for number in range(self.teams)]
        total = self.runners * self.capacity.accelerators * GUARANTEED_SHARE
        return [
            Team(f"team-{number}", [f"key-{number}"], 8 * int(total * weight / sum(weights) / 8))
            for number, weight in enumerate(weights)
        ]


def _job_kinds(
    names: tuple[str, str, str],
    rates: tuple[float, float, float],
    widths: tuple[float, float, float],
    work_ms: tuple[float, float, float],
    demands: tuple[Capacity, Capacity, Capacity],
    urgent_target_ms: int,
    initial_jobs: tuple[int, int],
) -> list[JobKind]:
    queues = [
        Queue(names[0], "h", "/0/", "s", 1, 3, 3.0, 1_200),
        Queue(names[1], "h", "/1/", "s", 0, 4, 1.5, urgent_target_ms),
        Queue(names[2], "h", "/2/", "s", 2, 3, 3.0, 3_000),
    ]
    return [
        JobKind(
            queues[0], rates[0], (widths[0], 0.8, 60), (work_ms[0], 0.3, 11_000.0), demands[0],
            (3.0, 0.9), same_rack_share=0.3, checkpoint_share=0.5, initial_jobs=initial_jobs[0],
        ),
        JobKind(
            queues[1], rates[1], (widths[1], 0.8, 28), (work_ms[1], 0.5, 8_000.0), demands[1],
            (4.0, 0.8), gang_share=0.92, same_rack_share=0.6, estimate_error=0.2,
        ),
        JobKind(
            queues[2], rates[2], (widths[2], 0.8, 180), (work_ms[2], 0.3, 11_000.0), demands[2],
            (1.0, 0.3), accelerators=(1,), gang_share=0.0, same_rack_share=0.0,
            checkpoint_share=0.45, second_step_share=0.2, per_runner_bound_share=0.12,
            initial_jobs=initial_jobs[1],
        ),
    ]  # fmt: skip


DEPLOYMENTS = {
    "cornice": Deployment(
        "cornice", 24, 8, Capacity(64_000, 262_144, 8), 4,
        _job_kinds(
            ("mockup", "quote", "plan"), (0.429, 1.2, 0.34), (4, 3, 12), (8_500, 2_500, 9_500),
            (Capacity(26_000, 140_000, 0), Capacity(7_500, 22_000, 0), Capacity(5_600, 16_000, 0)),
            400, (2, 4),
        ),
        1_000.0, stop_ms=400.0,
    ),
    "deckmali": Deployment(
        "deckmali", 24, 8, Capacity(32_000, 65_536, 8), 4,
        _job_kinds(
            ("pack", "preview", "export"), (0.314, 0.764, 0.295), (5, 3, 16), (8_500, 2_500, 7_600),
            (Capacity(13_000, 35_000, 0), Capacity(3_700, 5_500, 0), Capacity(2_800, 4_000, 0)),
            300, (2, 4),
        ),
        2_000.0, stop_ms=400.0,
    ),
    "cornice-grown": Deployment(
        "cornice-grown", 176, 8, Capacity(64_000, 262_144, 8), 10,
        _job_kinds(
            ("mockup", "quote", "plan"), (1.86, 5.55, 1.82), (10, 4.7, 30), (6_800, 2_500, 6_100),
            (Capacity(26_000, 140_000, 0), Capacity(7_500, 22_000, 0), Capacity(5_600, 16_000, 0)),
            400, (23, 27),
        ),
        500.0,
    ),
    "deckmali-grown": Deployment(
        "deckmali-grown", 176, 20, Capacity(32_000, 131_072, 8), 10,
        _job_kinds(
            ("pack", "preview", "export"), (0.826, 5.5, 1.27), (13, 5, 39), (11_000, 2_500, 6_100),
            (Capacity(13_000, 70_000, 0), Capacity(3_700, 11_000, 0), Capacity(2_800, 8_000, 0)),
            304, (14, 27),
        ),
        1_000.0,
    ),
    "signorders-grown": Deployment(
        "signorders-grown", 176, 12, Capacity(64_000, 262_144, 8), 10,
        _job_kinds(
            ("nest", "check", "proof"), (0.912, 4.85, 0.719), (13, 5, 39), (7_200, 2_100, 8_100),
            (Capacity(26_000, 140_000, 0), Capacity(7_500, 22_000, 0), Capacity(5_600, 16_000, 0)),
            411, (14, 27),
        ),
        500.0, stop_ms=900.0,
    ),
    "deckmali-large": Deployment(
        "deckmali-large", 270, 20, Capacity(32_000, 131_072, 8), 24,
        _job_kinds(
            ("pack", "preview", "export"), (1.38, 8.6, 2.1), (13, 5.3, 38), (11_000, 2_500, 6_100),
            (Capacity(13_000, 38_000, 0), Capacity(3_700, 15_000, 0), Capacity(2_800, 8_200, 0)),
            302, (27, 31),
        ),
        1_000.0,
    ),
}  # fmt: skip


class Arrival:
    """A job with the time when it is first sent and its real run time.

    :param work_ms: run time of the tasks of each step on a runner of normal speed, in one rack.
    """

    __slots__ = ("at_ms", "job", "kind", "work_ms")

    def __init__(self, at_ms: float, job: pb.Job, kind: JobKind, work_ms: list[float]) -> None:
        self.at_ms = at_ms
        self.job = job
        self.kind = kind
        self.work_ms = work_ms

    @property
    def objective_ms(self) -> float:
        """Return the time after the first send within which the job earns its full value."""
        return self.kind.queue.deadline_factor * sum(self.work_ms) + self.kind.queue.target_ms


def _draw_lognormal(rng: random.Random, distribution: tuple[float, float, float]) -> float:
    """Draw from a log-normal distribution given by its mean, log deviation and maximum."""
    mean, spread, maximum = distribution
    return min(maximum, rng.lognormvariate(math.log(mean) - spread * spread / 2, spread))


class LoadPattern:
    """Arrival rate over time.

    :param load: factor of the normal arrival rates of the deployment.
    :param bursts: (start in s, duration in s, factor, index of the kind or -1 for all kinds).
    """

    def __init__(self, load: float, bursts: tuple[tuple[float, float, float, int], ...]) -> None:
        self.load = load
        self.bursts = bursts

    def factor(self, at_s: float, kind: int) -> float:
        """Return the factor of a kind's normal arrival rate at a time."""
        factor = self.load
        for from_s, for_s, multiplier, kind_number in self.bursts:
            if from_s <= at_s < from_s + for_s and kind_number in (-1, kind):
                factor *= multiplier
        return factor


PATTERNS = {
    "quiet": LoadPattern(0.6, ()),
    "bursts": LoadPattern(0.95, ((2, 6, 2.1, 1), (4, 5, 2.2, 2), (20, 4, 1.7, -1))),
    "high": LoadPattern(1.1, ((6, 4, 1.6, 1), (18, 5, 1.7, -1))),
}


def arrivals(
    deployment: Deployment, pattern: LoadPattern, seconds: float, seed: int
) -> list[Arrival]:
    """Return the jobs of a day in the order of their arrival."""
    rng = random.Random(seed)
    teams = deployment.make_teams()
    weights = [team.guaranteed_accelerators for team in teams]
    jobs = []
    for number, kind in enumerate(deployment.kinds):
        times_ms = [0.0] * kind.initial_jobs
        max_factor = max(pattern.factor(step / 10, number) for step in range(int(seconds * 10)))
        at_s = 0.0
        while True:
            at_s += rng.expovariate(kind.arrivals_per_s * max_factor)
            if at_s >= seconds:
                break
            if rng.random() < pattern.factor(at_s, number) / max_factor:
                times_ms.append(at_s * 1000)
        for at_ms in times_ms:
            team = rng.choices(teams, weights)[0]
            jobs.append(_arrival(rng, kind, team, at_ms, len(jobs)))
    return sorted(jobs, key=lambda arrival: arrival.at_ms)


def _arrival(rng: random.Random, kind: JobKind, team: Team, at_ms: float, number: int) -> Arrival:
    steps, step_work_ms = [], []
    gang = rng.random() < kind.gang_share
    for index in range(2 if rng.random() < kind.second_step_share else 1):
        work_ms = _draw_lognormal(rng, kind.work_ms)
        declared_ms = work_ms * rng.uniform(1 - kind.estimate_error, 1 + kind.estimate_error)
        count = max(1, round(_draw_lognormal(rng, kind.tasks_per_step)))
        steps.append(
            pb.Step(
                count=count,
                cpu_millis=kind.task_demand.cpu_millis,
                memory_mb=kind.task_demand.memory_mb,
                accelerators=rng.choice(kind.accelerators),
                estimate_ms=int(declared_ms),
                gang=gang and count > 1,
                same_rack=gang and rng.random() < kind.same_rack_share,
                checkpoints=rng.random() < kind.checkpoint_share,
                most_per_runner=(
                    rng.choice((1, 2)) if rng.random() < kind.per_runner_bound_share else 0
                ),
                depends_on=[0] if index else [],
            )
        )
        step_work_ms.append(work_ms)
    queue = kind.queue
    job = pb.Job(
        id=f"{number:016x}",
        steps=steps,
        queue=queue.name,
        service=queue.service,
        team=team.name,
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        stretch=queue.deadline_factor,
        target_ms=queue.target_ms,
    )
    return Arrival(at_ms, job, kind, step_work_ms)
