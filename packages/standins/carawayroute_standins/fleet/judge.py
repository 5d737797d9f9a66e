"""Checks the journal of runners and callers for violations.

What callers were told is compared with what they were told before, not with the fleet's own state.
"""

from carawayroute_standins.fleet.attempts import (
    find_failed_without_cause,
    find_starts_beyond_budget,
)
from carawayroute_standins.fleet.room import find_starts_beyond_capacity
from carawayroute_standins.journal import Journal

# An accepted job is known to every instance after this time.
VISIBLE_MS = 3_000


def _acknowledged_ends(journal: Journal) -> set[tuple[str, object, str]]:
    """Return task, run and runner of the ends as done that are acknowledged at some time."""
    return {
        (str(entry.fields["task"]), entry.fields["run"], str(entry.fields["runner"]))
        for entry in journal.all("end_acknowledged")
        if entry.fields["outcome"] == "done"
    }


def find_violations(journal: Journal) -> list[str]:
    """Return all violations.

    These are tasks that ran twice or again once done, partial gangs, accepted jobs that an instance
    denied, jobs told as failed without cause, and starts beyond a runner's capacity or after too
    many failures or crashes.

    A start after an end as done is a violation if that end is acknowledged before or after it,
    whether or not the runner's lease expired in between.
    """
    found = [
        *find_denied_jobs(journal),
        *find_failed_without_cause(journal),
        *find_starts_beyond_capacity(journal),
        *find_starts_beyond_budget(journal),
    ]
    acknowledged_ends = _acknowledged_ends(journal)
    done: set[str] = set()
    running: dict[str, tuple[int, str]] = {}
    acknowledged: set[str] = set()
    for entry in journal.entries:
        task = str(entry.fields.get("task", ""))
        run = entry.fields.get("run")
        if entry.what == "task_started":
            if task in running:
                found.append(f"{task} runs twice: {running[task]} and {run}")
            if task in acknowledged:
                found.append(f"{task} was started after its end as done was acknowledged")
            elif task in done:
                found.append(f"{task} was started after its end as done, acknowledged later")
            running[task] = (run, str(entry.fields["runner"]))
        elif entry.what in ("task_ended", "task_lost"):
            if running.get(task, (None, ""))[0] == run:
                del running[task]
            end = (task, run, str(entry.fields["runner"]))
            if end in acknowledged_ends:
                done.add(task)
            if entry.fields.get("outcome") == "alone":
                found.append(f"{task} waited in vain for the rest of its gang")
        elif entry.what == "end_acknowledged" and entry.fields["outcome"] == "done":
            acknowledged.add(task)
    return found


def find_denied_jobs(journal: Journal, visible_ms: float = VISIBLE_MS) -> list[str]:
    """Return the accepted jobs that an instance called unknown.

    :param visible_ms: time after the acceptance in which an instance may not know the job yet.
    """
    found = []
    accepted_ms_by_job: dict[str, float] = {}
    for entry in journal.entries:
        job = str(entry.fields.get("job", ""))
        if entry.what == "job_accepted":
            accepted_ms_by_job.setdefault(job, entry.at_ms)
        elif entry.what == "job_denied" and job in accepted_ms_by_job:
            age_ms = entry.at_ms - accepted_ms_by_job[job]
            if age_ms > visible_ms:
                found.append(
                    f"{job} was called unknown by {entry.fields['entry']} (call: "
                    f"{entry.fields['call']}) {age_ms:.0f} ms after its acceptance"
                )
    return found


def starts(journal: Journal, job_id: str) -> list[str]:
    """Return the tasks of a job that were started, in order of their starts."""
    return [
        str(entry.fields["task"])
        for entry in journal.all("task_started")
        if str(entry.fields["task"]).startswith(job_id)
    ]
