"""The planner: runs scheduling passes and starts and stops tasks on runners during one term."""

import asyncio
import math
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Mapping
from functools import partial

import structlog

from carawayroute.clock import Clock
from carawayroute.estimates import RunTimeEstimator
from carawayroute.exceptions import CarawayrouteError
from carawayroute.fleet import admission, isolation, ranking, standing
from carawayroute.fleet.crashes import CrashLedger, is_start_crash, note_running
from carawayroute.fleet.departures import Departures
from carawayroute.fleet.exceptions import (
    RunnerError,
    RunnerNotListeningError,
    RunnerNotSentError,
    RunnerRefusedError,
    RunnerUnansweredError,
    StoreError,
    StoreFencedError,
)
from carawayroute.fleet.follower import MAX_LOGGED_AGE_MS, TopicFollower
from carawayroute.fleet.isolation import Isolation, SuspectWaits
from carawayroute.fleet.jobs import (
    CANCEL_KEY,
    PROGRESS_KEY,
    SPEEDS_KEY,
    Job,
    JobTable,
    LostRun,
    Stage,
)
from carawayroute.fleet.lease_limits import LeaseLimits, certain_ms
from carawayroute.fleet.links import OTHER_PROCESS, RunnerLink
from carawayroute.fleet.lost_runners import LostRunners
from carawayroute.fleet.packing import Candidate, is_time_critical
from carawayroute.fleet.pause_guard import GuardedRunnerClient, PauseGuard
from carawayroute.fleet.ports import RunnerClient, Store
from carawayroute.fleet.runner_health import STALL_MS, RunnerHealth
from carawayroute.fleet.runs import Run, RunKey
from carawayroute.fleet.scheduler import (
    PassTurns,
    Placement,
    SchedulingPass,
    StopCost,
    median_capacity,
)
from carawayroute.fleet.speeds import RunnerSpeeds
from carawayroute.fleet.strays import StrayRuns
from carawayroute.fleet.types import (
    Capacity,
    Configuration,
    EndedTask,
    Runner,
    RunnerReport,
    RunningTask,
    TaskId,
)
from carawayroute.fleet.unrecorded import (
    KNOWN_RUNNERS_KEY,
    InheritedStarts,
    UnrecordedStarts,
    is_unrecorded,
)
from carawayroute.fleet.writer import LogWriter
from carawayroute.misc import TaskGroup, wait_event
from carawayroute.retries import Backoff
from carawayroute_schema import records_pb2 as pb

PRODUCER = "planner"
# After a take-over, work is placed once all runners have reported or this time has passed.
INITIAL_REPORTS_TIMEOUT_MS = 400
# An instance that needs longer to read the jobs leaves the term to another one.
MAX_CATCH_UP_MS = 3_000
PASS_INTERVAL_MS = 250
# A planner whose passes fail more often in a row leaves the term to another instance.
MAX_FAILED_PASSES = 20
# Changes within this time are handled by the same pass.
PASS_DELAY_MS = 4
# Pause after a pass, as a multiple of its duration.
PASS_REST_FACTOR = 2.0
# A start request without an answer is retried for this time.
START_TIMEOUT_MS = 1_800
RETRY_MS = 40
# Time allowed for the end of a stopped run to be reported before the runner is polled for it.
END_REPORT_DELAY_MS = 60
# If the victims have not ended within this time, the placement is withdrawn.
PREEMPTION_TIMEOUT_MS = 1_500
PREEMPTION_CHECK_INTERVAL_MS = 100
# Minimum time between passes in which work beyond guarantees may preempt; guaranteed work always
# may.
PREEMPTION_INTERVAL_MS = 200
# Runners that start whatever they are told to get no work while their entries are older than this.
MAX_LISTING_AGE_MS = 2_500

# A runner that renews its entry in the platform's list is alive, and is waited for this long after
# its lease expired: its tasks may have ended as done.
LISTED_RUNNER_WAIT_MS = 15_000
# A runner that may have crashed is polled for this long after its lease expired, though it is not
# listed: another process at its address proves the crash.
CRASH_PROOF_WAIT_MS = 30_000
# Evidence of a run's end that leaves open whether its runner's process has ended.
UNPROVED_EVIDENCE = ("lease expired", "runner removed", "runner unknown")
# A report shows up to 500 ends. A runner that cannot be acknowledged gets no work once its ends and
# the tasks on it come near that number.
MAX_UNACKNOWLEDGED_ENDS = 400

# A placement that waits for its record is checked this often for a start without it.
UNRECORDED_CHECK_INTERVAL_MS = 100

STATUS_INTERVAL_MS = 2_000
# The record is about 9 KB for 176 runners, and is written when they have changed.
KNOWN_RUNNERS_INTERVAL_MS = 1_000
# The record is about 3 KB for 176 runners and is read by every instance.
SPEEDS_INTERVAL_MS = 6_000
# Progress from which a run time is extrapolated; at less, whole percents are too coarse.
SAMPLE_PERCENT = 25
COMPLETE_PERCENT = 100
# Time-critical gangs are moved off stalled runners only in runs below this number.
STALL_MOVE_RUN_LIMIT = 3
# A job that is idle for longer may use avoided runners; below the 3 s within which the platform
# expects work to start if there is capacity.
IDLE_THRESHOLD_MS = 1_800
MAX_RECORDS_PER_PURGE = 300
# Outcomes that runners report; any other is counted as "other".
OUTCOMES = ("done", "failed", "stopped", "lapsed", "broken", "alone")
# Jobs or runners listed by id in a status line.
STATUS_LIST_LIMIT = 5

log = structlog.get_logger()


class PlannerBehindError(CarawayrouteError):
    """The planner could not read the jobs topic in time."""


class PlannerSettings:
    """Settings of the planner.

    :param limits: limits of the leases that runners are given.
    :param stop_ms: longest time that stopping a run takes.
    :param retention_ms: time for which the state of an ended job is kept.
    :param heartbeat_ms: time between two writes of a runner's entry in the platform's list.
    """

    __slots__ = ("heartbeat_ms", "limits", "retention_ms", "stop_ms")

    def __init__(
        self,
        limits: LeaseLimits,
        stop_ms: int,
        retention_ms: int = 120_000,
        heartbeat_ms: int = 1_500,
    ) -> None:
        self.heartbeat_ms = heartbeat_ms
        self.retention_ms = retention_ms
        self.limits = limits
        self.stop_ms = stop_ms


class Planner:
    """The planner of the whole fleet for one term.

    :param jobs_follower: follower of the jobs topic, which keeps ``job_table`` up to date.
    :param configuration: returns the current configuration, None until it is loaded.
    :param make_runners_follower: creates the follower of the platform's list of runners.
    :param on_term_lost: called with the planner's term when the planner is fenced or ends.
    :param on_capacity: called with the number of accelerators of the usable runners and the open
        work, by priority, that keeps no other work waiting.
    :param confirm_term: returns once a heartbeat that begins after the call has ended, and not at
        all if the term is lost.
    :param lease_left_ms: returns for how long leases may last that are granted now.
    :param earlier_leases_expired_ms: returns the clock time by which every lease of an earlier
        planner has expired for certain, as far as is known now.
    :param permits_unrecorded_starts: returns whether work may be started before it is stored.
    :param may_inherit_starts: returns whether the last planner may have started work so, as far as
        is known now.
    :ivar inherited_runners: returns the runners that the last planner was known to use.
    :ivar unrecorded_starts: decides which work may be started before it is stored.
    :ivar inherited_starts: finds what the last planner has started so.
    :ivar standing: jobs of which nothing runs, as of the last status line.
    :ivar placing: if false, no scheduling passes are run.
    :ivar given_up_by_evidence: number of runs ended without a reported end.
    :ivar unmatched_by_outcome: number of reported ends that matched no known run.
    :ivar withdrawn_by_reason: number of runs that the planner ended before their time.
    :ivar crashes: counts crashes of runners by task.
    :ivar departures: tells runners that have left from runners that fell silent.
    :ivar replacements_by_runner: how often another process answered at a runner's address.
    """

    def __init__(
        self,
        term: int,
        settings: PlannerSettings,
        clock: Clock,
        store: Store,
        orders: RunnerClient,
        job_table: JobTable,
        jobs_follower: TopicFollower,
        configuration: Callable[[], Configuration | None],
        make_runners_follower: Callable[["Planner"], TopicFollower],
        on_term_lost: Callable[[int], None],
        on_capacity: Callable[[int, Mapping[int, int]], None],
        confirm_term: Callable[[], Awaitable[None]],
        lease_left_ms: Callable[[], float],
        earlier_leases_expired_ms: Callable[[], float],
        permits_unrecorded_starts: Callable[[], bool],
        may_inherit_starts: Callable[[], bool],
    ) -> None:
        self.term = term
        self._settings = settings
        self._clock = clock
        self._store = store
        self.pause_guard = PauseGuard(clock, confirm_term)
        self._orders = GuardedRunnerClient(orders, self.pause_guard)
        self.job_table = job_table
        self._jobs_follower = jobs_follower
        self._configuration = configuration
        self._on_term_lost = on_term_lost
        self._on_capacity = on_capacity
        self._lease_left_ms = lease_left_ms
        self._earlier_leases_expired_ms = earlier_leases_expired_ms
        self.inherited_runners: Callable[[], dict[str, pb.LostRunner]] = dict
        self.unrecorded_starts = UnrecordedStarts(permits_unrecorded_starts)
        self.inherited_starts = InheritedStarts(
            clock, may_inherit_starts, earlier_leases_expired_ms
        )
        self._tasks = TaskGroup()
        self._writer = LogWriter(
            store, clock, jobs_follower.topic, PRODUCER, term, retry_until_stored=True
        )
        self._runners_follower = make_runners_follower(self)
        self.departures = Departures(
            clock, settings.heartbeat_ms, lambda: self._runners_follower.current_as_of_ms
        )
        self.links_by_id: dict[str, RunnerLink] = {}
        self._link_tasks: dict[str, asyncio.Task] = {}
        self.runs_by_key: dict[RunKey, Run] = {}
        self._runs_by_runner: dict[str, dict[RunKey, Run]] = {}
        # Sum of the demands of those runs.
        self._used_by_runner: dict[str, Capacity] = {}
        self._preempted_ms = -math.inf
        self._lease_expiry_by_removed_runner: dict[str, float] = {}
        self._changed = asyncio.Event()
        self._reported = asyncio.Event()
        self.run_times = RunTimeEstimator()
        self.runner_health = RunnerHealth(clock)
        self.speeds = RunnerSpeeds()
        self._stray_runs = StrayRuns(job_table)
        self._suspect_waits = SuspectWaits()
        self._term_start_ms = clock.now_ms()
        self._ends_read = False
        self._ready = False
        self._status_ms = 0.0
        self._speeds_ms = self._term_start_ms
        self._job_values: ranking.JobValues | None = None
        self._idle_since_by_job: dict[str, float] = {}
        self._failed_passes = 0
        self._pass_turns = PassTurns()
        self._stuck_stages: list[Stage] = []
        self._harmless_work: Mapping[int, int] = {}
        self._storing_known_runners: frozenset[str] = frozenset()
        self._known_runners_ms = -math.inf
        self.standing = standing.StandingJobs()
        self.placing = True
        self.given_up_by_evidence: Counter[str] = Counter()
        self.unmatched_by_outcome: Counter[str] = Counter()
        self.withdrawn_by_reason: Counter[str] = Counter()
        self.replacements_by_runner: Counter[str] = Counter()
        self.crashes = CrashLedger(self._on_crash_counted)
        self.lost_runners = LostRunners(clock, self._tasks, self._writer.write, self._lost_links)

    # ------------------------------------------------------------------ term

    async def run(self) -> None:
        """Take over from the previous planner and plan until cancelled or fenced."""
        self._tasks.keep_running(self._writer.run, "planner writer")
        try:
            await self._take_over()
            while True:
                await self._wait_change()
                self.pause_guard.notice()
                if self.placing:
                    await self._try_pass()
        except StoreFencedError:
            log.warning("planner_fenced", term=self.term, by="store")
        except PlannerBehindError as error:
            log.warning("planner_behind", term=self.term, error=str(error))
        finally:
            # Whatever the reason for ending, the term must be given up.
            self._on_term_lost(self.term)
            await self._tasks.cancel()

    async def _try_pass(self) -> None:
        """Run a scheduling pass; one that fails is counted, too many in a row end the planner."""
        try:
            await self._pass()
        except Exception as error:
            self._failed_passes += 1
            if self._failed_passes > MAX_FAILED_PASSES:
                raise
            self._tasks.note_failure("pass", error)
        else:
            self._failed_passes = 0

    def background_failures(self) -> int:
        """Return the number of unexpected exceptions in background tasks of this term."""
        follower = self._runners_follower
        return self._tasks.failures + self._writer.unexpected_errors + follower.unexpected_errors

    def retry_store_calls(self) -> None:
        """Repeat failed calls now, as the store answers again."""
        self._writer.retry_now()
        self._runners_follower.retry_now()

    def unhandled_runner_records(self) -> int:
        """Return the number of records of the list of runners that could not be handled."""
        return self._runners_follower.unhandled_records

    async def _take_over(self) -> None:
        await self._catch_up(0)
        end = await self._fence()
        await self._catch_up(end)
        for job in self.job_table.open_by_id.values():
            for stage in job.stages_by_key.values():
                for index in stage.placed():
                    self._adopt(stage, index)
        self._ends_read = True
        self.crashes.load(self.job_table.open_by_id.values())
        for job in self.job_table.jobs_by_id.values():
            self.state_first_end(job)
        inherited_runners = self.inherited_runners()
        self.inherited_starts.begin(self.job_table.open_by_id, inherited_runners)
        # Reports are compared with the adopted runs, so runners are polled only from here on.
        self._tasks.keep_running(self._runners_follower.run, "follow runners")
        await self._runners_follower.loaded.wait()
        self._link_unlisted(
            lost
            for lost in self.lost_runners.inherited_by_id.values()
            if self._has_unproved_runs(lost.id)
        )
        self._link_unlisted(inherited_runners.values())
        await self._wait_initial_reports()
        self._ready = True
        self._changed.set()
        log.info(
            "planner_ready",
            term=self.term,
            jobs=len(self.job_table.open_by_id),
            adopted=len(self.runs_by_key),
            runners=sum(link.reachable for link in self.links_by_id.values()),
            listed=len(self.links_by_id),
            took_ms=round(self._clock.now_ms() - self._term_start_ms),
        )

    async def _catch_up(self, end: int) -> None:
        """Wait until the jobs topic is loaded and has been read up to an offset.

        :raises PlannerBehindError: it was not read in time.
        """
        try:
            async with asyncio.timeout(MAX_CATCH_UP_MS / 1000):
                await self._jobs_follower.wait_for_offset(end)
        except TimeoutError:
            raise PlannerBehindError(
                f"the jobs were read to {self._jobs_follower.offset} of {end}"
            ) from None

    async def _fence(self) -> int:
        """Fence the previous planner off the jobs topic and return the end offset of the topic."""
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

    async def _wait_initial_reports(self) -> None:
        until_ms = self._clock.now_ms() + INITIAL_REPORTS_TIMEOUT_MS
        while any(not link.reachable for link in self.links_by_id.values()):
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                return
            self._reported.clear()
            await wait_event(self._reported, left_ms)

    def _adopt(self, stage: Stage, index: int) -> None:
        run = Run(stage, index, stage.runs[index], stage.runners[index])
        run.acknowledged_ms = self._term_start_ms
        run.may_have_begun = True
        run.checkpoint = stage.checkpoint(index)
        run.sampled = True
        self._add_run(run)

    def _add_run(self, run: Run) -> None:
        key = (run.stage.task(run.index), run.number)
        self.runs_by_key[key] = run
        self._runs_by_runner.setdefault(run.runner, {})[key] = run
        self._used_by_runner.setdefault(run.runner, Capacity(0, 0, 0)).subtract(
            run.stage.demand, -1
        )

    def _on_fenced(self, link: RunnerLink) -> None:
        log.warning("planner_fenced", term=self.term, by=link.runner.id)
        self._on_term_lost(self.term)

    def _on_runner_lost(self, link: RunnerLink) -> None:
        self.runner_health.note_lost(link.runner.id)
        if self._runs_by_runner.get(link.runner.id):
            self.lost_runners.note_lost()

    def _has_unproved_runs(self, runner_id: str) -> bool:
        """Return whether the end of a runner's process would end runs or count as a crash."""
        return bool(self._runs_by_runner.get(runner_id)) or self.crashes.blames_unproved(runner_id)

    def _lost_links(self) -> list[RunnerLink]:
        """Return the links to runners with runs that are out of reach."""
        return [
            link
            for link in self.links_by_id.values()
            if not link.reachable and self._has_unproved_runs(link.runner.id)
        ]

    def _link_unlisted(self, runners: Iterable[pb.LostRunner]) -> None:
        """Poll runners that are not listed where they were last reached."""
        for lost in runners:
            if lost.id in self.links_by_id:
                continue
            self.set_runner(
                Runner(lost.id, "", lost.address, "", Capacity(0, 0, 0), draining=lost.draining)
            )
            # The list does not name it, which is no removal of its entry.
            self.links_by_id[lost.id].listed = False

    def _on_runner_replaced(self, link: RunnerLink) -> None:
        self.replacements_by_runner[link.runner.id] += 1

    def _on_process_ended(
        self, link: RunnerLink, report: RunnerReport | None, sent_ms: float
    ) -> None:
        """End the runs of a runner's process that has ended.

        :param report: first report of a new process under the same id, which may still be sent
            starts that went unanswered; ``None`` if the process has another id.
        :param sent_ms: clock time at which the report's poll was sent.
        """
        evidence = "process replaced" if report is None else "process restarted"
        runs_by_key = {
            key: run
            for key, run in self._runs_by_runner.get(link.runner.id, {}).items()
            if report is None
            or report.lists_all_ends
            and not run.starts_after(sent_ms)
            and not report.shows(*key)
        }
        if link.runner.draining:
            self.crashes.process_left(link.runner.id)
        else:
            self.crashes.process_crashed(
                link.runner.id,
                link.runner.address,
                evidence,
                runs_by_key.values(),
                link.last_alive_ms,
            )
        for key, run in runs_by_key.items():
            if report is None or run.started_by(sent_ms):
                self._give_up(key, run, evidence, None if report is None else sent_ms)

    def _on_crash_counted(self, job: Job) -> None:
        """Store a job's crashes; a job of which a task is given up ends."""
        if job.closed:
            self._withdraw_job(job)
        self.job_table.close_if_finished(job, self._clock.now_ms())
        self._tasks.start(self._persist([job]), f"persist {job.id}")
        self._changed.set()

    def _lease_limit_ms(self) -> float:
        """Return the clock time by which leases that are granted now must have expired."""
        return self._clock.now_ms() + self._lease_left_ms()

    # ------------------------------------------------------------------ runners

    def set_runner(self, runner: Runner) -> None:
        """Add or update a runner from the platform's list."""
        link = self.links_by_id.get(runner.id)
        if link is not None and link.runner.address == runner.address:
            was_draining = link.runner.draining
            link.runner = runner
            if not link.listed and not link.reachable:
                # A runner that is not listed is polled seldom, and may have been out of reach.
                self._link_tasks[runner.id].cancel()
                self._poll_on(link)
            link.listed = True
            link.left = False
            link.suspended = False
            if runner.draining and not was_draining:
                log.info("runner_draining", runner=runner.id)
            return
        moved = link is not None
        granted_expiry_ms = 0.0
        if link is not None:
            granted_expiry_ms = link.lease_expiry_ms
            self._drop_link(runner.id)
        removed_expiry_ms = self._lease_expiry_by_removed_runner.pop(runner.id, 0.0)
        link = RunnerLink(
            runner,
            self.term,
            self._orders,
            self._clock,
            self._settings.limits.lease_ms,
            certain_ms(self._settings.limits.max_lease_ms),
            max(granted_expiry_ms, removed_expiry_ms),
            self._apply_report,
            self._on_fenced,
            self._on_runner_lost,
            self._on_runner_replaced,
            self._on_process_ended,
            moved,
            self._lease_limit_ms,
            self._earlier_leases_expired_ms,
        )
        if not moved:
            link.boot_ms = self._adopted_boot_ms(runner)
        self.links_by_id[runner.id] = link
        self._poll_on(link)
        log.info("runner_listed", runner=runner.id, address=runner.address, rack=runner.rack)

    def _poll_on(self, link: RunnerLink) -> None:
        runner_id = link.runner.id
        self._link_tasks[runner_id] = self._tasks.keep_running(link.run, f"runner {runner_id}")

    def suspend_runner(self, runner_id: str) -> None:
        """Give a runner no new tasks until it is set again; it keeps those that it runs."""
        link = self.links_by_id.get(runner_id)
        if link is not None:
            link.suspended = True

    def _adopted_boot_ms(self, runner: Runner) -> int:
        """Return the start of the process that adopted runs were sent to, 0 if unknown."""
        if not self._runs_by_runner.get(runner.id):
            return 0
        lost = self.lost_runners.inherited_by_id.get(runner.id)
        if lost is not None and lost.boot_ms:
            return lost.boot_ms
        return runner.boot_ms

    def remove_runner(self, runner_id: str) -> None:
        """Mark a runner as no longer listed; its tasks may run on until its lease expires.

        The entry of a runner that is leaving and was not silent before shows that it has left.
        """
        silence_ms = self.departures.take_silence_ms(runner_id)
        link = self.links_by_id.get(runner_id)
        if link is None or not link.listed:
            return
        link.listed = False
        link.left = self.departures.is_departure(link.runner.draining, silence_ms)
        log.info(
            "runner_unlisted",
            runner=runner_id,
            reachable=link.reachable,
            draining=link.runner.draining,
            silent_ms=round(min(silence_ms, MAX_LOGGED_AGE_MS)),
            left=link.left,
        )
        if link.left:
            self._changed.set()

    def remove_unlisted(self, listed: set[str]) -> None:
        """Mark all runners as no longer listed that a complete new list does not contain."""
        for runner_id in list(self.links_by_id):
            if runner_id not in listed:
                self.remove_runner(runner_id)

    def _drop_link(self, runner_id: str) -> None:
        task = self._link_tasks.pop(runner_id, None)
        if task is not None:
            task.cancel()
        link = self.links_by_id.pop(runner_id, None)
        # A new process with this id may run on different hardware.
        self.speeds.forget_runner(runner_id)
        if link is not None:
            ended = link.process_ended
            self._lease_expiry_by_removed_runner[runner_id] = (
                self._clock.now_ms() if ended else link.lease_expiry_ms
            )

    def _lease_expiry_ms(self, runner_id: str) -> float:
        """Return the clock time by which every lease of a runner has certainly expired."""
        link = self.links_by_id.get(runner_id)
        if link is not None:
            return link.lease_expiry_ms
        return self._lease_expiry_by_removed_runner.get(
            runner_id, self._earlier_leases_expired_ms()
        )

    def _end_evidence(self, run: Run) -> str:
        """Return what shows that a run has certainly ended, empty if it may still be running."""
        link = self.links_by_id.get(run.runner)
        if link is None:
            if self._clock.now_ms() <= self._lease_expiry_ms(run.runner):
                return ""
            removed = run.runner in self._lease_expiry_by_removed_runner
            return "runner removed" if removed else "runner unknown"
        if link.reachable:
            return ""
        if link.replaced:
            return "process replaced"
        if link.process_ended:
            return "runner left"
        expired_ms = self._clock.now_ms() - link.lease_expiry_ms
        alive = link.listed and self.departures.shows_alive(run.runner)
        if expired_ms <= (LISTED_RUNNER_WAIT_MS if alive else 0):
            return ""
        return "lease expired"

    def _give_up(self, key: RunKey, run: Run, evidence: str, sent_ms: float | None = None) -> None:
        """End a run whose end was not reported.

        :param sent_ms: time at which the poll was sent whose report does not list the run.
        """
        now_ms = self._clock.now_ms()
        link = self.links_by_id.get(run.runner)
        if link is None:
            report_age_ms = -1.0
        elif sent_ms is not None:
            # The last report is the evidence itself.
            report_age_ms = link.report_gap_ms
        else:
            report_age_ms = link.report_age_ms()
        self.given_up_by_evidence[evidence] += 1
        log.warning(
            "run_given_up",
            task=key[0],
            run=key[1],
            runner=run.runner,
            evidence=evidence,
            report_age_ms=round(report_age_ms),
            poll_ms=round(now_ms - sent_ms) if sent_ms is not None else -1,
            lease_expired_ms_ago=round(now_ms - self._lease_expiry_ms(run.runner)),
            listed=link is not None and link.listed,
            ends_unacknowledged=link.unacknowledged_ends if link is not None else 0,
            ends_listed=link.listed_ends if link is not None else 0,
        )
        stage = run.stage
        if stage.ordered_runs[run.index] >= run.number and not stage.step.long_running:
            stage.job.abandon(stage, run.index, run.number)
        # Its end may be reported, or its runner may be in reach of another planner.
        self._store_given_up([stage.job])
        if evidence in UNPROVED_EVIDENCE and run.may_have_begun and not run.crash_counted:
            self._note_lost(run, link)
        self._end_run(key, run, "lapsed", run.checkpoint)

    def _note_lost(self, run: Run, link: RunnerLink | None) -> None:
        boot_ms = link.boot_ms if link is not None else 0
        at_start = is_start_crash(run.started_ms, link.last_alive_ms if link is not None else None)
        self.crashes.note_lost(run, LostRun(run.runner, boot_ms, at_start))

    # ------------------------------------------------------------------ reports

    def _apply_report(self, link: RunnerLink, report: RunnerReport, sent_ms: float) -> None:
        """Reconcile the planner's state with a runner's report.

        :param sent_ms: time at which the poll was sent.
        """
        self._reported.set()
        self.lost_runners.note_report(link.runner.id)
        self.runner_health.note_process(link.runner.id, report.boot_ms)
        self.crashes.process_reported(link.runner.id, link.runner.address, report.boot_ms)
        for ended in report.ended:
            if ended.number > link.last_handled and not self._apply_end(link, ended):
                self._withhold_end(link, ended)
        last = max((ended.number for ended in report.ended), default=0)
        if last > link.last_handled:
            link.last_handled = last
            self._tasks.start(self._store_ends(link, last, report), f"ends of {link.runner.id}")
        self._stray_runs.note_report(
            link.runner.id,
            (item for item in report.running if not self._runs_on(link, item)),
        )
        for item in report.running:
            self._apply_running(link, item, report.clock_ms)
        if report.lists_all_ends or link.withholds_all_ends:
            self._give_up_missing(link, report, sent_ms)

    def _give_up_missing(self, link: RunnerLink, report: RunnerReport, sent_ms: float) -> None:
        """End the runs that a report should list and does not.

        :param report: lists all ends, or all that can be listed until the process ends. In the
            latter case the end of a run may never be known.
        """
        listed = {(item.task, item.run) for item in (*report.running, *report.ended)}
        for key, run in list(self._runs_by_runner.get(link.runner.id, {}).items()):
            if key in listed:
                continue
            if run.acknowledged_ms is not None and run.acknowledged_ms < sent_ms:
                self._give_up(key, run, "missing from report", sent_ms)

    def _withhold_end(self, link: RunnerLink, ended: EndedTask) -> None:
        log.warning(
            "end_withheld",
            task=ended.task,
            run=ended.run,
            runner=link.runner.id,
            outcome=ended.outcome,
            number=ended.number,
        )
        link.withhold(ended.number)

    async def _store_ends(self, link: RunnerLink, last: int, report: RunnerReport) -> None:
        jobs = {}
        for ended in report.ended:
            job = self.job_table.jobs_by_id.get(ended.task.split(".", 1)[0])
            if job is not None:
                jobs[job.id] = job
        if jobs:
            await self._persist(list(jobs.values()))
        if self.links_by_id.get(link.runner.id) is link and link.boot_ms == report.boot_ms:
            link.acknowledge_through(last)

    def _runs_on(self, link: RunnerLink, item: RunningTask) -> bool:
        """Return whether a run that a runner reports was assigned to it."""
        run = self.runs_by_key.get((item.task, item.run))
        return run is not None and run.runner == link.runner.id

    def _apply_running(self, link: RunnerLink, item: RunningTask, clock_ms: int) -> None:
        """Update a run that a runner reports.

        :param clock_ms: time of the report on the runner's clock.
        """
        run = self.runs_by_key.get((item.task, item.run))
        if run is None and self.inherited_starts.open:
            run = self._adopt_unrecorded(link, item)
        if run is None or run.runner != link.runner.id:
            log.warning("stray_run", task=item.task, run=item.run, runner=link.runner.id)
            self._tasks.start(self._stop_stray(link, item), f"stop {item.task}")
            return
        now_ms = self._clock.now_ms()
        run.may_have_begun = True
        if run.started_ms is None:
            run.started_ms = now_ms
            run.started_clock_ms = clock_ms
            run.stage.job.begun = True
            self._changed.set()
        # The report may have been on its way for longer than the run has lasted.
        note_running(run.stage, run.index, clock_ms - run.started_clock_ms)
        if item.checkpoint and item.checkpoint != run.checkpoint:
            run.checkpoint = item.checkpoint
        if item.percent != run.percent or run.progress_ms is None:
            run.progress_ms = now_ms
        run.percent = item.percent
        if not run.sampled and item.percent >= SAMPLE_PERCENT:
            self._sample_speed(run, now_ms)

    def _sample_speed(self, run: Run, now_ms: float) -> None:
        """Update the runner's speed estimate from a task that is no gang member and not resumed."""
        run.sampled = True
        stage = run.stage
        if stage.step.gang or run.started_ms is None or stage.checkpoint(run.index):
            return
        self.speeds.observe(stage.key, run.runner, (now_ms - run.started_ms) * 100 / run.percent)

    def _adopt_unrecorded(self, link: RunnerLink, item: RunningTask) -> Run | None:
        """Take over a run that the last planner started without a record, if it is one."""
        stage, index = self._find_task(item.task)
        if stage is None or stage.done[index] or not is_unrecorded(stage, index, item.run):
            return None
        self._note_unrecorded(stage, index, item.run)
        stage.runners[index] = link.runner.id
        run = Run(stage, index, item.run, link.runner.id)
        run.acknowledged_ms = self._clock.now_ms()
        run.sampled = True
        self._add_run(run)
        self.inherited_starts.found += 1
        log.info("run_adopted", task=item.task, run=item.run, runner=link.runner.id)
        self._tasks.start(self._persist([stage.job]), f"persist {stage.job.id}")
        return run

    def _find_task(self, name: str) -> tuple[Stage | None, int]:
        """Return the stage of an open job's task and its index, ``None`` if there is none."""
        try:
            task = TaskId.parse(name)
        except ValueError:
            return None, 0
        job = self.job_table.open_by_id.get(task.job_id)
        if job is None or job.closed or task.step >= len(job.record.steps):
            return None, 0
        if task.occurrence >= job.occurrences:
            return None, 0
        stage = job.stage(task.occurrence, task.step)
        return (stage, task.index) if task.index < stage.step.count else (None, 0)

    def _note_unrecorded(self, stage: Stage, index: int, number: int) -> None:
        """Note the number of a run that has no record; an earlier run of its task has ended."""
        key = (stage.task(index), stage.runs[index])
        earlier = self.runs_by_key.get(key)
        if earlier is not None:
            log.info("run_superseded", task=key[0], run=key[1], by=number)
            self._forget_run(key, earlier)
        if not stage.step.long_running:
            # They have failed or were stopped; their ends may be reported later.
            first = stage.runs[index] + (earlier is None)
            for unseen in range(max(1, first), number):
                stage.job.abandon(stage, index, unseen)
        stage.runs[index] = number
        stage.ordered_runs[index] = number

    async def _stop_stray(self, link: RunnerLink, item: RunningTask) -> None:
        try:
            await link.send_order(
                lambda: self._orders.stop(link.runner, self.term, item.task, item.run), lambda: True
            )
        except RunnerError as error:
            log.warning("stray_stop_failed", task=item.task, run=item.run, error=str(error))

    def _apply_end(self, link: RunnerLink, ended: EndedTask) -> bool:
        """Apply an end and return whether it may be acknowledged."""
        key = (ended.task, ended.run)
        run = self.runs_by_key.get(key)
        if run is None or run.runner != link.runner.id:
            return self._apply_unmatched_end(link, ended)
        self._end_run(key, run, ended.outcome, ended.checkpoint)
        return True

    def _apply_unmatched_end(self, link: RunnerLink, ended: EndedTask) -> bool:
        """Handle the end of a run that is not known as running.

        An abandoned run's end still counts if its task has not been started again. Otherwise the
        newer run counts, and the end must not be acknowledged: the task would have been started
        again after an acknowledged end.
        """
        unrecorded = self._note_unrecorded_end(ended)
        newest_run = self._newest_run(ended.task)
        self.unmatched_by_outcome[ended.outcome if ended.outcome in OUTCOMES else "other"] += 1
        link.unmatched_ends.append(ended.number)
        log.info(
            "end_unmatched",
            task=ended.task,
            run=ended.run,
            runner=link.runner.id,
            outcome=ended.outcome,
            end=ended.number,
            newest_run=newest_run,
            newest_known=(ended.task, newest_run) in self.runs_by_key,
            report_age_ms=round(link.report_gap_ms),
        )
        try:
            task = TaskId.parse(ended.task)
        except ValueError:
            return True
        job = self.job_table.jobs_by_id.get(task.job_id)
        if ended.outcome not in ("done", "failed") or job is None:
            return True
        if job.is_superseded(task, ended.run) and not self._allows_failure(job, task, ended):
            return False
        if job.ended_ms is not None or task.step >= len(job.record.steps):
            return True
        if task.occurrence >= job.occurrences:
            return True
        stage = job.stage(task.occurrence, task.step)
        if task.index >= stage.step.count or stage.step.long_running or stage.done[task.index]:
            return True
        if ended.outcome == "done":
            if stage.restarted_after(task.index, ended.run):
                job.abandon(stage, task.index, ended.run)
                return False
            self._finish_task(stage, task.index)
        elif job.was_abandoned(task, ended.run) or unrecorded:
            self._count_failure(stage, task.index, ended.run)
        job.reinstate(task, ended.run)
        self._changed.set()
        self.job_table.close_if_finished(job, self._clock.now_ms())
        return True

    @staticmethod
    def _allows_failure(job: Job, task: TaskId, ended: EndedTask) -> bool:
        """Return whether an end of a superseded run is a failure that leaves an attempt."""
        stage = job.stages_by_key.get((task.occurrence, task.step))
        if ended.outcome != "failed" or stage is None or task.index >= stage.step.count:
            return False
        failures = stage.failures[0 if stage.step.gang else task.index]
        return failures + 1 < max(1, job.record.max_attempts)

    def _note_unrecorded_end(self, ended: EndedTask) -> bool:
        """Return whether an end is of a run without a record, and note such a run."""
        stage, index = self._find_task(ended.task)
        if stage is None or not is_unrecorded(stage, index, ended.run):
            return False
        self._note_unrecorded(stage, index, ended.run)
        stage.save_checkpoint(index, ended.checkpoint)
        return True

    def _newest_run(self, name: str) -> int:
        """Return the number of a task's latest run, 0 if there is none."""
        try:
            task = TaskId.parse(name)
        except ValueError:
            return 0
        job = self.job_table.jobs_by_id.get(task.job_id)
        stage = job.stages_by_key.get((task.occurrence, task.step)) if job is not None else None
        if stage is None or task.index >= stage.step.count:
            return 0
        return stage.runs[task.index]

    def _finish_task(self, stage: Stage, index: int) -> None:
        """Mark a task as done and withdraw its current run, if any."""
        stage.mark_done(index)
        members = range(stage.step.count) if stage.step.gang else (index,)
        keys = [(stage.task(member), stage.runs[member]) for member in members]
        self._withdraw_all(keys, "done elsewhere")

    def _count_failure(self, stage: Stage, index: int, run: int) -> int:
        """Count a failed run and return the failures so far; too many fail the job."""
        failures = stage.record_failure(index, run)
        job = stage.job
        if failures >= max(1, job.record.max_attempts):
            job.failed = True
            job.reason = f"task {stage.task(index)} failed {failures} times"
        return failures

    def _end_run(self, key: RunKey, run: Run, outcome: str, checkpoint: str) -> None:
        """Apply the end of a run and free its capacity."""
        stage, index = run.stage, run.index
        job = stage.job
        now_ms = self._clock.now_ms()
        self._forget_run(key, run)
        if outcome in ("done", "failed"):
            job.begun = True
        stage.save_checkpoint(index, checkpoint or run.checkpoint)
        failures = 0
        if outcome == "done" and not stage.step.long_running:
            self._note_done(stage, index, run)
        elif outcome == "failed" and not stage.step.long_running and not stage.done[index]:
            failures = self._count_failure(stage, index, run.number)
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
        self.runner_health.note_end(run.runner, job.id, outcome, bool(run.withdrawn))
        if stage.step.gang and outcome != "done":
            self._withdraw_gang(stage, run.number, "gang member ended")
        if job.closed:
            self._withdraw_job(job)
        self.job_table.close_if_finished(job, now_ms)
        if job.ended_ms is not None:
            for ended in job.stages_by_key.values():
                self.speeds.forget_step(ended.key)
        if outcome not in ("done", "failed", "stopped"):
            # The freed capacity and checkpoint are stored before the task is placed again.
            self._tasks.start(self._persist([job]), f"persist {job.id}")
        self._changed.set()

    def _forget_run(self, key: RunKey, run: Run) -> None:
        """Free the capacity of a run that has ended."""
        del self.runs_by_key[key]
        del self._runs_by_runner[run.runner][key]
        self._used_by_runner[run.runner].subtract(run.stage.demand)
        run.stage.runners[run.index] = ""

    def _note_done(self, stage: Stage, index: int, run: Run) -> None:
        stage.mark_done(index)
        if run.started_ms is not None and not stage.checkpoint(index):
            ran_ms = self._clock.now_ms() - run.started_ms
            declared_ms = max(1, stage.step.estimate_ms)
            self.run_times.observe(stage.job.record.queue, ran_ms / declared_ms)
            if not stage.step.gang and not run.sampled:
                self.speeds.observe(stage.key, run.runner, ran_ms)

    # ------------------------------------------------------------------ withdrawing

    def _withdraw_gang(self, stage: Stage, number: int, reason: str, detail: str = "") -> None:
        keys = [(stage.task(index), number) for index in stage.placed()]
        self._withdraw_all(keys, reason, detail)

    def _withdraw_job(self, job: Job) -> None:
        for stage in job.stages_by_key.values():
            keys = [(stage.task(index), stage.runs[index]) for index in stage.placed()]
            self._withdraw_all(keys, f"job {job.state}")

    def _withdraw_all(self, keys: list[RunKey], reason: str, detail: str = "") -> None:
        """Stop those of the given runs that are not being stopped yet.

        A run for which no start request has been sent ends at once.

        :param reason: one of few, by which runs are counted.
        """
        found = [self.runs_by_key.get(key) for key in keys]
        runs = [run for run in found if run is not None and not run.withdrawn]
        # The end of a gang member withdraws the others, so all are marked before any one ends.
        for run in runs:
            run.withdrawn = reason
            run.acknowledged_ms = None
            self.withdrawn_by_reason[reason] += 1
            log.info(
                "run_withdrawn",
                task=run.stage.task(run.index),
                run=run.number,
                runner=run.runner,
                reason=f"{reason} {detail}" if detail else reason,
            )
        for run in runs:
            task = run.stage.task(run.index)
            if run.stage.ordered_runs[run.index] < run.number:
                self._end_run((task, run.number), run, "not sent", run.checkpoint)
            else:
                self._tasks.keep_running(partial(self._stop_until_ended, run), f"withdraw {task}")

    async def _stop_until_ended(self, run: Run) -> None:
        key = (run.stage.task(run.index), run.number)
        backoff = Backoff(RETRY_MS, PASS_INTERVAL_MS)
        while self.runs_by_key.get(key) is run:
            link = self.links_by_id.get(run.runner)
            evidence = self._end_evidence(run)
            if evidence:
                self._give_up(key, run, evidence)
                return
            if link is None:
                await self._clock.sleep_ms(PASS_INTERVAL_MS)
                continue
            try:
                answer = await link.send_order(
                    partial(self._orders.stop, link.runner, self.term, *key),
                    lambda: self.runs_by_key.get(key) is run and not self._end_evidence(run),
                )
                if answer is None:
                    continue
            except RunnerError as error:
                if isinstance(error, RunnerRefusedError) and error.reason == "fence":
                    self._on_fenced(link)
                    return
                # A refused stop had no effect: a start may still be carried out late.
                log.info("stop_unanswered", task=key[0], runner=run.runner, error=str(error))
                if isinstance(error, RunnerRefusedError) and error.reason == OTHER_PROCESS:
                    # Only a poll that is refused as well proves that the process has ended.
                    await link.poll_now()
                await self._clock.sleep_ms(backoff.next_ms())
                continue
            if run.acknowledged_ms is None:
                run.acknowledged_ms = self._clock.now_ms()
            await self._clock.sleep_ms(self._settings.stop_ms + END_REPORT_DELAY_MS)
            if self.runs_by_key.get(key) is run:
                # A poll that was already under way cannot show that the run has ended.
                await link.poll_now()

    # ------------------------------------------------------------------ placement

    def changed(self) -> None:
        """Trigger a scheduling pass."""
        self._changed.set()

    async def _wait_change(self) -> None:
        if await wait_event(self._changed, PASS_INTERVAL_MS):
            await self._clock.sleep_ms(PASS_DELAY_MS)
        self._changed.clear()

    def _candidates(self) -> tuple[list[Candidate], list[Candidate]]:
        """Return the usable runners with their free capacity, as healthy and avoided ones."""
        free_by_id = {
            link.runner.id: link.runner.capacity.copy()
            for link in self.links_by_id.values()
            if link.usable
            and not link.runner.draining
            and not (link.withheld and self._may_outgrow_reports(link))
            and self._knows_capacity(link.runner)
        }
        candidates: list[Candidate] = []
        avoided: list[Candidate] = []
        for name, free in free_by_id.items():
            used = self._used_by_runner.get(name)
            if used is not None:
                free.subtract(used)
            self._stray_runs.subtract_from(free, self.links_by_id[name].runner)
            candidate = Candidate(
                self.links_by_id[name].runner,
                free,
                self.speeds.speed(name),
                self.runner_health.is_steady(name),
            )
            preferred = self.runner_health.is_healthy(name) and not self.links_by_id[name].withheld
            (candidates if preferred else avoided).append(candidate)
        return candidates, avoided

    def _isolation(self, candidates: list[Candidate], stages: list[Stage]) -> Isolation:
        """Return how tasks that are suspected of crashing runners are placed in the next pass.

        :param stages: all stages that are due.
        """
        now_ms = self._clock.now_ms()
        closed = []
        for runner_id, runs in self._runs_by_runner.items():
            if len(runs) == 1:
                (run,) = runs.values()
                if isolation.on_probation(run.stage, run.index, run.started_ms, now_ms):
                    closed.append(runner_id)
        self._suspect_waits.update(stages, now_ms)
        return Isolation(candidates, closed, self._suspect_waits.overdue(now_ms))

    def _idle_jobs(self, stages: list[Stage]) -> set[str]:
        """Return the ids of jobs that are due but have had no task placed for a long time.

        :param stages: all stages that are due.
        """
        now_ms = self._clock.now_ms()
        placed = {stage.job.id for stage in stages if any(stage.runners)}
        self._idle_since_by_job = since_by_job = {
            stage.job.id: self._idle_since_by_job.get(stage.job.id, now_ms)
            for stage in stages
            if stage.job.id not in placed
        }
        return {
            job_id for job_id, since in since_by_job.items() if now_ms - since > IDLE_THRESHOLD_MS
        }

    def _estimate_ms(self, stage: Stage) -> float:
        ratio = self.run_times.expect_ms(stage.job.record.queue, 1.0)
        return stage.step.estimate_ms * ratio

    def _stop_cost(self, stage: Stage, index: int) -> StopCost:
        run = self.runs_by_key.get((stage.task(index), stage.runs[index]))
        if run is None or run.withdrawn:
            return StopCost(0.0, False)
        link = self.links_by_id.get(run.runner)
        if link is None or not link.usable:
            return StopCost(0.0, False)
        if stage.step.checkpoints:
            # The task writes a checkpoint when it is stopped, so nothing is lost.
            return StopCost(0.0, True)
        now_ms = self._clock.now_ms()
        ran_ms = now_ms - run.started_ms if run.started_ms is not None else 0.0
        # An adopted run started in an earlier term, so its progress may show a longer run time.
        worked_ms = max(0, run.percent) / 100 * self._estimate_ms(stage)
        return StopCost(max(ran_ms, worked_ms), True)

    async def _pass(self) -> None:
        configuration = self._configuration()
        if configuration is None or not self._ready:
            return
        noted = self.inherited_starts.update(self._has_reported, self.job_table.open_by_id.values())
        if noted:
            self._store_given_up(noted)
        self._withdraw_closed()
        self._end_expired()
        self._avoid_stalled()
        candidates, avoided = self._candidates()
        self._on_capacity(
            sum(candidate.runner.capacity.accelerators for candidate in (*candidates, *avoided)),
            self._harmless_work,
        )
        if self._job_values is None and candidates:
            self._job_values = ranking.JobValues(ranking.DominantShare(median_capacity(candidates)))
        started_ms = self._clock.now_ms()
        wall_ms = self._clock.wall_ms()
        stages = [
            stage
            for job in self.job_table.open_by_id.values()
            if not self.inherited_starts.withholds(job.id)
            for stage in job.open_stages(wall_ms)
        ]
        # Searching victims for work beyond guarantees takes most of a pass on a full fleet.
        preempting = started_ms - self._preempted_ms >= PREEMPTION_INTERVAL_MS
        if preempting:
            self._preempted_ms = started_ms
        scheduling = SchedulingPass(
            self.job_table,
            configuration,
            candidates,
            wall_ms,
            self._estimate_ms,
            self._stop_cost,
            self._job_values,
            avoided,
            self._idle_jobs(stages),
            self._isolation([*candidates, *avoided], stages),
            stages,
            preempting,
            self._pass_turns,
        )
        placements = scheduling.run()
        self._stuck_stages = scheduling.stuck_stages()
        self._harmless_work = admission.harmless_work(
            self.job_table.open_by_id.values(),
            scheduling.services_without_queue(),
            self._stuck_stages,
        )
        took_ms = self._clock.now_ms() - started_ms
        if self._pass_turns.stages.skipped:
            # Others get their turn in the next pass.
            self._changed.set()
        if placements:
            self._launch(placements)
        # Leave most of the CPU to requests and reports, however long a pass takes.
        await self._clock.sleep_ms(PASS_REST_FACTOR * took_ms)
        now_ms = self._clock.now_ms()
        self._store_known_runners(now_ms)
        if now_ms - self._status_ms >= STATUS_INTERVAL_MS:
            self._status_ms = now_ms
            self._log_status()
            self._store_speeds(now_ms)
            self._purge_ended_jobs(now_ms)

    def _purge_ended_jobs(self, now_ms: float) -> None:
        """Delete the records of jobs that ended longer ago than the retention time.

        Cancellations of jobs that were never accepted are kept as long: submissions are given up
        before.
        """
        unused = self.job_table.early_cancels_before(now_ms - self._settings.retention_ms)
        records = [(CANCEL_KEY + job_id, b"") for job_id in unused[:MAX_RECORDS_PER_PURGE]]
        for job in list(self.job_table.jobs_by_id.values()):
            if job.ended_ms is None or now_ms - job.ended_ms < self._settings.retention_ms:
                continue
            if not job.stored_end:
                continue
            records.extend((key, b"") for key in self.job_table.forget(job.id))
            if len(records) >= MAX_RECORDS_PER_PURGE:
                break
        if records:
            log.info("jobs_purged", records=len(records))
            self._tasks.start(self._writer.write(records), "purge jobs")

    def _has_reported(self, runner_id: str) -> bool:
        """Return whether a runner has reported all of its runs in this term, or has ended."""
        link = self.links_by_id.get(runner_id)
        return link is not None and (link.process_ended or link.lists_all_ends)

    def _may_outgrow_reports(self, link: RunnerLink) -> bool:
        """Return whether a runner may have more unacknowledged ends than its reports can list."""
        runs = self._runs_by_runner.get(link.runner.id, ())
        return link.unacknowledged_ends + len(runs) > MAX_UNACKNOWLEDGED_ENDS

    def _store_known_runners(self, now_ms: float) -> None:
        """Store which runners may get work before it is stored, when they have changed."""
        if now_ms - self._known_runners_ms < KNOWN_RUNNERS_INTERVAL_MS:
            return
        if self.inherited_starts.open:
            # The planner after this one may need those of the last one.
            return
        self._known_runners_ms = now_ms
        usable = [
            link for link in self.links_by_id.values() if link.usable and not link.runner.draining
        ]
        ids = frozenset(link.runner.id for link in usable)
        if ids != self._storing_known_runners:
            self._storing_known_runners = ids
            # The record may replace the last one although its answer is lost.
            self.unrecorded_starts.known_runners &= ids
            record = pb.LostRunners(
                runners=[
                    pb.LostRunner(id=link.runner.id, address=link.runner.address) for link in usable
                ]
            )
            work = self._write_known_runners(ids, record.SerializeToString())
            self._tasks.start(work, "store known runners")

    async def _write_known_runners(self, ids: frozenset[str], record: bytes) -> None:
        await self._writer.write([(KNOWN_RUNNERS_KEY, record)])
        # A later record may be on its way.
        self.unrecorded_starts.known_runners = ids & self._storing_known_runners

    def _store_speeds(self, now_ms: float) -> None:
        """Store the speed estimates for the next planner every ``SPEEDS_INTERVAL_MS``."""
        if now_ms - self._speeds_ms < SPEEDS_INTERVAL_MS:
            return
        self._speeds_ms = now_ms
        record = (SPEEDS_KEY, self.speeds.to_record().SerializeToString())
        self._tasks.start(self._writer.write([record]), "store speeds")

    def _log_status(self) -> None:
        """Log waiting jobs and used capacity, to help operators find out why a job waits."""
        waiting = [
            stage.task(0)
            for job in self.job_table.open_by_id.values()
            for stage in job.open_stages(self._clock.wall_ms())
            if stage.waiting() and not stage.placed()
        ]
        candidates, avoided = self._candidates()
        now_ms = self._clock.now_ms()
        self.standing.update(self._standing_jobs(), now_ms)
        log.info(
            "planner_status",
            term=self.term,
            jobs=len(self.job_table.open_by_id),
            waiting=len(waiting),
            skipped=self._pass_turns.stages.skipped,
            stuck=len(self._stuck_stages),
            first_waiting=waiting[:STATUS_LIST_LIMIT],
            runs=len(self.runs_by_key),
            withdrawn=sum(1 for run in self.runs_by_key.values() if run.withdrawn),
            runners_listed=len(self.links_by_id),
            runners_usable=len(candidates),
            runners_avoided=[candidate.runner.id for candidate in avoided][:STATUS_LIST_LIMIT],
            accelerators_free=sum(max(0, candidate.free.accelerators) for candidate in candidates),
            standing=dict(self.standing.count_by_cause),
            longest_standing=self.standing.longest(STATUS_LIST_LIMIT),
            longest_standing_ms=round(self.standing.longest_ms(now_ms)),
        )

    def _standing_jobs(self) -> dict[str, str]:
        """Return what each job waits for of which nothing runs although it is due."""
        unreachable = {link.runner.id for link in self.links_by_id.values() if not link.reachable}
        runs_by_job: dict[str, list[Run]] = {}
        for run in self.runs_by_key.values():
            runs_by_job.setdefault(run.stage.job.id, []).append(run)
        cause_by_job = {}
        for job in self.job_table.open_by_id.values():
            runs = runs_by_job.get(job.id)
            if runs:
                cause = standing.waits_for(runs, unreachable)
            elif not any(job.open_stages(self._clock.wall_ms())):
                continue
            elif self.inherited_starts.withholds(job.id):
                cause = standing.INHERITED_RUNS
            else:
                cause = standing.PLACEMENT
            if cause:
                cause_by_job[job.id] = cause
        return cause_by_job

    def _withdraw_closed(self) -> None:
        for job in list(self.job_table.open_by_id.values()):
            if job.closed:
                self._withdraw_job(job)

    def _end_expired(self) -> None:
        """End the runs on runners whose lease has expired, and drop such runners if unlisted."""
        for key, run in list(self.runs_by_key.items()):
            evidence = self._end_evidence(run)
            if evidence:
                self._give_up(key, run, evidence)
        for runner_id, link in list(self.links_by_id.items()):
            if (
                not link.listed
                and not link.reachable
                and (
                    link.process_ended
                    or link.lease_expired()
                    and not self._awaits_crash_proof(link)
                )
            ):
                self._drop_link(runner_id)

    def _awaits_crash_proof(self, link: RunnerLink) -> bool:
        """Return whether a runner's crash, once it is proved, would be blamed on a task."""
        expired_ms = self._clock.now_ms() - link.lease_expiry_ms
        return expired_ms < CRASH_PROOF_WAIT_MS and self.crashes.blames_unproved(link.runner.id)

    def _avoid_stalled(self) -> None:
        """Avoid runners on which no task makes progress, and move time-critical gangs off them.

        A gang runs at the speed of its slowest member, so one bad runner stalls the others too.
        All of them are avoided until the good ones show progress on other work. A gang is moved
        only while its run number is below ``STALL_MOVE_RUN_LIMIT``.
        """
        now_ms = self._clock.now_ms()
        progressing: set[str] = set()
        stalled_by_runner: dict[str, list[Run]] = {}
        for run in self.runs_by_key.values():
            if run.started_ms is None or run.progress_ms is None or run.withdrawn:
                continue
            if run.stage.step.long_running or run.percent >= COMPLETE_PERCENT:
                # Long-running tasks and tasks at 100 % show no further progress.
                continue
            if now_ms - run.progress_ms <= STALL_MS:
                progressing.add(run.runner)
            else:
                stalled_by_runner.setdefault(run.runner, []).append(run)
        for runner, runs in stalled_by_runner.items():
            link = self.links_by_id.get(runner)
            if runner in progressing or link is None or not link.usable:
                continue
            if self.runner_health.is_healthy(runner):
                log.warning("runner_stalled", runner=runner, runs=len(runs))
            self.runner_health.note_stalled(runner)
            for run in runs:
                stage = run.stage
                if (
                    is_time_critical(stage)
                    and stage.step.gang
                    and run.number < STALL_MOVE_RUN_LIMIT
                ):
                    self._withdraw_gang(stage, run.number, "stalled")

    def _launch(self, placements: list[Placement]) -> None:
        """Assign the tasks of placements and start them in the background."""
        for placement in placements:
            stage = placement.stage
            number = stage.job.next_run(stage, range(stage.step.count))
            runs = []
            for index, runner_id in zip(placement.indices, placement.runner_ids, strict=True):
                if not stage.step.gang:
                    number = stage.job.next_run(stage, [index])
                stage.runs[index] = number
                stage.runners[index] = runner_id
                run = Run(stage, index, number, runner_id)
                self._add_run(run)
                runs.append(run)
            # A job whose start is refused is not idle at once again.
            self._idle_since_by_job.pop(stage.job.id, None)
            log.info(
                "placed",
                job=stage.job.id,
                occurrence=stage.occurrence,
                step=stage.number,
                run=number,
                tasks=len(runs),
                runners=",".join(placement.runner_ids),
                guaranteed=placement.guaranteed,
                victims=",".join(victim.stage.job.id for victim in placement.victims),
            )
            self._tasks.start(self._start(placement, runs), f"start {stage.job.id}")

    async def _persist(self, jobs: list[Job]) -> None:
        """Write the progress of jobs to the store."""
        records = [
            (PROGRESS_KEY + job.id, job.to_progress(self.term).SerializeToString()) for job in jobs
        ]
        try:
            await self._writer.write(records)
        except StoreFencedError:
            log.warning("planner_fenced", term=self.term, by="store")
            self._on_term_lost(self.term)
            raise asyncio.CancelledError from None

    def state_first_end(self, job: Job) -> None:
        """Store which end of a job counts, if the newest records of its keys do not show it."""
        if self._ends_read and job.needs_stated_end:
            # The record states it; it is repeated until it is stored.
            job.end_stated = True
            log.info("first_end_stated", job=job.id, end=job.stored_end)
            self._tasks.start(self._persist([job]), f"state the end of {job.id}")

    async def _start(self, placement: Placement, runs: list[Run]) -> None:
        # The victims' tasks may be placed again, with new run numbers, before the wait begins.
        preempted = [
            (victim.stage.task(index), victim.stage.runs[index])
            for victim in placement.victims
            for index in victim.indices
        ]
        self._withdraw_all(preempted, "preempted", f"by {placement.stage.job.id}")
        await self._record_placement(placement.stage.job, runs)
        if not await self._wait_ended(preempted):
            log.warning("preemption_timed_out", job=placement.stage.job.id)
            keys = [(run.stage.task(run.index), run.number) for run in runs]
            self._withdraw_all(keys, "preemption timed out")
            return
        job = placement.stage.job
        waited = not job.begun
        await asyncio.gather(*(self._start_task(run) for run in runs))
        if waited and job.begun:
            # All instances report how many jobs wait for their first task.
            await self._persist([job])

    async def _record_placement(self, job: Job, runs: list[Run]) -> None:
        """Store a placement; return before it is stored if its runs may be started without."""
        write = self._tasks.start(self._persist([job]), f"record {job.id}")
        while not write.done():
            if self.unrecorded_starts.may_start(runs, self._allows_unrecorded_starts):
                self.unrecorded_starts.note_started(runs)
                write.add_done_callback(partial(self._note_started_recorded, runs))
                log.warning("started_unrecorded", job=job.id, run=runs[0].number, tasks=len(runs))
                return
            await asyncio.wait({write}, timeout=UNRECORDED_CHECK_INTERVAL_MS / 1000)
        # Raises what the write has raised, also its cancellation.
        write.result()
        _note_stored_numbers(runs)

    def _note_started_recorded(self, runs: list[Run], write: asyncio.Task) -> None:
        if not write.cancelled() and write.exception() is None:
            self.unrecorded_starts.note_stored()
            _note_stored_numbers(runs)

    def _store_given_up(self, jobs: list[Job]) -> None:
        """Store that runs of jobs were taken as ended; nothing is started unrecorded before."""
        for job in jobs:
            self.unrecorded_starts.block(job.id)
        write = self._tasks.start(self._persist(jobs), "store runs that were given up")

        def unblock(done: asyncio.Task) -> None:
            if not done.cancelled() and done.exception() is None:
                for job in jobs:
                    self.unrecorded_starts.unblock(job.id)

        write.add_done_callback(unblock)

    def _allows_unrecorded_starts(self, runner_id: str) -> bool:
        """Return whether work may be started on a runner before its placement is stored.

        The capacity of one that starts whatever it is told to is not known in an outage, and one
        with many ends would not show them all to the next planner at once.
        """
        link = self.links_by_id.get(runner_id)
        if link is None or self._may_outgrow_reports(link):
            return False
        return self._guards_capacity(link.runner)

    async def _wait_ended(self, keys: list[RunKey]) -> bool:
        """Return whether preempted runs ended in time."""
        until_ms = self._clock.now_ms() + PREEMPTION_TIMEOUT_MS
        while any(key in self.runs_by_key for key in keys):
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                return False
            self._reported.clear()
            await wait_event(self._reported, min(left_ms, PREEMPTION_CHECK_INTERVAL_MS))
        return True

    async def _start_task(self, run: Run) -> None:
        """Send a start request until its outcome is certain, or withdraw the run."""
        stage = run.stage
        task = stage.task(run.index)
        deadline_ms = self._clock.now_ms() + START_TIMEOUT_MS
        backoff = Backoff(RETRY_MS, PASS_INTERVAL_MS)
        ordered_before = stage.ordered_runs[run.index]

        def is_needed() -> bool:
            return not run.withdrawn and self.runs_by_key.get((task, run.number)) is run

        while is_needed():
            link = self.links_by_id.get(run.runner)
            if link is None or self._clock.now_ms() > deadline_ms:
                self._fail_start(
                    run, "no answer", certain=stage.ordered_runs[run.index] < run.number
                )
                return
            if not self._knows_capacity(link.runner):
                await self._clock.sleep_ms(RETRY_MS)
                continue
            if not self._has_room(run):
                self._fail_start(
                    run, "capacity", certain=stage.ordered_runs[run.index] < run.number
                )
                return
            try:
                clock_ms = await link.send_order(
                    partial(self._send_start, link, run),
                    lambda: (
                        is_needed() and self._clock.now_ms() <= deadline_ms and self._has_room(run)
                    ),
                )
                if clock_ms is None:
                    continue
            except RunnerUnansweredError as error:
                run.start_unanswered = True
                log.info("start_unanswered", task=task, runner=run.runner, error=str(error))
                await self._clock.sleep_ms(backoff.next_ms())
                continue
            except RunnerRefusedError as error:
                if error.reason == "late":
                    await self._clock.sleep_ms(RETRY_MS)
                    continue
                if error.reason == "fence":
                    self._on_fenced(link)
                    return
                self.runner_health.note_refusal(run.runner, error.reason)
                if error.reason == OTHER_PROCESS:
                    self._tasks.start(link.poll_now(), f"poll {run.runner}")
                if self.runs_by_key.get((task, run.number)) is not run:
                    return
                if not run.start_unanswered:
                    stage.ordered_runs[run.index] = ordered_before
                self._fail_start(run, error.reason, certain=not run.start_unanswered)
                return
            run.acknowledged_ms = self._clock.now_ms()
            run.started_ms = run.acknowledged_ms
            run.started_clock_ms = clock_ms
            run.may_have_begun = True
            stage.job.begun = True
            return

    def _knows_capacity(self, runner: Runner) -> bool:
        """Return whether a runner's capacity is known well enough to start work on it."""
        if self._guards_capacity(runner):
            return True
        return self._runners_follower.lag_ms() <= MAX_LISTING_AGE_MS

    def _guards_capacity(self, runner: Runner) -> bool:
        """Return whether a runner refuses what does not fit."""
        configuration = self._configuration()
        return configuration is not None and runner.service in configuration.guarding_services

    def _has_room(self, run: Run) -> bool:
        """Return whether a runner's present capacity holds a run beside those sent to it before."""
        link = self.links_by_id.get(run.runner)
        if link is None:
            return False
        free = link.runner.capacity.copy()
        self._stray_runs.subtract_from(free, link.runner)
        for other in self._runs_by_runner[run.runner].values():
            if other is run or other.stage.ordered_runs[other.index] >= other.number:
                free.subtract(other.stage.demand)
        return not free.is_exceeded

    async def _send_start(self, link: RunnerLink, run: Run) -> int:
        """Send one start request and return the runner's clock."""
        stage = run.stage
        stage.ordered_runs[run.index] = run.number
        sent_before = run.may_have_begun
        run.may_have_begun = sent_before or link.reachable
        try:
            return await self._orders.start(
                link.runner,
                self.term,
                stage.task(run.index),
                run.number,
                stage.job.record.spec,
                stage.checkpoint(run.index),
                link.lease_until_ms(),
            )
        except (RunnerNotListeningError, RunnerNotSentError, RunnerRefusedError):
            run.may_have_begun = sent_before
            raise

    def _fail_start(self, run: Run, reason: str, certain: bool = False) -> None:
        """Withdraw a run that could not be started, with the rest of its gang.

        :param certain: the runner has not started the run, and no request for it is outstanding.
        """
        key = (run.stage.task(run.index), run.number)
        log.info("start_failed", task=key[0], run=run.number, runner=run.runner, reason=reason)
        if run.withdrawn:
            return
        if certain:
            self._end_run(key, run, "refused", run.checkpoint)
        elif run.stage.step.gang:
            self._withdraw_gang(run.stage, run.number, "start failed", reason)
        else:
            self._withdraw_all([key], "start failed", reason)


def _note_stored_numbers(runs: list[Run]) -> None:
    """Note that the store has a record of the numbers of runs."""
    for run in runs:
        stored = run.stage.stored_runs
        stored[run.index] = max(stored[run.index], run.number)
