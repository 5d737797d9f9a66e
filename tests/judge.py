"""Judging runs by the stand-ins' journals and by what callers were told."""

import json

from carawayroute_standins.journal import Journal

# A worker goes on with a part for at most a lease and the time for adoption after its planner died.
MAX_PARTIAL_RUN_MS = 8_000 + 30_000 + 2_000


def check_quick_requests(journal: Journal, idempotent: bool) -> list[str]:
    """Return what is wrong with the quick requests of a run."""
    problems = []
    runs_by_request: dict[str, list[float]] = {}
    finished = {entry.fields["request"] for entry in journal.all("ran")}
    for entry in journal.all("run"):
        runs_by_request.setdefault(entry.fields["request"], []).append(entry.at_ms)
    for request, runs in runs_by_request.items():
        if not idempotent and len(runs) > 1:
            problems.append(f"{request} ran {len(runs)} times")
    for told in journal.all("told"):
        request, outcome = told.fields["request"], told.fields["outcome"]
        runs = runs_by_request.get(request, [])
        if outcome == "done":
            if request not in finished:
                problems.append(f"{request} told done, but no runner finished it")
            problems.extend(_wrong_answer(request, told.fields["body"]))
        elif outcome == "not_run" and any(at_ms <= told.at_ms for at_ms in runs):
            problems.append(f"{request} told not run, but it ran")
    return problems


def _wrong_answer(request: str, body: bytes) -> list[str]:
    try:
        answered = json.loads(body)["request"]
    except (ValueError, KeyError):
        return [f"{request} got an answer that is not whole"]
    return [] if answered == request else [f"{request} got the answer of {answered}"]


class AttemptRecord:
    """What the workers' journals say of one attempt."""

    def __init__(self, job: str, parts: int) -> None:
        self.job = job
        self.parts = parts
        self.started_ms: dict[str, float] = {}
        self.ended_ms: dict[str, float] = {}
        self.done: set[str] = set()


def attempts(journal: Journal) -> dict[str, AttemptRecord]:
    """Return the attempts in the workers' journals by id."""
    by_id: dict[str, AttemptRecord] = {}
    for entry in journal.entries:
        fields = entry.fields
        if "worker" not in fields:
            continue
        record = by_id.setdefault(fields["attempt"], AttemptRecord(fields["job"], fields["parts"]))
        if entry.what == "start":
            record.started_ms[fields["worker"]] = entry.at_ms
        elif entry.what in ("stop", "release", "lapse", "done", "failed"):
            record.ended_ms.setdefault(fields["worker"], entry.at_ms)
        if entry.what == "done":
            record.done.add(fields["worker"])
    return by_id


def check_gangs(journal: Journal, lost: set[str], now_ms: float) -> list[str]:
    """Return the gangs that ran in part.

    :param lost: workers that died in the run; what they did is cut short and not their planner's.
    """
    problems = []
    for attempt_id, record in attempts(journal).items():
        started = set(record.started_ms)
        if len(started) in (0, record.parts):
            continue
        if record.done:
            problems.append(f"{attempt_id} of {record.job} ended in part: {sorted(record.done)}")
        for worker, at_ms in record.started_ms.items():
            if worker in lost:
                continue
            until_ms = record.ended_ms.get(worker, now_ms)
            if until_ms - at_ms > MAX_PARTIAL_RUN_MS:
                problems.append(f"{attempt_id} of {record.job} ran in part on {worker}")
    return problems


def check_job_outcome(
    journal: Journal, job_id: str, outcome: str, idempotent: bool, lost: set[str]
) -> list[str]:
    """Return what is wrong with the outcome of one job."""
    records = [record for record in attempts(journal).values() if record.job == job_id]
    ran = [record for record in records if record.started_ms]
    whole = [
        record
        for record in records
        if len(record.done | (lost & set(record.started_ms))) >= record.parts
    ]
    problems = []
    if outcome == "done" and not whole:
        problems.append(f"{job_id} told done, but no attempt ended whole")
    if outcome == "not_run" and ran:
        problems.append(f"{job_id} told not run, but it started")
    if outcome == "" or outcome == "open":
        problems.append(f"{job_id} did not end")
    if not idempotent and len(ran) > 1:
        problems.append(f"{job_id} is not idempotent and was started {len(ran)} times")
    return problems


def first_start_ms(journal: Journal, job_id: str) -> float:
    """Return when a job first ran on all its workers, or infinity."""
    starts = [
        max(record.started_ms.values())
        for record in attempts(journal).values()
        if record.job == job_id and len(record.started_ms) == record.parts
    ]
    return min(starts, default=float("inf"))


def check_start_time(
    journal: Journal, job_id: str, submitted_ms: float, bound_ms: float
) -> list[str]:
    """Return a problem when a job did not start within a bound."""
    wait_ms = first_start_ms(journal, job_id) - submitted_ms
    return [] if wait_ms <= bound_ms else [f"{job_id} started after {wait_ms:.0f} ms"]
