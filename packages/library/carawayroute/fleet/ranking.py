"""In which order waiting work is placed.

Answers a load above what the fleet holds: urgent work within guarantees first, then what brings
callers the most for the room that it takes, as long as it can still end in time. What has waited
long gains on what has just come, so that nothing accepted waits for ever.
"""

from carawayroute.fleet.jobs import Job, JobTable, Stage
from carawayroute.fleet.types import Capacity, Configuration
from carawayroute_schema import records_pb2 as pb

# Work that ends within this many times its objective still counts, as late.
LATE_FACTOR = 3.0
# Worth of a late end beside one in time; the deployments' sheets give 0.2 to 0.3.
LATE_VALUE_SHARE = 0.27
# Part of a job's worth that does not grow with its size, and the bound on the rest, by the sheets.
FIXED_VALUE_SHARE = 0.3
MAX_VALUE_FACTOR = 4.0
URGENT_PRIORITY = 0
# Worth of a usual job by priority, as the deployments' sheets weigh their kinds of request.
VALUE_BY_PRIORITY = (4.0, 3.0, 1.0)
# Waiting this long doubles a job's claim on room.
AGING_MS = 15_000


class DominantShare:
    """How much of the fleet work takes: the largest share of a usual runner, times time."""

    __slots__ = ("typical",)

    def __init__(self, typical: Capacity) -> None:
        self.typical = typical

    def of_step(self, step: pb.Step, count: int) -> float:
        """Return runners taken by a number of tasks of a step."""
        typical = self.typical
        share = max(
            step.accelerators / max(1, typical.accelerators),
            0.0 if step.fills else step.cpu_millis / max(1, typical.cpu_millis),
            step.memory_mb / max(1, typical.memory_mb),
        )
        return share * count

    def of_job(self, job: pb.Job) -> float:
        """Return runner-milliseconds of a whole job as declared."""
        return sum(self.of_step(step, step.count) * step.estimate_ms for step in job.steps)


class JobValues:
    """What jobs are worth to their callers, by the mean size of their queue's jobs.

    Sizes are learnt once for each job; the planner keeps one of these for its term.
    """

    __slots__ = ("_count_by_queue", "_size_by_job", "_sum_by_queue", "dominant_share")

    def __init__(self, dominant_share: DominantShare) -> None:
        self.dominant_share = dominant_share
        self._size_by_job: dict[str, float] = {}
        self._sum_by_queue: dict[str, float] = {}
        self._count_by_queue: dict[str, int] = {}

    def add_open_jobs(self, job_table: JobTable) -> None:
        """Take the open jobs into the means of their queues."""
        for job in job_table.open_by_id.values():
            self.size(job.record)

    def size(self, job: pb.Job) -> float:
        """Return the runner-milliseconds of a job as declared."""
        size = self._size_by_job.get(job.id)
        if size is None:
            size = self.dominant_share.of_job(job)
            self._size_by_job[job.id] = size
            self._sum_by_queue[job.queue] = self._sum_by_queue.get(job.queue, 0.0) + size
            self._count_by_queue[job.queue] = self._count_by_queue.get(job.queue, 0) + 1
        return size

    def value_of(self, job: pb.Job) -> float:
        """Return the worth of a job that ends in time."""
        own = self.size(job)
        mean = self._sum_by_queue[job.queue] / self._count_by_queue[job.queue]
        relative = own / mean if mean > 0 else 1.0
        typical = VALUE_BY_PRIORITY[min(job.priority, len(VALUE_BY_PRIORITY) - 1)]
        return typical * min(
            MAX_VALUE_FACTOR, FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * relative
        )

    def value_per_runner_ms(self, job: pb.Job) -> float:
        """Return worth for each runner-millisecond of a job."""
        return self.value_of(job) / max(1.0, self.size(job))


def remaining_value_share(
    job: Job, critical_path_ms: float, remaining_ms: float, wall_ms: float
) -> float:
    """Return the part of its worth that a job still brings if it is placed now.

    :param chain_ms: expected time of the longest chain of its steps.
    :param remaining_ms: expected time of what is left of it.
    """
    record = job.record
    allowed_ms = record.stretch * critical_path_ms + record.target_ms
    spent_ms = wall_ms - record.accepted_ms + remaining_ms
    if spent_ms <= allowed_ms:
        return 1.0
    return LATE_VALUE_SHARE if spent_ms <= LATE_FACTOR * allowed_ms else 0.0


def aging_factor(job: Job, wall_ms: float) -> float:
    """Return the factor by which waiting raises a job's claim."""
    return 1.0 + max(0.0, wall_ms - job.record.accepted_ms) / AGING_MS


def urgent_within_guarantees(jobs: list[Job], configuration: Configuration) -> set[str]:
    """Return the urgent jobs that fit in the guaranteed accelerators of their teams.

    Jobs are counted in the order in which they were accepted.
    """
    used_by_team: dict[str, int] = {}
    urgent_job_ids = set()
    for job in sorted(jobs, key=lambda one: (one.record.accepted_ms, one.id)):
        if job.record.priority != URGENT_PRIORITY or job.closed:
            continue
        team = configuration.teams_by_name.get(job.record.team)
        if team is None:
            continue
        need = max(step.count * step.accelerators for step in job.record.steps)
        used = used_by_team.get(team.name, 0) + need
        if used <= team.guaranteed_accelerators:
            used_by_team[team.name] = used
            urgent_job_ids.add(job.id)
    return urgent_job_ids


def remaining_critical_path_ms(job: Job, occurrence: int, estimates: list[float]) -> float:
    """Return the expected time of the longest chain of steps that are not finished."""
    longest: list[float] = []
    for number, step in enumerate(job.record.steps):
        stage: Stage | None = job.stages_by_key.get((occurrence, number))
        own = 0.0 if stage is not None and stage.finished else estimates[number]
        longest.append(own + max((longest[one] for one in step.depends_on), default=0.0))
    return max(longest, default=0.0)
