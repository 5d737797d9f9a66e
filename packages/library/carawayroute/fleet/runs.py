"""The planner's state of one run of a task."""

from carawayroute.fleet.jobs import Stage

# Task id and number of a run.
RunKey = tuple[str, int]


class Run:
    """The planner's state of one run of a task.

    :ivar acknowledged_ms: time at which the runner carried out the last start or stop request. Only
        polls sent later show whether the run exists.
    :ivar withdrawn: reason why the planner stops the run, or an empty string.
    :ivar progress_ms: time of the last poll that showed a new percentage.
    :ivar may_have_begun: a start request may have reached the runner.
    :ivar start_unanswered: a start request went unanswered, and may be carried out late.
    :ivar started_clock_ms: time on the runner's clock at ``started_ms``.
    :ivar sampled: its run time is not used for speed estimates (any more); also set for adopted
        runs, whose start was not observed.
    """

    __slots__ = (
        "acknowledged_ms",
        "checkpoint",
        "index",
        "may_have_begun",
        "number",
        "percent",
        "progress_ms",
        "runner",
        "sampled",
        "stage",
        "start_unanswered",
        "started_clock_ms",
        "started_ms",
        "withdrawn",
    )

    def __init__(self, stage: Stage, index: int, number: int, runner: str) -> None:
        self.stage = stage
        self.index = index
        self.number = number
        self.runner = runner
        self.acknowledged_ms: float | None = None
        self.started_ms: float | None = None
        self.started_clock_ms = 0
        self.withdrawn = ""
        self.checkpoint = ""
        self.percent = -1
        self.progress_ms: float | None = None
        self.sampled = False
        self.start_unanswered = False
        self.may_have_begun = False

    @property
    def crash_counted(self) -> bool:
        """Return whether a crash of the runner was counted for the run, also by another planner."""
        return self.stage.crashed_runs[self.index] >= self.number

    def started_by(self, at_ms: float) -> bool:
        """Return whether the run has started before a time, and cannot be started once more."""
        if self.started_ms is None or self.start_unanswered:
            return False
        return self.started_ms < at_ms

    def starts_after(self, at_ms: float) -> bool:
        """Return whether the run is known to have started at a time or later."""
        return self.started_ms is not None and self.started_ms >= at_ms
