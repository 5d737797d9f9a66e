"""Starts of accepted work whose record waits for the store.

Load pattern: the store is away for all instances for seconds while accepted work waits and runners
are free. A placement is stored before its tasks are started, so that the next planner knows of
them. While the store is away for all, the planner starts them without, and the next planner finds
them at the runners.

The planner does so only while two thirds of the instances agree. At a take-over, instances that
have not agreed say so; if they are more than one third, nothing was started without a record.
Otherwise the next planner looks for such runs at the runners that the last one was known to use
(`InheritedStarts`), and places nothing of the jobs that were open before all of these runners have
reported, or every lease of the last planner has expired.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterable

import structlog

from carawayroute.clock import Clock
from carawayroute.fleet.jobs import Job, Stage
from carawayroute.fleet.runs import Run
from carawayroute_schema import records_pb2 as pb

KNOWN_RUNNERS_KEY = "k/"
# How far the number of a run may be above the stored one; the next planner skips as many.
MAX_UNRECORDED_RUNS = 8

log = structlog.get_logger()


class UnrecordedStarts:
    """Decides which tasks a planner may start before their placement is stored.

    :param permitted: returns whether enough instances agree that the store is away.
    :ivar started: number of tasks that were started before their placement was stored.
    """

    __slots__ = (
        "_blocks_by_job",
        "_permitted",
        "_unstored",
        "known_runners",
        "started",
    )

    def __init__(self, permitted: Callable[[], bool]) -> None:
        self._permitted = permitted
        self._blocks_by_job: Counter[str] = Counter()
        self._unstored = 0
        self.known_runners: frozenset[str] = frozenset()
        self.started = 0

    @property
    def pending(self) -> bool:
        """Return whether tasks were started of which the store has no record yet."""
        return self._unstored > 0

    def may_start(self, runs: Iterable[Run], is_allowed: Callable[[str], bool]) -> bool:
        """Return whether runs may be started before they are stored.

        :param is_allowed: returns whether a runner may be sent such runs.
        """
        return self._permitted() and all(
            not self._blocks_by_job[run.stage.job.id]
            and run.runner in self.known_runners
            and run.number - run.stage.stored_runs[run.index] <= MAX_UNRECORDED_RUNS
            and is_allowed(run.runner)
            for run in runs
        )

    def block(self, job_id: str) -> None:
        """Start nothing of a job that is not stored: that one of its runs was given up is not."""
        self._blocks_by_job[job_id] += 1

    def unblock(self, job_id: str) -> None:
        """Note that what blocked a job is stored."""
        self._blocks_by_job -= Counter([job_id])

    def note_started(self, runs: Collection[Run]) -> None:
        """Note runs that are started before they are stored."""
        self._unstored += 1
        self.started += len(runs)

    def note_stored(self) -> None:
        """Note that the placement of such runs is stored."""
        self._unstored -= 1


class InheritedStarts:
    """What the last planner may have started without a record.

    :param possible: returns whether it may have started anything so, as far as is known now.
    :param leases_expired_ms: returns the clock time by which all leases of earlier planners have
        expired.
    :ivar open: such runs may still be found.
    :ivar found: number of runs that were found at runners.
    """

    __slots__ = (
        "_clock",
        "_job_ids",
        "_leases_expired_ms",
        "_possible",
        "_unseen_runners",
        "found",
        "open",
    )

    def __init__(
        self,
        clock: Clock,
        possible: Callable[[], bool],
        leases_expired_ms: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._possible = possible
        self._leases_expired_ms = leases_expired_ms
        self._job_ids: frozenset[str] = frozenset()
        self._unseen_runners: set[str] = set()
        self.found = 0
        self.open = True

    def begin(self, job_ids: Iterable[str], runners: Iterable[str]) -> None:
        """Begin to look for runs.

        :param job_ids: the open jobs.
        :param runners: the runners that the last planner may have used.
        """
        self._job_ids = frozenset(job_ids)
        self._unseen_runners = set(runners)

    def withholds(self, job_id: str) -> bool:
        """Return whether tasks of a job must not be placed yet, as they may be running."""
        return self.open and job_id in self._job_ids

    def update(self, has_reported: Callable[[str], bool], jobs: Iterable[Job]) -> list[Job]:
        """Stop looking once all runs have been found, or have ended.

        :param has_reported: returns whether a runner has reported to this planner or has ended.
        :param jobs: the open jobs.
        :return: the jobs of which runs were noted that must be stored.
        """
        if not self.open:
            return []
        # Runners that have reported may be dropped later.
        self._unseen_runners = {one for one in self._unseen_runners if not has_reported(one)}
        if not self._possible():
            self._close("no start without a record")
        elif not self._unseen_runners:
            self._close("all runners have reported")
        elif self._clock.now_ms() > self._leases_expired_ms():
            withheld = [job for job in jobs if job.id in self._job_ids]
            for job in withheld:
                self._abandon_unseen(job)
            self._close("leases expired")
            return withheld
        return []

    def _abandon_unseen(self, job: Job) -> None:
        """Note all runs that the last planner may have started and nobody has seen.

        Their ends may still be reported when their tasks have been started again.
        """
        for stage in job.due_stages(self._clock.wall_ms()):
            for index, done in enumerate(stage.done):
                if done or stage.step.long_running:
                    continue
                for number in range(1, MAX_UNRECORDED_RUNS + 1):
                    job.abandon(stage, index, stage.runs[index] + number)

    def _close(self, evidence: str) -> None:
        self.open = False
        log.info(
            "inherited_starts_known",
            evidence=evidence,
            found=self.found,
            runners_unseen=len(self._unseen_runners),
        )


def is_unrecorded(stage: Stage, index: int, run: int) -> bool:
    """Return whether only a start without a record can have given a run its number."""
    return 0 < run - stage.runs[index] <= MAX_UNRECORDED_RUNS


def known_runners(record: bytes) -> dict[str, pb.LostRunner]:
    """Return the runners of a record, by id.

    :raises DecodeError: it cannot be decoded.
    """
    return {one.id: one for one in pb.LostRunners.FromString(record).runners}
