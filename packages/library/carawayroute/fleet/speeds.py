"""Speed estimates of runners, from the run times of tasks of the same step.

Some runners are slower than others or become slow. A gang runs at the speed of its slowest member,
so urgent gangs are placed on runners that are not slow.
"""

import math
import statistics

from carawayroute_schema import records_pb2 as pb

# Number of tasks of a step from which their run times are compared.
MIN_COMPARED_TASKS = 4
# Weight of a new run in the moving average; run times of one step vary by about 15 %, so a single
# run says little.
SMOOTHING = 0.2
# Number of runs below which a runner counts as having typical speed.
MIN_RUNS = 2
# A runner is slow above this run time relative to a typical one; the slowest third of the runners
# in the users' deployments is at 1.3.
SLOW_RATIO = 1.13
# Ratios are clamped to this: larger ones come from stalled runners or unequal tasks.
MAX_RATIO = 4.0
MAX_LOG_RATIO = math.log(MAX_RATIO)


class _SpeedEstimate:
    __slots__ = ("count", "log_ratio")

    def __init__(self) -> None:
        self.count = 0
        self.log_ratio = 0.0


class RunnerSpeeds:
    """Estimate the speed of runners relative to others on tasks of the same step."""

    __slots__ = ("_estimate_by_runner", "_times_by_step")

    def __init__(self) -> None:
        self._estimate_by_runner: dict[str, _SpeedEstimate] = {}
        self._times_by_step: dict[tuple, list[tuple[str, float]]] = {}

    def observe(self, step_key: tuple, runner: str, ran_ms: float) -> None:
        """Record the run time of a task that ran without interruption on one runner.

        :param step_key: identifies the step; its tasks are assumed to be of equal size.
        """
        times = self._times_by_step.setdefault(step_key, [])
        times.append((runner, ran_ms))
        if len(times) < MIN_COMPARED_TASKS:
            return
        median_ms = statistics.median(time for _, time in times)
        # The first tasks are compared once there are enough of them for a median.
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
        """Discard the run times of a step that has ended."""
        self._times_by_step.pop(step_key, None)

    def forget_runner(self, runner: str) -> None:
        """Discard the estimate of a runner that was restarted."""
        self._estimate_by_runner.pop(runner, None)

    def to_record(self) -> pb.RunnerSpeeds:
        """Return the estimates as a record for the next planner."""
        names = sorted(self._estimate_by_runner)
        found = [self._estimate_by_runner[name] for name in names]
        return pb.RunnerSpeeds(
            runners=names,
            runs=[runs.count for runs in found],
            log_percents=[round(100 * runs.log_ratio) for runs in found],
        )

    def load(self, record: pb.RunnerSpeeds) -> None:
        """Load the estimates that an earlier planner stored.

        :raises ValueError: the record does not have three values for each runner.
        """
        rows = list(zip(record.runners, record.runs, record.log_percents, strict=True))
        for name, count, log_percent in rows:
            runs = self._estimate_by_runner.setdefault(name, _SpeedEstimate())
            runs.count = count
            runs.log_ratio = min(MAX_LOG_RATIO, max(-MAX_LOG_RATIO, log_percent / 100))

    def speed(self, runner: str) -> float:
        """Return the speed of a runner, where 1.0 is typical."""
        runs = self._estimate_by_runner.get(runner)
        if runs is None or runs.count < MIN_RUNS:
            return 1.0
        return math.exp(-runs.log_ratio)
