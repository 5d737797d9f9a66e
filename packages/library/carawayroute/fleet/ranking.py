"""Ranking of waiting work.

When the load exceeds the fleet's capacity, urgent jobs within their team's guarantee come first.
All other jobs are ranked by value per runner-millisecond, reduced once they can no longer end on
time. The score grows with waiting time, so that no accepted job starves.
"""

from collections.abc import Callable

from carawayroute.fleet.jobs import Job, JobTable, Stage
from carawayroute.fleet.types import Capacity, Configuration
from carawayroute_schema import records_pb2 as pb

# A job that ends within this many times its deadline counts as late; after that it has no value.
LATE_FACTOR = 3.0
# Value of a late job relative to one on time; the deployment specifications give 0.2 to 0.3.
LATE_VALUE_SHARE = 0.27
# Share of a job's value that does not depend on its size, and the maximum of its value relative to
# a typical job; both from the deployment specifications.
FIXED_VALUE_SHARE = 0.3
MAX_VALUE_FACTOR = 4.0
URGENT_PRIORITY = 0
# Value of a typical job by priority, as the deployment specifications weigh their request kinds.
VALUE_BY_PRIORITY = (4.0, 3.0, 1.0)
# Waiting time that doubles a job's score.
AGING_MS = 15_000


class DominantShare:
    """Size of work as its dominant share: the largest share of any resource of a typical runner."""

    __slots__ = ("typical",)

    def __init__(self, typical: Capacity) -> None:
        self.typical = typical

    def of_step(self, step: pb.Step, count: int) -> float:
        """Return the size of ``count`` tasks of a step, in runners."""
        typical = self.typical
        share = max(
            step.accelerators / max(1, typical.accelerators),
            0.0 if step.fills else step.cpu_millis / max(1, typical.cpu_millis),
            step.memory_mb / max(1, typical.memory_mb),
        )
        return share * count

    def of_job(self, job: pb.Job) -> float:
        """Return the declared size of a job, in runner-milliseconds."""
        return sum(self.of_step(step, step.count) * step.estimate_ms for step in job.steps)


class JobValues:
    """Value of jobs to their callers, relative to the mean job size of their queue.

    Each job is added to the mean of its queue once; the planner keeps one instance per term.
    """

    __slots__ = ("_count_by_queue", "_size_by_job", "_sum_by_queue", "dominant_share")

    def __init__(self, dominant_share: DominantShare) -> None:
        self.dominant_share = dominant_share
        self._size_by_job: dict[str, float] = {}
        self._sum_by_queue: dict[str, float] = {}
        self._count_by_queue: dict[str, int] = {}

    def add_open_jobs(self, job_table: JobTable) -> None:
        """Add the open jobs to the means of their queues."""
        for job in job_table.open_by_id.values():
            self.size(job.record)

    def size(self, job: pb.Job) -> float:
        """Return the declared size of a job, in runner-ms, and add new jobs to the queue's mean."""
        size = self._size_by_job.get(job.id)
        if size is None:
            size = self.dominant_share.of_job(job)
            self._size_by_job[job.id] = size
            self._sum_by_queue[job.queue] = self._sum_by_queue.get(job.queue, 0.0) + size
            self._count_by_queue[job.queue] = self._count_by_queue.get(job.queue, 0) + 1
        return size

    def value_of(self, job: pb.Job) -> float:
        """Return the value of a job that ends on time."""
        own = self.size(job)
        mean = self._sum_by_queue[job.queue] / self._count_by_queue[job.queue]
        relative = own / mean if mean > 0 else 1.0
        typical = VALUE_BY_PRIORITY[min(job.priority, len(VALUE_BY_PRIORITY) - 1)]
        return typical * min(
            MAX_VALUE_FACTOR, FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * relative
        )

    def value_per_runner_ms(self, job: pb.Job) -> float:
        """Return the value of a job per runner-millisecond."""
        return self.value_of(job) / max(1.0, self.size(job))


def remaining_value_share(
    job: Job, critical_path_ms: float, remaining_ms: float, wall_ms: float
) -> float:
    """Return the share of its value that a job still has if it is placed now.

    :param critical_path_ms: expected duration of the critical path of the whole job.
    :param remaining_ms: expected duration of the critical path of its unfinished steps.
    :param wall_ms: current wall-clock time.
    """
    record = job.record
    allowed_ms = record.stretch * critical_path_ms + record.target_ms
    spent_ms = wall_ms - record.accepted_ms + remaining_ms
    if spent_ms <= allowed_ms:
        return 1.0
    return LATE_VALUE_SHARE if spent_ms <= LATE_FACTOR * allowed_ms else 0.0


def aging_factor(job: Job, wall_ms: float) -> float:
    """Return the factor by which waiting time raises a job's score."""
    return 1.0 + max(0.0, wall_ms - job.record.accepted_ms) / AGING_MS


def urgent_within_guarantees(
    jobs: list[Job],
    configuration: Configuration,
    can_run: Callable[[Job], bool] = lambda job: True,
) -> set[str]:
    """Return the ids of the urgent jobs that fit in the guaranteed accelerators of their teams.

    Jobs are counted in order of acceptance, those that no runner can take after all others.

    :param can_run: returns whether the runners could take a job if they were empty.
    """
    used_by_team: dict[str, int] = {}
    urgent_job_ids = set()
    urgent = [job for job in jobs if job.record.priority == URGENT_PRIORITY and not job.closed]
    for job in sorted(urgent, key=lambda one: (not can_run(one), one.record.accepted_ms, one.id)):
        team = configuration.teams_by_name.get(job.record.team)
        if team is None:
            continue
        accelerators_needed = max(step.count * step.accelerators for step in job.record.steps)
        used = used_by_team.get(team.name, 0) + accelerators_needed
        if used <= team.guaranteed_accelerators:
            used_by_team[team.name] = used
            urgent_job_ids.add(job.id)
    return urgent_job_ids


def remaining_critical_path_ms(job: Job, occurrence: int, estimates: list[float]) -> float:
    """Return the expected duration of the critical path of the unfinished steps.

    :param estimates: expected duration of each step, in ms.
    """
    finish_ms: list[float] = []
    for number, step in enumerate(job.record.steps):
        stage: Stage | None = job.stages_by_key.get((occurrence, number))
        own_ms = 0.0 if stage is not None and stage.finished else estimates[number]
        finish_ms.append(own_ms + max((finish_ms[one] for one in step.depends_on), default=0.0))
    return max(finish_ms, default=0.0)
