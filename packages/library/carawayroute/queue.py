"""Order of waiting jobs, and a placement pass over them with backfilling."""

from carawayroute.estimates import RunTimes
from carawayroute.health import HealthTracker
from carawayroute.placement import Fleet, NotPlaced, Plan
from carawayroute_schema import carawayroute_pb2 as pb

# A job that waited longer than this many expected run times is ordered by age, not fair share.
AGING_THRESHOLD_RUNS = 1


class QueueEntry:
    """A job that waits to be placed."""

    __slots__ = ("accepted", "kind")

    def __init__(self, accepted: pb.JobAccepted, kind: pb.Kind) -> None:
        self.accepted = accepted
        self.kind = kind


def order_queue(
    queue: list[QueueEntry], fleet: Fleet, weight_by_team: dict[str, int], now_ms: float = 0.0
) -> list[QueueEntry]:
    """Return waiting jobs in the order in which placement is tried.

    Jobs within a guarantee come first, then jobs of higher urgency. Within the same urgency, jobs
    that have waited long come first, ordered by age; the others are ordered by how much their team
    borrows relative to its weight, least first, then by age.

    :param now_ms: wall-clock time, as in the jobs' records.
    """
    borrowed_by_team: dict[str, float] = {}
    for placement in fleet.placements_by_job.values():
        if not placement.guarantee:
            team = placement.team
            borrowed_by_team[team] = borrowed_by_team.get(team, 0.0) + placement.total

    teams_with_guarantee = fleet.reservation_table.teams_with_unused()

    def rank(entry: QueueEntry) -> tuple[bool, int, bool, float, int]:
        job = entry.accepted
        guaranteed = job.team in teams_with_guarantee and fleet.uses_guarantee(job.team, job.shape)
        aged = now_ms - job.accepted_ms > AGING_THRESHOLD_RUNS * entry.kind.expected_run_ms
        weight = max(1, weight_by_team.get(job.team, 1))
        share = 0.0 if aged else borrowed_by_team.get(job.team, 0.0) / weight
        return (not guaranteed, -entry.kind.urgency, not aged, share, job.accepted_ms)

    return sorted(queue, key=rank)


def may_backfill(
    entry: QueueEntry, run_times: RunTimes, now_ms: float, reserved_until_ms: float
) -> bool:
    """Return whether a job is expected to end before the reserved workers are needed.

    :param now_ms: current time, on the same clock as ``reserved_until_ms``.
    """
    expected_ms = run_times.expect_ms(
        f"{entry.accepted.team}/{entry.kind.id}", entry.kind.expected_run_ms
    )
    return now_ms + expected_ms <= reserved_until_ms


class PlacementPass:
    """One pass over the queue, which reserves workers for the first job that does not fit.

    Later jobs may use the reserved workers only as backfill.
    """

    def __init__(
        self, fleet: Fleet, run_times: RunTimes, health: HealthTracker, now_ms: float
    ) -> None:
        self._fleet = fleet
        self._run_times = run_times
        self._health = health
        self._now_ms = now_ms
        self._reserved: set[str] = set()
        self._reserved_until_ms = 0.0
        self._teams_with_guarantee = fleet.reservation_table.teams_with_unused()
        # Shapes not placed in this pass. Free capacity only shrinks during a pass, except through
        # preemption, which clears this.
        self._not_placed_by_key: dict[tuple, NotPlaced] = {}

    def plan(self, entry: QueueEntry) -> Plan | NotPlaced:
        """Choose workers for a job, or say why it cannot be placed now."""
        job = entry.accepted
        can_backfill = may_backfill(entry, self._run_times, self._now_ms, self._reserved_until_ms)
        avoid = self._health.failed_on(job.job_id)
        shape_key = (job.shape.members, job.shape.accelerators, job.shape.adjacency, can_backfill)
        key = (*shape_key, entry.kind.idempotent)
        if (
            key in self._not_placed_by_key
            and not avoid
            and job.team not in self._teams_with_guarantee
        ):
            return self._not_placed_by_key[key]
        reserved = set() if can_backfill else self._reserved
        decision = self._fleet.plan(job, entry.kind, avoid, reserved, self._now_ms)
        if isinstance(decision, NotPlaced):
            self._not_placed_by_key[key] = decision
            if decision.reserve_capacity and not self._reserved:
                place = self._fleet.reserve_for(job.shape)
                self._reserved, self._reserved_until_ms = place
        elif decision.preempt:
            self._not_placed_by_key.clear()
        return decision
