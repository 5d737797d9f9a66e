"""Planning for one region: terms, leases on workers, launching and ending gangs."""

import asyncio
import contextlib

from carawayroute.clock import Clock
from carawayroute.estimates import RunTimeEstimator
from carawayroute.exceptions import LogError
from carawayroute.gangs import Gang, GangRunner
from carawayroute.health import HealthTracker
from carawayroute.leases import WorkerLeases
from carawayroute.log import LogFollower
from carawayroute.membership import Membership
from carawayroute.misc import TaskGroup
from carawayroute.placement import Fleet, Placement, Plan, Wait
from carawayroute.platform import Workers
from carawayroute.queue import PlacingPass, QueueEntry, order_queue
from carawayroute.state import Job
from carawayroute.terms import LeaderElection
from carawayroute.types import Attempt, FencingToken, Instance
from carawayroute_schema import carawayroute_pb2 as pb

TICK_MS = 200
# Time between two looks at all workers of the region, for renewals and for who can be used.
LOOK_MS = 400
TERM_APPEND_TIMEOUT_MS = 3_000
FINISH_APPEND_TIMEOUT_MS = 5_000
# A shape that no listed workers can hold is refused after this time, in case they come back.
IMPOSSIBLE_MS = 60_000
# Without any change the queue is looked at again after this time, for what only time changes.
RETRY_PLACING_MS = 2_000
# Jobs tried in one pass, so that a long queue does not hold up leases and reports.
MAX_TRIED = 500


class PlannerSettings:
    """Times of a planner, in ms, and its bound on messages.

    :param renewals_per_second: lease renewals sent to all workers together.
    """

    __slots__ = ("renewals_per_second", "worker_lease_ms")

    def __init__(self, worker_lease_ms: float = 8_000, renewals_per_second: int = 40) -> None:
        self.worker_lease_ms = worker_lease_ms
        self.renewals_per_second = renewals_per_second


class Planner:
    """Hold a region's term and run its gangs while this instance is the one to do so.

    What runs is known to the workers, what was accepted and what ended to the log; a planner that
    takes a term asks both and keeps nothing else.
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
        self.waits_by_job: dict[str, str] = {}
        self.gangs_by_job: dict[str, Gang] = {}
        self.wake = asyncio.Event()
        self.leases = WorkerLeases(
            clock,
            workers,
            instance,
            settings.worker_lease_ms,
            settings.renewals_per_second,
            self.tasks,
            self._take_report,
        )
        self._found_by_attempt: dict[str, dict[str, Attempt]] = {}
        self._finishing: set[str] = set()
        self._impossible_since_ms: dict[str, float] = {}
        self._change_seen: tuple[int, str] = (-1, "")
        self._changed = asyncio.Event()
        self._placed_ms = float("-inf")
        self._looked_ms = float("-inf")
        self.gang_runner = GangRunner(self)

    # ------------------------------------------------------------------ term

    @property
    def acting(self) -> bool:
        """Return whether this instance plans for the region now."""
        return self.token is not None

    def terms_held(self) -> list[pb.Term]:
        """Return the term that this instance acts under, to be told to its peers."""
        if self.token is None:
            return []
        return [pb.Term(region=self.region, number=self.token[0], holder=self.instance)]

    async def run(self) -> None:
        """Watch the term and plan until cancelled."""
        while True:
            await self.tick()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake.wait(), TICK_MS / 1000)
            self.wake.clear()

    async def tick(self) -> None:
        """Do what is due now."""
        self._check_term()
        if self.token is None:
            await self._take_term_if_next()
        if self.token is None:
            return
        if self.clock.now_ms() - self._looked_ms >= LOOK_MS:
            self._looked_ms = self.clock.now_ms()
            self.leases.renew_due(self._listed_workers())
            self._refresh_fleet()
            if self.recovered:
                self._drop_lost_workers()
        if not self.recovered:
            self._recover()
        if self.recovered:
            self._place_if_changed()

    def _entries(self) -> list[str]:
        live = self.membership.live("entry", self.region)
        draining = self.follower.state.draining
        return [entry.id for entry in live if entry.id not in draining]

    def _check_term(self) -> None:
        """Stop acting once another instance holds a later term."""
        term = self.follower.state.terms_by_region.get(self.region)
        if self.token is None or term is None:
            return
        if term.number > self.token[0] or (
            term.number == self.token[0] and term.holder != self.instance and self.token[1] == 0
        ):
            self.step_down()

    def mark_changed(self) -> None:
        """Note that jobs or space changed, so that the queue is looked at again soon."""
        self._changed.set()
        self.wake.set()

    def step_down(self) -> None:
        """Stop acting; what runs is left to the next holder."""
        self.token = None
        self.recovered = False
        self.gangs_by_job.clear()
        self.fleet = Fleet()
        self._change_seen = (-1, "")
        self.leases.drop()
        self._found_by_attempt.clear()
        self.waits_by_job.clear()

    async def _take_term_if_next(self) -> None:
        state = self.follower.state
        entries = self._entries()
        if not self.follower.caught_up or self.draining or self.instance not in entries:
            return
        if not self.watch.should_take_term(state, entries, self.draining):
            return
        if not self.follower.reachable:
            self._act(self.watch.token_without_log(state, entries))
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
            self._act((number, 0))

    def _act(self, token: FencingToken) -> None:
        self.token = token
        self.recovered = False
        self._looked_ms = float("-inf")
        self.leases.take(token)

    def _listed_workers(self) -> list[Instance]:
        """Return the workers of the region, also those that are leaving."""
        return self.membership.listed("worker", self.region)

    # ------------------------------------------------------------------ reports

    def _take_report(self, worker: str, attempts: list[Attempt]) -> None:
        """Compare what a worker holds with what this planner knows."""
        if not self.recovered:
            for attempt in attempts:
                self._found_by_attempt.setdefault(attempt.attempt_id, {})[worker] = attempt
            return
        for attempt in attempts:
            gang = self.gangs_by_job.get(attempt.job_id)
            if gang is None or gang.attempt_id != attempt.attempt_id:
                self._release_stray(worker, attempt)
            elif gang.running:
                self._follow(gang, worker, attempt)
        reported = {attempt.attempt_id for attempt in attempts}
        for job_id in self.fleet.jobs_on(worker):
            gang = self.gangs_by_job.get(job_id)
            if gang is None or gang.attempt_id in reported:
                continue
            if gang.running and gang.started_ms < self.clock.now_ms() - TICK_MS * 5:
                self._lose_gang(gang, f"worker {worker} no longer holds its part")

    def _release_stray(self, worker: str, attempt: Attempt) -> None:
        """Free what no gang of this planner holds, unless its end is being recorded."""
        if attempt.job_id in self._finishing or self.gang_runner.is_releasing(attempt.attempt_id):
            return
        self.tasks.start(
            self.gang_runner.release_part(worker, attempt.attempt_id), f"stray {attempt.attempt_id}"
        )

    def _follow(self, gang: Gang, worker: str, attempt: Attempt) -> None:
        gang.status_by_worker[worker] = attempt.status
        gang.result = attempt.result or gang.result
        if attempt.status == "failed":
            self._gang_failed(gang, worker)
        elif all(gang.status_by_worker.get(part) == "done" for part in gang.parts):
            self._gang_done(gang)

    def _gang_done(self, gang: Gang) -> None:
        run_ms = self.clock.now_ms() - gang.started_ms
        self.run_times.observe(f"{gang.job.team}/{gang.job.kind}", run_ms)
        for worker in gang.parts:
            self.health.record_success(worker, gang.job.job_id)
        self._remove(gang)
        self.finish(gang.job, pb.DONE, "", gang.result, gang)

    def _gang_failed(self, gang: Gang, worker: str) -> None:
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
        self.tasks.start(self.gang_runner.release(gang), f"release {gang.attempt_id}")

    def _lose_gang(self, gang: Gang, reason: str) -> None:
        """Stop the rest of a gang of which a part is gone."""
        self._remove(gang)
        if gang.kind.idempotent:
            self.tasks.start(self.gang_runner.release(gang), f"release {gang.attempt_id}")
        else:
            self.finish(gang.job, pb.UNKNOWN, f"{reason}; it may have run in part", "", gang)

    def _remove(self, gang: Gang) -> None:
        self.gangs_by_job.pop(gang.job.job_id, None)
        self.fleet.remove(gang.job.job_id)
        self.mark_changed()

    def finish(
        self, job: pb.JobAccepted, outcome: pb.Outcome, reason: str, result: str, gang: Gang | None
    ) -> None:
        """Record how a job ended, then free what its workers keep of it."""
        if job.job_id in self._finishing:
            return
        self._finishing.add(job.job_id)
        finished = pb.JobFinished(job_id=job.job_id, outcome=outcome, reason=reason, result=result)
        self.tasks.start(self._record_finish(finished, gang), f"finish {job.job_id}")

    async def _record_finish(self, finished: pb.JobFinished, gang: Gang | None) -> None:
        if gang is not None and finished.outcome != pb.DONE:
            await self.gang_runner.release(gang)
        record = self.follower.make_record(job_finished=finished)
        try:
            while self.acting:
                try:
                    await self.follower.append(record, FINISH_APPEND_TIMEOUT_MS)
                    break
                except LogError:
                    continue
            if gang is not None and finished.outcome == pb.DONE:
                await self.gang_runner.release(gang)
        finally:
            self._finishing.discard(finished.job_id)
            self.health.forget_job(finished.job_id)
            self.waits_by_job.pop(finished.job_id, None)

    # ------------------------------------------------------------------ recovery

    def _recover(self) -> None:
        """Take over what the workers hold, once all have answered or had time to."""
        if not self.leases.have_answered(self._listed_workers()):
            return
        self.recovered = True
        self._changed.set()
        found = list(self._found_by_attempt.values())
        self._found_by_attempt.clear()
        whole = [gang for gang in map(self._whole_gang, found) if gang is not None]
        placements = [
            self._placement(gang, guarantee="", firm=not gang.kind.idempotent) for gang in whole
        ]
        self.fleet.adopt(placements, self.follower.state.configuration, self.region)
        for gang in whole:
            self.gangs_by_job[gang.job.job_id] = gang
        for found_by_worker in found:
            for worker, attempt in found_by_worker.items():
                gang = self.gangs_by_job.get(attempt.job_id)
                if gang is not None and gang.attempt_id == attempt.attempt_id:
                    self._follow(gang, worker, attempt)

    def _whole_gang(self, found_by_worker: dict[str, Attempt]) -> Gang | None:
        """Return a gang that runs whole, or stop what there is of it."""
        sample = next(iter(found_by_worker.values()))
        job = self.follower.state.jobs_by_id.get(sample.job_id)
        kind = self.follower.state.kind(job.accepted.kind) if job else None
        if job is None or kind is None or job.finished is not None:
            for worker in found_by_worker:
                self._release_stray(worker, sample)
            return None
        each = max(1, job.accepted.shape.accelerators)
        workers = [
            worker
            for worker, attempt in found_by_worker.items()
            for _ in range(attempt.accelerators // each)
        ]
        gang = Gang(job.accepted, kind, sample.attempt_id, workers)
        gang.running = True
        gang.started_ms = self.clock.now_ms()
        started = all(attempt.status != "reserved" for attempt in found_by_worker.values())
        if len(found_by_worker) == sample.parts and started:
            return gang
        if job.started is not None and not kind.idempotent:
            reason = "the planner changed while the job was starting; it may have run in part"
            self.finish(job.accepted, pb.UNKNOWN, reason, "", gang)
        else:
            self.tasks.start(self.gang_runner.release(gang), f"release {gang.attempt_id}")
        return None

    def _placement(self, gang: Gang, guarantee: str, firm: bool) -> Placement:
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
            firm,
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
        if seen != self._change_seen:
            self._change_seen = seen
            self.fleet.set_guarantees(state.configuration, self.region)
            self._changed.set()

    def _drop_lost_workers(self) -> None:
        listed = self.fleet.workers_by_id
        lost = self.leases.lost()
        for gang in list(self.gangs_by_job.values()):
            gone = [part for part in gang.parts if part not in listed or part in lost]
            if gone and gang.running:
                self._lose_gang(gang, f"worker {gone[0]} is lost")

    def _end_cancelled(self) -> None:
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
            elif not self._end_unplaceable(job, kind):
                waiting.append(QueueEntry(job.accepted, kind))
        return waiting

    def _end_unplaceable(self, job: Job, kind: pb.Kind) -> bool:
        """End a job that must not or cannot start any more; return whether it was ended."""
        accepted = job.accepted
        if job.started is not None and not kind.idempotent:
            reason = "it was started before and no worker holds it; it may have run"
            self.finish(accepted, pb.UNKNOWN, reason, "", None)
            return True
        if accepted.deadline_ms and self.clock.wall_ms() > accepted.deadline_ms:
            outcome = pb.UNKNOWN if job.started is not None else pb.NOT_RUN
            self.finish(accepted, outcome, "its deadline passed while it waited", "", None)
            return True
        return self._end_impossible(accepted)

    def _end_impossible(self, accepted: pb.JobAccepted) -> bool:
        if self.fleet.can_ever_fit(accepted.shape):
            self._impossible_since_ms.pop(accepted.job_id, None)
            return False
        now_ms = self.clock.now_ms()
        since_ms = self._impossible_since_ms.setdefault(accepted.job_id, now_ms)
        if now_ms - since_ms < IMPOSSIBLE_MS:
            return False
        del self._impossible_since_ms[accepted.job_id]
        self.finish(accepted, pb.NOT_RUN, "no set of workers can hold its shape", "", None)
        return True

    def _place_if_changed(self) -> None:
        """Look at the jobs again when something changed since the last time."""
        now_ms = self.clock.now_ms()
        if not self._changed.is_set() and now_ms - self._placed_ms < RETRY_PLACING_MS:
            return
        self._changed.clear()
        self._placed_ms = now_ms
        self._end_cancelled()
        if not self.draining:
            self._place_queue(now_ms)

    def _place_queue(self, now_ms: float) -> None:
        """Place what fits, in order."""
        weight_by_team = {team.id: team.weight for team in self.follower.state.configuration.teams}
        waiting = self._waiting_jobs()
        queue = order_queue(waiting, self.fleet, weight_by_team, self.clock.wall_ms())
        attempt = PlacingPass(self.fleet, self.run_times, self.health, now_ms)
        for entry in queue[:MAX_TRIED]:
            if self.gang_runner.is_resting(entry.accepted.job_id):
                continue
            decision = attempt.plan(entry)
            if isinstance(decision, Wait):
                self.waits_by_job[entry.accepted.job_id] = decision.reason
            else:
                self._launch(entry, decision)

    def _launch(self, entry: QueueEntry, plan: Plan) -> None:
        self.waits_by_job.pop(entry.accepted.job_id, None)
        gang = self.gang_runner.new_gang(entry, plan)
        victims = [self.gangs_by_job[job_id] for job_id in plan.preempt]
        for victim in victims:
            self._remove(victim)
        self.gangs_by_job[gang.job.job_id] = gang
        self.fleet.add(self._placement(gang, plan.guarantee, plan.firm))
        self.tasks.start(self.gang_runner.launch(gang, victims), f"launch {gang.attempt_id}")

    async def drain(self) -> None:
        """Place nothing more, let launches end, and leave the term to the next instance."""
        self.draining = True
        while any(not gang.running for gang in self.gangs_by_job.values()):
            await self.clock.sleep_ms(20)
        while self._finishing and self.follower.reachable:
            await self.clock.sleep_ms(20)
        self.step_down()
