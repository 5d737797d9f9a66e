"""Which runners get work: those that fail or refuse what they are given are avoided for a while.

Answers runners that go down and up by turns, and runners that fail all that they start while their
health answers are good, told apart from work that fails wherever it runs.
"""

from carawayroute.clock import Clock

# Failures of different jobs in a row after which a runner is avoided.
FAILURES_TO_AVOID = 2
INITIAL_AVOID_MS = 3_000
MAX_AVOID_MS = 20_000
REFUSAL_AVOID_MS = 1_000
# A runner that goes silent again within this time is avoided for twice as long as before.
LOSS_WINDOW_MS = 15_000
INITIAL_LOSS_AVOID_MS = 500
MAX_LOSS_AVOID_MS = 3_000


# A task shows another percent within a tenth of this; its runner's looks come once a second.
STALL_MS = 1_600
# A runner on which everything stands still is avoided until a look shows otherwise.
STALL_AVOID_MS = 1_200


class _FailureHistory:
    __slots__ = ("avoid_ms", "failed_jobs", "until_ms")

    def __init__(self) -> None:
        self.failed_jobs: set[str] = set()
        self.avoid_ms = INITIAL_AVOID_MS
        self.until_ms = 0.0


class _LossHistory:
    __slots__ = ("avoid_ms", "last_ms")

    def __init__(self, now_ms: float) -> None:
        self.avoid_ms = INITIAL_LOSS_AVOID_MS
        self.last_ms = now_ms


class RunnerHealth:
    """Judge runners by what became of the tasks on them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures_by_runner: dict[str, _FailureHistory] = {}
        self._losses_by_runner: dict[str, _LossHistory] = {}

    def note_end(self, runner: str, job_id: str, outcome: str, withdrawn: bool) -> None:
        """Count how a run ended."""
        if outcome == "done":
            self._failures_by_runner.pop(runner, None)
        elif outcome == "failed" and not withdrawn:
            failures = self._failures_by_runner.setdefault(runner, _FailureHistory())
            failures.failed_jobs.add(job_id)
            if len(failures.failed_jobs) >= FAILURES_TO_AVOID:
                failures.until_ms = self._clock.now_ms() + failures.avoid_ms
                failures.avoid_ms = min(MAX_AVOID_MS, failures.avoid_ms * 2)

    def note_refusal(self, runner: str, reason: str) -> None:
        """Count a start that the runner refused."""
        if reason in ("unhealthy", "room"):
            failures = self._failures_by_runner.setdefault(runner, _FailureHistory())
            failures.until_ms = max(failures.until_ms, self._clock.now_ms() + REFUSAL_AVOID_MS)

    def note_stalled(self, runner: str) -> None:
        """Count that everything on a runner stands still."""
        failures = self._failures_by_runner.setdefault(runner, _FailureHistory())
        failures.until_ms = max(failures.until_ms, self._clock.now_ms() + STALL_AVOID_MS)

    def note_lost(self, runner: str) -> None:
        """Count that a runner stopped answering; one that does so by turns is avoided longer."""
        now_ms = self._clock.now_ms()
        losses = self._losses_by_runner.get(runner)
        if losses is None or now_ms - losses.last_ms > LOSS_WINDOW_MS:
            self._losses_by_runner[runner] = _LossHistory(now_ms)
            return
        losses.avoid_ms = min(MAX_LOSS_AVOID_MS, losses.avoid_ms * 2)
        losses.last_ms = now_ms

    def is_healthy(self, runner: str) -> bool:
        """Return whether a runner may get work now."""
        now_ms = self._clock.now_ms()
        losses = self._losses_by_runner.get(runner)
        if losses is not None and now_ms - losses.last_ms < losses.avoid_ms:
            return False
        failures = self._failures_by_runner.get(runner)
        return failures is None or failures.until_ms <= now_ms
