"""Days of a deployment played through the scheduler's decisions in virtual time.

``python -m bench.experiment`` prints what several policies earn of the worth that is owed, for each
kind of job, with waits and work thrown away; the table goes to ``out/`` as CSV and plot.
"""

import functools
import heapq
import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import fire

from bench.loads import DEPLOYMENTS, PATTERNS, Arrival, Deployment, JobKind, arrivals
from bench.tables import Table, percentile
from carawayroute.estimates import RunTimeEstimator
from carawayroute.fleet import packing, ranking, scheduler
from carawayroute.fleet.admission import AdmissionController
from carawayroute.fleet.jobs import JOB_KEY, JobTable, Stage
from carawayroute.fleet.scheduler import Placement, SchedulingPass, StopCost
from carawayroute.fleet.speeds import RunnerSpeeds
from carawayroute.fleet.types import CallerLimits, Configuration, Runner

# Time between two passes on a planner's processor, and from a decision to the start.
PASS_MS = 60.0
START_MS = 25.0
RESTORE_MS = 100.0
DAY_S = 34.0
# Jobs may end this long after the last arrival.
FINISH_S = 14.0
RETRIES = 4
# Runners take this many times as long as a usual one, and tasks of a step differ by this share.
SLOWNESS = (1.0, 1.0, 1.3)
UNEVEN = 0.15
# A price of work that is thrown away, in worth for each core-second; an accelerator is 8 cores.
WASTE_PRICE = 0.0012
CORES_PER_ACCELERATOR = 8


class _Run:
    __slots__ = ("begin_ms", "checkpoint_ms", "end_ms", "indices", "number", "places", "speed")

    def __init__(self, number: int, indices: list[int], places: list[str]) -> None:
        self.number = number
        self.indices = indices
        self.places = places
        self.begin_ms: float | None = None
        self.end_ms = 0.0
        self.checkpoint_ms = 0.0
        self.speed = 1.0


class Day:
    """One day of a deployment under the policy that the modules hold at that moment."""

    def __init__(self, deployment: Deployment, load: list[Arrival], seed: int) -> None:
        self.deployment = deployment
        self.load = load
        self.dice = random.Random(seed)
        self.now_ms = 0.0
        self.book = JobTable()
        self.runners = deployment.make_runners()
        self.runners_by_id: dict[str, Runner] = {one.id: one for one in self.runners}
        queues = [kind.queue for kind in deployment.kinds]
        self.configuration = Configuration(1, queues, deployment.make_teams(), CallerLimits())
        accelerators = deployment.runners * deployment.capacity.accelerators
        self.admission = AdmissionController(self.book, lambda: accelerators)
        self.run_times = RunTimeEstimator()
        self.speeds = RunnerSpeeds()
        self.slowness_by_id = {one.id: self.dice.choice(SLOWNESS) for one in self.runners}
        self.worth: ranking.JobValues | None = None
        self.arrivals_by_id = {one.job.id: one for one in load}
        self.free_by_id = {one.id: one.capacity.copy() for one in self.runners}
        self.runs_by_stage: dict[tuple, list[_Run]] = {}
        self.saved_by_task: dict[tuple, float] = {}
        self.stopping: set[int] = set()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._dirty = False
        self.ended_ms_by_id: dict[str, float] = {}
        self.first_start_by_id: dict[str, float] = {}
        self.refused: set[str] = set()
        self.wasted_core_s = 0.0
        self.stops = 0
        self.runs = 0

    def play(self) -> None:
        """Let the day pass."""
        for one in self.load:
            self._at(one.at_ms, functools.partial(self._submit, one, 0))
        self._at(0.0, self._pass)
        last_ms = (DAY_S + FINISH_S) * 1000
        while self.events:
            at_ms, _, act = heapq.heappop(self.events)
            if at_ms > last_ms:
                return
            self.now_ms = at_ms
            act()

    def _at(self, at_ms: float, act: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self.events, (at_ms, self._count, act))

    def _submit(self, one: Arrival, tries: int) -> None:
        job = one.job
        job.accepted_ms = int(self.now_ms)
        chain_ms = sum(step.estimate_ms for step in job.steps)
        verdict = self.admission.decide(job, chain_ms)
        if verdict.accepted:
            self.admit(one)
        elif tries < RETRIES:
            again_ms = self.now_ms + verdict.retry_after_ms * self.dice.uniform(1.0, 1.2)
            self._at(again_ms, functools.partial(self._submit, one, tries + 1))
        else:
            self.refused.add(job.id)

    def admit(self, one: Arrival) -> None:
        """Accept a job."""
        job = one.job
        self.book.apply(len(self.book.jobs_by_id), JOB_KEY + job.id, job.SerializeToString(), 0)
        self._dirty = True

    # ------------------------------------------------------------------ placing

    def _estimate_ms(self, stage: Stage) -> float:
        ratio = self.run_times.expect_ms(stage.job.record.queue, 1.0)
        return stage.step.estimate_ms * ratio

    def _run_of(self, stage: Stage, index: int) -> _Run | None:
        return next(
            (run for run in self.runs_by_stage.get(stage.key, ()) if index in run.indices), None
        )

    def _run_clock(self, stage: Stage, index: int) -> StopCost:
        run = self._run_of(stage, index)
        if run is None or id(run) in self.stopping or run.begin_ms is None:
            return StopCost(0.0, False)
        if stage.step.checkpoints:
            return StopCost(0.0, True)
        return StopCost(self.now_ms - run.begin_ms, True)

    def _pass(self) -> None:
        self._at(self.now_ms + PASS_MS, self._pass)
        if not self._dirty:
            return
        self._dirty = False
        self.plan_once()

    def plan_once(self) -> None:
        """Run one pass and start what it places."""
        candidates = [
            packing.Candidate(one, self.free_by_id[one.id].copy(), self.speeds.speed(one.id))
            for one in self.runners
        ]
        if self.worth is None:
            self.worth = ranking.JobValues(
                ranking.DominantShare(scheduler.median_capacity(candidates))
            )
        placements = SchedulingPass(
            self.book,
            self.configuration,
            candidates,
            self.now_ms,
            self._estimate_ms,
            self._run_clock,
            self.worth,
        ).run()
        for placement in placements:
            self._launch(placement)

    def _launch(self, placement: Placement) -> None:
        stage = placement.stage
        ready_ms = self.now_ms + START_MS
        for victim in placement.victims:
            for index in victim.indices:
                run = self._run_of(victim.stage, index)
                if run is not None and id(run) not in self.stopping:
                    gone_ms = self.now_ms + self.dice.uniform(0.3, 1.0) * self.deployment.stop_ms
                    ready_ms = max(ready_ms, gone_ms + START_MS)
                    self.stopping.add(id(run))
                    self._at(gone_ms, functools.partial(self._stopped, victim.stage, run))
        groups = (
            [(placement.indices, placement.runner_ids)]
            if stage.step.gang
            else [([i], [p]) for i, p in zip(placement.indices, placement.runner_ids, strict=True)]
        )
        for indices, places in groups:
            number = max(stage.runs[index] for index in indices) + 1
            run = _Run(number, list(indices), list(places))
            for index, place in zip(indices, places, strict=True):
                stage.runs[index] = number
                stage.runners[index] = place
                self.free_by_id[place].subtract(stage.demand)
            self.runs_by_stage.setdefault(stage.key, []).append(run)
            self._at(ready_ms, functools.partial(self._begin, stage, run))

    def _begin(self, stage: Stage, run: _Run) -> None:
        if run not in self.runs_by_stage.get(stage.key, ()):
            return
        self.runs += len(run.indices)
        self.first_start_by_id.setdefault(stage.job.id, self.now_ms)
        run.begin_ms = self.now_ms
        whole_ms = self.arrivals_by_id[stage.job.id].work_ms[stage.number]
        saved = self.saved_by_task.get((stage.key, run.indices[0] if not stage.step.gang else 0), 0)
        work_ms = whole_ms - saved + (RESTORE_MS if saved else 0)
        racks = {self.runners_by_id[place].rack for place in run.places}
        far = stage.step.same_rack and len(racks) > 1
        run.speed = (self.deployment.far_factor if far else 1.0) * max(
            self.slowness_by_id[place] * self.dice.gauss(1.0, UNEVEN) for place in run.places
        )
        run.end_ms = self.now_ms + work_ms * run.speed
        self._at(run.end_ms, functools.partial(self._done, stage, run))

    def _remove(self, stage: Stage, run: _Run) -> bool:
        runs = self.runs_by_stage.get(stage.key, [])
        if run not in runs:
            return False
        runs.remove(run)
        self.stopping.discard(id(run))
        for index, place in zip(run.indices, run.places, strict=True):
            stage.runners[index] = ""
            self.free_by_id[place].subtract(stage.demand, -1)
        self._dirty = True
        return True

    def _done(self, stage: Stage, run: _Run) -> None:
        if not self._remove(stage, run):
            return
        stage.mark_done(run.indices[0])
        ran_ms = self.now_ms - (run.begin_ms or 0.0)
        if run.number == 1 and not stage.step.gang:
            self.speeds.observe(stage.key, run.places[0], ran_ms)
        if run.number == 1:
            self.run_times.observe(stage.job.record.queue, ran_ms / max(1, stage.step.estimate_ms))
        self.book.close_if_finished(stage.job, self.now_ms)
        if stage.job.completed:
            self.ended_ms_by_id[stage.job.id] = self.now_ms

    def _stopped(self, stage: Stage, run: _Run) -> None:
        if not self._remove(stage, run):
            return
        self.stops += len(run.indices)
        ran_ms = self.now_ms - run.begin_ms if run.begin_ms is not None else 0.0
        if stage.step.checkpoints:
            key = (stage.key, 0 if stage.step.gang else run.indices[0])
            before = self.saved_by_task.get(key, 0)
            self.saved_by_task[key] = before + max(
                0.0, ran_ms / run.speed - RESTORE_MS * bool(before)
            )
            return
        cores = stage.step.cpu_millis / 1000 + stage.step.accelerators * CORES_PER_ACCELERATOR
        self.wasted_core_s += cores * len(run.indices) * ran_ms / 1000


def size(one: Arrival) -> float:
    """Return the core-milliseconds of a job's work, accelerators counted as cores."""
    return sum(
        step.count * work * (step.cpu_millis / 1000 + step.accelerators * CORES_PER_ACCELERATOR)
        for step, work in zip(one.job.steps, one.work_ms, strict=True)
    )


def weight(one: Arrival, mean: float) -> float:
    """Return a job's worth beside the usual one of its kind."""
    return min(
        ranking.MAX_VALUE_FACTOR,
        ranking.FIXED_VALUE_SHARE + (1 - ranking.FIXED_VALUE_SHARE) * size(one) / mean,
    )


def mean_size(load: list[Arrival], kind: JobKind) -> float:
    """Return the mean work of the jobs of a kind."""
    sizes = [size(one) for one in load if one.kind is kind]
    return sum(sizes) / max(1, len(sizes))


class Result:
    """What a day earned.

    :param share_by_kind: earned worth of the owed, for each kind.
    """

    def __init__(self, day: Day) -> None:
        self.share_by_kind: dict[str, float] = {}
        owed_all = earned_all = 0.0
        in_window: dict[int, list[float]] = {}
        for kind in day.deployment.kinds:
            owed = earned = 0.0
            mean = mean_size(day.load, kind)
            for one in day.load:
                if one.kind is not kind:
                    continue
                share = weight(one, mean)
                full, late = kind.worth
                owed += share * full
                gained = 0.0
                end_ms = day.ended_ms_by_id.get(one.job.id)
                if end_ms is not None:
                    took = end_ms - one.at_ms
                    if took <= one.objective_ms:
                        gained = share * full
                    elif took <= ranking.LATE_FACTOR * one.objective_ms:
                        gained = share * late
                earned += gained
                window = in_window.setdefault(int(one.at_ms / 2000), [0.0, 0.0])
                window[0] += share * full
                window[1] += gained
            self.share_by_kind[kind.queue.name] = earned / max(1e-9, owed)
            owed_all += owed
            earned_all += earned
        self.share = earned_all / owed_all
        worst = sorted(got / due for due, got in in_window.values() if due)[:2]
        self.worst_windows = sum(worst) / max(1, len(worst))
        self.waste = WASTE_PRICE * day.wasted_core_s / owed_all
        self.stopped = day.stops / max(1, day.runs)
        self.refused = len(day.refused) / len(day.load)
        waits = [
            start - day.arrivals_by_id[name].at_ms for name, start in day.first_start_by_id.items()
        ]
        self.wait_ms = percentile(waits, 0.95)


def _play(case: tuple[str, str, str, int]) -> tuple[tuple[str, str, str, int], Result]:
    policy, deployment_name, pattern, seed = case
    POLICIES[policy]()
    deployment = DEPLOYMENTS[deployment_name]
    day = Day(deployment, arrivals(deployment, PATTERNS[pattern], DAY_S, seed), seed)
    day.play()
    return case, Result(day)


def _current() -> None:
    """Leave every decision as it is."""


def _no_headroom() -> None:
    scheduler.HEADROOM_SHARE = 0.0


def _no_preemption() -> None:
    scheduler.MAX_VICTIM_SEARCHES = 0


def _no_reservation() -> None:
    scheduler.MAX_RESERVATIONS = 0


def _first_come() -> None:
    ranking.remaining_value_share = lambda *_: 1.0
    ranking.JobValues.value_per_runner_ms = lambda *_: 1.0
    ranking.AGING_MS = 1.0


def _blind_to_speed() -> None:
    RunnerSpeeds.speed = lambda *_: 1.0


POLICIES: dict[str, Callable[[], None]] = {
    "current": _current,
    "first come": _first_come,
    "no headroom": _no_headroom,
    "blind to speed": _blind_to_speed,
    "no preemption": _no_preemption,
    "no reservation": _no_reservation,
}


def main(
    deployments: str = "cornice,deckmali",
    patterns: str = "bursts,high",
    policies: str = "current,first come,no preemption,no reservation",
    seeds: int = 3,
    jobs: int = 3,
) -> None:
    """Play days and print the table.

    :param jobs: processes to use.
    """
    cases = [
        (policy, deployment, pattern, seed)
        for deployment in _split(deployments)
        for pattern in _split(patterns)
        for policy in _split(policies)
        for seed in range(1, seeds + 1)
    ]
    columns = ["deployment", "pattern", "policy", "worth", "worst 2 windows", "kinds"]
    columns += ["waste", "stopped", "refused", "wait p95 ms"]
    table = Table("experiment", "Worth earned of the worth owed", columns, 7)
    found: dict[tuple[str, str, str], list[Result]] = {}
    # A policy changes modules, so each case gets a process of its own.
    with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
        for (policy, deployment, pattern, _), result in pool.map(_play, cases):
            found.setdefault((deployment, pattern, policy), []).append(result)
    for key, results in found.items():
        table.add(*key, *_summary(results))
    table.show()


def _split(text: str | tuple[str, ...]) -> list[str]:
    """Return the words of an option, which fire hands over as text or as a tuple."""
    return text.split(",") if isinstance(text, str) else list(text)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _summary(results: list[Result]) -> list[object]:
    kinds = results[0].share_by_kind
    return [
        _mean([one.share for one in results]),
        _mean([one.worst_windows for one in results]),
        "/".join(f"{_mean([one.share_by_kind[kind] for one in results]):.2f}" for kind in kinds),
        _mean([one.waste for one in results]),
        _mean([one.stopped for one in results]),
        _mean([one.refused for one in results]),
        _mean([one.wait_ms for one in results]),
    ]


if __name__ == "__main__":
    fire.Fire(main)
