"""Builders of journals for the tests of the judges."""

from carawayroute.clock import Clock
from carawayroute.fleet.types import Capacity
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.journal import Journal, JournalEntry


class JournalBuilder:
    """Writes a journal as the emulated fleet does; each method returns the builder.

    :param runners: names of runners that have started, each with 8 accelerators.
    """

    def __init__(self, *runners: str, guarding: bool = True) -> None:
        self.journal = Journal(Clock())
        self.now_ms = 0.0
        self._demand_by_job: dict[str, Capacity] = {}
        for name in runners:
            self.runner(name, Capacity(64_000, 256_000, 8), guarding)

    def _add(self, what: str, **fields: object) -> "JournalBuilder":
        self.journal.entries.append(JournalEntry(self.now_ms, what, fields))
        return self

    def wait(self, duration_ms: float) -> "JournalBuilder":
        """Let time pass."""
        self.now_ms += duration_ms
        return self

    def runner(self, name: str, capacity: Capacity, guarding: bool = True) -> "JournalBuilder":
        """Start a process of a runner."""
        fields = {"service": "render", "labels": ["a", "r1-0"], "guarding": guarding}
        return self._add("runner_started", runner=name, **fields, **_amounts(capacity))

    def resize(self, name: str, capacity: Capacity) -> "JournalBuilder":
        """Change a runner's capacity."""
        return self._add("capacity_changed", runner=name, **_amounts(capacity))

    def mode(self, name: str, mode: str) -> "JournalBuilder":
        """Change how a runner behaves."""
        return self._add("runner_mode", runner=name, mode=mode)

    def list(self, name: str, draining: bool = False) -> "JournalBuilder":
        """List a runner."""
        return self._add("runner_listed", runner=name, draining=draining)

    def accept(self, job: pb.Job) -> "JournalBuilder":
        """Accept a job."""
        one = job.steps[0]
        self._demand_by_job[job.id] = Capacity(one.cpu_millis, one.memory_mb, one.accelerators)
        return self._add("job_accepted", job=job.id, entry="n1", record=job.SerializeToString())

    def tell(self, job: pb.Job, state: str) -> "JournalBuilder":
        """Tell a caller a job's state."""
        return self._add("state_told", job=job.id, entry="n1", state=state)

    def start(self, task: str, run: int, runner: str, late: bool = False) -> "JournalBuilder":
        """Start a run that needs what a task of its job's first step needs."""
        demand = self._demand_by_job.get(task.partition(".")[0], Capacity(0, 0, 1))
        fields = {"runner": runner, "late": late, **_amounts(demand)}
        return self._add("task_started", task=task, run=run, **fields)

    def end(
        self, task: str, run: int, runner: str, outcome: str, acknowledged: bool = True
    ) -> "JournalBuilder":
        """End a run."""
        fields = {"task": task, "run": run, "runner": runner, "outcome": outcome}
        self._add("task_ended", **fields)
        return self._add("end_acknowledged", **fields) if acknowledged else self

    def lose(self, task: str, run: int, runner: str) -> "JournalBuilder":
        """End a run with its runner's process."""
        return self._add("task_lost", task=task, run=run, runner=runner)

    def crash(self, task: str, run: int, runner: str) -> "JournalBuilder":
        """Crash a runner by a task that runs on it."""
        self._add("runner_crashed", task=task, run=run, runner=runner)
        return self.lose(task, run, runner)


def _amounts(capacity: Capacity) -> dict[str, int]:
    return {name: getattr(capacity, name) for name in ("cpu_millis", "memory_mb", "accelerators")}
