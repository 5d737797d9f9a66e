"""Submission, lookup and cancellation of gang jobs."""

from carawayroute.clock import Clock
from carawayroute.config import check_shape
from carawayroute.exceptions import (
    CarawayrouteError,
    FieldProblem,
    LogError,
    LogUncertainError,
    RefusedError,
)
from carawayroute.log import LogFollower
from carawayroute.membership import Membership
from carawayroute.misc import new_id
from carawayroute.packing import FreeCapacity, choose_workers
from carawayroute.state import Job
from carawayroute.types import describe_shape
from carawayroute_schema import carawayroute_pb2 as pb

APPEND_TIMEOUT_MS = 5_000


class JobUncertainError(CarawayrouteError):
    """It is unknown whether the job was accepted; the request can be repeated with the same id."""


class JobConflictError(CarawayrouteError):
    """The request id belongs to a different job."""


class ImpossibleShapeError(CarawayrouteError):
    """No set of workers can hold a gang of the shape."""


class JobService:
    """Record jobs in the log and look up their state."""

    def __init__(self, follower: LogFollower, membership: Membership, clock: Clock) -> None:
        self._follower = follower
        self._membership = membership
        self._clock = clock

    def check_shape(self, shape: pb.Shape, region: str) -> None:
        """Check that the workers of a region, if idle, could hold a gang.

        :raises ImpossibleShapeError: they cannot; the message gives the reason.
        """
        problems: list[FieldProblem] = []
        check_shape("shape", shape, problems)
        if problems:
            raise ImpossibleShapeError("; ".join(str(problem) for problem in problems))
        workers_by_id = {worker.id: worker for worker in self._membership.live("worker", region)}
        if not workers_by_id:
            raise ImpossibleShapeError(f"region {region!r} has no workers")
        capacity = {name: worker.capacity for name, worker in workers_by_id.items()}
        if choose_workers(FreeCapacity(workers_by_id, capacity), shape) is None:
            raise ImpossibleShapeError(
                f"no set of workers in {region} can hold {describe_shape(shape)}"
            )

    async def accept(self, accepted: pb.JobAccepted, timeout_ms: float) -> Job:
        """Record a job and return it; for a repeated request id, return the existing job.

        :param accepted: the job; its id and time of acceptance are filled in.
        :raises RefusedError: the job was definitely not accepted.
        :raises JobUncertainError: the job may have been accepted.
        :raises JobConflictError: the request id belongs to a job of another kind or shape.
        """
        existing = self.find_request(accepted.team, accepted.request_id)
        if existing is not None:
            return _check_same_job(existing, accepted)
        accepted.job_id = new_id("j")
        accepted.accepted_ms = self._clock.wall_ms()
        record = self._follower.make_record(job_accepted=accepted)
        try:
            await self._follower.append(record, min(timeout_ms, APPEND_TIMEOUT_MS))
        except LogUncertainError as error:
            raise JobUncertainError("the log did not confirm the job in time") from error
        except LogError as error:
            raise RefusedError("the log cannot be reached, so no job is accepted", 1000) from error
        job = self.find_request(accepted.team, accepted.request_id)
        if job is None:
            raise JobUncertainError("the job was accepted and has ended meanwhile")
        return _check_same_job(job, accepted)

    def find(self, job_id: str) -> Job | None:
        """Return a job by id, or ``None`` if it is unknown or no longer kept."""
        return self._follower.state.jobs_by_id.get(job_id)

    def find_request(self, team: str, request_id: str) -> Job | None:
        """Return the job that was accepted under a team's request id, if it is known here."""
        return self._follower.state.job_by_request(team, request_id)

    async def look_up(self, job_id: str) -> Job | None:
        """Return a job, reading the log first if the job is not known here.

        :return: ``None`` if there is no such job or it is no longer kept.
        :raises LogError: the job is not known here and the log cannot be read.
        """
        if job_id not in self._follower.state.jobs_by_id:
            await self._follower.read_to_end()
        return self.find(job_id)

    async def wait_finished(self, job_id: str, timeout_ms: float) -> Job | None:
        """Wait for a job to end; after the timeout, return it in its current state."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        while True:
            job = self.find(job_id)
            remaining_ms = deadline_ms - self._clock.now_ms()
            if job is None or job.finished is not None or remaining_ms <= 0:
                return job
            await self._follower.wait_change(remaining_ms)

    async def cancel(self, job_id: str, by: str) -> None:
        """Record a request to cancel a job.

        :param by: who requested it.
        :raises LogError: the request could not be recorded.
        """
        cancel = pb.CancelRequested(job_id=job_id, by=by)
        record = self._follower.make_record(cancel_requested=cancel)
        await self._follower.append(record, APPEND_TIMEOUT_MS)


def _check_same_job(job: Job, accepted: pb.JobAccepted) -> Job:
    """Return the job if its kind and shape match the request.

    :raises JobConflictError: they differ.
    """
    original = job.accepted
    same = original.kind == accepted.kind and original.shape == accepted.shape
    if not same:
        raise JobConflictError(f"request id {accepted.request_id!r} made job {original.job_id}")
    return job
