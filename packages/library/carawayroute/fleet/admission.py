"""Admission control: rejects jobs that cannot end while their result still counts.

During a burst, a job whose expected end lies past that limit is rejected on submission, with a
retry-after time by which the backlog should have shrunk. Rejected jobs reserve no capacity.

Load pattern: some jobs wait for a rack whose runners are away or taken by long tasks. Other jobs
have the rest of the fleet to themselves, and would be rejected beside it if that work counted. The
planner tells how much of the open work keeps no other work waiting.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping

from carawayroute.fleet import ranking
from carawayroute.fleet.jobs import Job, JobTable, Stage
from carawayroute_schema import records_pb2 as pb

# Share of the accelerators that is in use while tasks of all sizes wait.
PACKING_EFFICIENCY = 0.8
MIN_RETRY_AFTER_MS = 500
MAX_RETRY_AFTER_MS = 8_000


class AdmissionDecision:
    """The result of an admission check.

    :param reason: why the job is rejected, empty if it is accepted.
    :param retry_after_ms: time after which the same job may be accepted, 0 if it is accepted.
    """

    __slots__ = ("accepted", "reason", "retry_after_ms")

    def __init__(self, accepted: bool, reason: str = "", retry_after_ms: float = 0.0) -> None:
        self.accepted = accepted
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class AdmissionController:
    """Accept or reject new jobs by the backlog of open work at their priority or a more urgent one.

    :param job_table: the jobs known to this instance.
    :param accelerators: returns the number of accelerators of the fleet, 0 while it is unknown.
    :param harmless_work: returns the part of the open work that keeps no other work waiting, by
        priority, in accelerator-milliseconds.
    """

    __slots__ = ("_accelerators", "_harmless_work", "job_table")

    def __init__(
        self,
        job_table: JobTable,
        accelerators: Callable[[], int],
        harmless_work: Callable[[], Mapping[int, int]] = dict,
    ) -> None:
        self.job_table = job_table
        self._accelerators = accelerators
        self._harmless_work = harmless_work

    def backlog_ms(self, priority: int, harmless_work: Mapping[int, int] | None = None) -> float:
        """Return the time in ms that the fleet needs for the open work up to a priority.

        :param priority: lower numbers are more urgent and are included.
        :param harmless_work: work that does not count, by priority.
        """
        work = 0.0
        for job in self.job_table.open_by_id.values():
            if job.closed or job.record.priority > priority:
                continue
            for number, step in enumerate(job.record.steps):
                work += _work(step, _count_left(job, number))
        for level, amount in (harmless_work or {}).items():
            if level <= priority:
                work -= amount
        # Some of it may have ended since it was counted.
        work = max(0.0, work)
        return work / (max(1, self._accelerators()) * PACKING_EFFICIENCY)

    def decide(self, job: pb.Job, critical_path_ms: float) -> AdmissionDecision:
        """Decide whether a new job is accepted; every job is while the fleet's size is unknown.

        :param critical_path_ms: declared run time of the longest chain of dependent steps.
        """
        if not self._accelerators():
            return AdmissionDecision(True)
        # Jobs that ask for particular runners may have to wait for them behind such work.
        harmless_work = {} if any(step.label for step in job.steps) else self._harmless_work()
        wait_ms = self.backlog_ms(job.priority, harmless_work)
        allowed_ms = ranking.LATE_FACTOR * (job.stretch * critical_path_ms + job.target_ms)
        if wait_ms + critical_path_ms <= allowed_ms:
            return AdmissionDecision(True)
        retry_ms = min(
            MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms + critical_path_ms - allowed_ms)
        )
        return AdmissionDecision(False, "backlog", retry_ms)


def harmless_work(
    jobs: Iterable[Job], free_services: Collection[str], stuck: Iterable[Stage]
) -> dict[int, int]:
    """Return the open work that keeps no other work waiting.

    :param jobs: all open jobs.
    :param free_services: services whose runners are mostly free and that have no queue.
    :param stuck: stages that wait for particular runners.
    :return: accelerator-milliseconds by priority.
    """
    work = Counter(open_work(job for job in jobs if job.record.service in free_services))
    work.update(
        stuck_work(stage for stage in stuck if stage.job.record.service not in free_services)
    )
    return dict(work)


def stuck_work(stages: Iterable[Stage]) -> dict[int, int]:
    """Return the work that cannot go on while some stages cannot be placed.

    Like the backlog, it contains the first occurrence of scheduled jobs only.

    :param stages: stages that wait for particular runners.
    :return: accelerator-milliseconds by priority.
    """
    steps_by_job: dict[str, set[int]] = {}
    jobs_by_id: dict[str, Job] = {}
    for stage in stages:
        if stage.occurrence == 0:
            jobs_by_id[stage.job.id] = stage.job
            steps_by_job.setdefault(stage.job.id, set()).add(stage.number)
    work: Counter[int] = Counter()
    for job_id, job in jobs_by_id.items():
        stuck = steps_by_job[job_id]
        for number, step in enumerate(job.record.steps):
            if number in stuck:
                count = len(job.stage(0, number).waiting())
            elif stuck.intersection(step.depends_on):
                stuck.add(number)
                count = _count_left(job, number)
            else:
                continue
            work[job.record.priority] += _work(step, count)
    return dict(work)


def open_work(jobs: Iterable[Job]) -> dict[int, int]:
    """Return the work of open jobs, like the backlog of their first occurrences only.

    :return: accelerator-milliseconds by priority.
    """
    work: Counter[int] = Counter()
    for job in jobs:
        for number, step in enumerate(job.record.steps):
            work[job.record.priority] += _work(step, _count_left(job, number))
    return dict(work)


def _count_left(job: Job, number: int) -> int:
    """Return the number of tasks of a step that are not done, in the first occurrence."""
    stage = job.stages_by_key.get((0, number))
    count: int = job.record.steps[number].count
    return count if stage is None else count - sum(stage.done)


def _work(step: pb.Step, count: int) -> int:
    """Return the work of tasks of a step, in accelerator-milliseconds."""
    return count * max(1, step.accelerators) * step.estimate_ms
