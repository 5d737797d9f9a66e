"""Planner of one region: holds the term and worker leases, places, launches and ends gangs."""

import asyncio

import structlog

from carawayroute.clock import Clock
from carawayroute.estimates import RunTimeEstimator
from carawayroute.exceptions import LogError
from carawayroute.gangs import Gang, GangController
from carawayroute.health import HealthTracker
from carawayroute.leases import WorkerLeases
from carawayroute.log import LogFollower
from carawayroute.membership import Membership
from carawayroute.misc import TaskGroup, wait_event
from carawayroute.placement import Fleet, NotPlaced, Placement, Plan
from carawayroute.platform import Workers
from carawayroute.queue import PlacementPass, QueueEntry, order_queue
from carawayroute.state import Job
from carawayroute.terms import LeaderElection
from carawayroute.turns import Turns
from carawayroute.types import Attempt, FencingToken, Instance
from carawayroute_schema import carawayroute_pb2 as pb

TICK_MS = 200
# Pause after an error, so that one that lasts does not claim a term with each tick.
FAILURE_PAUSE_MS = 1_000
# Interval for renewing worker leases and refreshing the set of usable workers.
WORKER_SCAN_INTERVAL_MS = 400
TERM_APPEND_TIMEOUT_MS = 3_000
FINISH_APPEND_TIMEOUT_MS = 5_000
# How long a job whose shape fits on no listed workers is kept, in case workers come back.
IMPOSSIBLE_SHAPE_TIMEOUT_MS = 60_000
# Placement runs at least this often, since expiries such as deadlines or backoffs signal no change.
PLACEMENT_RETRY_INTERVAL_MS = 2_000
# Bounds one placement pass, so that a long queue does not delay lease renewals and reports. Jobs
# that are left out come first in a later pass.
MAX_JOBS_PER_PASS = 500

log = structlog.get_logger()


class PlannerSettings:
    """Settings of a planner.

    :param worker_lease_ms: shortest lease on a worker.
    :param renewals_per_second: upper bound on lease renewals, summed over all workers.
    """

    __slots__ = ("renewals_per_second", "worker_lease_ms")

    def __init__(self, worker_lease_ms: float = 8_000, renewals_per_second: int = 40) -> None:
        self.worker_lease_ms = worker_lease_ms
        self.renewals_per_second = renewals_per_second


class Planner:
    """Plan for a region while this instance holds the region's term.

    The planner stores nothing of its own: workers report which gangs run, and the log holds the
    accepted and finished jobs. A planner that acquires the term rebuilds its state from both.
    """

    def __init__(
        self,
        region: str,
        instance: str,
        clock: Clock,
        follower: LogFollower,
        membership: Membership,
        workers: Workers,
        watch: LeaderElection,
        settings: PlannerSettings,
    ) -> None:
        self.region = region
        self.instance = instance
        self.clock = clock
        self.follower = follower
        self.membership = membership
        self.workers = workers
        self.watch = watch
        self.settings = settings
        self.fleet = Fleet()
        self.health = HealthTracker(clock)
        self.run_times = RunTimeEstimator()
        self.tasks = TaskGroup()
        self.token: FencingToken | None = None
        self.draining = False
        self.recovered = False
        self.wait_reason_by_job: dict[str, str] = {}
        self.gangs_by_job: dict[str, Gang] = {}
        self.wake = asyncio.Event()
        self.leases = WorkerLeases(
            clock,
            workers,
            instance,
            settings.worker_lease_ms,
            settings.renewals_per_second,
            self.tasks,
            self._handle_report,
        )
        self._reported_by_attempt: dict[str, dict[str, Attempt]] = {}
        self._finishing: set[str] = set()
        self._impossible_since_ms: dict[str, float] = {}
        self._turns = Turns(MAX_JOBS_PER_PASS)
        self._last_change: tuple[int, str] = (-1, "")
        self._changed = asyncio.Event()
        self._last_placement_ms = float("-inf")
        self._last_scan_ms = float("-inf")
        self.gang_controller = GangController(self)

    # ------------------------------------------------------------------ term

    @property
    def is_active(self) -> bool:
        """Return whether this instance holds the region's term and plans for it."""
        return self.token is not None

    def terms_held(self) -> list[pb.Term]:
        """Return the term that this instance holds, for messages to its peers; empty if none."""
        if self.token is None:
            return []
        return [pb.Term(region=self.region, number=self.token[0], holder=self.instance)]

    async def run(self) -> None:
        """Run planning ticks until cancelled, early when the wake event is set.

        After an error the term is given up, and the next holder starts from the records.
        """
        while True:
            try:
                await self.tick()
            except Exception:
                log.exception("planning_failed", region=self.region, token=self.token)
                self.step_down()
                await self.clock.sleep_ms(FAILURE_PAUSE_MS)
            await wait_event(self.wake, TICK_MS)
            self.wake.clear()

    async def tick(self) -> None:
        """Check the term, renew leases, recover or place jobs, each as far as it is due."""
        self._check_term()
        if self.token is None:
            await self._acquire_term_if_next()
        if self.token is None:
            return
        if self.clock.now_ms() - self._last_scan_ms >= WORKER_SCAN_INTERVAL_MS:
            self._last_scan_ms = self.clock.now_ms()
            self.leases.renew_due(self._listed_workers())
            self._refresh_fleet()
            if self.recovered:
                self._handle_lost_workers()
        if not self.recovered:
            self._recover()
        if self.recovered:
            self._place_if_changed()

    def _entries(self) -> list[str]:
        live = self.membership.live("entry", self.region)
        draining = self.follower.state.draining
        return [entry.id for entry in live if entry.id not in draining]

    def _check_term(self) -> None:
        """Step down if the log shows a later term, or this term with another holder.

        A token with a step above 0 was issued without the log and shares its number with the
        holder in the log, so only a later term ends it.
        """
        term = self.follower.state.terms_by_region.get(self.region)
        if self.token is None or term is None:
            return
        if term.number > self.token[0] or (
            term.number == self.token[0] and term.holder != self.instance and self.token[1] == 0
        ):
            self.step_down()

    def mark_changed(self) -> None:
        """Request a placement pass because jobs or free capacity changed."""
        self._changed.set()
        self.wake.set()

    def step_down(self) -> None:
        """Stop planning and forget the gangs; those that run are left to the next term holder."""
        self.token = None
        self.recovered = False
        self.gangs_by_job.clear()
        self.fleet = Fleet()
        self._last_change = (-1, "")
        self.leases.drop()
        self._reported_by_attempt.clear()
        self.wait_reason_by_job.clear()

    async def _acquire_term_if_next(self) -> None:
        state = self.follower.state
        entries = self._entries()
        if not self.follower.caught_up or self.draining or self.instance not in entries:
            return
        if not self.watch.should_take_term(state, entries, self.draining):
            return
        if not self.follower.reachable:
            self._activate(self.watch.token_without_log(state, entries))
            return
        current = state.terms_by_region.get(self.region)
        number = (current.number if current else 0) + 1
        term = pb.Term(region=self.region, number=number, holder=self.instance)
        record = self.follower.make_record(term=term)
        try:
            await self.follower.append(record, TERM_APPEND_TIMEOUT_MS)
        except LogError:
            return
        won = self.follower.state.terms_by_region.get(self.region)
        if won is not None and won.number == number and won.holder == self.instance:
            self._activate((number, 0))

    def _activate(self, token: FencingToken) -> None:
        self.token = token
        self.recovered = False
        self._last_scan_ms = float("-inf")
        self.leases.acquire(token)

    def _listed_workers(self) -> list[Instance]:
        """Return the workers of the region, including those that are leaving."""
        return self.membership.listed("worker", self.region)

    # ------------------------------------------------------------------ reports

    def _handle_report(self, worker: str, attempts: list[Attempt]) -> None:
        """Compare the attempts that a worker reports with the gangs of this planner.

        Before recovery is complete, the report is only stored for it.
        """
        if not self.recovered:
            for attempt in attempts:
                self._reported_by_attempt.setdefault(attempt.attempt_id, {})[worker] = attempt
            return
        for attempt in attempts:
            gang = self.gangs_by_job.get(attempt.job_id)
            if gang is None or gang.attempt_id != attempt.attempt_id:
                self._release_orphan(worker, attempt)
            elif gang.running:
                self._apply_status(gang, worker, attempt)
        reported = {attempt.attempt_id for attempt in attempts}
        for job_id in self.fleet.jobs_on(worker):
            gang = self.gangs_by_job.get(job_id)
            if gang is None or gang.attempt_id in reported:
                continue
            if gang.running and gang.started_ms < self.clock.now_ms() - TICK_MS * 5:
                self._handle_gang_loss(gang, f"worker {worker} no longer holds its part")

    def _release_orphan(self, worker: str, attempt: Attempt) -> None:
        """Release an attempt without a gang, unless it or its job is already being ended."""
        if attempt.job_id in self._finishing or self.gang_controller.is_releasing(
            attempt.attempt_id
        ):
            return
        self.tasks.start(
            self.gang_controller.release_part(worker, attempt.attempt_id),
            f"release orphaned {attempt.attempt_id}",
        )

    def _apply_status(self, gang: Gang, worker: str, attempt: Attempt) -> None:
        gang.status_by_worker[worker] = attempt.status
        gang.result = attempt.result or gang.result
        if attempt.status == "failed":
            self._handle_gang_failure(gang, worker)
        elif all(gang.status_by_worker.get(part) == "done" for part in gang.parts):
            self._finish_gang(gang)

    def _finish_gang(self, gang: Gang) -> None:
        run_ms = self.clock.now_ms() - gang.started_ms
        self.run_times.observe(f"{gang.job.team}/{gang.job.kind}", run_ms)
        for worker in gang.parts:
            self.health.record_success(worker, gang.job.job_id)
        self._remove(gang)
        self.finish(gang.job, pb.DONE, "", gang.result, gang)

    def _handle_gang_failure(self, gang: Gang, worker: str) -> None:
        self.health.record_failure(worker, gang.job.job_id)
        self._remove(gang)
        if not gang.kind.idempotent:
            reason = "a task failed, and the job is not idempotent"
            self.finish(gang.job, pb.FAILED, reason, "", gang)
            return
        if self.health.is_faulty_job(gang.job.job_id):
            count = len(self.health.failed_on(gang.job.job_id))
            self.finish(gang.job, pb.FAILED, f"failed on {count} workers", "", gang)
            return
        self.tasks.start(self.gang_controller.release(gang), f"release {gang.attempt_id}")

    def _handle_gang_loss(self, gang: Gang, reason: str) -> None:
        """End a gang after the loss of a part; an idempotent job is queued again."""
        self._remove(gang)
        if gang.kind.idempotent:
            self.tasks.start(self.gang_controller.release(gang), f"release {gang.attempt_id}")
        else:
            self.finish(gang.job, pb.UNKNOWN, f"{reason}; it may have run in part", "", gang)

    def _remove(self, gang: Gang) -> None:
        self.gangs_by_job.pop(gang.job.job_id, None)
        self.fleet.remove(gang.job.job_id)
        self.mark_changed()

    def finish(
        self, job: pb.JobAccepted, outcome: pb.Outcome, reason: str, result: str, gang: Gang | None
    ) -> None:
        """Start recording the outcome of a job in the log and releasing its workers.

        A successful gang is released only after its outcome is in the log, so that the next planner
        still finds the outcome on the workers if this one fails.
        """
        if job.job_id in self._finishing:
            return
        self._finishing.add(job.job_id)
        finished = pb.JobFinished(job_id=job.job_id, outcome=outcome, reason=reason, result=result)
        self.tasks.start(self._record_finish(finished, gang), f"finish {job.job_id}")

    async def _record_finish(self, finished: pb.JobFinished, gang: Gang | None) -> None:
        if gang is not None and finished.outcome != pb.DONE:
            await self.gang_controller.release(gang)
        record = self.follower.make_record(job_finished=finished)
        try:
            while self.is_active:
                try:
                    await self.follower.append(record, FINISH_APPEND_TIMEOUT_MS)
                    break
                except LogError:
                    continue
            if gang is not None and finished.outcome == pb.DONE:
                await self.gang_controller.release(gang)
        finally:
            self._finishing.discard(finished.job_id)
            self.health.forget_job(finished.job_id)
            self.wait_reason_by_job.pop(finished.job_id, None)

    # ------------------------------------------------------------------ recovery

    def _recover(self) -> None:
        """Adopt running gangs once all workers answered or the time for answers is over."""
        if not self.leases.have_answered(self._listed_workers()):
            return
        self.recovered = True
        self._changed.set()
        found = list(self._reported_by_attempt.values())
        self._reported_by_attempt.clear()
        restored = [gang for gang in map(self._restore_gang, found) if gang is not None]
        placements = [
            self._placement(gang, guarantee="", non_preemptible=not gang.kind.idempotent)
            for gang in restored
        ]
        self.fleet.adopt(placements, self.follower.state.configuration, self.region)
        for gang in restored:
            self.gangs_by_job[gang.job.job_id] = gang
        for attempt_by_worker in found:
            for worker, attempt in attempt_by_worker.items():
                gang = self.gangs_by_job.get(attempt.job_id)
                if gang is not None and gang.attempt_id == attempt.attempt_id:
                    self._apply_status(gang, worker, attempt)

    def _restore_gang(self, attempt_by_worker: dict[str, Attempt]) -> Gang | None:
        """Return the gang of an attempt if all its parts run; otherwise stop those that do."""
        sample = next(iter(attempt_by_worker.values()))
        job = self.follower.state.jobs_by_id.get(sample.job_id)
        kind = self.follower.state.kind(job.accepted.kind) if job else None
        if job is None or kind is None or job.finished is not None:
            for worker in attempt_by_worker:
                self._release_orphan(worker, sample)
            return None
        per_member = max(1, job.accepted.shape.accelerators)
        workers = [
            worker
            for worker, attempt in attempt_by_worker.items()
            for _ in range(attempt.accelerators // per_member)
        ]
        gang = Gang(job.accepted, kind, sample.attempt_id, workers)
        gang.running = True
        gang.started_ms = self.clock.now_ms()
        started = all(attempt.status != "reserved" for attempt in attempt_by_worker.values())
        if len(attempt_by_worker) == sample.parts and started:
            return gang
        if job.started is not None and not kind.idempotent:
            reason = "the planner changed while the job was starting; it may have run in part"
            self.finish(job.accepted, pb.UNKNOWN, reason, "", gang)
        else:
            self.tasks.start(self.gang_controller.release(gang), f"release {gang.attempt_id}")
        return None

    def _placement(self, gang: Gang, guarantee: str, non_preemptible: bool) -> Placement:
        key = f"{gang.job.team}/{gang.job.kind}"
        expected_ms = self.run_times.expect_ms(key, gang.kind.expected_run_ms)
        now_ms = self.clock.now_ms()
        return Placement(
            gang.job.job_id,
            gang.attempt_id,
            gang.job.team,
            gang.workers,
            gang.job.shape.accelerators,
            guarantee,
            non_preemptible,
            now_ms,
            now_ms + expected_ms,
        )

    # ------------------------------------------------------------------ queue

    def _refresh_fleet(self) -> None:
        state = self.follower.state
        workers = self._listed_workers()
        held = self.leases.held()
        unusable = {
            worker.id
            for worker in workers
            if worker.id not in held
            or self.membership.is_leaving(worker.id)
            or self.health.is_quarantined(worker.id)
        }
        if self.fleet.set_workers(workers, unusable):
            self._changed.set()
        seen = (state.change.version, state.change_record_id)
        if seen != self._last_change:
            self._last_change = seen
            self.fleet.set_guarantees(state.configuration, self.region)
            self._changed.set()

    def _handle_lost_workers(self) -> None:
        listed = self.fleet.workers_by_id
        lost = self.leases.lost()
        for gang in list(self.gangs_by_job.values()):
            lost_parts = [part for part in gang.parts if part not in listed or part in lost]
            if lost_parts and gang.running:
                self._handle_gang_loss(gang, f"worker {lost_parts[0]} is lost")

    def _finish_cancelled(self) -> None:
        for job in self.follower.state.open_jobs(self.region):
            if not job.cancelled:
                continue
            gang = self.gangs_by_job.get(job.accepted.job_id)
            if gang is not None and not gang.running:
                continue
            if gang is not None:
                self._remove(gang)
            self.finish(job.accepted, pb.CANCELLED, "cancelled", "", gang)

    def _waiting_jobs(self) -> list[QueueEntry]:
        state = self.follower.state
        waiting = []
        for job in state.open_jobs(self.region):
            job_id = job.accepted.job_id
            if job_id in self.gangs_by_job or job_id in self._finishing or job.cancelled:
                continue
            kind = state.kind(job.accepted.kind)
            if kind is None:
                self.finish(job.accepted, pb.NOT_RUN, "its kind was removed", "", None)
            elif not self._finish_unplaceable(job, kind):
                waiting.append(QueueEntry(job.accepted, kind))
        return waiting

    def _finish_unplaceable(self, job: Job, kind: pb.Kind) -> bool:
        """End a job that must not or cannot be started any more; return whether it was ended."""
        accepted = job.accepted
        if job.started is not None and not kind.idempotent:
            reason = "it was started before and no worker holds it; it may have run"
            self.finish(accepted, pb.UNKNOWN, reason, "", None)
            return True
        if accepted.deadline_ms and self.clock.wall_ms() > accepted.deadline_ms:
            outcome = pb.UNKNOWN if job.started is not None else pb.NOT_RUN
            self.finish(accepted, outcome, "its deadline passed while it waited", "", None)
            return True
        return self._finish_impossible(accepted)

    def _finish_impossible(self, accepted: pb.JobAccepted) -> bool:
        if self.fleet.can_ever_fit(accepted.shape):
            self._impossible_since_ms.pop(accepted.job_id, None)
            return False
        now_ms = self.clock.now_ms()
        since_ms = self._impossible_since_ms.setdefault(accepted.job_id, now_ms)
        if now_ms - since_ms < IMPOSSIBLE_SHAPE_TIMEOUT_MS:
            return False
        del self._impossible_since_ms[accepted.job_id]
        self.finish(accepted, pb.NOT_RUN, "no set of workers can hold its shape", "", None)
        return True

    def _place_if_changed(self) -> None:
        """End cancelled jobs and place queued ones if something changed or the interval passed."""
        now_ms = self.clock.now_ms()
        if (
            not self._changed.is_set()
            and now_ms - self._last_placement_ms < PLACEMENT_RETRY_INTERVAL_MS
        ):
            return
        self._changed.clear()
        self._last_placement_ms = now_ms
        self._finish_cancelled()
        if not self.draining:
            self._place_queue(now_ms)

    def _place_queue(self, now_ms: float) -> None:
        """Run one placement pass over the queue and launch the jobs that fit."""
        weight_by_team = {team.id: team.weight for team in self.follower.state.configuration.teams}
        waiting = self._waiting_jobs()
        queue = order_queue(waiting, self.fleet, weight_by_team, self.clock.wall_ms())
        placement_pass = PlacementPass(self.fleet, self.run_times, self.health, now_ms)
        self._turns.begin_pass()
        for entry in queue:
            if self.gang_controller.is_backing_off(entry.accepted.job_id):
                continue
            if not self._turns.admit(entry.accepted.job_id):
                continue
            decision = placement_pass.plan(entry)
            if isinstance(decision, NotPlaced):
                self.wait_reason_by_job[entry.accepted.job_id] = decision.reason
            else:
                self._launch(entry, decision)

    def _launch(self, entry: QueueEntry, plan: Plan) -> None:
        self.wait_reason_by_job.pop(entry.accepted.job_id, None)
        gang = self.gang_controller.new_gang(entry, plan)
        victims = [self.gangs_by_job[job_id] for job_id in plan.preempt]
        for victim in victims:
            self._remove(victim)
        self.gangs_by_job[gang.job.job_id] = gang
        self.fleet.add(self._placement(gang, plan.guarantee, plan.non_preemptible))
        self.tasks.start(self.gang_controller.launch(gang, victims), f"launch {gang.attempt_id}")

    async def drain(self) -> None:
        """Stop placing, wait for launches in progress and outcomes being recorded, then step down.

        Outcomes are awaited only while the log is reachable.
        """
        self.draining = True
        while any(not gang.running for gang in self.gangs_by_job.values()):
            await self.clock.sleep_ms(20)
        while self._finishing and self.follower.reachable:
            await self.clock.sleep_ms(20)
        self.step_down()
