"""Judges of starts after failures and crashes, and of jobs told as failed."""

from collections import Counter

from carawayroute_standins.fleet.accepted import AcceptedJob, accepted_job
from carawayroute_standins.journal import Journal, JournalEntry

# A task may be started fewer times than this after this many runners have crashed under it.
CRASHES_TO_GIVE_UP = 3
STARTS_AFTER_CRASHES = 3
# A job may be told as failed if this many runners have crashed under one of its tasks.
CRASHES_TO_FAIL = 2


def _acknowledged_failures(journal: Journal) -> set[tuple[str, object, str]]:
    """Return task, run and runner of the ends as failed that are acknowledged at some time."""
    return {
        (str(entry.fields["task"]), entry.fields["run"], str(entry.fields["runner"]))
        for entry in journal.all("end_acknowledged")
        if entry.fields["outcome"] == "failed"
    }


def _job_id(task: str) -> str:
    return task.partition(".")[0]


def find_starts_beyond_budget(journal: Journal) -> list[str]:
    """Return the tasks that were started too often after failures or crashes.

    A task must not be started again once ``max_attempts`` of its runs have failed and these ends
    are acknowledged at some time, nor three times more after it has crashed three runners. Starts
    that a runner carried out late do not count.
    """
    found = []
    acknowledged = _acknowledged_failures(journal)
    max_attempts_by_job: dict[str, int] = {}
    failures: Counter[str] = Counter()
    crashes: Counter[str] = Counter()
    starts_after_crashes: Counter[str] = Counter()
    for entry in journal.entries:
        task = str(entry.fields.get("task", ""))
        if entry.what == "job_accepted":
            job = accepted_job(entry)
            if job is not None:
                max_attempts_by_job.setdefault(job.id, job.max_attempts)
        elif entry.what == "runner_crashed" and task:
            crashes[task] += 1
        elif entry.what == "task_ended":
            end = (task, entry.fields["run"], str(entry.fields["runner"]))
            failures[task] += end in acknowledged
        elif entry.what == "task_started" and not entry.fields.get("late"):
            max_attempts = max_attempts_by_job.get(_job_id(task), 0)
            if max_attempts and failures[task] >= max_attempts:
                found.append(f"{task} was started after {failures[task]} failed runs")
            if crashes[task] >= CRASHES_TO_GIVE_UP:
                starts_after_crashes[task] += 1
                if starts_after_crashes[task] == STARTS_AFTER_CRASHES:
                    found.append(
                        f"{task} was started {STARTS_AFTER_CRASHES} times more after it had "
                        f"crashed {CRASHES_TO_GIVE_UP} runners"
                    )
    return found


class _Causes:
    """The failures and crashes of the tasks of all jobs so far."""

    def __init__(self) -> None:
        self.jobs_by_id: dict[str, AcceptedJob] = {}
        self._failed_runs_by_task: dict[str, set[object]] = {}
        self._failed_runs_by_step: dict[str, set[object]] = {}
        self._crashes_by_task: Counter[str] = Counter()
        self._draining: set[str] = set()

    def note(self, entry: JournalEntry) -> None:
        """Take an entry of the journal into account."""
        task = str(entry.fields.get("task", ""))
        runner = str(entry.fields.get("runner", ""))
        if entry.what == "job_accepted":
            job = accepted_job(entry)
            if job is not None:
                self.jobs_by_id.setdefault(job.id, job)
        elif entry.what == "task_ended" and entry.fields["outcome"] == "failed":
            run = entry.fields["run"]
            self._failed_runs_by_task.setdefault(task, set()).add(run)
            self._failed_runs_by_step.setdefault(task.rpartition(".")[0], set()).add(run)
        elif entry.what == "task_lost" and runner not in self._draining:
            self._crashes_by_task[task] += 1
        elif entry.what == "runner_listed" and entry.fields["draining"]:
            self._draining.add(runner)
        elif entry.what in ("runner_listed", "runner_started"):
            self._draining.discard(runner)

    def allow_failure(self, job: AcceptedJob) -> bool:
        """Return whether a job may be told as failed."""
        for number, step in enumerate(job.steps):
            for occurrence in range(len(job.due_ms)):
                name = f"{job.id}.{occurrence}.{number}"
                tasks = [f"{name}.{index}" for index in range(step.count)]
                if any(self._crashes_by_task[task] >= CRASHES_TO_FAIL for task in tasks):
                    return True
                failed_runs = [self._failed_runs_by_task.get(task, ()) for task in tasks]
                if step.gang:
                    failed_runs.append(self._failed_runs_by_step.get(name, ()))
                if any(len(runs) >= job.max_attempts for runs in failed_runs):
                    return True
        return False


def find_failed_without_cause(journal: Journal) -> list[str]:
    """Return the jobs that were told as failed though nothing allows it.

    That is if no task, or gang, had failed ``max_attempts`` times, and under no task two runners
    had ended that had not announced it.
    """
    causes = _Causes()
    found = {}
    for entry in journal.entries:
        causes.note(entry)
        if entry.what == "state_told" and entry.fields.get("state") == "failed":
            job = causes.jobs_by_id.get(str(entry.fields["job"]))
            if job is not None and not causes.allow_failure(job):
                found.setdefault(
                    job.id, f"{job.id} was told as failed by {entry.fields['entry']} without cause"
                )
    return list(found.values())
