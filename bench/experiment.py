"""Simulate days of a deployment in virtual time, with the scheduler's real decisions.

``python -m bench.experiment`` compares scheduling policies by the share of the achievable job value
that they earn, in all and for each kind of job, with waits and wasted work. It writes the table to
``out/`` as CSV and plot.
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
from carawayroute.fleet.isolation import Isolation
from carawayroute.fleet.jobs import JOB_KEY, JobTable, Stage
from carawayroute.fleet.scheduler import PassTurns, Placement, SchedulingPass, StopCost
from carawayroute.fleet.speeds import RunnerSpeeds
from carawayroute.fleet.types import CallerLimits, Configuration, Runner

# Interval between scheduling passes, and delay from a decision to the start of a task.
PASS_INTERVAL_MS = 60.0
START_DELAY_MS = 25.0
CHECKPOINT_RESTORE_MS = 100.0
DAY_S = 34.0
# Time after the last arrival in which jobs can still end.
GRACE_S = 14.0
MAX_RETRIES = 4
# Run time factors of runners, and standard deviation of the run times of a step's tasks.
SLOWDOWN_FACTORS = (1.0, 1.0, 1.3)
RUN_TIME_DEVIATION = 0.15
# Value lost for each core-second of wasted work; an accelerator counts as 8 cores.
VALUE_PER_WASTED_CORE_S = 0.0012
CORES_PER_ACCELERATOR = 8


class TaskRun:
    """A run of tasks that start together: a whole gang, or one task."""

    __slots__ = (
        "begin_ms",
        "checkpoint_ms",
        "end_ms",
        "number",
        "runner_ids",
        "speed",
        "task_indices",
    )

    def __init__(self, number: int, task_indices: list[int], runner_ids: list[str]) -> None:
        self.number = number
        self.task_indices = task_indices
        self.runner_ids = runner_ids
        self.begin_ms: float | None = None
        self.end_ms = 0.0
        self.checkpoint_ms = 0.0
        self.speed = 1.0


class SimulatedDay:
    """A simulated day of a deployment, under the policy that is set in the scheduler's modules.

    :param arrivals_in_order: jobs in the order of their arrival.
    :param seed: of all random choices, such as runner speeds and run times.
    """

    def __init__(self, deployment: Deployment, arrivals_in_order: list[Arrival], seed: int) -> None:
        self.deployment = deployment
        self.arrivals = arrivals_in_order
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.job_table = JobTable()
        self.runners = deployment.make_runners()
        self.runners_by_id: dict[str, Runner] = {runner.id: runner for runner in self.runners}
        queues = [kind.queue for kind in deployment.kinds]
        self.configuration = Configuration(1, queues, deployment.make_teams(), CallerLimits())
        accelerators = deployment.runners * deployment.capacity.accelerators
        self.admission = AdmissionController(self.job_table, lambda: accelerators)
        self.run_times = RunTimeEstimator()
        self.speeds = RunnerSpeeds()
        self.slowdown_by_id = {
            runner.id: self.rng.choice(SLOWDOWN_FACTORS) for runner in self.runners
        }
        self.turns = PassTurns()
        self.job_values: ranking.JobValues | None = None
        self.arrivals_by_id = {arrival.job.id: arrival for arrival in arrivals_in_order}
        self.free_by_id = {runner.id: runner.capacity.copy() for runner in self.runners}
        self.runs_by_stage: dict[tuple, list[TaskRun]] = {}
        self.saved_ms_by_task: dict[tuple, float] = {}
        self.stopping: set[int] = set()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._changed = False
        self.ended_ms_by_id: dict[str, float] = {}
        self.first_start_by_id: dict[str, float] = {}
        self.refused: set[str] = set()
        self.wasted_core_s = 0.0
        self.stopped_tasks = 0
        self.started_tasks = 0

    def simulate(self) -> None:
        """Process events until none is left or the grace period is over."""
        for arrival in self.arrivals:
            self._schedule(arrival.at_ms, functools.partial(self._submit, arrival, 0))
        self._schedule(0.0, self._run_periodic_pass)
        last_ms = (DAY_S + GRACE_S) * 1000
        while self.events:
            at_ms, _, callback = heapq.heappop(self.events)
            if at_ms > last_ms:
                return
            self.now_ms = at_ms
            callback()

    def _schedule(self, at_ms: float, callback: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self.events, (at_ms, self._event_count, callback))

    def _submit(self, arrival: Arrival, retries: int) -> None:
        job = arrival.job
        job.accepted_ms = int(self.now_ms)
        total_estimate_ms = sum(step.estimate_ms for step in job.steps)
        decision = self.admission.decide(job, total_estimate_ms)
        if decision.accepted:
            self.admit(arrival)
        elif retries < MAX_RETRIES:
            retry_at_ms = self.now_ms + decision.retry_after_ms * self.rng.uniform(1.0, 1.2)
            self._schedule(retry_at_ms, functools.partial(self._submit, arrival, retries + 1))
        else:
            self.refused.add(job.id)

    def admit(self, arrival: Arrival) -> None:
        """Add an accepted job to the job table."""
        job = arrival.job
        self.job_table.apply(
            len(self.job_table.jobs_by_id), JOB_KEY + job.id, job.SerializeToString(), 0
        )
        self._changed = True

    # ------------------------------------------------------------------ placement

    def _expected_run_ms(self, stage: Stage) -> float:
        ratio = self.run_times.expect_ms(stage.job.record.queue, 1.0)
        return stage.step.estimate_ms * ratio

    def _run_of(self, stage: Stage, task_index: int) -> TaskRun | None:
        return next(
            (
                run
                for run in self.runs_by_stage.get(stage.key, ())
                if task_index in run.task_indices
            ),
            None,
        )

    def _stop_cost(self, stage: Stage, task_index: int) -> StopCost:
        run = self._run_of(stage, task_index)
        if run is None or id(run) in self.stopping or run.begin_ms is None:
            return StopCost(0.0, False)
        if stage.step.checkpoints:
            return StopCost(0.0, True)
        return StopCost(self.now_ms - run.begin_ms, True)

    def _run_periodic_pass(self) -> None:
        self._schedule(self.now_ms + PASS_INTERVAL_MS, self._run_periodic_pass)
        if not self._changed:
            return
        self._changed = False
        self.plan_once()

    def _candidates(self) -> list[packing.Candidate]:
        return [
            packing.Candidate(
                runner, self.free_by_id[runner.id].copy(), self.speeds.speed(runner.id)
            )
            for runner in self.runners
        ]

    def _isolation(self, candidates: list[packing.Candidate]) -> Isolation:
        return Isolation(candidates)

    def plan_once(self) -> None:
        """Run one scheduling pass and start the tasks that it places."""
        candidates = self._candidates()
        if self.job_values is None:
            self.job_values = ranking.JobValues(
                ranking.DominantShare(scheduler.median_capacity(candidates))
            )
        placements = SchedulingPass(
            self.job_table,
            self.configuration,
            candidates,
            self.now_ms,
            self._expected_run_ms,
            self._stop_cost,
            self.job_values,
            suspects=self._isolation(candidates),
            turns=self.turns,
        ).run()
        for placement in placements:
            self._start_placement(placement)

    def _start_placement(self, placement: Placement) -> None:
        stage = placement.stage
        ready_ms = self.now_ms + START_DELAY_MS
        for victim in placement.victims:
            for index in victim.indices:
                run = self._run_of(victim.stage, index)
                if run is not None and id(run) not in self.stopping:
                    stopped_at_ms = (
                        self.now_ms + self.rng.uniform(0.3, 1.0) * self.deployment.stop_ms
                    )
                    ready_ms = max(ready_ms, stopped_at_ms + START_DELAY_MS)
                    self.stopping.add(id(run))
                    self._schedule(
                        stopped_at_ms,
                        functools.partial(self._finish_stopped_run, victim.stage, run),
                    )
        groups = (
            [(placement.indices, placement.runner_ids)]
            if stage.step.gang
            else [([i], [p]) for i, p in zip(placement.indices, placement.runner_ids, strict=True)]
        )
        for indices, runner_ids in groups:
            number = max(stage.runs[index] for index in indices) + 1
            run = TaskRun(number, list(indices), list(runner_ids))
            for index, runner_id in zip(indices, runner_ids, strict=True):
                stage.runs[index] = number
                stage.runners[index] = runner_id
                self.free_by_id[runner_id].subtract(stage.demand)
            self.runs_by_stage.setdefault(stage.key, []).append(run)
            self._schedule(ready_ms, functools.partial(self._start_run, stage, run))

    def _start_run(self, stage: Stage, run: TaskRun) -> None:
        if run not in self.runs_by_stage.get(stage.key, ()):
            return
        self.started_tasks += len(run.task_indices)
        self.first_start_by_id.setdefault(stage.job.id, self.now_ms)
        run.begin_ms = self.now_ms
        full_work_ms = self.arrivals_by_id[stage.job.id].work_ms[stage.number]
        saved_ms = self.saved_ms_by_task.get(
            (stage.key, run.task_indices[0] if not stage.step.gang else 0), 0
        )
        work_ms = full_work_ms - saved_ms + (CHECKPOINT_RESTORE_MS if saved_ms else 0)
        racks = {self.runners_by_id[runner_id].rack for runner_id in run.runner_ids}
        crosses_racks = stage.step.same_rack and len(racks) > 1
        run.speed = (self.deployment.cross_rack_factor if crosses_racks else 1.0) * max(
            self.slowdown_by_id[runner_id] * self.rng.gauss(1.0, RUN_TIME_DEVIATION)
            for runner_id in run.runner_ids
        )
        run.end_ms = self.now_ms + work_ms * run.speed
        self._schedule(run.end_ms, functools.partial(self._finish_run, stage, run))

    def _remove_run(self, stage: Stage, run: TaskRun) -> bool:
        runs = self.runs_by_stage.get(stage.key, [])
        if run not in runs:
            return False
        runs.remove(run)
        self.stopping.discard(id(run))
        for index, runner_id in zip(run.task_indices, run.runner_ids, strict=True):
            stage.runners[index] = ""
            self.free_by_id[runner_id].subtract(stage.demand, -1)
        self._changed = True
        return True

    def _finish_run(self, stage: Stage, run: TaskRun) -> None:
        if not self._remove_run(stage, run):
            return
        stage.mark_done(run.task_indices[0])
        ran_ms = self.now_ms - (run.begin_ms or 0.0)
        if run.number == 1 and not stage.step.gang:
            self.speeds.observe(stage.key, run.runner_ids[0], ran_ms)
        if run.number == 1:
            self.run_times.observe(stage.job.record.queue, ran_ms / max(1, stage.step.estimate_ms))
        self.job_table.close_if_finished(stage.job, self.now_ms)
        if stage.job.completed:
            self.ended_ms_by_id[stage.job.id] = self.now_ms

    def _finish_stopped_run(self, stage: Stage, run: TaskRun) -> None:
        if not self._remove_run(stage, run):
            return
        self.stopped_tasks += len(run.task_indices)
        ran_ms = self.now_ms - run.begin_ms if run.begin_ms is not None else 0.0
        if stage.step.checkpoints:
            key = (stage.key, 0 if stage.step.gang else run.task_indices[0])
            saved_before_ms = self.saved_ms_by_task.get(key, 0)
            self.saved_ms_by_task[key] = saved_before_ms + max(
                0.0, ran_ms / run.speed - CHECKPOINT_RESTORE_MS * bool(saved_before_ms)
            )
            return
        cores = stage.step.cpu_millis / 1000 + stage.step.accelerators * CORES_PER_ACCELERATOR
        self.wasted_core_s += cores * len(run.task_indices) * ran_ms / 1000


def work_core_ms(arrival: Arrival) -> float:
    """Return a job's work in core-milliseconds, with accelerators converted to cores."""
    return sum(
        step.count
        * step_work_ms
        * (step.cpu_millis / 1000 + step.accelerators * CORES_PER_ACCELERATOR)
        for step, step_work_ms in zip(arrival.job.steps, arrival.work_ms, strict=True)
    )


def value_weight(arrival: Arrival, mean_core_ms: float) -> float:
    """Return a job's value relative to an average job of its kind.

    :param mean_core_ms: mean work of the jobs of that kind.
    """
    return min(
        ranking.MAX_VALUE_FACTOR,
        ranking.FIXED_VALUE_SHARE
        + (1 - ranking.FIXED_VALUE_SHARE) * work_core_ms(arrival) / mean_core_ms,
    )


def mean_work_core_ms(arrivals_in_order: list[Arrival], kind: JobKind) -> float:
    """Return the mean work of the jobs of a kind, in core-milliseconds."""
    work = [work_core_ms(arrival) for arrival in arrivals_in_order if arrival.kind is kind]
    return sum(work) / max(1, len(work))


class Result:
    """Earned value, waste and waits of a simulated day.

    ``value_share_by_kind`` holds the earned share of the achievable value for each kind of job.
    """

    def __init__(self, day: SimulatedDay) -> None:
        self.value_share_by_kind: dict[str, float] = {}
        achievable_total = earned_total = 0.0
        totals_by_window: dict[int, list[float]] = {}
        for kind in day.deployment.kinds:
            achievable = earned = 0.0
            mean_core_ms = mean_work_core_ms(day.arrivals, kind)
            for arrival in day.arrivals:
                if arrival.kind is not kind:
                    continue
                relative_value = value_weight(arrival, mean_core_ms)
                full, late = kind.objective_values
                achievable += relative_value * full
                gained = 0.0
                end_ms = day.ended_ms_by_id.get(arrival.job.id)
                if end_ms is not None:
                    elapsed_ms = end_ms - arrival.at_ms
                    if elapsed_ms <= arrival.objective_ms:
                        gained = relative_value * full
                    elif elapsed_ms <= ranking.LATE_FACTOR * arrival.objective_ms:
                        gained = relative_value * late
                earned += gained
                window = totals_by_window.setdefault(int(arrival.at_ms / 2000), [0.0, 0.0])
                window[0] += relative_value * full
                window[1] += gained
            self.value_share_by_kind[kind.queue.name] = earned / max(1e-9, achievable)
            achievable_total += achievable
            earned_total += earned
        self.value_share = earned_total / achievable_total
        worst = sorted(
            window_earned / window_achievable
            for window_achievable, window_earned in totals_by_window.values()
            if window_achievable
        )[:2]
        self.worst_windows = sum(worst) / max(1, len(worst))
        self.waste_share = VALUE_PER_WASTED_CORE_S * day.wasted_core_s / achievable_total
        self.stopped_share = day.stopped_tasks / max(1, day.started_tasks)
        self.refused_share = len(day.refused) / len(day.arrivals)
        waits = [
            start - day.arrivals_by_id[name].at_ms for name, start in day.first_start_by_id.items()
        ]
        self.wait_p95_ms = percentile(waits, 0.95)


def _run_case(case: tuple[str, str, str, int]) -> tuple[tuple[str, str, str, int], Result]:
    policy, deployment_name, pattern, seed = case
    POLICIES[policy]()
    deployment = DEPLOYMENTS[deployment_name]
    day = SimulatedDay(deployment, arrivals(deployment, PATTERNS[pattern], DAY_S, seed), seed)
    day.simulate()
    return case, Result(day)


def _current() -> None:
    """Keep the scheduler's own policy."""


def _no_headroom() -> None:
    scheduler.HEADROOM_SHARE = 0.0


def _no_preemption() -> None:
    scheduler.MAX_VICTIM_SEARCHES = 0


def _no_reservation() -> None:
    scheduler.MAX_RESERVATIONS = 0


def _first_come_first_served() -> None:
    ranking.remaining_value_share = lambda *_: 1.0
    ranking.JobValues.value_per_runner_ms = lambda *_: 1.0
    ranking.AGING_MS = 1.0


def _ignore_runner_speeds() -> None:
    RunnerSpeeds.speed = lambda *_: 1.0


POLICIES: dict[str, Callable[[], None]] = {
    "current": _current,
    "first come": _first_come_first_served,
    "no headroom": _no_headroom,
    "blind to speed": _ignore_runner_speeds,
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
    """Simulate the days of all combinations and print the table.

    :param deployments: names, separated by commas.
    :param patterns: names of load patterns, separated by commas.
    :param policies: names, separated by commas.
    :param seeds: number of days for each combination.
    :param jobs: number of processes.
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
    results_by_case: dict[tuple[str, str, str], list[Result]] = {}
    # A policy patches modules, so each case runs in its own process.
    with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
        for (policy, deployment, pattern, _), result in pool.map(_run_case, cases):
            results_by_case.setdefault((deployment, pattern, policy), []).append(result)
    for key, results in results_by_case.items():
        table.add(*key, *_summary(results))
    table.show()


def _split(text: str | tuple[str, ...]) -> list[str]:
    """Return the names in an option, which fire passes as text or as a tuple."""

    return text.split(",") if isinstance(text, str) else list(text)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _summary(results: list[Result]) -> list[object]:
    kinds = results[0].value_share_by_kind
    return [
        _mean([result.value_share for result in results]),
        _mean([result.worst_windows for result in results]),
        "/".join(
            f"{_mean([result.value_share_by_kind[kind] for result in results]):.2f}"
            for kind in kinds
        ),
        _mean([result.waste_share for result in results]),
        _mean([result.stopped_share for result in results]),
        _mean([result.refused_share for result in results]),
        _mean([result.wait_p95_ms for result in results]),
    ]


if __name__ == "__main__":
    fire.Fire(main)
