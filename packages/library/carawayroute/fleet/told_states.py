"""What callers are told of jobs whose state this instance cannot read."""

from carawayroute.fleet.lookup import JobStatus

# Upper limits in ms of the age classes by which such answers are counted.
AGE_CLASSES_MS = (1_000, 3_000, 10_000, 30_000)


def age_class(age_ms: float) -> str:
    """Return the class of a state's age: its upper limit in seconds, or ``over_`` the highest."""
    for limit_ms in AGE_CLASSES_MS:
        if age_ms <= limit_ms:
            return f"{limit_ms // 1_000}_s"
    return f"over_{AGE_CLASSES_MS[-1] // 1_000}_s"


class EndsToldByPeers:
    """Ends of jobs that peers have told, until this instance has read them itself."""

    __slots__ = ("_ends_by_id",)

    def __init__(self) -> None:
        self._ends_by_id: dict[str, tuple[JobStatus, float]] = {}

    def note(self, job_id: str, status: JobStatus, told_ms: float) -> None:
        """Note a job's final state.

        :param told_ms: clock time at which it was told.
        """
        self._ends_by_id.pop(job_id, None)
        self._ends_by_id[job_id] = (status, told_ms)

    def find(self, job_id: str, read_as_of_ms: float) -> JobStatus | None:
        """Return a job's final state, ``None`` if none was told after a time.

        :param read_as_of_ms: clock time as of which this instance has read all records.
        """
        while self._ends_by_id:
            oldest = next(iter(self._ends_by_id))
            if self._ends_by_id[oldest][1] >= read_as_of_ms:
                break
            del self._ends_by_id[oldest]
        status, _ = self._ends_by_id.get(job_id, (None, 0.0))
        return status
