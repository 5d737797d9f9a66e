"""Counts crashes of runners by task, and decides when a task is given up.

A run that has begun may have crashed its runner by its start, unless the runner's process was alive
for longer than :data:`START_CRASH_MS` after that start. A task that crashes runners by its start
crashes every one of them, so one that has survived a start does not, but it may crash them later.
Its late crashes count only if no run on the runner was started shortly before, and once for each
address, as sound work that runs for long also goes down with runners that crash again and again.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

import structlog

from carawayroute.fleet.jobs import Job, JobRunKey, LostRun, Stage

# Deadly tasks crash their runner some 10 ms after their start.
START_CRASH_MS = 300
# A task is given up after this many crashes soon after its start, or after this many in all.
MAX_START_CRASHES = 3
MAX_CRASHES = 5
# The same for late crashes at one address, for tasks that cannot run anywhere else.
MAX_CRASHES_AT_ADDRESS = 8

log = structlog.get_logger()


class CrashableRun(Protocol):
    """A run on a runner that may crash.

    :ivar started_ms: time at which the run is known to have been running, ``None`` if never.
    :ivar may_have_begun: a start request for the run may have reached the runner.
    :ivar crash_counted: a crash of the runner was counted for this run.
    """

    stage: Stage
    index: int
    number: int
    started_ms: float | None
    may_have_begun: bool

    @property
    def crash_counted(self) -> bool: ...


def is_start_crash(started_ms: float | None, last_alive_ms: float | None) -> bool:
    """Return whether a run may have crashed its runner by its start.

    :param started_ms: time of the run's start, ``None`` if unknown.
    :param last_alive_ms: time of the process's last sign of life, ``None`` if there was none.
    """
    if started_ms is None or last_alive_ms is None:
        return True
    return last_alive_ms - started_ms <= START_CRASH_MS


def note_running(stage: Stage, index: int, ran_ms: float) -> None:
    """Note that a runner reports a task for some time after its start."""
    if ran_ms > START_CRASH_MS and not stage.survived[index]:
        stage.survived[index] = 1
        stage.start_crashes[index] = 0


def give_up_reason(stage: Stage, index: int) -> str:
    """Return why a task must not be started again, empty if it may be."""
    if stage.start_crashes[index] >= MAX_START_CRASHES:
        return f"task {stage.task(index)} crashed {stage.start_crashes[index]} runners"
    if stage.crashes[index] >= MAX_CRASHES:
        return f"{stage.crashes[index]} runners crashed with task {stage.task(index)}"
    at_one_address = max(stage.crashes_by_address(index).values(), default=0)
    if at_one_address >= MAX_CRASHES_AT_ADDRESS:
        return f"a runner crashed {at_one_address} times with task {stage.task(index)}"
    return ""


class CrashLedger:
    """Counts crashes for the tasks that the crashed runners ran.

    Runs that were given up before it is known whether their runner's process has ended are kept
    until another process answers in its place, or the runner reports again.

    :param on_counted: called with each job for whose tasks crashes were counted.
    :ivar crashes_by_evidence: number of crashed runners.
    :ivar given_up: number of tasks given up.
    """

    def __init__(self, on_counted: Callable[[Job], None]) -> None:
        self._on_counted = on_counted
        self._lost_by_runner: dict[str, list[tuple[Job, JobRunKey]]] = {}
        self.crashes_by_evidence: Counter[str] = Counter()
        self.given_up = 0

    def load(self, jobs: Iterable[Job]) -> None:
        """Take over the lost runs that an earlier planner has stored."""
        for job in jobs:
            for key, lost in job.lost_by_run.items():
                self._lost_by_runner.setdefault(lost.runner, []).append((job, key))

    def note_lost(self, run: CrashableRun, lost: LostRun) -> None:
        """Keep a run that was given up without a proof of its process's end."""
        stage = run.stage
        key = (stage.occurrence, stage.number, run.index, run.number)
        stage.job.lost_by_run[key] = lost
        self._lost_by_runner.setdefault(lost.runner, []).append((stage.job, key))

    def blames_unproved(self, runner_id: str) -> bool:
        """Return whether a lost run would be blamed if the runner's process has crashed."""
        return any(
            not job.closed and key in job.lost_by_run and job.lost_by_run[key].recently_started
            for job, key in self._lost_by_runner.get(runner_id, ())
        )

    def process_reported(self, runner_id: str, address: str, boot_ms: int) -> None:
        """Settle the lost runs of a runner that reports.

        :param boot_ms: start of the process that reports; those of another process crashed.
        """
        lost_runs = self._lost_by_runner.get(runner_id)
        if lost_runs is None:
            return
        for job, key in lost_runs:
            lost = job.lost_by_run.get(key)
            if lost is not None and lost.boot_ms in (0, boot_ms):
                del job.lost_by_run[key]
        if any(key in job.lost_by_run for job, key in lost_runs):
            self.process_crashed(runner_id, address, "process restarted", (), None)
        else:
            del self._lost_by_runner[runner_id]

    def process_left(self, runner_id: str) -> None:
        """Forget the lost runs of a runner whose process has ended as announced."""
        for job, key in self._lost_by_runner.pop(runner_id, ()):
            job.lost_by_run.pop(key, None)

    def process_crashed(
        self,
        runner_id: str,
        address: str,
        evidence: str,
        runs: Iterable[CrashableRun],
        last_alive_ms: float | None,
    ) -> None:
        """Count a crash for the runs on a runner's process that has ended unannounced.

        :param runs: runs on the process that have not been given up.
        :param last_alive_ms: time of the process's last sign of life.
        """
        crashed = [
            (run.stage, run.index, is_start_crash(run.started_ms, last_alive_ms))
            for run in self._uncounted(runs)
        ]
        crashed += self._take_lost(runner_id)
        open_tasks = [
            (stage, index, at_start and not stage.survived[index])
            for stage, index, at_start in crashed
            if not stage.job.closed and not stage.done[index]
        ]
        blamed = [(stage, index) for stage, index, at_start in open_tasks if at_start]
        others = [(stage, index) for stage, index, at_start in open_tasks if not at_start]
        self.crashes_by_evidence[evidence] += 1
        log.warning(
            "runner_crashed",
            runner=runner_id,
            evidence=evidence,
            blamed=[stage.task(index) for stage, index in blamed],
            neighbours=[stage.task(index) for stage, index in others],
        )
        for stage, index in blamed:
            stage.start_crashes[index] += 1
            self._count(stage, index, address, repeated=True)
        for stage, index in others:
            if not stage.survived[index]:
                self._count(stage, index, address, repeated=True)
            elif not blamed:
                self._count(stage, index, address, repeated=False)
        for job in {stage.job.id: stage.job for stage, _, _ in open_tasks}.values():
            self._on_counted(job)

    def _uncounted(self, runs: Iterable[CrashableRun]) -> Iterator[CrashableRun]:
        """Yield the runs that may have begun and are not counted yet, and mark them as counted."""
        for run in runs:
            if run.may_have_begun and not run.crash_counted:
                run.stage.crashed_runs[run.index] = run.number
                yield run

    def _take_lost(self, runner_id: str) -> Iterator[tuple[Stage, int, bool]]:
        """Yield stage, index and whether it began shortly before, for each lost run of a runner."""
        for job, key in self._lost_by_runner.pop(runner_id, ()):
            lost = job.lost_by_run.pop(key, None)
            if lost is not None:
                yield job.stage(key[0], key[1]), key[2], lost.recently_started

    def _count(self, stage: Stage, index: int, address: str, repeated: bool) -> None:
        """Count a crash for a task.

        :param repeated: whether crashes at the same address count each time.
        """
        crashes_by_address = stage.crashes_by_address(index)
        if repeated or address not in crashes_by_address:
            stage.crashes[index] += 1
        crashes_by_address[address] += 1
        job = stage.job
        reason = give_up_reason(stage, index)
        if not reason or job.failed:
            return
        job.failed = True
        job.reason = reason
        self.given_up += 1
        log.warning("task_given_up", job=job.id, task=stage.task(index), reason=reason)
