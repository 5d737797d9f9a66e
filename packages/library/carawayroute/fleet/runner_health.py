"""Health of runners, judged by the outcome of the tasks placed on them.

Runners that fail, refuse or stall work, or that repeatedly stop answering, are avoided for a
limited time. This covers flapping runners and runners that fail every task although their health
check passes. Failures count per job, so that a job that fails on every runner excludes none.
"""

import math

from carawayroute.clock import Clock

# Consecutive failures, each of a different job, after which a runner is avoided.
FAILURES_TO_AVOID = 2
INITIAL_AVOID_MS = 3_000
MAX_AVOID_MS = 20_000
REFUSAL_AVOID_MS = 1_000
# The avoidance time doubles up to this while a runner refuses starts for want of room.
MAX_ROOM_AVOID_MS = 4_000
# The avoidance time doubles if a runner stops answering again within this time.
LOSS_WINDOW_MS = 15_000
INITIAL_LOSS_AVOID_MS = 500
MAX_LOSS_AVOID_MS = 3_000

# Tasks report new progress about ten times as often as this, and runners are polled once a second.
STALL_MS = 1_600
# Avoidance time of a stalled runner; renewed while polls show no progress.
STALL_AVOID_MS = 1_200
# A process that was started less than this long ago is not steady: it may crash again at once.
STEADY_MS = 5_000
# Processes first heard of this soon after a planner's start may have run for long.
FIRST_REPORTS_MS = 1_000


class _FailureHistory:
    __slots__ = ("avoid_ms", "failed_jobs", "room_avoid_ms", "room_refused_ms", "until_ms")

    def __init__(self) -> None:
        self.failed_jobs: set[str] = set()
        self.avoid_ms = INITIAL_AVOID_MS
        self.room_avoid_ms = REFUSAL_AVOID_MS
        self.room_refused_ms = -math.inf
        self.until_ms = 0.0

    def next_room_avoid_ms(self, now_ms: float) -> int:
        """Return the avoidance time after a start that was refused for want of room."""
        since_ms = now_ms - self.room_refused_ms
        self.room_refused_ms = now_ms
        if since_ms > 2 * MAX_ROOM_AVOID_MS:
            self.room_avoid_ms = REFUSAL_AVOID_MS
        elif since_ms > REFUSAL_AVOID_MS:
            # Starts that were sent before the first refusal count once.
            self.room_avoid_ms = min(MAX_ROOM_AVOID_MS, 2 * self.room_avoid_ms)
        return self.room_avoid_ms


class _LossHistory:
    __slots__ = ("avoid_ms", "last_ms")

    def __init__(self, now_ms: float) -> None:
        self.avoid_ms = INITIAL_LOSS_AVOID_MS
        self.last_ms = now_ms


class RunnerHealth:
    """Decide which runners may get work, from task outcomes and connection losses."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures_by_runner: dict[str, _FailureHistory] = {}
        self._losses_by_runner: dict[str, _LossHistory] = {}
        self._process_by_runner: dict[str, tuple[int, float]] = {}
        self._created_ms = clock.now_ms()

    def note_process(self, runner: str, boot_ms: int) -> None:
        """Record that a process of a runner has reported.

        :param boot_ms: tells the processes of a runner apart.
        """
        known = self._process_by_runner.get(runner)
        if known is None or known[0] != boot_ms:
            self._process_by_runner[runner] = (boot_ms, self._clock.now_ms())

    def is_steady(self, runner: str) -> bool:
        """Return whether a runner's process was not started lately, as far as that is known."""
        known = self._process_by_runner.get(runner)
        if known is None:
            return False
        _, since_ms = known
        return (
            since_ms - self._created_ms <= FIRST_REPORTS_MS
            or self._clock.now_ms() - since_ms >= STEADY_MS
        )

    def note_end(self, runner: str, job_id: str, outcome: str, withdrawn: bool) -> None:
        """Record the outcome of a run.

        :param withdrawn: the planner stopped the run itself; a failure then does not count.
        """
        if outcome == "done":
            self._failures_by_runner.pop(runner, None)
        elif outcome == "failed" and not withdrawn:
            failures = self._failures_by_runner.setdefault(runner, _FailureHistory())
            failures.failed_jobs.add(job_id)
            if len(failures.failed_jobs) >= FAILURES_TO_AVOID:
                failures.until_ms = self._clock.now_ms() + failures.avoid_ms
                failures.avoid_ms = min(MAX_AVOID_MS, failures.avoid_ms * 2)

    def note_refusal(self, runner: str, reason: str) -> None:
        """Record a refused start; only refusals that concern the whole runner count."""
        if reason not in ("unhealthy", "room"):
            return
        now_ms = self._clock.now_ms()
        failures = self._failures_by_runner.setdefault(runner, _FailureHistory())
        avoid_ms = failures.next_room_avoid_ms(now_ms) if reason == "room" else REFUSAL_AVOID_MS
        failures.until_ms = max(failures.until_ms, now_ms + avoid_ms)

    def note_stalled(self, runner: str) -> None:
        """Record that no task on a runner makes progress."""
        failures = self._failures_by_runner.setdefault(runner, _FailureHistory())
        failures.until_ms = max(failures.until_ms, self._clock.now_ms() + STALL_AVOID_MS)

    def note_lost(self, runner: str) -> None:
        """Record that a runner stopped answering; a flapping runner is avoided longer each time."""
        now_ms = self._clock.now_ms()
        losses = self._losses_by_runner.get(runner)
        if losses is None or now_ms - losses.last_ms > LOSS_WINDOW_MS:
            self._losses_by_runner[runner] = _LossHistory(now_ms)
            return
        losses.avoid_ms = min(MAX_LOSS_AVOID_MS, losses.avoid_ms * 2)
        losses.last_ms = now_ms

    def is_healthy(self, runner: str) -> bool:
        """Return whether a runner may currently get work."""
        now_ms = self._clock.now_ms()
        losses = self._losses_by_runner.get(runner)
        if losses is not None and now_ms - losses.last_ms < losses.avoid_ms:
            return False
        failures = self._failures_by_runner.get(runner)
        return failures is None or failures.until_ms <= now_ms
