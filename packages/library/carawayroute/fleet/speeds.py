"""How fast runners work, learnt from tasks of one step that ran on several of them.

Answers fleets in which some runners are slower than others or turn slow: a gang works as fast as
its slowest member, so urgent gangs keep to runners that are not slow.
"""

import math
import statistics

from carawayroute_schema import records_pb2 as pb

# Tasks of a step whose run times are compared.
MIN_COMPARED_TASKS = 4
# Weight of a new run beside those before; tasks of one step differ by some 15 %, so several count.
SMOOTHING = 0.2
# Runs that must have been seen before a runner counts as slow.
MIN_RUNS = 2
# A runner that takes this much longer than the usual one is slow; between a usual one and the
# slowest third of the users' deployments, which take 1.3 times as long.
SLOW_RATIO = 1.13
# Ratios beyond this say that the runner stood still or a task was unlike its siblings.
MAX_RATIO = 4.0


class _SpeedEstimate:
    __slots__ = ("count", "log_ratio")

    def __init__(self) -> None:
        self.count = 0
        self.log_ratio = 0.0


class RunnerSpeeds:
    """Learn how long runners take beside others for tasks of the same step."""

    __slots__ = ("_estimate_by_runner", "_times_by_step")

    def __init__(self) -> None:
        self._estimate_by_runner: dict[str, _SpeedEstimate] = {}
        self._times_by_step: dict[tuple, list[tuple[str, float]]] = {}

    def observe(self, step_key: tuple, runner: str, ran_ms: float) -> None:
        """Count a task of a step that ran from its begin to its end on one runner.

        :param step_key: names the step; its tasks are alike.
        """
        times = self._times_by_step.setdefault(step_key, [])
        times.append((runner, ran_ms))
        if len(times) < MIN_COMPARED_TASKS:
            return
        median_ms = statistics.median(time for _, time in times)
        # The first siblings had nothing to be compared with until now.
        unobserved = times if len(times) == MIN_COMPARED_TASKS else times[-1:]
        for name, time_ms in unobserved:
            self._update(name, time_ms / max(1.0, median_ms))

    def _update(self, runner: str, ratio: float) -> None:
        runs = self._estimate_by_runner.setdefault(runner, _SpeedEstimate())
        runs.count += 1
        log_ratio = math.log(min(MAX_RATIO, max(1 / MAX_RATIO, ratio)))
        weight = max(SMOOTHING, 1 / runs.count)
        runs.log_ratio += weight * (log_ratio - runs.log_ratio)

    def forget_step(self, step_key: tuple) -> None:
        """Drop the run times of a step that has ended."""
        self._times_by_step.pop(step_key, None)

    def forget_runner(self, runner: str) -> None:
        """Drop what was learnt of a runner that was started anew."""
        self._estimate_by_runner.pop(runner, None)

    def to_record(self) -> pb.RunnerSpeeds:
        """Return what was learnt, for the next planner."""
        names = sorted(self._estimate_by_runner)
        found = [self._estimate_by_runner[name] for name in names]
        return pb.RunnerSpeeds(
            runners=names,
            runs=[runs.count for runs in found],
            log_percents=[round(100 * runs.log_ratio) for runs in found],
        )

    def load(self, record: pb.RunnerSpeeds) -> None:
        """Start from what an earlier planner has learnt."""
        rows = zip(record.runners, record.runs, record.log_percents, strict=True)
        for name, count, log_percent in rows:
            runs = self._estimate_by_runner.setdefault(name, _SpeedEstimate())
            runs.count = count
            runs.log_ratio = log_percent / 100

    def speed(self, runner: str) -> float:
        """Return the work that a runner does in a unit of time, 1.0 for a usual one."""
        runs = self._estimate_by_runner.get(runner)
        if runs is None or runs.count < MIN_RUNS:
            return 1.0
        return math.exp(-runs.log_ratio)
