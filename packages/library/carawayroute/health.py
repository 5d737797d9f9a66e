"""Quarantine of failing runners and workers, and detection of jobs that fail on any of them."""

from carawayroute.clock import Clock

FAILURES_TO_QUARANTINE = 3
FIRST_QUARANTINE_MS = 5_000
MAX_QUARANTINE_MS = 300_000
# A job that failed on this many instances outside quarantine is considered faulty itself.
INSTANCES_TO_FAIL_JOB = 3


class _InstanceRecord:
    __slots__ = ("failures", "quarantine_ms", "quarantined_until_ms", "failed_jobs")

    def __init__(self) -> None:
        self.failures = 0
        self.quarantine_ms = FIRST_QUARANTINE_MS
        self.quarantined_until_ms = 0.0
        self.failed_jobs: set[str] = set()


class HealthTracker:
    """Attribute failures to an instance or to a job.

    An instance is quarantined after `FAILURES_TO_QUARANTINE` consecutive failures; if the failures
    name jobs, they must be of more than one job. A failure after a quarantine starts another of
    twice the length, and a success resets the instance. A job is faulty once it has failed on
    `INSTANCES_TO_FAIL_JOB` instances that are not quarantined.
    """

    __slots__ = ("_record_by_instance", "_clock", "_healthy", "_failed_instances_by_job")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._record_by_instance: dict[str, _InstanceRecord] = {}
        self._failed_instances_by_job: dict[str, set[str]] = {}
        self._healthy: set[str] = set()

    def record_success(self, instance: str, job_id: str = "") -> None:
        """Record a success, which clears the failures of the instance and of the job."""
        self._record_by_instance.pop(instance, None)
        self._healthy.add(instance)
        self._failed_instances_by_job.pop(job_id, None)

    def record_failure(self, instance: str, job_id: str = "") -> None:
        """Record a failure.

        :param job_id: the failed job, or empty to count only the instance.
        """
        record = self._record_by_instance.setdefault(instance, _InstanceRecord())
        record.failures += 1
        if job_id:
            record.failed_jobs.add(job_id)
            self._failed_instances_by_job.setdefault(job_id, set()).add(instance)
        several_jobs = not job_id or len(record.failed_jobs) > 1
        was_quarantined = record.quarantined_until_ms > 0
        if was_quarantined or (record.failures >= FAILURES_TO_QUARANTINE and several_jobs):
            if was_quarantined:
                record.quarantine_ms = min(MAX_QUARANTINE_MS, record.quarantine_ms * 2)
            record.quarantined_until_ms = self._clock.now_ms() + record.quarantine_ms
            self._healthy.discard(instance)

    def is_quarantined(self, instance: str) -> bool:
        """Return whether an instance is in quarantine."""
        record = self._record_by_instance.get(instance)
        return record is not None and record.quarantined_until_ms > self._clock.now_ms()

    def is_faulty_job(self, job_id: str) -> bool:
        """Return whether a job failed on enough instances that are not quarantined."""
        instances = self._failed_instances_by_job.get(job_id, set())
        usable = [instance for instance in instances if not self.is_quarantined(instance)]
        return len(usable) >= INSTANCES_TO_FAIL_JOB

    def failed_on(self, job_id: str) -> set[str]:
        """Return the instances that a job failed on."""
        return self._failed_instances_by_job.get(job_id, set())

    def forget_job(self, job_id: str) -> None:
        """Drop the failures of a finished job."""
        self._failed_instances_by_job.pop(job_id, None)
