"""Accepted jobs as the journal describes them, for the judges."""

from carawayroute.fleet.types import Capacity
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.journal import Journal, JournalEntry


class AcceptedStep:
    """A step of an accepted job."""

    __slots__ = ("count", "demand", "depends_on", "gang", "label", "long_running")

    def __init__(self, step: pb.Step) -> None:
        cpu_millis = 0 if step.fills else step.cpu_millis
        self.count = step.count
        self.demand = Capacity(cpu_millis, step.memory_mb, step.accelerators)
        self.depends_on = list(step.depends_on)
        self.gang = step.gang
        self.label = step.label
        self.long_running = step.long_running


class AcceptedJob:
    """An accepted job.

    :param job: the job as it was accepted.
    :ivar accepted_ms: wall-clock time of the first acceptance.
    :ivar due_ms: wall-clock time at which each occurrence is due.
    """

    __slots__ = ("accepted_ms", "due_ms", "id", "max_attempts", "service", "steps")

    def __init__(self, job: pb.Job, accepted_ms: float) -> None:
        self.id = job.id
        self.accepted_ms = accepted_ms
        self.service = job.service
        self.max_attempts = job.max_attempts
        self.steps = [AcceptedStep(step) for step in job.steps]
        self.due_ms = [
            job.first_due_ms + number * job.interval_ms for number in range(job.occurrences)
        ] or [accepted_ms]


def record_accepted(journal: Journal, job: pb.Job, instance: str) -> None:
    """Record that an instance accepted a job."""
    journal.record("job_accepted", job=job.id, entry=instance, record=job.SerializeToString())


def accepted_job(entry: JournalEntry) -> AcceptedJob | None:
    """Return the job that an entry describes, ``None`` if it only names one."""
    record = entry.fields.get("record")
    if not isinstance(record, bytes):
        return None
    return AcceptedJob(pb.Job.FromString(record), entry.at_ms)
