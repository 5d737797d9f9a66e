"""Checks the runners' journal for violations, independently of the state that the fleet reports."""

from carawayroute_standins.journal import Journal


def _binding_ends(journal: Journal) -> set[int]:
    """Return the positions of ends as done after which their tasks must not start again.

    These are acknowledged at some time, without a lapse of the runner's lease since the end.
    """
    binding: set[int] = set()
    pending_by_runner: dict[str, dict[tuple[str, object], int]] = {}
    for position, entry in enumerate(journal.entries):
        pending = pending_by_runner.setdefault(str(entry.fields.get("runner", "")), {})
        if entry.what == "lease_lapsed":
            pending.clear()
            continue
        if entry.fields.get("outcome") != "done":
            continue
        key = (str(entry.fields["task"]), entry.fields["run"])
        if entry.what == "task_ended":
            pending[key] = position
        elif entry.what == "end_acknowledged" and key in pending:
            binding.add(pending.pop(key))
    return binding


def find_violations(journal: Journal) -> list[str]:
    """Return all violations: tasks that ran twice or again once done, and partial gangs.

    A start between an end as done and its acknowledgement is a violation unless the runner's lease
    lapsed between the two. A start after the acknowledgement always is one.
    """
    found: list[str] = []
    binding = _binding_ends(journal)
    done: set[str] = set()
    running: dict[str, tuple[int, str]] = {}
    acknowledged: set[str] = set()
    for position, entry in enumerate(journal.entries):
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
            if position in binding:
                done.add(task)
            if entry.fields.get("outcome") == "alone":
                found.append(f"{task} waited in vain for the rest of its gang")
        elif entry.what == "end_acknowledged" and entry.fields["outcome"] == "done":
            acknowledged.add(task)
    return found


def starts(journal: Journal, job_id: str) -> list[str]:
    """Return the tasks of a job that were started, in order of their starts."""
    return [
        str(entry.fields["task"])
        for entry in journal.all("task_started")
        if str(entry.fields["task"]).startswith(job_id)
    ]
