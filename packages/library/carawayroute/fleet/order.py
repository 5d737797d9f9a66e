"""In which order waiting work is placed.

Answers a load above what the fleet holds: urgent work within guarantees first, then what brings
callers the most for the room that it takes, as long as it can still end in time.
"""

from carawayroute.fleet.book import Job, Stage
from carawayroute.fleet.types import Configuration

# Work that ends within this many times its objective still counts, as late.
LATE_FACTOR = 3.0
# Worth of a late end beside one in time; the platform's sheets give 0.2 to 0.3.
LATE_SHARE = 0.27
# Part of a job's worth that does not grow with its size.
BASE_SHARE = 0.3
URGENT_PRIORITY = 0


class Timeliness:
    """When a job must end to count in full, and to count at all, by the wall clock."""

    __slots__ = ("full_by_ms", "late_by_ms", "remaining_ms")

    def __init__(self, job: Job, remaining_ms: float, chain_ms: float) -> None:
        record = job.record
        allowed_ms = record.stretch * chain_ms + record.target_ms
        self.full_by_ms = record.accepted_ms + allowed_ms
        self.late_by_ms = record.accepted_ms + LATE_FACTOR * allowed_ms
        self.remaining_ms = remaining_ms

    def share(self, wall_ms: float) -> float:
        """Return the part of its worth that a job still brings if it is placed now."""
        end_ms = wall_ms + self.remaining_ms
        if end_ms <= self.full_by_ms:
            return 1.0
        return LATE_SHARE if end_ms <= self.late_by_ms else 0.0


class Demand:
    """What a job asks of the fleet.

    :param work: accelerator-milliseconds of all that is not done.
    :param mean_work: the same for a usual job of its queue.
    """

    __slots__ = ("mean_work", "work")

    def __init__(self, work: float, mean_work: float) -> None:
        self.work = work
        self.mean_work = mean_work

    def worth_per_room(self) -> float:
        """Return worth for each unit of room and time."""
        relative = self.work / max(1.0, self.mean_work)
        return (BASE_SHARE + (1 - BASE_SHARE) * relative) / max(1.0, self.work)


def urgent_within_guarantees(jobs: list[Job], configuration: Configuration) -> set[str]:
    """Return the urgent jobs that fit in the guaranteed accelerators of their teams.

    Jobs are counted in the order in which they were accepted.
    """
    used_by_team: dict[str, int] = {}
    within = set()
    for job in sorted(jobs, key=lambda one: (one.record.accepted_ms, one.id)):
        if job.record.priority != URGENT_PRIORITY or job.closed:
            continue
        team = configuration.teams_by_name.get(job.record.team)
        if team is None:
            continue
        need = max(step.count * step.accelerators for step in job.record.steps)
        used = used_by_team.get(team.name, 0) + need
        if used <= team.guaranteed_accelerators:
            used_by_team[team.name] = used
            within.add(job.id)
    return within


def remaining_ms(stage: Stage, estimate_ms: float) -> float:
    """Return the declared or learnt time that a stage still takes once it is placed."""
    return estimate_ms if any(not done for done in stage.done) else 0.0
