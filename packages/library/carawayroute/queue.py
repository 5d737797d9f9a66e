"""The order in which waiting jobs are tried, and one look at all of them."""

from carawayroute.estimates import RunTimeEstimator
from carawayroute.health import HealthTracker
from carawayroute.placement import Fleet, Plan, Wait
from carawayroute_schema import carawayroute_pb2 as pb

# A job that waited longer than this many expected run times goes before the fair order.
AGED_RUNS = 1


class QueueEntry:
    """A job that waits to be placed."""

    __slots__ = ("accepted", "kind")

    def __init__(self, accepted: pb.JobAccepted, kind: pb.Kind) -> None:
        self.accepted = accepted
        self.kind = kind


def order_queue(
    queue: list[QueueEntry], fleet: Fleet, weight_by_team: dict[str, int], now_ms: float = 0.0
) -> list[QueueEntry]:
    """Return waiting jobs in the order in which they are tried.

    Jobs within a guarantee come first, then the more urgent ones. Among equals, jobs that have
    waited for long come by age; then teams that borrow the least for their weight, then the oldest.

    :param now_ms: wall clock, as in the jobs' records.
    """
    borrowed_by_team: dict[str, float] = {}
    for placement in fleet.placements_by_job.values():
        if not placement.guarantee:
            team = placement.team
            borrowed_by_team[team] = borrowed_by_team.get(team, 0.0) + placement.total

    demanding = fleet.book.teams_with_unused()

    def rank(entry: QueueEntry) -> tuple[bool, int, bool, float, int]:
        job = entry.accepted
        guaranteed = job.team in demanding and fleet.uses_guarantee(job.team, job.shape)
        aged = now_ms - job.accepted_ms > AGED_RUNS * entry.kind.expected_run_ms
        weight = max(1, weight_by_team.get(job.team, 1))
        share = 0.0 if aged else borrowed_by_team.get(job.team, 0.0) / weight
        return (not guaranteed, -entry.kind.urgency, not aged, share, job.accepted_ms)

    return sorted(queue, key=rank)


def may_backfill(
    entry: QueueEntry, run_times: RunTimeEstimator, now_ms: float, reserved_until_ms: float
) -> bool:
    """Return whether a job is expected to end before reserved workers are needed."""
    expected_ms = run_times.expect_ms(
        f"{entry.accepted.team}/{entry.kind.id}", entry.kind.expected_run_ms
    )
    return now_ms + expected_ms <= reserved_until_ms


class PlacingPass:
    """One look at the queue: the first job that does not fit keeps its place from later ones."""

    def __init__(
        self, fleet: Fleet, run_times: RunTimeEstimator, health: HealthTracker, now_ms: float
    ) -> None:
        self._fleet = fleet
        self._run_times = run_times
        self._health = health
        self._now_ms = now_ms
        self._reserved: set[str] = set()
        self._reserved_until_ms = 0.0
        self._demanding = fleet.book.teams_with_unused()
        # Shapes for which this pass found no place; space only gets less while it lasts.
        self._refusals: dict[tuple, Wait] = {}

    def plan(self, entry: QueueEntry) -> Plan | Wait:
        """Decide where a job goes now."""
        job = entry.accepted
        short = may_backfill(entry, self._run_times, self._now_ms, self._reserved_until_ms)
        avoid = self._health.failed_on(job.job_id)
        form = (job.shape.members, job.shape.accelerators, job.shape.adjacency, short)
        key = (*form, entry.kind.idempotent)
        if key in self._refusals and not avoid and job.team not in self._demanding:
            return self._refusals[key]
        reserved = set() if short else self._reserved
        decision = self._fleet.plan(job, entry.kind, avoid, reserved, self._now_ms)
        if isinstance(decision, Wait):
            self._refusals[key] = decision
            if decision.blocked and not self._reserved:
                place = self._fleet.reserve_for(job.shape)
                self._reserved, self._reserved_until_ms = place
        elif decision.preempt:
            self._refusals.clear()
        return decision
