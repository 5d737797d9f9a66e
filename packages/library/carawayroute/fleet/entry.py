"""What callers ask for: submitting, watching, cancelling and counting jobs."""

import asyncio
from collections.abc import Callable

import structlog

from carawayroute.clock import Clock
from carawayroute.exceptions import CarawayrouteError
from carawayroute.fleet.admission import Admission
from carawayroute.fleet.exceptions import StoreError, StoreRefusedError
from carawayroute.fleet.follower import TopicFollower
from carawayroute.fleet.jobs import CANCEL_KEY, JOB_KEY, Job, JobTable
from carawayroute.fleet.ranking import LATE_FACTOR
from carawayroute.fleet.types import Queue, Team
from carawayroute.fleet.writer import LogWriter
from carawayroute.misc import wait_event
from carawayroute_schema import records_pb2 as pb

# An outage of the store is expected to last as long again as it has, within these bounds; callers
# try a few times, so the later bound spreads them over the time in which the job still counts.
LEAST_RETRY_MS = 1_000
RETRY_SHARE = 0.2
MOST_RETRY_MS = 5_000
# Reading the state anew after a term takes some milliseconds; a start takes longer.
LOADING_WAIT_MS = 400
# An open job's state is read anew for its caller if it is older than this.
STATE_AGE_MS = 60
# A read takes some 5 ms, or 20 ms from another region; a slow store is not waited for.
STATE_READ_MS = 150
# A store that has not answered for longer is not asked for the sake of one caller.
STATE_SILENCE_MS = 1_500
# A count of waiting jobs may be 2 s old by the platform's pages.
PENDING_AGE_MS = 2_000
# Time that is left for the answer to travel.
ANSWER_MARGIN_MS = 250

log = structlog.get_logger()


class NotAcceptedError(CarawayrouteError):
    """The job was certainly not accepted and never runs.

    :param overload: there is more work than the fleet can do in time.
    :param retry_after_ms: when another try may do better.
    """

    def __init__(self, reason: str, overload: bool, retry_after_ms: float) -> None:
        super().__init__(reason)
        self.overload = overload
        self.retry_after_ms = retry_after_ms


class OutcomeUnknownError(CarawayrouteError):
    """The store did not answer in time; the wish may have been recorded."""


class StateUnknownError(CarawayrouteError):
    """This instance cannot tell now."""


class NoSuchJobError(CarawayrouteError):
    """No such job was accepted."""


class EntryService:
    """Serve callers from the followed state; write what they want to the store."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        book: JobTable,
        follower: TopicFollower,
        writer: LogWriter,
        admission: Admission,
        on_change: Callable[[], None],
    ) -> None:
        self._name = name
        self._clock = clock
        self._book = book
        self._follower = follower
        self._writer = writer
        self.admission = admission
        self._on_change = on_change

    async def submit(self, queue: Queue, team: Team | None, job: pb.Job, wait_ms: float) -> None:
        """Accept a job; the same id again is the same job.

        :raises NotAcceptedError: it never runs.
        :raises OutcomeUnknownError: it may have been accepted.
        """
        if job.id in self._book.jobs_by_id:
            log.info("job_repeated", job=job.id)
            return
        if not await wait_event(self._follower.loaded, min(wait_ms, LOADING_WAIT_MS)):
            raise NotAcceptedError("the state of jobs is not read yet", False, LEAST_RETRY_MS)
        job.queue = queue.name
        job.service = queue.service
        job.team = team.name if team is not None else ""
        job.priority = queue.priority
        job.max_attempts = queue.max_attempts
        job.stretch = queue.deadline_factor
        job.target_ms = queue.target_ms
        job.accepted_ms = self._clock.wall_ms()
        job.entry = self._name
        chain_ms = Job(job).critical_path_ms()
        verdict = self.admission.judge(job, chain_ms)
        if not verdict.accepted:
            log.info(
                "job_rejected",
                job=job.id,
                queue=queue.name,
                team=job.team,
                reason=verdict.reason,
                retry_after_ms=round(verdict.retry_after_ms),
                state_age_ms=round(self._follower.lag_ms()),
            )
            raise NotAcceptedError(verdict.reason, True, verdict.retry_after_ms)
        counts_ms = LATE_FACTOR * (job.stretch * chain_ms + job.target_ms)
        await self._write(JOB_KEY + job.id, job.SerializeToString(), job.id, wait_ms, counts_ms)
        log.info(
            "job_accepted",
            job=job.id,
            queue=queue.name,
            team=job.team,
            tasks=[step.count for step in job.steps],
            accelerators=[step.accelerators for step in job.steps],
            estimates_ms=[step.estimate_ms for step in job.steps],
            gangs=[step.gang for step in job.steps],
            same_rack=[step.same_rack for step in job.steps],
            priority=job.priority,
            took_ms=self._clock.wall_ms() - job.accepted_ms,
        )
        self._on_change()

    async def _write(
        self, key: str, value: bytes, job_id: str, wait_ms: float, counts_ms: float = 0.0
    ) -> None:
        """Put a wish on record.

        :param counts_ms: time in which what is wished for still counts.
        """
        try:
            async with asyncio.timeout(max(0.0, wait_ms - ANSWER_MARGIN_MS) / 1000):
                await self._writer.write([(key, value)])
        except StoreRefusedError as error:
            log.info("wish_not_stored", job=job_id, key=key[:1], error=str(error))
            most_ms = min(MOST_RETRY_MS, RETRY_SHARE * counts_ms)
            retry_ms = max(LEAST_RETRY_MS, min(most_ms, self._writer.silent_ms))
            raise NotAcceptedError("the store is not available", False, retry_ms) from error
        except TimeoutError as error:
            log.warning("wish_outcome_unknown", job=job_id, key=key[:1])
            raise OutcomeUnknownError("the store did not answer in time") from error

    async def _find(self, job_id: str, wait_ms: float) -> Job:
        """Return a job; one that is not known is looked for in the store first."""
        try:
            async with asyncio.timeout(max(0.0, wait_ms - ANSWER_MARGIN_MS) / 1000):
                await self._follower.loaded.wait()
                if job_id not in self._book.jobs_by_id:
                    await self._follower.read_now()
        except (TimeoutError, StoreError) as error:
            log.info("job_state_unknown", job=job_id, state_age_ms=round(self._follower.lag_ms()))
            raise StateUnknownError("the state of jobs cannot be read") from error
        job = self._book.jobs_by_id.get(job_id)
        if job is None:
            raise NoSuchJobError(job_id)
        return job

    async def state(self, job_id: str, wait_ms: float) -> str:
        """Return a job's state.

        :raises NoSuchJobError: there is none.
        :raises StateUnknownError: this instance cannot tell now.
        """
        job = await self._find(job_id, wait_ms)
        if not job.closed:
            await self._refresh(job_id)
            # A state that was read anew may stand in another object.
            job = self._book.jobs_by_id.get(job_id, job)
        return job.state

    async def _refresh(self, job_id: str) -> None:
        """Read on if what is known is not of just now; else the known state must do."""
        age_ms = self._follower.lag_ms()
        if age_ms < STATE_AGE_MS or age_ms > STATE_SILENCE_MS:
            return
        try:
            async with asyncio.timeout(STATE_READ_MS / 1000):
                await self._follower.read_now()
        except (TimeoutError, StoreError) as error:
            log.info(
                "state_not_refreshed", job=job_id, state_age_ms=round(age_ms), error=str(error)
            )

    async def cancel(self, job_id: str, wait_ms: float) -> None:
        """Record that a job is to be cancelled.

        :raises NoSuchJobError: there is none.
        :raises NotAcceptedError: the wish was certainly not recorded.
        """
        job = await self._find(job_id, wait_ms)
        if job.closed:
            return
        cancel = pb.Cancel(entry=self._name, at_ms=self._clock.wall_ms())
        await self._write(CANCEL_KEY + job_id, cancel.SerializeToString(), job_id, wait_ms)
        log.info("job_cancelled", job=job_id, was=job.state)
        self._on_change()

    def pending(self, queue: Queue) -> int:
        """Return the accepted jobs of a queue that wait for their first task to start.

        :raises StateUnknownError: this instance cannot tell now.
        """
        age_ms = self._follower.lag_ms()
        if not self._follower.loaded.is_set() or age_ms > PENDING_AGE_MS:
            log.info("pending_unknown", queue=queue.name, state_age_ms=round(min(age_ms, 1e9)))
            raise StateUnknownError("the state of jobs cannot be read")
        return self._book.count_pending(queue.name)
