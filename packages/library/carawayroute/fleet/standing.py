"""Jobs of which nothing runs although a task's turn has come, by what they wait for.

Shows operators whether such work waits for room, the store, a runner's answer, or the end of an
earlier run on a runner that is out of reach.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from carawayroute.fleet.runs import Run

PLACEMENT = "placement"
INHERITED_RUNS = "inherited runs"
RECORD = "record or victims"
START = "start"
STOP = "stop"
RUNNER = "runner out of reach"


def waits_for(runs: Iterable[Run], unreachable: Iterable[str]) -> str:
    """Return what a job waits for that has runs, empty if one of them is at work.

    :param runs: the job's current runs.
    :param unreachable: runners that do not answer.
    """
    causes = set()
    for run in runs:
        if run.runner in unreachable:
            causes.add(RUNNER)
        elif run.withdrawn:
            causes.add(STOP)
        elif run.started_ms is not None or run.may_have_begun and run.sampled:
            return ""
        else:
            ordered = run.stage.ordered_runs[run.index] >= run.number
            causes.add(START if ordered else RECORD)
    return next(cause for cause in (RUNNER, STOP, START, RECORD) if cause in causes)


class StandingJobs:
    """The jobs that stand still, as of the last update.

    :ivar count_by_cause: number of such jobs.
    """

    __slots__ = ("_since_ms_by_job", "count_by_cause")

    def __init__(self) -> None:
        self._since_ms_by_job: dict[str, float] = {}
        self.count_by_cause: Counter[str] = Counter()

    def update(self, cause_by_job: Mapping[str, str], now_ms: float) -> None:
        """Replace the jobs that stand still, and keep since when those known before do."""
        self.count_by_cause = Counter(cause_by_job.values())
        self._since_ms_by_job = {
            job_id: self._since_ms_by_job.get(job_id, now_ms) for job_id in cause_by_job
        }

    def longest(self, count: int) -> list[str]:
        """Return the ids of the jobs that have stood still the longest."""
        return sorted(self._since_ms_by_job, key=self._since_ms_by_job.__getitem__)[:count]

    def longest_ms(self, now_ms: float) -> float:
        """Return for how long the first of them has stood still, 0 if there is none."""
        return now_ms - min(self._since_ms_by_job.values(), default=now_ms)
