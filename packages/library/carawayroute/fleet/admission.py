"""Admission control: rejects jobs that cannot end while their result still counts.

During a burst, a job whose expected end lies past that limit is rejected on submission, with a
retry-after time by which the backlog should have shrunk. Rejected jobs reserve no capacity.
"""

from collections.abc import Callable

from carawayroute.fleet import ranking
from carawayroute.fleet.jobs import JobTable
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
    """

    __slots__ = ("_accelerators", "job_table")

    def __init__(self, job_table: JobTable, accelerators: Callable[[], int]) -> None:
        self.job_table = job_table
        self._accelerators = accelerators

    def backlog_ms(self, priority: int) -> float:
        """Return the time in ms that the fleet needs for the open work up to a priority.

        :param priority: lower numbers are more urgent and are included.
        """
        work = 0.0
        for job in self.job_table.open_by_id.values():
            if job.closed or job.record.priority > priority:
                continue
            for number, step in enumerate(job.record.steps):
                stage = job.stages_by_key.get((0, number))
                left = step.count if stage is None else step.count - sum(stage.done)
                work += left * max(1, step.accelerators) * step.estimate_ms
        return work / (max(1, self._accelerators()) * PACKING_EFFICIENCY)

    def decide(self, job: pb.Job, critical_path_ms: float) -> AdmissionDecision:
        """Decide whether a new job is accepted; every job is while the fleet's size is unknown.

        :param critical_path_ms: declared run time of the longest chain of dependent steps.
        """
        if not self._accelerators():
            return AdmissionDecision(True)
        wait_ms = self.backlog_ms(job.priority)
        allowed_ms = ranking.LATE_FACTOR * (job.stretch * critical_path_ms + job.target_ms)
        if wait_ms + critical_path_ms <= allowed_ms:
            return AdmissionDecision(True)
        retry_ms = min(
            MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms + critical_path_ms - allowed_ms)
        )
        return AdmissionDecision(False, "backlog", retry_ms)
