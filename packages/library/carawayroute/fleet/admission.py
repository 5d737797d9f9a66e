"""Which jobs are accepted while more is asked for than the fleet holds.

Answers bursts of one kind of work: a job that could only end after its worth is gone is turned away
when it comes, with the time after which the backlog will have shrunk, and holds no room meanwhile.
"""

from collections.abc import Callable

from carawayroute.fleet import ranking
from carawayroute.fleet.jobs import JobTable
from carawayroute_schema import records_pb2 as pb

# Share of the fleet that is really used while work of all sizes waits.
PACKING_SHARE = 0.8
LEAST_RETRY_MS = 500
MOST_RETRY_MS = 8_000


class Verdict:
    """Whether a job is accepted.

    :param retry_after_ms: when the same job may be accepted, 0 for accepted ones.
    """

    __slots__ = ("accepted", "reason", "retry_after_ms")

    def __init__(self, accepted: bool, reason: str = "", retry_after_ms: float = 0.0) -> None:
        self.accepted = accepted
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class Admission:
    """Judge new jobs by the backlog of work that goes before them.

    :param accelerators: returns those of the whole fleet, 0 while they are unknown.
    """

    __slots__ = ("_accelerators", "book")

    def __init__(self, book: JobTable, accelerators: Callable[[], int]) -> None:
        self.book = book
        self._accelerators = accelerators

    def backlog_ms(self, priority: int) -> float:
        """Return how long the fleet needs for the open work of a priority and more urgent work."""
        work = 0.0
        for job in self.book.open_by_id.values():
            if job.closed or job.record.priority > priority:
                continue
            for number, step in enumerate(job.record.steps):
                stage = job.stages_by_key.get((0, number))
                left = step.count if stage is None else step.count - sum(stage.done)
                work += left * max(1, step.accelerators) * step.estimate_ms
        return work / (max(1, self._accelerators()) * PACKING_SHARE)

    def judge(self, job: pb.Job, chain_ms: float) -> Verdict:
        """Return whether a new job is accepted."""
        if not self._accelerators():
            return Verdict(True)
        wait_ms = self.backlog_ms(job.priority)
        allowed_ms = ranking.LATE_FACTOR * (job.stretch * chain_ms + job.target_ms)
        if wait_ms + chain_ms <= allowed_ms:
            return Verdict(True)
        retry_ms = min(MOST_RETRY_MS, max(LEAST_RETRY_MS, wait_ms + chain_ms - allowed_ms))
        return Verdict(False, "backlog", retry_ms)
