"""State of all jobs, rebuilt by each instance from the records in the store."""

from collections import Counter
from collections.abc import Iterable, Iterator

from google.protobuf.message import DecodeError

from carawayroute.fleet.exceptions import RecordError
from carawayroute.fleet.record_checks import check_job, check_progress
from carawayroute.fleet.types import Capacity, TaskId
from carawayroute_schema import records_pb2 as pb

JOB_KEY = "a/"
CANCEL_KEY = "c/"
PROGRESS_KEY = "p/"
SPEEDS_KEY = "s/"
LOST_RUNNERS_KEY = "r/"

QUEUED = "queued"
RUNNING = "running"
COMPLETED = "completed"
FAILED = "failed"
CANCELLED = "cancelled"

FIRST_END_BY_STATE = {
    COMPLETED: pb.Progress.COMPLETED,
    FAILED: pb.Progress.FAILED,
    CANCELLED: pb.Progress.CANCELLED,
}
STATE_BY_FIRST_END = {end: state for state, end in FIRST_END_BY_STATE.items()}


class Stage:
    """The tasks of one step in one occurrence of a job.

    Lists have one element per task. ``runners`` holds the runner that a task is assigned to, or an
    empty string; the task occupies capacity there until its end is stored.

    :ivar number: index of the step in the job.
    :ivar demand: resources that each task needs.
    :ivar runs: number of the latest run of each task.
    :ivar stored_runs: number of the latest run of each task of which the store has a record.
    :ivar ordered_runs: number of the latest run of each task for which a start request may have
        been sent.
    :ivar failed_run: latest run of a gang that was counted as failed.
    :ivar crashes: crashes of runners with a run of each task on the runner.
    :ivar start_crashes: those crashes that came soon after each task's start.
    :ivar crashed_runs: number of the latest run of each task for which a crash was counted.
    :ivar survived: 1 for each task that was running on a runner well after its start, which a task
        that crashes its runners never is.
    """

    __slots__ = (
        "_crashes_by_address",
        "checkpoints",
        "crashed_runs",
        "crashes",
        "demand",
        "done",
        "failed_run",
        "failures",
        "job",
        "number",
        "occurrence",
        "ordered_runs",
        "runners",
        "runs",
        "start_crashes",
        "step",
        "stored_runs",
        "survived",
    )

    def __init__(self, job: "Job", occurrence: int, number: int) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.step = job.record.steps[number]
        count = self.step.count
        self.demand = Capacity.needed_by(self.step)
        self.runs = [0] * count
        self.stored_runs = [0] * count
        self.ordered_runs = [0] * count
        self.done = bytearray(count)
        self.failures = [0] * count
        self.failed_run = 0
        self.crashes = [0] * count
        self.start_crashes = [0] * count
        self.crashed_runs = [0] * count
        self._crashes_by_address: dict[int, Counter[str]] = {}
        self.survived = bytearray(count)
        self.runners = [""] * count
        self.checkpoints: dict[int, str] = {}

    @property
    def key(self) -> tuple[str, int, int]:
        """Return a key that is unique among all stages."""
        return (self.job.id, self.occurrence, self.number)

    @property
    def finished(self) -> bool:
        """Return whether every task is done."""
        return all(self.done)

    @property
    def accelerators(self) -> int:
        """Return the number of accelerators of all tasks together."""
        return self.step.count * self.step.accelerators

    def crashes_by_address(self, index: int) -> Counter[str]:
        """Return how often runners crashed with a task, by their address, in the current term."""
        return self._crashes_by_address.setdefault(index, Counter())

    def addresses_crashed_at(self) -> set[str]:
        """Return the addresses at which runners crashed with a task in the current term."""
        return {address for counts in self._crashes_by_address.values() for address in counts}

    def task(self, index: int) -> str:
        """Return the id of a task as text."""
        return str(TaskId(self.job.id, self.occurrence, self.number, index))

    def placed(self) -> list[int]:
        """Return the indices of the tasks that are assigned to runners."""
        return [index for index, runner in enumerate(self.runners) if runner]

    def waiting(self) -> list[int]:
        """Return the indices of the tasks that are neither done nor assigned to a runner."""
        return [
            index
            for index, runner in enumerate(self.runners)
            if not runner and not self.done[index]
        ]

    def restarted_after(self, index: int, run: int) -> bool:
        """Return whether a task, or a member of its gang, may have been started after a run."""
        if self.step.gang:
            return max(self.ordered_runs) > run
        return self.ordered_runs[index] > run

    def checkpoint(self, index: int) -> str:
        """Return the checkpoint of a task; the members of a gang share one."""
        return self.checkpoints.get(0 if self.step.gang else index, "")

    def save_checkpoint(self, index: int, checkpoint: str) -> None:
        """Set the checkpoint from which a task resumes, unless it is empty."""
        if checkpoint:
            self.checkpoints[0 if self.step.gang else index] = checkpoint

    def mark_done(self, index: int) -> None:
        """Mark a task as done; if one member of a gang is done, all are."""
        if self.step.gang:
            for member in range(self.step.count):
                self.done[member] = 1
        else:
            self.done[index] = 1

    def to_record(self) -> pb.StepProgress:
        """Return the record of the stage for the store."""
        places_by_name: dict[str, int] = {"": 0}
        places = [places_by_name.setdefault(runner, len(places_by_name)) for runner in self.runners]
        return pb.StepProgress(
            occurrence=self.occurrence,
            step=self.number,
            runs=self.runs,
            done=bytes(self.done),
            failures=self.failures,
            places=places,
            runners=list(places_by_name)[1:],
            checkpoints=self.checkpoints,
            failed_run=self.failed_run,
            crashes=self.crashes if any(self.crashes) else (),
            start_crashes=self.start_crashes if any(self.start_crashes) else (),
            crashed_runs=self.crashed_runs if any(self.crashed_runs) else (),
            survived=bytes(self.survived) if any(self.survived) else b"",
        )

    def record_failure(self, index: int, run: int) -> int:
        """Count a failed run and return the failures so far; a gang counts one per run.

        :param run: number of the run that failed.
        """
        if not self.step.gang:
            self.failures[index] += 1
            return self.failures[index]
        if run > self.failed_run:
            self.failed_run = run
            self.failures[0] += 1
        return self.failures[0]

    def apply(self, record: pb.StepProgress) -> None:
        """Replace the state by that of a record, which has one element per task."""
        self.runs = list(record.runs)
        self.stored_runs = list(record.runs)
        # The planner that wrote the record may have sent the start requests since.
        self.ordered_runs = list(record.runs)
        self.done = bytearray(record.done)
        self.failures = list(record.failures)
        self.failed_run = record.failed_run
        # Records without crashes, and those of earlier versions, omit these lists.
        count = self.step.count
        self.crashes = list(record.crashes) or [0] * count
        self.start_crashes = list(record.start_crashes) or [0] * count
        self.crashed_runs = list(record.crashed_runs) or [0] * count
        self.survived = bytearray(record.survived) or bytearray(count)
        self.runners = [record.runners[place - 1] if place else "" for place in record.places]
        self.checkpoints = dict(record.checkpoints)


class LostRun:
    """A run that was taken as ended while it is open whether its runner's process has ended.

    :param boot_ms: start of the process as it reported it, 0 if unknown.
    :param recently_started: the process was last heard of soon after the run's start.
    """

    __slots__ = ("boot_ms", "recently_started", "runner")

    def __init__(self, runner: str, boot_ms: int, recently_started: bool) -> None:
        self.runner = runner
        self.boot_ms = boot_ms
        self.recently_started = recently_started


# Occurrence, step, task and number of a run.
JobRunKey = tuple[int, int, int, int]


class Job:
    """An accepted job.

    :ivar abandoned: runs that were taken as ended although their runners reported no end.
    :ivar lost_by_run: those runs, also of long-running tasks, that may have crashed their runners.
    :ivar begun: a runner has started one of its tasks.
    :ivar cancel_stored: the store has a cancellation of the job.
    :ivar end_stated: a progress record states which end was stored first.
    :ivar end_stored: the store has a progress record with an end of the job.
    :ivar ended_ms: time at which the job ended, by the instance's own clock.
    :ivar stored_end: final state according to the records in the store, or an empty string.
    :ivar was_started: a task had started when the progress was last discarded.
    """

    __slots__ = (
        "abandoned",
        "begun",
        "cancel_stored",
        "cancelled",
        "end_stated",
        "end_stored",
        "ended_ms",
        "failed",
        "id",
        "lost_by_run",
        "reason",
        "record",
        "stages_by_key",
        "stored_end",
        "was_started",
    )

    def __init__(self, record: pb.Job) -> None:
        self.id = record.id
        self.record = record
        self.abandoned: set[JobRunKey] = set()
        self.lost_by_run: dict[JobRunKey, LostRun] = {}
        self.begun = False
        self.cancelled = False
        self.failed = False
        self.reason = ""
        self.ended_ms: float | None = None
        self.cancel_stored = False
        self.end_stored = False
        self.end_stated = False
        self.stored_end = ""
        self.was_started = False
        self.stages_by_key: dict[tuple[int, int], Stage] = {}

    def stage(self, occurrence: int, step: int) -> Stage:
        """Return a stage, creating it on first use."""
        found = self.stages_by_key.get((occurrence, step))
        if found is None:
            found = Stage(self, occurrence, step)
            self.stages_by_key[occurrence, step] = found
        return found

    def abandon(self, stage: Stage, index: int, run: int) -> None:
        """Note that a run is taken as ended although its runner reported no end."""
        self.abandoned.add((stage.occurrence, stage.number, index, run))

    def next_run(self, stage: Stage, indices: Iterable[int]) -> int:
        """Return a run number for tasks above those of all their runs, also of abandoned ones."""
        chosen = set(indices)
        last = max((stage.runs[index] for index in chosen), default=0)
        for occurrence, step, index, run in self.abandoned:
            if (occurrence, step) == (stage.occurrence, stage.number) and index in chosen:
                last = max(last, run)
        return last + 1

    def reinstate(self, task: TaskId, run: int) -> None:
        """Note that the end of a run was reported after all."""
        key = (task.occurrence, task.step, task.index, run)
        self.abandoned.discard(key)
        self.lost_by_run.pop(key, None)

    def was_abandoned(self, task: TaskId, run: int) -> bool:
        """Return whether a run was taken as ended although its runner reported no end."""
        return (task.occurrence, task.step, task.index, run) in self.abandoned

    def is_superseded(self, task: TaskId, run: int) -> bool:
        """Return whether a run was abandoned and its task may have been started again since.

        The end of such a run must not count, nor may its runner be told that it was noted.
        """
        if not self.was_abandoned(task, run):
            return False
        stage = self.stages_by_key.get((task.occurrence, task.step))
        # The record of an ended job has no stages, and names only superseded runs.
        return stage is None or stage.restarted_after(task.index, run)

    @property
    def occurrences(self) -> int:
        """Return how many times the steps are run."""
        return max(1, self.record.occurrences)

    @property
    def closed(self) -> bool:
        """Return whether no more tasks of the job may be started."""
        return self.cancelled or self.failed or self.completed

    @property
    def completed(self) -> bool:
        """Return whether every task of every occurrence is done."""
        if self.ended_ms is not None:
            return not self.cancelled and not self.failed
        if len(self.stages_by_key) < self.occurrences * len(self.record.steps):
            return False
        return all(stage.finished for stage in self.stages_by_key.values())

    @property
    def started(self) -> bool:
        """Return whether a runner has started a task; unconfirmed start requests do not count."""
        return self.begun or any(any(stage.done) for stage in self.stages_by_key.values())

    @property
    def state(self) -> str:
        """Return the job's state, which at the planner may include an end not stored yet."""
        if self.cancelled:
            return CANCELLED
        if self.failed:
            return FAILED
        if self.completed:
            return COMPLETED
        return RUNNING if self.started else QUEUED

    @property
    def reported_state(self) -> str:
        """Return the job's state as reported to callers: final only if the store has the end."""
        # An end that is not stored is unknown to the next planner, which may run the task again.
        return self.stored_end or (RUNNING if self.started else QUEUED)

    @property
    def last_reported_state(self) -> str:
        """Return the state as reported before the progress was discarded, or since."""
        return self.stored_end or (RUNNING if self.started or self.was_started else QUEUED)

    @property
    def needs_stated_end(self) -> bool:
        """Return whether the newest records leave open which end was stored first."""
        return self.cancel_stored and self.end_stored and not self.end_stated

    def end_in(self, record: pb.Progress) -> str:
        """Return the final state according to a progress record, empty if the job is open."""
        if record.first_end in STATE_BY_FIRST_END:
            return STATE_BY_FIRST_END[record.first_end]
        if record.failed:
            return FAILED
        if record.ended:
            return COMPLETED if record.completed else CANCELLED
        if len(record.steps) < self.occurrences * len(self.record.steps):
            return ""
        return COMPLETED if all(all(item.done) for item in record.steps) else ""

    def open_stages(self, wall_ms: float) -> Iterator[Stage]:
        """Yield the unfinished stages that are due and whose dependencies are finished.

        :param wall_ms: current wall-clock time.
        """
        for stage in self.due_stages(wall_ms):
            depends_on = stage.step.depends_on
            if all(self.stage(stage.occurrence, earlier).finished for earlier in depends_on):
                yield stage

    def due_stages(self, wall_ms: float) -> Iterator[Stage]:
        """Yield the unfinished stages that are due, also while their dependencies are not finished.

        :param wall_ms: current wall-clock time.
        """
        if self.closed:
            return
        for occurrence in range(self.occurrences):
            if self.record.occurrences:
                due_ms = self.record.first_due_ms + occurrence * self.record.interval_ms
                if wall_ms < due_ms:
                    return
            for number in range(len(self.record.steps)):
                stage = self.stage(occurrence, number)
                if not stage.finished:
                    yield stage

    def critical_path_ms(self, estimates_by_step: dict[int, float] | None = None) -> float:
        """Return the duration of the critical path through the steps.

        :param estimates_by_step: durations in ms to use instead of the declared ones.
        """
        finish_ms: list[float] = []
        for number, step in enumerate(self.record.steps):
            own_ms = step.estimate_ms
            if estimates_by_step is not None:
                own_ms = estimates_by_step.get(number, own_ms)
            finish_ms.append(own_ms + max((finish_ms[one] for one in step.depends_on), default=0.0))
        return max(finish_ms, default=0.0)

    def to_progress(self, term: int) -> pb.Progress:
        """Return the record that replaces the job's previous progress record."""
        ended = self.ended_ms is not None
        steps = [] if ended else [stage.to_record() for stage in self.stages_by_key.values()]
        abandoned = [
            self._abandoned_record(key)
            for key in sorted(self.abandoned | self.lost_by_run.keys())
            if not ended or self.is_superseded(TaskId(self.id, *key[:3]), key[3])
        ]
        return pb.Progress(
            steps=steps,
            ended=ended,
            completed=ended and self.completed,
            failed=self.failed,
            reason=self.reason,
            term=term,
            begun=self.begun,
            abandoned=abandoned,
            first_end=FIRST_END_BY_STATE.get(self.stored_end, pb.Progress.NOT_STATED),
        )

    def _abandoned_record(self, key: JobRunKey) -> pb.AbandonedRun:
        occurrence, step, index, run = key
        record = pb.AbandonedRun(occurrence=occurrence, step=step, index=index, run=run)
        lost = self.lost_by_run.get(key)
        if lost is not None:
            record.runner = lost.runner
            record.runner_boot_ms = lost.boot_ms
            record.recently_started = lost.recently_started
        return record

    def apply_abandoned(self, records: Iterable[pb.AbandonedRun]) -> None:
        """Replace the abandoned runs by those of a record."""
        self.abandoned.clear()
        self.lost_by_run.clear()
        for item in records:
            key = (item.occurrence, item.step, item.index, item.run)
            if item.runner:
                self.lost_by_run[key] = LostRun(
                    item.runner, item.runner_boot_ms, item.recently_started
                )
            if not self.record.steps[item.step].long_running:
                self.abandoned.add(key)


class JobTable:
    """All jobs by id, as of an offset of the log.

    Records may come out of order, because pages of newest records are not a consistent snapshot.
    Per key, a record counts only if its offset is higher than the last one applied.

    :ivar unreadable_ids: ids of accepted jobs whose records cannot be read.
    """

    def __init__(self) -> None:
        self.jobs_by_id: dict[str, Job] = {}
        self.open_by_id: dict[str, Job] = {}
        self.offset = 0
        self._offset_by_key: dict[str, int] = {}
        self._early_records_by_job: dict[str, dict[str, tuple[int, bytes]]] = {}
        self._early_since_ms_by_job: dict[str, float] = {}
        self.unreadable_ids: set[str] = set()

    @property
    def early_records(self) -> int:
        """Return the number of records that wait for the record of their job."""
        return sum(len(records) for records in self._early_records_by_job.values())

    def apply(self, offset: int, key: str, value: bytes, now_ms: float) -> Job | None:
        """Apply a record and return the job that it changes.

        :raises RecordError: the record, or an earlier one that waited for it, cannot be applied;
            nothing of it is.
        """
        if offset <= self._offset_by_key.get(key, -1):
            return None
        self._offset_by_key[key] = offset
        kind, job_id = key[:2], key[2:]
        if not value:
            self._drop(kind, job_id)
            return None
        try:
            return self._apply(kind, job_id, offset, value, now_ms)
        except (DecodeError, RecordError) as error:
            raise RecordError(f"record {key} at {offset} cannot be applied: {error}") from error

    def _apply(
        self, kind: str, job_id: str, offset: int, value: bytes, now_ms: float
    ) -> Job | None:
        job = self.jobs_by_id.get(job_id)
        if kind == JOB_KEY:
            return job if job is not None else self._accept(job_id, value, now_ms)
        if kind not in (CANCEL_KEY, PROGRESS_KEY):
            raise RecordError("unknown kind of record")
        if job is None:
            self._early_records_by_job.setdefault(job_id, {})[kind] = (offset, value)
            self._early_since_ms_by_job.setdefault(job_id, now_ms)
            return None
        if kind == CANCEL_KEY:
            job.cancel_stored = True
            if job.end_stated:
                return job
            # In a page of newest records, the job's end may precede an earlier cancel.
            before_end = offset < self._offset_by_key.get(PROGRESS_KEY + job_id, -1)
            if not job.closed or before_end:
                job.cancelled = True
            if not job.stored_end or before_end:
                job.stored_end = CANCELLED
        elif kind == PROGRESS_KEY:
            record = pb.Progress.FromString(value)
            check_progress(record, job.record)
            job.begun = job.begun or record.begun
            job.failed = record.failed
            job.reason = record.reason
            job.apply_abandoned(record.abandoned)
            if self.note_stored_end(job, offset, record):
                job.cancelled = job.stored_end == CANCELLED
            for item in record.steps:
                job.stage(item.occurrence, item.step).apply(item)
            if record.ended:
                # The record of an ended job has no steps; earlier records may have left some.
                job.stages_by_key.clear()
                self._close(job, now_ms)
        self.close_if_finished(job, now_ms)
        return job

    def _accept(self, job_id: str, value: bytes, now_ms: float) -> Job:
        """Add a job, and apply the records that waited for it."""
        self.unreadable_ids.add(job_id)
        record = pb.Job.FromString(value)
        check_job(record, job_id)
        self.unreadable_ids.discard(job_id)
        job = self.jobs_by_id[job_id] = self.open_by_id[job_id] = Job(record)
        errors = []
        self._early_since_ms_by_job.pop(job_id, None)
        for kind, (offset, early) in self._early_records_by_job.pop(job_id, {}).items():
            try:
                self._apply(kind, job_id, offset, early, now_ms)
            except (DecodeError, RecordError) as error:
                errors.append(f"{kind}{job_id} at {offset}: {error}")
        if errors:
            raise RecordError("; ".join(errors))
        return job

    def note_stored_end(self, job: Job, offset: int, record: pb.Progress) -> bool:
        """Set a job's final state for callers from a progress record read from the store.

        The end that was stored first counts: the one that the planner states, as long as it states
        none the one with the lowest offset.

        :param offset: offset of the record.
        :returns: whether the final state was set.
        """
        end = job.end_in(record)
        if not end:
            return False
        job.end_stored = True
        stated = record.first_end in STATE_BY_FIRST_END
        if stated:
            job.end_stated = True
        elif job.end_stated:
            return False
        # In a page of newest records, a cancel that came too late precedes the job's end.
        late_cancel = offset < self._offset_by_key.get(CANCEL_KEY + job.id, -1)
        if job.stored_end and not late_cancel and not stated:
            return False
        job.stored_end = end
        return True

    def close_if_finished(self, job: Job, now_ms: float) -> None:
        """Remove a job from the open jobs once it is closed and none of its tasks is placed."""
        if job.id not in self.open_by_id or not job.closed:
            return
        placed = any(stage.placed() for stage in job.stages_by_key.values())
        if not placed:
            self._close(job, now_ms)

    def _close(self, job: Job, now_ms: float) -> None:
        if job.ended_ms is None:
            job.ended_ms = now_ms
        self.open_by_id.pop(job.id, None)

    def reset(self) -> None:
        """Discard the progress of all jobs, so that the newest records can be applied again."""
        self._offset_by_key = {
            key: offset for key, offset in self._offset_by_key.items() if key.startswith(JOB_KEY)
        }
        for job in self.jobs_by_id.values():
            job.was_started = job.was_started or job.started
            job.stages_by_key.clear()
            job.abandoned.clear()
            job.lost_by_run.clear()
            job.begun = False
            job.cancelled = False
            job.failed = False
            if job.stored_end != FAILED:
                job.reason = ""
            job.ended_ms = None
            job.cancel_stored = False
            job.end_stored = False
            job.end_stated = False
        self.open_by_id = dict(self.jobs_by_id)

    def _drop(self, kind: str, job_id: str) -> None:
        if kind == JOB_KEY:
            self.forget(job_id)
            return
        early = self._early_records_by_job.get(job_id, {})
        early.pop(kind, None)
        if not early:
            self._early_records_by_job.pop(job_id, None)
            self._early_since_ms_by_job.pop(job_id, None)

    def early_cancels_before(self, before_ms: float) -> list[str]:
        """Return the ids of jobs that were cancelled before a time and have never been accepted.

        :param before_ms: clock time at which the cancellations had been applied here.
        """
        return [
            job_id
            for job_id, since_ms in self._early_since_ms_by_job.items()
            if since_ms < before_ms and CANCEL_KEY in self._early_records_by_job[job_id]
        ]

    def forget_removed(self, keys: set[str], end: int) -> None:
        """Remove the jobs whose records were removed from the store.

        :param keys: all keys in the store.
        :param end: offset as of which ``keys`` is complete; jobs accepted later may be missing.
        """
        for job_id in (*self.jobs_by_id, *self.unreadable_ids):
            key = JOB_KEY + job_id
            if key not in keys and self._offset_by_key.get(key, end) < end:
                self.forget(job_id)
        for job_id, records in list(self._early_records_by_job.items()):
            for kind, (offset, _) in list(records.items()):
                if kind + job_id not in keys and offset < end:
                    self._drop(kind, job_id)

    def forget(self, job_id: str) -> list[str]:
        """Remove a job and return the keys of its records."""
        self.jobs_by_id.pop(job_id, None)
        self.open_by_id.pop(job_id, None)
        self.unreadable_ids.discard(job_id)
        keys = [kind + job_id for kind in (JOB_KEY, CANCEL_KEY, PROGRESS_KEY)]
        for key in keys:
            self._offset_by_key.pop(key, None)
        return keys

    def count_pending(self, queue: str) -> int:
        """Return the number of open jobs of a queue of which no task has started."""
        return sum(
            1
            for job in self.open_by_id.values()
            if job.record.queue == queue and not job.closed and not job.started
        )
