"""Judges of the use of the runners' capacity: starts beyond it, and jobs that wait beside it."""

from collections.abc import Iterator

from carawayroute.fleet.types import Capacity
from carawayroute_standins.fleet.accepted import AcceptedJob, AcceptedStep, accepted_job
from carawayroute_standins.journal import Journal, JournalEntry

# A capacity that has shrunk is in force this long after: time without contact and a heartbeat.
SHRUNK_MS = 3_000 + 1_500
# A job may wait this long beside free capacity.
IDLE_MS = 3_000
# Free capacity for this many times what waits, and a smaller share of it in use than this.
IDLE_ROOM_FACTOR = 2
IDLE_USED_SHARE = 0.5
RESOURCES = ("cpu_millis", "memory_mb", "accelerators")
FINAL_STATES = ("completed", "failed", "cancelled")


def _capacity(entry: JournalEntry) -> Capacity:
    return Capacity(*(int(str(entry.fields.get(name, 0))) for name in RESOURCES))


class _Process:
    """One process of a runner.

    :ivar capacities: the capacities so far, each with the time from which on it was in force.
    :ivar usable: whether it is up, listed and not draining.
    """

    __slots__ = ("capacities", "demand_by_run", "draining", "guarding", "labels", "listed", "mode")

    def __init__(self, entry: JournalEntry) -> None:
        self.capacities = [(entry.at_ms, _capacity(entry))]
        self.demand_by_run: dict[tuple[str, object], Capacity] = {}
        self.guarding = bool(entry.fields.get("guarding", True))
        self.labels = entry.fields.get("labels", ())
        self.mode = str(entry.fields.get("mode", "up"))
        self.listed = True
        self.draining = False

    @property
    def usable(self) -> bool:
        return self.mode == "up" and self.listed and not self.draining

    @property
    def capacity(self) -> Capacity:
        return self.capacities[-1][1]

    def used(self) -> Capacity:
        """Return what is in use; what is being stopped still counts."""
        used = Capacity(0, 0, 0)
        for demand in self.demand_by_run.values():
            used.subtract(demand, -1)
        return used

    def free(self) -> Capacity:
        free = self.capacity.copy()
        free.subtract(self.used())
        return free

    def largest_since(self, since_ms: float) -> Capacity:
        """Return the largest value of each resource that was in force since a time."""
        ends = [at_ms for at_ms, _ in self.capacities[1:]] + [float("inf")]
        valid = [
            capacity
            for (_, capacity), end_ms in zip(self.capacities, ends, strict=True)
            if end_ms > since_ms
        ]
        return Capacity(*(max(getattr(one, name) for one in valid) for name in RESOURCES))


class _Processes:
    """The processes of all runners as the journal shows them, by service."""

    def __init__(self) -> None:
        self.by_runner: dict[str, _Process] = {}
        self.service_by_runner: dict[str, str] = {}

    def note(self, entry: JournalEntry) -> _Process | None:
        """Take an entry into account and return the process that it concerns, if it is known."""
        runner = str(entry.fields.get("runner", ""))
        if entry.what == "runner_started":
            self.service_by_runner[runner] = str(entry.fields["service"])
            self.by_runner[runner] = _Process(entry)
        process = self.by_runner.get(runner)
        if process is None:
            return None
        run = (str(entry.fields.get("task", "")), entry.fields.get("run"))
        if entry.what == "capacity_changed":
            process.capacities.append((entry.at_ms, _capacity(entry)))
        elif entry.what == "task_started":
            process.demand_by_run[run] = _capacity(entry)
        elif entry.what in ("task_ended", "task_lost"):
            process.demand_by_run.pop(run, None)
        elif entry.what == "runner_mode":
            process.mode = str(entry.fields["mode"])
        elif entry.what == "runner_listed":
            process.listed, process.draining = True, bool(entry.fields["draining"])
        elif entry.what == "runner_unlisted":
            process.listed = False
        return process

    def of_service(self, service: str) -> list[_Process]:
        """Return the usable processes of a service."""
        return [
            process
            for runner, process in self.by_runner.items()
            if process.usable and self.service_by_runner[runner] == service
        ]


def find_starts_beyond_capacity(journal: Journal, shrunk_ms: float = SHRUNK_MS) -> list[str]:
    """Return the starts that brought a runner that refuses none over its capacity.

    Starts that a runner carried out late do not count.

    :param shrunk_ms: time after which a capacity that has shrunk is in force.
    """
    found = []
    processes = _Processes()
    for entry in journal.entries:
        process = processes.note(entry)
        if entry.what != "task_started" or process is None or process.guarding:
            continue
        if entry.fields.get("late"):
            continue
        used, demand = process.used(), _capacity(entry)
        bound = process.largest_since(entry.at_ms - shrunk_ms)
        for name in RESOURCES:
            if getattr(demand, name) > 0 and getattr(used, name) > getattr(bound, name):
                found.append(
                    f"{entry.fields['task']} brought {entry.fields['runner']} to "
                    f"{getattr(used, name)} of {getattr(bound, name)} {name}"
                )
    return found


class _JobProgress:
    """What runs of a job, and which of its tasks are done.

    :ivar idle_since_ms: since when the job waits beside free capacity, ``None`` if it does not.
    """

    __slots__ = ("done", "idle_since_ms", "job", "running")

    def __init__(self, job: AcceptedJob) -> None:
        self.job = job
        self.done: set[str] = set()
        self.running: set[tuple[str, object]] = set()
        self.idle_since_ms: float | None = None

    def note(self, entry: JournalEntry) -> None:
        """Take an entry on one of the job's tasks into account."""
        task = str(entry.fields["task"])
        run = (task, entry.fields["run"])
        if entry.what == "task_started":
            self.running.add(run)
        elif entry.what in ("task_ended", "task_lost"):
            self.running.discard(run)
            if entry.fields.get("outcome") == "done":
                self.done.add(task)

    def waiting_steps(self, now_ms: float) -> Iterator[AcceptedStep]:
        """Yield the steps of which the turn has come and tasks are not done."""
        job = self.job
        for occurrence, due_ms in enumerate(job.due_ms):
            if due_ms > now_ms:
                continue
            open_steps = {
                number for number in range(len(job.steps)) if self._is_open(occurrence, number)
            }
            for number in open_steps:
                step = job.steps[number]
                if not step.long_running and not open_steps.intersection(step.depends_on):
                    yield step

    def _is_open(self, occurrence: int, number: int) -> bool:
        name = f"{self.job.id}.{occurrence}.{number}"
        count = self.job.steps[number].count
        return any(f"{name}.{index}" not in self.done for index in range(count))


def _has_room(step: AcceptedStep, processes: list[_Process]) -> bool:
    """Return whether there is capacity twice over for a task of a step, or for the whole gang."""
    needed = IDLE_ROOM_FACTOR * (step.count if step.gang else 1)
    fitting = sum(
        process.free().count_fitting(step.demand, needed)
        for process in processes
        if not step.label or step.label in process.labels
    )
    return fitting >= needed


def _used_share(processes: list[_Process]) -> float:
    """Return the share in use of the resource that is used most."""
    shares = [1.0] if not processes else [0.0]
    for name in RESOURCES:
        total = sum(getattr(process.capacity, name) for process in processes)
        if total > 0:
            shares.append(sum(getattr(process.used(), name) for process in processes) / total)
    return max(shares)


def find_idle_jobs(
    journal: Journal,
    since_ms: float = 0.0,
    until_ms: float | None = None,
    crash_ms: float = 0.0,
) -> list[str]:
    """Return the jobs that had nothing running for 3 s though a task's turn had come.

    That is while there was capacity for what waits twice over and under half of the service's
    capacity was in use. Tasks that last are not judged.

    :param since_ms: wall-clock time before which jobs may be idle, as there are faults.
    :param until_ms: wall-clock time at which the journal ends, by default that of its last entry.
    :param crash_ms: time after each crash of a runner in which jobs may be idle.
    """
    found = {}
    processes = _Processes()
    progress_by_job: dict[str, _JobProgress] = {}
    for entry in _judged_entries(journal, since_ms, until_ms, crash_ms):
        # The state from before the entry has lasted until now.
        for progress in progress_by_job.values():
            since = progress.idle_since_ms
            if since is not None and entry.at_ms - since >= IDLE_MS:
                job_id = progress.job.id
                found.setdefault(job_id, f"{job_id} has run nothing for {IDLE_MS} ms beside room")
        processes.note(entry)
        _note_job(progress_by_job, entry)
        if entry.what == "runner_crashed":
            since_ms = max(since_ms, entry.at_ms + crash_ms)
        for progress in progress_by_job.values():
            waits = entry.at_ms >= since_ms and _waits_beside_room(progress, processes, entry.at_ms)
            if not waits:
                progress.idle_since_ms = None
            elif progress.idle_since_ms is None:
                progress.idle_since_ms = entry.at_ms
    return list(found.values())


def _judged_entries(
    journal: Journal, since_ms: float, until_ms: float | None, crash_ms: float
) -> list[JournalEntry]:
    """Return the journal's entries with one at each end of a time that is judged."""
    starts_ms = [since_ms, *(entry.at_ms + crash_ms for entry in journal.all("runner_crashed"))]
    entries = journal.entries + [JournalEntry(at_ms, "judged_from", {}) for at_ms in starts_ms]
    end_ms = journal.entries[-1].at_ms if until_ms is None and journal.entries else until_ms
    if end_ms is not None:
        entries = [entry for entry in entries if entry.at_ms <= end_ms]
        entries.append(JournalEntry(end_ms, "judged_until", {}))
    return sorted(entries, key=lambda entry: entry.at_ms)


def _note_job(progress_by_job: dict[str, _JobProgress], entry: JournalEntry) -> None:
    if entry.what == "job_accepted":
        job = accepted_job(entry)
        if job is not None:
            progress_by_job.setdefault(job.id, _JobProgress(job))
    elif entry.what == "job_cancelled" or entry.fields.get("state") in FINAL_STATES:
        progress_by_job.pop(str(entry.fields["job"]), None)
    elif "task" in entry.fields:
        progress = progress_by_job.get(str(entry.fields["task"]).partition(".")[0])
        if progress is not None:
            progress.note(entry)


def _waits_beside_room(progress: _JobProgress, processes: _Processes, now_ms: float) -> bool:
    if progress.running:
        return False
    steps = list(progress.waiting_steps(now_ms))
    usable = processes.of_service(progress.job.service) if steps else []
    if not usable or _used_share(usable) >= IDLE_USED_SHARE:
        return False
    return any(_has_room(step, usable) for step in steps)
