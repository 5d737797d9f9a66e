"""Room on runners that is taken by runs which the planner does not know.

A runner may run a task of a job that was cancelled or purged before the planner took over, or one
that it started late. Such a run is stopped, and takes room until a report no longer lists it.
"""

from collections.abc import Iterable

from carawayroute.fleet.jobs import JobTable
from carawayroute.fleet.types import Capacity, Runner, RunningTask, TaskId


class StrayRuns:
    """Demands of the stray runs in the last report of each runner.

    :param job_table: tells what the tasks need.
    """

    __slots__ = ("_demands_by_runner", "_job_table")

    def __init__(self, job_table: JobTable) -> None:
        self._job_table = job_table
        self._demands_by_runner: dict[str, list[Capacity | None]] = {}

    def note_report(self, runner_id: str, strays: Iterable[RunningTask]) -> None:
        """Replace the stray runs of a runner by those in its new report."""
        demands = [self._demand(item.task) for item in strays]
        if demands:
            self._demands_by_runner[runner_id] = demands
        else:
            self._demands_by_runner.pop(runner_id, None)

    def _demand(self, name: str) -> Capacity | None:
        """Return what a task needs, None if that is unknown."""
        try:
            task = TaskId.parse(name)
        except ValueError:
            return None
        job = self._job_table.jobs_by_id.get(task.job_id)
        if job is None or task.step >= len(job.record.steps):
            return None
        return Capacity.needed_by(job.record.steps[task.step])

    def subtract_from(self, free: Capacity, runner: Runner) -> None:
        """Subtract what the stray runs of a runner take from its free capacity.

        A run of an unknown task may take all of it.
        """
        for demand in self._demands_by_runner.get(runner.id, ()):
            free.subtract(runner.capacity if demand is None else demand)
