"""Emulated task runner: capacity, leases, fencing, gangs, and ends that await acknowledgement."""

import asyncio
import copy
import hashlib
from collections.abc import Callable

from carawayroute.clock import Clock
from carawayroute.fleet.exceptions import (
    RunnerNotListeningError,
    RunnerRefusedError,
    RunnerUnansweredError,
)
from carawayroute.fleet.types import Capacity, EndedTask, Runner, RunnerReport, RunningTask, TaskId
from carawayroute.misc import wait_event
from carawayroute_standins.fleet.taskspec import TaskSpec
from carawayroute_standins.journal import Journal

ORDER_LATENCY_MS = 1
# The connections of a process that crashed break after this time.
CONNECTION_BREAK_MS = 9
# New connections to its address are reset until this time after the crash, then refused.
REFUSING_AFTER_MS = 330
NO_ANSWER_TIMEOUT_MS = 500
MAX_LISTED_ENDS = 500
TICK_MS = 20
# Modes in which no process runs.
ENDED_MODES = ("dead", "gone", "crashed")


class GangRegistry:
    """Tracks which members of each gang run are present, across all runners."""

    def __init__(self) -> None:
        self._members_by_run: dict[tuple[str, int], dict[int, _Run]] = {}

    def join(self, run: "_Run") -> None:
        """Register a member; the gang makes progress once all members are present."""
        if not run.work.gang:
            run.working = True
            return
        members = self._members_by_run.setdefault(run.gang_key, {})
        members[run.task.index] = run
        if len(members) == run.work.gang:
            for member in members.values():
                member.working = True

    def leave(self, run: "_Run", outcome: str) -> None:
        """Unregister a member that ended; if the gang was working, end its other members."""
        members = self._members_by_run.pop(run.gang_key, None)
        if members is None:
            return
        if outcome == "alone" or not run.working:
            self._members_by_run[run.gang_key] = members
            members.pop(run.task.index, None)
            return
        for member in members.values():
            if member is not run and not member.ended:
                member.model.end(member, "done" if outcome == "done" else "broken")


class _Run:
    __slots__ = (
        "checkpoint",
        "demand",
        "done_ms",
        "ended",
        "model",
        "number",
        "started_ms",
        "task",
        "task_name",
        "work",
        "working",
    )

    def __init__(self, model: "TaskRunner", task_name: str, number: int, work: TaskSpec) -> None:
        self.model = model
        self.task_name = task_name
        self.task = TaskId.parse(task_name)
        self.number = number
        self.work = work
        self.demand = work.demand(self.task.step)
        self.working = False
        self.ended = False
        self.done_ms = 0.0
        self.started_ms = 0.0
        self.checkpoint = ""

    @property
    def percent(self) -> int:
        """Return the progress in percent."""
        return min(100, int(100 * self.done_ms / max(1, self.work.run_ms)))

    @property
    def gang_key(self) -> tuple[str, int]:
        return (self.task_name.rsplit(".", 1)[0], self.number)


class TaskRunner:
    """Runs tasks on the orders of the planner with the highest term seen so far.

    The runner is one address; processes, each with an id and the time of its start, follow one
    another there.

    :param clock_rate: rate of the runner's own clock relative to the emulator's.
    :param guarding: whether starts that exceed the capacity are refused.
    :ivar mode: ``up``, ``cut`` (no answer, runs on), ``dead`` (no answer, runs nothing), ``gone``
        (its process has ended: connections are refused), ``crashed`` (the same, but at first
        connections are reset), ``refusing`` (connections are refused, runs on), ``resetting``
        (connections are reset, runs on), ``hung`` (tasks stand still), ``failing`` (every task
        fails at once).
    :ivar capacity: the capacity in force, which the listing may not show yet.
    :ivar on_deadly_task: called after a task has crashed the process.
    :ivar most_listed_ends: number of ends that a report lists at most, the earliest ones.
    :ivar lost_starts: number of next starts whose answer is lost.
    :ivar late_start_ms: delay in ms before a start whose answer is lost takes effect.
    """

    def __init__(
        self,
        listed: Runner,
        clock: Clock,
        journal: Journal,
        gangs: GangRegistry,
        clock_rate: float = 0.98,
        stop_ms: int = 200,
        max_lease_ms: int = 10_000,
        gang_wait_ms: int = 3_000,
        guarding: bool = True,
    ) -> None:
        self.listed = listed
        self.capacity = listed.capacity
        self.guarding = guarding
        self.clock = clock
        self.journal = journal
        self.gangs = gangs
        self._clock_rate = clock_rate
        self._stop_ms = stop_ms
        self._most_lease_ms = max_lease_ms
        self._gang_wait_ms = gang_wait_ms
        self._mode = "up"
        self.unanswered_ms: list[float] = []
        self._failures_by_task: dict[str, int] = {}
        self._ended_event = asyncio.Event()
        self.on_deadly_task: Callable[[TaskRunner], None] = lambda runner: None
        self.most_listed_ends = MAX_LISTED_ENDS
        self.lost_starts = 0
        self.late_start_ms = 0
        self._processes = 0
        self._crashed_ms = 0.0
        self._runs: dict[tuple[str, int], _Run] = {}
        self._start_process(listed.id)

    @property
    def mode(self) -> str:
        """Return how the runner behaves."""
        return self._mode

    @mode.setter
    def mode(self, mode: str) -> None:
        self._mode = mode
        self.journal.record("runner_mode", runner=self.listed.id, mode=mode)

    def restart_empty(self) -> None:
        """Restart under the same id with no tasks, leases or fencing state."""
        self._end_process()
        self._start_process(self.listed.id)

    def crash(self, task: str = "", run: int = 0) -> None:
        """End the process with all tasks on it until `restart`.

        :param task: the task that crashes the process, if one does.
        """
        self.journal.record(
            "runner_crashed", runner=self.listed.id, boot_ms=self.boot_ms, task=task, run=run
        )
        self._end_process()
        self.mode = "crashed"
        self._crashed_ms = self.clock.now_ms()

    def restart(self, runner_id: str = "") -> None:
        """Start a new process, by default under the same id."""
        self._mode = "up"
        self._start_process(runner_id or self.listed.id)

    def _end_process(self) -> None:
        self._processes += 1
        for run in list(self._runs.values()):
            run.ended = True
            self.journal.record(
                "task_lost", task=run.task_name, run=run.number, runner=self.listed.id
            )
            self.gangs.leave(run, "lost")
        self._runs = {}
        self._wake_polls()

    def _start_process(self, runner_id: str) -> None:
        self.boot_ms = max(self.listed.boot_ms + 1, self.clock.wall_ms())
        self.listed = copy.copy(self.listed)
        self.listed.id = runner_id
        self.listed.boot_ms = self.boot_ms
        self.listed.draining = False
        self.listed.capacity = self.capacity
        self._term = 0
        self._started_ms = self.clock.now_ms()
        self._lease_until_ms = 0.0
        self._fenced_run_by_task: dict[str, int] = {}
        self._ended: list[EndedTask] = []
        self._last_end_number = 0
        self._record_capacity("runner_started")

    def _record_capacity(self, what: str) -> None:
        self.journal.record(
            what,
            runner=self.listed.id,
            service=self.listed.service,
            labels=sorted(self.listed.labels),
            mode=self.mode,
            guarding=self.guarding,
            cpu_millis=self.capacity.cpu_millis,
            memory_mb=self.capacity.memory_mb,
            accelerators=self.capacity.accelerators,
        )

    def set_capacity(self, capacity: Capacity) -> None:
        """Change the capacity; what runs goes on."""
        self.capacity = capacity.copy()
        self._record_capacity("capacity_changed")

    def clock_ms(self) -> int:
        """Return the time of the runner's own clock in ms."""
        return int(1_000 + (self.clock.now_ms() - self._started_ms) * self._clock_rate)

    def free(self) -> int:
        """Return the number of free accelerators."""
        return self._free_capacity().accelerators

    def _free_capacity(self) -> Capacity:
        """Return the capacity that is not in use; what is being stopped counts as used."""
        left = self.capacity.copy()
        for run in self._runs.values():
            left.subtract(run.demand)
        return left

    async def run(self) -> None:
        """Advance the running tasks every `TICK_MS` until cancelled."""
        while True:
            await self.clock.sleep_ms(TICK_MS)
            if self.mode in ENDED_MODES:
                continue
            if self._runs and self.clock_ms() > self._lease_until_ms:
                for run in list(self._runs.values()):
                    self.end(run, "lapsed")
            for run in list(self._runs.values()):
                self._advance(run)

    def _advance(self, run: _Run) -> None:
        now_ms = self.clock.now_ms()
        if not run.working:
            if run.work.gang and now_ms - run.started_ms > self._gang_wait_ms:
                self.end(run, "alone")
            return
        if self.mode == "hung":
            return
        run.done_ms += TICK_MS
        failures = self._failures_by_task.get(run.task_name, 0)
        if self.mode == "failing":
            self.end(run, "failed")
        elif run.done_ms >= run.work.run_ms:
            failing = run.number <= run.work.failures
            self._failures_by_task[run.task_name] = failures + failing
            self.end(run, "failed" if failing else "done")

    def end(self, run: _Run, outcome: str) -> None:
        """End a run and queue its end for acknowledgement."""
        if run.ended:
            return
        run.ended = True
        self._runs.pop((run.task_name, run.number), None)
        self._fenced_run_by_task[run.task_name] = max(
            run.number, self._fenced_run_by_task.get(run.task_name, 0)
        )
        self._last_end_number += 1
        self._ended.append(EndedTask(self._last_end_number, run.task_name, run.number, outcome, ""))
        self.journal.record(
            "task_ended",
            task=run.task_name,
            run=run.number,
            runner=self.listed.id,
            outcome=outcome,
        )
        self.gangs.leave(run, outcome)
        self._wake_polls()

    def _wake_polls(self) -> None:
        self._ended_event.set()
        self._ended_event = asyncio.Event()

    # ------------------------------------------------------------------ orders

    async def _admit(self, term: int, instance: str) -> None:
        """Carry a call to the process, which checks whom it names and its term.

        :param instance: id of the runner that the call names, empty for any.
        """
        if self.mode in ("gone", "refusing"):
            raise RunnerNotListeningError("connection refused")
        if self.mode == "crashed":
            if self.clock.now_ms() - self._crashed_ms >= REFUSING_AFTER_MS:
                raise RunnerNotListeningError("connection refused")
            await self.clock.sleep_ms(ORDER_LATENCY_MS)
            raise RunnerUnansweredError("connection reset")
        if self.mode == "resetting":
            await self.clock.sleep_ms(ORDER_LATENCY_MS)
            raise RunnerUnansweredError("connection reset")
        if self.mode in ("cut", "dead"):
            self.unanswered_ms.append(self.clock.now_ms())
            await self.clock.sleep_ms(NO_ANSWER_TIMEOUT_MS)
            raise RunnerUnansweredError(self.mode)
        process = self._processes
        await self.clock.sleep_ms(ORDER_LATENCY_MS)
        await self._check_process(process)
        if instance and instance != self.listed.id:
            raise RunnerRefusedError("boot")
        if term < self._term:
            raise RunnerRefusedError("fence")
        self._term = term

    async def _check_process(self, process: int) -> None:
        """Fail a call whose connection was to an earlier process."""
        if process != self._processes:
            await self.clock.sleep_ms(CONNECTION_BREAK_MS)
            raise RunnerUnansweredError("connection broken")

    def _extend_lease(self, lease_until_ms: int) -> None:
        most_ms = self.clock_ms() + self._most_lease_ms
        self._lease_until_ms = max(self._lease_until_ms, min(lease_until_ms, most_ms))

    async def hold(
        self,
        term: int,
        acknowledged: int,
        lease_until_ms: int,
        wait_ms: int,
        instance: str = "",
    ) -> RunnerReport:
        """Extend the lease, discard acknowledged ends, and return a report.

        :param wait_ms: how long to wait for an end if none is pending.
        :param instance: id of the runner that the call names, empty for any.
        """
        await self._admit(term, instance)
        if lease_until_ms:
            self._extend_lease(lease_until_ms)
        kept = []
        for ended in self._ended:
            if ended.number <= acknowledged:
                self.journal.record(
                    "end_acknowledged",
                    task=ended.task,
                    run=ended.run,
                    runner=self.listed.id,
                    outcome=ended.outcome,
                )
            else:
                kept.append(ended)
        self._ended = kept
        if not self._ended and wait_ms:
            process = self._processes
            await wait_event(self._ended_event, wait_ms)
            await self._check_process(process)
            await self._admit(term, instance)
        running = [
            RunningTask(run.task_name, run.number, run.checkpoint, run.percent)
            for run in self._runs.values()
        ]
        listed = self._ended[: self.most_listed_ends]
        return RunnerReport(
            self.clock_ms(),
            self.boot_ms,
            running,
            listed,
            lists_all_ends=len(listed) < self.most_listed_ends,
        )

    async def start(
        self,
        term: int,
        task: str,
        run: int,
        spec: str,
        lease_until_ms: int,
        instance: str = "",
    ) -> int:
        """Start a task and return the runner's clock.

        :param instance: id of the runner that the call names, empty for any.
        :raises RunnerRefusedError: with the reason fence, old, late, room or boot.
        """
        if self.lost_starts:
            self.lost_starts -= 1
            order = (instance, term, task, run, spec, lease_until_ms)
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_start_ms / 1000, self._start_late, *order)
            await self.clock.sleep_ms(NO_ANSWER_TIMEOUT_MS)
            raise RunnerUnansweredError("the answer was lost")
        await self._admit(term, instance)
        return self._start(term, task, run, spec, lease_until_ms)

    def _start_late(
        self, instance: str, term: int, task: str, run: int, spec: str, lease_until_ms: int
    ) -> None:
        """Carry out a start whose answer was lost, if the process at the address accepts it."""
        named = not instance or instance == self.listed.id
        if self.mode in ENDED_MODES or not named or term < self._term:
            return
        self._term = term
        try:
            self._start(term, task, run, spec, lease_until_ms, late=True)
        except RunnerRefusedError:
            return

    def _start(
        self, term: int, task: str, run: int, spec: str, lease_until_ms: int, late: bool = False
    ) -> int:
        if (task, run) in self._runs:
            return self.clock_ms()
        if run <= self._fenced_run_by_task.get(task, 0):
            raise RunnerRefusedError("old")
        if lease_until_ms <= self.clock_ms():
            raise RunnerRefusedError("late")
        self._extend_lease(lease_until_ms)
        started = _Run(self, task, run, TaskSpec(spec))
        if self.guarding and not self._has_room(started.demand):
            raise RunnerRefusedError("room")
        started.started_ms = self.clock.now_ms()
        self._runs[task, run] = started
        self.journal.record(
            "task_started",
            task=task,
            run=run,
            runner=self.listed.id,
            term=term,
            late=late,
            cpu_millis=started.demand.cpu_millis,
            memory_mb=started.demand.memory_mb,
            accelerators=started.demand.accelerators,
        )
        self.gangs.join(started)
        if started.task.index in started.work.deadly:
            loop = asyncio.get_running_loop()
            loop.call_later(started.work.deadly_after_ms / 1000, self._crash_by, started)
        return self.clock_ms()

    def _has_room(self, demand: Capacity) -> bool:
        fits = self._free_capacity().count_fitting(
            Capacity(demand.cpu_millis, demand.memory_mb, 0), 1
        )
        return bool(fits) and demand.accelerators <= self.free()

    def _crash_by(self, run: _Run) -> None:
        """Crash as a task does, unless it has ended before."""
        if not run.ended:
            self.crash(run.task_name, run.number)
            self.on_deadly_task(self)

    async def stop(self, term: int, task: str, run: int, instance: str = "") -> int:
        """Stop a run, or prevent it from starting later; return the runner's clock.

        :param instance: id of the runner that the call names, empty for any.
        """
        await self._admit(term, instance)
        self._fenced_run_by_task[task] = max(run, self._fenced_run_by_task.get(task, 0))
        found = self._runs.get((task, run))
        if found is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self._stop_ms / 1000, self.end, found, "stopped")
        return self.clock_ms()


class InMemoryRunnerClient:
    """In-memory `RunnerClient` of one instance; connects to addresses and names the runner's id.

    :param runners: the emulated runners at all times, each at its own address.
    :ivar cut_off: ids of the runners that the instance cannot reach.
    """

    def __init__(self, runners: list[TaskRunner], clock: Clock) -> None:
        self._runners = runners
        self._clock = clock
        self.cut_off: set[str] = set()

    async def _connect(self, runner: Runner) -> TaskRunner:
        address = runner.address
        found = next((one for one in self._runners if one.listed.address == address), None)
        if found is None or runner.id in self.cut_off:
            await self._clock.sleep_ms(NO_ANSWER_TIMEOUT_MS)
            raise RunnerUnansweredError("no answer")
        return found

    async def hold(
        self, runner: Runner, term: int, acknowledged: int, lease_until_ms: int, wait_ms: int
    ) -> RunnerReport:
        """Extend the lease and return a report."""
        found = await self._connect(runner)
        return await found.hold(term, acknowledged, lease_until_ms, wait_ms, runner.id)

    async def start(
        self,
        runner: Runner,
        term: int,
        task: str,
        run: int,
        spec: str,
        checkpoint: str,
        lease_until_ms: int,
        ticket: str = "",
    ) -> int:
        """Start a task."""
        found = await self._connect(runner)
        return await found.start(term, task, run, spec, lease_until_ms, runner.id)

    async def stop(self, runner: Runner, term: int, task: str, run: int) -> int:
        """Stop a run."""
        found = await self._connect(runner)
        return await found.stop(term, task, run, runner.id)


def _address(name: str) -> str:
    """Return an address that no other name has."""
    host = hashlib.blake2b(name.encode(), digest_size=3).digest()
    return ".".join(["127", *(str(part) for part in host)]) + ":9000"


def make_runner(name: str, rack: str, accelerators: int = 8, service: str = "render") -> Runner:
    """Return the listing of an emulated runner."""
    return Runner(
        name,
        service,
        _address(name),
        "south-a",
        Capacity(64_000, 256_000, accelerators),
        frozenset({"a", rack}),
        rack,
    )
