"""Checks of records in the system's own topics that can be decoded but may not make sense.

They guard against records of other versions and other writers: one that is applied in part, or
that makes every planner fail in turn, would harm all jobs.
"""

import math

from carawayroute.fleet.exceptions import RecordError
from carawayroute_schema import records_pb2 as pb

# Above those that are accepted from callers.
MAX_TASKS = 100_000
MAX_OCCURRENCES = 100_000
MAX_NAME_CHARACTERS = 255


def check_job(record: pb.Job, job_id: str) -> None:
    """Check that a job can be planned.

    :param job_id: id in the record's key.
    :raises RecordError: it belongs to another key, or a value is out of range.
    """
    if not job_id or record.id != job_id:
        raise RecordError("the job belongs to another key")
    if not record.steps:
        raise RecordError("the job has no steps")
    if not all(step.count for step in record.steps):
        raise RecordError("a step has no tasks")
    if sum(step.count for step in record.steps) > MAX_TASKS:
        raise RecordError("the job has too many tasks")
    if record.occurrences > MAX_OCCURRENCES:
        raise RecordError("the job has too many occurrences")
    for number, step in enumerate(record.steps):
        if any(earlier >= number for earlier in step.depends_on):
            raise RecordError(f"step {number} depends on a step that does not precede it")
    if not _is_amount(record.stretch):
        raise RecordError("the job's deadline is not a number")


def check_progress(record: pb.Progress, job: pb.Job) -> None:
    """Check that progress matches the steps of its job.

    :raises RecordError: it does not.
    """
    for item in record.steps:
        if item.step >= len(job.steps) or item.occurrence >= max(1, job.occurrences):
            raise RecordError("progress of a step that the job does not have")
        count = job.steps[item.step].count
        lengths = {len(item.runs), len(item.done), len(item.failures), len(item.places)}
        if lengths != {count}:
            raise RecordError(f"progress of step {item.step} does not have {count} tasks")
        # Records of tasks under which no runner has crashed omit these counts.
        counts = (item.crashes, item.start_crashes, item.crashed_runs, item.survived)
        if not {len(one) for one in counts} <= {0, count}:
            raise RecordError(f"crashes of step {item.step} are not those of {count} tasks")
        if any(done > 1 for done in item.done + item.survived) or any(
            place > len(item.runners) for place in item.places
        ):
            raise RecordError(f"progress of step {item.step} has a value out of range")
        if not all(item.runners) or any(index >= count for index in item.checkpoints):
            raise RecordError(f"progress of step {item.step} names no runner or no task")
    for lost in record.abandoned:
        if lost.step >= len(job.steps) or lost.index >= job.steps[lost.step].count:
            raise RecordError("a run of a task that the job does not have")


def check_member(record: pb.Member, name: str) -> None:
    """Check that an instance's announcement can be used.

    :param name: name in the record's key.
    :raises RecordError: it belongs to another key, or a value is out of range.
    """
    if not name or record.instance != name:
        raise RecordError("the announcement belongs to another key")
    if not is_address(record.address):
        raise RecordError("the announced address cannot be used")
    if not _is_amount(record.cores) or not _is_amount(record.link_mbps):
        raise RecordError("the announced cores or link speed are not numbers")


def is_address(text: str) -> bool:
    """Return whether a text may be the address of an instance, or the id or address of a runner."""
    return 0 < len(text) <= MAX_NAME_CHARACTERS and text.isprintable() and " " not in text


def _is_amount(value: float) -> bool:
    return math.isfinite(value) and value >= 0
