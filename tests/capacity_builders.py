"""Builders for tests of runners whose capacity changes while they run."""

import functools

from carawayroute_standins.fleet.taskrunner import TaskRunner
from carawayroute_standins.fleet.world import FleetWorld

UNLIMITED = 1_000_000


class CapacityAuditor:
    """Make the runners of a fleet start whatever they are told to, and record what exceeds them.

    It stands in for the journal of each runner.

    :ivar exceeded: task, run, runner and accelerators in use, for each start that brought its
        runner over its capacity.
    """

    def __init__(self, fleet: FleetWorld) -> None:
        self._fleet = fleet
        self._journal = fleet.journal
        self.exceeded: list[tuple[str, int, str, int]] = []
        for runner in fleet.runners_by_id.values():
            runner.free = lambda: UNLIMITED
            runner.journal = self

    def record(self, what: str, **fields: object) -> None:
        """Add an entry to the fleet's journal."""
        self._journal.record(what, **fields)
        if what != "task_started":
            return
        runner = self._fleet.runners_by_id[str(fields["runner"])]
        used = sum(run.work.accelerators for run in runner._runs.values())
        if used > runner.listed.capacity.accelerators:
            self.exceeded.append((fields["task"], fields["run"], runner.listed.id, used))


def resize(fleet: FleetWorld, name: str, accelerators: int) -> None:
    """Change a runner's number of accelerators, and its other resources by the same share."""
    runner = fleet.runners_by_id[name]
    capacity = runner.listed.capacity
    capacity.cpu_millis = 8_000 * accelerators
    capacity.memory_mb = 32_000 * accelerators
    capacity.accelerators = accelerators
    fleet.list(name)


def count_start_orders(runner: TaskRunner) -> list[str]:
    """Return a list that gets the task of each start order that a runner receives."""
    ordered: list[str] = []
    start = runner.start

    @functools.wraps(start)
    async def counted(term, task, *rest, **options):
        ordered.append(task)
        return await start(term, task, *rest, **options)

    runner.start = counted
    return ordered
