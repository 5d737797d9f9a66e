"""Simulate days on which tasks crash the runners that start them.

``python -m bench.deadly`` compares the isolation of suspects with none, and numbers of crashes
after which a task is given up: the work that is lost with crashed runners, sound jobs that are
given up, and the share of the achievable job value that is earned. It writes the table to ``out/``.
"""

import functools
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import fire

from bench.experiment import DAY_S, Result, SimulatedDay, TaskRun
from bench.loads import DEPLOYMENTS, PATTERNS, Arrival, Deployment, arrivals
from bench.tables import Table
from carawayroute.fleet import isolation, packing
from carawayroute.fleet.isolation import Isolation, SuspectWaits
from carawayroute.fleet.jobs import Stage
from carawayroute.fleet.runner_health import STEADY_MS
from carawayroute.fleet.scheduler import StopCost

# Time from a deadly task's start to its runner's crash, and from that to the next process.
CRASH_DELAY_MS = 10.0
RESTART_MS = 3_000.0
# Runs that started this long before a crash may have caused it.
START_CRASH_MS = 1_000.0
URGENT_PRIORITY = 0


class DeadlyDay(SimulatedDay):
    """A simulated day with deadly tasks, and optionally with many runners crashing at once.

    :param deadly_share: share of the urgent jobs that have one deadly task.
    :param max_start_crashes: crashes soon after its start after which a task is given up.
    :param max_lone_crashes: the same if nothing else ran on the runner at the last crash.
    :param crash_ms: time at which a fifth of the runners crash, 0 for never.
    :ivar lost: sound runs that were lost with their runner.
    :ivar broken: sound runs that ended because a member of their gang was lost.
    :ivar given_up_sound: sound jobs that were given up.
    """

    def __init__(
        self,
        deployment: Deployment,
        arrivals_in_order: list[Arrival],
        seed: int,
        deadly_share: float,
        max_start_crashes: int,
        max_lone_crashes: int = 99,
        crash_ms: float = 0.0,
    ) -> None:
        super().__init__(deployment, arrivals_in_order, seed)
        self.deadly_by_job = {
            arrival.job.id: self.rng.randrange(arrival.job.steps[0].count)
            for arrival in arrivals_in_order
            if arrival.kind.queue.priority == URGENT_PRIORITY and self.rng.random() < deadly_share
        }
        self.max_start_crashes = max_start_crashes
        self.max_lone_crashes = max_lone_crashes
        self.waits = SuspectWaits()
        self.down: set[str] = set()
        self.back_ms_by_runner: dict[str, float] = {}
        self._lost_runs: set[int] = set()
        self.crashes = 0
        self.lost = 0
        self.broken = 0
        self.given_up: set[str] = set()
        if crash_ms:
            self._schedule(crash_ms, self._crash_many)

    @property
    def given_up_sound(self) -> set[str]:
        """Return the sound jobs that were given up."""
        return self.given_up - self.deadly_by_job.keys()

    def _candidates(self) -> list[packing.Candidate]:
        candidates = [one for one in super()._candidates() if one.runner.id not in self.down]
        for candidate in candidates:
            back_ms = self.back_ms_by_runner.get(candidate.runner.id, -STEADY_MS)
            candidate.steady = self.now_ms - back_ms >= STEADY_MS
        return candidates

    def _isolation(self, candidates: list[packing.Candidate]) -> Isolation:
        runs_by_runner: dict[str, list[tuple[Stage, int, TaskRun]]] = {}
        for job in self.job_table.open_by_id.values():
            for stage in job.stages_by_key.values():
                for run in self.runs_by_stage.get(stage.key, ()):
                    for index, runner in zip(run.task_indices, run.runner_ids, strict=True):
                        runs_by_runner.setdefault(runner, []).append((stage, index, run))
        closed = {
            runner
            for runner, found in runs_by_runner.items()
            if len(found) == 1
            and isolation.on_probation(found[0][0], found[0][1], found[0][2].begin_ms, self.now_ms)
        }
        stages = [
            stage
            for job in self.job_table.open_by_id.values()
            for stage in job.open_stages(self.now_ms)
        ]
        self.waits.update(stages, self.now_ms)
        return Isolation(candidates, closed, self.waits.overdue(self.now_ms))

    def _start_run(self, stage: Stage, run: TaskRun) -> None:
        super()._start_run(stage, run)
        if run not in self.runs_by_stage.get(stage.key, ()) or stage.number:
            return
        deadly = self.deadly_by_job.get(stage.job.id)
        if deadly in run.task_indices:
            runner = run.runner_ids[run.task_indices.index(deadly)]
            crash = functools.partial(self._crash_by, stage, run, runner)
            self._schedule(self.now_ms + CRASH_DELAY_MS, crash)

    def _crash_by(self, stage: Stage, run: TaskRun, runner: str) -> None:
        if run in self.runs_by_stage.get(stage.key, ()):
            self._crash(runner)

    def _crash_many(self) -> None:
        for runner in self.runners[::5]:
            self._crash(runner.id)

    def _crash(self, crashed: str) -> None:
        """Lose all runs on a runner, and have it back some time later."""
        if crashed in self.down:
            return
        self.crashes += 1
        self.down.add(crashed)
        lost = []
        for job in list(self.job_table.open_by_id.values()):
            for stage in job.stages_by_key.values():
                for run in list(self.runs_by_stage.get(stage.key, ())):
                    if crashed in run.runner_ids and id(run) not in self._lost_runs:
                        lost.append((stage, run))
                        self._lose(stage, run, crashed)
        self._lost_runs.update(id(run) for _, run in lost)
        self._schedule(
            self.now_ms + RESTART_MS, functools.partial(self._restart, crashed, lost, self.now_ms)
        )

    def _stop_cost(self, stage: Stage, task_index: int) -> StopCost:
        run = self._run_of(stage, task_index)
        if run is not None and id(run) in self._lost_runs:
            return StopCost(0.0, False)
        return super()._stop_cost(stage, task_index)

    def _finish_run(self, stage: Stage, run: TaskRun) -> None:
        if id(run) not in self._lost_runs:
            super()._finish_run(stage, run)

    def _finish_stopped_run(self, stage: Stage, run: TaskRun) -> None:
        if id(run) not in self._lost_runs:
            super()._finish_stopped_run(stage, run)

    def _lose(self, stage: Stage, run: TaskRun, crashed: str) -> None:
        """Count what a crash destroys."""
        if run.begin_ms is None:
            return
        deadly = self.deadly_by_job.get(stage.job.id, -1)
        sound = sum(1 for index in run.task_indices if index != deadly or stage.number)
        there = sum(
            1
            for index, runner in zip(run.task_indices, run.runner_ids, strict=True)
            if runner == crashed and (index != deadly or stage.number)
        )
        self.lost += there
        self.broken += sound - there

    def _restart(self, crashed: str, lost: list[tuple[Stage, TaskRun]], crashed_ms: float) -> None:
        """Have a runner back: count the crash, and free what ran there."""
        self.down.discard(crashed)
        self.back_ms_by_runner[crashed] = self.now_ms
        self._changed = True
        there = sum(run.runner_ids.count(crashed) for _, run in lost if run.begin_ms is not None)
        for stage, run in lost:
            self._lost_runs.discard(id(run))
            begin_ms = run.begin_ms
            if not self._remove_run(stage, run) or begin_ms is None:
                continue
            for index, runner in zip(run.task_indices, run.runner_ids, strict=True):
                if runner != crashed:
                    if crashed_ms - begin_ms > START_CRASH_MS:
                        self._survive(stage, index)
                    continue
                if stage.survived[index]:
                    continue
                stage.crashes[index] += 1
                stage.start_crashes[index] += crashed_ms - begin_ms <= START_CRASH_MS
                count = stage.start_crashes[index]
                lone = there == 1 and count >= self.max_lone_crashes
                if lone or count >= self.max_start_crashes:
                    self.given_up.add(stage.job.id)
        for stage, _ in lost:
            if stage.job.id in self.given_up and not stage.job.closed:
                self._give_up(stage)

    @staticmethod
    def _survive(stage: Stage, index: int) -> None:
        stage.survived[index] = 1
        stage.start_crashes[index] = 0

    def _give_up(self, stage: Stage) -> None:
        job = stage.job
        job.failed = True
        for other in job.stages_by_key.values():
            for run in list(self.runs_by_stage.get(other.key, ())):
                self._remove_run(other, run)
        self.job_table.close_if_finished(job, self.now_ms)


def _isolate() -> None:
    """Keep the isolation of suspects."""


def _no_isolation() -> None:
    isolation.suspicion = lambda stage, index: 0


POLICIES: dict[str, Callable[[], None]] = {"isolation": _isolate, "no isolation": _no_isolation}


def simulated_day(
    policy: str, deployment_name: str, share: float, limit: str, crash_ms: float, seed: int
) -> DeadlyDay:
    """Return a simulated day; the policy stays in force in this process.

    :param limit: number of crashes after which a task is given up, and after a slash the number if
        nothing else ran on the runner at the last one.
    """
    POLICIES[policy]()
    deployment = DEPLOYMENTS[deployment_name]
    load = arrivals(deployment, PATTERNS["bursts"], DAY_S, seed)
    crashes, _, lone_crashes = limit.partition("/")
    limits = (int(crashes), int(lone_crashes or crashes))
    day = DeadlyDay(deployment, load, seed, share, *limits, crash_ms)
    day.simulate()
    return day


def _run_case(case: tuple) -> tuple[tuple, tuple[float, ...]]:
    day = simulated_day(*case)
    sound = [one for one in day.arrivals if one.job.id not in day.deadly_by_job]
    day.arrivals = sound
    result = Result(day)
    return case, (
        day.crashes,
        day.lost,
        day.broken,
        len(day.given_up_sound),
        len(day.given_up) - len(day.given_up_sound),
        result.value_share,
        result.value_share_by_kind[day.deployment.kinds[1].queue.name],
        result.wait_p95_ms,
    )


def main(
    deployments: str = "cornice,cornice-grown",
    shares: str = "0.3",
    limits: str = "2,3/2,3",
    crash_ms: float = 0.0,
    seeds: int = 3,
    jobs: int = 2,
) -> None:
    """Simulate the days of all combinations and print the table.

    :param deployments: names, separated by commas.
    :param shares: shares of the urgent jobs that are deadly, separated by commas.
    :param limits: numbers of crashes after which a task is given up, separated by commas; 3/2 for
        three, or two if nothing else ran on the runner at the last one.
    :param crash_ms: time at which a fifth of the runners crash, 0 for never.
    :param seeds: number of days for each combination.
    :param jobs: number of processes.
    """
    cases = [
        (policy, deployment, float(share), limit, crash_ms, seed)
        for deployment in _split(deployments)
        for share in _split(shares)
        for policy in POLICIES
        for limit in _split(limits)
        for seed in range(1, seeds + 1)
    ]
    columns = ["deployment", "share", "policy", "limit", "crashes", "lost", "broken"]
    columns += ["sound given up", "deadly given up", "worth", "urgent", "wait p95 ms"]
    table = Table("deadly", "Work lost with crashed runners", columns, 5)
    found_by_case: dict[tuple, list[tuple[float, ...]]] = {}
    # A policy patches modules, so each case runs in its own process.
    with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
        for (policy, deployment, share, limit, _, _), found in pool.map(_run_case, cases):
            found_by_case.setdefault((deployment, share, policy, limit), []).append(found)
    for key, found in found_by_case.items():
        table.add(*key, *(sum(column) / len(column) for column in zip(*found, strict=True)))
    table.show()


def _split(text: str | float | tuple) -> list[str]:
    """Return the items of an option, which fire passes as text, a number or a tuple."""
    return [str(item) for item in text] if isinstance(text, tuple) else str(text).split(",")


if __name__ == "__main__":
    fire.Fire(main)
