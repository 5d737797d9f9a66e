"""The planner: carries out placements on runners while its instance holds the term."""

import asyncio
from collections.abc import Callable

import structlog

from carawayroute.clock import Clock
from carawayroute.estimates import RunTimeEstimator
from carawayroute.fleet import order
from carawayroute.fleet.book import PROGRESS_KEY, SPEEDS_KEY, Job, JobBook, Stage
from carawayroute.fleet.exceptions import (
    RunnerError,
    RunnerRefusedError,
    RunnerUnansweredError,
    StoreError,
    StoreFencedError,
)
from carawayroute.fleet.follower import TopicFollower
from carawayroute.fleet.links import RunnerLink
from carawayroute.fleet.packing import Room, in_hurry
from carawayroute.fleet.ports import RunnerOrders, Store
from carawayroute.fleet.scheduler import Pass, Placement, RunClock, usual_capacity
from carawayroute.fleet.speeds import RunnerSpeeds
from carawayroute.fleet.trust import STALL_MS, RunnerTrust
from carawayroute.fleet.types import (
    Configuration,
    EndedTask,
    Runner,
    RunnerReport,
    RunningTask,
    TaskId,
)
from carawayroute.fleet.writer import LogWriter
from carawayroute.misc import TaskGroup, wait_event
from carawayroute.retries import Backoff

PRODUCER = "planner"
# Time that the first looks may take before work is placed on those that answered.
FIRST_LOOKS_MS = 400
PASS_INTERVAL_MS = 250
# Changes within this time are answered by one pass.
PASS_DELAY_MS = 4
# Rest after a pass, as a multiple of the time that it took.
REST_FACTOR = 2.0
# An order without an answer is repeated until this time has passed.
START_GIVE_UP_MS = 1_800
RETRY_MS = 40
# Time for a listed end to reach the planner before it looks for it.
END_TRAVEL_MS = 60
# Victims that do not end within this time lead to another placement.
ROOM_TIMEOUT_MS = 1_500
ROOM_CHECK_MS = 100

STATUS_INTERVAL_MS = 2_000
# Some 3 KB for 176 runners, read by every instance.
SPEEDS_INTERVAL_MS = 6_000
# Progress from which a task's run time is told; less is too rough, as it comes in whole percents.
SAMPLE_PERCENT = 25
WHOLE_PERCENT = 100
# Runs of an urgent gang from the first on that are given up when they stand still.
MOST_STALL_MOVES = 3
# A job of which nothing runs for longer may use runners that are avoided; within the 3 s in which
# the platform expects work to start where there is room.
IDLE_MS = 1_800
# Records dropped in one append.
MOST_FORGOTTEN = 300
# Jobs named in a status line.
MOST_NAMED = 5

log = structlog.get_logger()

RunKey = tuple[str, int]


class Run:
    """What the planner knows of one start of a task.

    :param settled_ms: when an answer to its last order came; a look sent later tells the truth.
    """

    __slots__ = (
        "checkpoint",
        "index",
        "percent",
        "progress_ms",
        "run",
        "runner",
        "sampled",
        "settled_ms",
        "stage",
        "started_ms",
        "withdrawn",
    )

    def __init__(self, stage: Stage, index: int, run: int, runner: str) -> None:
        self.stage = stage
        self.index = index
        self.run = run
        self.runner = runner
        self.settled_ms: float | None = None
        self.started_ms: float | None = None
        self.withdrawn = ""
        self.checkpoint = ""
        self.percent = -1
        # When a look showed another percent than the one before.
        self.progress_ms: float | None = None
        # Runs taken over were not watched from their beginning.
        self.sampled = False


class PlannerSettings:
    """Figures of the deployment that the planner needs.

    :param lease_ms: lease that runners are given.
    :param most_lease_ms: longest lease that a runner grants to anybody.
    :param stop_ms: time that a stop takes at most.
    :param memory_ms: how long the state of an ended job is kept.
    """

    __slots__ = ("lease_ms", "memory_ms", "most_lease_ms", "stop_ms")

    def __init__(
        self, lease_ms: int, most_lease_ms: int, stop_ms: int, memory_ms: int = 120_000
    ) -> None:
        self.memory_ms = memory_ms
        self.lease_ms = lease_ms
        self.most_lease_ms = most_lease_ms
        self.stop_ms = stop_ms


class Planner:
    """Plan for the whole fleet during one term."""

    def __init__(
        self,
        term: int,
        settings: PlannerSettings,
        clock: Clock,
        store: Store,
        orders: RunnerOrders,
        book: JobBook,
        jobs_follower: TopicFollower,
        configuration: Callable[[], Configuration | None],
        make_runners_follower: Callable[["Planner"], TopicFollower],
        on_lost: Callable[[], None],
        on_size: Callable[[int], None],
    ) -> None:
        self.term = term
        self._settings = settings
        self._clock = clock
        self._store = store
        self._orders = orders
        self.book = book
        self._jobs_follower = jobs_follower
        self._configuration = configuration
        self._on_lost = on_lost
        self._on_size = on_size
        self._tasks = TaskGroup()
        self._writer = LogWriter(store, clock, jobs_follower.topic, PRODUCER, term, persistent=True)
        self._runners_follower = make_runners_follower(self)
        self.links_by_id: dict[str, RunnerLink] = {}
        self._link_tasks: dict[str, asyncio.Task] = {}
        self.runs_by_key: dict[RunKey, Run] = {}
        self._runs_by_runner: dict[str, dict[RunKey, Run]] = {}
        self._lapse_by_departed: dict[str, float] = {}
        self._changed = asyncio.Event()
        self._reported = asyncio.Event()
        self.run_times = RunTimeEstimator()
        self.trust = RunnerTrust(clock)
        self.speeds = RunnerSpeeds()
        self._taken_ms = clock.now_ms()
        self._ready = False
        self._status_ms = 0.0
        self._speeds_ms = self._taken_ms
        self._worth: order.Worth | None = None
        self._idle_since_by_job: dict[str, float] = {}
        self.placing = True

    # ------------------------------------------------------------------ term

    async def run(self) -> None:
        """Take over from the planner before and plan until cancelled."""
        self._tasks.start(self._writer.run(), "planner writer")
        try:
            await self._take_over()
            while True:
                await self._wait_change()
                if self.placing:
                    await self._pass()
        except StoreFencedError:
            log.warning("planner_fenced", term=self.term, by="store")
        finally:
            # A planner that ended for any reason must not keep its term.
            self._on_lost()
            await self._tasks.cancel()

    async def _take_over(self) -> None:
        await self._jobs_follower.loaded.wait()
        end = await self._fence()
        await self._jobs_follower.read_to(end)
        for job in self.book.open_by_id.values():
            for stage in job.stages_by_key.values():
                for index in stage.placed():
                    self._adopt(stage, index)
        # Reports are compared with what was adopted, so no runner is looked at before.
        self._tasks.start(self._runners_follower.run(), "follow runners")
        await self._runners_follower.loaded.wait()
        await self._first_looks()
        self._ready = True
        self._changed.set()
        log.info(
            "planner_ready",
            term=self.term,
            jobs=len(self.book.open_by_id),
            adopted=len(self.runs_by_key),
            runners=sum(link.reachable for link in self.links_by_id.values()),
            listed=len(self.links_by_id),
            took_ms=round(self._clock.now_ms() - self._taken_ms),
        )

    async def _fence(self) -> int:
        """Bar the planner before from putting starts on record; return the end of the record."""
        backoff = Backoff(RETRY_MS, PASS_INTERVAL_MS)
        while True:
            try:
                fenced = await self._store.append(
                    self._jobs_follower.topic, [], producer=PRODUCER, epoch=self.term
                )
            except StoreFencedError:
                raise
            except StoreError as error:
                log.warning("fence_failed", term=self.term, error=str(error))
                await self._clock.sleep_ms(backoff.next_ms())
                continue
            return fenced.end

    async def _first_looks(self) -> None:
        until_ms = self._clock.now_ms() + FIRST_LOOKS_MS
        while any(not link.reachable for link in self.links_by_id.values()):
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                return
            self._reported.clear()
            await wait_event(self._reported, left_ms)

    def _adopt(self, stage: Stage, index: int) -> None:
        run = Run(stage, index, stage.runs[index], stage.runners[index])
        run.settled_ms = self._taken_ms
        run.checkpoint = stage.checkpoint(index)
        run.sampled = True
        self._add_run(run)

    def _add_run(self, run: Run) -> None:
        key = (run.stage.task(run.index), run.run)
        self.runs_by_key[key] = run
        self._runs_by_runner.setdefault(run.runner, {})[key] = run

    def _fenced(self, link: RunnerLink) -> None:
        log.warning("planner_fenced", term=self.term, by=link.runner.id)
        self._on_lost()

    def _note_lost(self, link: RunnerLink) -> None:
        self.trust.note_lost(link.runner.id)

    def _first_lapse_ms(self) -> float:
        return self._taken_ms + self._settings.most_lease_ms * 1.04 + 500

    # ------------------------------------------------------------------ runners

    def set_runner(self, runner: Runner) -> None:
        """Take over what the platform's list says of a runner."""
        link = self.links_by_id.get(runner.id)
        if link is not None and link.runner.address == runner.address:
            was_draining = link.runner.draining
            link.runner = runner
            link.listed = True
            if runner.draining and not was_draining:
                log.info("runner_draining", runner=runner.id)
            return
        first_lapse_ms = self._first_lapse_ms()
        if link is not None:
            first_lapse_ms = max(first_lapse_ms, link.lapse_ms)
            self._drop_link(runner.id)
        departed_ms = self._lapse_by_departed.pop(runner.id, 0.0)
        link = RunnerLink(
            runner,
            self.term,
            self._orders,
            self._clock,
            self._settings.lease_ms,
            max(first_lapse_ms, departed_ms),
            self._take_report,
            self._fenced,
            self._note_lost,
        )
        self.links_by_id[runner.id] = link
        self._link_tasks[runner.id] = self._tasks.start(link.run(), f"runner {runner.id}")
        log.info("runner_listed", runner=runner.id, address=runner.address, rack=runner.rack)

    def remove_runner(self, runner_id: str) -> None:
        """Note that a runner is not listed any more; it may run on until its lease ends."""
        link = self.links_by_id.get(runner_id)
        if link is not None and link.listed:
            log.info("runner_unlisted", runner=runner_id, reachable=link.reachable)
            link.listed = False

    def keep_runners(self, listed: set[str]) -> None:
        """Drop the runners that a whole new list does not name."""
        for runner_id in list(self.links_by_id):
            if runner_id not in listed:
                self.remove_runner(runner_id)

    def _drop_link(self, runner_id: str) -> None:
        task = self._link_tasks.pop(runner_id, None)
        if task is not None:
            task.cancel()
        link = self.links_by_id.pop(runner_id, None)
        # Another process under this id may run on another kind of machine.
        self.speeds.forget_runner(runner_id)
        if link is not None:
            ended = link.gone
            self._lapse_by_departed[runner_id] = self._clock.now_ms() if ended else link.lapse_ms

    def _certainly_ended(self, run: Run) -> bool:
        """Return whether a run's runner can run nothing of it any more."""
        link = self.links_by_id.get(run.runner)
        if link is None:
            lapse_ms = self._lapse_by_departed.get(run.runner, self._first_lapse_ms())
            return self._clock.now_ms() > lapse_ms
        return not link.reachable and (link.gone or link.lapsed())

    # ------------------------------------------------------------------ reports

    def _take_report(self, link: RunnerLink, report: RunnerReport, sent_ms: float) -> None:
        """Compare a report with what is believed, and act on every difference."""
        self._reported.set()
        for ended in report.ended:
            if ended.number > link.handled:
                self._take_end(link, ended)
        last = max((ended.number for ended in report.ended), default=0)
        if last > link.handled:
            link.handled = last
            self._tasks.start(self._store_ends(link, last, report), f"ends of {link.runner.id}")
        listed = {(item.task, item.run) for item in report.running}
        listed.update((ended.task, ended.run) for ended in report.ended)
        for item in report.running:
            self._take_running(link, item)
        for key, run in list(self._runs_by_runner.get(link.runner.id, {}).items()):
            if key in listed:
                continue
            if run.settled_ms is not None and run.settled_ms < sent_ms:
                log.warning("run_vanished", task=key[0], run=key[1], runner=run.runner)
                self._end_run(key, run, "lapsed", run.checkpoint)

    async def _store_ends(self, link: RunnerLink, last: int, report: RunnerReport) -> None:
        jobs = {}
        for ended in report.ended:
            job = self.book.jobs_by_id.get(ended.task.split(".", 1)[0])
            if job is not None:
                jobs[job.id] = job
        if jobs:
            await self._persist(list(jobs.values()))
        if self.links_by_id.get(link.runner.id) is link and link.born_ms == report.born_ms:
            link.store_through(last)

    def _take_running(self, link: RunnerLink, item: RunningTask) -> None:
        run = self.runs_by_key.get((item.task, item.run))
        if run is None or run.runner != link.runner.id:
            log.warning("stray_run", task=item.task, run=item.run, runner=link.runner.id)
            self._tasks.start(self._stop_stray(link, item), f"stop {item.task}")
            return
        now_ms = self._clock.now_ms()
        if run.started_ms is None:
            run.started_ms = now_ms
            run.stage.job.begun = True
            self._changed.set()
        if item.checkpoint and item.checkpoint != run.checkpoint:
            run.checkpoint = item.checkpoint
        if item.percent != run.percent or run.progress_ms is None:
            run.progress_ms = now_ms
        run.percent = item.percent
        if not run.sampled and item.percent >= SAMPLE_PERCENT:
            self._sample_speed(run, now_ms)

    def _sample_speed(self, run: Run, now_ms: float) -> None:
        """Learn from the progress of a task that began at its beginning and works by itself."""
        run.sampled = True
        stage = run.stage
        if stage.step.gang or run.started_ms is None or stage.checkpoint(run.index):
            return
        self.speeds.observe(stage.key, run.runner, (now_ms - run.started_ms) * 100 / run.percent)

    async def _stop_stray(self, link: RunnerLink, item: RunningTask) -> None:
        try:
            await self._orders.stop(link.runner, self.term, item.task, item.run)
        except RunnerError as error:
            log.warning("stray_stop_failed", task=item.task, run=item.run, error=str(error))

    def _take_end(self, link: RunnerLink, ended: EndedTask) -> None:
        key = (ended.task, ended.run)
        run = self.runs_by_key.get(key)
        if run is None or run.runner != link.runner.id:
            self._take_foreign_end(link, ended)
            return
        self._end_run(key, run, ended.outcome, ended.checkpoint)

    def _take_foreign_end(self, link: RunnerLink, ended: EndedTask) -> None:
        """Count the end of a run that is not on record as running: a done one must not be lost."""
        log.info(
            "end_unmatched",
            task=ended.task,
            run=ended.run,
            runner=link.runner.id,
            outcome=ended.outcome,
        )
        try:
            task = TaskId.parse(ended.task)
        except ValueError:
            return
        job = self.book.jobs_by_id.get(task.job_id)
        if ended.outcome != "done" or job is None or task.step >= len(job.record.steps):
            return
        if job.ended_ms is not None:
            return
        stage = job.stage(task.occurrence, task.step)
        if not stage.finished and task.index < stage.step.count:
            self._finish_task(stage, task.index)
            self.book.settle(job, self._clock.now_ms())

    def _finish_task(self, stage: Stage, index: int) -> None:
        """Count a task as done and withdraw whatever else runs of it."""
        if stage.step.long_running:
            return
        stage.end_done(index)
        members = range(stage.step.count) if stage.step.gang else (index,)
        for member in members:
            run = self.runs_by_key.get((stage.task(member), stage.runs[member]))
            if run is not None and not run.withdrawn:
                self._withdraw(run, "done elsewhere")

    def _end_run(self, key: RunKey, run: Run, outcome: str, checkpoint: str) -> None:
        """Take over the end of a run and free its room."""
        stage, index = run.stage, run.index
        job = stage.job
        now_ms = self._clock.now_ms()
        del self.runs_by_key[key]
        del self._runs_by_runner[run.runner][key]
        stage.runners[index] = ""
        if outcome in ("done", "failed"):
            job.begun = True
        stage.keep_checkpoint(index, checkpoint or run.checkpoint)
        failures = 0
        if outcome == "done" and not stage.step.long_running:
            self._note_done(stage, index, run)
        elif outcome == "failed" and not stage.step.long_running and not stage.done[index]:
            failures = stage.end_failed(index)
            if failures >= max(1, job.record.max_attempts):
                job.failed = True
                job.reason = f"task {key[0]} failed {failures} times"
        log.info(
            "task_ended",
            job=job.id,
            task=key[0],
            run=key[1],
            runner=run.runner,
            outcome=outcome,
            failures=failures,
            withdrawn=run.withdrawn,
            ran_ms=round(now_ms - run.started_ms) if run.started_ms else -1,
        )
        self.trust.note_end(run.runner, job.id, outcome, bool(run.withdrawn))
        if stage.step.gang and outcome != "done":
            self._withdraw_gang(stage, run.run, "member ended")
        if job.closed:
            self._withdraw_job(job)
        self.book.settle(job, now_ms)
        if job.ended_ms is not None:
            for ended in job.stages_by_key.values():
                self.speeds.forget_step(ended.key)
        if outcome not in ("done", "failed", "stopped"):
            # Room and checkpoints are on record before the task is placed again.
            self._tasks.start(self._persist([job]), f"persist {job.id}")
        self._changed.set()

    def _note_done(self, stage: Stage, index: int, run: Run) -> None:
        stage.end_done(index)
        if run.started_ms is not None and not stage.checkpoint(index):
            ran_ms = self._clock.now_ms() - run.started_ms
            declared_ms = max(1, stage.step.estimate_ms)
            self.run_times.observe(stage.job.record.queue, ran_ms / declared_ms)
            if not stage.step.gang and not run.sampled:
                self.speeds.observe(stage.key, run.runner, ran_ms)

    # ------------------------------------------------------------------ withdrawing

    def _withdraw_gang(self, stage: Stage, number: int, reason: str) -> None:
        for index in stage.placed():
            run = self.runs_by_key.get((stage.task(index), number))
            if run is not None and not run.withdrawn:
                self._withdraw(run, reason)

    def _withdraw_job(self, job: Job) -> None:
        for stage in job.stages_by_key.values():
            for index in stage.placed():
                run = self.runs_by_key.get((stage.task(index), stage.runs[index]))
                if run is not None and not run.withdrawn:
                    self._withdraw(run, job.state)

    def _withdraw(self, run: Run, reason: str) -> None:
        """Stop a run, or see to it that it never starts."""
        run.withdrawn = reason
        run.settled_ms = None
        task = run.stage.task(run.index)
        log.info("run_withdrawn", task=task, run=run.run, runner=run.runner, reason=reason)
        self._tasks.start(self._stop_until_ended(run), f"withdraw {task}")

    async def _stop_until_ended(self, run: Run) -> None:
        key = (run.stage.task(run.index), run.run)
        backoff = Backoff(RETRY_MS, PASS_INTERVAL_MS)
        while self.runs_by_key.get(key) is run:
            link = self.links_by_id.get(run.runner)
            if self._certainly_ended(run):
                self._end_run(key, run, "lapsed", run.checkpoint)
                return
            if link is None:
                await self._clock.sleep_ms(PASS_INTERVAL_MS)
                continue
            try:
                await self._orders.stop(link.runner, self.term, *key)
            except RunnerRefusedError as error:
                if error.reason == "fence":
                    self._fenced(link)
                    return
            except RunnerError as error:
                log.info("stop_unanswered", task=key[0], runner=run.runner, error=str(error))
                await self._clock.sleep_ms(backoff.next_ms())
                continue
            if run.settled_ms is None:
                run.settled_ms = self._clock.now_ms()
            await self._clock.sleep_ms(self._settings.stop_ms + END_TRAVEL_MS)
            if self.runs_by_key.get(key) is run:
                # The look under way was sent too early to tell that the run is not there.
                await link.look_now()

    # ------------------------------------------------------------------ placing

    def changed(self) -> None:
        """Note that a pass may find something to do."""
        self._changed.set()

    async def _wait_change(self) -> None:
        if await wait_event(self._changed, PASS_INTERVAL_MS):
            await self._clock.sleep_ms(PASS_DELAY_MS)
        self._changed.clear()

    def _rooms(self) -> tuple[list[Room], list[Room]]:
        """Return the runners that may get work, with what is free on them, and those avoided."""
        free_by_id = {
            link.runner.id: link.runner.capacity.copy()
            for link in self.links_by_id.values()
            if link.usable and not link.runner.draining
        }
        for run in self.runs_by_key.values():
            free = free_by_id.get(run.runner)
            if free is not None:
                free.take(run.stage.need)
        rooms: list[Room] = []
        avoided: list[Room] = []
        for name, free in free_by_id.items():
            room = Room(self.links_by_id[name].runner, free, self.speeds.speed(name))
            (rooms if self.trust.is_trusted(name) else avoided).append(room)
        return rooms, avoided

    def _idle_jobs(self) -> set[str]:
        """Return the jobs of which nothing has been ordered for long although its turn came."""
        now_ms = self._clock.now_ms()
        wall_ms = self._clock.wall_ms()
        since_by_job = {}
        for job in self.book.open_by_id.values():
            stages = list(job.open_stages(wall_ms))
            if stages and not any(any(stage.runners) for stage in stages):
                since_by_job[job.id] = self._idle_since_by_job.get(job.id, now_ms)
        self._idle_since_by_job = since_by_job
        return {job_id for job_id, since in since_by_job.items() if now_ms - since > IDLE_MS}

    def _estimate_ms(self, stage: Stage) -> float:
        ratio = self.run_times.expect_ms(stage.job.record.queue, 1.0)
        return stage.step.estimate_ms * ratio

    def _run_clock(self, stage: Stage, index: int) -> RunClock:
        run = self.runs_by_key.get((stage.task(index), stage.runs[index]))
        if run is None or run.withdrawn:
            return RunClock(0.0, False)
        link = self.links_by_id.get(run.runner)
        if link is None or not link.usable:
            return RunClock(0.0, False)
        if stage.step.checkpoints:
            # A stop saves what was done.
            return RunClock(0.0, True)
        now_ms = self._clock.now_ms()
        ran_ms = now_ms - run.started_ms if run.started_ms is not None else 0.0
        # A run that was adopted has run for longer than this planner has watched it.
        worked_ms = max(0, run.percent) / 100 * self._estimate_ms(stage)
        return RunClock(max(ran_ms, worked_ms), True)

    async def _pass(self) -> None:
        configuration = self._configuration()
        if configuration is None or not self._ready:
            return
        self._end_cancelled()
        self._end_lapsed()
        self._leave_stalled()
        rooms, avoided = self._rooms()
        self._on_size(sum(room.runner.capacity.accelerators for room in (*rooms, *avoided)))
        if self._worth is None and rooms:
            self._worth = order.Worth(order.Room(usual_capacity(rooms)))
        started_ms = self._clock.now_ms()
        placements = Pass(
            self.book,
            configuration,
            rooms,
            self._clock.wall_ms(),
            self._estimate_ms,
            self._run_clock,
            self._worth,
            avoided,
            self._idle_jobs(),
        ).run()
        took_ms = self._clock.now_ms() - started_ms
        if placements:
            self._launch(placements)
        # Orders and reports get most of the processor, however long a pass takes.
        await self._clock.sleep_ms(REST_FACTOR * took_ms)
        now_ms = self._clock.now_ms()
        if now_ms - self._status_ms >= STATUS_INTERVAL_MS:
            self._status_ms = now_ms
            self._report_status()
            self._tell_speeds(now_ms)
            self._forget_old(now_ms)

    def _forget_old(self, now_ms: float) -> None:
        """Drop the records of jobs that ended longer ago than anybody may ask for."""
        records: list[tuple[str, bytes]] = []
        for job in list(self.book.jobs_by_id.values()):
            if job.ended_ms is None or now_ms - job.ended_ms < self._settings.memory_ms:
                continue
            records.extend((key, b"") for key in self.book.forget(job.id))
            if len(records) >= MOST_FORGOTTEN:
                break
        if records:
            log.info("jobs_forgotten", records=len(records))
            self._tasks.start(self._writer.write(records), "forget jobs")

    def _tell_speeds(self, now_ms: float) -> None:
        """Put what was learnt of runners on record every now and then."""
        if now_ms - self._speeds_ms < SPEEDS_INTERVAL_MS:
            return
        self._speeds_ms = now_ms
        record = (SPEEDS_KEY, self.speeds.to_record().SerializeToString())
        self._tasks.start(self._writer.write([record]), "tell speeds")

    def _report_status(self) -> None:
        """Log what waits and what holds room, for those who ask why a job waits."""
        waiting = [
            stage.task(0)
            for job in self.book.open_by_id.values()
            for stage in job.open_stages(self._clock.wall_ms())
            if stage.waiting() and not stage.placed()
        ]
        rooms, avoided = self._rooms()
        log.info(
            "planner_status",
            term=self.term,
            jobs=len(self.book.open_by_id),
            waiting=len(waiting),
            first_waiting=waiting[:MOST_NAMED],
            runs=len(self.runs_by_key),
            withdrawn=sum(1 for run in self.runs_by_key.values() if run.withdrawn),
            runners_listed=len(self.links_by_id),
            runners_usable=len(rooms),
            runners_avoided=[room.runner.id for room in avoided][:MOST_NAMED],
            accelerators_free=sum(max(0, room.free.accelerators) for room in rooms),
        )

    def _end_cancelled(self) -> None:
        for job in list(self.book.open_by_id.values()):
            if job.closed:
                self._withdraw_job(job)

    def _end_lapsed(self) -> None:
        """End the runs of runners that have been out of reach for longer than any lease."""
        for key, run in list(self.runs_by_key.items()):
            if self._certainly_ended(run):
                self._end_run(key, run, "lapsed", run.checkpoint)
        for runner_id, link in list(self.links_by_id.items()):
            if not link.listed and not link.reachable and (link.gone or link.lapsed()):
                self._drop_link(runner_id)

    def _leave_stalled(self) -> None:
        """Avoid runners on which everything stands still, and move urgent gangs off them once.

        A gang works as fast as its slowest member, so one bad runner halts the others; they are
        told apart once those have other work, and until then all are avoided.
        """
        now_ms = self._clock.now_ms()
        going: set[str] = set()
        stalled_by_runner: dict[str, list[Run]] = {}
        for run in self.runs_by_key.values():
            if run.started_ms is None or run.progress_ms is None or run.withdrawn:
                continue
            if run.stage.step.long_running or run.percent >= WHOLE_PERCENT:
                # Tasks that last show no progress.
                continue
            if now_ms - run.progress_ms <= STALL_MS:
                going.add(run.runner)
            else:
                stalled_by_runner.setdefault(run.runner, []).append(run)
        for runner, runs in stalled_by_runner.items():
            link = self.links_by_id.get(runner)
            if runner in going or link is None or not link.usable:
                continue
            if self.trust.is_trusted(runner):
                log.warning("runner_stalled", runner=runner, runs=len(runs))
            self.trust.note_stalled(runner)
            for run in runs:
                stage = run.stage
                if in_hurry(stage) and stage.step.gang and run.run < MOST_STALL_MOVES:
                    self._withdraw_gang(stage, run.run, "stands still")

    def _launch(self, placements: list[Placement]) -> None:
        """Put placements on record, clear their room and start them."""
        for placement in placements:
            stage = placement.stage
            number = stage.next_run()
            runs = []
            for index, place in zip(placement.indices, placement.places, strict=True):
                if not stage.step.gang:
                    number = stage.runs[index] + 1
                stage.runs[index] = number
                stage.runners[index] = place
                run = Run(stage, index, number, place)
                self._add_run(run)
                runs.append(run)
            log.info(
                "placed",
                job=stage.job.id,
                occurrence=stage.occurrence,
                step=stage.number,
                run=number,
                tasks=len(runs),
                runners=",".join(placement.places),
                guaranteed=placement.guaranteed,
                victims=",".join(victim.stage.job.id for victim in placement.victims),
            )
            self._tasks.start(self._start(placement, runs), f"start {stage.job.id}")

    async def _persist(self, jobs: list[Job]) -> None:
        """Put the state of jobs on record."""
        records = [
            (PROGRESS_KEY + job.id, job.to_progress(self.term).SerializeToString()) for job in jobs
        ]
        try:
            await self._writer.write(records)
        except StoreFencedError:
            log.warning("planner_fenced", term=self.term, by="store")
            self._on_lost()
            raise asyncio.CancelledError from None

    async def _start(self, placement: Placement, runs: list[Run]) -> None:
        for victim in placement.victims:
            for index in victim.indices:
                stage = victim.stage
                run = self.runs_by_key.get((stage.task(index), stage.runs[index]))
                if run is not None and not run.withdrawn:
                    self._withdraw(run, f"preempted by {placement.stage.job.id}")
        await self._persist([placement.stage.job])
        if placement.victims and not await self._wait_room(placement):
            log.warning("room_not_cleared", job=placement.stage.job.id)
            for run in runs:
                if not run.withdrawn:
                    self._withdraw(run, "room not cleared")
            return
        job = placement.stage.job
        waited = not job.begun
        await asyncio.gather(*(self._start_task(run) for run in runs))
        if waited and job.begun:
            # All instances tell how many jobs wait for their first task.
            await self._persist([job])

    async def _wait_room(self, placement: Placement) -> bool:
        """Return whether the victims made room in time."""
        until_ms = self._clock.now_ms() + ROOM_TIMEOUT_MS
        waiting = {
            (victim.stage.task(index), victim.stage.runs[index])
            for victim in placement.victims
            for index in victim.indices
        }
        while self._clock.now_ms() < until_ms:
            if not any(key in self.runs_by_key for key in waiting):
                return True
            self._reported.clear()
            await wait_event(self._reported, ROOM_CHECK_MS)
        return False

    async def _start_task(self, run: Run) -> None:
        """Order a start until its outcome is certain, or withdraw it."""
        stage = run.stage
        task = stage.task(run.index)
        give_up_ms = self._clock.now_ms() + START_GIVE_UP_MS
        backoff = Backoff(RETRY_MS, PASS_INTERVAL_MS)
        unanswered = False
        while not run.withdrawn and self.runs_by_key.get((task, run.run)) is run:
            link = self.links_by_id.get(run.runner)
            if link is None or self._clock.now_ms() > give_up_ms:
                self._fail_start(run, "no answer")
                return
            try:
                clock_ms = await self._orders.start(
                    link.runner,
                    self.term,
                    task,
                    run.run,
                    stage.job.record.spec,
                    stage.checkpoint(run.index),
                    link.lease_until_ms(),
                )
            except RunnerUnansweredError as error:
                unanswered = True
                log.info("start_unanswered", task=task, runner=run.runner, error=str(error))
                await self._clock.sleep_ms(backoff.next_ms())
                continue
            except RunnerRefusedError as error:
                if error.reason == "late":
                    await self._clock.sleep_ms(RETRY_MS)
                    continue
                if error.reason == "fence":
                    self._fenced(link)
                    return
                self.trust.note_refusal(run.runner, error.reason)
                self._fail_start(run, error.reason, certain=not unanswered)
                return
            link.take_clock(clock_ms)
            run.settled_ms = self._clock.now_ms()
            run.started_ms = run.settled_ms
            stage.job.begun = True
            return

    def _fail_start(self, run: Run, reason: str, certain: bool = False) -> None:
        """Take a start back, and the rest of its gang with it.

        :param certain: the runner did nothing, and no order for the run is under way.
        """
        key = (run.stage.task(run.index), run.run)
        log.info("start_failed", task=key[0], run=run.run, runner=run.runner, reason=reason)
        if run.withdrawn:
            return
        if certain:
            self._end_run(key, run, "refused", run.checkpoint)
        elif run.stage.step.gang:
            self._withdraw_gang(run.stage, run.run, f"start failed: {reason}")
        else:
            self._withdraw(run, f"start failed: {reason}")
