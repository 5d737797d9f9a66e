"""Stand-in for a worker: accelerators, tasks under leases, and checkpoints."""

import copy
import json

from carawayroute.clock import Clock
from carawayroute.exceptions import WorkerRefusedError
from carawayroute.types import Attempt, FencingToken, Instance
from carawayroute_standins.journal import Journal

# Running tasks continue for this long after the lease lapses, so that a new holder can adopt them.
ADOPTION_TIMEOUT_MS = 30_000


class _Task:
    """An attempt with the state of its simulated execution."""

    __slots__ = ("attempt", "done_ms", "ended_ms", "fails", "updated_ms", "length_ms", "speed")

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt
        self.length_ms = 0.0
        self.done_ms = float(attempt.progress_ms)
        self.updated_ms = 0.0
        self.ended_ms = 0.0
        self.speed = 1.0
        self.fails = False


class WorkerModel:
    """Accepts orders from one lease holder at a time and accounts for accelerators.

    :ivar fails_everything: every task that starts on this worker fails.
    :ivar report_lag_ms: delay in ms before `renew` reports that a task ended.
    """

    def __init__(self, instance: Instance, journal: Journal, clock: Clock) -> None:
        self.instance = instance
        self.journal = journal
        self.clock = clock
        self.token: FencingToken = (0, 0)
        self.holder = ""
        self.lease_until_ms = 0.0
        self.fails_everything = False
        self.report_lag_ms = 0
        self.tasks_by_attempt: dict[str, _Task] = {}

    def _record(self, what: str, attempt: Attempt, **fields: object) -> None:
        self.journal.record(
            what,
            worker=self.instance.id,
            job=attempt.job_id,
            attempt=attempt.attempt_id,
            accelerators=attempt.accelerators,
            parts=attempt.parts,
            holder=self.holder,
            **fields,
        )

    def advance_to_now(self) -> None:
        """Advance tasks to the current time and end those whose lease has lapsed."""
        now_ms = self.clock.now_ms()
        # Tasks that were not adopted in time stopped at the end of the adoption timeout.
        run_until_ms = min(now_ms, self.lease_until_ms + ADOPTION_TIMEOUT_MS)
        for task in list(self.tasks_by_attempt.values()):
            self._advance(task, run_until_ms)
        late_ms = now_ms - self.lease_until_ms
        for attempt_id, task in list(self.tasks_by_attempt.items()):
            status = task.attempt.status
            lapsed = (status == "reserved" and late_ms > 0) or late_ms > ADOPTION_TIMEOUT_MS
            if lapsed and status in ("reserved", "running"):
                self._record("lapse", task.attempt)
                del self.tasks_by_attempt[attempt_id]

    def _advance(self, task: _Task, now_ms: float) -> None:
        if task.attempt.status != "running":
            return
        task.done_ms += (now_ms - task.updated_ms) * task.speed
        task.updated_ms = now_ms
        if task.done_ms < task.length_ms:
            return
        task.ended_ms = now_ms
        task.attempt.status = "failed" if task.fails else "done"
        task.attempt.result = f"{task.attempt.job_id} rendered"
        self._record(task.attempt.status, task.attempt)

    def _authorize(self, holder: str, token: FencingToken, renewing: bool = False) -> None:
        now_ms = self.clock.now_ms()
        lapsed = now_ms >= self.lease_until_ms
        if token == self.token and holder == self.holder:
            if lapsed and not renewing:
                raise WorkerRefusedError("the lease lapsed")
            return
        newer_term = token[0] > self.token[0]
        newer_step = token[0] == self.token[0] and token > self.token and lapsed
        if not renewing or not (newer_term or newer_step):
            raise WorkerRefusedError(f"held by {self.holder} under {self.token}")
        self.token = token
        self.holder = holder

    def renew(self, holder: str, token: FencingToken, lease_ms: int) -> list[Attempt]:
        """Acquire or extend the lease and return the attempts.

        :raises WorkerRefusedError: another holder has the lease or a newer term.
        """
        self.advance_to_now()
        self._authorize(holder, token, renewing=True)
        self.lease_until_ms = self.clock.now_ms() + lease_ms
        return [self._report(task) for task in self.tasks_by_attempt.values()]

    def _report(self, task: _Task) -> Attempt:
        """Return a copy of an attempt, with its end hidden until `report_lag_ms` has passed."""
        shown = copy.copy(task.attempt)
        ended = shown.status in ("done", "failed")
        if ended and self.clock.now_ms() - task.ended_ms < self.report_lag_ms:
            shown.status = "running"
            shown.result = ""
        return shown

    def free(self) -> int:
        """Return the accelerators that no attempt holds."""
        held = sum(
            task.attempt.accelerators
            for task in self.tasks_by_attempt.values()
            if task.attempt.status in ("reserved", "running")
        )
        return self.instance.capacity - held

    def reserve(self, holder: str, token: FencingToken, attempt: Attempt) -> None:
        """Reserve accelerators for an attempt; repeating the call has no effect.

        :raises WorkerRefusedError: the caller lacks the lease, or too few accelerators are free.
        """
        self.advance_to_now()
        self._authorize(holder, token)
        if attempt.attempt_id in self.tasks_by_attempt:
            return
        if attempt.accelerators > self.free():
            raise WorkerRefusedError("accelerators are leased already")
        attempt.status = "reserved"
        self.tasks_by_attempt[attempt.attempt_id] = _Task(attempt)
        self._record("reserve", attempt)

    def start(self, holder: str, token: FencingToken, attempt_id: str, payload: str) -> None:
        """Start a reserved attempt; repeating the call has no effect.

        :raises WorkerRefusedError: the caller lacks the lease, or the attempt is not reserved.
        """
        self.advance_to_now()
        self._authorize(holder, token)
        task = self.tasks_by_attempt.get(attempt_id)
        if task is None:
            raise WorkerRefusedError("the attempt is not reserved here")
        if task.attempt.status != "reserved":
            return
        work = json.loads(payload)
        task.length_ms = float(work.get("run_ms", 1000))
        task.fails = self.fails_everything or bool(work.get("fails"))
        if task.fails:
            task.length_ms = min(task.length_ms, 50.0)
        task.updated_ms = self.clock.now_ms()
        task.attempt.status = "running"
        self._record("start", task.attempt, progress_ms=task.done_ms)

    def throttle(self, holder: str, token: FencingToken, attempt_id: str, speed: float) -> None:
        """Run an attempt at a fraction of its full speed."""
        self.advance_to_now()
        self._authorize(holder, token)
        task = self.tasks_by_attempt.get(attempt_id)
        if task is not None:
            task.speed = speed
            self._record("throttle", task.attempt, speed=speed)

    def release(self, holder: str, token: FencingToken, attempt_id: str, checkpoint: bool) -> int:
        """Stop and remove an attempt; return the progress in ms that a checkpoint preserves."""
        self.advance_to_now()
        self._authorize(holder, token)
        task = self.tasks_by_attempt.pop(attempt_id, None)
        if task is None:
            return 0
        what = "stop" if task.attempt.status == "running" else "release"
        self._record(what, task.attempt, checkpoint=checkpoint)
        return int(task.done_ms) if checkpoint else 0
