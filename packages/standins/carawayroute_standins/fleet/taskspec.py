"""The behaviour of emulated tasks, which the spec of their job describes."""

import json
from collections.abc import Sequence

from carawayroute.fleet.types import Capacity

DEADLY_AFTER_MS = 10


class TaskSpec:
    """The behaviour of an emulated task, decoded from the JSON spec of its job.

    :param run_ms: run time of the task.
    :param gang: number of members that must be present, or 0 for a single task.
    :param failures: number of runs that fail before one succeeds.
    :param deadly: indices of the tasks of each step that crash their runner.
    :param deadly_after_ms: time from the start of such a task to the crash.
    :param demands: cpu, memory and accelerators of a task of each step; by default, tasks need
        only ``accelerators``.
    """

    __slots__ = (
        "accelerators",
        "deadly",
        "deadly_after_ms",
        "demands",
        "failures",
        "gang",
        "run_ms",
    )

    def __init__(self, spec: str) -> None:
        fields = json.loads(spec)
        self.run_ms = fields["run_ms"]
        self.gang = fields.get("gang", 0)
        self.failures = fields.get("failures", 0)
        self.accelerators = fields.get("accelerators", 1)
        self.deadly = frozenset(fields.get("deadly", ()))
        self.deadly_after_ms = fields.get("deadly_after_ms", DEADLY_AFTER_MS)
        self.demands = [Capacity(*row) for row in fields.get("demands", ())]

    def demand(self, step: int) -> Capacity:
        """Return what a task of a step needs."""
        if step < len(self.demands):
            return self.demands[step]
        return Capacity(0, 0, self.accelerators)

    @staticmethod
    def encode(
        run_ms: int,
        gang: int = 0,
        failures: int = 0,
        accelerators: int = 1,
        deadly: Sequence[int] = (),
        deadly_after_ms: int = DEADLY_AFTER_MS,
        demands: Sequence[tuple[int, int, int]] = (),
    ) -> str:
        """Return the JSON spec of a task."""
        fields: dict[str, object] = {
            "run_ms": run_ms,
            "gang": gang,
            "failures": failures,
            "accelerators": accelerators,
        }
        if deadly:
            fields.update(deadly=list(deadly), deadly_after_ms=deadly_after_ms)
        if demands:
            fields["demands"] = [list(row) for row in demands]
        return json.dumps(fields)
