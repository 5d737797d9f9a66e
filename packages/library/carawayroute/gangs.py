"""Starting gangs all-or-nothing on their workers, and stopping them."""

import asyncio
from typing import TYPE_CHECKING

from carawayroute.exceptions import LogError, WorkerError, WorkerRefusedError
from carawayroute.misc import new_id
from carawayroute.retries import Backoff
from carawayroute.types import Attempt
from carawayroute_schema import carawayroute_pb2 as pb

if TYPE_CHECKING:
    from carawayroute.placement import Plan
    from carawayroute.planner import Planner
    from carawayroute.queue import QueueEntry

STARTED_APPEND_TIMEOUT_MS = 3_000
MAX_RELEASE_ATTEMPTS = 3
INITIAL_LAUNCH_BACKOFF_MS = 200
MAX_LAUNCH_BACKOFF_MS = 5_000


class Gang:
    """One attempt to run a job; a part is all members of the gang on one worker.

    :param workers: worker of each member; a worker with several members is repeated.
    :ivar parts: the distinct workers, one for each part.
    :ivar running: whether every part was started.
    :ivar started_ms: time at which every part was started.
    :ivar progress_ms: run time saved by the checkpoint that the attempt resumes from.
    :ivar status_by_worker: last reported status of each part.
    """

    __slots__ = (
        "attempt_id",
        "job",
        "kind",
        "parts",
        "progress_ms",
        "result",
        "running",
        "started_ms",
        "status_by_worker",
        "workers",
    )

    def __init__(
        self, job: pb.JobAccepted, kind: pb.Kind, attempt_id: str, workers: list[str]
    ) -> None:
        self.job = job
        self.kind = kind
        self.attempt_id = attempt_id
        self.workers = workers
        self.parts = sorted(set(workers))
        self.running = False
        self.started_ms = 0.0
        self.progress_ms = 0
        self.result = ""
        self.status_by_worker: dict[str, str] = {}


class GangController:
    """Launch, preempt and release gangs on the workers as a planner decides."""

    def __init__(self, planner: "Planner") -> None:
        self._planner = planner
        self._progress_ms_by_job: dict[str, int] = {}
        self._backoff_by_job: dict[str, Backoff] = {}
        self._backoff_until_ms_by_job: dict[str, float] = {}
        self._releasing: set[str] = set()

    def new_gang(self, entry: "QueueEntry", plan: "Plan") -> Gang:
        """Return a new attempt for a plan, which resumes from the job's last checkpoint."""
        gang = Gang(entry.accepted, entry.kind, new_id("g"), plan.workers)
        gang.progress_ms = self._progress_ms_by_job.get(entry.accepted.job_id, 0)
        return gang

    def is_backing_off(self, job_id: str) -> bool:
        """Return whether a job is in backoff after a failed launch."""
        return self._backoff_until_ms_by_job.get(job_id, 0.0) > self._planner.clock.now_ms()

    async def launch(self, gang: Gang, victims: list[Gang]) -> None:
        """Preempt the victims, reserve every part, then start every part; on failure release all.

        The start of a job that is not idempotent is recorded in the log before any part starts.
        """
        try:
            await asyncio.gather(*(self.preempt(victim) for victim in victims))
            await self._run_on_all_parts(gang, self._reserve)
            if not gang.kind.idempotent:
                await self._record_start(gang)
            await self._run_on_all_parts(gang, self._start)
        except (WorkerError, LogError) as error:
            await self._abort(gang, str(error))
            return
        gang.started_ms = self._planner.clock.now_ms()
        gang.running = True
        self._backoff_by_job.pop(gang.job.job_id, None)
        # A cancellation is not acted upon while the gang is starting, so check again now.
        self._planner.mark_changed()

    async def _run_on_all_parts(self, gang: Gang, operation) -> None:
        """Run an operation on all workers concurrently; raise the first error once all ended."""
        results = await asyncio.gather(
            *(operation(gang, worker) for worker in gang.parts), return_exceptions=True
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result

    def _attempt(self, gang: Gang, worker: str) -> Attempt:
        members = gang.workers.count(worker)
        accelerators = members * gang.job.shape.accelerators
        attempt = Attempt(gang.attempt_id, gang.job.job_id, worker, accelerators, len(gang.parts))
        attempt.progress_ms = gang.progress_ms
        return attempt

    def _call_context(self, worker: str):
        """Return the leading arguments of every call to a worker: worker, holder and token.

        :raises WorkerRefusedError: the worker is not listed or this instance holds no term.
        """
        planner = self._planner
        instance = planner.membership.by_id.get(worker)
        if instance is None or planner.token is None:
            raise WorkerRefusedError(f"worker {worker} is not ours to give orders to")
        return (instance, planner.instance, planner.token)

    async def _reserve(self, gang: Gang, worker: str) -> None:
        await self._planner.workers.reserve(
            *self._call_context(worker), self._attempt(gang, worker)
        )

    async def _start(self, gang: Gang, worker: str) -> None:
        attempt = self._attempt(gang, worker)
        await self._planner.workers.start(*self._call_context(worker), attempt, gang.job)

    async def _record_start(self, gang: Gang) -> None:
        started = pb.JobStarted(job_id=gang.job.job_id, attempt_id=gang.attempt_id)
        follower = self._planner.follower
        record = follower.make_record(job_started=started)
        await follower.append(record, STARTED_APPEND_TIMEOUT_MS)
        job = follower.state.jobs_by_id.get(gang.job.job_id)
        if job is None or job.started is None or job.started.attempt_id != gang.attempt_id:
            raise WorkerRefusedError("another attempt was recorded first")

    async def _abort(self, gang: Gang, reason: str) -> None:
        planner = self._planner
        await self.release(gang)
        job_id = gang.job.job_id
        current = planner.gangs_by_job.get(job_id)
        if current is gang:
            planner.gangs_by_job.pop(job_id)
            planner.fleet.remove(job_id)
        backoff = self._backoff_by_job.setdefault(
            job_id, Backoff(INITIAL_LAUNCH_BACKOFF_MS, MAX_LAUNCH_BACKOFF_MS)
        )
        self._backoff_until_ms_by_job[job_id] = planner.clock.now_ms() + backoff.next_ms()
        planner.wait_reason_by_job[job_id] = f"the last launch failed: {reason}"
        planner.mark_changed()

    async def preempt(self, victim: Gang) -> None:
        """Stop a borrowed gang once launched, with a checkpoint if its kind supports one."""
        while not victim.running and victim.job.job_id in self._planner.gangs_by_job:
            await self._planner.clock.sleep_ms(20)
        progress_ms = await self.release(victim, checkpoint=victim.kind.checkpoint)
        if victim.kind.checkpoint:
            self._progress_ms_by_job[victim.job.job_id] = progress_ms

    async def release(self, gang: Gang, checkpoint: bool = False) -> int:
        """Stop every part; return the checkpointed progress in ms that all parts share."""
        self._releasing.add(gang.attempt_id)
        try:
            kept = await asyncio.gather(
                *(self.release_part(worker, gang.attempt_id, checkpoint) for worker in gang.parts)
            )
        finally:
            self._releasing.discard(gang.attempt_id)
        return min(kept, default=0)

    def is_releasing(self, attempt_id: str) -> bool:
        """Return whether an attempt is being stopped, during which a checkpoint may be written."""
        return attempt_id in self._releasing

    async def release_part(self, worker: str, attempt_id: str, checkpoint: bool = False) -> int:
        """Stop one part and return its checkpointed progress in ms, or 0.

        If the worker cannot be reached, the part stops when the worker's lease expires.
        """
        backoff = Backoff(50, 500)
        for _ in range(MAX_RELEASE_ATTEMPTS):
            try:
                return await self._planner.workers.release(
                    *self._call_context(worker), attempt_id, checkpoint
                )
            except WorkerRefusedError:
                return 0
            except WorkerError:
                await self._planner.clock.sleep_ms(backoff.next_ms())
        return 0
